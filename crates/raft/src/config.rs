//! Timing, limits and seed of a replica.

use std::time::Duration;

use chestnutfork_types::ReplicaId;
use thiserror::Error;

/// Smallest ratio of election timeout to heartbeat; fewer heartbeats make a lost message cost an election.
const MIN_HEARTBEATS_PER_ELECTION: u32 = 3;

/// Configuration of a replica.
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

/// Contradiction between configuration values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The election timeout is too close to the heartbeat.
    #[error("election timeout must be at least 3 heartbeats; raise it or lower the heartbeat")]
    ElectionTimeout,
    /// A limit is zero.
    #[error("limit `{0}` must be at least 1")]
    ZeroLimit(&'static str),
}

impl Config {
    /// Starts a configuration with defaults for control processes a few milliseconds apart.
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

/// Builder of [`Config`].
#[derive(Clone, Debug)]
pub struct ConfigBuilder {
    cfg: Config,
}

/// Declares one chainable setter of the builder.
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
        /// Sets the seed of the random election timeouts; the default is the replica id.
        seed: u64
    );
    setter!(
        /// Sets the interval between heartbeats of a leader.
        heartbeat: Duration
    );
    setter!(
        /// Sets the shortest time without a leader before an election; the longest is twice as long.
        election_timeout: Duration
    );
    setter!(
        /// Sets the size in bytes after which no further entry is put into a message.
        max_message_bytes: usize
    );
    setter!(
        /// Sets the size in bytes above which a command is refused; a message takes at least one command.
        max_command_bytes: usize
    );
    setter!(
        /// Sets the largest number of unanswered append messages to one peer.
        max_in_flight: usize
    );
    setter!(
        /// Sets the size in bytes of uncommitted entries above which proposals are refused.
        max_uncommitted_bytes: usize
    );
    setter!(
        /// Sets the size in bytes above which an incoming snapshot is refused.
        max_snapshot_bytes: u64
    );
    setter!(
        /// Breaks the rule of one vote a term, so that tests can show that the verifier detects it.
        #[doc(hidden)]
        vote_twice: bool
    );

    /// Returns the finished configuration.
    ///
    /// # Errors
    ///
    /// Returns the first contradiction between the values.
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
