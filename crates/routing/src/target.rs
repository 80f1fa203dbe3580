//! One target as the router sees it.

use std::time::{Duration, Instant};

use crate::classes::Listing;
use crate::health::Health;
use crate::speed::Speed;

/// Dense index of a target; it stays with the name of the target.
pub type TargetIndex = usize;
/// Dense index of a pool.
pub(crate) type PoolIndex = usize;
/// Dense index of a failure domain.
pub(crate) type DomainIndex = usize;

/// Highest failure rate that the expected cost counts with; it bounds the cost at ten times the run time.
const MAX_RATE: f64 = 0.9;

/// State of one target; its name is the key in the router's table.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) pool: PoolIndex,
    pub(crate) domain: DomainIndex,
    pub(crate) slots: u32,
    pub(crate) free: u32,
    /// Whether the target is connected; the history of a removed target is kept.
    pub(crate) present: bool,
    pub(crate) leaving: bool,
    /// Where the pool lists the target; a target that is no member is not listed.
    pub(crate) listing: Option<Listing>,
    pub(crate) speed: Speed,
    pub(crate) health: Health,
    /// Start times of the attempts in flight, in order.
    running: Vec<Instant>,
}

impl Target {
    pub(crate) fn new(pool: PoolIndex, domain: DomainIndex, slots: u32) -> Self {
        Self {
            pool,
            domain,
            slots,
            free: 0,
            present: true,
            leaving: false,
            listing: None,
            speed: Speed::default(),
            health: Health::default(),
            running: Vec::new(),
        }
    }

    /// Reports whether the target counts as a member of its pool.
    pub(crate) fn is_member(&self) -> bool {
        self.present && !self.leaving
    }

    /// Reports whether the target belongs in the list of targets with free credits.
    pub(crate) fn is_open(&self) -> bool {
        self.is_member() && self.free > 0
    }

    /// Reports whether the target may be given a task now.
    pub(crate) fn admits(&self, now: Instant) -> bool {
        self.is_open() && self.health.admits(now, self.in_flight())
    }

    pub(crate) fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns the attempts in flight that will free credits in the usual time.
    pub(crate) fn busy(&self) -> u32 {
        if self.is_member() && self.health.is_healthy() {
            self.in_flight()
        } else {
            0
        }
    }

    /// Returns the expected time to a result in units of the average run time, failures included.
    pub(crate) fn cost(&self) -> f64 {
        let success = 1.0 - self.health.failure_rate().min(MAX_RATE);
        self.speed.slowness() / success
    }

    pub(crate) fn on_start(&mut self, now: Instant) {
        self.running.push(now);
    }

    /// Forgets the attempt whose start fits the run time best, and reports whether there was one.
    pub(crate) fn on_end(&mut self, now: Instant, run_time: Duration) -> bool {
        let age = |start: &Instant| now.saturating_duration_since(*start).abs_diff(run_time);
        let ended = (0..self.running.len()).min_by_key(|&at| age(&self.running[at]));
        if let Some(at) = ended {
            self.running.remove(at);
        }
        ended.is_some()
    }

    /// Forgets what a former connection had in flight.
    pub(crate) fn reset(&mut self) {
        self.running.clear();
        self.free = 0;
    }
}
