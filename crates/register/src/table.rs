//! Records of one replica and the rules by which it votes.

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutfork_types::{Answer, JobId, ProcessId, TaskStatus, job_time};

use crate::message::{Ballot, Denial, Record};

/// Record with its position in the order of changes.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub(crate) record: Record,
    pub(crate) position: u64,
    /// Whether this entry saw the accepted answer being chosen.
    pub(crate) decided: bool,
    /// Size of the accepted answer.
    pub(crate) bytes: usize,
}

/// Vote on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimVote {
    Granted,
    Known(ProcessId),
    Denied(Denial),
}

/// Answer to a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookupVote {
    /// There is no record of the job.
    NotKnown,
    /// The only record is a claim of the asking entry, and nobody has begun to take the job over.
    OwnClaim,
    Known(ProcessId),
    Denied(Denial),
}

/// Vote on a ballot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BallotVote {
    /// The ballot is promised or its answer accepted; carries the answer accepted before.
    Yes(Option<(Ballot, Answer)>),
    Rejected(Ballot),
    Denied(Denial),
}

/// Changed records from one position to another.
#[derive(Clone, Debug)]
pub(crate) struct Changes {
    pub(crate) records: Vec<Record>,
    pub(crate) up_to: u64,
    pub(crate) done: bool,
}

/// Records by job id, which sorts by time, and their order of change.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    pub(crate) rows: BTreeMap<JobId, Row>,
    pub(crate) order: BTreeMap<u64, JobId>,
    pub(crate) floor: Duration,
    position: u64,
    /// Size of all accepted answers.
    pub(crate) bytes: usize,
    bounds: Bounds,
}

/// Sizes at which a table grants no more claims.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) records: usize,
    pub(crate) answer_bytes: usize,
}

impl Table {
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self {
            rows: BTreeMap::new(),
            order: BTreeMap::new(),
            floor: Duration::ZERO,
            position: 0,
            bytes: 0,
            bounds,
        }
    }

    pub(crate) fn is_below_floor(&self, job: JobId) -> bool {
        job_time(job) <= self.floor
    }

    pub(crate) fn is_full(&self) -> bool {
        self.rows.len() >= self.bounds.records || self.bytes >= self.bounds.answer_bytes
    }

    pub(crate) fn record(&self, job: JobId) -> Option<&Record> {
        self.rows.get(&job).map(|row| &row.record)
    }

    /// Returns the answer of a job if this entry saw it being chosen.
    pub(crate) fn decided(&self, job: JobId) -> Option<&Answer> {
        let row = self.rows.get(&job).filter(|row| row.decided)?;
        row.record.accepted.as_ref().map(|(_, answer)| answer)
    }

    /// Votes on a claim; it is granted only if no other claimant is known and no takeover has begun.
    pub(crate) fn claim(&mut self, job: JobId, digest: u64, owner: ProcessId) -> ClaimVote {
        if self.is_below_floor(job) {
            return ClaimVote::Denied(Denial::BelowFloor);
        }
        if let Some(record) = self.record(job) {
            return vote_on_claim(record, digest, owner);
        }
        if self.is_full() {
            return ClaimVote::Denied(Denial::Full);
        }
        self.insert(new_record(job, digest, owner));
        ClaimVote::Granted
    }

    /// Answers a lookup.
    pub(crate) fn lookup(&self, job: JobId, digest: u64, asker: ProcessId) -> LookupVote {
        if self.is_below_floor(job) {
            return LookupVote::Denied(Denial::BelowFloor);
        }
        match self.record(job) {
            None => LookupVote::NotKnown,
            Some(record) if record.digest != digest => LookupVote::Denied(Denial::DigestMismatch),
            Some(record) if record.owner != asker => LookupVote::Known(record.owner),
            Some(Record {
                conflicting_owner: Some(conflicting_owner),
                ..
            }) => LookupVote::Known(*conflicting_owner),
            Some(record) if record.promised > Ballot::OWNER || record.accepted.is_some() => {
                LookupVote::Known(asker)
            }
            Some(_) => LookupVote::OwnClaim,
        }
    }

    /// Hands the record of a withdrawn claim to another claimant, and reports whether there was one.
    pub(crate) fn yield_to(&mut self, job: JobId, from: ProcessId, to: ProcessId) -> bool {
        let held = self.rows.get_mut(&job).filter(|row| row.record.owner == from);
        let Some(row) = held else {
            return false;
        };
        row.record.owner = to;
        if row.record.conflicting_owner == Some(to) {
            row.record.conflicting_owner = None;
        }
        self.touch(job);
        true
    }

    /// Reports whether the record of a job grants the claim of `owner`.
    pub(crate) fn is_granted(&self, job: JobId, owner: ProcessId) -> bool {
        let record = self.record(job);
        record.is_some_and(|record| vote_on_claim(record, record.digest, owner) == ClaimVote::Granted)
    }

    /// Records a granted claim even where this replica did not grant it; a quorum outvoted the recorded claimant.
    pub(crate) fn own(&mut self, job: JobId, digest: u64, owner: ProcessId) {
        let Some(row) = self.rows.get_mut(&job) else {
            self.insert(new_record(job, digest, owner));
            return;
        };
        if row.record.owner != owner {
            row.record.conflicting_owner = Some(row.record.owner);
            row.record.owner = owner;
            self.touch(job);
        }
    }

    /// Promises a ballot, unless a larger one is promised.
    pub(crate) fn prepare(
        &mut self,
        job: JobId,
        digest: u64,
        owner: ProcessId,
        ballot: Ballot,
    ) -> BallotVote {
        self.vote(job, digest, owner, ballot, |_| {})
    }

    /// Accepts an answer, unless a larger ballot is promised.
    pub(crate) fn accept(
        &mut self,
        job: JobId,
        digest: u64,
        owner: ProcessId,
        ballot: Ballot,
        answer: &Answer,
    ) -> BallotVote {
        self.vote(job, digest, owner, ballot, |record| {
            record.accepted = Some((ballot, answer.clone()));
        })
    }

    fn vote(
        &mut self,
        job: JobId,
        digest: u64,
        owner: ProcessId,
        ballot: Ballot,
        change: impl FnOnce(&mut Record),
    ) -> BallotVote {
        if self.is_below_floor(job) {
            return BallotVote::Denied(Denial::BelowFloor);
        }
        // The bound does not apply here: a quorum of other tables already holds the job.
        if !self.rows.contains_key(&job) {
            self.insert(new_record(job, digest, owner));
        }
        let row = self.rows.get_mut(&job).expect("record was just inserted");
        if row.record.digest != digest {
            return BallotVote::Denied(Denial::DigestMismatch);
        }
        if ballot < row.record.promised {
            return BallotVote::Rejected(row.record.promised);
        }
        let before = row.record.accepted.clone();
        row.record.promised = ballot;
        change(&mut row.record);
        self.touch(job);
        BallotVote::Yes(before)
    }

    /// Marks the accepted answer of a job as chosen.
    pub(crate) fn decide(&mut self, job: JobId, answer: &Answer) {
        if let Some(row) = self.rows.get_mut(&job)
            && let Some((_, accepted)) = &row.record.accepted
        {
            row.decided = accepted == answer;
        }
    }

    /// Adds what another replica holds of a job.
    pub(crate) fn merge(&mut self, other: Record) {
        let job = other.job;
        if self.is_below_floor(job) {
            return;
        }
        let Some(row) = self.rows.get_mut(&job) else {
            self.insert(other);
            return;
        };
        let before = row.record.clone();
        let record = &mut row.record;
        let claimants = [Some(other.owner), other.conflicting_owner].into_iter().flatten();
        let stranger = claimants.into_iter().find(|&claimant| claimant != record.owner);
        record.conflicting_owner = record.conflicting_owner.or(stranger);
        record.promised = record.promised.max(other.promised);
        let newer = match (&record.accepted, &other.accepted) {
            (Some((mine, _)), Some((theirs, _))) => theirs > mine,
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if newer {
            let same = answer_of(record.accepted.as_ref()) == answer_of(other.accepted.as_ref());
            row.decided = row.decided && same;
            record.accepted = other.accepted;
        }
        if row.record != before {
            self.touch(job);
        }
    }

    /// Raises the floor; `prune` discards the records below it.
    pub(crate) fn raise_floor(&mut self, floor: Duration) {
        self.floor = self.floor.max(floor);
    }

    /// Discards the records at or below the floor.
    pub(crate) fn prune(&mut self) {
        while let Some(first) = self.rows.first_entry()
            && job_time(*first.key()) <= self.floor
        {
            let row = first.remove();
            self.order.remove(&row.position);
            self.bytes -= row.bytes;
        }
    }

    /// Returns at most `limit` records that changed after a position.
    pub(crate) fn changes(&self, after: u64, limit: usize) -> Changes {
        let mut later = self.order.range(after + 1..);
        let mut records = Vec::new();
        let mut up_to = after;
        for (&position, job) in later.by_ref().take(limit) {
            records.push(self.rows[job].record.clone());
            up_to = position;
        }
        let done = later.next().is_none();
        Changes { records, up_to, done }
    }

    fn insert(&mut self, record: Record) {
        self.position += 1;
        let position = self.position;
        self.order.insert(position, record.job);
        let bytes = answer_bytes(&record);
        self.bytes += bytes;
        let row = Row {
            record,
            position,
            decided: false,
            bytes,
        };
        self.rows.insert(row.record.job, row);
    }

    /// Takes note of a change of a record: moves it to the end of the order of changes and counts its answer again.
    fn touch(&mut self, job: JobId) {
        self.position += 1;
        if let Some(row) = self.rows.get_mut(&job) {
            self.bytes -= row.bytes;
            row.bytes = answer_bytes(&row.record);
            self.bytes += row.bytes;
            self.order.remove(&row.position);
            row.position = self.position;
            self.order.insert(self.position, job);
        }
    }
}

/// Returns the size of a record's answer, without the few bytes that each record has in common.
pub(crate) fn answer_bytes(record: &Record) -> usize {
    let statuses = record.accepted.iter().flat_map(|(_, answer)| &answer.tasks);
    let sizes = statuses.map(|status| {
        let text = match status {
            TaskStatus::Completed { output } => output.len(),
            TaskStatus::Failed { reason }
            | TaskStatus::MayHaveRun { reason }
            | TaskStatus::NotRun { reason } => reason.len(),
        };
        size_of::<TaskStatus>() + text
    });
    sizes.sum()
}

fn answer_of(accepted: Option<&(Ballot, Answer)>) -> Option<&Answer> {
    accepted.map(|(_, answer)| answer)
}

fn new_record(job: JobId, digest: u64, owner: ProcessId) -> Record {
    Record {
        job,
        digest,
        owner,
        conflicting_owner: None,
        promised: Ballot::OWNER,
        accepted: None,
    }
}

fn vote_on_claim(record: &Record, digest: u64, claimant: ProcessId) -> ClaimVote {
    if record.digest != digest {
        return ClaimVote::Denied(Denial::DigestMismatch);
    }
    if record.owner != claimant {
        return ClaimVote::Known(record.owner);
    }
    if let Some(conflicting_owner) = record.conflicting_owner {
        return ClaimVote::Known(conflicting_owner);
    }
    // A takeover has fenced the claimant: its answer would be lost.
    if record.promised > Ballot::OWNER || record.accepted.is_some() {
        return ClaimVote::Known(claimant);
    }
    ClaimVote::Granted
}
