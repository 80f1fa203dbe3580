//! Records of one replica, and its votes on claims, lookups and ballots.

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutfork_types::{Answer, JobId, ProcessId, TaskStatus, job_timestamp};

use crate::message::{Ballot, Denial, Record};

/// Record with its position in the change order.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub(crate) record: Record,
    pub(crate) position: u64,
    /// Whether this entry learned that a quorum accepted the answer.
    pub(crate) decided: bool,
    /// Size of the accepted answer.
    pub(crate) answer_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimVote {
    Granted,
    OwnedBy(ProcessId),
    Denied(Denial),
}

/// Result of a lookup at one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookupResult {
    NoRecord,
    /// The record holds a claim of the requesting entry, and no takeover of the job has begun.
    OwnClaim,
    OwnedBy(ProcessId),
    Denied(Denial),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BallotVote {
    /// The ballot is promised or its answer accepted; contains the previously accepted answer.
    Yes(Option<(Ballot, Answer)>),
    /// A larger ballot, given here, is promised.
    Rejected(Ballot),
    Denied(Denial),
}

/// Records that changed after a position.
#[derive(Clone, Debug)]
pub(crate) struct Changes {
    pub(crate) records: Vec<Record>,
    /// Position of the last record.
    pub(crate) up_to: u64,
    /// Whether no later change exists.
    pub(crate) done: bool,
}

/// Records by job id, which sorts by time, and the order in which they changed.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    pub(crate) rows: BTreeMap<JobId, Row>,
    pub(crate) change_order: BTreeMap<u64, JobId>,
    pub(crate) floor: Duration,
    last_position: u64,
    /// Size of all accepted answers.
    pub(crate) total_answer_bytes: usize,
    bounds: Bounds,
}

/// Limits at which a table stops granting claims.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) records: usize,
    pub(crate) answer_bytes: usize,
}

impl Table {
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self {
            rows: BTreeMap::new(),
            change_order: BTreeMap::new(),
            floor: Duration::ZERO,
            last_position: 0,
            total_answer_bytes: 0,
            bounds,
        }
    }

    pub(crate) fn is_below_floor(&self, job: JobId) -> bool {
        job_timestamp(job) <= self.floor
    }

    pub(crate) fn is_full(&self) -> bool {
        self.rows.len() >= self.bounds.records || self.total_answer_bytes >= self.bounds.answer_bytes
    }

    pub(crate) fn record(&self, job: JobId) -> Option<&Record> {
        self.rows.get(&job).map(|row| &row.record)
    }

    /// Returns the answer of a job if this entry learned that a quorum accepted it.
    pub(crate) fn decided(&self, job: JobId) -> Option<&Answer> {
        let row = self.rows.get(&job).filter(|row| row.decided)?;
        row.record.accepted.as_ref().map(|(_, answer)| answer)
    }

    /// Votes on a claim, which is granted only if no other claimant is recorded and no takeover has begun.
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

    pub(crate) fn lookup(&self, job: JobId, digest: u64, claimant: ProcessId) -> LookupResult {
        if self.is_below_floor(job) {
            return LookupResult::Denied(Denial::BelowFloor);
        }
        match self.record(job) {
            None => LookupResult::NoRecord,
            Some(record) if record.digest != digest => LookupResult::Denied(Denial::DigestMismatch),
            Some(record) if record.owner != claimant => LookupResult::OwnedBy(record.owner),
            Some(Record {
                conflicting_owner: Some(conflicting_owner),
                ..
            }) => LookupResult::OwnedBy(*conflicting_owner),
            Some(record) if record.promised > Ballot::OWNER || record.accepted.is_some() => {
                LookupResult::OwnedBy(claimant)
            }
            Some(_) => LookupResult::OwnClaim,
        }
    }

    /// Transfers the record of a withdrawn claim to another claimant and returns whether there was such a record.
    pub(crate) fn transfer(&mut self, job: JobId, from: ProcessId, to: ProcessId) -> bool {
        let row = self.rows.get_mut(&job).filter(|row| row.record.owner == from);
        let Some(row) = row else {
            return false;
        };
        row.record.owner = to;
        if row.record.conflicting_owner == Some(to) {
            row.record.conflicting_owner = None;
        }
        self.mark_changed(job);
        true
    }

    /// Reports whether a claim of `owner` on a recorded job would be granted.
    pub(crate) fn would_grant(&self, job: JobId, owner: ProcessId) -> bool {
        let record = self.record(job);
        record.is_some_and(|record| vote_on_claim(record, record.digest, owner) == ClaimVote::Granted)
    }

    /// Records `owner` as the owner of a granted claim.
    ///
    /// The quorum that granted the claim overrides another claimant that this replica recorded.
    pub(crate) fn set_owner(&mut self, job: JobId, digest: u64, owner: ProcessId) {
        let Some(row) = self.rows.get_mut(&job) else {
            self.insert(new_record(job, digest, owner));
            return;
        };
        if row.record.owner != owner {
            row.record.conflicting_owner = Some(row.record.owner);
            row.record.owner = owner;
            self.mark_changed(job);
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
        // The bounds do not apply here: a quorum of replicas has already recorded the job.
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
        let previous = row.record.accepted.clone();
        row.record.promised = ballot;
        change(&mut row.record);
        self.mark_changed(job);
        BallotVote::Yes(previous)
    }

    /// Marks the accepted answer of a job as decided if it equals `answer`.
    pub(crate) fn decide(&mut self, job: JobId, answer: &Answer) {
        if let Some(row) = self.rows.get_mut(&job)
            && let Some((_, accepted)) = &row.record.accepted
        {
            row.decided = accepted == answer;
        }
    }

    /// Merges the record of another replica into this table.
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
        let other_owner = claimants.into_iter().find(|&claimant| claimant != record.owner);
        record.conflicting_owner = record.conflicting_owner.or(other_owner);
        record.promised = record.promised.max(other.promised);
        let replaces_answer = match (&record.accepted, &other.accepted) {
            (Some((own_ballot, _)), Some((other_ballot, _))) => other_ballot > own_ballot,
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if replaces_answer {
            let same_answer = answer_of(record.accepted.as_ref()) == answer_of(other.accepted.as_ref());
            row.decided = row.decided && same_answer;
            record.accepted = other.accepted;
        }
        if row.record != before {
            self.mark_changed(job);
        }
    }

    /// Raises the floor; `prune` discards the records below it.
    pub(crate) fn raise_floor(&mut self, floor: Duration) {
        self.floor = self.floor.max(floor);
    }

    /// Discards the records at or below the floor.
    pub(crate) fn prune(&mut self) {
        while let Some(first) = self.rows.first_entry()
            && job_timestamp(*first.key()) <= self.floor
        {
            let row = first.remove();
            self.change_order.remove(&row.position);
            self.total_answer_bytes -= row.answer_bytes;
        }
    }

    /// Returns at most `limit` records that changed after a position.
    pub(crate) fn changes(&self, after: u64, limit: usize) -> Changes {
        let mut later = self.change_order.range(after + 1..);
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
        self.last_position += 1;
        let position = self.last_position;
        self.change_order.insert(position, record.job);
        let answer_bytes = answer_bytes(&record);
        self.total_answer_bytes += answer_bytes;
        let row = Row {
            record,
            position,
            decided: false,
            answer_bytes,
        };
        self.rows.insert(row.record.job, row);
    }

    /// Moves a changed record to the end of the change order and updates the size of its answer.
    fn mark_changed(&mut self, job: JobId) {
        self.last_position += 1;
        if let Some(row) = self.rows.get_mut(&job) {
            self.total_answer_bytes -= row.answer_bytes;
            row.answer_bytes = answer_bytes(&row.record);
            self.total_answer_bytes += row.answer_bytes;
            self.change_order.remove(&row.position);
            row.position = self.last_position;
            self.change_order.insert(self.last_position, job);
        }
    }
}

/// Returns the size of a record's answer, without the fixed size of the record itself.
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
        return ClaimVote::OwnedBy(record.owner);
    }
    if let Some(conflicting_owner) = record.conflicting_owner {
        return ClaimVote::OwnedBy(conflicting_owner);
    }
    // A takeover has fenced the claimant, so an answer that it proposes would be rejected.
    if record.promised > Ballot::OWNER || record.accepted.is_some() {
        return ClaimVote::OwnedBy(claimant);
    }
    ClaimVote::Granted
}
