//! Tests of the command line of the tools.

use std::process::{Command, Output};

fn chestnutfork(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chestnutfork"));
    command.args(arguments).output().unwrap()
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

/// Guards against log lines or progress output on standard output, which would break programs that parse the report.
#[test]
fn quickstart_prints_one_json_object() {
    let output = chestnutfork(&["quickstart", "--report", "json"]);
    let stdout = text(&output.stdout);
    assert!(output.status.success(), "{stdout}{}", text(&output.stderr));
    assert_eq!(stdout.lines().count(), 1, "{stdout}");
    let report: serde_json::Value = serde_json::from_str(stdout).unwrap();
    assert_eq!(report["jobs_submitted"], 8);
    assert_eq!(report["jobs_completed"], 8);
    assert_eq!(report["tasks_started"], 1_600);
    assert_eq!(report["wasted_messages"], 0);
}

/// Guards against subcommands that are not declared or whose declaration contradicts itself.
#[test]
fn help_describes_every_subcommand() {
    for subcommand in ["quickstart", "dev", "load", "target", "platform"] {
        let output = chestnutfork(&[subcommand, "--help"]);
        assert!(output.status.success(), "{subcommand}");
        assert!(
            text(&output.stdout).contains("Usage: chestnutfork"),
            "{subcommand}"
        );
    }
}

/// Guards against an error message without a remedy and against a failure that exits with status 0.
#[test]
fn load_names_remedy_of_bad_input() {
    let output = chestnutfork(&["load", "no-such-file.yaml"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        text(&output.stderr).contains("check the path"),
        "{}",
        text(&output.stderr)
    );
    assert!(output.stdout.is_empty());
}
