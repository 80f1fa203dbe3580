//! Tests of the command line of the roles on the users' platform.

use std::process::Command;

use tempfile::tempdir;

const SETTINGS: &str = r#"{"node_name": "side-1", "ip": "127.0.0.1", "zone": "a", "internal_ports": [7720, 7735],
    "seeds": ["127.0.0.2:8166"], "unknown": true}"#;

fn chestnutfork() -> Command {
    Command::new(env!("CARGO_BIN_EXE_chestnutfork"))
}

/// Guards against invalid platform settings that `check fleet` accepts and that fail only when the process starts.
#[test]
fn check_reports_platform_settings() {
    let folder = tempdir().expect("a folder");
    let (good, bad) = (folder.path().join("good.json"), folder.path().join("bad.json"));
    std::fs::write(&good, SETTINGS).expect("written");
    std::fs::write(&bad, SETTINGS.replace("zone", "place")).expect("written");
    let checked = chestnutfork()
        .args(["check", "fleet"])
        .arg(&good)
        .output()
        .expect("runs");
    assert!(checked.status.success());
    let checked = chestnutfork()
        .args(["check", "fleet"])
        .arg(&good)
        .arg(&bad)
        .output()
        .expect("runs");
    assert_eq!(checked.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&checked.stderr).contains("zone"));
    assert!(String::from_utf8_lossy(&checked.stdout).contains("usable, for `side-1`"));
}

/// Guards against a role that starts without settings, and against an error that does not name the remedy.
#[test]
fn role_without_settings_ends_with_code_2() {
    let run = chestnutfork()
        .args(["fleet", "agent"])
        .env_remove("CHESTNUTFORK_CONFIG")
        .output()
        .expect("runs");
    assert_eq!(run.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&run.stdout).contains("set it to the path of the settings file"));
}
