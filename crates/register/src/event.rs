//! Input events and output actions of the register.

use chestnutfork_types::{Answer, JobId, ProcessId, Refusal, TaskIndex, ViewNumber};

use crate::message::PeerMessage;
use crate::view::View;

/// Input of the register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller submitted a job to this entry.
    Claim {
        /// Job to claim.
        job: JobId,
        /// Digest of the submission.
        digest: u64,
        /// Whether the job starts only after its claim is granted, as at-most-once jobs do.
        at_most_once: bool,
    },
    /// This entry abandons a claim that has not reached a quorum.
    AbandonClaim {
        /// Claimed job.
        job: JobId,
    },
    /// A job that this entry ran has its answer.
    RecordAnswer {
        /// Job that the answer is for.
        job: JobId,
        /// Digest of the submission.
        digest: u64,
        /// Answer to record.
        answer: Answer,
    },
    /// This entry is about to refuse the job and needs to know whether a claim of it was granted.
    ///
    /// Only a job without a granted claim may be refused as "not run".
    Lookup {
        /// Job to look up.
        job: JobId,
        /// Digest of the submission.
        digest: u64,
    },
    /// The owner of a job is lost while a caller of this entry waits for the answer.
    TakeOver {
        /// Job to take over.
        job: JobId,
        /// Digest of the submission.
        digest: u64,
        /// Number of tasks of the job.
        tasks: TaskIndex,
    },
    /// Another entry sent a message.
    FromPeer {
        /// Sender.
        peer: ProcessId,
        /// Message.
        message: PeerMessage,
    },
    /// Control committed a view.
    ViewInstalled(View),
    /// The link to another entry is lost.
    PeerDown {
        /// Entry at the other end.
        peer: ProcessId,
    },
    /// The time returned by `next_wakeup` is reached.
    Tick,
}

/// Output of the register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a message to another entry.
    Send {
        /// Receiver.
        peer: ProcessId,
        /// Message.
        message: PeerMessage,
    },
    /// A quorum granted the claim, so this entry owns the job.
    Claimed {
        /// Claimed job.
        job: JobId,
    },
    /// The job is already owned by `owner`.
    ///
    /// The owner is this entry if it no longer tracks the job or the job was taken over.
    OwnedBy {
        /// Claimed job, or job that was looked up.
        job: JobId,
        /// Owner to wait for, or to take the job over from.
        owner: ProcessId,
    },
    /// No claim of the job in a lookup was granted, so none of its tasks has started.
    NotClaimed {
        /// Job that was looked up.
        job: JobId,
    },
    /// The claimed job already has its answer.
    Answered {
        /// Claimed job, or job that was looked up.
        job: JobId,
        /// Recorded answer.
        answer: Answer,
    },
    /// The answer of the job is recorded; it may differ from the proposed answer.
    Recorded {
        /// Job that the answer is for.
        job: JobId,
        /// Recorded answer.
        answer: Answer,
    },
    /// The register cannot claim the job or record its answer.
    Refused {
        /// Refused job.
        job: JobId,
        /// Refusal for the caller.
        refusal: Refusal,
    },
    /// This entry has copied all records that the view requires; the next lease renewal reports it to control.
    Synced {
        /// Number of the view.
        view: ViewNumber,
    },
}
