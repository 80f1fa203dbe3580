//! Violations of the router's invariants.

use chestnutfork_types::{PoolName, TargetName};
use thiserror::Error;

/// Violated invariant of the router; each is a programming error.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// More targets of a pool are ejected than its limit allows.
    #[error("pool {pool} has {ejected} ejected targets, the limit is {limit}; report this as a bug")]
    EjectionLimit {
        /// Affected pool.
        pool: PoolName,
        /// Number of ejected targets.
        ejected: usize,
        /// Maximum number of ejected targets.
        limit: usize,
    },
    /// The position of a target in its pool's index does not match its cost, free credits and attempts in flight.
    #[error("target {target} is indexed wrongly in its pool; report this as a bug")]
    Listing {
        /// Affected target.
        target: TargetName,
    },
    /// The slots counted for a pool are not the sum over its members.
    #[error("pool {pool} counts {counted} slots but its targets have {slots}; report this as a bug")]
    PoolSlots {
        /// Affected pool.
        pool: PoolName,
        /// Slots counted.
        counted: u32,
        /// Sum over the members.
        slots: u32,
    },
    /// A learned speed is not a positive finite number.
    #[error("the learned speed of target {target} is not a positive finite number; report this as a bug")]
    Speed {
        /// Affected target.
        target: TargetName,
    },
    /// An ejection or a throttling delay ends before the router's next wake-up.
    #[error("the ejection of target {target} ends before the next wake-up; report this as a bug")]
    Wakeup {
        /// Affected target.
        target: TargetName,
    },
}
