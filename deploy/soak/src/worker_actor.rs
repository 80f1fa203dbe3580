//! Actor of a worker's stand-in: owns the model of a worker, restarts it, and tells the ledger what happens.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use chestnutfork_standin::LeasedWorker;
use chestnutfork_types::{RunOutcome, TaskKey};
use chestnutfork_worker::{CallOutcome, Order, Refusal, Reply};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep};

use crate::announcements::Route;
use crate::dialect::{Announced, Identity, WorkerCall};
use crate::plan::{FULL_CAPACITY, Restart};
use crate::proxy::Weather;
use crate::seen::{Seen, Timing};
use crate::workers::{Mood, WorkerMessage};

/// Interval at which ends are noticed.
const TICK: Duration = Duration::from_millis(5);
/// Interval of announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time that a leaving worker serves after the acknowledgement, as the deployments' settings allow, and the longest time
/// beyond it.
const DRAIN_TIME: Duration = Duration::from_secs(2);
const LONGEST_STAY: Duration = Duration::from_secs(2);
/// Time after which a leaving worker without an acknowledgement ends.
const UNACKNOWLEDGED_TIME: Duration = Duration::from_secs(4);
/// Share of the withdrawals that reach the agent.
const WITHDRAWAL_SHARE: f64 = 0.7;
/// Longest time that runs go on after the withdrawal.
const LONGEST_END: Duration = Duration::from_millis(600);
/// Restart of a crashed worker that another one replaces.
const REPLACEMENT: Restart = Restart {
    same_name: false,
    down: Duration::from_millis(700),
    silent: Duration::ZERO,
};
/// Longest delay of an order without an answer that is carried out late.
const LATEST_ORDER: Duration = Duration::from_secs(3);
/// Factor on the run time of a slow worker.
const SLOW_FACTOR: f64 = 6.0;
/// Run time of tasks that stand still.
const HANG_TIME: Duration = Duration::from_secs(30);
/// Time that a task which crashes its worker would run.
const CRASHING_TIME: Duration = Duration::from_secs(2);
/// Share of the crashes by tasks after which the worker has its former name.
const SAME_NAME_SHARE: f64 = 0.8;
/// Share of the ends of a worker that reset its connections; after the others they stay silent.
const RESET_SHARE: f64 = 0.5;
/// Share of the calls to a mute worker that get no answer.
const MUTE_SHARE: f64 = 0.5;

/// End of a worker that leaves.
#[derive(Clone, Copy, Debug)]
struct Departure {
    acknowledged: bool,
    withdraws_at: Instant,
    /// End of its runs, once it has withdrawn.
    ends_at: Option<Instant>,
}

/// Hold that waits for an end.
#[derive(Debug)]
struct Waiting {
    until: Instant,
    reply: oneshot::Sender<Option<Reply>>,
}

/// Worker of one position, through all its incarnations.
#[derive(Debug)]
pub(crate) struct State {
    index: usize,
    route: Route,
    weather: watch::Sender<Weather>,
    identity: Identity,
    model: LeasedWorker,
    mood: Mood,
    slots: usize,
    departure: Option<Departure>,
    away_until: Option<Instant>,
    sequence: u64,
    next_announcement: Instant,
    /// Announcement without an answer yet; the next one waits for it.
    announcing: Option<JoinHandle<()>>,
    waiting: Vec<Waiting>,
    /// Tasks that crash the worker, and when, if they still run then.
    crashing: Vec<(TaskKey, Instant)>,
    rng: ChaCha8Rng,
    ledger: mpsc::UnboundedSender<Seen>,
    me: mpsc::WeakUnboundedSender<WorkerMessage>,
}

impl State {
    pub(crate) fn new(
        index: usize,
        mut rng: ChaCha8Rng,
        ledger: mpsc::UnboundedSender<Seen>,
        me: mpsc::WeakUnboundedSender<WorkerMessage>,
        route: Route,
        weather: watch::Sender<Weather>,
    ) -> Self {
        let rate = rng.random_range(0.98..1.0);
        Self {
            index,
            route,
            weather,
            identity: Identity {
                name: 1,
                started_at: unix_time(),
            },
            model: LeasedWorker::new(Instant::now(), 1, rate),
            mood: Mood::Sound,
            slots: FULL_CAPACITY,
            departure: None,
            away_until: None,
            sequence: 0,
            next_announcement: Instant::now() + ANNOUNCE_INTERVAL,
            announcing: None,
            waiting: Vec::new(),
            crashing: Vec::new(),
            rng,
            ledger,
            me,
        }
    }

    pub(crate) async fn run(mut self, mut rx: mpsc::UnboundedReceiver<WorkerMessage>) {
        self.change_capacity(FULL_CAPACITY);
        let mut ticks = interval(TICK);
        loop {
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.receive(message),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn receive(&mut self, message: WorkerMessage) {
        match message {
            WorkerMessage::Call(call, reply) => self.on_call(call, reply),
            WorkerMessage::Late(call, incarnation) => {
                let timing = if incarnation == self.model.incarnation {
                    Timing::Late
                } else {
                    Timing::LateAfterRestart
                };
                // Its caller has gone, so nobody learns the reply.
                self.carry_out(&call, timing);
            }
            WorkerMessage::Mood(mood) => self.mood = mood,
            WorkerMessage::Crash => self.end("crashed", REPLACEMENT, None),
            WorkerMessage::Restart(restart) => self.end("crashed", restart, None),
            WorkerMessage::Capacity(slots) => self.change_capacity(slots),
            WorkerMessage::Leave => {
                let withdraws_at = Instant::now() + UNACKNOWLEDGED_TIME;
                self.departure.get_or_insert(Departure {
                    acknowledged: false,
                    withdraws_at,
                    ends_at: None,
                });
            }
            WorkerMessage::Acknowledged(told) => {
                if told.leaving {
                    let worker = (self.index, told.incarnation);
                    let at = Instant::now();
                    self.tell(Seen::Leaving { worker, at });
                    let stay = DRAIN_TIME + LONGEST_STAY.mul_f64(self.rng.random());
                    if let Some(departure) = self
                        .departure
                        .as_mut()
                        .filter(|departure| !departure.acknowledged)
                    {
                        departure.acknowledged = true;
                        departure.withdraws_at = at + stay;
                    }
                }
            }
        }
    }

    /// Announces the worker when that is due.
    fn announce(&mut self, now: Instant) {
        let in_progress = self.announcing.as_ref().is_some_and(|task| !task.is_finished());
        let withdrawn = self
            .departure
            .is_some_and(|departure| departure.ends_at.is_some());
        if now < self.next_announcement || in_progress || withdrawn || self.away_until.is_some() {
            return;
        }
        self.sequence += 1;
        self.next_announcement = now + ANNOUNCE_INTERVAL;
        let told = Announced {
            identity: self.identity,
            incarnation: self.model.incarnation,
            sequence: self.sequence,
            clock: self.model.clock(now),
            leaving: self.departure.is_some(),
            cores: self.slots,
        };
        let sent = self.route.clone().announce(told, self.me.clone());
        self.announcing = Some(tokio::spawn(sent));
    }

    fn change_capacity(&mut self, slots: usize) {
        self.slots = slots;
        self.tell(Seen::CapacityChanged {
            worker: self.index,
            slots,
            at: Instant::now(),
        });
    }

    /// Withdraws a leaving worker when that is due, and ends it a little later.
    fn depart(&mut self, now: Instant) {
        match self.departure {
            Some(Departure {
                ends_at: Some(ends_at),
                ..
            }) if ends_at <= now => {
                let same_name = self.rng.random_bool(0.5);
                let restart = Restart::random(&mut self.rng);
                self.end("left", Restart { same_name, ..restart }, None);
            }
            Some(Departure {
                withdraws_at,
                ends_at: None,
                ..
            }) if withdraws_at <= now => {
                if self.rng.random_bool(WITHDRAWAL_SHARE) {
                    tokio::spawn(self.route.clone().withdraw(self.identity));
                }
                let ends_at = now + LONGEST_END.mul_f64(self.rng.random());
                if let Some(departure) = self.departure.as_mut() {
                    departure.ends_at = Some(ends_at);
                }
            }
            _ => {}
        }
    }

    fn on_call(&mut self, call: WorkerCall, reply: oneshot::Sender<Option<Reply>>) {
        if self.away_until.is_some() {
            return;
        }
        if self.mood == Mood::Mute && self.rng.random_bool(MUTE_SHARE) {
            let delay = self.rng.random_range(0.0..LATEST_ORDER.as_secs_f64());
            let (me, incarnation) = (self.me.clone(), self.model.incarnation);
            tokio::spawn(async move {
                sleep(Duration::from_secs_f64(delay)).await;
                if let Some(me) = me.upgrade() {
                    drop(me.send(WorkerMessage::Late(call, incarnation)));
                }
            });
            return;
        }
        let answer = self.carry_out(&call, Timing::InTime);
        let nothing = matches!(&answer, Some(Reply { outcome: CallOutcome::LeaseRenewed(held), .. }) if held.ended.is_empty());
        match call.order {
            Order::RenewLease { wait, .. } if nothing && !wait.is_zero() => {
                let until = Instant::now() + wait;
                self.waiting.push(Waiting { until, reply });
            }
            // The agent may have gone; the same holds below.
            _ => drop(reply.send(answer.map(|answer| self.signed(answer)))),
        }
    }

    /// Adds the start of this incarnation to a reply.
    fn signed(&self, reply: Reply) -> Reply {
        Reply {
            started_at: Some(self.identity.started_at),
            ..reply
        }
    }

    /// Carries out an order; nothing stands for one to a worker of another name.
    fn carry_out(&mut self, call: &WorkerCall, timing: Timing) -> Option<Reply> {
        if call.name != self.identity.name || self.away_until.is_some() {
            return None;
        }
        let now = Instant::now();
        let begun_before = match &call.order {
            Order::Start { task, .. } => self.model.is_running(*task),
            _ => true,
        };
        let (work, end) = self.fate(&call.order);
        let reply = self.model.carry_out(now, &call.order, work, end);
        self.tell_ends();
        if let Order::Start { task, .. } = &call.order
            && reply.outcome == CallOutcome::Refused(Refusal::InsufficientCapacity)
        {
            let (worker, task) = ((self.index, self.model.incarnation), *task);
            self.tell(Seen::Overfilled {
                worker,
                task,
                timing,
                at: now,
            });
        }
        if let Order::Start { task, run, spec, .. } = &call.order
            && reply.outcome == CallOutcome::Done
            && !begun_before
        {
            let worker = (self.index, self.model.incarnation);
            let (task, run, spec) = (*task, *run, spec.clone());
            self.tell(Seen::Started {
                worker,
                task,
                run,
                spec,
                timing,
                at: now,
            });
            if let Some(declared) = crash_time(&call.order) {
                let after = declared.mul_f64(self.rng.random());
                self.crashing.push((task, now + after));
            }
        }
        Some(reply)
    }

    /// Returns how long a task runs, from the declared time that its input begins with, and how it ends.
    fn fate(&mut self, order: &Order) -> (Duration, RunOutcome) {
        let Order::Start { spec, .. } = order else {
            return (Duration::ZERO, RunOutcome::Completed);
        };
        if crash_time(order).is_some() {
            return (CRASHING_TIME, RunOutcome::Completed);
        }
        let declared = declared_time(spec);
        let work = declared.mul_f64(self.rng.random_range(0.6..1.4));
        match self.mood {
            Mood::Sound | Mood::Mute => (work, RunOutcome::Completed),
            Mood::Failing => (work / 4, RunOutcome::Failed),
            Mood::Slow => (work.mul_f64(SLOW_FACTOR), RunOutcome::Completed),
            Mood::Hanging => (HANG_TIME, RunOutcome::Completed),
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if self.away_until.is_some_and(|until| until <= now) {
            self.away_until = None;
        }
        self.model.advance(now);
        self.tell_ends();
        let mut due = self.crashing.iter().filter(|(_, at)| *at <= now);
        let cause = due.find(|(task, _)| self.model.is_running(*task));
        if let Some(&(task, _)) = cause {
            let same_name = self.rng.random_bool(SAME_NAME_SHARE);
            let restart = Restart::random(&mut self.rng);
            self.end("crashed", Restart { same_name, ..restart }, Some(task));
        }
        self.depart(now);
        self.announce(now);
        let held = self.model.lists();
        let clock = Some(self.model.clock(now));
        for waiting in std::mem::take(&mut self.waiting) {
            if held.ended.is_empty() && now < waiting.until {
                self.waiting.push(waiting);
            } else {
                let outcome = CallOutcome::LeaseRenewed(held.clone());
                drop(waiting.reply.send(Some(self.signed(Reply {
                    clock,
                    started_at: None,
                    outcome,
                }))));
            }
        }
    }

    /// Loses everything that runs and all that it knows; a new incarnation comes back after a while.
    fn end(&mut self, how: &str, restart: Restart, cause: Option<TaskKey>) {
        let now = Instant::now();
        self.model.advance(now);
        self.tell_ends();
        let worker = (self.index, self.model.incarnation);
        self.tell(Seen::WorkerEnded {
            worker,
            cause,
            note: format!("{how}, by {cause:?}, {restart:?}"),
            at: now,
        });
        for run in self.model.lists().running {
            let (task, run) = (run.task, run.number);
            let end = RunOutcome::Lost;
            self.tell(Seen::Ended {
                worker,
                task,
                run,
                end,
                at: now,
            });
        }
        let rate = self.rng.random_range(0.98..1.0);
        let incarnation = self.model.incarnation + 1;
        let starts_at = now + restart.down;
        self.model = LeasedWorker::new(starts_at, incarnation, rate);
        self.identity.started_at = unix_time() + restart.down;
        if !restart.same_name {
            self.identity.name = incarnation;
        }
        if self.rng.random_bool(RESET_SHARE) {
            self.weather.send_modify(Weather::reset);
        }
        self.waiting.clear();
        self.crashing.clear();
        self.departure = None;
        self.sequence = 0;
        self.away_until = Some(starts_at);
        self.next_announcement = starts_at + restart.silent;
        if let Some(announcing) = self.announcing.take() {
            announcing.abort();
        }
    }

    fn tell_ends(&mut self) {
        let worker = (self.index, self.model.incarnation);
        for past in self.model.take_past() {
            let (task, run) = (past.run.task, past.run.number);
            let (end, at) = (past.end, past.at);
            self.tell(Seen::Ended {
                worker,
                task,
                run,
                end,
                at,
            });
        }
    }

    fn tell(&self, seen: Seen) {
        // Without a ledger the soak is over.
        drop(self.ledger.send(seen));
    }
}

/// Returns the declared time that an input begins with.
fn declared_time(spec: &[u8]) -> Duration {
    let text = String::from_utf8_lossy(spec);
    let declared = text.split(' ').next().and_then(|word| word.parse().ok());
    Duration::from_millis(declared.unwrap_or(0))
}

/// Returns the time within which a started task crashes its worker, if it does.
fn crash_time(order: &Order) -> Option<Duration> {
    match order {
        Order::Start { task, spec, .. } if task.index == 0 && spec.ends_with(b" crash") => {
            Some(declared_time(spec))
        }
        _ => None,
    }
}

/// Returns the time since the Unix epoch.
fn unix_time() -> Duration {
    // The clock of the machine is after 1970.
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
