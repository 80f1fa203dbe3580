//! Responses to requests whose head is not complete. hyper closes such a connection without a response.

use std::time::Duration;

use chestnutfork_wire::RefusalBody;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::budget::EVICTION_TIMEOUT;

/// Message of a refusal because of the budget.
pub(super) const OVERLOADED: &str = "the server has no memory for this request; send it again later";
/// Part of the connections of a server that may be refused at the same time, as a divisor.
const REFUSED_SHARE: usize = 16;
/// Time for which a refused caller is read, so that it receives the response instead of a reset.
const LINGER: Duration = Duration::from_millis(100);

/// Response that refuses a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    status: &'static str,
    code: &'static str,
    message: &'static str,
}

impl Refusal {
    pub(super) const fn overloaded() -> Self {
        Self {
            status: "503 Service Unavailable\r\nretry-after: 1",
            code: "overloaded",
            message: OVERLOADED,
        }
    }

    pub(super) const fn header_timeout() -> Self {
        Self {
            status: "408 Request Timeout",
            code: "header_timeout",
            message: "the header did not arrive in time; send the request again",
        }
    }

    /// Sends the response and ends the direction to the caller.
    pub(super) async fn send(self, stream: &mut TcpStream) {
        let body = RefusalBody::not_run(self.code, self.message);
        let body = serde_json::to_string(&body).unwrap_or_default();
        let response = format!(
            "HTTP/1.1 {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
            self.status,
            body.len()
        );
        // Errors are ignored, because the caller may have disconnected. A caller that does not read earlier responses
        // gets none.
        let sent = async {
            let _ = stream.write_all(response.as_bytes()).await;
            let _ = stream.shutdown().await;
        };
        let _ = timeout(EVICTION_TIMEOUT, sent).await;
    }
}

/// Connections that are refused because the budget has none left.
#[derive(Debug)]
pub(super) struct RefusedConnections {
    running: JoinSet<()>,
    max: usize,
}

impl RefusedConnections {
    pub(super) fn new(max_connections: usize) -> Self {
        Self {
            running: JoinSet::new(),
            max: (max_connections / REFUSED_SHARE).max(1),
        }
    }

    /// Refuses a connection with a response, or closes it if too many are being refused.
    pub(super) fn refuse(&mut self, mut stream: TcpStream) {
        while self.running.try_join_next().is_some() {}
        if self.running.len() >= self.max {
            return;
        }
        self.running.spawn(async move {
            Refusal::overloaded().send(&mut stream).await;
            // Closing a connection with unread bytes resets it, and the caller may then lose the response.
            let mut buf = [0; 1_024];
            let read = async { while stream.read(&mut buf).await.is_ok_and(|bytes| bytes > 0) {} };
            let _ = timeout(LINGER, read).await;
        });
    }
}
