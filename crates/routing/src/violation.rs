//! Violations of invariants, as the verifier reports them.

use chestnutfork_types::{PoolName, TargetName};
use thiserror::Error;

/// Invariant of the router that does not hold; every one is a programming error.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// More targets of a pool are ejected than its limit allows.
    #[error("pool {pool} has {ejected} targets ejected, at most {limit} may be; report this as a bug")]
    EjectionLimit {
        /// Pool in question.
        pool: PoolName,
        /// Targets ejected.
        ejected: usize,
        /// Most targets that may be ejected at once.
        limit: usize,
    },
    /// A target is not listed by its cost, free credits and attempts in flight.
    #[error("target {target} is listed wrongly in its pool; report this as a bug")]
    Listing {
        /// Target in question.
        target: TargetName,
    },
    /// The slots or members counted for a pool are not those of its targets.
    #[error("pool {pool} counts {counted} slots but its targets have {slots}; report this as a bug")]
    PoolSlots {
        /// Pool in question.
        pool: PoolName,
        /// Slots counted.
        counted: u32,
        /// Sum over the targets.
        slots: u32,
    },
    /// A learned value is not a usable number.
    #[error("the learned speed of target {target} is not a positive finite number; report this as a bug")]
    Speed {
        /// Target in question.
        target: TargetName,
    },
    /// An ejection is due to end before the time that the router waits for.
    #[error("the ejection of target {target} ends before the next wakeup; report this as a bug")]
    Wakeup {
        /// Target in question.
        target: TargetName,
    },
}
