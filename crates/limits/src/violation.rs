//! Violations of this crate's invariants.

use chestnutfork_types::TeamName;
use thiserror::Error;

/// Violated invariant of this crate; each is a programming error.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// The stored length of a queue is not the sum over its teams.
    #[error("the queue counts {stored} tasks but its teams have {queued}; report this as a bug")]
    QueueLength {
        /// Stored length of the queue.
        stored: usize,
        /// Sum over the teams.
        queued: usize,
    },
    /// A team with tasks has no turn, or a team without tasks has one.
    #[error("the turn of team {team} does not match its {queued} queued tasks; report this as a bug")]
    QueueTurn {
        /// Affected team.
        team: TeamName,
        /// Queued tasks of the team.
        queued: usize,
    },
    /// The team whose turn it is has no deficit.
    #[error("team {team} is first in turn without a deficit; report this as a bug")]
    QueueDeficit {
        /// Affected team.
        team: TeamName,
    },
    /// A queued task expires before the lower bound that `expire` relies on.
    #[error(
        "a task of team {team} expires before the queue's lower bound on deadlines; report this as a bug"
    )]
    QueueDeadline {
        /// Affected team.
        team: TeamName,
    },
    /// A deferred task expires before the lower bound that `expire` relies on.
    #[error("a deferred task expires before the queue's lower bound on deadlines; report this as a bug")]
    DeferredDeadline,
    /// More releases than acquisitions were counted for a team.
    #[error("team {team} has more releases than acquisitions; report this as a bug")]
    QuotaReleased {
        /// Affected team.
        team: TeamName,
    },
    /// The tasks in flight counted for a team are not its acquisitions less its releases.
    #[error(
        "team {team} counts {counted} tasks in flight, acquisitions less releases are {expected}; report this as a bug"
    )]
    QuotaCount {
        /// Affected team.
        team: TeamName,
        /// Tasks counted in flight.
        counted: u32,
        /// Acquisitions less releases.
        expected: u64,
    },
    /// The learned run time is negative or not finite.
    #[error("the learned run time is not a non-negative finite number; report this as a bug")]
    RunTime,
}
