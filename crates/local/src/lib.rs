//! All roles in one process on loopback, with simulated targets, for trials and demonstrations.

mod set;

pub use set::{LocalCluster, LocalConfig, LocalConfigBuilder, LocalError, TargetSpec};
