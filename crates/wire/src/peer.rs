//! Wire types of the messages between entries.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_dispatch::{JobResult, PeerMessage, TeamUsage};
use chestnutfork_register as register;
use chestnutfork_types::{Answer, Execution, JobOutcome, Refusal, RefusalCode, TaskStatus};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Wire message without a plain counterpart.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeerWireError {
    /// The refusal has a code that this version does not know.
    #[error("refusal code {code} is unknown; upgrade this process to the version of its peer")]
    UnknownCode {
        /// Position of the code in the documented order.
        code: u8,
    },
    /// The answer breaks a rule that every answer keeps.
    #[error("the answer is malformed: {0}")]
    Answer(#[from] chestnutfork_types::AnswerError),
}

/// Wire form of [`PeerMessage`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessageWire {
    /// Message of the job register.
    #[serde(rename = "r")]
    Register(RegisterWire),
    /// Asks the owner for its answer.
    #[serde(rename = "j")]
    Join(u128, u64),
    /// Hands over an answer.
    #[serde(rename = "d")]
    Joined(u128, JobResultWire),
    /// The receiver does not run the job.
    #[serde(rename = "n")]
    NotOwner(u128),
    /// Cancels a job of a team.
    #[serde(rename = "c")]
    Cancel(u128, String),
    /// Tasks in flight by team.
    #[serde(rename = "u")]
    Usage(Vec<(String, u32)>),
}

/// Wire form of an answer or a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobResultWire {
    /// Answer.
    #[serde(rename = "a")]
    Answer(AnswerWire),
    /// Refusal.
    #[serde(rename = "r")]
    Refusal(RefusalWire),
}

/// Wire form of [`Answer`]; the outcome follows from the statuses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerWire {
    #[serde(rename = "j")]
    job: u128,
    #[serde(rename = "c")]
    completed: bool,
    #[serde(rename = "t")]
    tasks: Vec<TaskStatusWire>,
}

/// Wire form of [`TaskStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStatusWire {
    /// The target completed the task.
    #[serde(rename = "c")]
    Completed(Bytes),
    /// The target reported a failure.
    #[serde(rename = "f")]
    Failed(String),
    /// The task may have run.
    #[serde(rename = "m")]
    MayHaveRun(String),
    /// The task did not start.
    #[serde(rename = "n")]
    NotRun(String),
}

/// Wire form of [`Refusal`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalWire {
    #[serde(rename = "c")]
    code: u8,
    #[serde(rename = "n")]
    not_run: bool,
    #[serde(rename = "m")]
    message: String,
    #[serde(rename = "r")]
    retry_after_us: Option<u64>,
}

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

impl From<TaskStatus> for TaskStatusWire {
    fn from(status: TaskStatus) -> Self {
        match status {
            TaskStatus::Completed { output } => Self::Completed(output),
            TaskStatus::Failed { reason } => Self::Failed(reason),
            TaskStatus::MayHaveRun { reason } => Self::MayHaveRun(reason),
            TaskStatus::NotRun { reason } => Self::NotRun(reason),
        }
    }
}

impl From<TaskStatusWire> for TaskStatus {
    fn from(wire: TaskStatusWire) -> Self {
        match wire {
            TaskStatusWire::Completed(output) => Self::Completed { output },
            TaskStatusWire::Failed(reason) => Self::Failed { reason },
            TaskStatusWire::MayHaveRun(reason) => Self::MayHaveRun { reason },
            TaskStatusWire::NotRun(reason) => Self::NotRun { reason },
        }
    }
}

impl From<Answer> for AnswerWire {
    fn from(answer: Answer) -> Self {
        Self {
            job: answer.job,
            completed: answer.outcome == JobOutcome::Completed,
            tasks: answer.tasks.into_iter().map(TaskStatusWire::from).collect(),
        }
    }
}

impl TryFrom<AnswerWire> for Answer {
    type Error = PeerWireError;

    fn try_from(wire: AnswerWire) -> Result<Self, PeerWireError> {
        let outcome = if wire.completed {
            JobOutcome::Completed
        } else {
            JobOutcome::Failed
        };
        let tasks: Vec<_> = wire.tasks.into_iter().map(TaskStatus::from).collect();
        let answer = Self {
            job: wire.job,
            outcome,
            tasks,
        };
        answer.verify(answer.tasks.len())?;
        Ok(answer)
    }
}

impl From<Refusal> for RefusalWire {
    fn from(refusal: Refusal) -> Self {
        let code = RefusalCode::ALL.iter().position(|&code| code == refusal.code);
        Self {
            code: code.and_then(|code| u8::try_from(code).ok()).unwrap_or(u8::MAX),
            not_run: refusal.execution == Execution::NotRun,
            message: refusal.message,
            retry_after_us: refusal
                .retry_after
                .map(|delay| u64::try_from(delay.as_micros()).unwrap_or(u64::MAX)),
        }
    }
}

impl TryFrom<RefusalWire> for Refusal {
    type Error = PeerWireError;

    fn try_from(wire: RefusalWire) -> Result<Self, PeerWireError> {
        let code = RefusalCode::ALL.get(usize::from(wire.code));
        Ok(Self {
            code: *code.ok_or(PeerWireError::UnknownCode { code: wire.code })?,
            execution: if wire.not_run {
                Execution::NotRun
            } else {
                Execution::Unknown
            },
            message: wire.message,
            retry_after: wire.retry_after_us.map(Duration::from_micros),
        })
    }
}

impl From<JobResult> for JobResultWire {
    fn from(result: JobResult) -> Self {
        match result {
            Ok(answer) => Self::Answer(answer.into()),
            Err(refusal) => Self::Refusal(refusal.into()),
        }
    }
}

impl TryFrom<JobResultWire> for JobResult {
    type Error = PeerWireError;

    fn try_from(wire: JobResultWire) -> Result<Self, PeerWireError> {
        Ok(match wire {
            JobResultWire::Answer(answer) => Ok(answer.try_into()?),
            JobResultWire::Refusal(refusal) => Err(refusal.try_into()?),
        })
    }
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
            rival: record.rival,
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
            rival: wire.rival,
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
            M::Known {
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
            M::Found {
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
                upto: e,
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
            } => Self::Known { view, job, owner },
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
            } => Self::Found {
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
                e: upto,
                f: done,
                l,
                r,
            } => Self::Chunk {
                view,
                after,
                upto,
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

impl From<PeerMessage> for PeerMessageWire {
    fn from(message: PeerMessage) -> Self {
        match message {
            PeerMessage::Register(message) => Self::Register(message.into()),
            PeerMessage::Join { job, digest } => Self::Join(job, digest),
            PeerMessage::Joined { job, result } => Self::Joined(job, result.into()),
            PeerMessage::NotOwner { job } => Self::NotOwner(job),
            PeerMessage::Cancel { job, team } => Self::Cancel(job, team),
            PeerMessage::Usage(usage) => Self::Usage(
                usage
                    .into_iter()
                    .map(|usage| (usage.team, usage.in_flight))
                    .collect(),
            ),
        }
    }
}

impl TryFrom<PeerMessageWire> for PeerMessage {
    type Error = PeerWireError;

    fn try_from(wire: PeerMessageWire) -> Result<Self, PeerWireError> {
        Ok(match wire {
            PeerMessageWire::Register(message) => Self::Register(message.try_into()?),
            PeerMessageWire::Join(job, digest) => Self::Join { job, digest },
            PeerMessageWire::Joined(job, result) => Self::Joined {
                job,
                result: result.try_into()?,
            },
            PeerMessageWire::NotOwner(job) => Self::NotOwner { job },
            PeerMessageWire::Cancel(job, team) => Self::Cancel { job, team },
            PeerMessageWire::Usage(usage) => {
                let usage = usage
                    .into_iter()
                    .map(|(team, in_flight)| TeamUsage { team, in_flight });
                Self::Usage(usage.collect())
            }
        })
    }
}
