//! State of one target.

use std::time::{Duration, Instant};

use crate::classes::Listing;
use crate::health::Health;
use crate::speed::Speed;

/// Dense index of a target; a target that reconnects under the same name keeps its index.
pub type TargetIndex = usize;
/// Dense index of a pool.
pub(crate) type PoolIndex = usize;
/// Dense index of a failure domain.
pub(crate) type DomainIndex = usize;

/// Upper bound on the failure rate in the expected cost, which limits the cost to ten times the run time.
const MAX_COST_FAILURE_RATE: f64 = 0.9;

/// State of one target; its name is the key in the router's table.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) pool: PoolIndex,
    pub(crate) domain: DomainIndex,
    pub(crate) slots: u32,
    pub(crate) free_credits: u32,
    /// Whether the target is connected; a removed target retains its speed and health.
    pub(crate) connected: bool,
    pub(crate) leaving: bool,
    /// Position in the pool's index; `None` unless the target is a member.
    pub(crate) listing: Option<Listing>,
    pub(crate) speed: Speed,
    pub(crate) health: Health,
    /// Start times of the attempts in flight, in ascending order.
    start_times: Vec<Instant>,
}

impl Target {
    pub(crate) fn new(pool: PoolIndex, domain: DomainIndex, slots: u32) -> Self {
        Self {
            pool,
            domain,
            slots,
            free_credits: 0,
            connected: true,
            leaving: false,
            listing: None,
            speed: Speed::default(),
            health: Health::default(),
            start_times: Vec::new(),
        }
    }

    /// Reports whether the target is connected and not leaving.
    pub(crate) fn is_member(&self) -> bool {
        self.connected && !self.leaving
    }

    /// Reports whether the target is a member with free credits, regardless of its health.
    pub(crate) fn is_available(&self) -> bool {
        self.is_member() && self.free_credits > 0
    }

    /// Reports whether the target may receive a task now.
    pub(crate) fn admits(&self, now: Instant) -> bool {
        self.is_available() && self.health.admits(now, self.in_flight())
    }

    pub(crate) fn in_flight(&self) -> u32 {
        u32::try_from(self.start_times.len()).unwrap_or(u32::MAX)
    }

    /// Returns the attempts in flight if the target is a healthy member, and otherwise zero.
    ///
    /// Only these attempts are expected to free their credits within the usual run time.
    pub(crate) fn healthy_in_flight(&self) -> u32 {
        if self.is_member() && self.health.is_healthy() {
            self.in_flight()
        } else {
            0
        }
    }

    /// Returns the expected time to a successful result, failed attempts included.
    ///
    /// The unit is the run time on a target of average speed.
    pub(crate) fn cost(&self) -> f64 {
        let success = 1.0 - self.health.failure_rate().min(MAX_COST_FAILURE_RATE);
        self.speed.slowness() / success
    }

    pub(crate) fn on_start(&mut self, now: Instant) {
        self.start_times.push(now);
    }

    /// Removes the attempt whose age is closest to the run time, and reports whether there was one.
    pub(crate) fn on_end(&mut self, now: Instant, run_time: Duration) -> bool {
        let mismatch = |start: &Instant| now.saturating_duration_since(*start).abs_diff(run_time);
        let ended = (0..self.start_times.len()).min_by_key(|&index| mismatch(&self.start_times[index]));
        if let Some(index) = ended {
            self.start_times.remove(index);
        }
        ended.is_some()
    }

    /// Discards the credits and the attempts in flight of a lost connection.
    pub(crate) fn reset_connection(&mut self) {
        self.start_times.clear();
        self.free_credits = 0;
    }
}
