//! Wire types for the messages between control and its subscribers, which are entries and agents.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_documents::Part;
use serde::{Deserialize, Serialize};

use crate::raft::micros;

/// Message from an entry or agent to control.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubscriberMessageWire {
    /// Requests all updates after a version; the first message on every link, repeated if an update is missing.
    #[serde(rename = "s")]
    Subscribe {
        /// Version in force.
        #[serde(rename = "v")]
        version: u64,
        /// Failure domain of the subscriber.
        #[serde(rename = "d")]
        failure_domain: String,
        /// Whether the message subscribes to the evacuations instead of to updates; its version is then [`u64::MAX`]. Earlier
        /// versions ignore this field and have no update above that version, so they send nothing in reply.
        #[serde(rename = "e", default, skip_serializing_if = "std::ops::Not::not")]
        evacuations: bool,
    },
    /// Acknowledges an update; contains the version in force.
    #[serde(rename = "a")]
    Ack(u64),
    /// Renews the lease and requests a confirmation.
    #[serde(rename = "n")]
    Renew {
        /// Number that the confirmation repeats.
        #[serde(rename = "p")]
        probe: u64,
        /// Version in force.
        #[serde(rename = "v")]
        version: u64,
        /// Latest view for which the subscriber has copied the register; zero for agents.
        #[serde(rename = "s")]
        synced: u64,
    },
    /// Ends the lease before the subscriber shuts down.
    #[serde(rename = "l")]
    Leaving,
    /// Subscribes to documents after a version, which are sent in full, and to the directory of processes. Agents send it,
    /// and entries of builds that do not fetch documents.
    #[serde(rename = "f")]
    Follow(u64),
    /// Subscribes to announcements of document versions and to the directory of processes.
    #[serde(rename = "w")]
    Watch,
    /// Requests the parts of the newest document.
    #[serde(rename = "g")]
    Fetch {
        /// Version of which the sender has the bytes before the offset.
        #[serde(rename = "v")]
        version: u64,
        /// Position of the first byte.
        #[serde(rename = "o")]
        offset: u64,
    },
}

/// Message from control to an entry or agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlMessageWire {
    /// Configuration update, encoded by the `config` crate.
    #[serde(rename = "u")]
    Update(Bytes),
    /// Confirms that a configuration version was current.
    #[serde(rename = "c")]
    Confirm(ConfirmWire),
    /// Entry view and the addresses of its entries.
    #[serde(rename = "v")]
    View(ViewWire),
    /// Complete document: version and content.
    #[serde(rename = "d")]
    Document(u64, Bytes),
    /// Lists the addresses of control processes and of entries.
    #[serde(rename = "p")]
    Directory(Vec<String>, Vec<String>),
    /// Version of the newest document at this control process.
    #[serde(rename = "n")]
    Announce(u64),
    /// Part of a document.
    #[serde(rename = "t")]
    Part(PartWire),
    /// Evacuated failure domains, sent only to subscribers to them.
    #[serde(rename = "e")]
    Evacuations {
        /// Revision of the state.
        #[serde(rename = "r")]
        revision: u64,
        /// Evacuated domains.
        #[serde(rename = "d")]
        domains: Vec<String>,
        /// Time for which the state has been in force at the sender, in microseconds.
        #[serde(rename = "a")]
        age_us: u64,
    },
}

/// Part of a document, sent in reply to a request for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartWire {
    #[serde(rename = "v")]
    version: u64,
    /// Size of the whole document in bytes.
    #[serde(rename = "t")]
    total: u64,
    #[serde(rename = "o")]
    offset: u64,
    #[serde(rename = "b")]
    content: Bytes,
}

impl From<Part> for PartWire {
    fn from(part: Part) -> Self {
        let Part {
            version,
            total,
            offset,
            content,
        } = part;
        Self {
            version,
            total,
            offset,
            content,
        }
    }
}

impl From<PartWire> for Part {
    fn from(wire: PartWire) -> Self {
        let PartWire {
            version,
            total,
            offset,
            content,
        } = wire;
        Self {
            version,
            total,
            offset,
            content,
        }
    }
}

/// Confirmation that a configuration version was current, sent in reply to a lease renewal.
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
    /// Builds the confirmation for a renewal.
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

    /// Returns the number in the renewal that this confirms.
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
    /// The subscriber subtracts the age from the time at which it sent the renewal. A delay on the link therefore
    /// cannot make a confirmation seem more recent than it is.
    #[must_use]
    pub fn age(&self) -> Duration {
        Duration::from_micros(self.age_us)
    }
}

/// Description of an entry or agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryInfoWire {
    /// Incarnation of the process.
    #[serde(rename = "p")]
    pub process: u64,
    /// Name of the process from its settings.
    #[serde(rename = "n")]
    pub name: String,
    /// Address for links; empty for agents.
    #[serde(rename = "a")]
    pub address: String,
    /// Failure domain of the process.
    #[serde(rename = "d")]
    pub failure_domain: String,
}

/// Wire form of an entry view, with the addresses of its entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewWire {
    /// Number of the view.
    #[serde(rename = "n")]
    pub number: u64,
    /// Entries that vote.
    #[serde(rename = "m")]
    pub members: Vec<u64>,
    /// Entries that copy the register before they become members.
    #[serde(rename = "l")]
    pub learners: Vec<u64>,
    /// Time at or below which the outcome of job ids is unknown, in milliseconds since the Unix epoch.
    #[serde(rename = "f")]
    pub floor_ms: Option<u64>,
    /// Whether every member has every claim that was granted before this view.
    #[serde(rename = "s")]
    pub settled: bool,
    /// Number of members of the last settled view.
    #[serde(rename = "b")]
    pub settled_size: u64,
    /// Members of the last settled view that have been members ever since.
    #[serde(rename = "k")]
    pub survivors: Vec<u64>,
    /// Names and addresses of the entries to dial.
    #[serde(rename = "e")]
    pub entries: Vec<EntryInfoWire>,
}
