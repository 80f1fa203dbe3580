//! Declarations of all settings.

use chestnutfork_schema::{Key, Kind, Presence};

use crate::role::Role;

const fn key(path: &'static str, kind: Kind, presence: Presence, description: &'static str) -> Key {
    Key {
        path,
        kind,
        presence,
        description,
    }
}

const fn section(path: &'static str, description: &'static str) -> Key {
    key(path, Kind::Section, Presence::Optional, description)
}

/// Least length of a secret in bytes.
pub(crate) const SECRET_MIN_LENGTH: usize = 16;
const SECRET: Kind = Kind::Secret {
    min: SECRET_MIN_LENGTH,
};
/// Addresses of control processes that a process knows from its settings.
const SEEDS: Kind = Kind::Addresses { min: 1, max: 16 };

/// Settings that every role has.
pub(crate) const PROCESS: &[Key] = &[
    key(
        "name",
        Kind::Name,
        Presence::Required,
        "Name of the process; it survives restarts and is unique in its role.",
    ),
    key(
        "shutdown_grace_ms",
        Kind::Integer {
            min: 0,
            max: 600_000,
            unit: "ms",
        },
        Presence::Default("30000"),
        "Longest wait for work in flight at shutdown.",
    ),
    section("log", "Log output on standard error."),
    key(
        "log.level",
        Kind::Enum(&["debug", "info", "warn", "error", "critical"]),
        Presence::Default("\"info\""),
        "Least severity that is logged.",
    ),
    key(
        "log.format",
        Kind::Enum(&["text", "json"]),
        Presence::Default("\"text\""),
        "Format of log lines.",
    ),
    section("metrics", "Metrics output."),
    key(
        "metrics.statsd",
        Kind::Address,
        Presence::Optional,
        "UDP address of a StatsD receiver; without it no metrics are sent.",
    ),
];

const FAILURE_DOMAIN: Key = key(
    "failure_domain",
    Kind::Name,
    Presence::Required,
    "Failure domain of the machine.",
);
const CONTROL_SEEDS: Key = key(
    "control",
    SEEDS,
    Presence::Required,
    "Addresses of control processes (their `advertise.peers`).",
);
const CLUSTER_SECRET: Key = key(
    "cluster_secret",
    SECRET,
    Presence::Optional,
    "Secret shared by all processes; give this or `cluster_secret_file`.",
);
const CLUSTER_SECRET_FILE: Key = key(
    "cluster_secret_file",
    Kind::Path,
    Presence::Optional,
    "File with the cluster secret; relative to the settings file.",
);
const TARGET_TOKEN: Key = key(
    "target_token",
    SECRET,
    Presence::Optional,
    "Token that the target shows to its agent; give this or `target_token_file`.",
);
const TARGET_TOKEN_FILE: Key = key(
    "target_token_file",
    Kind::Path,
    Presence::Optional,
    "File with the target token; relative to the settings file.",
);
const PEER_LISTEN: Key = key(
    "peer_listen",
    Kind::Address,
    Presence::Required,
    "Address for links of other processes.",
);
const ADVERTISE_PEERS: Key = key(
    "advertise.peers",
    Kind::Address,
    Presence::Optional,
    "Address under which other processes reach `peer_listen`; default is `peer_listen` itself.",
);

const ENTRY: &[Key] = &[
    FAILURE_DOMAIN,
    key(
        "listen",
        Kind::Address,
        Presence::Required,
        "Address for callers (HTTP).",
    ),
    PEER_LISTEN,
    section("advertise", "Addresses that others use."),
    ADVERTISE_PEERS,
    CONTROL_SEEDS,
    CLUSTER_SECRET,
    CLUSTER_SECRET_FILE,
    section("register", "Job register; the same at all entries."),
    key(
        "register.max_records",
        Kind::Integer {
            min: 1,
            max: 100_000_000,
            unit: "",
        },
        Presence::Default("1000000"),
        "Largest number of job records; when it is reached, new jobs are refused as not run.",
    ),
    key(
        "register.retention_s",
        Kind::Integer {
            min: 10,
            max: 86_400,
            unit: "s",
        },
        Presence::Default("600"),
        "Time for which a job id is remembered.",
    ),
];

const AGENT: &[Key] = &[
    FAILURE_DOMAIN,
    key(
        "listen",
        Kind::Address,
        Presence::Required,
        "Loopback address for announcements of the target (HTTP).",
    ),
    CONTROL_SEEDS,
    CLUSTER_SECRET,
    CLUSTER_SECRET_FILE,
    TARGET_TOKEN,
    TARGET_TOKEN_FILE,
];

const CONTROL: &[Key] = &[
    FAILURE_DOMAIN,
    key(
        "listen",
        Kind::Address,
        Presence::Required,
        "Address for operators (HTTP).",
    ),
    PEER_LISTEN,
    section("advertise", "Addresses that others use."),
    ADVERTISE_PEERS,
    key(
        "advertise.operators",
        Kind::Address,
        Presence::Optional,
        "Address under which operators reach `listen`; default is `listen` itself.",
    ),
    CLUSTER_SECRET,
    CLUSTER_SECRET_FILE,
    key(
        "data_dir",
        Kind::Path,
        Presence::Required,
        "Folder for the durable state; relative to the settings file.",
    ),
    key(
        "initial_members",
        Kind::Table { max: 8 },
        Presence::Required,
        "Control processes that form the replica set; the same at all of them.",
    ),
    key(
        "initial_members.*",
        Kind::Address,
        Presence::Optional,
        "Address of one of them (its `advertise.peers`), by its name.",
    ),
    key(
        "operators",
        Kind::Table { max: 1_000 },
        Presence::Required,
        "Operators by name.",
    ),
    section("operators.*", "One operator."),
    key(
        "operators.*.token_sha256",
        Kind::Sha256,
        Presence::Required,
        "SHA-256 of the operator's bearer token; no two operators share one.",
    ),
];

const TARGET: &[Key] = &[
    key(
        "listen",
        Kind::Address,
        Presence::Required,
        "Address for tasks from the agent (HTTP).",
    ),
    key(
        "agent",
        Kind::Address,
        Presence::Required,
        "Address of the agent (its `listen`).",
    ),
    TARGET_TOKEN,
    TARGET_TOKEN_FILE,
    key(
        "pool",
        Kind::Name,
        Presence::Required,
        "Pool of interchangeable targets that it belongs to.",
    ),
    key(
        "slots",
        Kind::Integer {
            min: 1,
            max: 1_024,
            unit: "",
        },
        Presence::Default("8"),
        "Number of tasks that it runs at once.",
    ),
    key(
        "speed",
        Kind::Number {
            min: 0.01,
            max: 100.0,
        },
        Presence::Default("1.0"),
        "Speed relative to declared run times.",
    ),
];

/// Returns the declarations of a role, those that every role has first.
///
/// # Examples
///
/// ```
/// use chestnutfork_settings::{Role, keys};
///
/// assert!(keys(Role::Control).iter().any(|key| key.path == "data_dir"));
/// ```
#[must_use]
pub fn keys(role: Role) -> Vec<Key> {
    [PROCESS, role_keys(role)].concat()
}

pub(crate) fn role_keys(role: Role) -> &'static [Key] {
    match role {
        Role::Entry => ENTRY,
        Role::Agent => AGENT,
        Role::Control => CONTROL,
        Role::Target => TARGET,
    }
}
