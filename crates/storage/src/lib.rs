//! Durable log, vote and snapshot files.
//!
//! [`FileStore`] keeps the state of one replica in one folder: `replica` (its identity), `snapshot` (the latest
//! snapshot with the member set) and `log-N` (term, vote and entries). Every write is synced before it returns.
//! The files are reached through the narrow trait [`Folder`], so that tests and the quickstart run the same code
//! on [`MemoryFolder`], with injected faults.

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
