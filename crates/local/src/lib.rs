//! All roles in one process on loopback, with simulated targets, for trials and demonstrations.

mod set;

pub use set::{LocalConfig, LocalConfigBuilder, LocalError, LocalSet, TargetShape};
