//! State of the entry core, event handling and wake-up times.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use chestnutfork_limits::Quotas;
use chestnutfork_register as register;
use chestnutfork_register::{Register, View};
use chestnutfork_routing::Router;
use chestnutfork_types::{JobId, ProcessId, ServiceName, TeamName, ViewNumber};
use indexmap::{IndexMap, IndexSet};

use crate::agents::Agents;
use crate::builder::EntryCoreBuilder;
use crate::event::{Action, Event, PeerMessage, PolicyTable, Ticket};
use crate::job::{AttemptId, Job};
use crate::pending::PendingSubmission;
use crate::service::Service;

/// Interval at which entries exchange their numbers of tasks in flight by team.
pub(crate) const USAGE_INTERVAL: Duration = Duration::from_millis(500);

/// State machine of an entry process.
#[derive(Debug)]
pub struct EntryCore {
    pub(crate) process_id: ProcessId,
    pub(crate) register: Register,
    pub(crate) router: Router,
    pub(crate) quotas: Quotas,
    /// Version of the configuration in force.
    pub(crate) policies_version: u64,
    pub(crate) services: IndexMap<ServiceName, Service>,
    pub(crate) teams: IndexSet<TeamName>,
    pub(crate) agents: Agents,
    /// Other entries whose link is open.
    pub(crate) peers: IndexSet<ProcessId>,
    pub(crate) view: Option<View>,
    /// Jobs that this entry owns.
    pub(crate) jobs: IndexMap<JobId, Job>,
    /// Submissions that wait for another entry or for the register.
    pub(crate) pending: IndexMap<JobId, PendingSubmission>,
    /// Job of each request without a reply.
    pub(crate) tickets: IndexMap<Ticket, JobId>,
    /// Deadlines of owned jobs and pending submissions, grace periods included.
    pub(crate) deadlines: BTreeSet<(Instant, JobId)>,
    /// Times at which attempts in flight are due for a hedge.
    pub(crate) hedges: BTreeSet<(Instant, AttemptId)>,
    /// End of the grace period of each agent whose link is down.
    pub(crate) unlinked_agents: BTreeSet<(Instant, ProcessId)>,
    /// Whether control has confirmed the configuration.
    pub(crate) confirmed: bool,
    pub(crate) draining: bool,
    pub(crate) drained: bool,
    /// Time of the next exchange of usage.
    pub(crate) usage_due: Instant,
    /// Index of the service that is served first in the next round of placement.
    pub(crate) round_robin_start: usize,
    /// Earliest time at which a task stops waiting for a faster target.
    pub(crate) placement_wakeup: Option<Instant>,
    register_actions: Vec<register::Action>,
}

impl EntryCore {
    /// Returns a builder for the core of the entry process `process_id`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_dispatch::EntryCore;
    ///
    /// let core = EntryCore::builder(7).seed(1).build(Instant::now());
    /// assert!(core.verify().is_empty());
    /// ```
    #[must_use]
    pub fn builder(process_id: ProcessId) -> EntryCoreBuilder {
        EntryCoreBuilder::new(process_id)
    }

    pub(crate) fn from_builder(builder: &EntryCoreBuilder, now: Instant) -> Self {
        let register = Register::builder(builder.process_id)
            .retention(builder.retention)
            .max_records(builder.max_records)
            .build();
        Self {
            process_id: builder.process_id,
            register,
            router: Router::new(builder.seed),
            quotas: Quotas::new(),
            policies_version: 0,
            services: IndexMap::new(),
            teams: IndexSet::new(),
            agents: Agents::default(),
            peers: IndexSet::new(),
            view: None,
            jobs: IndexMap::new(),
            pending: IndexMap::new(),
            tickets: IndexMap::new(),
            deadlines: BTreeSet::new(),
            hedges: BTreeSet::new(),
            unlinked_agents: BTreeSet::new(),
            confirmed: false,
            draining: false,
            drained: false,
            usage_due: now,
            round_robin_start: 0,
            placement_wakeup: None,
            register_actions: Vec::new(),
        }
    }

    /// Handles one event and appends the resulting actions, which must be performed in order.
    ///
    /// `wall` is the time since the Unix epoch; it is compared only with the time part of job ids.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_dispatch::{Action, EntryCore, Event};
    ///
    /// let now = Instant::now();
    /// let mut core = EntryCore::builder(7).build(now);
    /// let mut actions = Vec::new();
    /// core.handle(now, Duration::from_secs(1), Event::Drain, &mut actions);
    /// assert_eq!(actions, [Action::Drained]);
    /// ```
    pub fn handle(&mut self, now: Instant, wall: Duration, event: Event, actions: &mut Vec<Action>) {
        self.handle_all(now, wall, [event], actions);
    }

    /// Handles a batch of events and dispatches once after the last of them.
    pub fn handle_all(
        &mut self,
        now: Instant,
        wall: Duration,
        events: impl IntoIterator<Item = Event>,
        actions: &mut Vec<Action>,
    ) {
        for event in events {
            self.apply(now, wall, event, actions);
        }
        // After a stall, messages may be handled before the timer; an expired task must not be dispatched.
        self.expire_deadlines(now, wall, actions);
        self.place_queued(now, actions);
        self.report_drained(actions);
        debug_assert!(self.verify().is_empty(), "{:?}", self.verify());
    }

    fn apply(&mut self, now: Instant, wall: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Submit {
                ticket,
                job,
                fresh_id,
            } => self.submit(now, wall, ticket, job, fresh_id, actions),
            Event::Abandon { ticket } => self.abandon(ticket),
            Event::Cancel { ticket, job, team } => self.cancel(now, wall, ticket, job, &team, actions),
            Event::AgentUp { agent } => self.on_agent_up(agent, actions),
            Event::AgentMessage { agent, message } => {
                self.on_agent_message(now, wall, agent, message, actions);
            }
            Event::AgentDown { agent } => self.on_agent_down(now, agent),
            Event::PeerUp { peer } => self.on_peer_up(peer, actions),
            Event::PeerMessage { peer, message } => self.on_peer_message(now, wall, peer, message, actions),
            Event::PeerDown { peer } => self.on_peer_down(now, wall, peer, actions),
            Event::ViewInstalled(view) => self.install_view(now, wall, view, actions),
            Event::Policies(table) => self.install_policies(now, wall, table, actions),
            Event::Confirmed(confirmed) => self.confirmed = confirmed,
            Event::Drain => self.draining = true,
            Event::Tick => self.on_tick(now, wall, actions),
        }
    }

    /// Returns the time of the next [`Event::Tick`], if one is needed.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        [
            self.register.next_wakeup(),
            self.router.next_wakeup(),
            self.placement_wakeup,
            self.deadlines.first().map(|&(at, _)| at),
            self.hedges.first().map(|&(at, _)| at),
            self.unlinked_agents.first().map(|&(at, _)| at),
            self.agents_wakeup(),
            (!self.peers.is_empty()).then_some(self.usage_due),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Returns the number of the current view if this entry has copied the register for it.
    ///
    /// Every lease renewal reports it to control, because a single report of [`Action::Synced`] may be lost.
    #[must_use]
    pub fn synced_view(&self) -> Option<ViewNumber> {
        self.register.synced_view()
    }

    /// Passes an event to the register and performs the resulting actions.
    pub(crate) fn handle_register_event(
        &mut self,
        now: Instant,
        wall: Duration,
        event: register::Event,
        actions: &mut Vec<Action>,
    ) {
        let mut produced = std::mem::take(&mut self.register_actions);
        self.register.handle(now, wall, event, &mut produced);
        for action in produced.drain(..) {
            self.handle_register_action(now, wall, action, actions);
        }
        self.register_actions = produced;
    }

    fn handle_register_action(
        &mut self,
        now: Instant,
        wall: Duration,
        action: register::Action,
        actions: &mut Vec<Action>,
    ) {
        match action {
            register::Action::Send { peer, message } => {
                actions.push(Action::ToPeer {
                    peer,
                    message: PeerMessage::Register(message),
                });
            }
            register::Action::Claimed { job } => self.on_claimed(now, wall, job, actions),
            register::Action::OwnedBy { job, owner } => self.on_owner_known(now, wall, job, owner, actions),
            register::Action::NotClaimed { job } => self.on_unclaimed(job, actions),
            register::Action::Answered { job, answer } => self.on_answered(job, &answer, actions),
            register::Action::Recorded { job, answer } => self.on_recorded(job, &answer, actions),
            register::Action::Refused { job, refusal } => self.on_register_refusal(job, &refusal, actions),
            register::Action::Synced { view } => actions.push(Action::Synced { view }),
        }
    }

    fn on_peer_up(&mut self, peer: ProcessId, actions: &mut Vec<Action>) {
        self.peers.insert(peer);
        self.repeat_joins(peer, actions);
    }

    fn on_peer_down(&mut self, now: Instant, wall: Duration, peer: ProcessId, actions: &mut Vec<Action>) {
        self.peers.swap_remove(&peer);
        self.handle_register_event(now, wall, register::Event::PeerDown { peer }, actions);
    }

    fn on_peer_message(
        &mut self,
        now: Instant,
        wall: Duration,
        peer: ProcessId,
        message: PeerMessage,
        actions: &mut Vec<Action>,
    ) {
        match message {
            PeerMessage::Register(message) => {
                self.handle_register_event(now, wall, register::Event::FromPeer { peer, message }, actions);
            }
            PeerMessage::Join { job, digest } => self.on_join(peer, job, digest, actions),
            PeerMessage::JoinResult { job, result } => self.on_join_result(peer, job, &result, actions),
            PeerMessage::NotOwner { job } => self.on_not_owner(now, wall, peer, job, actions),
            PeerMessage::Cancel { job, team } => self.cancel_owned(now, wall, job, &team, actions),
            PeerMessage::Usage(usage) => {
                let usage: Vec<_> = usage
                    .into_iter()
                    .map(|usage| (usage.team, usage.in_flight))
                    .collect();
                self.quotas.on_peer_usage(peer, &usage, now);
            }
        }
    }

    fn install_view(&mut self, now: Instant, wall: Duration, view: View, actions: &mut Vec<Action>) {
        if self
            .view
            .as_ref()
            .is_some_and(|current| current.number >= view.number)
        {
            return;
        }
        if let Some(former) = &self.view {
            for &peer in former.members.iter().filter(|peer| !view.members.contains(peer)) {
                self.quotas.remove_peer(peer);
            }
        }
        let entries = u32::try_from(view.members.len()).unwrap_or(u32::MAX);
        self.quotas.set_entry_count(entries.max(1));
        self.view = Some(view.clone());
        self.handle_register_event(now, wall, register::Event::ViewInstalled(view), actions);
        self.take_over_from_lost_owners(now, wall, actions);
    }

    fn install_policies(
        &mut self,
        now: Instant,
        wall: Duration,
        table: PolicyTable,
        actions: &mut Vec<Action>,
    ) {
        if table.version < self.policies_version {
            return;
        }
        self.policies_version = table.version;
        for service in self.services.values_mut() {
            service.active = false;
        }
        for (name, policy) in table.services {
            match self.services.get_mut(&name) {
                Some(service) => service.update(policy),
                None => drop(self.services.insert(name, Service::new(policy))),
            }
        }
        let teams: Vec<_> = self.teams.iter().cloned().collect();
        for team in teams {
            let quota = table
                .quotas
                .iter()
                .find(|quota| quota.team == team)
                .map_or(0, |quota| quota.quota);
            self.quotas.set_quota(&team, quota);
        }
        for quota in table.quotas {
            self.quotas.set_quota(&quota.team, quota.quota);
            self.teams.insert(quota.team);
        }
        self.end_jobs_of_removed_services(now, wall, actions);
    }

    fn report_drained(&mut self, actions: &mut Vec<Action>) {
        if self.draining && !self.drained && self.jobs.is_empty() && self.pending.is_empty() {
            self.drained = true;
            actions.push(Action::Drained);
        }
    }
}
