//! Short seeded runs of the fault-injection soak against the binary.

use std::path::PathBuf;
use std::time::Duration;

use chestnutfork_soak::{Size, SoakConfig, soak};
use tempfile::tempdir;

/// Runs one seed with two entries and four agents, and checks that no guarantee was violated.
async fn run_soak(seed: u64, controls: usize, length: Duration, network: u8) {
    let folder = tempdir().expect("a folder");
    let cfg = SoakConfig {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_chestnutfork")),
        seed,
        size: Size {
            controls,
            entries: 2,
            agents: 4,
        },
        length,
        network,
        folder: folder.path().to_owned(),
    };
    let report = soak(&cfg).await.expect("the soak runs");
    assert_eq!(report.violations, Vec::<String>::new(), "{:?}", report.counts);
    assert!(report.counts.completed > 100, "{:?}", report.counts);
}

/// Guards against violations that occur only when the roles are separate processes whose connections and machines fail.
#[tokio::test(flavor = "multi_thread")]
async fn soak_finds_no_violation() {
    run_soak(1, 3, Duration::from_secs(8), 120).await;
}

/// Guards against reporting a forced exit as a crash. With this seed an entry gets a second stop request while it drains
/// and, as intended, exits at once with code 1; the soak must distinguish that from a process that ends by itself.
#[tokio::test(flavor = "multi_thread")]
async fn soak_allows_second_stop_request() {
    run_soak(1_009, 5, Duration::from_secs(12), 121).await;
}
