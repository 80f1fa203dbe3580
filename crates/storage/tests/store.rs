//! Recovery of the store from faults, on disk and in memory.

use bytes::Bytes;
use chestnutfork_storage::{
    Change, DiskFolder, FileStore, Folder, HardState, LogStore, MemoryFolder, Record, SnapshotRecord,
    StorageError, StoredState,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

type MemoryStore = FileStore<MemoryFolder>;

fn open(folder: MemoryFolder) -> Result<MemoryStore, StorageError> {
    FileStore::open_or_format(folder, 1)
}

fn record(index: u64, term: u64) -> Record {
    let payload = Bytes::from(index.to_string());
    Record { index, term, payload }
}

fn append(range: std::ops::RangeInclusive<u64>, term: u64) -> Change {
    Change::Append(range.map(|index| record(index, term)).collect())
}

fn hard_state(term: u64) -> HardState {
    HardState {
        term,
        vote: Some(term),
    }
}

fn snapshot(index: u64, term: u64) -> SnapshotRecord {
    SnapshotRecord {
        index,
        term,
        members: Bytes::from_static(b"members"),
        data: Bytes::from(vec![7; 40]),
    }
}

/// Applies a change to the model as documented for [`Change`].
fn apply_to_model(stored: &mut StoredState, change: &Change) {
    match change {
        Change::HardState(hard_state) => stored.hard_state = *hard_state,
        Change::Append(records) => {
            let first = records.first().map_or(u64::MAX, |record| record.index);
            stored.entries.retain(|entry| entry.index < first);
            stored.entries.extend(records.iter().cloned());
        }
        Change::Snapshot(snapshot) => {
            let matches = |entry: &Record| entry.index == snapshot.index && entry.term == snapshot.term;
            let keep = stored.entries.iter().any(matches);
            stored
                .entries
                .retain(|entry| keep && entry.index > snapshot.index);
            stored.snapshot = snapshot.clone();
        }
    }
}

/// Guards against the loss of synced state when a folder on disk is reopened.
#[test]
fn write_reopened_folder_is_unchanged() {
    let dir = tempfile::tempdir().unwrap();
    let mut store = FileStore::open_or_format(DiskFolder::open(dir.path()).unwrap(), 9).unwrap();
    let changes = [
        Change::HardState(hard_state(3)),
        append(1..=20, 3),
        Change::Snapshot(snapshot(10, 3)),
        append(15..=16, 4),
    ];
    store.write(&changes).unwrap();
    let before = store.load().unwrap();
    drop(store);
    let mut store = FileStore::open_or_format(DiskFolder::open(dir.path()).unwrap(), 5).unwrap();
    assert_eq!(store.replica_id(), 9);
    assert_eq!(store.load().unwrap(), before);
    let mut expected = StoredState::default();
    for change in &changes {
        apply_to_model(&mut expected, change);
    }
    assert_eq!(before, expected);
}

/// Guards against a separate sync for each record of a batch.
#[test]
fn write_batch_is_one_sync() {
    let mut store = open(MemoryFolder::default()).unwrap();
    let before = store.folder_mut().writes();
    let changes = [Change::HardState(hard_state(1)), append(1..=50, 1)];
    store.write(&changes).unwrap();
    assert_eq!(store.folder_mut().writes(), before + 1);
}

/// Guards against a torn write at the end of the log that prevents opening or is read as data.
#[test]
fn open_torn_tail_is_cut_off() {
    let mut store = open(MemoryFolder::default()).unwrap();
    store.write(&[append(1..=3, 1)]).unwrap();
    let mut folder = store.into_folder();
    let name = folder
        .list()
        .unwrap()
        .into_iter()
        .find(|name| name.starts_with("log"))
        .unwrap();
    let complete_len = folder.read(&name).unwrap().len() as u64;
    folder.write_at(&name, complete_len, b"CNF1 torn").unwrap();
    let mut store = open(folder).unwrap();
    assert_eq!(store.truncated_bytes(), 9);
    assert_eq!(store.load().unwrap().entries.len(), 3);
    assert_eq!(
        store.into_folder().read(&name).unwrap().len() as u64,
        complete_len
    );
}

/// Guards against corruption in the middle of the log that is treated as a torn write, which would drop synced entries.
#[test]
fn open_corrupt_middle_names_file_and_offset() {
    let mut store = open(MemoryFolder::default()).unwrap();
    for index in 1..=3 {
        store.write(&[append(index..=index, 1)]).unwrap();
    }
    let mut folder = store.into_folder();
    let name = folder
        .list()
        .unwrap()
        .into_iter()
        .find(|name| name.starts_with("log"))
        .unwrap();
    let len = folder.read(&name).unwrap().len();
    folder.corrupt(&name, len - 50);
    let err = open(folder).unwrap_err();
    assert!(matches!(&err, StorageError::Corrupt { file, offset } if *file == name && *offset > 0));
    assert!(err.to_string().contains("chestnutfork replace"));
}

/// Guards against undetected corruption of the files that are only replaced atomically.
#[test]
fn open_corrupt_single_file_is_refused() {
    let mut store = open(MemoryFolder::default()).unwrap();
    store
        .write(&[append(1..=3, 1), Change::Snapshot(snapshot(2, 1))])
        .unwrap();
    let folder = store.into_folder();
    for name in ["replica", "snapshot"] {
        let mut damaged = folder.clone();
        damaged.corrupt(name, 14);
        assert!(matches!(open(damaged), Err(StorageError::Corrupt { file, .. }) if file == name));
    }
}

/// Guards against a replica that restarts without its vote because a file is missing.
#[test]
fn open_incomplete_folder_is_refused() {
    let mut store = open(MemoryFolder::default()).unwrap();
    store.write(&[Change::HardState(hard_state(2))]).unwrap();
    let folder = store.into_folder();
    let mut without_log = folder.clone();
    without_log.remove("log-0000000000000001").unwrap();
    assert!(matches!(open(without_log), Err(StorageError::NoLog)));
    let mut without_identity = folder;
    without_identity.remove("replica").unwrap();
    assert!(matches!(open(without_identity), Err(StorageError::NoIdentity)));
}

/// Guards against a full disk that corrupts the log or prevents writes after space has been freed.
#[test]
fn write_full_disk_keeps_log_usable() {
    let mut store = open(MemoryFolder::default()).unwrap();
    store.write(&[append(1..=3, 1)]).unwrap();
    let before = store.load().unwrap();
    let size = store.folder_mut().size();
    store.folder_mut().set_capacity(Some(size + 20));
    let err = store.write(&[append(4..=9, 1)]).unwrap_err();
    assert!(matches!(err, StorageError::Full { .. }));
    assert!(store.repair().is_err());
    assert_eq!(store.load().unwrap(), before);
    store.folder_mut().set_capacity(None);
    store.write(&[append(4..=9, 1)]).unwrap();
    let mut reopened = open(store.into_folder()).unwrap();
    assert_eq!(reopened.load().unwrap().entries.len(), 9);
}

/// Guards against conflicting log entries that reappear after a snapshot has been installed.
#[test]
fn write_installed_snapshot_drops_conflicting_log() {
    let mut store = open(MemoryFolder::default()).unwrap();
    store.write(&[append(1..=9, 1)]).unwrap();
    // The space suffices for the snapshot but not for the new log file.
    let size = store.folder_mut().size();
    store.folder_mut().set_capacity(Some(size + 110));
    assert!(store.write(&[Change::Snapshot(snapshot(5, 2))]).is_err());
    store.folder_mut().set_capacity(None);
    store.write(&[append(6..=6, 2)]).unwrap();
    let stored = open(store.into_folder()).unwrap().load().unwrap();
    assert_eq!(stored.snapshot.index, 5);
    assert_eq!(stored.entries, [record(6, 2)]);
}

/// Step of the randomised test.
#[derive(Clone, Debug)]
enum Step {
    Vote,
    Append { back: u8, count: u8 },
    Compact { back: u8 },
    Install { ahead: u8 },
    Tear { after: u8 },
    Reopen,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 8 {
            0 => Self::Vote,
            1..=3 => Self::Append {
                back: a % 4,
                count: b % 5,
            },
            4 => Self::Compact { back: a % 4 },
            5 => Self::Install { ahead: a % 9 },
            6 => Self::Tear { after: a },
            _ => Self::Reopen,
        }
    }
}

fn change(step: &Step, stored: &StoredState, term: u64) -> Option<Change> {
    let base = stored.snapshot.index;
    let last = base + stored.entries.len() as u64;
    match step {
        Step::Vote => Some(Change::HardState(hard_state(term))),
        Step::Append { back, count } => {
            let first = (last + 1).saturating_sub(u64::from(*back)).max(base + 1);
            Some(append(first..=first + u64::from(*count), term))
        }
        Step::Compact { back } => {
            let index = last.checked_sub(u64::from(*back)).filter(|index| *index > base)?;
            let entry = stored.entries.iter().find(|entry| entry.index == index)?;
            Some(Change::Snapshot(snapshot(index, entry.term)))
        }
        Step::Install { ahead } => Some(Change::Snapshot(snapshot(base + 1 + u64::from(*ahead), term))),
        Step::Tear { .. } | Step::Reopen => None,
    }
}

/// Runs steps on the store and the model; a failed write must take effect completely or not at all.
#[expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes its arguments by value"
)]
fn store_matches_model(steps: Vec<Step>) -> bool {
    let mut store = open(MemoryFolder::default()).unwrap();
    let mut stored = StoredState::default();
    for (step, term) in steps.iter().zip(1..) {
        match step {
            Step::Tear { after } => store.folder_mut().tear_next_write(usize::from(*after)),
            Step::Reopen => store = open(store.into_folder()).unwrap(),
            _ => {}
        }
        let Some(change) = change(step, &stored, term) else {
            continue;
        };
        let mut after = stored.clone();
        apply_to_model(&mut after, &change);
        let written = store.write(&[change]).is_ok();
        let found = store.load().unwrap();
        let expected = found == after || (!written && found == stored);
        if !expected {
            return false;
        }
        stored = found;
    }
    let mut reopened = open(store.into_folder()).unwrap();
    let found = reopened.load().unwrap();
    found == stored
}

/// Guards against sequences of changes, failed writes and restarts that lose state or add state that was not written.
#[test]
fn write_random_faults_match_model() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(2000)
        .quickcheck(store_matches_model as fn(Vec<Step>) -> bool);
}
