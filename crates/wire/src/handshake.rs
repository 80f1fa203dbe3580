//! Handshake messages that open and authenticate a link.

use serde::{Deserialize, Serialize};

/// Version of the protocol between processes; both sides must use the same version.
pub const PROTOCOL_VERSION: u32 = 1;

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts jobs from callers.
    Entry,
    /// Runs next to a target and starts tasks on it.
    Agent,
    /// Replicates the configuration and the views of the entries.
    Control,
}

impl Role {
    /// Returns the name of the role in the command line.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(chestnutfork_wire::Role::Entry.as_str(), "entry");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Agent => "agent",
            Self::Control => "control",
        }
    }
}

/// First message of the dialling side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version of the dialling side.
    pub version: u32,
    /// Role of the dialling side.
    pub role: Role,
    /// Name of the dialling process.
    pub name: String,
    /// Incarnation of the dialling process.
    pub process: u64,
    /// Address at which other processes reach the dialling side, or an empty string if it has none.
    pub address: String,
    /// Random nonce of the dialling side.
    pub nonce: [u8; 16],
}

/// Reply of the accepting side, with proof that it has the cluster secret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Challenge {
    /// Role of the accepting side.
    pub role: Role,
    /// Name of the accepting process.
    pub name: String,
    /// Incarnation of the accepting process.
    pub process: u64,
    /// Random nonce of the accepting side.
    pub nonce: [u8; 16],
    /// HMAC-SHA-256 of the transcript under the cluster secret, for the accepting side.
    pub proof: [u8; 32],
}

/// Proof that the dialling side has the cluster secret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// HMAC-SHA-256 of the transcript under the cluster secret, for the dialling side.
    pub proof: [u8; 32],
}

/// Last message of the handshake: the accepting side has verified the proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// Protocol version of the accepting side.
    pub version: u32,
}
