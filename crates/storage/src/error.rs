//! Errors of the storage, with the file and the remedy.

use std::io;
use std::path::PathBuf;

use chestnutfork_types::LogIndex;
use thiserror::Error;

/// Error of the storage.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The disk is full; nothing of the write took effect.
    #[error("no space left to write `{file}`; free space on the disk of the data folder")]
    Full {
        /// File that was written.
        file: String,
    },
    /// Another error of the operating system; nothing of the write took effect.
    #[error("cannot access `{file}`: {source}; check the disk and the rights of the data folder")]
    Io {
        /// File that was accessed.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A record in front of valid ones is damaged.
    #[error(
        "`{file}` is corrupt at offset {offset}; keep a copy of the folder, format a new one and run `chestnutfork replace`"
    )]
    Corrupt {
        /// File with the record.
        file: String,
        /// Position of the record, in bytes.
        offset: u64,
    },
    /// The log does not follow the snapshot.
    #[error(
        "`{file}` has entry {got} where {expected} follows; keep a copy of the folder, format a new one and run `chestnutfork replace`"
    )]
    Gap {
        /// File with the log.
        file: String,
        /// Position that should follow.
        expected: LogIndex,
        /// Position found.
        got: LogIndex,
    },
    /// The folder has data but no identity.
    #[error("the data folder has a log but no file `replica`; restore the file or use an empty folder")]
    NoIdentity,
    /// The folder has an identity but no log, so its vote is lost.
    #[error("the data folder has no log; format a new one and run `chestnutfork replace`")]
    NoLog,
    /// Another process uses the folder.
    #[error("data folder `{}` is in use; stop the other process or choose another folder", folder.display())]
    Locked {
        /// The folder.
        folder: PathBuf,
    },
}

impl StorageError {
    /// Sorts an error of the operating system by its remedy.
    pub(crate) fn from_io(file: &str, source: io::Error) -> Self {
        let file = file.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full { file },
            _ => Self::Io { file, source },
        }
    }
}
