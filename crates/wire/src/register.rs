//! Wire types of the job register's messages.
//!
//! Field names are one letter long because CBOR repeats them in every message.

use std::time::Duration;

use chestnutfork_register as register;
use chestnutfork_types::Answer;
use serde::{Deserialize, Serialize};

use crate::peer::{AnswerWire, PeerWireError};

/// Wire form of a ballot: round and proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BallotWire(u32, u64);

/// Wire form of a record of the register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordWire {
    #[serde(rename = "j")]
    job: u128,
    #[serde(rename = "d")]
    digest: u64,
    #[serde(rename = "o")]
    owner: u64,
    #[serde(rename = "r")]
    rival: Option<u64>,
    #[serde(rename = "p")]
    promised: BallotWire,
    #[serde(rename = "a")]
    accepted: Option<(BallotWire, AnswerWire)>,
}

/// Wire form of a denial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DenialWire {
    /// The job id is at or below the floor.
    #[serde(rename = "b")]
    BelowFloor,
    /// The table is full.
    #[serde(rename = "f")]
    Full,
    /// The id was used for another submission.
    #[serde(rename = "d")]
    DigestMismatch,
}

/// Wire form of the register's messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegisterWire {
    #[serde(rename = "c")]
    Claim { v: u64, j: u128, d: u64 },
    #[serde(rename = "g")]
    Granted { v: u64, j: u128 },
    #[serde(rename = "k")]
    Known { v: u64, j: u128, o: u64 },
    #[serde(rename = "x")]
    Denied { v: u64, j: u128, w: DenialWire },
    #[serde(rename = "l")]
    Lookup { v: u64, j: u128, d: u64, n: u64 },
    #[serde(rename = "n")]
    Found {
        v: u64,
        j: u128,
        n: u64,
        o: Option<u64>,
        w: bool,
    },
    #[serde(rename = "p")]
    Prepare {
        v: u64,
        j: u128,
        d: u64,
        o: u64,
        b: BallotWire,
    },
    #[serde(rename = "m")]
    Promise {
        v: u64,
        j: u128,
        b: BallotWire,
        a: Option<(BallotWire, AnswerWire)>,
    },
    #[serde(rename = "a")]
    Accept {
        v: u64,
        j: u128,
        d: u64,
        o: u64,
        b: BallotWire,
        a: AnswerWire,
    },
    #[serde(rename = "t")]
    Accepted { v: u64, j: u128, b: BallotWire },
    #[serde(rename = "r")]
    Rejected {
        v: u64,
        j: u128,
        b: BallotWire,
        p: BallotWire,
    },
    #[serde(rename = "u")]
    Pull { v: u64, s: u64 },
    #[serde(rename = "h")]
    Chunk {
        v: u64,
        s: u64,
        e: u64,
        f: bool,
        l: u64,
        r: Vec<RecordWire>,
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

/// Accepted answer with its ballot.
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
            rival: record.conflicting_owner,
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
            conflicting_owner: wire.rival,
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
    #[expect(
        clippy::many_single_char_names,
        reason = "field names on the wire are one letter long"
    )]
    fn from(message: register::PeerMessage) -> Self {
        use register::PeerMessage as M;
        match message {
            M::Claim {
                view: v,
                job: j,
                digest: d,
            } => Self::Claim { v, j, d },
            M::Granted { view: v, job: j } => Self::Granted { v, j },
            M::OwnedBy {
                view: v,
                job: j,
                owner: o,
            } => Self::Known { v, j, o },
            M::Denied {
                view: v,
                job: j,
                denial,
            } => Self::Denied {
                v,
                j,
                w: denial.into(),
            },
            M::Lookup {
                view: v,
                job: j,
                digest: d,
                lookup: n,
            } => Self::Lookup { v, j, d, n },
            M::LookupReply {
                view: v,
                job: j,
                lookup: n,
                owner: o,
                own_claim: w,
            } => Self::Found { v, j, n, o, w },
            M::Prepare {
                view: v,
                job: j,
                digest: d,
                owner: o,
                ballot,
            } => Self::Prepare {
                v,
                j,
                d,
                o,
                b: ballot.into(),
            },
            M::Promise {
                view: v,
                job: j,
                ballot,
                accepted,
            } => Self::Promise {
                v,
                j,
                b: ballot.into(),
                a: accepted_to_wire(accepted),
            },
            M::Accept {
                view: v,
                job: j,
                digest: d,
                owner: o,
                ballot,
                answer,
            } => Self::Accept {
                v,
                j,
                d,
                o,
                b: ballot.into(),
                a: answer.into(),
            },
            M::Accepted {
                view: v,
                job: j,
                ballot,
            } => Self::Accepted {
                v,
                j,
                b: ballot.into(),
            },
            M::Rejected {
                view: v,
                job: j,
                ballot,
                promised,
            } => Self::Rejected {
                v,
                j,
                b: ballot.into(),
                p: promised.into(),
            },
            M::Pull { view: v, after: s } => Self::Pull { v, s },
            M::Chunk {
                view: v,
                after: s,
                up_to: e,
                done: f,
                floor,
                records,
            } => Self::Chunk {
                v,
                s,
                e,
                f,
                l: u64::try_from(floor.as_millis()).unwrap_or(u64::MAX),
                r: records.into_iter().map(RecordWire::from).collect(),
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
            W::Claim {
                v: view,
                j: job,
                d: digest,
            } => Self::Claim { view, job, digest },
            W::Granted { v: view, j: job } => Self::Granted { view, job },
            W::Known {
                v: view,
                j: job,
                o: owner,
            } => Self::OwnedBy { view, job, owner },
            W::Denied { v: view, j: job, w } => Self::Denied {
                view,
                job,
                denial: w.into(),
            },
            W::Lookup {
                v: view,
                j: job,
                d: digest,
                n: lookup,
            } => Self::Lookup {
                view,
                job,
                digest,
                lookup,
            },
            W::Found {
                v: view,
                j: job,
                n: lookup,
                o: owner,
                w: own_claim,
            } => Self::LookupReply {
                view,
                job,
                lookup,
                owner,
                own_claim,
            },
            W::Prepare {
                v: view,
                j: job,
                d: digest,
                o: owner,
                b,
            } => Self::Prepare {
                view,
                job,
                digest,
                owner,
                ballot: b.into(),
            },
            W::Promise {
                v: view,
                j: job,
                b,
                a,
            } => Self::Promise {
                view,
                job,
                ballot: b.into(),
                accepted: accepted_from_wire(a)?,
            },
            W::Accept {
                v: view,
                j: job,
                d: digest,
                o: owner,
                b,
                a,
            } => Self::Accept {
                view,
                job,
                digest,
                owner,
                ballot: b.into(),
                answer: a.try_into()?,
            },
            W::Accepted { v: view, j: job, b } => Self::Accepted {
                view,
                job,
                ballot: b.into(),
            },
            W::Rejected {
                v: view,
                j: job,
                b,
                p,
            } => Self::Rejected {
                view,
                job,
                ballot: b.into(),
                promised: p.into(),
            },
            W::Pull { v: view, s: after } => Self::Pull { view, after },
            W::Chunk {
                v: view,
                s: after,
                e: up_to,
                f: done,
                l,
                r,
            } => Self::Chunk {
                view,
                after,
                up_to,
                done,
                floor: Duration::from_millis(l),
                records: r
                    .into_iter()
                    .map(register::Record::try_from)
                    .collect::<Result<_, _>>()?,
            },
        })
    }
}
