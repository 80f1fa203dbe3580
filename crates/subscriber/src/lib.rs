//! Subscription of an entry or agent to control: configuration, confirmations, the lease and the view of entries.
//!
//! [`SubscriberCore`] decides what to send, when to move to another control process, and what is in force; it has no
//! sockets. [`subscribe`] runs it in an actor that owns the link to control and tells a [`SubscriptionHandler`].

mod actor;
mod core;
mod event;
mod links;

pub use actor::{
    Subscription, SubscriptionConfig, SubscriptionConfigBuilder, SubscriptionHandler, subscribe,
};
pub use core::SubscriberCore;
pub use event::{Action, ControlView, EntryInfo, Event};
