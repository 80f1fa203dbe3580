//! Counters of simulated runs.

/// Counters of one run, or their sum over several runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stats {
    pub events: u64,
    pub jobs: u64,
    pub submissions: u64,
    pub starts: u64,
    pub dispatches: u64,
    pub refused_dispatches: u64,
    pub agent_messages: u64,
    pub answers: u64,
    pub complete_answers: u64,
    pub refusals_not_run: u64,
    pub refusals_unknown: u64,
    pub tasks_may_have_run: u64,
    pub tasks_not_run: u64,
    pub views: u64,
    pub lost_registers: u64,
    pub crashes: u64,
    pub lost_links: u64,
}

impl Stats {
    /// Adds the counters of another run.
    pub fn add(&mut self, other: &Self) {
        self.events += other.events;
        self.jobs += other.jobs;
        self.submissions += other.submissions;
        self.starts += other.starts;
        self.dispatches += other.dispatches;
        self.refused_dispatches += other.refused_dispatches;
        self.agent_messages += other.agent_messages;
        self.answers += other.answers;
        self.complete_answers += other.complete_answers;
        self.refusals_not_run += other.refusals_not_run;
        self.refusals_unknown += other.refusals_unknown;
        self.tasks_may_have_run += other.tasks_may_have_run;
        self.tasks_not_run += other.tasks_not_run;
        self.views += other.views;
        self.lost_registers += other.lost_registers;
        self.crashes += other.crashes;
        self.lost_links += other.lost_links;
    }
}
