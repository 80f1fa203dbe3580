//! Builders that construct settings in code.
//!
//! A builder fills the same tree that a file would give, so defaults and checks are the same.

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

/// Where built settings come from, for error messages.
const IN_CODE: &str = "settings in code";

/// Tree of settings under construction.
#[derive(Clone)]
struct Tree(Value);

impl Tree {
    fn new() -> Self {
        Self(Value::Object(Map::new()))
    }

    /// Sets the value at a path of names.
    fn set(&mut self, path: &[&str], value: impl Into<Value>) {
        let mut at = &mut self.0;
        for name in path {
            // Indexing an absent member of an object inserts null, and null becomes an object when it is indexed.
            at = &mut at[*name];
        }
        *at = value.into();
    }

    fn build<M: RoleModel>(self) -> Result<M::Settings, SettingsError> {
        build::<M>(Source {
            file: IN_CODE.to_owned(),
            folder: Path::new(""),
            value: self.0,
        })
    }
}

fn texts(addresses: &[SocketAddr]) -> Value {
    addresses.iter().map(ToString::to_string).collect()
}

/// Declares a builder with the setters that every role has.
macro_rules! builder {
    ($(#[$doc:meta])* $name:ident, $model:ident => $settings:ident { $($setters:tt)* }) => {
        $(#[$doc])*
        ///
        /// The values are secret, so `Debug` shows none of them.
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

            /// Sets the longest wait for work in flight at shutdown.
            #[must_use]
            pub fn shutdown_grace(mut self, grace: Duration) -> Self {
                let ms = u64::try_from(grace.as_millis()).unwrap_or(u64::MAX);
                self.tree.set(&["shutdown_grace_ms"], ms);
                self
            }

            /// Sets the least severity that is logged.
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

            /// Checks and returns the settings.
            ///
            /// # Errors
            ///
            /// Returns all problems at once.
            pub fn build(self) -> Result<$settings, SettingsError> {
                self.tree.build::<$model>()
            }
        }
    };
}

/// Declares one chainable setter: its type, its path and the conversion to JSON.
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
            /// Sets the address for callers.
            listen(address: SocketAddr) => ["listen"] = address.to_string()
        );
        setter!(
            /// Sets the address for links of other processes.
            peer_listen(address: SocketAddr) => ["peer_listen"] = address.to_string()
        );
        setter!(
            /// Sets the address under which other processes reach this one.
            advertise_peers(address: SocketAddr) => ["advertise", "peers"] = address.to_string()
        );
        setter!(
            /// Sets the addresses of control processes.
            control(seeds: &[SocketAddr]) => ["control"] = texts(seeds)
        );
        setter!(
            /// Sets the secret shared by all processes.
            cluster_secret(secret: &str) => ["cluster_secret"] = secret
        );
        setter!(
            /// Sets the largest number of job records.
            max_records(count: u64) => ["register", "max_records"] = count
        );
        setter!(
            /// Sets the time for which a job id is remembered, in whole seconds.
            retention(time: Duration) => ["register", "retention_s"] = time.as_secs()
        );
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
            /// Sets the loopback address for announcements of the target.
            listen(address: SocketAddr) => ["listen"] = address.to_string()
        );
        setter!(
            /// Sets the addresses of control processes.
            control(seeds: &[SocketAddr]) => ["control"] = texts(seeds)
        );
        setter!(
            /// Sets the secret shared by all processes.
            cluster_secret(secret: &str) => ["cluster_secret"] = secret
        );
        setter!(
            /// Sets the token that the target shows.
            target_token(token: &str) => ["target_token"] = token
        );
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
            /// Sets the address for operators.
            listen(address: SocketAddr) => ["listen"] = address.to_string()
        );
        setter!(
            /// Sets the address for links of other processes.
            peer_listen(address: SocketAddr) => ["peer_listen"] = address.to_string()
        );
        setter!(
            /// Sets the address under which operators reach this process.
            advertise_operators(address: SocketAddr) => ["advertise", "operators"] = address.to_string()
        );
        setter!(
            /// Sets the address under which other processes reach this one.
            advertise_peers(address: SocketAddr) => ["advertise", "peers"] = address.to_string()
        );
        setter!(
            /// Sets the secret shared by all processes.
            cluster_secret(secret: &str) => ["cluster_secret"] = secret
        );
        setter!(
            /// Sets the folder for the durable state.
            data_dir(folder: &Path) => ["data_dir"] = folder.to_string_lossy()
        );

        /// Adds a control process that forms the replica set.
        #[must_use]
        pub fn initial_member(mut self, name: &str, address: SocketAddr) -> Self {
            self.tree.set(&["initial_members", name], address.to_string());
            self
        }

        /// Adds an operator with the SHA-256 of the bearer token as hexadecimal digits.
        #[must_use]
        pub fn operator(mut self, name: &str, token_sha256: &str) -> Self {
            self.tree.set(&["operators", name, "token_sha256"], token_sha256);
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
            /// Sets the address for tasks from the agent.
            listen(address: SocketAddr) => ["listen"] = address.to_string()
        );
        setter!(
            /// Sets the address of the agent.
            agent(address: SocketAddr) => ["agent"] = address.to_string()
        );
        setter!(
            /// Sets the token that it shows to the agent.
            target_token(token: &str) => ["target_token"] = token
        );
        setter!(
            /// Sets the pool that it belongs to.
            pool(name: &str) => ["pool"] = name
        );
        setter!(
            /// Sets the number of tasks that it runs at once.
            slots(count: u32) => ["slots"] = count
        );
        setter!(
            /// Sets the speed relative to declared run times.
            speed(factor: f64) => ["speed"] = factor
        );
    }
);
