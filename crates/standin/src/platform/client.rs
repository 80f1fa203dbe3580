//! Client side of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time::timeout;

use super::http::Renewal;
use super::model::{Lease, LeaseId, LeaseRequest, Notice, TaskAction, TaskRef, Usage, Worker};

/// Time within which the platform must reply.
const PATIENCE: Duration = Duration::from_secs(5);
/// Largest reply that is read.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// Reason why a request to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The platform declined the request.
    #[error("the platform declined with status {status}: {message}")]
    Declined {
        /// HTTP status.
        status: u16,
        /// Reason from the platform.
        message: String,
    },
    /// The platform could not be reached or gave an unusable reply.
    #[error("the platform is unreachable: {reason}; check its address and that it runs")]
    Unreachable {
        /// Cause.
        reason: String,
    },
}

/// What the system needs from the platform beneath its workers.
pub trait WorkerPlatform {
    /// Lists the workers.
    fn workers(&self) -> impl Future<Output = Result<Vec<Worker>, PlatformError>> + Send;

    /// Leases a part of a worker.
    fn lease(
        &self,
        worker: &str,
        request: &LeaseRequest,
    ) -> impl Future<Output = Result<Lease, PlatformError>> + Send;

    /// Extends a lease.
    fn renew(
        &self,
        lease: LeaseId,
        ttl: Duration,
    ) -> impl Future<Output = Result<Lease, PlatformError>> + Send;

    /// Ends a lease.
    fn release(&self, lease: LeaseId) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Reports the use of a worker, with a lag.
    fn usage(&self, worker: &str) -> impl Future<Output = Result<Usage, PlatformError>> + Send;

    /// Checkpoints, throttles or stops a task.
    fn act(
        &self,
        task: TaskRef,
        action: TaskAction,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Lists the notices of leaving after the given number.
    fn notices(&self, after: u64) -> impl Future<Output = Result<Vec<Notice>, PlatformError>> + Send;
}

/// Platform that is reached over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpPlatform {
    /// Creates a client of the platform at the given address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Self { address, client }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, PlatformError> {
        let exchange = timeout(PATIENCE, self.exchange(method, path, body)).await;
        let (status, body) = exchange.map_err(|_| unreachable_by("no reply in time"))??;
        if status != StatusCode::OK {
            return Err(PlatformError::Declined {
                status: status.as_u16(),
                message: String::from_utf8_lossy(&body).into_owned(),
            });
        }
        serde_json::from_slice(&body).map_err(unreachable_by)
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(Bytes::from(body)))
            .map_err(unreachable_by)?;
        let response = self.client.request(req).await.map_err(unreachable_by)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES);
        let body = body.collect().await.map_err(unreachable_by)?.to_bytes();
        Ok((status, body))
    }
}

#[expect(clippy::needless_pass_by_value, reason = "`map_err` passes errors by value")]
fn unreachable_by(reason: impl ToString) -> PlatformError {
    let reason = reason.to_string();
    PlatformError::Unreachable { reason }
}

fn encode<T: serde::Serialize>(body: &T) -> Result<Vec<u8>, PlatformError> {
    serde_json::to_vec(body).map_err(unreachable_by)
}

impl WorkerPlatform for HttpPlatform {
    async fn workers(&self) -> Result<Vec<Worker>, PlatformError> {
        self.call(Method::GET, "/workers", Vec::new()).await
    }

    async fn lease(&self, worker: &str, request: &LeaseRequest) -> Result<Lease, PlatformError> {
        let path = format!("/workers/{worker}/leases");
        self.call(Method::POST, &path, encode(request)?).await
    }

    async fn renew(&self, lease: LeaseId, ttl: Duration) -> Result<Lease, PlatformError> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let body = encode(&Renewal { ttl_ms })?;
        self.call(Method::PUT, &format!("/leases/{lease}"), body).await
    }

    async fn release(&self, lease: LeaseId) -> Result<(), PlatformError> {
        self.call(Method::DELETE, &format!("/leases/{lease}"), Vec::new())
            .await
    }

    async fn usage(&self, worker: &str) -> Result<Usage, PlatformError> {
        let path = format!("/workers/{worker}/usage");
        self.call(Method::GET, &path, Vec::new()).await
    }

    async fn act(&self, task: TaskRef, action: TaskAction) -> Result<(), PlatformError> {
        let verb = match action {
            TaskAction::Checkpoint => "checkpoint",
            TaskAction::Throttle => "throttle",
            TaskAction::Stop => "stop",
        };
        let TaskRef { lease, job, task } = task;
        let path = format!("/leases/{lease}/tasks/{job}/{task}/{verb}");
        self.call(Method::POST, &path, Vec::new()).await
    }

    async fn notices(&self, after: u64) -> Result<Vec<Notice>, PlatformError> {
        self.call(Method::GET, &format!("/notices/{after}"), Vec::new())
            .await
    }
}
