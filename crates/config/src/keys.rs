//! Declarations of all keys of the configuration document.

use chestnutfork_schema::{Key, Kind, Presence};

const DAY_MS: u64 = 24 * 60 * 60 * 1000;
const MAX_SERVICES: usize = 1_000;
const MAX_TEAMS: usize = 10_000;

const fn key(path: &'static str, kind: Kind, presence: Presence, description: &'static str) -> Key {
    Key {
        path,
        kind,
        presence,
        description,
    }
}

const fn integer(min: u64, max: u64) -> Kind {
    Kind::Integer { min, max, unit: "" }
}

const fn milliseconds(min: u64, max: u64) -> Kind {
    Kind::Integer { min, max, unit: "ms" }
}

const fn number(min: f64, max: f64) -> Kind {
    Kind::Number { min, max }
}

/// Keys of the configuration document, in the order of the reference page.
pub const KEYS: &[Key] = &[
    key(
        "services",
        Kind::Table { max: MAX_SERVICES },
        Presence::Optional,
        "Services by name.",
    ),
    key("services.*", Kind::Section, Presence::Optional, "One service."),
    key(
        "services.*.pool",
        Kind::Name,
        Presence::Required,
        "Pool of targets that the service runs on.",
    ),
    key(
        "services.*.at_most_once",
        Kind::Boolean,
        Presence::Default("true"),
        "Whether every task of every job starts at most once.",
    ),
    key(
        "services.*.weigh",
        Kind::Enum(&["messages", "latency"]),
        Presence::Default("\"messages\""),
        "Optimisation goal: fewer wasted messages or shorter response time.",
    ),
    key(
        "services.*.max_tasks",
        integer(1, 10_000),
        Presence::Default("200"),
        "Largest number of tasks in a job.",
    ),
    key(
        "services.*.max_queue",
        integer(1, 10_000_000),
        Presence::Default("10000"),
        "Largest number of tasks queued at one entry; at least `max_tasks`.",
    ),
    key(
        "services.*.default_deadline_ms",
        milliseconds(1, DAY_MS),
        Presence::Default("30000"),
        "Deadline of a job that specifies none; at most `max_deadline_ms`.",
    ),
    key(
        "services.*.max_deadline_ms",
        milliseconds(1, DAY_MS),
        Presence::Default("300000"),
        "Longest deadline that a job may specify.",
    ),
    key(
        "services.*.max_in_flight",
        integer(1, 10_000_000),
        Presence::Default("100000"),
        "Largest number of tasks in flight from one entry.",
    ),
    key(
        "services.*.unconfirmed",
        Kind::Enum(&["refuse", "serve"]),
        Presence::Default("\"refuse\""),
        "Without a confirmed configuration: `refuse` new jobs, or `serve` them with the applied version.",
    ),
    key(
        "services.*.placement",
        Kind::Enum(&["learned", "random"]),
        Presence::Default("\"learned\""),
        "Selection of targets: by learned speed and health, or at random (for comparison).",
    ),
    key(
        "services.*.retry",
        Kind::Section,
        Presence::Optional,
        "Retries of tasks that are safe to repeat.",
    ),
    key(
        "services.*.retry.max_attempts",
        integer(1, 10),
        Presence::Default("3"),
        "Largest number of attempts of one task, the first included.",
    ),
    key(
        "services.*.retry.budget",
        number(0.0, 1.0),
        Presence::Default("0.1"),
        "Retries and hedges allowed as a fraction of recent starts.",
    ),
    key(
        "services.*.hedge",
        Kind::Section,
        Presence::Optional,
        "Second attempts of slow tasks of idempotent jobs.",
    ),
    key(
        "services.*.hedge.enabled",
        Kind::Boolean,
        Presence::Default("false"),
        "Whether tasks are hedged; needs `at_most_once: false` and `weigh: latency`.",
    ),
    key(
        "services.*.hedge.after",
        number(1.0, 100.0),
        Presence::Default("3.0"),
        "Multiple of the expected run time after which a second attempt starts.",
    ),
    key(
        "services.*.ejection",
        Kind::Section,
        Presence::Optional,
        "Ejection of targets that fail.",
    ),
    key(
        "services.*.ejection.failures",
        integer(1, 1_000),
        Presence::Default("5"),
        "Consecutive failures that eject a target.",
    ),
    key(
        "services.*.ejection.base_ms",
        milliseconds(1, 600_000),
        Presence::Default("1000"),
        "First ejection time; it doubles with each repeat.",
    ),
    key(
        "services.*.ejection.max_fraction",
        number(0.0, 1.0),
        Presence::Default("0.34"),
        "Largest fraction of the pool that may be ejected at once.",
    ),
    key(
        "teams",
        Kind::Table { max: MAX_TEAMS },
        Presence::Optional,
        "Teams (customers) by name.",
    ),
    key("teams.*", Kind::Section, Presence::Optional, "One team."),
    key(
        "teams.*.token_sha256",
        Kind::Sha256,
        Presence::Required,
        "SHA-256 of the team's bearer token; unique among the teams.",
    ),
    key(
        "teams.*.quota",
        integer(1, 10_000_000),
        Presence::Required,
        "Largest number of the team's tasks in flight across all entries.",
    ),
    key(
        "teams.*.services",
        Kind::Names { max: MAX_SERVICES },
        Presence::Required,
        "Services that the team may submit to; each must be declared under `services`.",
    ),
];
