//! Violations of invariants, as the verifiers report them.

use chestnutfork_types::TeamName;
use thiserror::Error;

/// Invariant of this crate that does not hold; every one is a programming error.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// The stored length of a queue is not the sum over its teams.
    #[error("queue counts {stored} tasks but its teams hold {held}; report this as a bug")]
    QueueLength {
        /// Length that the queue reports.
        stored: usize,
        /// Tasks that the teams hold.
        held: usize,
    },
    /// A team with tasks has no turn, or a team without tasks has one.
    #[error("turns of team {team} do not match its {held} queued tasks; report this as a bug")]
    QueueTurn {
        /// Team in question.
        team: TeamName,
        /// Tasks that the team holds.
        held: usize,
    },
    /// The team whose turn it is has no deficit to spend.
    #[error("team {team} is first in turn without a deficit; report this as a bug")]
    QueueDeficit {
        /// Team in question.
        team: TeamName,
    },
    /// A queued task expires before the bound that `expire` relies on.
    #[error("a task of team {team} expires before the queue's earliest deadline; report this as a bug")]
    QueueDeadline {
        /// Team in question.
        team: TeamName,
    },
    /// A held task expires before the bound that `expire` relies on.
    #[error("a held task expires before the queue's earliest deadline; report this as a bug")]
    HeldDeadline,
    /// More releases than acquisitions were counted for a team.
    #[error("team {team} released more tasks than it acquired; report this as a bug")]
    QuotaReleased {
        /// Team in question.
        team: TeamName,
    },
    /// The tasks counted for a team are not those acquired less those released.
    #[error("team {team} has {counted} tasks in flight but {expected} are open; report this as a bug")]
    QuotaCount {
        /// Team in question.
        team: TeamName,
        /// Tasks counted in flight.
        counted: u32,
        /// Acquisitions less releases.
        expected: u64,
    },
    /// The learned run time is not a usable number.
    #[error("the learned run time is not a positive finite number; report this as a bug")]
    RunTime,
}
