//! Runs all roles in one process on loopback, with simulated targets, for tests, trials and demonstrations.

mod cluster;

pub use cluster::{LocalCluster, LocalConfig, LocalConfigBuilder, LocalError, TargetSpec};
