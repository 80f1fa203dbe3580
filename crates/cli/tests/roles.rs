//! Tests of how roles check their settings, start and report errors on the command line.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use tempfile::TempDir;

fn chestnutfork(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chestnutfork"));
    command.args(arguments).output().unwrap()
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn write(folder: &TempDir, settings: &str) -> String {
    let path = folder.path().join("settings.yaml");
    fs::write(&path, settings).unwrap();
    path.to_str().unwrap().to_owned()
}

/// Guards against example files that `check` rejects.
#[test]
fn check_accepts_examples() {
    let examples = [
        ("control", "control.yaml"),
        ("control", "control-2.yaml"),
        ("control", "control-3.yaml"),
        ("entry", "entry.yaml"),
        ("agent", "agent.yaml"),
        ("target", "target.yaml"),
    ];
    for (role, file) in examples {
        let file = example(file);
        let output = chestnutfork(&["check", role, file.to_str().unwrap()]);
        assert!(output.status.success(), "{}", text(&output.stderr));
        assert!(output.stderr.is_empty());
    }
}

/// Guards against reporting only the first problem of a file, or a problem without its file and key path.
#[test]
fn check_reports_every_problem() {
    let folder = TempDir::new().unwrap();
    let entry = fs::read_to_string(example("entry.yaml")).unwrap();
    let entry = entry
        .replace("listen: 127.0.0.1:7000\n", "lisen: 127.0.0.1:7000\n")
        .replace("retention_s: 600", "retention_s: 0");
    let file = write(&folder, &entry);
    let output = chestnutfork(&["check", "entry", &file]);
    assert_eq!(output.status.code(), Some(2));
    let problems = text(&output.stderr);
    for path in ["lisen: ", "listen: ", "register.retention_s: "] {
        assert!(problems.contains(&format!("{file}: {path}")), "{problems}");
    }
    assert_eq!(problems.lines().count(), 3, "{problems}");
    assert!(problems.contains("set it to"), "{problems}");
}

/// Guards against stopping at the first invalid file, and against exiting with success because the last file is valid.
#[test]
fn check_continues_after_bad_file() {
    let good = example("agent.yaml");
    let good = good.to_str().unwrap();
    let output = chestnutfork(&["check", "agent", "no-such-file.yaml", good]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stdout).contains("agent.yaml: usable"));
    assert!(text(&output.stderr).contains("check the path"));
}

/// Guards against secrets in the output of `check --effective`.
#[test]
fn check_redacts_secrets() {
    let file = example("agent.yaml");
    let output = chestnutfork(&["check", "agent", "--effective", file.to_str().unwrap()]);
    assert!(output.status.success());
    let settings = text(&output.stdout);
    assert!(settings.contains("shutdown_grace_ms: 30000"), "{settings}");
    assert!(!settings.contains("change-me"), "{settings}");
}

/// Guards against a role that starts with invalid settings, or whose exit code a supervisor cannot tell from other failures.
#[test]
fn role_refuses_bad_settings() {
    let folder = TempDir::new().unwrap();
    let file = write(&folder, "name: x\nunknown: 1\n");
    for role in ["entry", "agent", "control"] {
        let output = chestnutfork(&[role, "--config", &file]);
        assert_eq!(output.status.code(), Some(2), "{role}");
        let log = text(&output.stderr);
        assert!(log.contains("settings_refused"), "{log}");
        assert!(log.contains("unknown"), "{log}");
        assert!(log.contains("failure_domain"), "{log}");
    }
}

/// Guards against an address in use that ends the process without a log line or with exit code 0.
#[test]
fn role_reports_address_in_use() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = TempDir::new().unwrap();
    let agent = fs::read_to_string(example("agent.yaml")).unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let file = write(&folder, &agent.replace("127.0.0.1:7400", &address));
    let output = chestnutfork(&["agent", "--config", &file]);
    assert_eq!(output.status.code(), Some(1));
    let log = text(&output.stderr);
    assert!(log.contains("listen_failed") && log.contains(&address), "{log}");
}

/// Guards against commands and options without a description in the help.
#[test]
fn help_explains_every_command_and_option() {
    let output = chestnutfork(&["--help"]);
    let overview = text(&output.stdout);
    let commands = [
        "entry", "agent", "control", "check", "patch", "status", "audit", "config", "replace",
    ];
    for command in commands {
        let listed = overview
            .lines()
            .find(|line| line.trim_start().starts_with(&format!("{command} ")));
        assert!(
            listed.is_some_and(|line| line.trim().len() > 20),
            "{command}: {overview}"
        );
        let output = chestnutfork(&[command, "--help"]);
        let help = text(&output.stdout);
        assert!(help.contains("Exit codes:") && help.contains("Example"), "{help}");
        let options = help
            .lines()
            .skip_while(|line| *line != "Options:")
            .take_while(|line| !line.is_empty());
        let options = options.filter(|line| line.trim_start().starts_with('-'));
        for option in options {
            let explained = option.trim().split("  ").filter(|part| !part.is_empty()).count() >= 2;
            assert!(explained, "{command}: {option}");
        }
    }
}
