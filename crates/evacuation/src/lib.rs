//! Evacuation of failure domains: which domains are evacuated, and how a domain returns.
//!
//! [`Evacuations`] is the state that control replicates: the evacuated domains, and a revision that rises with each change.
//! [`KnownEvacuations`] is the latest of these states that an entry or agent has received. [`ReturnRamp`] limits the use of a
//! domain that has returned. All are plain data without I/O.

mod known;
mod ramp;
mod state;

pub use known::{EvacuationChange, KnownEvacuations};
pub use ramp::{RampPosition, ReturnRamp, ramp_position};
pub use state::{Evacuations, Revision};
