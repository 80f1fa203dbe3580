//! Transfer of versioned documents from control to its subscribers.
//!
//! Control announces versions, which are small, to all subscribers. A subscriber fetches the newest announced document
//! from one control process at a time, and requests the next one after it has received the former. So at most one
//! document per subscriber is on its way, versions that are superseded during a transfer are skipped, and the time until
//! a version is in force depends on the size of two documents, however many changes there are. A document is sent in
//! parts, so that a large one does not delay the heartbeats of its link.
//!
//! [`Publisher`] and [`parts`] are the side of control, [`Fetcher`] is that of a subscriber. Both are free of I/O.

mod document;
mod fetcher;
mod publisher;

pub use document::{Document, Part};
pub use fetcher::{FetchAction, Fetcher};
pub use publisher::{Publisher, parts};
