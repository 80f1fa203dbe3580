//! Conversion of core notices to numbered log events.

use std::time::Duration;

use chestnutfork_broker::Notice as BrokerNotice;
use chestnutfork_evacuation::{EvacuationChange, Evacuations};
use chestnutfork_events::{RunsEvent, emit};
use chestnutfork_types::{AttemptKey, JobId, RunOutcome, TaskKey};
use chestnutfork_worker::Notice as WorkerNotice;

/// Maximum number of tasks named in one log line.
const MAX_LOGGED_TASKS: usize = 20;

/// Formats a job id as in the paths of callers' requests.
fn format_job_id(job: JobId) -> String {
    format!("{job:016x}")
}

fn format_task_key(task: TaskKey) -> String {
    format!("{:016x}.{}.{}", task.job, task.step, task.index)
}

/// Formats the first tasks of a list, so that the length of a log line is bounded.
fn format_task_keys(tasks: &[TaskKey]) -> String {
    let names: Vec<String> = tasks
        .iter()
        .take(MAX_LOGGED_TASKS)
        .map(|&task| format_task_key(task))
        .collect();
    names.join(" ")
}

/// Logs a notice of the entry core.
pub(crate) fn log_broker_notice(notice: &BrokerNotice) {
    match notice {
        BrokerNotice::RoutesInForce { version, routes } => emit(&RunsEvent::RoutesInForce {
            version: *version,
            routes: *routes,
        }),
        BrokerNotice::Paused { paused } => emit(&RunsEvent::EntryPaused { paused: *paused }),
        BrokerNotice::Behind { .. }
        | BrokerNotice::CaughtUp { .. }
        | BrokerNotice::ReturnBegan { .. }
        | BrokerNotice::ReturnEnded { .. } => log_load_notice(notice),
        BrokerNotice::RouteMissing {
            host,
            queue,
            version,
            in_force,
        } => emit(&RunsEvent::RouteMissing {
            host,
            path: queue,
            version: *version,
            in_force: *in_force,
        }),
        BrokerNotice::JobTaken {
            job,
            route,
            version,
            tasks,
            objective,
            waiting,
        } => emit(&RunsEvent::JobTaken {
            job: &format_job_id(*job),
            route,
            version: *version,
            tasks: *tasks,
            objective: *objective,
            waiting: *waiting,
        }),
        BrokerNotice::JobRefused { .. } | BrokerNotice::JobShed { .. } => log_refusal_notice(notice),
        BrokerNotice::JobEnded {
            job,
            end,
            took,
            waited,
            attempts,
            on_time,
        } => emit(&RunsEvent::JobEnded {
            job: &format_job_id(*job),
            end: end.as_str(),
            took: *took,
            waited: *waited,
            attempts: *attempts,
            on_time: *on_time,
        }),
        BrokerNotice::AttemptEnded {
            key,
            agent,
            outcome,
            run_time,
        } => log_attempt_ended(*key, agent, *outcome, *run_time),
        BrokerNotice::LossCounted { .. } | BrokerNotice::JobGivenUp { .. } => log_loss_notice(notice),
        BrokerNotice::AttemptOverdue { key, agent, elapsed } => emit(&RunsEvent::AttemptOverdue {
            task: &format_task_key(key.task),
            attempt: u64::from(key.attempt),
            agent,
            elapsed: *elapsed,
        }),
        BrokerNotice::AgentJoined { .. }
        | BrokerNotice::AgentLost { .. }
        | BrokerNotice::AgentLapsed { .. } => log_agent_notice(notice),
        BrokerNotice::EvacuationsInForce {
            state,
            change,
            refused,
            age,
        } => log_evacuations(state, change, *refused, *age),
        BrokerNotice::InterferenceAvoided { .. } => log_interference_notice(notice),
    }
}

/// Logs notices about the connections to agents.
fn log_agent_notice(notice: &BrokerNotice) {
    match notice {
        BrokerNotice::AgentJoined {
            agent,
            pool,
            outstanding,
        } => emit(&RunsEvent::AgentJoined {
            agent,
            pool,
            claimed: *outstanding,
        }),
        BrokerNotice::AgentLost { agent, outstanding } => emit(&RunsEvent::AgentLost {
            agent,
            outstanding: *outstanding,
        }),
        BrokerNotice::AgentLapsed {
            agent,
            silent,
            attempts,
        } => log_agent_lapsed(agent, *silent, *attempts),
        _ => {}
    }
}

fn log_agent_lapsed(agent: &str, silent: Duration, attempts: u64) {
    emit(&RunsEvent::AgentLapsed {
        agent,
        silent,
        attempts,
    });
}

/// Logs a notice about tasks that were placed apart because their kinds slow each other down.
fn log_interference_notice(notice: &BrokerNotice) {
    if let BrokerNotice::InterferenceAvoided {
        job,
        tasks,
        agent,
        slowed,
        beside,
        slowdown_permille,
        runs,
        age,
    } = notice
    {
        emit(&RunsEvent::InterferenceAvoided {
            job: &format_job_id(*job),
            tasks: *tasks,
            agent,
            slowed,
            beside,
            slowdown_permille: *slowdown_permille,
            runs: *runs,
            age: *age,
        });
    }
}

/// Logs notices about the load of the process, and the limit of its orders after a return.
fn log_load_notice(notice: &BrokerNotice) {
    match notice {
        BrokerNotice::Behind { delay, jobs, waiting } => emit(&RunsEvent::EntryBehind {
            delay: *delay,
            jobs: *jobs,
            waiting: *waiting,
        }),
        BrokerNotice::CaughtUp { lasted } => emit(&RunsEvent::EntryCaughtUp { lasted: *lasted }),
        BrokerNotice::ReturnBegan { least, most, age } => emit(&RunsEvent::ReturnBegan {
            least: *least,
            most: *most,
            age: *age,
        }),
        BrokerNotice::ReturnEnded {
            lasted,
            beyond_share,
            refused,
        } => emit(&RunsEvent::ReturnEnded {
            lasted: *lasted,
            beyond_share: *beyond_share,
            refused: *refused,
        }),
        _ => {}
    }
}

/// Logs notices about workers that were lost under tasks.
fn log_loss_notice(notice: &BrokerNotice) {
    match notice {
        BrokerNotice::LossCounted {
            task,
            agent,
            worker,
            confirmed,
            possible,
        } => emit(&RunsEvent::LossCounted {
            task: &format_task_key(*task),
            agent,
            worker,
            confirmed: *confirmed,
            possible: *possible,
        }),
        BrokerNotice::JobGivenUp {
            task,
            confirmed,
            possible,
            ordered,
        } => emit(&RunsEvent::JobGivenUp {
            task: &format_task_key(*task),
            confirmed: *confirmed,
            possible: *possible,
            ordered: *ordered,
        }),
        _ => {}
    }
}

fn log_attempt_ended(key: AttemptKey, agent: &str, outcome: RunOutcome, run_time: Duration) {
    emit(&RunsEvent::AttemptEnded {
        task: &format_task_key(key.task),
        attempt: u64::from(key.attempt),
        agent,
        end: outcome.as_str(),
        ran: run_time,
    });
}

/// Logs a notice of the agent core.
pub(crate) fn log_worker_notice(notice: &WorkerNotice) {
    match notice {
        WorkerNotice::WorkerJoined {
            worker,
            pool,
            cpu_millis,
            started_at,
        } => emit(&RunsEvent::WorkerJoined {
            worker,
            pool,
            cpu_millis: *cpu_millis,
            started_ms: u64::try_from(started_at.as_millis()).unwrap_or(u64::MAX),
        }),
        WorkerNotice::AnnouncementRejected { worker, pool, reason } => {
            emit(&RunsEvent::AnnouncementRejected { worker, pool, reason });
        }
        WorkerNotice::WorkerLeaving { worker, running } => emit(&RunsEvent::WorkerLeaving {
            worker,
            running: *running,
        }),
        WorkerNotice::WorkerRestarted {
            worker,
            unresolved,
            unannounced,
        } => emit(&RunsEvent::WorkerRestarted {
            worker,
            unresolved: *unresolved,
            unannounced: *unannounced,
        }),
        WorkerNotice::WorkerGone { worker, lost, reason } => emit(&RunsEvent::WorkerGone {
            worker,
            lost: *lost,
            reason: reason.as_str(),
        }),
        WorkerNotice::WorkerLost {
            worker,
            confirmed,
            tasks,
        } => emit(&RunsEvent::WorkerLost {
            worker,
            confirmed: *confirmed,
            count: tasks.len() as u64,
            tasks: &format_task_keys(tasks),
        }),
        WorkerNotice::WorkerSilent { worker, silent } => emit(&RunsEvent::WorkerSilent {
            worker,
            silent: *silent,
        }),
        WorkerNotice::WorkerAnswers { worker } => emit(&RunsEvent::WorkerAnswers { worker }),
        WorkerNotice::EntryLapsed { entry, runs } => emit(&RunsEvent::EntryLapsed {
            entry: *entry,
            runs: *runs,
        }),
        WorkerNotice::StartRefused { key, reason } => emit(&RunsEvent::StartRefused {
            task: &format_task_key(key.task),
            attempt: u64::from(key.attempt),
            reason,
        }),
        WorkerNotice::StartUnanswered { key, run } => emit(&RunsEvent::StartUnanswered {
            task: &format_task_key(key.task),
            attempt: u64::from(key.attempt),
            run: *run,
        }),
        WorkerNotice::RunEnded {
            key,
            run,
            worker,
            outcome,
            run_time,
            evidence,
        } => emit(&RunsEvent::RunEnded {
            task: &format_task_key(key.task),
            attempt: u64::from(key.attempt),
            end: outcome.as_str(),
            ran: *run_time,
            run: *run,
            worker,
            evidence: evidence.as_str(),
        }),
        WorkerNotice::OrphanStopped { run } => emit(&RunsEvent::OrphanStopped {
            task: &format_task_key(run.task),
            run: run.number,
        }),
        WorkerNotice::EvacuationsInForce {
            state,
            change,
            refused,
            age,
        } => log_evacuations(state, change, *refused, *age),
    }
}

fn log_evacuations(state: &Evacuations, change: &EvacuationChange, refused: u64, age: Duration) {
    let domains: Vec<&str> = state.domains.iter().map(String::as_str).collect();
    emit(&RunsEvent::EvacuationsInForce {
        revision: state.revision,
        domains: &domains.join(", "),
        evacuated: &change.evacuated.join(", "),
        returned: &change.returned.join(", "),
        refused,
        age,
    });
}

fn log_refusal_notice(notice: &BrokerNotice) {
    match notice {
        BrokerNotice::JobRefused {
            job,
            reason,
            waited,
            waiting,
        } => emit(&RunsEvent::JobRefused {
            job: &format_job_id(*job),
            reason: reason.as_str(),
            waited: *waited,
            waiting: *waiting,
        }),
        BrokerNotice::JobShed {
            job,
            route,
            priority,
            fraction,
            demand,
            capacity,
            age,
        } => emit(&RunsEvent::JobShed {
            job: &format_job_id(*job),
            route,
            priority: u64::from(*priority),
            admitted_permille: rounded(*fraction * 1_000.0),
            demand: *demand,
            capacity: rounded(*capacity),
            age: *age,
        }),
        _ => {}
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the values are positive, and a cast saturates"
)]
fn rounded(value: f64) -> u64 {
    value.round() as u64
}
