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

/// Minimum length of a secret in bytes.
pub(crate) const MIN_SECRET_LENGTH: usize = 16;
const SECRET_KIND: Kind = Kind::Secret {
    min: MIN_SECRET_LENGTH,
};
/// Control processes that a process contacts first.
const CONTROL_ADDRESSES_KIND: Kind = Kind::Addresses { min: 1, max: 16 };

/// Declarations common to all roles.
pub(crate) const PROCESS_KEYS: &[Key] = &[
    key(
        "name",
        Kind::Name,
        Presence::Required,
        "Name of the process; must be unique within its role and stay the same across restarts.",
    ),
    key(
        "shutdown_grace_ms",
        Kind::Integer {
            min: 0,
            max: 600_000,
            unit: "ms",
        },
        Presence::Default("30000"),
        "Maximum time to wait for in-flight work at shutdown.",
    ),
    section("log", "Log output on standard error."),
    key(
        "log.level",
        Kind::Enum(&["debug", "info", "warn", "error", "critical"]),
        Presence::Default("\"info\""),
        "Minimum severity that is logged.",
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
        "UDP address of the StatsD receiver; without it, no metrics are sent.",
    ),
];

const FAILURE_DOMAIN: Key = key(
    "failure_domain",
    Kind::Name,
    Presence::Required,
    "Failure domain of the machine.",
);
const CONTROL_ADDRESSES: Key = key(
    "control",
    CONTROL_ADDRESSES_KIND,
    Presence::Required,
    "Addresses of control processes (their `advertise.peers`).",
);
const CLUSTER_SECRET: Key = key(
    "cluster_secret",
    SECRET_KIND,
    Presence::Optional,
    "Secret shared by all processes; set this or `cluster_secret_file`.",
);
const CLUSTER_SECRET_FILE: Key = key(
    "cluster_secret_file",
    Kind::Path,
    Presence::Optional,
    "File that contains the cluster secret; relative to the settings file.",
);
const TARGET_TOKEN: Key = key(
    "target_token",
    SECRET_KIND,
    Presence::Optional,
    "Token that the target presents to its agent; set this or `target_token_file`.",
);
const TARGET_TOKEN_FILE: Key = key(
    "target_token_file",
    Kind::Path,
    Presence::Optional,
    "File that contains the target token; relative to the settings file.",
);
const PEER_LISTEN: Key = key(
    "peer_listen",
    Kind::Address,
    Presence::Required,
    "Listen address for links from other processes.",
);
const ADVERTISE_PEERS: Key = key(
    "advertise.peers",
    Kind::Address,
    Presence::Optional,
    "Address at which other processes reach `peer_listen`; defaults to `peer_listen`.",
);

const LIMITS: Key = section(
    "limits",
    "Limits of the process; the bounds on connections and unfinished requests derive from them.",
);
const LIMIT_MEMORY: Key = key(
    "limits.memory_mb",
    Kind::Integer {
        min: 48,
        max: 1_048_576,
        unit: "MiB",
    },
    Presence::Default("256"),
    "Memory that the process may use. A quarter is for unfinished requests, and connections are limited to 4 for each MiB.",
);
const LIMIT_FDS: Key = key(
    "limits.max_fds",
    Kind::Integer {
        min: 64,
        max: 1_000_000,
        unit: "",
    },
    Presence::Default("4096"),
    "Descriptors that the process may open. Half of them are for HTTP connections, an eighth for links that are not authenticated.",
);
const LIMIT_HEADER: Key = key(
    "limits.max_header_bytes",
    Kind::Integer {
        min: 8_192,
        max: 1_048_576,
        unit: "bytes",
    },
    Presence::Default("16384"),
    "Maximum size of the head of a request; a larger one is answered with 431.",
);

const ENTRY_KEYS: &[Key] = &[
    FAILURE_DOMAIN,
    key(
        "listen",
        Kind::Address,
        Presence::Required,
        "Listen address for callers (HTTP).",
    ),
    PEER_LISTEN,
    section("advertise", "Advertised addresses."),
    ADVERTISE_PEERS,
    CONTROL_ADDRESSES,
    CLUSTER_SECRET,
    CLUSTER_SECRET_FILE,
    section("register", "Job register; must be the same on all entries."),
    key(
        "register.max_records",
        Kind::Integer {
            min: 1,
            max: 100_000_000,
            unit: "",
        },
        Presence::Default("1000000"),
        "Maximum number of job records; when it is reached, new jobs are refused and reported as not run.",
    ),
    key(
        "register.retention_s",
        Kind::Integer {
            min: 10,
            max: 86_400,
            unit: "s",
        },
        Presence::Default("600"),
        "Retention time of job ids.",
    ),
    LIMITS,
    LIMIT_MEMORY,
    LIMIT_FDS,
    LIMIT_HEADER,
];

const AGENT_KEYS: &[Key] = &[
    FAILURE_DOMAIN,
    key(
        "listen",
        Kind::Address,
        Presence::Required,
        "Loopback listen address for announcements from the target (HTTP).",
    ),
    CONTROL_ADDRESSES,
    CLUSTER_SECRET,
    CLUSTER_SECRET_FILE,
    TARGET_TOKEN,
    TARGET_TOKEN_FILE,
    LIMITS,
    LIMIT_MEMORY,
    LIMIT_FDS,
    LIMIT_HEADER,
];

const CONTROL_KEYS: &[Key] = &[
    FAILURE_DOMAIN,
    key(
        "listen",
        Kind::Address,
        Presence::Required,
        "Listen address for operators (HTTP).",
    ),
    PEER_LISTEN,
    section("advertise", "Advertised addresses."),
    ADVERTISE_PEERS,
    key(
        "advertise.operators",
        Kind::Address,
        Presence::Optional,
        "Address at which operators reach `listen`; defaults to `listen`.",
    ),
    CLUSTER_SECRET,
    CLUSTER_SECRET_FILE,
    key(
        "data_dir",
        Kind::Path,
        Presence::Required,
        "Directory of the durable state; relative to the settings file.",
    ),
    key(
        "initial_members",
        Kind::Table { max: 8 },
        Presence::Required,
        "Initial members of the replica set; must be the same on all of them.",
    ),
    key(
        "initial_members.*",
        Kind::Address,
        Presence::Optional,
        "Address of the member with this name (its `advertise.peers`).",
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
        "SHA-256 of the operator's bearer token; must be unique.",
    ),
    LIMITS,
    LIMIT_MEMORY,
    LIMIT_FDS,
    LIMIT_HEADER,
];

const TARGET_KEYS: &[Key] = &[
    key(
        "listen",
        Kind::Address,
        Presence::Required,
        "Listen address for tasks from the agent (HTTP).",
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
        "Pool of interchangeable targets that this target belongs to.",
    ),
    key(
        "slots",
        Kind::Integer {
            min: 1,
            max: 1_024,
            unit: "",
        },
        Presence::Default("8"),
        "Maximum number of concurrent tasks.",
    ),
    key(
        "speed",
        Kind::Number {
            min: 0.01,
            max: 100.0,
        },
        Presence::Default("1.0"),
        "Execution speed relative to declared run times.",
    ),
];

/// Returns the declarations of a role, with those common to all roles first.
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
    [PROCESS_KEYS, role_keys(role)].concat()
}

pub(crate) fn role_keys(role: Role) -> &'static [Key] {
    match role {
        Role::Entry => ENTRY_KEYS,
        Role::Agent => AGENT_KEYS,
        Role::Control => CONTROL_KEYS,
        Role::Target => TARGET_KEYS,
    }
}
