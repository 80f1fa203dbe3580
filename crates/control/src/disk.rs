//! Thread that owns the data folder. A synced write blocks for several milliseconds, which would stall an async task.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use chestnutfork_storage::{Change, LogStore, StorageError, StoredState};

/// Request to the disk thread.
#[derive(Debug)]
pub(crate) enum DiskRequest {
    /// Makes changes durable.
    Write(Vec<Change>),
    /// Attempts to make the store writable again after a failed write.
    Repair,
}

/// Reply of the disk thread.
#[derive(Debug)]
pub(crate) enum DiskReply {
    /// The changes are durable.
    Written,
    /// The write failed; `stored` is the durable state.
    Failed {
        error: StorageError,
        stored: Result<StoredState, StorageError>,
    },
    /// The store accepts writes again.
    Repaired,
    /// The store still rejects writes.
    RepairFailed,
}

/// Starts the thread, which runs until the returned sender is dropped.
pub(crate) fn start<S>(store: S, on_reply: impl Fn(DiskReply) + Send + 'static) -> Sender<DiskRequest>
where
    S: LogStore + Send + 'static,
{
    let (tx, rx) = channel();
    thread::spawn(move || run(store, &rx, &on_reply));
    tx
}

fn run<S: LogStore>(mut store: S, requests: &Receiver<DiskRequest>, on_reply: &impl Fn(DiskReply)) {
    while let Ok(request) = requests.recv() {
        let reply = match request {
            DiskRequest::Write(changes) => match store.write(&changes) {
                Ok(()) => DiskReply::Written,
                Err(error) => {
                    let stored = store.load();
                    DiskReply::Failed { error, stored }
                }
            },
            DiskRequest::Repair => match store.repair() {
                Ok(()) => DiskReply::Repaired,
                Err(_) => DiskReply::RepairFailed,
            },
        };
        on_reply(reply);
    }
}
