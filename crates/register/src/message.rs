//! Messages between the registers of entries, as plain data.

use std::time::Duration;

use chestnutfork_types::{Answer, JobId, ProcessId, ViewNumber};

/// Number of an attempt to record the answer of a job; the smallest ballot is reserved for the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// Round, zero for the owner's first attempt.
    pub round: u32,
    /// Proposer, zero for the owner's first attempt.
    pub proposer: ProcessId,
}

impl Ballot {
    /// Ballot of the owner, which skips the prepare phase because no smaller ballot exists.
    pub const OWNER: Self = Self {
        round: 0,
        proposer: 0,
    };
}

/// State of a job at one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Job that the record describes.
    pub job: JobId,
    /// Digest of the first submission; a submission with another digest is rejected.
    pub digest: u64,
    /// Owner of the job as this replica recorded it: the first claimant, unless its claim was released or overruled.
    pub owner: ProcessId,
    /// Another entry that is recorded as owner, here or at a copied replica; while it is set, no claim is granted.
    pub conflicting_owner: Option<ProcessId>,
    /// Largest ballot that the replica promised; smaller ballots are rejected.
    pub promised: Ballot,
    /// Most recently accepted answer, with its ballot.
    pub accepted: Option<(Ballot, Answer)>,
}

/// Reason why a replica does not vote on a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Denial {
    /// The id is at or below the floor, so its record may have been discarded.
    BelowFloor,
    /// The table is full and has no record of the job.
    Full,
    /// The id was used for another submission.
    DigestMismatch,
}

/// Message between registers; messages of another view than the receiver's are ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// Requests ownership of a job for the sender.
    Claim {
        /// View of the sender.
        view: ViewNumber,
        /// Job to claim.
        job: JobId,
        /// Digest of the submission.
        digest: u64,
    },
    /// Asks whether the receiver has a record of the job.
    Lookup {
        /// View of the sender.
        view: ViewNumber,
        /// Job to look up.
        job: JobId,
        /// Digest of the submission.
        digest: u64,
        /// Number of the lookup at the sender; the reply repeats it, so that outdated replies are recognised.
        lookup: u64,
    },
    /// Answers a lookup.
    LookupReply {
        /// View of the sender.
        view: ViewNumber,
        /// Job that was looked up.
        job: JobId,
        /// Number of the lookup.
        lookup: u64,
        /// Recorded owner; `None` if there is no record or only a claim of the requesting entry.
        owner: Option<ProcessId>,
        /// Whether the replica has a claim of the requesting entry.
        own_claim: bool,
    },
    /// Grants a claim.
    Granted {
        /// View of the sender.
        view: ViewNumber,
        /// Claimed job.
        job: JobId,
    },
    /// Answers a claim with the recorded owner, which is the claimant itself if its job was taken over.
    ///
    /// A claimant that withdrew also sends it, to transfer its records to the named owner.
    OwnedBy {
        /// View of the sender.
        view: ViewNumber,
        /// Claimed job.
        job: JobId,
        /// Recorded owner.
        owner: ProcessId,
    },
    /// Denies a claim, a lookup, a preparation or a proposal.
    Denied {
        /// View of the sender.
        view: ViewNumber,
        /// Job that the request was for.
        job: JobId,
        /// Reason.
        denial: Denial,
    },
    /// Asks the receiver to promise a ballot.
    Prepare {
        /// View of the sender.
        view: ViewNumber,
        /// Job whose answer is proposed.
        job: JobId,
        /// Digest of the submission.
        digest: u64,
        /// Owner of the job as recorded by the sender.
        owner: ProcessId,
        /// Ballot to promise.
        ballot: Ballot,
    },
    /// Promises to reject smaller ballots.
    Promise {
        /// View of the sender.
        view: ViewNumber,
        /// Job whose answer is proposed.
        job: JobId,
        /// Promised ballot.
        ballot: Ballot,
        /// Most recently accepted answer, with its ballot.
        accepted: Option<(Ballot, Answer)>,
    },
    /// Proposes an answer.
    Accept {
        /// View of the sender.
        view: ViewNumber,
        /// Job that the answer is for.
        job: JobId,
        /// Digest of the submission.
        digest: u64,
        /// Owner of the job as recorded by the sender.
        owner: ProcessId,
        /// Ballot of the proposal.
        ballot: Ballot,
        /// Proposed answer.
        answer: Answer,
    },
    /// Reports that a proposal was accepted.
    Accepted {
        /// View of the sender.
        view: ViewNumber,
        /// Job that the answer is for.
        job: JobId,
        /// Ballot of the proposal.
        ballot: Ballot,
    },
    /// Rejects a ballot that is smaller than the promised one.
    Rejected {
        /// View of the sender.
        view: ViewNumber,
        /// Job whose answer is proposed.
        job: JobId,
        /// Rejected ballot.
        ballot: Ballot,
        /// Ballot that the sender has promised.
        promised: Ballot,
    },
    /// Requests the records that changed after a position.
    Pull {
        /// View of the sender.
        view: ViewNumber,
        /// Position in the receiver's change order.
        after: u64,
    },
    /// Returns changed records.
    Chunk {
        /// View of the sender.
        view: ViewNumber,
        /// Requested position.
        after: u64,
        /// Position of the last record in the chunk.
        up_to: u64,
        /// Whether the chunk reaches the latest change.
        done: bool,
        /// Floor of the sender.
        floor: Duration,
        /// Changed records.
        records: Vec<Record>,
    },
}

impl PeerMessage {
    /// Returns the number of the sender's view.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(chestnutfork_register::PeerMessage::Claim { view: 3, job: 1, digest: 5 }.view(), 3);
    /// ```
    #[must_use]
    pub fn view(&self) -> ViewNumber {
        match self {
            Self::Claim { view, .. }
            | Self::Lookup { view, .. }
            | Self::LookupReply { view, .. }
            | Self::Granted { view, .. }
            | Self::OwnedBy { view, .. }
            | Self::Denied { view, .. }
            | Self::Prepare { view, .. }
            | Self::Promise { view, .. }
            | Self::Accept { view, .. }
            | Self::Accepted { view, .. }
            | Self::Rejected { view, .. }
            | Self::Pull { view, .. }
            | Self::Chunk { view, .. } => *view,
        }
    }
}
