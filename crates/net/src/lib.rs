//! Authenticated WebSocket links between processes, and HTTP for callers and targets.
//!
//! A link is a pair of tasks that own one WebSocket connection. It authenticates both sides, batches messages into
//! frames, sends heartbeats and detects a peer that has stopped responding. Roles receive link events through a
//! [`LinkHandler`] and send messages through a [`LinkSender`]; they never access a socket or an encoding buffer.

mod budget;
mod dial;
mod handshake;
mod http;
mod identity;
mod link;
mod listen;
mod metrics;
mod registry;
mod staggered;
mod timing;
mod wakeup;

pub use budget::{HeldMemory, ProcessLimits, RequestBudget, RequestMemory};
pub use dial::{DialConfig, DialConfigBuilder, DialTemplate, Dialer, dial};
pub use http::{
    Body, HttpClient, HttpHandler, HttpLimits, HttpServer, HttpServerBuilder, bearer_token, header_token,
    http_client, json_response,
};
pub use identity::{ClusterSecret, Identity, random_process_id};
pub use link::{LinkError, LinkHandler, LinkId, LinkSender, Session};
pub use listen::{Listener, listen};
pub use metrics::{Metrics, MetricsError};
pub use registry::MetricsRegistry;
pub use timing::LinkTiming;
pub use wakeup::{Wakeup, now};
