//! Discrete-event simulation that runs the real decision code with simulated targets.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use chestnutfork_limits::{Admission, AdmissionRequest, FairQueue, Queued};
use chestnutfork_routing::{
    AttemptEnd, AttemptEndKind, Choice, PlacementRequest, QueuePosition, RetryBudget, Router, TargetIndex,
};
use chestnutfork_types::{HedgePolicy, Placement, RetryPolicy, ServicePolicy};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::workload::{FaultKind, Job, SLOTS, SLOWNESS, Scenario};

const SERVICE: &str = "desk";
/// One-way delay to a target in the entry's own failure domain, and in another one.
const DELAY: (Duration, Duration) = (Duration::from_micros(300), Duration::from_micros(1_500));
/// Run time of a task on a target that fails everything.
const FAIL_TIME: Duration = Duration::from_millis(1);

/// Maximum number of tasks that are deferred for faster targets.
const MAX_DEFERRED: usize = 64;

/// How tasks are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// The router's random rule.
    Random,
    /// The router's learned rule.
    Learned,
    /// The learned rule, with hedges of attempts that take three times as long as expected.
    Hedged,
    /// Of two random targets with free credits, the one of higher learned speed.
    PowerOfTwo,
    /// A queue per target; an arriving task joins the queue with the least expected wait by learned speed.
    TargetQueues,
}

/// Progress of a job.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobState {
    unfinished: u32,
    failed: bool,
    run_times: Vec<f64>,
    /// Queued or running copies of each task.
    pub(crate) copies: Vec<u32>,
    /// Whether each task has completed.
    pub(crate) done: Vec<bool>,
}

/// Task in the queue, identified by the indices of its job and within the job.
#[derive(Clone, Debug)]
pub(crate) struct QueuedTask {
    pub(crate) job: usize,
    pub(crate) task: usize,
    /// Targets of failed or hedged attempts, which later attempts avoid.
    pub(crate) avoid_targets: Vec<TargetIndex>,
}

/// Attempt in flight.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) queued: Queued<QueuedTask>,
    pub(crate) target: TargetIndex,
    pub(crate) run_time: Duration,
    pub(crate) kind: AttemptEndKind,
    pub(crate) start: Instant,
}

/// Event, identified by the index of a job, attempt or fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    Result(usize),
    Arrival(usize),
    Hedge(usize),
    Fault(usize),
    Timer,
}

/// Job that completed in time.
#[derive(Clone, Debug)]
pub struct Completed {
    /// Index of the job.
    pub job: usize,
    /// Response time in seconds.
    pub time: f64,
    /// Run times of the job's tasks in seconds on the targets that ran them.
    pub run_times: Vec<f64>,
}

/// Results of one simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Jobs that completed in time.
    pub completed: Vec<Completed>,
    /// Jobs that were accepted and did not complete in time.
    pub failed: usize,
    /// Jobs that were refused.
    pub refused: usize,
    /// Tasks of accepted jobs.
    pub tasks: usize,
    /// Attempts that did not complete a task.
    pub wasted: usize,
    /// Work of the completed jobs in seconds on an average target.
    pub useful: f64,
}

/// Simulation of one scenario with one placement variant.
pub struct Sim<'a> {
    scenario: &'a Scenario,
    jobs: &'a [Job],
    policy: ServicePolicy,
    start: Instant,
    pub(crate) now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    timer: Option<Instant>,
    pub(crate) router: Router,
    pub(crate) queue: FairQueue<QueuedTask>,
    variant: Variant,
    /// Used by the variants that the router does not implement.
    pub(crate) rng: ChaCha8Rng,
    pub(crate) target_queues: Vec<VecDeque<Queued<QueuedTask>>>,
    admission: Admission,
    pub(crate) budget: RetryBudget,
    pub(crate) free: Vec<u32>,
    pub(crate) states: Vec<JobState>,
    pub(crate) attempts: Vec<Option<Attempt>>,
    outcome: Outcome,
}

impl<'a> Sim<'a> {
    /// Creates a simulation with all arrivals and faults scheduled.
    pub fn new(scenario: &'a Scenario, jobs: &'a [Job], variant: Variant, seed: u64) -> Self {
        let policy = policy(variant);
        let start = Instant::now();
        let mut router = Router::new(seed);
        for target in 0..SLOWNESS.len() {
            let domain = format!("domain{}", target % 3);
            router.add_target(start, format!("t{target}"), policy.pool.clone(), domain, SLOTS);
            router.set_credits(target, SLOTS);
        }
        let mut sim = Self {
            scenario,
            jobs,
            start,
            now: start,
            events: BinaryHeap::new(),
            sequence: 0,
            timer: None,
            router,
            queue: FairQueue::new(usize::try_from(policy.max_queue).expect("the capacity is small")),
            admission: Admission::new(),
            variant,
            rng: ChaCha8Rng::seed_from_u64(seed),
            target_queues: vec![VecDeque::new(); SLOWNESS.len()],
            budget: RetryBudget::new(policy.retry.budget),
            free: vec![SLOTS; SLOWNESS.len()],
            states: vec![JobState::default(); jobs.len()],
            attempts: Vec::new(),
            outcome: Outcome::default(),
            policy,
        };
        // The first choice sets the ejection policy of the pool.
        let queued = QueuedTask {
            job: 0,
            task: 0,
            avoid_targets: Vec::new(),
        };
        sim.choose(&queued, 0, None);
        sim.schedule_scenario();
        sim
    }

    /// Runs until no events are left.
    pub fn run(mut self) -> Outcome {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrival(job) => self.on_arrival(job),
                Event::Result(attempt) => self.on_result(attempt),
                Event::Fault(fault) => self.on_fault(fault),
                Event::Hedge(attempt) => self.on_hedge(attempt),
                Event::Timer => {
                    self.timer = None;
                    self.router.on_tick(at);
                }
            }
            self.expire();
            match self.variant {
                Variant::Random | Variant::Learned | Variant::Hedged => self.dispatch(),
                Variant::PowerOfTwo => self.dispatch_power_of_two(),
                Variant::TargetQueues => self.dispatch_target_queues(),
            }
            self.arm_timer();
        }
        self.outcome
    }

    fn schedule_scenario(&mut self) {
        let jobs = self.jobs;
        for (index, job) in jobs.iter().enumerate() {
            let at = self.start + Duration::from_secs_f64(job.arrival);
            self.schedule(at, Event::Arrival(index));
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            for at in [fault.from, fault.until] {
                let at = self.start + Duration::from_secs_f64(at);
                self.schedule(at, Event::Fault(index));
            }
        }
    }

    pub(crate) fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn seconds(&self, at: Instant) -> f64 {
        (at - self.start).as_secs_f64()
    }

    fn on_arrival(&mut self, index: usize) {
        let job = &self.jobs[index];
        let team = format!("team{}", job.team);
        let assigned = || self.target_queues.iter().flatten();
        let active_teams: HashSet<&str> = assigned().map(|queued| queued.team.as_str()).collect();
        let req = AdmissionRequest {
            tasks: job.tasks.len(),
            declared: None,
            deadline: self.scenario.deadline,
            queued: self.queue.len() + assigned().count(),
            team_queued: self.queue.team_len(&team) + assigned().filter(|queued| queued.team == team).count(),
            active_teams: self.queue.active_teams() + active_teams.len(),
            team_allowance: u32::MAX,
            slots: self.router.pool_slots(&self.policy.pool),
            fastest_speed: 1.0,
        };
        if self.admission.check(self.now, &req, &self.policy).is_err() {
            self.outcome.refused += 1;
            return;
        }
        self.admission.on_accept(self.now, job.tasks.len());
        self.outcome.tasks += job.tasks.len();
        self.states[index].unfinished = u32::try_from(job.tasks.len()).expect("jobs are small");
        self.states[index].copies = vec![1; job.tasks.len()];
        self.states[index].done = vec![false; job.tasks.len()];
        let deadline = self.now + self.scenario.deadline;
        let mut order: Vec<usize> = (0..job.tasks.len()).collect();
        if self.variant != Variant::Random {
            order.sort_by_key(|&task| Reverse(job.tasks[task].declared));
        }
        for task in order {
            let queued = QueuedTask {
                job: index,
                task,
                avoid_targets: Vec::new(),
            };
            self.queue
                .push(&team, deadline, queued)
                .expect("admission enforces the capacity");
        }
    }

    fn on_fault(&mut self, index: usize) {
        let fault = self.scenario.faults[index];
        if fault.kind == FaultKind::Leaving {
            let leaving = self
                .scenario
                .fault_kind(fault.target, self.seconds(self.now))
                .is_some();
            self.router.set_leaving(fault.target, leaving);
        }
    }

    fn on_result(&mut self, index: usize) {
        // A cancelled attempt has moved to a new index, where its result is the end of its cancellation.
        let Some(attempt) = self.attempts[index].take() else {
            return;
        };
        let Attempt {
            queued,
            target,
            run_time,
            kind,
            ..
        } = attempt;
        self.free[target] += 1;
        self.router.set_credits(target, self.free[target]);
        let end = AttemptEnd {
            target,
            service: SERVICE,
            declared: self.jobs[queued.item.job].tasks[queued.item.task].declared,
            run_time,
            kind,
        };
        self.router.on_attempt_end(self.now, &end);
        self.admission.on_end(run_time);
        let (job, task) = (queued.item.job, queued.item.task);
        if kind == AttemptEndKind::Cancelled {
            self.outcome.wasted += 1;
            return;
        }
        self.states[job].copies[task] -= 1;
        if kind == AttemptEndKind::Completed {
            self.states[job].done[task] = true;
            self.cancel_copies(&queued);
            let state = &mut self.states[queued.item.job];
            state.run_times.push(run_time.as_secs_f64());
            self.end_task(queued.item.job, true);
        } else {
            self.outcome.wasted += 1;
            if self.states[job].copies[task] == 0 {
                self.retry(queued, target);
            }
        }
    }

    fn retry(&mut self, mut queued: Queued<QueuedTask>, target: TargetIndex) {
        queued.item.avoid_targets.push(target);
        let attempts = u32::try_from(queued.item.avoid_targets.len()).expect("attempts are few");
        let allowed = attempts < self.policy.retry.max_attempts && self.now < queued.deadline;
        if allowed && self.budget.try_spend() {
            self.states[queued.item.job].copies[queued.item.task] += 1;
            self.queue.requeue(queued);
        } else {
            self.end_task(queued.item.job, false);
        }
    }

    pub(crate) fn end_task(&mut self, index: usize, completed: bool) {
        let state = &mut self.states[index];
        state.unfinished -= 1;
        state.failed |= !completed;
        if state.unfinished > 0 {
            return;
        }
        let job = &self.jobs[index];
        let time = self.seconds(self.now) - job.arrival;
        if self.states[index].failed || time > self.scenario.deadline.as_secs_f64() {
            self.outcome.failed += 1;
        } else {
            let run_times = std::mem::take(&mut self.states[index].run_times);
            self.outcome.completed.push(Completed {
                job: index,
                time,
                run_times,
            });
            self.outcome.useful += job.tasks.iter().map(|task| task.size).sum::<f64>();
        }
    }

    fn expire(&mut self) {
        let mut expired = Vec::new();
        self.queue.expire(self.now, &mut expired);
        for queued in expired {
            let copies = &mut self.states[queued.job].copies[queued.task];
            *copies -= 1;
            if *copies == 0 {
                self.end_task(queued.job, false);
            }
        }
    }

    fn dispatch(&mut self) {
        self.dispatch_deferred();
        while let Some(next) = self.queue.peek() {
            let next = next.clone();
            let deferred = self.queue.deferred_len();
            // If no more tasks can be deferred, all queued tasks compete for the faster targets.
            let ahead = if deferred < MAX_DEFERRED {
                deferred
            } else {
                self.queue.len()
            };
            match self.choose(&next, ahead, None) {
                Choice::Use(target) => {
                    let queued = self.queue.pop().expect("peeked before");
                    self.start_attempt(queued, target);
                }
                Choice::Wait { until: Some(_) } if deferred < MAX_DEFERRED => {
                    self.queue.defer(self.now);
                }
                Choice::Wait { .. } => return,
                Choice::NoTarget => {
                    self.queue.pop();
                    self.end_task(next.job, false);
                }
            }
        }
    }

    fn dispatch_deferred(&mut self) {
        let mut at = 0;
        while let Some((next, since)) = self.queue.deferred(at) {
            let next = next.clone();
            match self.choose(&next, at, Some(since)) {
                Choice::Use(target) => {
                    let queued = self.queue.remove_deferred(at).expect("seen before");
                    self.start_attempt(queued, target);
                }
                Choice::Wait { .. } => at += 1,
                Choice::NoTarget => {
                    self.queue.remove_deferred(at);
                    self.end_task(next.job, false);
                }
            }
        }
    }

    fn choose(&mut self, next: &QueuedTask, ahead: usize, deferred_since: Option<Instant>) -> Choice {
        let ahead = u32::try_from(ahead).expect("the queue is bounded");
        let position = QueuePosition {
            ahead,
            deferred_since,
        };
        let req = PlacementRequest {
            service: SERVICE,
            declared: self.jobs[next.job].tasks[next.task].declared,
            deadline: self.now + self.scenario.deadline,
            remaining_tasks: self.states[next.job].unfinished,
            exclude: &next.avoid_targets,
        };
        self.router
            .choose_or_defer(self.now, &req, position, &self.policy)
    }

    pub(crate) fn start_attempt(&mut self, queued: Queued<QueuedTask>, target: TargetIndex) {
        if queued.item.avoid_targets.is_empty() {
            self.budget.on_start();
        }
        self.free[target] -= 1;
        self.router.set_credits(target, self.free[target]);
        self.router.on_start(self.now, target, SERVICE);
        let backlog = self.queue.len() > self.queue.deferred_len();
        self.admission.on_start(self.now, backlog);
        let delay = delay(target);
        let begin = self.now + delay;
        let size = self.jobs[queued.item.job].tasks[queued.item.task].size;
        let at = self.seconds(begin);
        let (run_time, kind) = match self.scenario.slowness(target, at) {
            Some(slowness) => (
                Duration::from_secs_f64(size * slowness),
                AttemptEndKind::Completed,
            ),
            None => match self.scenario.fault_kind(target, at) {
                Some(FaultKind::FailAtOnce) => (FAIL_TIME, AttemptEndKind::Failed),
                Some(FaultKind::Hang) => (queued.deadline - self.now, AttemptEndKind::TimedOut),
                // The dispatch was sent before the announcement that the target is leaving arrived.
                _ => (Duration::ZERO, AttemptEndKind::NotStarted),
            },
        };
        let declared = self.jobs[queued.item.job].tasks[queued.item.task].declared;
        let hedge = self
            .router
            .hedge_delay_declared(SERVICE, declared, target, &self.policy);
        if let Some(after) = hedge.filter(|_| queued.item.avoid_targets.is_empty()) {
            self.schedule(self.now + after, Event::Hedge(self.attempts.len()));
        }
        self.schedule(begin + run_time + delay, Event::Result(self.attempts.len()));
        self.attempts.push(Some(Attempt {
            queued,
            target,
            run_time,
            kind,
            start: self.now,
        }));
    }

    fn arm_timer(&mut self) {
        let wakeups = self
            .router
            .next_wakeup()
            .into_iter()
            .chain(self.queue.next_deadline());
        let Some(next) = wakeups.min() else { return };
        if self.timer.is_none_or(|timer| next < timer) {
            self.timer = Some(next);
            self.schedule(next.max(self.now), Event::Timer);
        }
    }
}

/// Returns the one-way delay to a target.
pub(crate) fn delay(target: TargetIndex) -> Duration {
    if target.is_multiple_of(3) {
        DELAY.0
    } else {
        DELAY.1
    }
}

fn policy(variant: Variant) -> ServicePolicy {
    let retry = RetryPolicy {
        max_attempts: 3,
        budget: 0.1,
    };
    let placement = match variant {
        Variant::Random => Placement::Random,
        _ => Placement::Learned,
    };
    let hedge = HedgePolicy {
        enabled: variant == Variant::Hedged,
        delay_factor: 3.0,
    };
    let builder = ServicePolicy::builder("main").at_most_once(false);
    builder.placement(placement).retry(retry).hedge(hedge).build()
}
