//! Addresses and settings of the processes of a cluster.

use std::net::{Ipv4Addr, SocketAddr};

use chestnutfork_config::TokenHash;
use serde_json::{Map, Value, json};

use super::{CONTROLS, SERVICE};

pub(crate) const TEAM_TOKEN: &str = "team token of the test";
pub(crate) const TARGET_TOKEN: &str = "target token of the test";
pub(crate) const OPERATOR_TOKEN: &str = "operator token of the test";
const CLUSTER_SECRET: &str = "cluster secret of the test";

/// Longer than any wait of the tests, so that a shutdown that ends only with the grace period fails the test.
const GRACE_MS: u64 = 600_000;

/// Loopback address of one cluster; the ports are fixed and below the ephemeral range.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses(Ipv4Addr);

impl Addresses {
    /// Returns a separate address in 127.0.0.0/8 for each cluster of each test process.
    pub(crate) fn new(cluster: u32) -> Self {
        let host = (std::process::id() << 4 | (cluster & 0xf)) & 0x00ff_ffff;
        Self(Ipv4Addr::from_bits(0x7f00_0000 | host))
    }

    fn at(self, port: usize) -> SocketAddr {
        SocketAddr::from((self.0, u16::try_from(port).unwrap()))
    }

    /// Returns the address of an entry for callers.
    pub(crate) fn entry(self, number: usize) -> SocketAddr {
        self.at(7_000 + 2 * number)
    }

    /// Returns the address of an agent for its target.
    pub(crate) fn agent(self, number: usize) -> SocketAddr {
        self.at(7_200 + number)
    }

    /// Returns the addresses for operators, as the command line takes them.
    pub(crate) fn operators(self) -> String {
        let addresses = (1..=CONTROLS).map(|number| self.at(7_100 + 2 * number).to_string());
        addresses.collect::<Vec<_>>().join(",")
    }

    fn control_links(self) -> Vec<String> {
        let addresses = (1..=CONTROLS).map(|number| self.at(7_101 + 2 * number).to_string());
        addresses.collect()
    }

    pub(crate) fn control_settings(self, number: usize) -> Value {
        let links = self.control_links();
        let members = links.iter().zip(1..);
        let members: Map<String, Value> = members
            .map(|(link, number)| (format!("control-{number}"), json!(link)))
            .collect();
        json!({
            "name": format!("control-{number}"),
            "failure_domain": format!("fd-{number}"),
            "listen": self.at(7_100 + 2 * number),
            "peer_listen": links[number - 1],
            "cluster_secret": CLUSTER_SECRET,
            "shutdown_grace_ms": GRACE_MS,
            "data_dir": format!("data/control-{number}"),
            "initial_members": members,
            "operators": { "ann": { "token_sha256": TokenHash::of(OPERATOR_TOKEN).to_hex() } },
            "log": { "format": "json" },
        })
    }

    pub(crate) fn entry_settings(self, number: usize) -> Value {
        json!({
            "name": format!("entry-{number}"),
            "failure_domain": format!("fd-{number}"),
            "listen": self.entry(number),
            "peer_listen": self.at(7_001 + 2 * number),
            "control": self.control_links(),
            "cluster_secret": CLUSTER_SECRET,
            "shutdown_grace_ms": GRACE_MS,
            "log": { "format": "json" },
        })
    }

    pub(crate) fn agent_settings(self, number: usize) -> Value {
        json!({
            "name": format!("agent-{number}"),
            "failure_domain": format!("fd-{number}"),
            "listen": self.agent(number),
            "control": self.control_links(),
            "cluster_secret": CLUSTER_SECRET,
            "target_token": TARGET_TOKEN,
            "shutdown_grace_ms": GRACE_MS,
            "log": { "format": "json" },
        })
    }
}

/// Returns the configuration document of every cluster.
pub(crate) fn document() -> Value {
    json!({
        "services": { SERVICE: { "pool": "main", "at_most_once": true } },
        "teams": {
            "setters": {
                "token_sha256": TokenHash::of(TEAM_TOKEN).to_hex(),
                "quota": 1_000,
                "services": [SERVICE],
            }
        },
    })
}
