//! Budget for the connections and the unfinished requests of a process.
//!
//! One actor owns the [`Ledger`]. A connection has an allotment of its own; only a request that outgrows it asks the
//! actor for bytes. If they are not available, the actor asks the connection that is furthest behind to give up its
//! request. The connection declines if it is further on than the actor knows, so ordinary requests report no progress.

mod ledger;
mod limits;
mod memory;
mod progress;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnutfork_events::{LinkEvent, ProcessEvent, emit};
use indexmap::IndexMap;
use tokio::sync::{mpsc, oneshot};

use crate::metrics::Metrics;
use crate::wakeup::now;
use ledger::Ledger;
pub(crate) use ledger::{ConnectionNumber, Part};
pub use limits::ProcessLimits;
pub(crate) use limits::{ALLOTMENT_BYTES, EVICTION_TIMEOUT, RECEIVE_BUFFER_BYTES, clamp_head};
pub use memory::{HeldMemory, RequestMemory};
pub(crate) use progress::Progress;

/// Maximum number of connections that are asked on behalf of one request; if all of them are in use, the request is
/// refused. It bounds the work for each refusal under overload.
const MAX_ASKED: u32 = 64;
/// Difference in progress below which connections are equally far behind. Slow requests progress all the time, and each
/// would otherwise have to be asked twice.
const PROGRESS_TOLERANCE: Duration = Duration::from_millis(100);
/// Minimum interval between log events of one kind.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Handle to the budget of a process; clones share one budget.
#[derive(Clone, Debug)]
pub struct RequestBudget {
    limits: ProcessLimits,
    messages: mpsc::UnboundedSender<BudgetMessage>,
}

/// Request to a connection to give up its unfinished request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evict {
    /// A connection that is on schedule beyond this time declines.
    pub(crate) behind: Instant,
}

/// Connection that counts towards the budget; dropping it ends that.
#[derive(Debug)]
pub(crate) struct BudgetedConnection {
    pub(crate) account: Account,
    pub(crate) evictions: mpsc::Receiver<Evict>,
}

/// Access of a connection to the budget.
#[derive(Debug)]
pub(crate) struct Account {
    number: ConnectionNumber,
    messages: mpsc::UnboundedSender<BudgetMessage>,
}

/// The budget has ended, so the server must stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BudgetEnded;

#[derive(Debug)]
enum BudgetMessage {
    Open(oneshot::Sender<Option<BudgetedConnection>>),
    Charge {
        connection: ConnectionNumber,
        part: Part,
        bytes: usize,
        on_schedule_until: Instant,
        reply: oneshot::Sender<bool>,
    },
    Release(ConnectionNumber, Part),
    /// A connection declines to give up its request.
    Declined {
        connection: ConnectionNumber,
        on_schedule_until: Instant,
    },
    Close(ConnectionNumber),
}

impl RequestBudget {
    /// Starts the actor of a budget. It ends when the last handle has been dropped.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_net::{Metrics, ProcessLimits, RequestBudget};
    ///
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// let budget = RequestBudget::start(ProcessLimits::default(), Metrics::disabled());
    /// # let _ = budget;
    /// # });
    /// ```
    #[must_use]
    pub fn start(limits: ProcessLimits, metrics: Metrics) -> Self {
        let (messages, inbox) = mpsc::unbounded_channel();
        let actor = BudgetActor {
            ledger: Ledger::new(limits.max_connections(), limits.max_request_bytes()),
            connections: IndexMap::new(),
            pending: VecDeque::new(),
            asked: None,
            next_number: 0,
            // The handle of the budget keeps the actor running, not the actor itself.
            messages: messages.downgrade(),
            metrics,
            evictions: Occurrences::default(),
            refusals: Occurrences::default(),
        };
        tokio::spawn(actor.run(inbox));
        Self { limits, messages }
    }

    /// Returns the limits that the budget has been started with.
    #[must_use]
    pub fn limits(&self) -> ProcessLimits {
        self.limits
    }

    /// Waits until the actor of the budget has ended, after which its servers accept no connection.
    ///
    /// This is a failure of the process, which has to end so that it is restarted.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use chestnutfork_net::{Metrics, ProcessLimits, RequestBudget};
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let budget = RequestBudget::start(ProcessLimits::default(), Metrics::disabled());
    /// let ended = tokio::time::timeout(Duration::from_millis(1), budget.ended());
    /// assert!(ended.await.is_err());
    /// # });
    /// ```
    pub async fn ended(&self) {
        self.messages.closed().await;
        emit(&ProcessEvent::ActorFailed {
            actor: "request budget",
            error: "the task has ended",
        });
    }

    /// Adds a connection, or returns `None` if the limit is reached and no connection can be closed for it.
    pub(crate) async fn open(&self) -> Result<Option<BudgetedConnection>, BudgetEnded> {
        let (reply, opened) = oneshot::channel();
        let sent = self.messages.send(BudgetMessage::Open(reply));
        let opened = if sent.is_ok() { opened.await.ok() } else { None };
        opened.ok_or(BudgetEnded)
    }
}

impl Account {
    /// Requests that the charge for a part of this connection's request is raised to `bytes`; returns whether it is.
    pub(crate) async fn charge(&self, part: Part, bytes: usize, on_schedule_until: Instant) -> bool {
        let (reply, granted) = oneshot::channel();
        let message = BudgetMessage::Charge {
            connection: self.number,
            part,
            bytes,
            on_schedule_until,
            reply,
        };
        self.messages.send(message).is_ok() && granted.await.unwrap_or(false)
    }

    /// Ends the charge for a part of this connection's request.
    pub(crate) fn release(&self, part: Part) {
        // Without an actor there is nothing to release.
        let _ = self.messages.send(BudgetMessage::Release(self.number, part));
    }

    /// Declines to give up the request, which is on schedule until the given time.
    pub(crate) fn decline(&self, on_schedule_until: Instant) {
        let _ = self.messages.send(BudgetMessage::Declined {
            connection: self.number,
            on_schedule_until,
        });
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let _ = self.messages.send(BudgetMessage::Close(self.number));
    }
}

/// Request that waits until another one has been given up.
#[derive(Debug)]
struct Pending {
    demand: Demand,
    since: Instant,
    asked: u32,
}

#[derive(Debug)]
enum Demand {
    Connection(oneshot::Sender<Option<BudgetedConnection>>),
    Bytes {
        connection: ConnectionNumber,
        part: Part,
        bytes: usize,
        on_schedule_until: Instant,
        reply: oneshot::Sender<bool>,
    },
}

/// Number of occurrences since the last log event.
#[derive(Debug, Default)]
pub(crate) struct Occurrences {
    count: u64,
    logged_at: Option<Instant>,
}

impl Occurrences {
    /// Counts an occurrence, and returns the count if it is to be logged now.
    pub(crate) fn add(&mut self, now: Instant) -> Option<u64> {
        self.count += 1;
        let due = self
            .logged_at
            .is_none_or(|at| now.duration_since(at) >= LOG_INTERVAL);
        due.then(|| {
            self.logged_at = Some(now);
            std::mem::take(&mut self.count)
        })
    }
}

#[derive(Debug)]
struct BudgetActor {
    ledger: Ledger,
    connections: IndexMap<ConnectionNumber, mpsc::Sender<Evict>>,
    pending: VecDeque<Pending>,
    /// Connection that has been asked to give up its request and has not answered.
    asked: Option<ConnectionNumber>,
    next_number: ConnectionNumber,
    messages: mpsc::WeakUnboundedSender<BudgetMessage>,
    metrics: Metrics,
    evictions: Occurrences,
    refusals: Occurrences,
}

impl BudgetActor {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<BudgetMessage>) {
        while let Some(message) = inbox.recv().await {
            self.handle(message, now());
            self.serve_pending(now());
        }
    }

    fn handle(&mut self, message: BudgetMessage, now: Instant) {
        match message {
            BudgetMessage::Open(reply) => self.enqueue(Demand::Connection(reply), now),
            BudgetMessage::Charge {
                connection,
                part,
                bytes,
                on_schedule_until,
                reply,
            } => {
                let demand = Demand::Bytes {
                    connection,
                    part,
                    bytes,
                    on_schedule_until,
                    reply,
                };
                self.enqueue(demand, now);
            }
            BudgetMessage::Release(connection, part) => {
                self.ledger.charge(connection, part, 0, now);
                self.answered(connection, true, now);
            }
            BudgetMessage::Declined {
                connection,
                on_schedule_until,
            } => {
                self.ledger.progressed(connection, on_schedule_until);
                self.answered(connection, false, now);
            }
            BudgetMessage::Close(connection) => {
                self.ledger.close(connection);
                self.connections.swap_remove(&connection);
                self.answered(connection, true, now);
            }
        }
    }

    fn enqueue(&mut self, demand: Demand, now: Instant) {
        self.pending.push_back(Pending {
            demand,
            since: now,
            asked: 0,
        });
    }

    /// Records that the connection that was asked has answered.
    fn answered(&mut self, connection: ConnectionNumber, gave_up: bool, now: Instant) {
        if self.asked != Some(connection) {
            return;
        }
        self.asked = None;
        if !gave_up {
            return;
        }
        self.metrics.count("http.evictions", 1);
        if let Some(count) = self.evictions.add(now) {
            emit(&LinkEvent::RequestsEvicted {
                count,
                charged: self.ledger.charged() as u64,
                connections: self.ledger.connections() as u64,
            });
        }
    }

    /// Serves waiting requests in their order until one needs another connection to give up its request.
    fn serve_pending(&mut self, now: Instant) {
        while self.asked.is_none() {
            let Some(pending) = self.pending.pop_front() else {
                return;
            };
            if let Some(mut pending) = self.serve(pending, now) {
                if self.ask(&pending) {
                    pending.asked += 1;
                    self.pending.push_front(pending);
                } else {
                    self.refuse(pending.demand, now);
                }
            }
        }
    }

    /// Serves a request if it fits, and returns it otherwise.
    fn serve(&mut self, pending: Pending, now: Instant) -> Option<Pending> {
        let Pending { demand, since, asked } = pending;
        let demand = match demand {
            Demand::Connection(reply) => {
                if self.ledger.open(self.next_number, now) {
                    self.add_connection(reply);
                    return None;
                }
                Demand::Connection(reply)
            }
            Demand::Bytes {
                connection,
                part,
                bytes,
                on_schedule_until,
                reply,
            } => {
                if reply.is_closed() {
                    // The request was given up while it waited.
                    return None;
                }
                if self.ledger.charge(connection, part, bytes, on_schedule_until) {
                    // A reply that is not received is followed by a release or the end of the connection.
                    let _ = reply.send(true);
                    return None;
                }
                Demand::Bytes {
                    connection,
                    part,
                    bytes,
                    on_schedule_until,
                    reply,
                }
            }
        };
        Some(Pending { demand, since, asked })
    }

    fn add_connection(&mut self, reply: oneshot::Sender<Option<BudgetedConnection>>) {
        let number = self.next_number;
        self.next_number += 1;
        let Some(messages) = self.messages.upgrade() else {
            return;
        };
        // At most one question is unanswered.
        let (ask, evictions) = mpsc::channel(1);
        self.connections.insert(number, ask);
        self.metrics
            .gauge("http.connections", self.ledger.connections() as u64);
        let account = Account { number, messages };
        // If the reply is not received, dropping the account closes it.
        let _ = reply.send(Some(BudgetedConnection { account, evictions }));
    }

    /// Asks the connection that is furthest behind to give up its request; returns whether there is one.
    fn ask(&mut self, pending: &Pending) -> bool {
        let (needs_bytes, own) = match pending.demand {
            Demand::Connection(_) => (false, None),
            Demand::Bytes { connection, .. } => (true, Some(connection)),
        };
        if pending.asked >= MAX_ASKED {
            return false;
        }
        // A connection that does not receive the question ends soon, which closes its account.
        let furthest = self
            .ledger
            .furthest_behind(pending.since, needs_bytes, |number| Some(number) == own);
        let Some((connection, on_schedule_until)) = furthest else {
            return false;
        };
        let behind = (on_schedule_until + PROGRESS_TOLERANCE).min(pending.since);
        if let Some(ask) = self.connections.get(&connection) {
            let _ = ask.try_send(Evict { behind });
        }
        self.asked = Some(connection);
        true
    }

    fn refuse(&mut self, demand: Demand, now: Instant) {
        self.metrics.count("http.refusals", 1);
        if let Some(count) = self.refusals.add(now) {
            emit(&LinkEvent::RequestsRefused {
                count,
                charged: self.ledger.charged() as u64,
                connections: self.ledger.connections() as u64,
            });
        }
        match demand {
            Demand::Connection(reply) => {
                let _ = reply.send(None);
            }
            Demand::Bytes { reply, .. } => {
                let _ = reply.send(false);
            }
        }
    }
}
