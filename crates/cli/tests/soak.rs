//! Short seeded runs of the fault-injection soak against the binary.

use std::path::PathBuf;
use std::time::Duration;

use chestnutfork_soak::{Size, SoakConfig, soak};
use tempfile::tempdir;
use tokio::task::JoinSet;

/// Seeds of [`run_seeds`] that run at the same time.
const PARALLEL_SEEDS: usize = 3;

/// Runs one seed and checks that no guarantee was violated.
async fn run_soak(seed: u64, size: Size, length: Duration, network: u8) {
    let folder = tempdir().expect("a folder");
    let cfg = SoakConfig {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_chestnutfork")),
        seed,
        size,
        length,
        network,
        folder: folder.path().to_owned(),
    };
    let report = soak(&cfg).await.expect("the soak runs");
    let counts = report.counts;
    assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}: {counts:?}");
    assert!(counts.completed > 100, "seed {seed}: {counts:?}");
}

/// Runs seeds as `chestnutfork-soak --seed` does, a few at a time on networks from the given one on.
async fn run_seeds(seeds: &[u64], network: u8) {
    for group in seeds.chunks(PARALLEL_SEEDS) {
        let networks = network..;
        let mut running = JoinSet::new();
        for (&seed, network) in group.iter().zip(networks) {
            running.spawn(run_soak(seed, Size::draw(seed), Duration::from_secs(12), network));
        }
        running.join_all().await;
    }
}

/// Returns the processes of a small run.
fn small(controls: usize) -> Size {
    Size {
        controls,
        entries: 2,
        agents: 4,
    }
}

/// Guards against violations that occur only when the roles are separate processes whose connections and machines fail.
#[tokio::test(flavor = "multi_thread")]
async fn soak_finds_no_violation() {
    run_soak(1, small(3), Duration::from_secs(8), 120).await;
}

/// Guards against reporting a forced exit as a crash. With this seed an entry gets a second stop request while it drains
/// and, as intended, exits at once with code 1; the soak must distinguish that from a process that ends by itself.
#[tokio::test(flavor = "multi_thread")]
async fn soak_allows_second_stop_request() {
    run_soak(1_009, small(5), Duration::from_secs(12), 121).await;
}

/// Guards against reporting runs of a restarted worker's new incarnation as lost at its first announcement, and placing
/// their tasks again while they go on.
#[tokio::test(flavor = "multi_thread")]
async fn soak_ends_no_run_of_new_incarnation() {
    let seeds = [
        22_002, 22_003, 22_004, 22_008, 22_009, 22_012, 22_013, 22_200, 22_206, 22_207,
    ];
    run_seeds(&seeds, 122).await;
}

/// Guards against two runs of a task when a start that got no answer and was stopped is carried out late by a new
/// incarnation of the same name, which knows nothing of the stop.
#[tokio::test(flavor = "multi_thread")]
async fn soak_starts_no_stopped_run_after_restart() {
    run_seeds(&[22_202, 22_204], 125).await;
}

/// Guards against starting a task again and again on new workers although it crashes each of them: runs that were lost
/// did not count against the task.
#[tokio::test(flavor = "multi_thread")]
async fn soak_limits_starts_of_crashing_task() {
    run_seeds(&[22_100, 22_201, 22_203, 22_205], 128).await;
}
