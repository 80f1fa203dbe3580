//! Builders that construct settings in code.
//!
//! A builder fills the same JSON tree that a file is parsed into, so the same defaults and checks apply.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use chestnutfork_events::{Format, Severity};
use serde_json::{Map, Value};

use crate::error::SettingsError;
use crate::read::{RoleModel, Source, build};
use crate::roles::{
    AgentModel, AgentSettings, ControlModel, ControlSettings, EntryModel, EntrySettings, TargetModel,
    TargetSettings,
};

/// Source name of built settings in error messages.
const BUILDER_SOURCE: &str = "settings in code";

/// JSON tree of the settings set so far.
#[derive(Clone)]
struct Tree(Value);

impl Tree {
    fn new() -> Self {
        Self(Value::Object(Map::new()))
    }

    /// Sets the value at a path of keys and creates missing sections.
    fn set(&mut self, path: &[&str], value: impl Into<Value>) {
        let mut node = &mut self.0;
        for name in path {
            // Indexing an absent member of an object inserts null, and indexing null turns it into an object.
            node = &mut node[*name];
        }
        *node = value.into();
    }

    fn build<M: RoleModel>(self) -> Result<M::Settings, SettingsError> {
        build::<M>(Source {
            file: BUILDER_SOURCE.to_owned(),
            base_dir: Path::new(""),
            value: self.0,
        })
    }
}

fn address_list(addresses: &[SocketAddr]) -> Value {
    addresses.iter().map(ToString::to_string).collect()
}

/// Declares a builder that includes the setters common to all roles.
macro_rules! builder {
    ($(#[$doc:meta])* $name:ident, $model:ident => $settings:ident { $($setters:tt)* }) => {
        $(#[$doc])*
        ///
        /// The values include secrets, so the `Debug` output omits all of them.
        #[derive(Clone)]
        pub struct $name {
            tree: Tree,
        }

        impl std::fmt::Debug for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.debug_struct(stringify!($name)).finish_non_exhaustive()
            }
        }

        impl $name {
            $($setters)*

            /// Sets the maximum time to wait for in-flight work at shutdown.
            #[must_use]
            pub fn shutdown_grace(mut self, grace: Duration) -> Self {
                let ms = u64::try_from(grace.as_millis()).unwrap_or(u64::MAX);
                self.tree.set(&["shutdown_grace_ms"], ms);
                self
            }

            /// Sets the minimum severity that is logged.
            #[must_use]
            pub fn log_level(mut self, level: Severity) -> Self {
                self.tree.set(&["log", "level"], level.as_str());
                self
            }

            /// Sets the format of log lines.
            #[must_use]
            pub fn log_format(mut self, format: Format) -> Self {
                self.tree.set(&["log", "format"], format.as_str());
                self
            }

            /// Sets the address of a `StatsD` receiver.
            #[must_use]
            pub fn statsd(mut self, address: SocketAddr) -> Self {
                self.tree.set(&["metrics", "statsd"], address.to_string());
                self
            }

            /// Validates and returns the settings.
            ///
            /// # Errors
            ///
            /// Returns all problems of the settings at once.
            pub fn build(self) -> Result<$settings, SettingsError> {
                self.tree.build::<$model>()
            }
        }
    };
}

/// Declares one chainable setter with its argument type, key path and conversion to JSON.
macro_rules! setter {
    ($(#[$doc:meta])* $name:ident($value:ident: $type:ty) => [$($path:literal),+] = $json:expr) => {
        $(#[$doc])*
        #[must_use]
        pub fn $name(mut self, $value: $type) -> Self {
            self.tree.set(&[$($path),+], $json);
            self
        }
    };
}

builder!(
    /// Builder of [`EntrySettings`].
    EntryBuilder, EntryModel => EntrySettings {
        pub(crate) fn new(name: &str, failure_domain: &str) -> Self {
            let mut tree = Tree::new();
            tree.set(&["name"], name);
            tree.set(&["failure_domain"], failure_domain);
            Self { tree }
        }

        setter!(
            /// Sets the listen address for callers.
            listen(address: SocketAddr) => ["listen"] = address.to_string()
        );
        setter!(
            /// Sets the listen address for links from other processes.
            peer_listen(address: SocketAddr) => ["peer_listen"] = address.to_string()
        );
        setter!(
            /// Sets the address at which other processes reach this one.
            advertise_peers(address: SocketAddr) => ["advertise", "peers"] = address.to_string()
        );
        setter!(
            /// Sets the addresses of control processes.
            control(addresses: &[SocketAddr]) => ["control"] = address_list(addresses)
        );
        setter!(
            /// Sets the secret shared by all processes.
            cluster_secret(secret: &str) => ["cluster_secret"] = secret
        );
        setter!(
            /// Sets the maximum number of job records.
            max_records(count: u64) => ["register", "max_records"] = count
        );
        setter!(
            /// Sets the retention time of job ids; fractions of a second are dropped.
            retention(time: Duration) => ["register", "retention_s"] = time.as_secs()
        );

        /// Sets the memory in MiB that the process may use.
        #[must_use]
        pub fn memory_mb(mut self, size: u64) -> Self {
            self.tree.set(&["limits", "memory_mb"], size);
            self
        }

        /// Sets the number of descriptors that the process may open.
        #[must_use]
        pub fn max_fds(mut self, count: u64) -> Self {
            self.tree.set(&["limits", "max_fds"], count);
            self
        }

        /// Sets the maximum size of the head of a request in bytes.
        #[must_use]
        pub fn max_header_bytes(mut self, size: u64) -> Self {
            self.tree.set(&["limits", "max_header_bytes"], size);
            self
        }
    }
);

builder!(
    /// Builder of [`AgentSettings`].
    AgentBuilder, AgentModel => AgentSettings {
        pub(crate) fn new(name: &str, failure_domain: &str) -> Self {
            let mut tree = Tree::new();
            tree.set(&["name"], name);
            tree.set(&["failure_domain"], failure_domain);
            Self { tree }
        }

        setter!(
            /// Sets the loopback listen address for announcements from the target.
            listen(address: SocketAddr) => ["listen"] = address.to_string()
        );
        setter!(
            /// Sets the addresses of control processes.
            control(addresses: &[SocketAddr]) => ["control"] = address_list(addresses)
        );
        setter!(
            /// Sets the secret shared by all processes.
            cluster_secret(secret: &str) => ["cluster_secret"] = secret
        );
        setter!(
            /// Sets the token that the target presents to the agent.
            target_token(token: &str) => ["target_token"] = token
        );

        /// Sets the memory in MiB that the process may use.
        #[must_use]
        pub fn memory_mb(mut self, size: u64) -> Self {
            self.tree.set(&["limits", "memory_mb"], size);
            self
        }

        /// Sets the number of descriptors that the process may open.
        #[must_use]
        pub fn max_fds(mut self, count: u64) -> Self {
            self.tree.set(&["limits", "max_fds"], count);
            self
        }

        /// Sets the maximum size of the head of a request in bytes.
        #[must_use]
        pub fn max_header_bytes(mut self, size: u64) -> Self {
            self.tree.set(&["limits", "max_header_bytes"], size);
            self
        }
    }
);

builder!(
    /// Builder of [`ControlSettings`].
    ControlBuilder, ControlModel => ControlSettings {
        pub(crate) fn new(name: &str, failure_domain: &str) -> Self {
            let mut tree = Tree::new();
            tree.set(&["name"], name);
            tree.set(&["failure_domain"], failure_domain);
            Self { tree }
        }

        setter!(
            /// Sets the listen address for operators.
            listen(address: SocketAddr) => ["listen"] = address.to_string()
        );
        setter!(
            /// Sets the listen address for links from other processes.
            peer_listen(address: SocketAddr) => ["peer_listen"] = address.to_string()
        );
        setter!(
            /// Sets the address at which operators reach this process.
            advertise_operators(address: SocketAddr) => ["advertise", "operators"] = address.to_string()
        );
        setter!(
            /// Sets the address at which other processes reach this one.
            advertise_peers(address: SocketAddr) => ["advertise", "peers"] = address.to_string()
        );
        setter!(
            /// Sets the secret shared by all processes.
            cluster_secret(secret: &str) => ["cluster_secret"] = secret
        );
        setter!(
            /// Sets the directory of the durable state.
            data_dir(path: &Path) => ["data_dir"] = path.to_string_lossy()
        );

        /// Adds an initial member of the replica set.
        #[must_use]
        pub fn initial_member(mut self, name: &str, address: SocketAddr) -> Self {
            self.tree.set(&["initial_members", name], address.to_string());
            self
        }

        /// Adds an operator, identified by the hexadecimal SHA-256 of the bearer token.
        #[must_use]
        pub fn operator(mut self, name: &str, token_sha256: &str) -> Self {
            self.tree.set(&["operators", name, "token_sha256"], token_sha256);
            self
        }

        /// Sets the memory in MiB that the process may use.
        #[must_use]
        pub fn memory_mb(mut self, size: u64) -> Self {
            self.tree.set(&["limits", "memory_mb"], size);
            self
        }

        /// Sets the number of descriptors that the process may open.
        #[must_use]
        pub fn max_fds(mut self, count: u64) -> Self {
            self.tree.set(&["limits", "max_fds"], count);
            self
        }

        /// Sets the maximum size of the head of a request in bytes.
        #[must_use]
        pub fn max_header_bytes(mut self, size: u64) -> Self {
            self.tree.set(&["limits", "max_header_bytes"], size);
            self
        }
    }
);

builder!(
    /// Builder of [`TargetSettings`].
    TargetBuilder, TargetModel => TargetSettings {
        pub(crate) fn new(name: &str) -> Self {
            let mut tree = Tree::new();
            tree.set(&["name"], name);
            Self { tree }
        }

        setter!(
            /// Sets the listen address for tasks from the agent.
            listen(address: SocketAddr) => ["listen"] = address.to_string()
        );
        setter!(
            /// Sets the address of the agent.
            agent(address: SocketAddr) => ["agent"] = address.to_string()
        );
        setter!(
            /// Sets the token that the target presents to the agent.
            target_token(token: &str) => ["target_token"] = token
        );
        setter!(
            /// Sets the pool that the target belongs to.
            pool(name: &str) => ["pool"] = name
        );
        setter!(
            /// Sets the maximum number of concurrent tasks.
            slots(count: u32) => ["slots"] = count
        );
        setter!(
            /// Sets the execution speed relative to declared run times.
            speed(factor: f64) => ["speed"] = factor
        );
    }
);
