//! Task that owns the state of a target and answers messages about it.

use std::collections::HashMap;
use std::time::Instant;

use chestnutfork_types::TaskIndex;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep_until;
use uuid::Uuid;

use super::behaviour::{Behaviour, BehaviourChange};
use super::journal::Journal;
use super::state::{Order, RunEnd, RunId, Started, State};

/// Number of messages that may wait for the actor before senders wait.
pub(super) const MAILBOX: usize = 1_024;

/// Message to the actor.
#[derive(Debug)]
pub(super) enum Message {
    /// Runs a task and reports its end.
    Start(Order, oneshot::Sender<RunEnd>),
    /// Stops a task and replies with the number of stopped runs once they have ended.
    Stop(Uuid, TaskIndex, oneshot::Sender<usize>),
    /// Changes the behaviour.
    Change(BehaviourChange, oneshot::Sender<()>),
    /// Copies the journal.
    Journal(oneshot::Sender<Journal>),
    /// Replies once no task runs.
    WaitIdle(oneshot::Sender<()>),
}

/// What connections and the announcer need to know about the behaviour.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outside {
    /// Present behaviour.
    pub behaviour: Behaviour,
    /// Connections are numbered from 1; those up to this number stay silent for good.
    pub silent_through: u64,
}

/// Stop request that waits for runs to end.
#[derive(Debug)]
struct PendingStop {
    left: Vec<RunId>,
    count: usize,
    reply: oneshot::Sender<usize>,
}

/// The actor.
#[derive(Debug)]
pub(super) struct Actor {
    state: State,
    outside: watch::Sender<Outside>,
    connections: watch::Receiver<u64>,
    callers: HashMap<RunId, oneshot::Sender<RunEnd>>,
    stops: Vec<PendingStop>,
    idle: Vec<oneshot::Sender<()>>,
    ends: Vec<(RunId, Order, RunEnd)>,
}

impl Actor {
    /// Creates the actor of an idle target.
    pub fn new(state: State, outside: watch::Sender<Outside>, connections: watch::Receiver<u64>) -> Self {
        Self {
            state,
            outside,
            connections,
            callers: HashMap::new(),
            stops: Vec::new(),
            idle: Vec::new(),
            ends: Vec::new(),
        }
    }

    /// Handles messages and ends of runs until every sender is gone.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<Message>) {
        loop {
            let wakeup = self.state.next_wakeup();
            let timer = async {
                match wakeup {
                    Some(at) => sleep_until(at.into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.handle(Instant::now(), message),
                    None => return,
                },
                () = timer => {}
            }
            self.deliver(Instant::now());
        }
    }

    fn handle(&mut self, now: Instant, message: Message) {
        match message {
            Message::Start(order, reply) => match self.state.start(now, order) {
                Started::Running(id) => {
                    self.callers.insert(id, reply);
                }
                Started::Ended(end) => {
                    reply.send(end).ok();
                }
            },
            Message::Stop(job, task, reply) => {
                let mut left = Vec::new();
                self.state.stop(now, job, task, &mut left);
                let count = left.len();
                self.stops.push(PendingStop { left, count, reply });
            }
            Message::Change(change, reply) => {
                self.change(now, change);
                reply.send(()).ok();
            }
            Message::Journal(reply) => {
                reply.send(self.state.journal().clone()).ok();
            }
            Message::WaitIdle(reply) => self.idle.push(reply),
        }
    }

    fn change(&mut self, now: Instant, change: BehaviourChange) {
        self.state.change(now, change);
        let newest = *self.connections.borrow();
        let behaviour = self.state.behaviour();
        self.outside.send_modify(|outside| {
            outside.behaviour = behaviour;
            if change.silence_open == Some(true) {
                outside.silent_through = newest;
            }
        });
    }

    fn deliver(&mut self, now: Instant) {
        let mut ends = std::mem::take(&mut self.ends);
        self.state.collect(now, &mut ends);
        for (id, _, end) in ends.drain(..) {
            for stop in &mut self.stops {
                stop.left.retain(|&left| left != id);
            }
            if let Some(caller) = self.callers.remove(&id) {
                // A caller that has hung up does not want the end.
                caller.send(end).ok();
            }
        }
        self.ends = ends;
        for stop in self.stops.extract_if(.., |stop| stop.left.is_empty()) {
            stop.reply.send(stop.count).ok();
        }
        if self.state.running() == 0 {
            for reply in self.idle.drain(..) {
                reply.send(()).ok();
            }
        }
    }
}
