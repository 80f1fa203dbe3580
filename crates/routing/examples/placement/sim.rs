//! Discrete-event run of the real decision code against simulated targets.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use chestnutfork_limits::{Admission, AdmissionRequest, FairQueue, Queued};
use chestnutfork_routing::{
    AttemptEnd, AttemptKind, Choice, Place, PlacementRequest, RetryBudget, Router, TargetIndex,
};
use chestnutfork_types::{Placement, ServicePolicy};

use crate::workload::{Defect, Job, SLOTS, SLOWNESS, Scenario};

const SERVICE: &str = "desk";
/// One-way delay to a target in the entry's own failure domain, and in another one.
const DELAY: (Duration, Duration) = (Duration::from_micros(300), Duration::from_micros(1_500));
/// Run time of a task on a target that fails everything.
const FAIL_TIME: Duration = Duration::from_millis(1);

/// Most tasks that are held back for faster targets.
const MAX_HELD: usize = 64;

/// State of one job in the run.
#[derive(Clone, Debug, Default)]
struct JobState {
    unfinished: u32,
    failed: bool,
    run_times: Vec<f64>,
}

/// Waiting task.
#[derive(Clone, Debug)]
struct Waiting {
    job: usize,
    task: usize,
    /// Targets on which an attempt failed.
    failed_on: Vec<TargetIndex>,
}

/// Attempt in flight.
#[derive(Debug)]
struct Attempt {
    waiting: Queued<Waiting>,
    target: TargetIndex,
    run_time: Duration,
    kind: AttemptKind,
}

/// Event, identified by the index of a job, attempt or fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Result(usize),
    Arrival(usize),
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
    /// Run times of the job's tasks in seconds, as measured on their targets.
    pub run_times: Vec<f64>,
}

/// What a run counted.
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

/// One run of one policy.
pub struct Sim<'a> {
    scenario: &'a Scenario,
    jobs: &'a [Job],
    policy: ServicePolicy,
    start: Instant,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    serial: u64,
    timer: Option<Instant>,
    /// Whether the tasks of a job are queued by falling declared run time.
    longest_first: bool,
    router: Router,
    queue: FairQueue<Waiting>,
    admission: Admission,
    budget: RetryBudget,
    free: Vec<u32>,
    states: Vec<JobState>,
    attempts: Vec<Option<Attempt>>,
    outcome: Outcome,
}

impl<'a> Sim<'a> {
    /// Prepares a run.
    pub fn new(scenario: &'a Scenario, jobs: &'a [Job], policy: ServicePolicy, seed: u64) -> Self {
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
            serial: 0,
            timer: None,
            longest_first: policy.placement != Placement::Random,
            router,
            queue: FairQueue::new(usize::try_from(policy.max_queue).expect("the bound is small")),
            admission: Admission::new(),
            budget: RetryBudget::new(policy.retry.budget),
            free: vec![SLOTS; SLOWNESS.len()],
            states: vec![JobState::default(); jobs.len()],
            attempts: Vec::new(),
            outcome: Outcome::default(),
            policy,
        };
        sim.plan();
        sim
    }

    /// Runs until nothing is left to happen.
    pub fn run(mut self) -> Outcome {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrival(job) => self.on_arrival(job),
                Event::Result(attempt) => self.on_result(attempt),
                Event::Fault(fault) => self.on_fault(fault),
                Event::Timer => {
                    self.timer = None;
                    self.router.on_timer(at);
                }
            }
            self.expire();
            self.dispatch();
            self.arm_timer();
        }
        self.outcome
    }

    fn plan(&mut self) {
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

    fn schedule(&mut self, at: Instant, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at, self.serial, event)));
    }

    fn seconds(&self, at: Instant) -> f64 {
        (at - self.start).as_secs_f64()
    }

    fn on_arrival(&mut self, index: usize) {
        let job = &self.jobs[index];
        let team = format!("team{}", job.team);
        let req = AdmissionRequest {
            tasks: job.tasks.len(),
            declared: None,
            deadline: self.scenario.deadline,
            queued: self.queue.len(),
            team_queued: self.queue.team_len(&team),
            active_teams: self.queue.active_teams(),
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
        let deadline = self.now + self.scenario.deadline;
        let mut order: Vec<usize> = (0..job.tasks.len()).collect();
        if self.longest_first {
            order.sort_by_key(|&task| Reverse(job.tasks[task].declared));
        }
        for task in order {
            let waiting = Waiting {
                job: index,
                task,
                failed_on: Vec::new(),
            };
            self.queue
                .push(&team, deadline, waiting)
                .expect("admission keeps the bound");
        }
    }

    fn on_fault(&mut self, index: usize) {
        let fault = self.scenario.faults[index];
        if fault.defect == Defect::Leaving {
            let leaving = self
                .scenario
                .defect(fault.target, self.seconds(self.now))
                .is_some();
            self.router.set_leaving(fault.target, leaving);
        }
    }

    fn on_result(&mut self, index: usize) {
        let attempt = self.attempts[index].take().expect("a result arrives once");
        let Attempt {
            waiting,
            target,
            run_time,
            kind,
        } = attempt;
        self.free[target] += 1;
        self.router.set_credits(target, self.free[target]);
        let end = AttemptEnd {
            target,
            service: SERVICE,
            declared: Some(self.jobs[waiting.item.job].tasks[waiting.item.task].declared),
            run_time,
            kind,
        };
        self.router.on_attempt_end(self.now, &end);
        self.admission.on_end(run_time);
        if kind == AttemptKind::Completed {
            let state = &mut self.states[waiting.item.job];
            state.run_times.push(run_time.as_secs_f64());
            self.end_task(waiting.item.job, true);
        } else {
            self.outcome.wasted += 1;
            self.retry(waiting, target);
        }
    }

    fn retry(&mut self, mut waiting: Queued<Waiting>, target: TargetIndex) {
        waiting.item.failed_on.push(target);
        let attempts = u32::try_from(waiting.item.failed_on.len()).expect("attempts are few");
        let allowed = attempts < self.policy.retry.max_attempts && self.now < waiting.deadline;
        if allowed && self.budget.try_spend() {
            self.queue.requeue(waiting);
        } else {
            self.end_task(waiting.item.job, false);
        }
    }

    fn end_task(&mut self, index: usize, completed: bool) {
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
        for waiting in expired {
            self.end_task(waiting.job, false);
        }
    }

    fn dispatch(&mut self) {
        self.dispatch_held();
        while let Some(next) = self.queue.peek() {
            let next = next.clone();
            let held = self.queue.held_len();
            // Behind a full line the whole queue competes for the faster targets.
            let ahead = if held < MAX_HELD { held } else { self.queue.len() };
            match self.choose(&next, ahead, None) {
                Choice::Use(target) => {
                    let queued = self.queue.pop().expect("peeked before");
                    self.begin(queued, target);
                }
                Choice::Wait { until: Some(_) } if held < MAX_HELD => {
                    self.queue.hold(self.now);
                }
                Choice::Wait { .. } => return,
                Choice::NoTarget => {
                    self.queue.pop();
                    self.end_task(next.job, false);
                }
            }
        }
    }

    fn dispatch_held(&mut self) {
        let mut at = 0;
        while let Some((next, since)) = self.queue.held(at) {
            let next = next.clone();
            match self.choose(&next, at, Some(since)) {
                Choice::Use(target) => {
                    let queued = self.queue.take_held(at).expect("seen before");
                    self.begin(queued, target);
                }
                Choice::Wait { .. } => at += 1,
                Choice::NoTarget => {
                    self.queue.take_held(at);
                    self.end_task(next.job, false);
                }
            }
        }
    }

    fn choose(&mut self, next: &Waiting, ahead: usize, since: Option<Instant>) -> Choice {
        let ahead = u32::try_from(ahead).expect("the queue is bounded");
        let place = Place { ahead, since };
        let req = PlacementRequest {
            service: SERVICE,
            declared: Some(self.jobs[next.job].tasks[next.task].declared),
            deadline: self.now + self.scenario.deadline,
            remaining_tasks: self.states[next.job].unfinished,
            exclude: &next.failed_on,
        };
        self.router.choose_or_hold(self.now, &req, place, &self.policy)
    }

    fn begin(&mut self, waiting: Queued<Waiting>, target: TargetIndex) {
        if waiting.item.failed_on.is_empty() {
            self.budget.on_start();
        }
        self.free[target] -= 1;
        self.router.set_credits(target, self.free[target]);
        self.router.on_start(self.now, target, SERVICE);
        let delay = if target.is_multiple_of(3) {
            DELAY.0
        } else {
            DELAY.1
        };
        let begin = self.now + delay;
        let size = self.jobs[waiting.item.job].tasks[waiting.item.task].size;
        let at = self.seconds(begin);
        let (run_time, kind) = match self.scenario.slowness(target, at) {
            Some(slowness) => (Duration::from_secs_f64(size * slowness), AttemptKind::Completed),
            None => match self.scenario.defect(target, at) {
                Some(Defect::FailAtOnce) => (FAIL_TIME, AttemptKind::Failed),
                Some(Defect::Hang) => (waiting.deadline - self.now, AttemptKind::TimedOut),
                // The dispatch crossed the announcement that the target is leaving.
                _ => (Duration::ZERO, AttemptKind::NotStarted),
            },
        };
        self.schedule(begin + run_time + delay, Event::Result(self.attempts.len()));
        self.attempts.push(Some(Attempt {
            waiting,
            target,
            run_time,
            kind,
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
