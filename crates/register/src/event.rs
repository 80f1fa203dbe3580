//! Events that the register takes and actions that it asks for.

use chestnutfork_types::{Answer, JobId, ProcessId, Refusal, TaskIndex, ViewNumber};

use crate::message::PeerMessage;
use crate::view::View;

/// Input of the register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller submitted a job here.
    Claim {
        /// Job in question.
        job: JobId,
        /// Digest of the submission.
        digest: u64,
        /// Whether the job waits for the grant; other jobs run without it.
        at_most_once: bool,
    },
    /// A claim that has no quorum yet is given up.
    AbandonClaim {
        /// Job in question.
        job: JobId,
    },
    /// A job of this entry has its answer.
    RecordAnswer {
        /// Job in question.
        job: JobId,
        /// Digest of the submission.
        digest: u64,
        /// Answer to record.
        answer: Answer,
    },
    /// A submission of the job is about to be refused; it is "not run" only if no claim has been granted.
    Lookup {
        /// Job in question.
        job: JobId,
        /// Digest of the submission.
        digest: u64,
    },
    /// The owner of a job that a caller waits for here is gone.
    TakeOver {
        /// Job in question.
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
    /// The time named by `next_wakeup` has come.
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
    /// The job is new and belongs to this entry.
    Claimed {
        /// Job in question.
        job: JobId,
    },
    /// The job belongs to `owner`; it may be this entry, if it has forgotten the job or was taken over.
    OwnedBy {
        /// Job in question.
        job: JobId,
        /// Owner to join, or to take over from.
        owner: ProcessId,
    },
    /// No claim of the looked-up job has been granted, so nothing of it has started.
    NotClaimed {
        /// Job in question.
        job: JobId,
    },
    /// The claimed job already has its answer.
    Answered {
        /// Job in question.
        job: JobId,
        /// Recorded answer.
        answer: Answer,
    },
    /// The job's single answer is recorded; it may differ from the proposed one.
    Recorded {
        /// Job in question.
        job: JobId,
        /// Recorded answer.
        answer: Answer,
    },
    /// The register cannot claim the job or record its answer.
    Refused {
        /// Job in question.
        job: JobId,
        /// Refusal for the caller.
        refusal: Refusal,
    },
    /// This entry has copied all records that the view asks for; the next lease renewal tells control.
    Synced {
        /// Number of the view.
        view: ViewNumber,
    },
}
