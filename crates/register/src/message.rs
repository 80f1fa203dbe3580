//! Messages between the registers of entries, as plain data.

use std::time::Duration;

use chestnutfork_types::{Answer, JobId, ProcessId, ViewNumber};

/// Number of an attempt to write the answer of a job; the owner alone uses the smallest one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// Round, zero for the owner's first attempt.
    pub round: u32,
    /// Proposer, zero for the owner's first attempt.
    pub proposer: ProcessId,
}

impl Ballot {
    /// Ballot of the owner, which needs no preparation because no smaller one exists.
    pub const OWNER: Self = Self {
        round: 0,
        proposer: 0,
    };
}

/// What a replica holds of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Job in question.
    pub job: JobId,
    /// Digest of the first submission; another submission must not use the same id.
    pub digest: u64,
    /// Entry that claimed the job first at this replica.
    pub owner: ProcessId,
    /// Another entry that claimed the job, known from a copy; no claim is granted any more.
    pub conflicting_owner: Option<ProcessId>,
    /// Largest ballot that the replica promised to respect.
    pub promised: Ballot,
    /// Answer that the replica accepted last, with its ballot.
    pub accepted: Option<(Ballot, Answer)>,
}

/// Why a replica votes on a job neither way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Denial {
    /// The id is at or below the floor, so a record may have been discarded.
    BelowFloor,
    /// The table is full and has no record of the job.
    Full,
    /// The id was used for another submission.
    DigestMismatch,
}

/// Message between registers; a replica takes only those of its own view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// Asks for the job on behalf of the sender.
    Claim {
        /// View of the sender.
        view: ViewNumber,
        /// Job in question.
        job: JobId,
        /// Digest of the submission.
        digest: u64,
    },
    /// Asks whether the job is known.
    Lookup {
        /// View of the sender.
        view: ViewNumber,
        /// Job in question.
        job: JobId,
        /// Digest of the submission.
        digest: u64,
        /// Number of the lookup at the sender; an answer to an earlier one may be out of date.
        lookup: u64,
    },
    /// Answers a lookup.
    LookupReply {
        /// View of the sender.
        view: ViewNumber,
        /// Job in question.
        job: JobId,
        /// Number of the lookup.
        lookup: u64,
        /// Known claimant, unless the replica has no record of the job or only a claim of the asking entry.
        owner: Option<ProcessId>,
        /// Whether the replica has a claim of the asking entry.
        own_claim: bool,
    },
    /// Grants a claim.
    Granted {
        /// View of the sender.
        view: ViewNumber,
        /// Job in question.
        job: JobId,
    },
    /// Answers a claim with another claimant, or with the claimant itself if its job was taken over.
    OwnedBy {
        /// View of the sender.
        view: ViewNumber,
        /// Job in question.
        job: JobId,
        /// Known claimant.
        owner: ProcessId,
    },
    /// Denies a claim, a preparation or a proposal.
    Denied {
        /// View of the sender.
        view: ViewNumber,
        /// Job in question.
        job: JobId,
        /// Reason.
        denial: Denial,
    },
    /// Asks to promise a ballot.
    Prepare {
        /// View of the sender.
        view: ViewNumber,
        /// Job in question.
        job: JobId,
        /// Digest of the submission.
        digest: u64,
        /// Owner of the job as the sender knows it.
        owner: ProcessId,
        /// Ballot to promise.
        ballot: Ballot,
    },
    /// Promises to respect a ballot.
    Promise {
        /// View of the sender.
        view: ViewNumber,
        /// Job in question.
        job: JobId,
        /// Promised ballot.
        ballot: Ballot,
        /// Answer accepted so far.
        accepted: Option<(Ballot, Answer)>,
    },
    /// Proposes an answer.
    Accept {
        /// View of the sender.
        view: ViewNumber,
        /// Job in question.
        job: JobId,
        /// Digest of the submission.
        digest: u64,
        /// Owner of the job as the sender knows it.
        owner: ProcessId,
        /// Ballot of the proposal.
        ballot: Ballot,
        /// Proposed answer.
        answer: Answer,
    },
    /// Accepts a proposal.
    Accepted {
        /// View of the sender.
        view: ViewNumber,
        /// Job in question.
        job: JobId,
        /// Ballot of the proposal.
        ballot: Ballot,
    },
    /// Rejects a ballot below the promised one.
    Rejected {
        /// View of the sender.
        view: ViewNumber,
        /// Job in question.
        job: JobId,
        /// Rejected ballot.
        ballot: Ballot,
        /// Promised ballot.
        promised: Ballot,
    },
    /// Asks for the records that changed after a position.
    Pull {
        /// View of the sender.
        view: ViewNumber,
        /// Position in the receiver's order of changes.
        after: u64,
    },
    /// Carries changed records.
    Chunk {
        /// View of the sender.
        view: ViewNumber,
        /// Position asked for.
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
    /// Returns the view that the sender was in.
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
