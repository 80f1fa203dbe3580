//! Return of an evacuated domain.
//!
//! The workers of a domain that returns are empty, so every entry prefers them at the same moment, and reports of their load
//! are older than the orders of the other entries. They may also be slower than they were. The ramp bounds both: each entry
//! begins to use each worker at a time of its own, and the part of a worker's capacity that may be used rises with time.

use std::time::{Duration, Instant};

use chestnutfork_types::Resources;

/// Position of an entry and a worker in the order in which pairs of them open, from 0 (first) up to 1 (last).
pub type RampPosition = f64;

/// Time after which a domain that has returned is used without limit.
///
/// It covers ten heartbeats of an agent (200 ms each), so that with 13 entries about one of them begins to use a worker between
/// two reports of its load, and two of the longest tasks (0.8 s), after which the speed of the worker is known.
const RAMP_TIME: Duration = Duration::from_secs(2);

/// Part of a worker's capacity that may be used at the beginning of the ramp, as a divisor. A worker that runs at a quarter of
/// its speed then has no more work than it can do.
const INITIAL_CAPACITY_DIVISOR: u32 = 4;

/// Steps in which the usable part of the capacity rises.
const CAPACITY_STEPS: u64 = 1_000;

/// Ramp of a domain that has returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnRamp {
    started_at: Instant,
}

impl ReturnRamp {
    /// Creates the ramp of a domain that returns now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { started_at: now }
    }

    /// Returns whether the domain is used without limit.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_evacuation::ReturnRamp;
    ///
    /// let now = Instant::now();
    /// let ramp = ReturnRamp::new(now);
    /// assert!(!ramp.is_complete(now));
    /// assert!(ramp.is_complete(now + Duration::from_secs(2)));
    /// ```
    #[must_use]
    pub fn is_complete(self, now: Instant) -> bool {
        now >= self.started_at + RAMP_TIME
    }

    /// Returns whether an entry may place tasks on a worker, given the position of this pair.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_evacuation::ReturnRamp;
    ///
    /// let now = Instant::now();
    /// let ramp = ReturnRamp::new(now);
    /// assert!(!ramp.is_open(now, 0.5));
    /// assert!(ramp.is_open(now + Duration::from_millis(1_001), 0.5));
    /// ```
    #[must_use]
    pub fn is_open(self, now: Instant, position: RampPosition) -> bool {
        self.is_complete(now) || position < self.progress(now)
    }

    /// Returns the part of a worker's capacity that must stay free.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_evacuation::ReturnRamp;
    /// use chestnutfork_types::Resources;
    ///
    /// let now = Instant::now();
    /// let ramp = ReturnRamp::new(now);
    /// let capacity = Resources { cpu_millis: 4_000, ..Resources::default() };
    /// assert_eq!(ramp.withheld(now, capacity).cpu_millis, 3_000);
    /// assert_eq!(ramp.withheld(now + Duration::from_secs(2), capacity).cpu_millis, 0);
    /// ```
    #[must_use]
    pub fn withheld(self, now: Instant, capacity: Resources) -> Resources {
        if self.is_complete(now) {
            return Resources::default();
        }
        let initial = 1.0 - 1.0 / f64::from(INITIAL_CAPACITY_DIVISOR);
        let steps = permille(initial * (1.0 - self.progress(now)));
        let part = |amount: u64| {
            let part = u128::from(amount) * u128::from(steps) / u128::from(CAPACITY_STEPS);
            u64::try_from(part).unwrap_or(amount)
        };
        Resources {
            cpu_millis: part(capacity.cpu_millis),
            memory_mb: part(capacity.memory_mb),
            gpus: part(capacity.gpus),
        }
    }

    /// Returns the elapsed part of the ramp, from 0 to 1.
    fn progress(self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.started_at);
        (elapsed.as_secs_f64() / RAMP_TIME.as_secs_f64()).min(1.0)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part between 0 and 1 gives 0 to 1,000"
)]
fn permille(part: f64) -> u64 {
    (part.clamp(0.0, 1.0) * 1_000.0) as u64
}

/// Returns the position of an entry and a worker. Positions of different pairs are spread evenly.
///
/// `entry` is the seed of the entry, which differs between entries.
///
/// # Examples
///
/// ```
/// use chestnutfork_evacuation::ramp_position;
///
/// let position = ramp_position(7, "agent-1");
/// assert!((0.0..1.0).contains(&position));
/// assert!(position != ramp_position(8, "agent-1"));
/// ```
#[must_use]
pub fn ramp_position(entry: u64, worker: &str) -> RampPosition {
    // FNV-1a with a final mix, because names that differ in their last character must be far apart.
    let bytes = entry.to_le_bytes().into_iter().chain(worker.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let bits = u32::try_from(mixed >> 32).expect("the upper half of the bits fits");
    f64::from(bits) / (f64::from(u32::MAX) + 1.0)
}
