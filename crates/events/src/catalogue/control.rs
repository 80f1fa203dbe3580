//! Events of the control role.

use crate::declaration::events;

events! {
    /// Events of the control role.
    pub enum ControlEvent<'a> {
        6001 PatchAccepted "patch_accepted" Info "patch accepted" {
            operator: &'a str = "Operator who sent the patch.",
            patch: &'a str = "Id of the patch.",
            base: u64 = "Version that the patch was made against.",
            version: u64 = "Version that the patch created.",
        }
            meaning: "A patch was applied to its base version, and the new version is being distributed.",
            remedy: "None; `chestnutfork status` shows where it is in force.";
        6002 PatchConflict "patch_conflict" Info "patch conflicts with a later version" {
            operator: &'a str = "Operator who sent the patch.",
            patch: &'a str = "Id of the patch.",
            base: u64 = "Version that the patch was made against.",
            version: u64 = "Current version.",
        }
            meaning: "Another patch has already been applied to the base version; nothing was changed.",
            remedy: "Review the differences in the answer, and send the patch again with the current version as base.";
        6003 PatchRefused "patch_refused" Warn "patch refused" {
            operator: &'a str = "Operator who sent the patch.",
            patch: &'a str = "Id of the patch.",
            errors: u64 = "Number of errors in the resulting document.",
            first: &'a str = "First error.",
        }
            meaning: "The document that would result from the patch is invalid; nothing was changed.",
            remedy: "Correct the patch; the answer lists all errors.";
        6004 OperatorRejected "operator_rejected" Warn "operator not authenticated" {
            address: &'a str = "Address of the sender.",
            reason: &'a str = "Which check failed.",
        }
            meaning: "A request to the operator interface did not have the token of a known operator.",
            remedy: "Check the token and the `operators` in control's settings.";
        6010 Formed "replica_formed" Info "replica set formed" {
            replica: u64 = "Id of this replica.",
            members: u64 = "Number of members.",
            node: &'a str = "Name of this process.",
        }
            meaning: "All initial members have answered and the member set is persisted.",
            remedy: "None.";
        6011 Forming "replica_forming" Info "waiting for initial members" {
            known: u64 = "Members that answered, this one included.",
            members: u64 = "Number of initial members.",
            missing: &'a str = "Names of the members that did not answer.",
        }
            meaning: "The replica set is formed only when all initial members have answered.",
            remedy: "Start the missing members, or correct `initial_members`.";
        6012 NotMember "replica_not_member" Error "replica is not a member" {
            replica: u64 = "Id of this replica.",
            node: &'a str = "Name of this process.",
        }
            meaning: "The data folder is new but the replica set exists already; this replica cannot vote.",
            remedy: "Admit it with `chestnutfork replace`, which replaces the lost member with it.";
        6013 ElectionStarted "election_started" Info "election started" {
            term: u64 = "Term of the election.",
            node: &'a str = "Name of this process.",
        }
            meaning: "This replica received no messages from a leader and is a candidate in an election.",
            remedy: "None, unless elections repeat: then check the links between the control processes.";
        6014 LeaderChanged "leader_changed" Info "leader changed" {
            term: u64 = "Term of the leader.",
            leader: &'a str = "Name of the leader.",
        }
            meaning: "The replica set has a new leader.",
            remedy: "None.";
        6015 LeadershipLost "leadership_lost" Warn "leadership lost" {
            term: u64 = "Term in which this replica led.",
            reason: &'a str = "Reason for the loss.",
        }
            meaning: "This leader lost its quorum, its disk or its term, or transfers leadership on shutdown.",
            remedy: "If no leader is elected within seconds, check that a majority of the control processes is running.";
        6016 MemberReplaced "member_replaced" Info "member replaced" {
            old: u64 = "Id of the removed replica.",
            new: u64 = "Id of the admitted replica.",
            operator: &'a str = "Operator who requested the replacement.",
        }
            meaning: "A member of the replica set was replaced by another replica.",
            remedy: "None.";
        6017 MemberChanging "member_changing" Warn "member set is being changed" {
            kind: &'a str = "Change: add, promote, remove or replace.",
            old: u64 = "Replica that loses its place, or 0.",
            new: u64 = "Replica that gets a place, or 0.",
        }
            meaning: "The leader restores the number of voters with a process that has announced itself.",
            remedy: "None if a process was replaced or lost its disk; otherwise find out why a voter was lost.";
        6020 DiskFull "disk_full" Error "data folder cannot be written" {
            path: &'a str = "File that could not be written.",
            error: &'a str = "Error of the operating system.",
        }
            meaning: "A write or sync failed; this replica acknowledges no entries and resigns leadership.",
            remedy: "Free space on the disk of the data folder; the replica resumes automatically.";
        6021 DiskResumed "disk_resumed" Info "data folder can be written again" {
            path: &'a str = "File that was written.",
        }
            meaning: "Writes succeed again; the replica acknowledges entries.",
            remedy: "None.";
        6022 CorruptRecord "corrupt_record" Critical "corrupt record in the data folder" {
            path: &'a str = "File with the record.",
            offset: u64 = "Offset of the record in bytes.",
            error: &'a str = "Which check failed.",
        }
            meaning: "A record in the middle of a file has a wrong checksum, so the process stops.",
            remedy: "Keep the folder for analysis, start with an empty one, and admit the new replica with `replace`.";
        6023 TailTruncated "log_tail_truncated" Warn "incomplete record at the end of the log removed" {
            path: &'a str = "File with the record.",
            bytes: u64 = "Bytes removed.",
        }
            meaning: "The process stopped during a write; the record was never acknowledged.",
            remedy: "None.";
        6024 SnapshotSaved "snapshot_saved" Debug "snapshot saved" {
            path: &'a str = "File of the snapshot.",
            index: u64 = "Last log index that it covers.",
        }
            meaning: "The log up to the index was replaced by a snapshot.",
            remedy: "None.";
        6025 DocumentApplied "document_applied" Info "document in force at this control process" {
            version: u64 = "Version of the document.",
            bytes: u64 = "Size of the document.",
            followers: u64 = "Entries that had an older version.",
        }
            meaning: "This process has applied a committed document, and offers it to entries from now on.",
            remedy: "None.";
        6026 EvacuationsApplied "evacuations_applied" Info "evacuations in force at this control process" {
            revision: u64 = "Revision of the evacuations.",
            domains: &'a str = "Evacuated failure domains.",
            watchers: u64 = "Entries and agents with an older revision, to which it is sent.",
        }
            meaning: "This process has applied a committed change of the evacuations, or has recovered them after a start.",
            remedy: "None.";
        6030 ViewProposed "view_proposed" Info "entry view proposed" {
            view: u64 = "Number of the view.",
            members: u64 = "Number of entries in the view.",
            reason: &'a str = "Entry that joined, left or lost its lease.",
        }
            meaning: "The set of entries changed.",
            remedy: "None.";
        6031 ViewFloorRaised "view_floor_raised" Error "entry view raises the floor of the job ids" {
            view: u64 = "Number of the view.",
            survivors: u64 = "Members of the previous view that survive.",
            needed: u64 = "Number of members that must survive.",
            floor_ms: u64 = "Floor of the job ids, in ms since the Unix epoch.",
            reason: &'a str = "Entries that were lost.",
        }
            meaning: "Too many entries were lost at once, so older job ids are answered `outcome unknown`.",
            remedy: "Restore the lost entries; run entries in at least three failure domains.";
        6032 NodeLost "node_lost" Warn "lease of a process ended" {
            node: &'a str = "Name of the process.",
            role: &'a str = "Role of the process.",
        }
            meaning: "A process has stopped renewing its lease.",
            remedy: "If it was not stopped on purpose, check its VM or worker.";
        6033 RolloutLate "rollout_late" Error "configuration not in force everywhere" {
            version: u64 = "Version that is not yet in force everywhere.",
            behind: u64 = "Processes that have not acknowledged it within 10 s.",
            first: &'a str = "Name of one of them.",
        }
            meaning: "A process with a valid lease has not put an accepted version in force within 10 s.",
            remedy: "Check the named process and its links; `chestnutfork status` lists all that are behind.";
    }
}
