//! Announcements of a target to its agent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use tokio::sync::{oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::actor::Outside;

/// Interval between announcements; an agent drops a target after 3 s without one.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an announcement without an answer is given up.
const TIMEOUT: Duration = Duration::from_millis(900);

/// Body of an announcement.
#[derive(Debug, Serialize)]
struct Body<'a> {
    target: &'a str,
    pool: &'a str,
    slots: u32,
    address: SocketAddr,
    leaving: bool,
}

/// Announces one target to one agent.
#[derive(Debug)]
pub(super) struct Announcer {
    /// Name of the target.
    pub target: String,
    /// Pool of the target.
    pub pool: String,
    /// Number of slots.
    pub slots: u32,
    /// Address of the target.
    pub address: SocketAddr,
    /// Address of the agent.
    pub agent: SocketAddr,
    /// Bearer token of targets at the agent.
    pub token: String,
}

impl Announcer {
    /// Announces at once, on every change of the leaving flag, and once an interval.
    ///
    /// A request on `farewell` announces leaving a last time, and is answered afterwards.
    pub async fn run(
        self,
        mut outside: watch::Receiver<Outside>,
        mut farewell: oneshot::Receiver<oneshot::Sender<()>>,
    ) {
        let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
        let mut ticks = interval(INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut leaving = outside.borrow_and_update().behaviour.leaving;
        loop {
            tokio::select! {
                _ = ticks.tick() => self.announce(&client, leaving).await,
                changed = outside.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let now = outside.borrow_and_update().behaviour.leaving;
                    if now != leaving {
                        leaving = now;
                        self.announce(&client, leaving).await;
                    }
                }
                done = &mut farewell => {
                    self.announce(&client, true).await;
                    if let Ok(done) = done {
                        done.send(()).ok();
                    }
                    return;
                }
            }
        }
    }

    async fn announce(&self, client: &Client<HttpConnector, Full<Bytes>>, leaving: bool) {
        let body = Body {
            target: &self.target,
            pool: &self.pool,
            slots: self.slots,
            address: self.address,
            leaving,
        };
        let Ok(body) = serde_json::to_vec(&body) else {
            return;
        };
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/v1/announce", self.agent))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        if let Ok(req) = req {
            // The next interval announces again, whatever went wrong with this one.
            timeout(TIMEOUT, client.request(req)).await.ok();
        }
    }
}
