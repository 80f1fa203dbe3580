//! Announcements and withdrawals that workers send to their agents.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutfork_net::{Body, HttpClient};
use hyper::Request;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::dialect::{self, Announced, Identity};
use crate::workers::WorkerMessage;

/// Time for an agent to take an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Way of the announcements to the agent.
#[derive(Clone, Debug)]
pub(crate) struct Route {
    pub(crate) agent: SocketAddr,
    pub(crate) address: SocketAddr,
    pub(crate) http: HttpClient,
}

impl Route {
    /// Sends one announcement and notes its acknowledgement.
    pub(crate) async fn announce(self, told: Announced, tx: mpsc::WeakUnboundedSender<WorkerMessage>) {
        let request = dialect::announcement(self.agent, self.address, &told);
        if self.send(request).await
            && let Some(tx) = tx.upgrade()
        {
            // The worker may have ended.
            drop(tx.send(WorkerMessage::Acknowledged(told)));
        }
    }

    /// Tells the agent that the worker ends.
    pub(crate) async fn withdraw(self, identity: Identity) {
        // The worker ends with or without an acknowledgement.
        self.send(dialect::withdrawal(self.agent, identity)).await;
    }

    async fn send(&self, request: Request<Body>) -> bool {
        let response = timeout(ANNOUNCE_TIMEOUT, self.http.request(request)).await;
        matches!(response, Ok(Ok(response)) if response.status().is_success())
    }
}
