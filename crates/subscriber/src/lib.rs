//! Subscription of an entry or agent to control: configuration, confirmations, lease and view of the entries.
//!
//! [`SubscriberCore`] decides what to send, when to switch to another control process, and which configuration is in
//! force; it does no I/O. [`subscribe`] runs it in an actor that owns the link to control and notifies a
//! [`SubscriptionHandler`].

mod actor;
mod core;
mod event;
mod links;

pub use actor::{
    Subscription, SubscriptionConfig, SubscriptionConfigBuilder, SubscriptionHandler, subscribe,
};
pub use core::SubscriberCore;
pub use event::{Action, ControlView, EntryInfo, Event};
