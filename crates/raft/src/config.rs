//! Configuration of a replica.

use std::time::Duration;

use chestnutfork_types::ReplicaId;
use thiserror::Error;

/// Minimum ratio of election timeout to heartbeat interval. With fewer heartbeats per election timeout, a single
/// lost message can cause an election.
const MIN_HEARTBEATS_PER_ELECTION: u32 = 3;

/// Timing, limits and random seed of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    pub(crate) id: ReplicaId,
    pub(crate) seed: u64,
    pub(crate) heartbeat: Duration,
    pub(crate) election_timeout: Duration,
    pub(crate) max_message_bytes: usize,
    pub(crate) max_command_bytes: usize,
    pub(crate) max_in_flight: usize,
    pub(crate) max_uncommitted_bytes: usize,
    pub(crate) max_snapshot_bytes: u64,
    pub(crate) vote_twice: bool,
}

/// Invalid configuration of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The election timeout is less than 3 heartbeat intervals.
    #[error(
        "election timeout must be at least 3 heartbeat intervals; raise it or lower the heartbeat interval"
    )]
    ElectionTimeout,
    /// The named limit is zero.
    #[error("limit `{0}` must be at least 1")]
    ZeroLimit(&'static str),
}

impl Config {
    /// Returns a builder with defaults for control processes with round-trip times of a few milliseconds.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use chestnutfork_raft::Config;
    ///
    /// let cfg = Config::builder(7).heartbeat(Duration::from_millis(100)).build();
    /// assert!(cfg.is_ok());
    /// ```
    #[must_use]
    pub fn builder(id: ReplicaId) -> ConfigBuilder {
        ConfigBuilder::new(id)
    }
}

/// Builder for [`Config`].
#[derive(Clone, Debug)]
pub struct ConfigBuilder {
    cfg: Config,
}

/// Defines a builder setter.
macro_rules! setter {
    ($(#[$doc:meta])* $name:ident: $type:ty) => {
        $(#[$doc])*
        #[must_use]
        pub fn $name(mut self, $name: $type) -> Self {
            self.cfg.$name = $name;
            self
        }
    };
}

impl ConfigBuilder {
    fn new(id: ReplicaId) -> Self {
        let cfg = Config {
            id,
            seed: id,
            heartbeat: Duration::from_millis(200),
            election_timeout: Duration::from_secs(1),
            max_message_bytes: 256 * 1024,
            max_command_bytes: 2 * 1024 * 1024,
            max_in_flight: 16,
            max_uncommitted_bytes: 8 * 1024 * 1024,
            max_snapshot_bytes: 32 * 1024 * 1024,
            vote_twice: false,
        };
        Self { cfg }
    }

    setter!(
        /// Sets the seed of the randomized election timeouts. Defaults to the replica id.
        seed: u64
    );
    setter!(
        /// Sets the interval between heartbeats of the leader.
        heartbeat: Duration
    );
    setter!(
        /// Sets the minimum election timeout. Each timeout is drawn between this value and twice this value.
        election_timeout: Duration
    );
    setter!(
        /// Sets the maximum payload size of a message in bytes; a message has at least one entry whatever its size.
        max_message_bytes: usize
    );
    setter!(
        /// Sets the maximum size of a command in bytes. It may exceed the message limit, because a message has at least
        /// one entry.
        max_command_bytes: usize
    );
    setter!(
        /// Sets the maximum number of unacknowledged append messages per peer.
        max_in_flight: usize
    );
    setter!(
        /// Sets the maximum total size of uncommitted entries in bytes; proposals beyond it are refused.
        max_uncommitted_bytes: usize
    );
    setter!(
        /// Sets the maximum size of a received snapshot in bytes; larger ones are ignored.
        max_snapshot_bytes: u64
    );
    setter!(
        /// Allows several votes per term, which violates Raft's safety. Tests use it to show that the verifier detects
        /// the violation.
        #[doc(hidden)]
        vote_twice: bool
    );

    /// Validates the values and returns the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid value.
    pub fn build(self) -> Result<Config, ConfigError> {
        let cfg = self.cfg;
        if cfg.election_timeout < cfg.heartbeat * MIN_HEARTBEATS_PER_ELECTION {
            return Err(ConfigError::ElectionTimeout);
        }
        let limits = [
            ("max_message_bytes", cfg.max_message_bytes),
            ("max_command_bytes", cfg.max_command_bytes),
            ("max_in_flight", cfg.max_in_flight),
            ("max_uncommitted_bytes", cfg.max_uncommitted_bytes),
        ];
        match limits.iter().find(|(_, value)| *value == 0) {
            Some((name, _)) => Err(ConfigError::ZeroLimit(name)),
            None => Ok(cfg),
        }
    }
}
