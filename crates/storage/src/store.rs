//! Storage of the durable state of a replica in the files of a folder.

use chestnutfork_types::ReplicaId;

use crate::error::StorageError;
use crate::folder::Folder;
use crate::frame;
use crate::record::{self, Change, HardState, LogRecord, Record, SnapshotRecord, StoredState};

const IDENTITY_FILE: &str = "replica";
const SNAPSHOT_FILE: &str = "snapshot";
const LOG_PREFIX: &str = "log-";

/// Storage of the durable state of a replica.
pub trait LogStore {
    /// Returns the replica ID that was written when the folder was formatted.
    fn replica_id(&self) -> ReplicaId;

    /// Reads the durable state.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Corrupt`] or [`StorageError::Gap`] if the files are corrupt.
    fn load(&mut self) -> Result<StoredState, StorageError>;

    /// Writes changes in order and syncs them; consecutive changes that are not snapshots share one sync.
    ///
    /// # Errors
    ///
    /// After an error, a prefix of the changes may be durable; [`LogStore::load`] returns the actual state. The next
    /// write repairs the store first.
    fn write(&mut self, changes: &[Change]) -> Result<(), StorageError>;

    /// Makes the store writable after an error by rewriting the log into a new file.
    ///
    /// # Errors
    ///
    /// Returns the same kind of error as long as its cause persists.
    fn repair(&mut self) -> Result<(), StorageError>;
}

/// [`LogStore`] in the files of a folder.
#[derive(Debug)]
pub struct FileStore<F> {
    folder: F,
    replica_id: ReplicaId,
    /// Sequence number of the current log file.
    sequence: u64,
    /// Offset of the end of the last synced frame of the log file.
    end: u64,
    /// Length of the torn write that was truncated when the folder was opened.
    truncated_bytes: u64,
    /// Whether the last write failed, so that the content at the end of the log file is unknown.
    failed: bool,
}

impl<F: Folder> FileStore<F> {
    /// Opens a folder; formats it with the given replica ID if it is empty.
    ///
    /// # Errors
    ///
    /// Returns errors of the operating system, and [`StorageError::Corrupt`], [`StorageError::Gap`],
    /// [`StorageError::NoIdentity`] or [`StorageError::NoLog`] if files are corrupt or missing.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_storage::{FileStore, LogStore, MemoryFolder};
    ///
    /// let store = FileStore::open_or_format(MemoryFolder::default(), 42)?;
    /// let reopened = FileStore::open_or_format(store.into_folder(), 7)?;
    /// assert_eq!(reopened.replica_id(), 42);
    /// # Ok::<(), chestnutfork_storage::StorageError>(())
    /// ```
    pub fn open_or_format(folder: F, new_id: ReplicaId) -> Result<Self, StorageError> {
        let mut store = Self {
            folder,
            replica_id: new_id,
            sequence: 0,
            end: 0,
            truncated_bytes: 0,
            failed: false,
        };
        let names = store.list()?;
        if names.iter().any(|name| name == IDENTITY_FILE) {
            store.replica_id = store.read_identity()?;
            store.open_log(&names)?;
        } else {
            store.format(&names)?;
        }
        Ok(store)
    }

    /// Returns the name of the current log file.
    #[must_use]
    pub fn log_file_name(&self) -> String {
        log_file_name(self.sequence)
    }

    /// Returns the length of the torn write that was truncated when the folder was opened, in bytes.
    #[must_use]
    pub fn truncated_bytes(&self) -> u64 {
        self.truncated_bytes
    }

    /// Consumes the store and returns its folder.
    #[must_use]
    pub fn into_folder(self) -> F {
        self.folder
    }

    /// Returns the folder, so that tests can inject faults.
    pub fn folder_mut(&mut self) -> &mut F {
        &mut self.folder
    }

    fn list(&self) -> Result<Vec<String>, StorageError> {
        let names = self.folder.list();
        names.map_err(|source| StorageError::from_io(".", source))
    }

    /// Writes an empty log, then the identity, so that an identity without a log always indicates a lost vote.
    fn format(&mut self, names: &[String]) -> Result<(), StorageError> {
        match names {
            [] => self.start_log(&StoredState::default())?,
            // An earlier attempt to format was interrupted between the two files.
            [name] if *name == log_file_name(1) => self.open_log(names)?,
            _ => return Err(StorageError::NoIdentity),
        }
        if self.read_stored()? != StoredState::default() {
            return Err(StorageError::NoIdentity);
        }
        self.write_identity()
    }

    fn read_identity(&self) -> Result<ReplicaId, StorageError> {
        let content = self.read_single_frame(IDENTITY_FILE)?;
        let bytes = <[u8; 8]>::try_from(content.as_slice()).map_err(|_| corrupt(IDENTITY_FILE, 0))?;
        Ok(ReplicaId::from_le_bytes(bytes))
    }

    fn write_identity(&mut self) -> Result<(), StorageError> {
        let id = self.replica_id.to_le_bytes();
        self.replace_single_frame(IDENTITY_FILE, &id)
    }

    /// Reads a file that consists of one frame.
    fn read_single_frame(&self, name: &str) -> Result<Vec<u8>, StorageError> {
        let file = self.read(name)?;
        let scan = frame::scan(&file);
        let complete = scan.end == file.len() as u64;
        match scan.frames.as_slice() {
            [(_, content)] if complete => Ok(content.to_vec()),
            _ => Err(corrupt(name, scan.end)),
        }
    }

    fn replace_single_frame(&mut self, name: &str, content: &[u8]) -> Result<(), StorageError> {
        let mut buf = Vec::with_capacity(content.len() + 16);
        frame::encode(0, content, &mut buf);
        let replaced = self.folder.replace(name, &buf);
        replaced.map_err(|source| StorageError::from_io(name, source))
    }

    fn read(&self, name: &str) -> Result<Vec<u8>, StorageError> {
        let file = self.folder.read(name);
        file.map_err(|source| StorageError::from_io(name, source))
    }

    /// Opens the newest log file, truncates a torn write at its end, and removes older log files.
    fn open_log(&mut self, names: &[String]) -> Result<(), StorageError> {
        let sequences = names.iter().filter_map(|name| log_sequence(name));
        self.sequence = sequences.max().ok_or(StorageError::NoLog)?;
        let name = log_file_name(self.sequence);
        let file = self.read(&name)?;
        let scan = frame::scan(&file);
        if scan.corrupt {
            return Err(corrupt(&name, scan.end));
        }
        self.end = scan.end;
        self.truncated_bytes = file.len() as u64 - self.end;
        if self.truncated_bytes > 0 {
            let truncated = self.folder.truncate(&name, self.end);
            truncated.map_err(|source| StorageError::from_io(&name, source))?;
        }
        self.read_stored()?;
        self.remove_old_logs();
        Ok(())
    }

    fn read_stored(&self) -> Result<StoredState, StorageError> {
        let snapshot = self.read_snapshot()?;
        let name = log_file_name(self.sequence);
        let mut file = self.read(&name)?;
        file.truncate(usize::try_from(self.end).unwrap_or(usize::MAX));
        let scan = frame::scan(&file);
        if scan.end < self.end {
            return Err(corrupt(&name, scan.end));
        }
        let mut replay = Replay::default();
        for (offset, content) in scan.frames {
            let records = record::decode_log(content).ok_or_else(|| corrupt(&name, offset))?;
            for record in records {
                replay.apply(&name, record)?;
            }
        }
        replay.finish(&name, snapshot)
    }

    fn read_snapshot(&self) -> Result<SnapshotRecord, StorageError> {
        let exists = self.list()?.iter().any(|name| name == SNAPSHOT_FILE);
        if !exists {
            return Ok(SnapshotRecord::default());
        }
        let content = self.read_single_frame(SNAPSHOT_FILE)?;
        record::decode_snapshot(&content).ok_or_else(|| corrupt(SNAPSHOT_FILE, 0))
    }

    /// Writes the hard state and the entries to a new log file, switches to it, and removes the old ones.
    fn start_log(&mut self, stored: &StoredState) -> Result<(), StorageError> {
        let mut content = Vec::new();
        record::encode_hard_state(stored.hard_state, &mut content);
        for entry in &stored.entries {
            record::encode_entry(entry, &mut content);
        }
        let mut buf = Vec::with_capacity(content.len() + 16);
        frame::encode(0, &content, &mut buf);
        let sequence = self.sequence + 1;
        let name = log_file_name(sequence);
        let replaced = self.folder.replace(&name, &buf);
        replaced.map_err(|source| StorageError::from_io(&name, source))?;
        self.sequence = sequence;
        self.end = buf.len() as u64;
        self.failed = false;
        self.remove_old_logs();
        Ok(())
    }

    /// Removes old log files; one that cannot be removed is removed when the folder is next opened.
    fn remove_old_logs(&mut self) {
        let names = self.list().unwrap_or_default();
        for name in names {
            if log_sequence(&name).is_some_and(|sequence| sequence < self.sequence) {
                let _ = self.folder.remove(&name);
            }
        }
    }

    /// Writes one frame to the log file and syncs it.
    fn append(&mut self, content: &[u8]) -> Result<(), StorageError> {
        if content.is_empty() {
            return Ok(());
        }
        let name = log_file_name(self.sequence);
        let mut buf = Vec::with_capacity(content.len() + 16);
        frame::encode(self.end, content, &mut buf);
        if let Err(source) = self.folder.write_at(&name, self.end, &buf) {
            // A partly written frame must not precede later frames.
            let _ = self.folder.truncate(&name, self.end);
            return Err(StorageError::from_io(&name, source));
        }
        self.end += buf.len() as u64;
        Ok(())
    }

    /// Replaces the snapshot, then starts a new log file with only the entries after it.
    fn save_snapshot(&mut self, snapshot: &SnapshotRecord) -> Result<(), StorageError> {
        let content = record::encode_snapshot(snapshot);
        self.replace_single_frame(SNAPSHOT_FILE, &content)?;
        let stored = self.read_stored()?;
        self.start_log(&stored)
    }

    fn write_all(&mut self, changes: &[Change]) -> Result<(), StorageError> {
        let mut pending = Vec::new();
        for change in changes {
            match change {
                Change::HardState(hard_state) => record::encode_hard_state(*hard_state, &mut pending),
                Change::Append(entries) => {
                    for entry in entries {
                        record::encode_entry(entry, &mut pending);
                    }
                }
                Change::Snapshot(snapshot) => {
                    self.append(&std::mem::take(&mut pending))?;
                    self.save_snapshot(snapshot)?;
                }
            }
        }
        self.append(&pending)
    }
}

impl<F: Folder> LogStore for FileStore<F> {
    fn replica_id(&self) -> ReplicaId {
        self.replica_id
    }

    fn load(&mut self) -> Result<StoredState, StorageError> {
        self.read_stored()
    }

    fn write(&mut self, changes: &[Change]) -> Result<(), StorageError> {
        if self.failed {
            self.repair()?;
        }
        let written = self.write_all(changes);
        self.failed = written.is_err();
        written
    }

    fn repair(&mut self) -> Result<(), StorageError> {
        // After a failed sync, the content at the end of the file is unknown, so a new file replaces it.
        let stored = self.read_stored()?;
        self.start_log(&stored)
    }
}

/// State that is rebuilt by replaying the records of the log.
#[derive(Debug, Default)]
struct Replay {
    hard_state: HardState,
    entries: Vec<Record>,
}

impl Replay {
    fn apply(&mut self, file: &str, record: LogRecord) -> Result<(), StorageError> {
        match record {
            LogRecord::HardState(hard_state) => self.hard_state = hard_state,
            LogRecord::Entry(entry) => {
                let keep = self
                    .entries
                    .iter()
                    .take_while(|old| old.index < entry.index)
                    .count();
                self.entries.truncate(keep);
                if let Some(last) = self.entries.last() {
                    check_contiguous(file, last.index + 1, entry.index)?;
                }
                self.entries.push(entry);
            }
        }
        Ok(())
    }

    /// Drops the entries that the snapshot covers, or all entries if the snapshot conflicts with the log.
    fn finish(mut self, file: &str, snapshot: SnapshotRecord) -> Result<StoredState, StorageError> {
        let index = snapshot.index;
        let first = self.entries.first().map_or(index + 1, |entry| entry.index);
        if first <= index {
            let matches = |entry: &Record| entry.index == index && entry.term == snapshot.term;
            if self.entries.iter().any(matches) {
                self.entries.retain(|entry| entry.index > index);
            } else {
                self.entries.clear();
            }
        } else {
            check_contiguous(file, index + 1, first)?;
        }
        Ok(StoredState {
            hard_state: self.hard_state,
            snapshot,
            entries: self.entries,
        })
    }
}

fn check_contiguous(file: &str, expected: u64, got: u64) -> Result<(), StorageError> {
    if expected == got {
        return Ok(());
    }
    let file = file.to_owned();
    Err(StorageError::Gap { file, expected, got })
}

fn corrupt(file: &str, offset: u64) -> StorageError {
    let file = file.to_owned();
    StorageError::Corrupt { file, offset }
}

fn log_file_name(sequence: u64) -> String {
    format!("{LOG_PREFIX}{sequence:016x}")
}

fn log_sequence(name: &str) -> Option<u64> {
    let sequence = name.strip_prefix(LOG_PREFIX)?;
    u64::from_str_radix(sequence, 16).ok()
}
