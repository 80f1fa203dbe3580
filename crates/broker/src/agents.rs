//! Agents of workers, with their latest reports and their outstanding attempts.

use std::time::{Duration, Instant};

use chestnutfork_evacuation::{KnownEvacuations, ReturnRamp, ramp_position};
use chestnutfork_types::{
    AttemptKey, DemandSum, EndLimit, HeartbeatNumber, KindId, LinkNumber, NodeName, OrderNumber, ProcessId,
    Resources, WorkerDescription, WorkerLoad,
};
use indexmap::IndexMap;

/// Position of an agent in the table; it does not change during the lifetime of the process.
pub(crate) type AgentIndex = usize;

/// Failure rate, in thousandths, from which a worker is avoided while other workers can run its tasks.
const MAX_FAILURE_PERMILLE: u32 = 350;

/// Age up to which a heartbeat is a reference for the time of its agent; agents retain the send times of later ones.
const MAX_REFERENCE_AGE: Duration = Duration::from_secs(5);

/// Attempt that was ordered and has not been reported as ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outstanding {
    pub(crate) order: OrderNumber,
    pub(crate) resources: Resources,
    pub(crate) ordered_at: Instant,
    /// When the attempt counts as overdue.
    pub(crate) overdue_at: Instant,
    /// Whether the agent was ordered to stop the attempt.
    pub(crate) stopping: bool,
    /// Whether the agent refuses the attempt if it cannot start at once.
    pub(crate) refuse_if_full: bool,
    /// Kind of the task, if placement regards it.
    pub(crate) kind: Option<KindId>,
}

/// Agent and the reported state of its worker.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) name: NodeName,
    pub(crate) process: ProcessId,
    pub(crate) link: Option<LinkNumber>,
    pub(crate) worker: WorkerDescription,
    pub(crate) load: Option<WorkerLoad>,
    pub(crate) last_heartbeat: HeartbeatNumber,
    /// Arrival of the latest heartbeat.
    pub(crate) last_heartbeat_at: Instant,
    /// Latest heartbeat that did not wait for this process, and its arrival.
    pub(crate) reference_heartbeat: Option<(HeartbeatNumber, Instant)>,
    pub(crate) last_order: OrderNumber,
    /// Whether the recorded attempts were listed on the current link.
    pub(crate) attempts_listed: bool,
    /// Link on which records of the losses of other workers were passed on.
    pub(crate) forwarded_on: Option<LinkNumber>,
    pub(crate) outstanding: IndexMap<AttemptKey, Outstanding>,
    /// Whether the worker's failure domain is evacuated.
    pub(crate) evacuated: bool,
    /// Limits of the use of the worker after the return of its failure domain.
    ramp: Option<ReturnRamp>,
    /// Sum of the demand at all entries in the latest heartbeat.
    pub(crate) demand_sum: Option<DemandSum>,
}

impl Agent {
    fn new(now: Instant, name: NodeName, process: ProcessId) -> Self {
        Self {
            name,
            process,
            link: None,
            worker: WorkerDescription::default(),
            load: None,
            last_heartbeat: 0,
            last_heartbeat_at: now,
            reference_heartbeat: None,
            last_order: 0,
            attempts_listed: false,
            forwarded_on: None,
            outstanding: IndexMap::new(),
            evacuated: false,
            ramp: None,
            demand_sum: None,
        }
    }

    /// Replaces the description of the worker.
    pub(crate) fn describe(&mut self, worker: WorkerDescription, evacuations: &KnownEvacuations) {
        self.worker = worker;
        self.apply_evacuations(evacuations);
    }

    fn apply_evacuations(&mut self, evacuations: &KnownEvacuations) {
        let domain = &self.worker.failure_domain;
        self.evacuated = evacuations.is_evacuated(domain);
        self.ramp = evacuations.ramp(domain);
    }

    /// Records a heartbeat. One that may have waited for this process does not replace a recent reference, because the time since
    /// it was sent is not known.
    pub(crate) fn record_heartbeat(&mut self, now: Instant, number: HeartbeatNumber, may_have_waited: bool) {
        self.last_heartbeat = number;
        self.last_heartbeat_at = now;
        let is_recent = |&(_, at): &(HeartbeatNumber, Instant)| now < at + MAX_REFERENCE_AGE;
        if !may_have_waited || !self.reference_heartbeat.as_ref().is_some_and(is_recent) {
            self.reference_heartbeat = Some((number, now));
        }
    }

    /// Expresses the time by which a run must have ended in terms that the agent can resolve.
    pub(crate) fn end_limit(&self, now: Instant, end_by: Instant) -> EndLimit {
        let (heartbeat, from) = self
            .reference_heartbeat
            .map_or((None, now), |(number, at)| (Some(number), at));
        EndLimit {
            heartbeat,
            after: end_by.saturating_duration_since(from),
        }
    }

    /// Returns whether the agent is connected, has sent a recent heartbeat, and accepts orders.
    pub(crate) fn is_usable(&self, now: Instant, stale_after: Duration) -> bool {
        let fresh = now < self.last_heartbeat_at + stale_after;
        let available = self.load.is_some_and(|load| load.available);
        self.link.is_some() && fresh && available && !self.worker.leaving && !self.evacuated
    }

    /// Returns the reported free capacity and the share of this entry, both less the orders that the report does not include.
    pub(crate) fn free_and_share(&self) -> (Resources, Resources) {
        let Some(load) = &self.load else {
            return (Resources::default(), Resources::default());
        };
        let newer = self
            .outstanding
            .values()
            .filter(|run| run.order > load.last_order);
        let unreported = newer.fold(Resources::default(), |sum, run| sum.saturating_add(run.resources));
        (
            load.free.saturating_sub(unreported),
            load.share.saturating_sub(unreported),
        )
    }

    /// Returns the free capacity and the share that an entry may use now, or `None` while it may not use the worker because the
    /// failure domain has just returned.
    pub(crate) fn usable_free_and_share(&self, now: Instant, entry: u64) -> Option<(Resources, Resources)> {
        let (free, share) = self.free_and_share();
        let Some(ramp) = self.ramp.filter(|ramp| !ramp.is_complete(now)) else {
            return Some((free, share));
        };
        if !ramp.is_open(now, ramp_position(entry, &self.name)) {
            return None;
        }
        let free = free.saturating_sub(ramp.withheld(now, self.worker.capacity));
        Some((free, smaller(free, share)))
    }

    /// Returns the capacity that entries may use now.
    pub(crate) fn usable_capacity(&self, now: Instant) -> Resources {
        let capacity = self.worker.capacity;
        let withheld = self.ramp.map(|ramp| ramp.withheld(now, capacity));
        capacity.saturating_sub(withheld.unwrap_or_default())
    }

    /// Returns the ratio of actual to declared run time, if the agent has reported one.
    pub(crate) fn run_time_ratio(&self) -> Option<f64> {
        let permille = self.load.map_or(0, |load| load.run_time_permille);
        (permille > 0).then(|| f64::from(permille) / 1_000.0)
    }

    /// Returns whether the worker's failure rate is low enough to attribute a failed run to its task.
    pub(crate) fn is_healthy(&self) -> bool {
        self.load
            .is_none_or(|load| load.failure_permille < MAX_FAILURE_PERMILLE)
    }
}

/// All agents to which this process has, or had, a link.
#[derive(Debug, Default)]
pub(crate) struct Agents {
    agents: Vec<Agent>,
    links: IndexMap<LinkNumber, AgentIndex>,
}

impl Agents {
    /// Registers a link, which replaces an earlier link to the same agent.
    pub(crate) fn connect(
        &mut self,
        now: Instant,
        link: LinkNumber,
        name: NodeName,
        process: ProcessId,
    ) -> AgentIndex {
        let known = self.agents.iter().position(|agent| agent.name == name);
        let at = known.unwrap_or_else(|| {
            self.agents.push(Agent::new(now, name, process));
            self.agents.len() - 1
        });
        let agent = &mut self.agents[at];
        if agent.process != process {
            agent.process = process;
            agent.last_heartbeat = 0;
            agent.reference_heartbeat = None;
        }
        // Heartbeats and load reports on the earlier link do not cover orders on this one, so wait for a new report.
        agent.load = None;
        agent.demand_sum = None;
        agent.attempts_listed = false;
        if let Some(old) = agent.link.replace(link) {
            self.links.swap_remove(&old);
        }
        self.links.insert(link, at);
        at
    }

    /// Removes a link and returns its agent, unless a later link has replaced it.
    pub(crate) fn disconnect(&mut self, link: LinkNumber) -> Option<AgentIndex> {
        let at = self.links.swap_remove(&link)?;
        self.agents[at].link = None;
        Some(at)
    }

    /// Returns the number of agents to which a link is open.
    pub(crate) fn connected(&self) -> usize {
        self.links.len()
    }

    /// Returns whether a link to an agent is open.
    pub(crate) fn any_connected(&self) -> bool {
        !self.links.is_empty()
    }

    /// Returns the number of agents, connected or not.
    pub(crate) fn len(&self) -> usize {
        self.agents.len()
    }

    pub(crate) fn index_of(&self, link: LinkNumber) -> Option<AgentIndex> {
        self.links.get(&link).copied()
    }

    pub(crate) fn get(&self, at: AgentIndex) -> &Agent {
        &self.agents[at]
    }

    pub(crate) fn get_mut(&mut self, at: AgentIndex) -> &mut Agent {
        &mut self.agents[at]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (AgentIndex, &Agent)> {
        self.agents.iter().enumerate()
    }

    /// Applies evacuations that came into force.
    pub(crate) fn apply_evacuations(&mut self, evacuations: &KnownEvacuations) {
        for agent in &mut self.agents {
            agent.apply_evacuations(evacuations);
        }
    }

    /// Returns the sums of the demand for a service that its connected agents have reported, with their present age.
    pub(crate) fn demand_sums(&self, now: Instant, pool: &str) -> Vec<DemandSum> {
        let agents = self.agents.iter();
        let connected = agents.filter(|agent| agent.link.is_some() && agent.worker.pool == pool);
        let sums = connected.filter_map(|agent| {
            let sum = agent.demand_sum?;
            let age = sum
                .age
                .saturating_add(now.saturating_duration_since(agent.last_heartbeat_at));
            Some(DemandSum { age, ..sum })
        });
        sums.collect()
    }

    /// Iterates over the agents of a pool that accept orders.
    pub(crate) fn usable<'a>(
        &'a self,
        now: Instant,
        stale_after: Duration,
        pool: &'a str,
    ) -> impl Iterator<Item = (AgentIndex, &'a Agent)> {
        self.iter()
            .filter(move |(_, agent)| agent.worker.pool == pool && agent.is_usable(now, stale_after))
    }
}

fn smaller(one: Resources, other: Resources) -> Resources {
    Resources {
        cpu_millis: one.cpu_millis.min(other.cpu_millis),
        memory_mb: one.memory_mb.min(other.memory_mb),
        gpus: one.gpus.min(other.gpus),
    }
}
