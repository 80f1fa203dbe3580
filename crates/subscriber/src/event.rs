//! Events that the subscriber core takes and actions that it asks for.

use std::time::Duration;

use chestnutfork_config::{Confirmation, Document, Update};
use chestnutfork_register::View;
use chestnutfork_types::{ConfigVersion, NodeName, ProcessId, ViewNumber};

/// Entry as control lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryInfo {
    /// Incarnation of the entry.
    pub process: ProcessId,
    /// Name of the entry.
    pub name: NodeName,
    /// Address for links.
    pub address: String,
}

/// View of the entries, with their addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlView {
    /// View of the job register.
    pub view: View,
    /// Entries that can be dialled.
    pub entries: Vec<EntryInfo>,
}

/// Event for the subscriber core.
#[derive(Clone, Debug)]
pub enum Event {
    /// The link to the chosen control process is open.
    LinkUp,
    /// The link to the chosen control process is lost.
    LinkDown,
    /// Control sent changes of the configuration.
    Update(Update),
    /// Control confirmed a version.
    Confirm {
        /// Number of the renewal that this answers.
        probe: u64,
        /// Confirmed version.
        version: ConfigVersion,
        /// Time from the quorum check to the arrival of the renewal.
        age: Duration,
    },
    /// Control sent the view of the entries.
    View(ControlView),
    /// This entry has copied the register of a view.
    Synced(ViewNumber),
    /// A wake-up time has come.
    Tick,
}

/// Action that the actor carries out for the subscriber core.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Dials the control process at this position in the list, in place of the present one.
    DialControl(usize),
    /// Asks for everything newer than a version.
    Subscribe(ConfigVersion),
    /// Tells that a version is in force.
    Ack(ConfigVersion),
    /// Renews the lease and asks for a confirmation.
    Renew {
        /// Number that comes back in the confirmation.
        probe: u64,
        /// Version in force.
        version: ConfigVersion,
        /// Latest view whose register was copied.
        synced: ViewNumber,
    },
    /// Puts a version in force; only sent after a first confirmation.
    ApplyConfig {
        /// Version.
        version: ConfigVersion,
        /// Its document.
        document: Document,
    },
    /// Tells whether the version in force is confirmed.
    ReportConfirmation(Confirmation),
    /// Passes a view on.
    ReportView(ControlView),
    /// Reports an update that this process cannot use.
    ReportUnusable {
        /// Version of the update.
        version: ConfigVersion,
        /// What is wrong with it.
        reason: String,
    },
}
