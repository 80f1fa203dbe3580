//! Input events and output actions of the subscriber core.

use std::time::Duration;

use chestnutfork_config::{Confirmation, Document, Update};
use chestnutfork_register::View;
use chestnutfork_types::{ConfigVersion, NodeName, ProcessId, ViewNumber};

/// Entry in a view published by control.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryInfo {
    /// Process id of the entry; each incarnation has a new one.
    pub process: ProcessId,
    /// Node name of the entry.
    pub name: NodeName,
    /// Address on which the entry accepts links.
    pub address: String,
}

/// View of the entries together with their addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlView {
    /// Number and members of the view, in the form that the job register uses.
    pub view: View,
    /// Entries that can be dialed.
    pub entries: Vec<EntryInfo>,
}

/// Input event of the subscriber core.
#[derive(Clone, Debug)]
pub enum Event {
    /// The link to the selected control process is open.
    LinkUp,
    /// The link to the selected control process is closed.
    LinkDown,
    /// Control sent a configuration update.
    Update(Update),
    /// Control confirmed a configuration version.
    Confirm {
        /// Number of the renewal that this replies to.
        probe: u64,
        /// Confirmed configuration version.
        version: ConfigVersion,
        /// Time from the quorum's confirmation of the leader to the arrival of the renewal.
        age: Duration,
    },
    /// Control sent the view of the entries.
    View(ControlView),
    /// This entry has finished copying the register for a view.
    Synced(ViewNumber),
    /// The time returned by [`SubscriberCore::next_wakeup`](crate::SubscriberCore::next_wakeup) has been reached.
    Tick,
}

/// Output action of the subscriber core, executed by the actor.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Drops the current link and dials the control process at this index of the list.
    DialControl(usize),
    /// Subscribes to all configuration changes after a version.
    Subscribe(ConfigVersion),
    /// Acknowledges a received configuration version.
    Ack(ConfigVersion),
    /// Renews the lease and requests a confirmation.
    Renew {
        /// Number that the confirmation refers to.
        probe: u64,
        /// Latest received configuration version.
        version: ConfigVersion,
        /// Latest view whose register this entry has copied.
        synced: ViewNumber,
    },
    /// Puts a configuration version in force. The core issues it only after a first confirmation.
    ApplyConfig {
        /// Configuration version.
        version: ConfigVersion,
        /// Document of that version.
        document: Document,
    },
    /// Reports a change of the confirmation state.
    ReportConfirmation(Confirmation),
    /// Reports a new view of the entries.
    ReportView(ControlView),
    /// Reports an update that cannot be applied.
    ReportUnusable {
        /// Version of the update.
        version: ConfigVersion,
        /// Reason why the update cannot be applied.
        reason: String,
    },
}
