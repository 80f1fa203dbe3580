//! Tests the parsing and validation of scenarios.

use chestnutfork_load::{LoadError, Scenario};

/// Guards against a mistyped key that is ignored, so that its default applies without notice.
#[test]
fn parse_scenario_rejects_unknown_key() {
    let error = Scenario::parse("duration: 5").unwrap_err().to_string();
    assert!(error.contains("duration"), "{error}");
    assert!(error.contains("examples/scenarios"), "{error}");
}

/// Guards against invalid values that are only detected during a run.
#[test]
fn parse_scenario_rejects_bad_values() {
    let cases = [
        ("duration_ms: 0", "duration_ms"),
        ("duration_ms: 99999999", "duration_ms"),
        ("failing: 1.5", "failing"),
        ("arrivals: {poisson: {jobs_per_s: 0}}", "arrivals.jobs_per_s"),
        ("job_tasks: {fixed: 0}", "job_tasks"),
        ("run_ms: {log_uniform: {min: 0, max: 5}}", "run_ms"),
        ("run_ms: {uniform: {min: 9, max: 5}}", "run_ms"),
        (
            "wrong_declarations: {share: 0.5, factor: 0}",
            "wrong_declarations.factor",
        ),
        (
            "cancellations: {share: 1, delay_ms: {fixed: 1}, wave_every_ms: 0}",
            "cancellations.wave_every_ms",
        ),
        (
            "faults: [{at_ms: 1, target: 0, change: {speed: -1}}]",
            "faults.change",
        ),
        ("local: {entries: 2, targets: []}", "local.targets"),
    ];
    for (text, expected) in cases {
        let Err(LoadError::InvalidValue { key, .. }) = Scenario::parse(text) else {
            panic!("`{text}` was accepted or failed with another error");
        };
        assert_eq!(key, expected, "{text}");
    }
}

/// Guards against example files that no longer match the file format.
#[test]
fn parse_scenario_accepts_examples() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/scenarios");
    let mut count = 0;
    for file in std::fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        Scenario::parse(&text).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        count += 1;
    }
    assert!(count >= 10, "only {count} examples");
}
