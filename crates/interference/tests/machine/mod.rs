//! Model of a worker whose tasks progress at a rate that depends on what runs beside them.

use std::time::{Duration, Instant};

use chestnutfork_interference::{Evidence, Observer};
use chestnutfork_types::{KindId, TaskKey};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Standard deviation of the logarithm of run times.
const SPREAD: f64 = 0.4;
/// Share of tasks that take [`OUTLIER_FACTOR`] times as long.
const OUTLIERS: f64 = 0.03;
const OUTLIER_FACTOR: f64 = 7.0;

/// Kind of task in the load of a machine.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub kind: KindId,
    /// Tasks of one job, which start together.
    pub tasks: u16,
    pub run_time: Duration,
    /// Declared over actual mean run time.
    pub declared_factor: f64,
    /// Mean share of the places that the kind uses.
    pub share: f64,
}

/// Slowdown of a kind while another one runs.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    pub slowed: KindId,
    pub beside: KindId,
    pub factor: f64,
}

#[derive(Debug)]
struct Task {
    key: TaskKey,
    kind: KindId,
    left: f64,
}

/// Worker with places for tasks.
#[derive(Debug)]
pub struct Machine {
    pub now: Instant,
    pub evidence: Evidence,
    pub observer: Observer,
    pub speed: f64,
    /// Part by which tasks on a full machine take longer than on an idle one.
    pub contention: f64,
    pub slowdowns: Vec<Slowdown>,
    /// Completed runs of each kind in the load.
    pub completed: Vec<u32>,
    /// Whether a job of the third kind arrives with each job of the second one.
    pub coupled: bool,
    start: Instant,
    places: usize,
    load: Vec<Load>,
    running: Vec<Task>,
    rng: ChaCha8Rng,
    next_arrivals: Vec<Instant>,
    jobs: u128,
}

impl Machine {
    pub fn new(seed: u64, places: usize, load: Vec<Load>) -> Self {
        let now = Instant::now();
        Self {
            now,
            evidence: Evidence::new(now),
            observer: Observer::new(now),
            speed: 1.0,
            contention: 0.33,
            slowdowns: Vec::new(),
            completed: vec![0; load.len()],
            coupled: false,
            start: now,
            places,
            running: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_arrivals: vec![now; load.len()],
            load,
            jobs: 0,
        }
    }

    /// Runs the load until a time since the start.
    pub fn run_until(&mut self, end: Duration) {
        while self.now - self.start < end {
            let rates: Vec<f64> = self.running.iter().map(|task| self.rate(task)).collect();
            let ends = self
                .running
                .iter()
                .zip(&rates)
                .map(|(task, rate)| task.left / rate);
            let next_end = ends.fold(f64::INFINITY, f64::min);
            let arrival = self.next_arrivals.iter().min().copied().expect("a kind");
            let until_arrival = arrival.saturating_duration_since(self.now).as_secs_f64();
            let step = next_end.min(until_arrival).max(1e-6);
            for (task, rate) in self.running.iter_mut().zip(&rates) {
                task.left -= step * rate;
            }
            self.now += Duration::from_secs_f64(step);
            self.end_runs();
            for at in 0..self.load.len() {
                if self.next_arrivals[at] <= self.now {
                    self.submit(at);
                    if self.coupled && at == 1 {
                        self.start_job(2);
                    }
                }
            }
        }
    }

    /// Returns the factor by which the machine's own conditions change: a cycle of 50 s between 1 and 0.67.
    fn conditions(&self) -> f64 {
        let cycle = (self.now - self.start).as_secs_f64() / 50.0 * std::f64::consts::TAU;
        1.0 / (1.25 + 0.25 * cycle.sin())
    }

    fn rate(&self, task: &Task) -> f64 {
        let others = |kind| {
            let mut running = self.running.iter();
            running.any(|other| other.kind == kind && other.key != task.key)
        };
        let slowed = self
            .slowdowns
            .iter()
            .filter(|slowdown| slowdown.slowed == task.kind);
        let factor: f64 = slowed
            .filter(|slowdown| others(slowdown.beside))
            .map(|slowdown| slowdown.factor)
            .product();
        self.speed * self.conditions() / (1.0 + self.contention * self.utilisation()) / factor
    }

    #[expect(clippy::cast_precision_loss, reason = "the numbers of places are small")]
    fn utilisation(&self) -> f64 {
        self.running.len() as f64 / self.places as f64
    }

    fn end_runs(&mut self) {
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|task: &Task| task.left <= 1e-9);
        self.running = running;
        for task in ended {
            let record = self.observer.on_end(self.now, task.key).expect("an observed run");
            self.evidence.record(self.now, &record);
            let at = self.load.iter().position(|load| load.kind == task.kind);
            self.completed[at.expect("a kind of the load")] += 1;
        }
    }

    /// Draws the next arrival of a kind, whose rate varies by half in cycles of its own, and starts a job.
    fn submit(&mut self, at: usize) {
        let load = self.load[at];
        #[expect(clippy::cast_precision_loss, reason = "the numbers of places are small")]
        let jobs_per_second =
            load.share * self.places as f64 / f64::from(load.tasks) / load.run_time.as_secs_f64();
        let period = 23.0 + 11.0 * f64::from(u32::try_from(at).expect("few kinds"));
        let cycle = (self.now - self.start).as_secs_f64() / period * std::f64::consts::TAU;
        let rate = jobs_per_second * (1.0 + 0.5 * cycle.sin());
        let wait = -self.rng.random_range(f64::EPSILON..1.0_f64).ln() / rate;
        self.next_arrivals[at] = self.now + Duration::from_secs_f64(wait);
        self.start_job(at);
    }

    /// Starts as many tasks of a job as there are free places.
    fn start_job(&mut self, at: usize) {
        let load = self.load[at];
        self.jobs += 1;
        for index in 0..load.tasks {
            if self.running.len() >= self.places {
                return;
            }
            let key = TaskKey {
                job: self.jobs,
                step: 0,
                index,
            };
            let mut work = load.run_time.as_secs_f64() * (SPREAD * self.normal()).exp();
            if self.rng.random_bool(OUTLIERS) {
                work *= OUTLIER_FACTOR;
            }
            let declared = load.run_time.mul_f64(load.declared_factor);
            let utilisation = self.utilisation();
            self.observer
                .on_start(self.now, key, load.kind, declared, utilisation);
            self.running.push(Task {
                key,
                kind: load.kind,
                left: work,
            });
        }
    }

    /// Draws from the standard normal distribution.
    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * self.rng.random_range(f64::EPSILON..1.0_f64).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.rng.random::<f64>()).cos()
    }
}

/// Returns three kinds that use three quarters of the places on average, with run times and job sizes like those of the
/// customers and wrong declared run times.
pub fn three_kinds() -> Vec<Load> {
    let load = |kind, tasks, millis, declared_factor| Load {
        kind,
        tasks,
        run_time: Duration::from_millis(millis),
        declared_factor,
        share: 0.25,
    };
    vec![load(1, 8, 50, 0.5), load(2, 4, 800, 1.0), load(3, 2, 200, 2.5)]
}
