//! Counts of what occurred in a run, which show whether its checks were meaningful.

/// Declares the counts and their sum.
macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counts of events in a run.
        #[derive(Debug, Default)]
        pub struct Counts {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Counts {
            /// Adds the counts of another run.
            pub fn add(&mut self, other: &Self) {
                $(self.$name += other.$name;)*
            }
        }
    };
}

counts! {
    completed,
    refused,
    timed_out,
    starts,
    late_orders,
    faults,
    /// Submissions that were shed, because demand exceeded capacity.
    shed,
    /// Workers that started again under their former name.
    name_reuses,
    /// Runs started on an incarnation before it announced itself.
    starts_before_announcement,
    /// Late orders sent to a former incarnation and carried out by one with its name.
    orders_of_former_incarnation,
    /// Runs that late orders started.
    late_starts,
    /// Stops left unanswered by a worker that answered the renewals.
    unanswered_stops,
    unanswered_starts,
    unanswered_renewals,
    /// Acknowledged withdrawals of workers with a run in progress.
    withdrawals_with_runs,
    /// Withdrawals and announcements that arrived after their incarnation had ended.
    late_notices,
    /// Agents killed again within 1.5 s.
    repeated_kills,
    /// Faults of an entry and an agent at the same time.
    paired_faults,
    /// Pauses of entries.
    entry_pauses,
    /// Jobs submitted to another entry while the former one was paused.
    submissions_during_pause,
    /// Crashes of workers under tasks that crash them.
    crashes,
    /// Answers that a job with such a task has failed.
    crashing_failed,
    /// Answers that another job has failed.
    others_failed,
    /// Times in which an entry ran only between short stops.
    entry_lags,
    /// Callers that left a paused or lagging entry without its knowledge.
    silent_callers,
    /// Announcements of workers that do not exist.
    foreign_announcements,
    /// Events that an entry processed after a pause.
    backlog_events,
    /// Runs that ended with the lease of a worker that was up.
    lapsed_runs,
}
