//! Events about the configuration in entries and agents.

use std::time::Duration;

use crate::declaration::events;

events! {
    /// Events about the configuration in entries and agents.
    pub enum ConfigEvent<'a> {
        3001 Applied "configuration_applied" Info "configuration applied" {
            version: u64 = "Version now in force.",
            from: &'a str = "Name of the control process that sent it.",
            snapshot: bool = "Whether the full document was received instead of differences.",
        }
            meaning: "A new version of the configuration is in force in this process.",
            remedy: "None.";
        3002 Unconfirmed "configuration_unconfirmed" Error "configuration unconfirmed" {
            version: u64 = "Version in force.",
            age: Duration = "Time since the last confirmation by a quorum of control.",
            from: &'a str = "Name of the control process that was used last.",
        }
            meaning: "No quorum of control has confirmed the version within the time limit; `refuse` services accept no new work.",
            remedy: "Check that a majority of the control processes is running and can be reached from this process.";
        3003 Confirmed "configuration_confirmed" Info "configuration confirmed again" {
            version: u64 = "Version in force.",
            from: &'a str = "Name of the control process that confirmed it.",
        }
            meaning: "A quorum of control has confirmed the version; all services accept work again.",
            remedy: "None.";
        3004 Stale "configuration_stale" Warn "older configuration ignored" {
            version: u64 = "Version in force.",
            offered: u64 = "Version that control offered.",
            from: &'a str = "Name of the control process.",
        }
            meaning: "A control process offered a version below the one in force; it was ignored.",
            remedy: "None if the control process is catching up; otherwise check its log.";
        3005 Unusable "configuration_unusable" Error "configuration cannot be applied" {
            version: u64 = "Version that control offered.",
            error: &'a str = "Error in the document.",
        }
            meaning: "The process cannot decode or apply the document, so the previous version stays in force.",
            remedy: "Upgrade this process to the version of control; it may not support a new key.";
        3006 ControlChanged "control_changed" Info "subscribed to another control process" {
            from: &'a str = "Name of the previous control process.",
            to: &'a str = "Name of the current control process.",
        }
            meaning: "The process moved its subscription, because the previous control process was lost or unconfirmed.",
            remedy: "None, unless it repeats: then check the control processes.";
    }
}
