//! Orders to workers: their delivery, late execution and lost replies.

use std::time::Duration;

use chestnutfork_types::{ProcessId, RunOutcome};
use chestnutfork_worker::{CallId, CallOutcome, Order, Reply};
use rand::RngExt;

use super::workers::NameNumber;
use super::{Scenario, ScheduledEvent, Sim};

/// Time after which an unanswered call to a worker is treated as lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(60);

/// Order on its way to a worker.
#[derive(Debug)]
pub(super) struct SentOrder {
    agent: usize,
    process: ProcessId,
    /// Call that waits for the reply, unless the order is carried out late.
    call: Option<CallId>,
    name: NameNumber,
    /// Incarnation of the worker when the order was sent.
    incarnation: u64,
    order: Order,
}

impl Sim {
    pub(super) fn send_order(
        &mut self,
        agent: usize,
        process: ProcessId,
        call: CallId,
        name: NameNumber,
        order: Order,
    ) {
        let longest_wait = match order {
            Order::RenewLease { wait, .. } => wait,
            _ => Duration::ZERO,
        };
        let mut sent = SentOrder {
            agent,
            process,
            call: Some(call),
            name,
            incarnation: self.workers[agent].model.incarnation,
            order,
        };
        if self.is_left_unanswered(agent, &sent.order) {
            self.counts.late_orders += 1;
            self.trace(|| format!("worker {agent} leaves unanswered {:?}", sent.order));
            sent.call = None;
            let late = Duration::from_millis(self.rng.random_range(2_000..12_000));
            self.schedule(late, ScheduledEvent::Order(sent));
            let lost =
                ScheduledEvent::Reply(agent, process, call, reply_without_clock(CallOutcome::NoAnswer));
            self.schedule(CALL_TIMEOUT + longest_wait, lost);
            return;
        }
        let wait = longest_wait.mul_f64(self.rng.random_range(0.0..1.0));
        let delay = Duration::from_millis(self.rng.random_range(1..4)) + wait;
        self.schedule(delay, ScheduledEvent::Order(sent));
    }

    fn is_left_unanswered(&mut self, agent: usize, order: &Order) -> bool {
        let until = self.workers[agent].unanswered_until;
        let [starts, stops, renewals] = until.map(|until| until.is_some_and(|until| self.now < until));
        let (counter, unanswered) = match order {
            Order::Start { .. } => (&mut self.counts.unanswered_starts, starts),
            Order::Stop { .. } => (&mut self.counts.unanswered_stops, stops && !renewals),
            Order::RenewLease { .. } => (&mut self.counts.unanswered_renewals, renewals),
        };
        *counter += u64::from(unanswered);
        let by_chance = self.scenarios.contains(Scenario::UnansweredCalls) && self.rng.random_bool(0.04);
        by_chance
            || match order {
                Order::Start { .. } => starts,
                Order::Stop { .. } => stops,
                Order::RenewLease { .. } => renewals,
            }
    }

    pub(super) fn deliver_order(&mut self, sent: SentOrder) {
        let is_long = self.rng.random_bool(0.1);
        let work = if is_long {
            self.rng.random_range(1_000..3_000)
        } else {
            self.rng.random_range(30..700)
        };
        let work = Duration::from_millis(work);
        let end = if self.rng.random_bool(0.03) {
            RunOutcome::Failed
        } else {
            RunOutcome::Completed
        };
        let SentOrder {
            agent,
            process,
            call,
            name,
            incarnation,
            order,
        } = sent;
        let across = self.scenarios.contains(Scenario::OrdersAcrossRestarts);
        let worker = &mut self.workers[agent];
        if call.is_none() && worker.model.incarnation != incarnation && !across {
            return;
        }
        let reply = if worker.is_down() {
            reply_without_clock(CallOutcome::Unreachable)
        } else if worker.name == name {
            let former = worker.model.incarnation != incarnation;
            self.counts.orders_of_former_incarnation += u64::from(former);
            let reply = worker.model.carry_out(self.now, &order, work, end);
            // Only lists of runs state the incarnation.
            let lists = matches!(reply.outcome, CallOutcome::LeaseRenewed(_));
            Reply {
                started_at: lists.then_some(Duration::from_secs(worker.model.incarnation)),
                ..reply
            }
        } else {
            reply_without_clock(CallOutcome::OtherIncarnation)
        };
        self.observe_reply(agent, call.is_none(), &order, &reply.outcome);
        if let Some(call) = call {
            let lost = self.scenarios.contains(Scenario::UnansweredCalls) && self.rng.random_bool(0.02);
            let (delay, reply) = if lost {
                (CALL_TIMEOUT, reply_without_clock(CallOutcome::NoAnswer))
            } else {
                (Duration::from_millis(1), reply)
            };
            self.schedule(delay, ScheduledEvent::Reply(agent, process, call, reply));
        }
    }

    /// Records what an order did.
    fn observe_reply(&mut self, agent: usize, late: bool, order: &Order, outcome: &CallOutcome) {
        if let (Order::Start { task, .. }, CallOutcome::Done) = (order, outcome) {
            self.counts.starts += 1;
            self.counts.late_starts += u64::from(late);
            self.counts.starts_before_announcement += u64::from(!self.workers[agent].announced);
            self.started_jobs.insert(task.job);
            self.observe_crashing_start(agent, self.workers[agent].model.incarnation, *task);
        }
        if let CallOutcome::LeaseRenewed(list) = outcome {
            let ended = list.ended.iter();
            let completed = ended.filter(|listed| listed.outcome == RunOutcome::Completed);
            self.completed_tasks
                .extend(completed.map(|listed| listed.run.task));
        }
        let incarnation = self.workers[agent].model.incarnation;
        self.trace(|| {
            format!("worker {agent} of incarnation {incarnation}, late {late}: {order:?} -> {outcome:?}")
        });
    }
}

fn reply_without_clock(outcome: CallOutcome) -> Reply {
    Reply {
        clock: None,
        started_at: None,
        outcome,
    }
}
