//! Short seeded run of the fault soak against the binary.

use std::path::PathBuf;
use std::time::Duration;

use chestnutfork_soak::{Size, SoakConfig, soak};
use tempfile::tempdir;

/// Guards against promises that do not hold once the roles are processes whose connections and machines fail.
#[tokio::test(flavor = "multi_thread")]
async fn soak_keeps_promises() {
    let folder = tempdir().expect("a folder");
    let cfg = SoakConfig {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_chestnutfork")),
        seed: 1,
        size: Size {
            controls: 3,
            entries: 2,
            agents: 4,
        },
        length: Duration::from_secs(8),
        network: 120,
        folder: folder.path().to_owned(),
    };
    let report = soak(&cfg).await.expect("the soak runs");
    assert_eq!(report.violations, Vec::<String>::new(), "{:?}", report.counts);
    assert!(report.counts.completed > 100, "{:?}", report.counts);
}
