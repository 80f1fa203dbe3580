//! Events of the entry role.

use std::time::Duration;

use crate::declaration::events;

events! {
    /// Events of the entry role.
    pub enum EntryEvent<'a> {
        4001 TargetAnnounced "target_announced" Info "target announced" {
            target: &'a str = "Name of the target.",
            pool: &'a str = "Pool of the target.",
            failure_domain: &'a str = "Failure domain of the target.",
            slots: u64 = "Tasks that the target runs at once.",
        }
            meaning: "A target can be used by this entry.",
            remedy: "None.";
        4002 TargetLeaving "target_leaving" Info "target leaving" {
            target: &'a str = "Name of the target.",
            running: u64 = "Tasks of this entry that are still running there.",
        }
            meaning: "A target accepts no new tasks and finishes its running tasks.",
            remedy: "None.";
        4003 TargetLost "target_lost" Warn "target lost" {
            target: &'a str = "Name of the target.",
            running: u64 = "Tasks of this entry whose state is now unknown.",
        }
            meaning: "The link to the agent of a target was closed and was not re-established in time.",
            remedy: "If it persists, check the worker, its agent and the network.";
        4004 TargetEjected "target_ejected" Warn "target ejected" {
            target: &'a str = "Name of the target.",
            service: &'a str = "Service whose tasks failed there.",
            failures: u64 = "Consecutive failures.",
            period: Duration = "Time until the target is probed with a task.",
        }
            meaning: "A target failed repeatedly and temporarily receives no tasks of the service.",
            remedy: "Investigate the failures on the target; the limits are in the service's `ejection`.";
        4005 TargetReadmitted "target_readmitted" Info "target readmitted" {
            target: &'a str = "Name of the target.",
            service: &'a str = "Service that uses it again.",
        }
            meaning: "An ejected target completed its probation task and receives tasks again.",
            remedy: "None.";
        4006 JobRefused "job_refused" Debug "job refused" {
            service: &'a str = "Service named by the caller.",
            team: &'a str = "Team of the caller.",
            code: &'a str = "Stable code of the refusal.",
            not_run: bool = "Whether it is certain that no task ran.",
        }
            meaning: "A submission was refused; the caller received the code and the reason.",
            remedy: "See the code; the metrics count refusals by code.";
        4007 CallerRejected "caller_rejected" Warn "caller not authenticated" {
            address: &'a str = "Address of the caller.",
            reason: &'a str = "Which check failed.",
        }
            meaning: "A request did not have the token of a known team.",
            remedy: "Check the caller's token and the `teams` in the configuration.";
        4008 ViewInstalled "view_installed" Info "entry view installed" {
            view: u64 = "Number of the view.",
            members: u64 = "Number of entries in the view.",
            learner: bool = "Whether this entry is still copying the job register.",
            control: &'a str = "Name of the control process that sent it.",
        }
            meaning: "A new list of entries is in force.",
            remedy: "None.";
        4009 RegisterLost "register_lost" Error "job register lost" {
            view: u64 = "Number of the view.",
            floor_ms: u64 = "Floor of the job ids, in ms since the Unix epoch.",
            reason: &'a str = "How many members of the former view survived.",
        }
            meaning: "Too few entries survived; ids up to the floor are answered `outcome unknown`.",
            remedy: "Restore the lost entries; callers must check the outcome of jobs from that time themselves.";
        4010 RegisterCopied "register_copied" Info "job register copied" {
            view: u64 = "Number of the view.",
            records: u64 = "Number of records copied.",
            from: &'a str = "Names of the entries that were copied.",
        }
            meaning: "This entry has copied the job register and is a full member of the view.",
            remedy: "None.";
        4011 RegisterFull "register_full" Error "job register full" {
            records: u64 = "Number of records, which is the limit.",
            service: &'a str = "Service of the first refused job.",
        }
            meaning: "The job register has reached its limit; new jobs are refused as not run.",
            remedy: "Raise `register.max_records`, or lower `register.retention_s`.";
        4012 NoQuorum "register_no_quorum" Error "no majority of entries" {
            view: u64 = "Number of the view.",
            reachable: u64 = "Members that can be reached, this entry included.",
            members: u64 = "Number of entries in the view.",
            node: &'a str = "Name of this entry.",
        }
            meaning: "This entry cannot reach a majority of the view and refuses new at-most-once jobs.",
            remedy: "Check the links between the entries; other entries may still have a majority.";
        4013 QuorumRegained "register_quorum_regained" Info "majority of entries reached again" {
            view: u64 = "Number of the view.",
            node: &'a str = "Name of this entry.",
        }
            meaning: "This entry can reach a majority of the view and accepts at-most-once jobs again.",
            remedy: "None.";
        4014 Takeover "job_takeover" Warn "job taken over" {
            job: &'a str = "Id of the job.",
            owner: u64 = "Process id of the lost owner.",
            answered: bool = "Whether an answer of the owner was found.",
        }
            meaning: "The entry that owned a job is lost; this entry answers the resubmission without running any task.",
            remedy: "None; find out why the owner was lost.";
        4015 QueueFull "queue_full" Warn "queue of a service full" {
            service: &'a str = "Name of the service.",
            queued: u64 = "Number of queued tasks, which is the limit.",
        }
            meaning: "The queue of a service reached its limit; new jobs are refused as not run.",
            remedy: "Add targets, reduce the request rate of the callers, or raise `max_queue` of the service.";
        4016 NoTarget "service_no_target" Error "no target for a service" {
            service: &'a str = "Name of the service.",
            pool: &'a str = "Pool of the service.",
        }
            meaning: "No target of the service's pool is announced, so its jobs are refused.",
            remedy: "Start targets with agents of that pool, or correct `pool` in the configuration.";
        4017 LeaseLost "entry_lease_lost" Error "entry lease lost" {
            node: &'a str = "Name of this entry.",
            view: u64 = "Number of the last view that contained it.",
        }
            meaning: "Control removed this entry from the view, because its lease expired.",
            remedy: "Check the links of this entry to control; it rejoins automatically.";
    }
}
