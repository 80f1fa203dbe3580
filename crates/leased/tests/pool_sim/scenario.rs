//! Size, load and faults of a simulated run.

use std::time::Duration;

/// Tasks that fit on a worker.
const PLACES: u16 = 6;
/// Failure domains over which workers are spread evenly.
const DOMAINS: u16 = 3;

/// Fault of a run, at a time after the first submission.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// All entries, agents and workers end, and start again after a time.
    RestartAll(Duration),
    /// Messages to and from a quarter of the agents are lost for a time; their workers go on.
    CutAgents(Duration),
    /// An eighth of the workers announce that they leave, end after the first time, and are replaced after the second one.
    LeaveAtNotice(Duration, Duration),
    /// All agents and workers of one failure domain end, and return empty at once after a time.
    LoseDomain(Duration),
}

/// Size, load and faults of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub entries: u16,
    pub workers: u16,
    /// Shares of the callers that the entries have; all have the same share if there are none.
    pub weights: Vec<f64>,
    /// Part of all places that the submissions use on average.
    pub load: f64,
    /// Time in which jobs are submitted.
    pub length: Duration,
    pub faults: Vec<(Duration, Fault)>,
}

impl Scenario {
    pub fn new(entries: u16, workers: u16, load: f64) -> Self {
        Self {
            seed: 1,
            entries,
            workers,
            weights: Vec::new(),
            load,
            length: Duration::from_secs(4),
            faults: Vec::new(),
        }
    }

    /// Sets shares of the callers that fall from the first entry, which has three times the share of the last one.
    pub fn uneven(mut self) -> Self {
        let last = f64::from(self.entries - 1);
        self.weights = (0..self.entries)
            .map(|entry| 3.0 - 2.0 * f64::from(entry) / last)
            .collect();
        self
    }

    /// Adds a fault, and extends the run to some seconds after it.
    pub fn fault(mut self, at: Duration, fault: Fault) -> Self {
        self.faults.push((at, fault));
        let lasts = match fault {
            Fault::RestartAll(lasts)
            | Fault::CutAgents(lasts)
            | Fault::LeaveAtNotice(_, lasts)
            | Fault::LoseDomain(lasts) => lasts,
        };
        self.length = self.length.max(at + lasts + Duration::from_secs(4));
        self
    }

    /// Returns the number of tasks that fit on all workers.
    pub fn places(&self) -> u16 {
        self.workers * PLACES
    }

    /// Returns the agents whose messages a fault loses.
    pub fn is_cut(agent: u16) -> bool {
        agent.is_multiple_of(4)
    }

    /// Returns whether the worker of an agent leaves.
    pub fn leaves(agent: u16) -> bool {
        agent.is_multiple_of(8)
    }

    /// Returns the failure domain of an agent's worker.
    pub fn domain(agent: u16) -> u16 {
        agent % DOMAINS
    }
}
