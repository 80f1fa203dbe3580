//! Tests of loading, validating and building settings.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use chestnutfork_events::{Format, Severity};
use chestnutfork_settings::{
    AgentSettings, ControlSettings, EntrySettings, Role, Settings, TargetSettings, effective_yaml,
    reference_page,
};
use quickcheck::{Gen, QuickCheck};
use tempfile::TempDir;

const TOKEN_SHA256: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
const SECRET: &str = "0123456789abcdef";

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn write_settings(directory: &TempDir, text: &str) -> PathBuf {
    let path = directory.path().join("settings.yaml");
    fs::write(&path, text).expect("directory is writable");
    path
}

/// Guards against a reference page that no longer matches the declarations.
#[test]
fn reference_page_matches_declarations() {
    let page =
        fs::read_to_string(repository_root().join("docs/SETTINGS.md")).expect("docs/SETTINGS.md exists");
    assert!(
        page == reference_page(),
        "regenerate the page: cargo run -p chestnutfork-settings --example settings_page > docs/SETTINGS.md"
    );
}

/// Guards against example files that fail validation, and against secrets in debug output and effective settings.
#[test]
fn load_accepts_examples() {
    for role in Role::ALL {
        let path = repository_root()
            .join("examples")
            .join(format!("{}.yaml", role.as_str()));
        let settings = Settings::load(role, &path).expect("example is valid");
        let yaml = effective_yaml(role, &path).expect("example is valid");
        for text in [format!("{settings:?}"), yaml] {
            assert!(
                !text.contains("change-me") && !text.contains(TOKEN_SHA256),
                "{text}"
            );
            assert!(text.contains("[redacted]"));
        }
    }
}

/// Guards against validation that stops at the first problem, or reports it without file, key or remedy.
#[test]
fn load_reports_all_problems_at_once() {
    let directory = TempDir::new().expect("directory is created");
    let text = "
name: entry 1
peer_listen: 0.0.0.0:7001
contrl: [127.0.0.1:7101]
cluster_secret: short
register: {max_records: 0}
log: {level: loud}
";
    let path = write_settings(&directory, text);
    let error = EntrySettings::load(&path).expect_err("settings have problems");
    let paths: Vec<&str> = error
        .violations
        .iter()
        .map(|violation| violation.path.as_str())
        .collect();
    let expected = [
        "contrl",
        "name",
        "log.level",
        "failure_domain",
        "listen",
        "control",
        "cluster_secret",
        "register.max_records",
    ];
    assert_eq!(paths, expected);
    let lines = error.to_string();
    assert_eq!(lines.lines().count(), expected.len());
    assert!(
        lines
            .lines()
            .all(|line| line.starts_with(&path.display().to_string()))
    );
    assert!(
        lines.contains("register.max_records: 0 is not allowed; set it to an integer from 1 to 100000000")
    );
    assert!(!lines.contains("short"));
}

/// Guards against accepting settings that are valid alone but inconsistent with each other.
#[test]
fn load_rejects_inconsistencies() {
    let directory = TempDir::new().expect("directory is created");
    let text = format!(
        "
name: control-1
failure_domain: fd-a
listen: 127.0.0.1:7100
peer_listen: 0.0.0.0:7101
cluster_secret: {SECRET}
data_dir: data
initial_members: {{control-2: 127.0.0.1:7201, control-3: 127.0.0.1:7201}}
operators: {{ann: {{token_sha256: {TOKEN_SHA256}}}, bob: {{token_sha256: {TOKEN_SHA256}}}}}
"
    );
    let error =
        ControlSettings::load(&write_settings(&directory, &text)).expect_err("settings have problems");
    let paths: Vec<&str> = error
        .violations
        .iter()
        .map(|violation| violation.path.as_str())
        .collect();
    let expected = [
        "advertise.peers",
        "initial_members",
        "initial_members.control-3",
        "operators.bob.token_sha256",
    ];
    assert_eq!(paths, expected);

    let agent = AgentSettings::builder("agent-1", "fd-a")
        .listen("0.0.0.0:7400".parse().expect("address is valid"))
        .control(&[address(7101)])
        .cluster_secret(SECRET)
        .target_token(SECRET)
        .build();
    assert_eq!(
        agent.expect_err("listen is not loopback").violations[0].path,
        "listen"
    );
}

/// Guards against duplicate keys, where one value would silently override the other, and against invalid YAML.
#[test]
fn load_rejects_unusable_yaml() {
    let directory = TempDir::new().expect("directory is created");
    for text in ["name: a\nname: b\n", "name: [", "- a\n", "\u{0}"] {
        let error = EntrySettings::load(&write_settings(&directory, text)).expect_err("text is not usable");
        assert_eq!(error.violations[0].path, "document", "{text}");
    }
}

/// Guards against a secret file that is read with its trailing newline, relative to the wrong directory, or in addition to
/// an inline secret.
#[test]
fn load_reads_secret_from_file() {
    let directory = TempDir::new().expect("directory is created");
    fs::write(directory.path().join("secret"), format!("{SECRET}\n")).expect("directory is writable");
    fs::write(directory.path().join("short"), "abc\n").expect("directory is writable");
    let base = "
name: agent-1
failure_domain: fd-a
listen: 127.0.0.1:7400
control: [127.0.0.1:7101]
cluster_secret_file: secret
";
    let load = |extra: &str| AgentSettings::load(&write_settings(&directory, &format!("{base}{extra}")));
    let settings = load("target_token_file: secret").expect("settings are valid");
    assert_eq!(settings.cluster_secret.expose(), SECRET);
    assert_eq!(settings.target_token.expose(), SECRET);
    let cases = [
        ("target_token_file: absent", "target_token_file"),
        ("target_token_file: short", "target_token_file"),
        ("target_token_file: 7", "target_token_file"),
        ("", "target_token"),
        (
            "target_token_file: secret\ntarget_token: 0123456789abcdef",
            "target_token",
        ),
    ];
    for (extra, path) in cases {
        let error = load(extra).expect_err("secret is not usable");
        assert!(
            error.violations.iter().all(|violation| violation.path == path),
            "{extra}: {error}"
        );
    }
}

/// Guards against limits that are ignored or accepted outside their range.
#[test]
fn builder_checks_limits() {
    let agent = || {
        AgentSettings::builder("agent-1", "fd-a")
            .listen(address(7400))
            .control(&[address(7101)])
            .cluster_secret("change-me-change-me")
            .target_token("change-me-target-token")
    };
    let limits = agent().memory_mb(120).max_fds(3_075).build().unwrap().limits;
    assert_eq!(
        (limits.memory_mb, limits.max_fds, limits.max_header_bytes),
        (120, 3_075, 16_384)
    );
    let error = agent()
        .memory_mb(1)
        .max_fds(1)
        .max_header_bytes(1)
        .build()
        .unwrap_err();
    let paths: Vec<_> = error
        .violations
        .iter()
        .map(|violation| violation.path.as_str())
        .collect();
    assert_eq!(
        paths,
        ["limits.memory_mb", "limits.max_fds", "limits.max_header_bytes"]
    );
}

/// Guards against builders whose settings differ from those loaded from an equivalent file.
#[test]
fn builder_equals_file() {
    let examples = repository_root().join("examples");
    let secret = "change-me-change-me";
    let token = "change-me-target-token";
    let control_addresses = [address(7101), address(7201), address(7301)];
    let entry = EntrySettings::builder("entry-1", "fd-a")
        .listen(address(7000))
        .peer_listen(address(7001))
        .control(&control_addresses)
        .cluster_secret(secret)
        .max_records(1_000_000)
        .retention(Duration::from_mins(10))
        .shutdown_grace(Duration::from_secs(30))
        .log_level(Severity::Info)
        .log_format(Format::Json)
        .build();
    assert_eq!(entry, EntrySettings::load(&examples.join("entry.yaml")));
    let agent = AgentSettings::builder("agent-1", "fd-a")
        .listen(address(7400))
        .control(&control_addresses)
        .cluster_secret(secret)
        .target_token(token)
        .build();
    assert_eq!(agent, AgentSettings::load(&examples.join("agent.yaml")));
    let control = ControlSettings::builder("control-1", "fd-a")
        .listen(address(7100))
        .peer_listen(address(7101))
        .cluster_secret(secret)
        .data_dir(&examples.join("data/control-1"))
        .initial_member("control-1", address(7101))
        .initial_member("control-2", address(7201))
        .initial_member("control-3", address(7301))
        .operator("ann", TOKEN_SHA256)
        .log_format(Format::Json)
        .build();
    assert_eq!(control, ControlSettings::load(&examples.join("control.yaml")));
    let target = TargetSettings::builder("target-1")
        .listen(address(7401))
        .agent(address(7400))
        .target_token(token)
        .pool("runners")
        .build();
    assert_eq!(target, TargetSettings::load(&examples.join("target.yaml")));
}

/// Guards against panics on arbitrary text in a settings file.
#[test]
fn load_never_panics() {
    fn property(text: String, key: u8) -> bool {
        let directory = TempDir::new().expect("directory is created");
        let names = [
            "name",
            "control",
            "register",
            "initial_members",
            "operators",
            "log",
            "cluster_secret_file",
        ];
        let keyed = format!("{}: {text}\n", names[usize::from(key) % names.len()]);
        [text, keyed].iter().all(|text| {
            let path = write_settings(&directory, text);
            Role::ALL
                .into_iter()
                .all(|role| Settings::load(role, &path).is_err())
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 0x5e77))
        .quickcheck(property as fn(String, u8) -> bool);
}
