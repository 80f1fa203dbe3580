//! Task that owns the state of the platform and answers messages about it.

use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

use super::model::{Lease, LeaseId, LeaseRequest, Notice, TaskAction, TaskRef, Usage, Worker};
use super::state::{Decline, State};

/// Number of messages that may wait for the actor before senders wait.
pub(super) const MAILBOX: usize = 256;

/// Channel for the answer to a message.
type Reply<T> = oneshot::Sender<T>;

/// Message to the actor.
#[derive(Debug)]
pub(super) enum Message {
    /// Lists the workers.
    Workers(Reply<Vec<Worker>>),
    /// Asks for a lease on a worker.
    Lease(String, LeaseRequest, Reply<Result<Lease, Decline>>),
    /// Extends a lease by a lifetime in milliseconds.
    Renew(LeaseId, u64, Reply<Result<Lease, Decline>>),
    /// Ends a lease.
    Release(LeaseId, Reply<Result<(), Decline>>),
    /// Asks for the use of a worker.
    Usage(String, Reply<Result<Usage, Decline>>),
    /// Acts on a task.
    Act(TaskRef, TaskAction, Reply<Result<(), Decline>>),
    /// Announces that a worker leaves.
    Leave(String, Duration, Reply<Result<(), Decline>>),
    /// Lists the notices after a number.
    Notices(u64, Reply<Vec<Notice>>),
    /// Lists the actions on tasks.
    Actions(Reply<Vec<(TaskRef, TaskAction)>>),
}

/// Handles messages and expiries until every sender is gone.
pub(super) async fn run(mut state: State, mut inbox: mpsc::Receiver<Message>) {
    loop {
        let wakeup = state.next_wakeup();
        let timer = async {
            match wakeup {
                Some(at) => sleep_until(at.into()).await,
                None => std::future::pending().await,
            }
        };
        let message = tokio::select! {
            message = inbox.recv() => match message {
                Some(message) => Some(message),
                None => return,
            },
            () = timer => None,
        };
        let now = Instant::now();
        state.expire(now);
        if let Some(message) = message {
            handle(&mut state, now, message);
        }
    }
}

/// Handles one message; an asker that has gone away does not want the answer.
fn handle(state: &mut State, now: Instant, message: Message) {
    match message {
        Message::Workers(reply) => {
            reply.send(state.workers()).ok();
        }
        Message::Lease(worker, request, reply) => {
            reply.send(state.lease(now, &worker, request)).ok();
        }
        Message::Renew(id, ttl_ms, reply) => {
            reply.send(state.renew(now, id, ttl_ms)).ok();
        }
        Message::Release(id, reply) => {
            reply.send(state.release(now, id)).ok();
        }
        Message::Usage(worker, reply) => {
            reply.send(state.usage(now, &worker)).ok();
        }
        Message::Act(task, action, reply) => {
            reply.send(state.act(task, action)).ok();
        }
        Message::Leave(worker, leaves_in, reply) => {
            reply.send(state.leave(&worker, leaves_in)).ok();
        }
        Message::Notices(after, reply) => {
            reply.send(state.notices(after)).ok();
        }
        Message::Actions(reply) => {
            reply.send(state.actions()).ok();
        }
    }
}
