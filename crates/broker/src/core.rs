//! State of the entry core, its event handlers and its timer.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use chestnutfork_evacuation::{Evacuations, KnownEvacuations};
use chestnutfork_routes::{RouteIndex, RouteTable};
use chestnutfork_types::{
    AttemptNumber, EntryToWorker, JobId, LinkNumber, RecordedAttempt, ServiceName, TaskKey, WorkerToEntry,
};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::agents::{AgentIndex, Agents};
use crate::config::BrokerConfig;
use crate::crashes::Crashes;
use crate::delays::Delays;
use crate::event::{Action, Answer, Event, Notice, Request, Ticket};
use crate::job::Job;
use crate::order::WaitingOrder;
use crate::requests::Arrival;
use crate::sharing::Sharing;
use crate::shedding::Shedding;
use crate::silence::Silence;
use crate::throughput::Throughput;

/// Interval at which deadlines, overdue attempts and missing heartbeats are checked while there is work in progress.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Delay after a load report before waiting tasks are placed, so that several reports are processed together.
const REPORT_BATCH_DELAY: Duration = Duration::from_millis(2);
/// Interval at which expired records are removed while there is no work in progress. A stop of the process is noticed only if
/// the timer is due meanwhile.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Entry core, which places the tasks of all jobs submitted to one entry.
#[derive(Debug)]
pub struct BrokerCore {
    pub(crate) cfg: BrokerConfig,
    pub(crate) routes: Option<RouteIndex>,
    /// When the route table came into force.
    pub(crate) routes_since: Instant,
    pub(crate) entry_count: usize,
    pub(crate) agents: Agents,
    pub(crate) jobs: IndexMap<JobId, Job>,
    /// Jobs with waiting tasks, in the order in which they are placed.
    pub(crate) waiting: BTreeMap<WaitingOrder, JobId>,
    pub(crate) next_order: u64,
    pub(crate) tickets: IndexMap<Ticket, JobId>,
    /// Retained answers, for resubmissions of jobs that have ended.
    pub(crate) retained_answers: IndexMap<JobId, (Answer, Instant)>,
    /// Highest attempt numbers of jobs that have ended, so that a resubmission continues the numbering.
    pub(crate) last_attempts: IndexMap<JobId, (AttemptNumber, Instant)>,
    /// Tasks with an attempt that has not been reported as ended, including those of ended jobs.
    pub(crate) outstanding_tasks: IndexMap<TaskKey, AgentIndex>,
    /// Workers that were lost under tasks.
    pub(crate) crashes: Crashes,
    /// Requests that arrived before the first route table, and the times at which they are refused.
    pub(crate) early_requests: VecDeque<(Instant, Arrival, Request)>,
    pub(crate) draining: bool,
    pub(crate) delays: Delays,
    pub(crate) throughput: IndexMap<ServiceName, Throughput>,
    pub(crate) rng: StdRng,
    tick_at: Instant,
    pub(crate) silence: Silence,
    /// When waiting tasks are placed because of load reports.
    placement_at: Option<Instant>,
    pub(crate) evacuations: KnownEvacuations,
    pub(crate) shedding: Shedding,
    /// Kinds of tasks that slow each other down.
    pub(crate) sharing: Sharing,
}

impl BrokerCore {
    /// Creates a core that has no routes and no agents yet.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_broker::{BrokerConfig, BrokerCore};
    ///
    /// let cfg = BrokerConfig::builder("zone-a", Duration::from_millis(1_300)).build();
    /// let core = BrokerCore::new(cfg, Instant::now());
    /// assert_eq!(core.jobs_in_progress(), 0);
    /// ```
    #[must_use]
    pub fn new(cfg: BrokerConfig, now: Instant) -> Self {
        Self {
            rng: StdRng::seed_from_u64(cfg.seed),
            cfg,
            routes: None,
            routes_since: now,
            entry_count: 1,
            agents: Agents::default(),
            jobs: IndexMap::new(),
            waiting: BTreeMap::new(),
            next_order: 0,
            tickets: IndexMap::new(),
            retained_answers: IndexMap::new(),
            last_attempts: IndexMap::new(),
            outstanding_tasks: IndexMap::new(),
            crashes: Crashes::default(),
            early_requests: VecDeque::new(),
            draining: false,
            delays: Delays::default(),
            throughput: IndexMap::new(),
            tick_at: now,
            silence: Silence::new(now),
            placement_at: None,
            evacuations: KnownEvacuations::default(),
            shedding: Shedding::default(),
            sharing: Sharing::default(),
        }
    }

    /// Returns the number of jobs that have not been answered.
    #[must_use]
    pub fn jobs_in_progress(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether a route table is in force and can be used.
    #[must_use]
    pub fn has_routes(&self) -> bool {
        self.usable_routes().is_some()
    }

    /// Returns the number of agents that accept orders.
    #[must_use]
    pub fn usable_agents(&self, now: Instant) -> usize {
        let stale_after = self.cfg.stale_after;
        let agents = self.agents.iter();
        agents
            .filter(|(_, agent)| agent.is_usable(now, stale_after))
            .count()
    }

    /// Processes one event and appends the resulting actions.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        let is_arrival = !matches!(event, Event::Tick | Event::AgentDown { .. } | Event::Drain);
        let received_at = match event {
            Event::Request { received_at, .. } => received_at.min(now),
            _ => now,
        };
        self.detect_silence(now, received_at, is_arrival, actions);
        self.silence.record_event(now);
        let report = WorkerToEntry::is_load_report;
        let is_report = matches!(&event, Event::FromAgent { message, .. } if report(message));
        match event {
            Event::Tick => {}
            Event::Routes(routes) => self.on_routes(now, routes, actions),
            Event::EntryCount(entries) => self.entry_count = entries.max(1),
            Event::AgentUp { link, agent, process } => {
                self.silence.record_report(now);
                let at = self.agents.connect(now, link, agent, process);
                self.sharing.on_agent_up(at, process);
            }
            Event::AgentDown { link } => {
                self.silence.record_lost_link(now);
                self.on_agent_down(link, actions);
            }
            Event::FromAgent { link, message } => {
                self.silence.record_report(now);
                self.on_agent_message(now, link, message, actions);
            }
            Event::Request {
                ticket,
                request,
                received_at,
            } => {
                let received_at = received_at.min(now);
                let arrival = Arrival { ticket, received_at };
                self.on_request(now, arrival, request, actions);
            }
            Event::CallerDisconnected { ticket } => self.on_caller_disconnected(now, ticket, actions),
            Event::Drain => self.draining = true,
            Event::Evacuations { state, age } => self.on_evacuations(now, state, age, actions),
        }
        // Many agents report at about the same time, so place tasks once for all of these reports.
        if is_report && !self.waiting.is_empty() {
            self.placement_at.get_or_insert(now + REPORT_BATCH_DELAY);
        }
        if !is_report || self.placement_at.is_some_and(|at| at <= now) {
            self.placement_at = None;
            self.place_waiting(now, actions);
        }
        if now >= self.tick_at {
            self.process_timers(now, actions);
            let busy = !self.jobs.is_empty()
                || !self.outstanding_tasks.is_empty()
                || !self.early_requests.is_empty();
            let interval = if busy {
                BUSY_CHECK_INTERVAL
            } else {
                IDLE_CHECK_INTERVAL
            };
            self.tick_at = now + interval;
        }
        debug_assert_eq!(self.verify(), [], "the verifier finds no violation");
    }

    /// Returns when the core needs the next [`Event::Tick`].
    #[must_use]
    pub fn next_wakeup(&self) -> Instant {
        self.placement_at.map_or(self.tick_at, |at| at.min(self.tick_at))
    }

    /// Schedules the next check within the busy interval, because there is work in progress now.
    pub(crate) fn schedule_check(&mut self, now: Instant) {
        self.tick_at = self.tick_at.min(now + BUSY_CHECK_INTERVAL);
    }

    fn on_routes(&mut self, now: Instant, routes: RouteTable, actions: &mut Vec<Action>) {
        let newer = self
            .routes
            .as_ref()
            .is_none_or(|known| routes.version > known.version());
        if newer {
            actions.push(Action::Notice(Notice::RoutesInForce {
                version: routes.version,
                routes: routes.routes.len() as u64,
            }));
            self.shedding.set_routes(&routes);
            self.routes = Some(RouteIndex::from(routes));
            self.routes_since = now;
            self.serve_early_requests(now, actions);
        }
    }

    fn serve_early_requests(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for (_, arrival, request) in std::mem::take(&mut self.early_requests) {
            self.on_request(now, arrival, request, actions);
        }
    }

    fn on_evacuations(&mut self, now: Instant, state: Evacuations, age: Duration, actions: &mut Vec<Action>) {
        let Some(change) = self.evacuations.update(now, state.clone()) else {
            return;
        };
        self.agents.apply_evacuations(&self.evacuations);
        let refused = self.refuse_evacuated_jobs(now, actions);
        actions.push(Action::Notice(Notice::EvacuationsInForce {
            state,
            change,
            refused,
            age,
        }));
        self.serve_early_requests(now, actions);
    }

    /// Lists the recorded attempts to an agent, once on each link.
    fn list_attempts(
        &mut self,
        link: LinkNumber,
        at: AgentIndex,
        reads_resources: bool,
        actions: &mut Vec<Action>,
    ) {
        let agent = self.agents.get_mut(at);
        if std::mem::replace(&mut agent.attempts_listed, true) || agent.outstanding.is_empty() {
            return;
        }
        let attempts = |stopping: bool| -> Vec<RecordedAttempt> {
            let matching = agent
                .outstanding
                .iter()
                .filter(|(_, run)| run.stopping == stopping);
            let recorded = matching.map(|(&key, run)| RecordedAttempt {
                key,
                resources: reads_resources.then_some(run.resources),
            });
            recorded.collect()
        };
        let (keep, stop) = (attempts(false), attempts(true));
        actions.push(Action::ToAgent(link, EntryToWorker::Reconcile { keep, stop }));
    }

    fn on_agent_down(&mut self, link: LinkNumber, actions: &mut Vec<Action>) {
        let Some(at) = self.agents.disconnect(link) else {
            return;
        };
        let agent = self.agents.get(at);
        actions.push(Action::Notice(Notice::AgentLost {
            agent: agent.name.clone(),
            outstanding: agent.outstanding.len() as u64,
        }));
    }

    fn on_agent_message(
        &mut self,
        now: Instant,
        link: LinkNumber,
        message: WorkerToEntry,
        actions: &mut Vec<Action>,
    ) {
        let Some(at) = self.agents.index_of(link) else {
            return;
        };
        match message {
            WorkerToEntry::Describe(worker, crashes) => {
                let is_first = !self.agents.get(at).attempts_listed;
                self.list_attempts(link, at, worker.reads_resources, actions);
                self.record_crashes(now, at, crashes, actions);
                self.forward_losses(now, link, at, worker.stores_losses, actions);
                let agent = self.agents.get_mut(at);
                let joined = agent.worker.worker != worker.worker && !worker.pool.is_empty();
                agent.describe(worker, &self.evacuations);
                if joined {
                    actions.push(Action::Notice(Notice::AgentJoined {
                        agent: agent.name.clone(),
                        pool: agent.worker.pool.clone(),
                        outstanding: agent.outstanding.len() as u64,
                    }));
                }
                if is_first {
                    self.send_limits(now, at, |_| true, actions);
                }
            }
            WorkerToEntry::Heartbeat(number, load) => {
                let may_have_waited = self.silence.may_have_waited(now);
                let agent = self.agents.get_mut(at);
                agent.load = Some(load);
                agent.record_heartbeat(now, number, may_have_waited);
                agent.demand_sum = load.demand;
                let reader = agent.worker.reads_demand.then_some(&agent.worker.pool);
                let demand = reader.and_then(|pool| self.shedding.demand(now, pool));
                actions.push(Action::ToAgent(link, EntryToWorker::HeartbeatAck(number, demand)));
            }
            WorkerToEntry::Load(load) => self.agents.get_mut(at).load = Some(load),
            WorkerToEntry::Interference(report) => self.sharing.on_report(now, at, report),
            WorkerToEntry::Ended(ended, load) => {
                self.agents.get_mut(at).load = Some(load);
                self.record_delay(now, at, &ended);
                for run in ended {
                    self.on_ended(now, at, run, actions);
                }
            }
        }
    }
}
