//! Events of the agent role.

use std::time::Duration;

use crate::declaration::events;

events! {
    /// Events of the agent role.
    pub enum AgentEvent<'a> {
        5001 TargetAnnounced "agent_target_announced" Info "target announced itself" {
            target: &'a str = "Name of the target.",
            pool: &'a str = "Pool of the target.",
            slots: u64 = "Tasks that the target runs at once.",
        }
            meaning: "The target of this agent announced itself; credits are issued.",
            remedy: "None.";
        5002 TargetLeaving "agent_target_leaving" Info "target is leaving" {
            target: &'a str = "Name of the target.",
            running: u64 = "Tasks that are still running.",
        }
            meaning: "The target is leaving; unused credits are invalid and dispatches are refused.",
            remedy: "None.";
        5003 TargetLapsed "agent_target_lapsed" Error "target announcement expired" {
            target: &'a str = "Name of the target.",
            silent: Duration = "Time since the last announcement.",
        }
            meaning: "The target stopped announcing itself; no credits are issued.",
            remedy: "Check the target process on this worker.";
        5004 TargetRefused "agent_target_refused" Error "target announcement refused" {
            address: &'a str = "Address of the sender.",
            reason: &'a str = "Which check failed.",
        }
            meaning: "An announcement had a wrong token or invalid fields.",
            remedy: "Give the target the `target_token` of the agent, and correct the named field.";
        5005 TargetUnreachable "agent_target_unreachable" Warn "target does not answer" {
            target: &'a str = "Name of the target.",
            error: &'a str = "Error of the connection.",
        }
            meaning: "A task could not be delivered to the target; it is reported as not started.",
            remedy: "Check the target process and the address that it announces.";
        5006 SlotsExceeded "agent_slots_exceeded" Error "target runs more tasks than its slots" {
            target: &'a str = "Name of the target.",
            running: u64 = "Number of running tasks.",
            slots: u64 = "Slots that the target announced.",
        }
            meaning: "The target announced fewer slots than it has running tasks; no credits are issued until tasks end.",
            remedy: "None if the target lowered its slots; otherwise report a bug.";
        5007 Unconfirmed "agent_dispatch_unconfirmed" Warn "dispatches refused without confirmed configuration" {
            service: &'a str = "First service that was refused.",
            age: Duration = "Time since the last confirmation.",
        }
            meaning: "The agent refuses starts of `refuse` services until control confirms the configuration.",
            remedy: "See event 3002.";
        5008 Drained "agent_drained" Info "target drained" {
            target: &'a str = "Name of the target.",
            waited: Duration = "Time that draining took.",
        }
            meaning: "No task is running and all results have been acknowledged.",
            remedy: "None.";
        5009 ResultsDropped "agent_results_dropped" Warn "results without receiver dropped" {
            entry: &'a str = "Name of the lost entry.",
            results: u64 = "Number of results.",
        }
            meaning: "The entry that dispatched the tasks is lost, so their results were dropped.",
            remedy: "None; find out why the entry was lost.";
    }
}
