//! Verifier for the invariants of the register.

use chestnutfork_types::{JobId, ViewNumber};
use thiserror::Error;

use crate::claims::ClaimOutcome;
use crate::message::Ballot;
use crate::register::Register;
use crate::table::answer_bytes;

/// Violated invariant of the register; every violation is a bug.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// A record is missing from the change order, or the other way round.
    #[error("record of job {job} does not match the change order; report this as a bug")]
    OrderMismatch {
        /// Job of the record, or 0 if the number of records differs.
        job: JobId,
    },
    /// A record has an accepted ballot above its promised ballot.
    #[error("record of job {job} accepted a ballot above its promise; report this as a bug")]
    AcceptedAbovePromise {
        /// Job of the record.
        job: JobId,
    },
    /// A job is decided without an accepted answer.
    #[error("job {job} is decided without an answer; report this as a bug")]
    DecidedWithoutAnswer {
        /// Job of the record.
        job: JobId,
    },
    /// The own replica records another owner for a job whose claim this entry won.
    #[error("claim of job {job} is won but another owner is recorded; report this as a bug")]
    OwnerMismatch {
        /// Job whose claim is won.
        job: JobId,
    },
    /// A claim is in progress although it is already won.
    #[error("claim of job {job} is won but still in progress; report this as a bug")]
    ClaimedAfterWin {
        /// Job whose claim is won.
        job: JobId,
    },
    /// This entry proposes at the owner's ballot without having won the claim.
    #[error(
        "answer of job {job} is proposed at the owner's ballot without a won claim; report this as a bug"
    )]
    OwnerBallotWithoutClaim {
        /// Job whose answer is proposed.
        job: JobId,
    },
    /// A survivor is not a member, a learner is a member, or the survivors of a settled view are not all members.
    #[error("view {view} is inconsistent; report this as a bug")]
    InconsistentView {
        /// Number of the view.
        view: ViewNumber,
    },
    /// The counted size of the answers differs from their actual size, so the limit on it is not enforced.
    #[error("answers of {actual} bytes are counted as {counted} bytes; report this as a bug")]
    AnswerBytesMismatch {
        /// Counted size.
        counted: usize,
        /// Size of all answers.
        actual: usize,
    },
    /// The number of claims and claim outcomes exceeds the limit.
    #[error("{len} claims and claim outcomes exceed `max_records`; report this as a bug")]
    TableExceedsBound {
        /// Number of claims and claim outcomes.
        len: usize,
    },
}

impl Register {
    /// Returns the violated invariants; the list is empty in a correct register.
    ///
    /// # Examples
    ///
    /// ```
    /// let register = chestnutfork_register::Register::builder(10).build();
    /// assert!(register.verify().is_empty());
    /// ```
    #[must_use]
    pub fn verify(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        self.verify_records(&mut violations);
        self.verify_own_jobs(&mut violations);
        self.verify_view(&mut violations);
        violations
    }

    fn verify_records(&self, violations: &mut Vec<Violation>) {
        for (&job, row) in &self.table.rows {
            if self.table.change_order.get(&row.position) != Some(&job) || row.record.job != job {
                violations.push(Violation::OrderMismatch { job });
            }
            let accepted = row.record.accepted.as_ref();
            if accepted.is_some_and(|(ballot, _)| *ballot > row.record.promised) {
                violations.push(Violation::AcceptedAbovePromise { job });
            }
            if row.decided && accepted.is_none() {
                violations.push(Violation::DecidedWithoutAnswer { job });
            }
        }
        let bytes: usize = self
            .table
            .rows
            .values()
            .map(|row| answer_bytes(&row.record))
            .sum();
        if bytes != self.table.total_answer_bytes {
            violations.push(Violation::AnswerBytesMismatch {
                counted: self.table.total_answer_bytes,
                actual: bytes,
            });
        }
        if self.table.change_order.len() != self.table.rows.len() {
            violations.push(Violation::OrderMismatch { job: 0 });
        }
    }

    fn verify_own_jobs(&self, violations: &mut Vec<Violation>) {
        let me = self.settings.me;
        for (&job, _) in self
            .claim_outcomes
            .iter()
            .filter(|(_, outcome)| **outcome == ClaimOutcome::Won)
        {
            if self.claims.contains_key(&job) {
                violations.push(Violation::ClaimedAfterWin { job });
            }
            if self.table.record(job).is_some_and(|record| record.owner != me) {
                violations.push(Violation::OwnerMismatch { job });
            }
        }
        for (&job, proposal) in &self.proposals {
            let won = self.claim_outcomes.get(&job) == Some(&ClaimOutcome::Won);
            if proposal.ballot == Ballot::OWNER && !won && !self.table.is_below_floor(job) {
                violations.push(Violation::OwnerBallotWithoutClaim { job });
            }
        }
        let len = self.claims.len() + self.claim_outcomes.len();
        if len > self.settings.max_records {
            violations.push(Violation::TableExceedsBound { len });
        }
    }

    fn verify_view(&self, violations: &mut Vec<Violation>) {
        let Some(view) = &self.view else {
            return;
        };
        let foreign_survivor = view.survivors.iter().any(|id| !view.members.contains(id));
        let learner_votes = view.learners.iter().any(|id| view.members.contains(id));
        let wrongly_settled =
            view.settled && (view.settled_size != view.members.len() || view.survivors != view.members);
        if foreign_survivor || learner_votes || wrongly_settled {
            violations.push(Violation::InconsistentView { view: view.number });
        }
    }
}
