//! Durable storage of the log, the vote and the snapshot of a Raft replica.
//!
//! [`FileStore`] stores the state of one replica in one folder: `replica` (its identity), `snapshot` (the latest
//! snapshot with the member set) and `log-N` (term, vote and entries). Every write is synced before it returns.
//! Files are accessed through the trait [`Folder`], so that tests run the same code on [`MemoryFolder`], which can
//! inject faults.

mod error;
mod folder;
mod frame;
mod memory;
mod record;
mod store;

pub use error::StorageError;
pub use folder::{DiskFolder, Folder};
pub use memory::MemoryFolder;
pub use record::{Change, HardState, Record, SnapshotRecord, StoredState};
pub use store::{FileStore, LogStore};
