//! Storage errors. Each message names the file and the remedy.

use std::io;
use std::path::PathBuf;

use chestnutfork_types::LogIndex;
use thiserror::Error;

/// Failure to open, read or write the files of a replica.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The disk is full; [`LogStore::write`](crate::LogStore::write) describes the state after a failed write.
    #[error("no space left to write `{file}`; free space on the disk of the data folder")]
    Full {
        /// File that was written.
        file: String,
    },
    /// Another error of the operating system; the state after a failed write is the same as for a full disk.
    #[error("cannot access `{file}`: {source}; check the disk and the permissions of the data folder")]
    Io {
        /// File that was accessed.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A record is corrupt, and it is not an incomplete write at the end of the log.
    #[error(
        "`{file}` is corrupt at offset {offset}; keep a copy of the folder, format a new one and run `chestnutfork replace`"
    )]
    Corrupt {
        /// File with the record.
        file: String,
        /// Offset of the record in bytes.
        offset: u64,
    },
    /// The log has a gap or does not follow the snapshot.
    #[error(
        "`{file}` has entry {got} where entry {expected} is expected; keep a copy of the folder, format a new one and run `chestnutfork replace`"
    )]
    Gap {
        /// Log file.
        file: String,
        /// Index that follows the previous entry or the snapshot.
        expected: LogIndex,
        /// Index of the entry that was found instead.
        got: LogIndex,
    },
    /// The folder has data but no identity file.
    #[error("the data folder has a log but no file `replica`; restore the file or use an empty folder")]
    NoIdentity,
    /// The folder has an identity file but no log, so the vote of the replica is lost.
    #[error("the data folder has no log; format a new one and run `chestnutfork replace`")]
    NoLog,
    /// Another process uses the folder.
    #[error("data folder `{}` is in use; stop the other process or choose another folder", folder.display())]
    Locked {
        /// Path of the locked folder.
        folder: PathBuf,
    },
}

impl StorageError {
    /// Converts an error of the operating system; a full disk or exceeded quota has a separate variant.
    pub(crate) fn from_io(file: &str, source: io::Error) -> Self {
        let file = file.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full { file },
            _ => Self::Io { file, source },
        }
    }
}
