//! Randomised runs of entries and agents with a fixed set of seeds.

mod sim;

use sim::{Counts, InjectedDefect, Rule, RunOptions, Scenarios, Sim};

/// Seeds of each test.
const SEEDS: u64 = 40;
/// Lines of the trace that a failed test prints.
const TRACED_LINES: usize = 80;

fn options(scenarios: &str) -> RunOptions {
    RunOptions {
        scenarios: Scenarios::parse(scenarios).expect("names of scenarios"),
        defect: None,
        trace: false,
    }
}

/// Runs seeds, fails with the trace of the first one that breaks a rule, and returns what occurred.
fn run_seeds(scenarios: &str) -> Counts {
    let mut total = Counts::default();
    for seed in 0..SEEDS {
        total.add(&run_seed(scenarios, seed));
    }
    total
}

/// Runs single seeds that have failed.
fn run_each(cases: &[(&str, u64)]) {
    for &(scenarios, seed) in cases {
        run_seed(scenarios, seed);
    }
}

/// Runs a seed, fails with its trace if it breaks a rule, and returns what occurred.
fn run_seed(scenarios: &str, seed: u64) -> Counts {
    let sim = Sim::run(seed, options(scenarios));
    if !sim.violations.is_empty() {
        let traced = RunOptions {
            trace: true,
            ..options(scenarios)
        };
        let lines: Vec<String> = Sim::run(seed, traced).trace.lines().collect();
        let last = &lines[lines.len().saturating_sub(TRACED_LINES)..];
        panic!(
            "seed {seed} of {scenarios}: {:?}\n{}",
            sim.violations,
            last.join("\n")
        );
    }
    sim.counts
}

/// Returns whether a seed finds two runs of a task at a time with a defect.
fn detects(defect: InjectedDefect) -> bool {
    (0..SEEDS).any(|seed| {
        let options = RunOptions {
            defect: Some(defect),
            ..options("standard")
        };
        let violations = Sim::run(seed, options).violations;
        violations
            .iter()
            .any(|violation| violation.rule == Rule::ConcurrentRuns)
    })
}

/// Guards against concurrent runs of one task, refusals of jobs that have started, and jobs reported as completed before
/// all their tasks are, under all faults that occur in any deployment.
#[test]
fn random_run_prevents_concurrent_runs() {
    let total = run_seeds("standard");
    // The checks are only meaningful if jobs complete and orders arrive late.
    assert!(
        total.completed > SEEDS * 100 && total.late_orders > SEEDS * 10,
        "{total:?}"
    );
}

/// Guards against refusals of jobs that have started, and against concurrent runs, while submissions are shed and waiting jobs are
/// placed by priority. Load: workers that are too few while others are lost.
#[test]
fn shedding_refuses_no_started_job() {
    let total = run_seeds("standard,priorities");
    // The check is only meaningful if submissions are shed and jobs complete.
    assert!(total.shed > SEEDS && total.completed > SEEDS * 100, "{total:?}");
}

/// Guards against a task that crashes one worker after another, with jobs that are submitted again at any entry and with killed
/// entries and agents.
#[test]
fn random_run_gives_up_tasks_that_crash_workers() {
    let total = run_seeds("standard,crashing");
    // The check is only meaningful if workers crash, and if jobs are given up in about every run. Other jobs that crash their
    // workers are refused, because few workers are left, or have not ended when the run ends.
    assert!(
        total.crashes > SEEDS * 5 && total.crashing_failed > SEEDS,
        "{total:?}"
    );
}

/// Guards against checks that cannot fail: an entry that does not wait for leases to expire must be detected.
#[test]
fn random_run_detects_short_run_expiry() {
    assert!(detects(InjectedDefect::ShortRunExpiry));
}

/// Guards against checks that cannot fail: an agent that keeps running the tasks of lost entries must be detected.
#[test]
fn random_run_detects_long_entry_lease() {
    assert!(detects(InjectedDefect::LongEntryLease));
}

/// Guards against reporting runs as lost that a new incarnation of the worker has started under its former name.
#[test]
fn reused_name_prevents_concurrent_runs() {
    let total = run_seeds("reuse");
    let occurred = total.starts_before_announcement > SEEDS && total.orders_of_former_incarnation > SEEDS;
    assert!(total.name_reuses > SEEDS * 10 && occurred, "{total:?}");
}

/// Guards against runs that continue because the worker restarts under its name while its orders are late or unanswered.
#[test]
fn reused_name_with_late_orders_prevents_concurrent_runs() {
    let total = run_seeds("reuse,starts,stops,calls");
    assert!(total.orders_of_former_incarnation > SEEDS, "{total:?}");
}

/// Guards against runs that a late order to a former incarnation starts on a new one with the same name.
#[test]
fn reused_name_rejects_late_orders() {
    let total = run_seeds("announced,starts,calls,across");
    assert!(total.orders_of_former_incarnation > SEEDS * 10, "{total:?}");
}

/// Guards against renewals that prolong runs whose stops are unanswered, while their callers submit again elsewhere.
#[test]
fn unanswered_stops_end_runs_in_time() {
    let total = run_seeds("stops");
    assert!(total.unanswered_stops > SEEDS * 10, "{total:?}");
}

/// Guards against runs that a late start begins after its attempt has been given up.
#[test]
fn unanswered_starts_begin_no_late_run() {
    let total = run_seeds("starts");
    assert!(total.unanswered_starts > SEEDS * 10, "{total:?}");
}

/// Guards against runs that late renewals prolong beyond the lease that their agent assumes.
#[test]
fn unanswered_renewals_prolong_no_run() {
    let total = run_seeds("renewals");
    assert!(total.unanswered_renewals > SEEDS * 10, "{total:?}");
}

/// Guards against late orders of all kinds that prolong or begin runs which nobody knows any more, while agents and entries
/// are killed.
#[test]
fn unanswered_orders_of_killed_processes_end_in_time() {
    let total = run_seeds("stops,starts,renewals,calls,kills");
    let unanswered = total.unanswered_stops.min(total.unanswered_starts);
    assert!(
        unanswered.min(total.unanswered_renewals) > SEEDS * 10,
        "{total:?}"
    );
}

/// Guards against reporting runs as lost on a worker that has withdrawn and not ended.
#[test]
fn withdrawal_waits_for_runs_to_end() {
    let total = run_seeds("withdrawal");
    assert!(total.withdrawals_with_runs > SEEDS, "{total:?}");
}

/// Guards against a late withdrawal of a former incarnation that ends the runs of a new one with the same name.
#[test]
fn withdrawal_of_former_incarnation_ends_no_run() {
    let total = run_seeds("notices");
    assert!(total.late_notices > SEEDS, "{total:?}");
}

/// Guards against reporting attempts as lost whose runs a restarted agent is about to stop.
#[test]
fn agent_restart_series_prevents_concurrent_runs() {
    let total = run_seeds("series");
    assert!(total.repeated_kills > SEEDS * 5, "{total:?}");
}

/// Guards against runs that successors of a killed agent prolong beyond the time after which entries place them again.
#[test]
fn isolated_agent_restarts_prolong_no_run() {
    let total = run_seeds("isolated");
    assert!(total.repeated_kills > SEEDS * 5, "{total:?}");
}

/// Guards against runs that outlive the bounds of the leases if an entry and an agent fail together.
#[test]
fn entry_and_agent_faults_prevent_concurrent_runs() {
    let total = run_seeds("pairs");
    assert!(total.paired_faults > SEEDS * 10, "{total:?}");
}

/// Guards against starts for callers that submitted again elsewhere while their entry was paused.
#[test]
fn entry_pause_prevents_concurrent_runs() {
    let total = run_seeds("pauses");
    assert!(
        total.submissions_during_pause > SEEDS && total.backlog_events > SEEDS * 100,
        "{total:?}"
    );
}

/// Guards against starts for callers that left a paused entry without its knowledge and submitted again elsewhere.
#[test]
fn silent_callers_of_paused_entry_cause_no_concurrent_runs() {
    let total = run_seeds("pauses,silent");
    assert!(total.silent_callers > SEEDS * 5, "{total:?}");
}

/// Guards against starts for callers that submitted again elsewhere while their entry was short of processor time: no single
/// stop is long, and what callers send waits for several of them.
#[test]
fn lagging_entry_prevents_concurrent_runs() {
    let total = run_seeds("lagging");
    assert!(
        total.entry_lags > SEEDS && total.backlog_events > SEEDS * 100,
        "{total:?}"
    );
}

/// Guards against the same fault with callers that leave without the knowledge of the entry.
#[test]
fn silent_callers_of_lagging_entry_cause_no_concurrent_runs() {
    let total = run_seeds("lagging,silent");
    assert!(total.silent_callers > SEEDS * 5, "{total:?}");
}

/// Guards against runs that outlast the next submission of their callers: a paused or lagging entry learns late that callers have
/// left, or not at all, and workers leave the stops unanswered.
#[test]
fn unanswered_stops_of_paused_entry_end_in_time() {
    let total = run_seeds("pauses,stops,silent");
    assert!(
        total.unanswered_stops > SEEDS * 10 && total.silent_callers > SEEDS * 5,
        "{total:?}"
    );
    run_each(&[
        ("pauses,stops", 555_051),
        ("pauses,stops", 810_222),
        ("pauses,stops,silent", 810_028),
        ("pauses,stops,notices", 810_022),
        ("pauses,lagging,stops,reuse,links", 810_230),
        ("pauses,links,stops", 820_098),
        ("lagging,stops", 810_014),
    ]);
}

/// Guards against reporting the runs of a worker as lost because another sender's announcement reached its agent.
#[test]
fn foreign_announcements_end_no_run() {
    let total = run_seeds("foreign,replacement");
    let served = total.completed > SEEDS * 50;
    assert!(served && total.foreign_announcements > SEEDS * 10, "{total:?}");
}

/// Guards against combinations of faults that break a rule although none of them does alone.
#[test]
fn all_faults_prevent_concurrent_runs() {
    let total = run_seeds("all");
    assert!(
        total.completed > SEEDS * 50 && total.late_orders > SEEDS * 10,
        "{total:?}"
    );
}

/// Guards against a task that goes on crashing workers because a further fault loses what the processes know of its crashes.
#[test]
fn all_faults_give_up_crashing_tasks() {
    let total = run_seeds("all,crashing");
    assert!(total.crashes > SEEDS * 5, "{total:?}");
}
