//! Wire types for the messages of the job register.
//!
//! Variants and fields are encoded under one-letter names because CBOR repeats the names in every message.

use std::time::Duration;

use chestnutfork_register as register;
use chestnutfork_types::Answer;
use serde::{Deserialize, Serialize};

use crate::peer::{AnswerWire, PeerWireError};

/// Wire form of [`register::Ballot`]: round and proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BallotWire(u32, u64);

/// Wire form of [`register::Record`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordWire {
    #[serde(rename = "j")]
    job: u128,
    #[serde(rename = "d")]
    digest: u64,
    #[serde(rename = "o")]
    owner: u64,
    #[serde(rename = "r")]
    conflicting_owner: Option<u64>,
    #[serde(rename = "p")]
    promised: BallotWire,
    #[serde(rename = "a")]
    accepted: Option<(BallotWire, AnswerWire)>,
}

/// Wire form of [`register::Denial`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DenialWire {
    /// The job id is at or below the floor.
    #[serde(rename = "b")]
    BelowFloor,
    /// The table is full.
    #[serde(rename = "f")]
    Full,
    /// The id was used for a different submission.
    #[serde(rename = "d")]
    DigestMismatch,
}

/// Wire form of [`register::PeerMessage`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegisterWire {
    #[serde(rename = "c")]
    Claim {
        #[serde(rename = "v")]
        view: u64,
        #[serde(rename = "j")]
        job: u128,
        #[serde(rename = "d")]
        digest: u64,
    },
    #[serde(rename = "g")]
    Granted {
        #[serde(rename = "v")]
        view: u64,
        #[serde(rename = "j")]
        job: u128,
    },
    #[serde(rename = "k")]
    OwnedBy {
        #[serde(rename = "v")]
        view: u64,
        #[serde(rename = "j")]
        job: u128,
        #[serde(rename = "o")]
        owner: u64,
    },
    #[serde(rename = "x")]
    Denied {
        #[serde(rename = "v")]
        view: u64,
        #[serde(rename = "j")]
        job: u128,
        #[serde(rename = "w")]
        denial: DenialWire,
    },
    #[serde(rename = "l")]
    Lookup {
        #[serde(rename = "v")]
        view: u64,
        #[serde(rename = "j")]
        job: u128,
        #[serde(rename = "d")]
        digest: u64,
        #[serde(rename = "n")]
        lookup: u64,
    },
    #[serde(rename = "n")]
    LookupReply {
        #[serde(rename = "v")]
        view: u64,
        #[serde(rename = "j")]
        job: u128,
        #[serde(rename = "n")]
        lookup: u64,
        #[serde(rename = "o")]
        owner: Option<u64>,
        #[serde(rename = "w")]
        own_claim: bool,
    },
    #[serde(rename = "p")]
    Prepare {
        #[serde(rename = "v")]
        view: u64,
        #[serde(rename = "j")]
        job: u128,
        #[serde(rename = "d")]
        digest: u64,
        #[serde(rename = "o")]
        owner: u64,
        #[serde(rename = "b")]
        ballot: BallotWire,
    },
    #[serde(rename = "m")]
    Promise {
        #[serde(rename = "v")]
        view: u64,
        #[serde(rename = "j")]
        job: u128,
        #[serde(rename = "b")]
        ballot: BallotWire,
        #[serde(rename = "a")]
        accepted: Option<(BallotWire, AnswerWire)>,
    },
    #[serde(rename = "a")]
    Accept {
        #[serde(rename = "v")]
        view: u64,
        #[serde(rename = "j")]
        job: u128,
        #[serde(rename = "d")]
        digest: u64,
        #[serde(rename = "o")]
        owner: u64,
        #[serde(rename = "b")]
        ballot: BallotWire,
        #[serde(rename = "a")]
        answer: AnswerWire,
    },
    #[serde(rename = "t")]
    Accepted {
        #[serde(rename = "v")]
        view: u64,
        #[serde(rename = "j")]
        job: u128,
        #[serde(rename = "b")]
        ballot: BallotWire,
    },
    #[serde(rename = "r")]
    Rejected {
        #[serde(rename = "v")]
        view: u64,
        #[serde(rename = "j")]
        job: u128,
        #[serde(rename = "b")]
        ballot: BallotWire,
        #[serde(rename = "p")]
        promised: BallotWire,
    },
    #[serde(rename = "u")]
    Pull {
        #[serde(rename = "v")]
        view: u64,
        #[serde(rename = "s")]
        after: u64,
    },
    #[serde(rename = "h")]
    Chunk {
        #[serde(rename = "v")]
        view: u64,
        #[serde(rename = "s")]
        after: u64,
        #[serde(rename = "e")]
        up_to: u64,
        #[serde(rename = "f")]
        done: bool,
        #[serde(rename = "l")]
        floor_ms: u64,
        #[serde(rename = "r")]
        records: Vec<RecordWire>,
    },
}

impl From<register::Ballot> for BallotWire {
    fn from(ballot: register::Ballot) -> Self {
        Self(ballot.round, ballot.proposer)
    }
}

impl From<BallotWire> for register::Ballot {
    fn from(BallotWire(round, proposer): BallotWire) -> Self {
        Self { round, proposer }
    }
}

/// Answer that a replica accepted, with the ballot of the proposal.
type Accepted = Option<(register::Ballot, Answer)>;

fn accepted_to_wire(accepted: Accepted) -> Option<(BallotWire, AnswerWire)> {
    accepted.map(|(ballot, answer)| (ballot.into(), answer.into()))
}

fn accepted_from_wire(wire: Option<(BallotWire, AnswerWire)>) -> Result<Accepted, PeerWireError> {
    let accepted = wire.map(|(ballot, answer)| Ok((ballot.into(), answer.try_into()?)));
    accepted.transpose()
}

impl From<register::Record> for RecordWire {
    fn from(record: register::Record) -> Self {
        Self {
            job: record.job,
            digest: record.digest,
            owner: record.owner,
            conflicting_owner: record.conflicting_owner,
            promised: record.promised.into(),
            accepted: accepted_to_wire(record.accepted),
        }
    }
}

impl TryFrom<RecordWire> for register::Record {
    type Error = PeerWireError;

    fn try_from(wire: RecordWire) -> Result<Self, PeerWireError> {
        Ok(Self {
            job: wire.job,
            digest: wire.digest,
            owner: wire.owner,
            conflicting_owner: wire.conflicting_owner,
            promised: wire.promised.into(),
            accepted: accepted_from_wire(wire.accepted)?,
        })
    }
}

impl From<register::Denial> for DenialWire {
    fn from(denial: register::Denial) -> Self {
        match denial {
            register::Denial::BelowFloor => Self::BelowFloor,
            register::Denial::Full => Self::Full,
            register::Denial::DigestMismatch => Self::DigestMismatch,
        }
    }
}

impl From<DenialWire> for register::Denial {
    fn from(wire: DenialWire) -> Self {
        match wire {
            DenialWire::BelowFloor => Self::BelowFloor,
            DenialWire::Full => Self::Full,
            DenialWire::DigestMismatch => Self::DigestMismatch,
        }
    }
}

impl From<register::PeerMessage> for RegisterWire {
    #[expect(clippy::too_many_lines, reason = "one arm for each message")]
    fn from(message: register::PeerMessage) -> Self {
        use register::PeerMessage as M;
        match message {
            M::Claim { view, job, digest } => Self::Claim { view, job, digest },
            M::Granted { view, job } => Self::Granted { view, job },
            M::OwnedBy { view, job, owner } => Self::OwnedBy { view, job, owner },
            M::Denied { view, job, denial } => Self::Denied {
                view,
                job,
                denial: denial.into(),
            },
            M::Lookup {
                view,
                job,
                digest,
                lookup,
            } => Self::Lookup {
                view,
                job,
                digest,
                lookup,
            },
            M::LookupReply {
                view,
                job,
                lookup,
                owner,
                own_claim,
            } => Self::LookupReply {
                view,
                job,
                lookup,
                owner,
                own_claim,
            },
            M::Prepare {
                view,
                job,
                digest,
                owner,
                ballot,
            } => Self::Prepare {
                view,
                job,
                digest,
                owner,
                ballot: ballot.into(),
            },
            M::Promise {
                view,
                job,
                ballot,
                accepted,
            } => Self::Promise {
                view,
                job,
                ballot: ballot.into(),
                accepted: accepted_to_wire(accepted),
            },
            M::Accept {
                view,
                job,
                digest,
                owner,
                ballot,
                answer,
            } => Self::Accept {
                view,
                job,
                digest,
                owner,
                ballot: ballot.into(),
                answer: answer.into(),
            },
            M::Accepted { view, job, ballot } => Self::Accepted {
                view,
                job,
                ballot: ballot.into(),
            },
            M::Rejected {
                view,
                job,
                ballot,
                promised,
            } => Self::Rejected {
                view,
                job,
                ballot: ballot.into(),
                promised: promised.into(),
            },
            M::Pull { view, after } => Self::Pull { view, after },
            M::Chunk {
                view,
                after,
                up_to,
                done,
                floor,
                records,
            } => Self::Chunk {
                view,
                after,
                up_to,
                done,
                floor_ms: u64::try_from(floor.as_millis()).unwrap_or(u64::MAX),
                records: records.into_iter().map(RecordWire::from).collect(),
            },
        }
    }
}

impl TryFrom<RegisterWire> for register::PeerMessage {
    type Error = PeerWireError;

    #[expect(clippy::too_many_lines, reason = "one arm for each message")]
    fn try_from(wire: RegisterWire) -> Result<Self, PeerWireError> {
        use RegisterWire as W;
        Ok(match wire {
            W::Claim { view, job, digest } => Self::Claim { view, job, digest },
            W::Granted { view, job } => Self::Granted { view, job },
            W::OwnedBy { view, job, owner } => Self::OwnedBy { view, job, owner },
            W::Denied { view, job, denial } => Self::Denied {
                view,
                job,
                denial: denial.into(),
            },
            W::Lookup {
                view,
                job,
                digest,
                lookup,
            } => Self::Lookup {
                view,
                job,
                digest,
                lookup,
            },
            W::LookupReply {
                view,
                job,
                lookup,
                owner,
                own_claim,
            } => Self::LookupReply {
                view,
                job,
                lookup,
                owner,
                own_claim,
            },
            W::Prepare {
                view,
                job,
                digest,
                owner,
                ballot,
            } => Self::Prepare {
                view,
                job,
                digest,
                owner,
                ballot: ballot.into(),
            },
            W::Promise {
                view,
                job,
                ballot,
                accepted,
            } => Self::Promise {
                view,
                job,
                ballot: ballot.into(),
                accepted: accepted_from_wire(accepted)?,
            },
            W::Accept {
                view,
                job,
                digest,
                owner,
                ballot,
                answer,
            } => Self::Accept {
                view,
                job,
                digest,
                owner,
                ballot: ballot.into(),
                answer: answer.try_into()?,
            },
            W::Accepted { view, job, ballot } => Self::Accepted {
                view,
                job,
                ballot: ballot.into(),
            },
            W::Rejected {
                view,
                job,
                ballot,
                promised,
            } => Self::Rejected {
                view,
                job,
                ballot: ballot.into(),
                promised: promised.into(),
            },
            W::Pull { view, after } => Self::Pull { view, after },
            W::Chunk {
                view,
                after,
                up_to,
                done,
                floor_ms,
                records,
            } => Self::Chunk {
                view,
                after,
                up_to,
                done,
                floor: Duration::from_millis(floor_ms),
                records: records
                    .into_iter()
                    .map(register::Record::try_from)
                    .collect::<Result<_, _>>()?,
            },
        })
    }
}
