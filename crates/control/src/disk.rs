//! Thread that owns the data folder, because a synced write takes several milliseconds.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use chestnutfork_storage::{Change, LogStore, StorageError, Stored};

/// Work for the thread.
#[derive(Debug)]
pub(crate) enum DiskRequest {
    /// Makes changes durable.
    Write(Vec<Change>),
    /// Looks whether writes work again.
    Repair,
}

/// Answer of the thread.
#[derive(Debug)]
pub(crate) enum DiskReply {
    /// The changes are durable.
    Written,
    /// The write failed; this is what is durable.
    Failed {
        error: StorageError,
        stored: Result<Stored, StorageError>,
    },
    /// Writes work again.
    Repaired,
    /// Writes still fail.
    RepairFailed,
}

/// Starts the thread; it ends when the sender is dropped.
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
