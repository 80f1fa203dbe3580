//! Verifier of the register's invariants.

use chestnutfork_types::{JobId, ViewNumber};
use thiserror::Error;

use crate::claims::Fate;
use crate::message::Ballot;
use crate::register::Register;
use crate::table::answer_bytes;

/// Invariant of the register that does not hold; every violation is a bug to report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// A record is missing from the order of changes, or the other way round.
    #[error("record of job {job} does not match the order of changes; report this as a bug")]
    OrderMismatch {
        /// Job in question.
        job: JobId,
    },
    /// A record accepted an answer above its promise.
    #[error("record of job {job} accepted a ballot above its promise; report this as a bug")]
    AcceptedAbovePromise {
        /// Job in question.
        job: JobId,
    },
    /// A job is decided without an answer.
    #[error("job {job} is decided without an answer; report this as a bug")]
    DecidedWithoutAnswer {
        /// Job in question.
        job: JobId,
    },
    /// A won job is recorded for another owner.
    #[error("job {job} is won here but recorded for another owner; report this as a bug")]
    OwnerMismatch {
        /// Job in question.
        job: JobId,
    },
    /// A claim is under way although it is already won.
    #[error("job {job} is won and still claimed; report this as a bug")]
    ClaimedAfterWin {
        /// Job in question.
        job: JobId,
    },
    /// A proposal at the owner's ballot comes from an entry that did not win the claim.
    #[error("job {job} is answered at the owner's ballot by another entry; report this as a bug")]
    OwnerBallotWithoutClaim {
        /// Job in question.
        job: JobId,
    },
    /// The view names survivors that are not members, or an entry in two roles.
    #[error("view {view} is inconsistent; report this as a bug")]
    InconsistentView {
        /// Number of the view.
        view: ViewNumber,
    },
    /// The size of the answers is counted wrongly, so the table's bound does not hold.
    #[error("answers of {actual} bytes are counted as {counted}; report this as a bug")]
    AnswerBytesMismatch {
        /// Counted size.
        counted: usize,
        /// Size of all answers.
        actual: usize,
    },
    /// A table exceeds its bound.
    #[error("table of {len} claims exceeds its bound; report this as a bug")]
    TableExceedsBound {
        /// Size of the table.
        len: usize,
    },
}

impl Register {
    /// Lists the invariants that do not hold; the list is empty in a correct register.
    ///
    /// # Examples
    ///
    /// ```
    /// let register = chestnutfork_register::Register::builder(10).build();
    /// assert!(register.verify().is_empty());
    /// ```
    #[must_use]
    pub fn verify(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        self.verify_records(&mut found);
        self.verify_own(&mut found);
        self.verify_view(&mut found);
        found
    }

    fn verify_records(&self, found: &mut Vec<Violation>) {
        for (&job, row) in &self.table.rows {
            if self.table.order.get(&row.position) != Some(&job) || row.record.job != job {
                found.push(Violation::OrderMismatch { job });
            }
            let accepted = row.record.accepted.as_ref();
            if accepted.is_some_and(|(ballot, _)| *ballot > row.record.promised) {
                found.push(Violation::AcceptedAbovePromise { job });
            }
            if row.decided && accepted.is_none() {
                found.push(Violation::DecidedWithoutAnswer { job });
            }
        }
        let bytes: usize = self
            .table
            .rows
            .values()
            .map(|row| answer_bytes(&row.record))
            .sum();
        if bytes != self.table.bytes {
            found.push(Violation::AnswerBytesMismatch {
                counted: self.table.bytes,
                actual: bytes,
            });
        }
        if self.table.order.len() != self.table.rows.len() {
            found.push(Violation::OrderMismatch { job: 0 });
        }
    }

    fn verify_own(&self, found: &mut Vec<Violation>) {
        let me = self.settings.me;
        for (&job, _) in self.fates.iter().filter(|(_, fate)| **fate == Fate::Won) {
            if self.claims.contains_key(&job) {
                found.push(Violation::ClaimedAfterWin { job });
            }
            if self.table.record(job).is_some_and(|record| record.owner != me) {
                found.push(Violation::OwnerMismatch { job });
            }
        }
        for (&job, proposal) in &self.proposals {
            let won = self.fates.get(&job) == Some(&Fate::Won);
            if proposal.ballot == Ballot::OWNER && !won && !self.table.is_below_floor(job) {
                found.push(Violation::OwnerBallotWithoutClaim { job });
            }
        }
        let len = self.claims.len() + self.fates.len();
        if len > self.settings.max_records {
            found.push(Violation::TableExceedsBound { len });
        }
    }

    fn verify_view(&self, found: &mut Vec<Violation>) {
        let Some(view) = &self.view else {
            return;
        };
        let strangers = view.survivors.iter().any(|id| !view.members.contains(id));
        let twice = view.learners.iter().any(|id| view.members.contains(id));
        let settled =
            view.settled && (view.settled_size != view.members.len() || view.survivors != view.members);
        if strangers || twice || settled {
            found.push(Violation::InconsistentView { view: view.number });
        }
    }
}
