//! Events of the cores, and what their actions cause.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_broker::{
    Action as EntryAction, Answer, Event as EntryEvent, JobState, JobSubmission, Notice as EntryNotice,
    Request, RequestKind, StepSpec,
};
use chestnutfork_types::{EntryToWorker, JobId, Resources, RunOutcome};
use chestnutfork_worker::{
    Action as AgentAction, CallId, CallOutcome, Event as AgentEvent, Notice as AgentNotice, Order, Reply,
};

use super::jobs::{KINDS, objective};
use super::{CALL_DELAY, LINK_DELAY, ScheduledEvent, Sim, WARM_UP};

/// Reason with which an agent refuses orders for lack of capacity.
const FULL: &str = "the worker is full";

impl Sim {
    pub(super) fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::EntryTick(entry) => {
                if self.entries[usize::from(entry)].tick_at == Some(self.now) {
                    self.entries[usize::from(entry)].tick_at = None;
                    self.handle_entry(entry, EntryEvent::Tick);
                }
            }
            ScheduledEvent::AgentTick(agent) => {
                if self.agents[usize::from(agent)].tick_at == Some(self.now) {
                    self.agents[usize::from(agent)].tick_at = None;
                    self.handle_agent(agent, AgentEvent::Tick);
                }
            }
            ScheduledEvent::ToEntry(entry, link, message) => {
                if self.connections.carries(link) {
                    self.handle_entry(entry, EntryEvent::FromAgent { link, message });
                }
            }
            ScheduledEvent::ToAgent(agent, link, message) => {
                if !self.connections.carries(link) {
                    return;
                }
                if let EntryToWorker::Start(order) = &message {
                    let elapsed = self.elapsed();
                    self.measures.second(elapsed).orders +=
                        u32::try_from(order.tasks.len()).expect("orders are small");
                }
                self.handle_agent(agent, AgentEvent::FromEntry { link, message });
            }
            ScheduledEvent::Order(agent, life, call, order) => {
                if self.agents[usize::from(agent)].life == life {
                    self.carry_out(agent, call, &order);
                }
            }
            ScheduledEvent::Reply(agent, life, call, reply) => {
                if self.agents[usize::from(agent)].life == life {
                    self.handle_agent(agent, AgentEvent::Replied { call, reply });
                }
            }
            ScheduledEvent::Worker(agent) => self.answer_renewal(agent),
            ScheduledEvent::Submit(id) => self.submit(id),
            ScheduledEvent::Connect(entry, agent) => self.connect(entry, agent),
            ScheduledEvent::Change(change) => self.apply(change),
        }
    }

    fn submit(&mut self, id: JobId) {
        let entry = self.draw_entry();
        let (now, elapsed) = (self.now, self.elapsed());
        let job = self.jobs.get_mut(&id).expect("submitted jobs are known");
        job.submitted_at = now;
        let (tasks, millis, _) = KINDS[job.kind];
        self.measures.second(elapsed).submitted += 1;
        if self.entries[usize::from(entry)].core.is_none() {
            self.submit_again(id);
            return;
        }
        self.measures.started.remove(&id);
        self.unanswered.insert(id, entry);
        let step = StepSpec {
            tasks,
            resources: task_resources(),
            declared_run_time: Duration::from_millis(u64::from(millis)),
            ..StepSpec::default()
        };
        let submission = JobSubmission {
            spec: Bytes::from_static(b"x"),
            steps: vec![step],
            ..JobSubmission::default()
        };
        let request = Request {
            host: "h".to_owned(),
            queue: "/q/".to_owned(),
            job: Some(id),
            timeout: None,
            kind: RequestKind::Submit(submission),
        };
        let event = EntryEvent::Request {
            ticket: u64::try_from(id).expect("ids are small"),
            request,
            received_at: self.now,
        };
        self.handle_entry(entry, event);
    }

    pub fn handle_entry(&mut self, entry: u16, event: EntryEvent) {
        let Some(core) = &mut self.entries[usize::from(entry)].core else {
            return;
        };
        let mut actions = Vec::new();
        core.handle(self.now, event, &mut actions);
        let elapsed = self.elapsed();
        for action in actions {
            match action {
                EntryAction::ToAgent(link, message) => {
                    let agent = self.connections.agent_of(link);
                    self.schedule(LINK_DELAY, ScheduledEvent::ToAgent(agent, link, message));
                }
                EntryAction::Answer(ticket, answer) => self.record_answer(JobId::from(ticket), answer),
                EntryAction::Notice(EntryNotice::JobRefused { waited, .. }) => {
                    self.measures.record_refusal(elapsed, waited);
                }
                EntryAction::Notice(_) => {}
            }
        }
        let host = &mut self.entries[usize::from(entry)];
        let Some(core) = &host.core else {
            return;
        };
        let at = core.next_wakeup().max(self.now + Duration::from_micros(100));
        if host
            .tick_at
            .is_none_or(|scheduled| at < scheduled || scheduled < self.now)
        {
            host.tick_at = Some(at);
            self.schedule(at - self.now, ScheduledEvent::EntryTick(entry));
        }
    }

    fn record_answer(&mut self, id: JobId, answer: Answer) {
        self.unanswered.remove(&id);
        if answer != Answer::State(JobState::Completed) {
            return;
        }
        self.measures.completed.insert(id, self.now);
        let job = &self.jobs[&id];
        if self.now <= job.submitted_at + objective(job.kind) {
            let since = job.submitted_at.saturating_duration_since(self.start + WARM_UP);
            self.measures.second(since).in_time += 1;
        }
    }

    pub fn handle_agent(&mut self, agent: u16, event: AgentEvent) {
        let Some(core) = &mut self.agents[usize::from(agent)].core else {
            return;
        };
        let mut actions = Vec::new();
        core.handle(self.now, event, &mut actions);
        let (life, elapsed) = (self.agents[usize::from(agent)].life, self.elapsed());
        for action in actions {
            match action {
                AgentAction::ToEntry(link, message) => {
                    let entry = self.connections.entry_of(link);
                    self.schedule(LINK_DELAY, ScheduledEvent::ToEntry(entry, link, message));
                }
                AgentAction::Call { call, order, .. } => {
                    self.schedule(CALL_DELAY, ScheduledEvent::Order(agent, life, call, order));
                }
                AgentAction::Notice(AgentNotice::StartRefused { key, reason }) if reason == FULL => {
                    self.measures.record_full(elapsed, key.task);
                }
                AgentAction::Notice(_) => {}
            }
        }
        let host = &mut self.agents[usize::from(agent)];
        let Some(core) = &host.core else {
            return;
        };
        let at = core.next_wakeup().max(self.now + Duration::from_micros(100));
        if host
            .tick_at
            .is_none_or(|scheduled| at < scheduled || scheduled < self.now)
        {
            host.tick_at = Some(at);
            self.schedule(at - self.now, ScheduledEvent::AgentTick(agent));
        }
    }

    fn carry_out(&mut self, agent: u16, call: CallId, order: &Order) {
        let mut work = Duration::ZERO;
        if let Order::Start { task, .. } = order {
            work = self.jobs[&task.job].run_times[usize::from(task.index)];
        }
        let host = &mut self.agents[usize::from(agent)];
        let life = host.life;
        let reply = host
            .worker
            .carry_out(self.now, order, work, RunOutcome::Completed);
        if let (Order::Start { task, .. }, CallOutcome::Done) = (order, &reply.outcome) {
            self.measures.starts += 1;
            self.measures.started.entry(task.job).or_insert(self.now);
            self.schedule(work, ScheduledEvent::Worker(agent));
        }
        if let (Order::RenewLease { wait, .. }, CallOutcome::LeaseRenewed(list)) = (order, &reply.outcome)
            && list.ended.is_empty()
            && !wait.is_zero()
        {
            self.agents[usize::from(agent)].waiting = Some((call, self.now + *wait));
            self.schedule(*wait, ScheduledEvent::Worker(agent));
            return;
        }
        self.schedule(CALL_DELAY, ScheduledEvent::Reply(agent, life, call, reply));
    }

    fn answer_renewal(&mut self, agent: u16) {
        let host = &mut self.agents[usize::from(agent)];
        host.worker.advance(self.now);
        let list = host.worker.lists();
        let due = |&(_, until): &(CallId, _)| self.now >= until || !list.ended.is_empty();
        if let Some((call, _)) = host.waiting.filter(due) {
            host.waiting = None;
            let reply = Reply {
                clock: Some(host.worker.clock(self.now)),
                started_at: None,
                outcome: CallOutcome::LeaseRenewed(list),
            };
            let event = ScheduledEvent::Reply(agent, host.life, call, reply);
            self.schedule(CALL_DELAY, event);
        }
    }
}

fn task_resources() -> Resources {
    Resources {
        cpu_millis: 2_500,
        memory_mb: 100,
        gpus: 0,
    }
}
