//! Wire types of the messages between control and its subscribers, the entries and agents.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::raft::micros;

/// Message from an entry or agent to control.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubscriberMessageWire {
    /// Asks for everything newer than a version; first on every link, and again after a missing update.
    #[serde(rename = "s")]
    Subscribe {
        /// Version in force.
        #[serde(rename = "v")]
        version: u64,
        /// Failure domain of the sender.
        #[serde(rename = "d")]
        failure_domain: String,
    },
    /// Tells which version is in force.
    #[serde(rename = "a")]
    Ack(u64),
    /// Renews the lease and asks for a confirmation.
    #[serde(rename = "n")]
    Renew {
        /// Number that comes back in the confirmation.
        #[serde(rename = "p")]
        probe: u64,
        /// Version in force.
        #[serde(rename = "v")]
        version: u64,
        /// Latest view whose register the sender has copied; zero for agents.
        #[serde(rename = "s")]
        synced: u64,
    },
    /// Ends the lease before a shutdown.
    #[serde(rename = "l")]
    Leaving,
    /// Asks for documents above a version and for the directory of processes, from then on.
    #[serde(rename = "f")]
    Follow(u64),
}

/// Message from control to an entry or agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlMessageWire {
    /// Configuration update in the encoding of the crate `config`.
    #[serde(rename = "u")]
    Update(Bytes),
    /// Confirms that a version was current.
    #[serde(rename = "c")]
    Confirm(ConfirmWire),
    /// Entries and their view.
    #[serde(rename = "v")]
    View(ViewWire),
    /// Carries a whole document: version and content.
    #[serde(rename = "d")]
    Document(u64, Bytes),
    /// Names the addresses of control processes and of entries.
    #[serde(rename = "p")]
    Directory(Vec<String>, Vec<String>),
}

/// Confirmation that a version was the accepted one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmWire {
    #[serde(rename = "p")]
    probe: u64,
    #[serde(rename = "v")]
    version: u64,
    #[serde(rename = "u")]
    age_us: u64,
}

impl ConfirmWire {
    /// Builds the answer to a renewal.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use chestnutfork_wire::ConfirmWire;
    ///
    /// let confirm = ConfirmWire::new(7, 3, Duration::from_millis(20));
    /// assert_eq!(confirm.age(), Duration::from_millis(20));
    /// ```
    #[must_use]
    pub fn new(probe: u64, version: u64, age: Duration) -> Self {
        let age_us = micros(age);
        Self {
            probe,
            version,
            age_us,
        }
    }

    /// Returns the number of the renewal.
    #[must_use]
    pub fn probe(&self) -> u64 {
        self.probe
    }

    /// Returns the confirmed version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the time from the quorum check to the arrival of the renewal at control.
    ///
    /// The subscriber counts it back from the time at which it sent the renewal, so that no delay of the link makes
    /// a confirmation look younger than it is.
    #[must_use]
    pub fn age(&self) -> Duration {
        Duration::from_micros(self.age_us)
    }
}

/// Entry as control lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryInfoWire {
    /// Incarnation.
    #[serde(rename = "p")]
    pub process: u64,
    /// Name from the settings.
    #[serde(rename = "n")]
    pub name: String,
    /// Address for links.
    #[serde(rename = "a")]
    pub address: String,
    /// Failure domain.
    #[serde(rename = "d")]
    pub failure_domain: String,
}

/// View of the entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewWire {
    /// Number of the view.
    #[serde(rename = "n")]
    pub number: u64,
    /// Members.
    #[serde(rename = "m")]
    pub members: Vec<u64>,
    /// Members that still copy the register.
    #[serde(rename = "l")]
    pub learners: Vec<u64>,
    /// Floor of the job ids in milliseconds since the Unix epoch.
    #[serde(rename = "f")]
    pub floor_ms: Option<u64>,
    /// Whether every member has the whole register.
    #[serde(rename = "s")]
    pub settled: bool,
    /// Size of the last settled view.
    #[serde(rename = "b")]
    pub settled_size: u64,
    /// Members of the last settled view that are left.
    #[serde(rename = "k")]
    pub survivors: Vec<u64>,
    /// Entries to dial.
    #[serde(rename = "e")]
    pub entries: Vec<EntryInfoWire>,
}
