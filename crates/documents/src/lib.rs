//! Transfer of versioned documents from control to its subscribers.
//!
//! Control announces versions, which are small, to all subscribers. A subscriber fetches the newest announced document
//! from one control process at a time, part by part, and requests a part only after it has received the one before. So
//! at most one part per subscriber is on its way, versions that are superseded during a transfer are skipped, and the
//! time until a version is in force depends on the size of two documents, however many changes there are.
//!
//! [`Publisher`] is the side of control and [`Fetcher`] that of a subscriber. Both are pure state machines.

mod document;
mod fetcher;
mod publisher;

pub use document::{Document, Part};
pub use fetcher::{FetchAction, Fetcher};
pub use publisher::Publisher;
