//! HTTP client for submitting jobs and controlling targets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::wire::{Answer, Refusal, RefusalContent};

/// Maximum size of a reply body.
const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;

type Transport = Client<HttpConnector, Full<Bytes>>;

/// Result of a submission.
#[derive(Clone, Debug)]
pub(crate) enum Response {
    /// The entry answered the job.
    Answered(Answer),
    /// The entry refused the job.
    Refused(RefusalContent),
    /// The reply is neither an answer nor a refusal.
    Unreadable(String),
    /// No reply was received: the connection failed or the request timed out.
    Lost(String),
}

/// Client that sends each request once, without automatic retries.
#[derive(Clone, Debug)]
pub(crate) struct ServiceClient {
    transport: Transport,
    token: String,
    service: String,
}

impl ServiceClient {
    /// Creates a client for one service, with the bearer token of the team.
    pub fn new(token: String, service: String) -> Self {
        Self {
            transport: transport(),
            token,
            service,
        }
    }

    /// Submits a job and waits for its answer.
    pub async fn submit(&self, entry: SocketAddr, body: Bytes, reply_timeout: Duration) -> Response {
        let path = format!("/v1/services/{}/jobs", self.service);
        let req = self.request(Method::POST, entry, &path, body);
        match send(&self.transport, req, reply_timeout).await {
            Ok((StatusCode::OK, body)) => match serde_json::from_slice(&body) {
                Ok(answer) => Response::Answered(answer),
                Err(e) => Response::Unreadable(format!("200: {e}")),
            },
            Ok((status, body)) => match serde_json::from_slice::<Refusal>(&body) {
                Ok(refusal) => Response::Refused(refusal.error),
                Err(e) => Response::Unreadable(format!("{status}: {e}")),
            },
            Err(reason) => Response::Lost(reason),
        }
    }

    /// Cancels a job and returns whether the entry replied.
    pub async fn cancel(&self, entry: SocketAddr, job: &str, reply_timeout: Duration) -> bool {
        let path = format!("/v1/services/{}/jobs/{job}", self.service);
        let req = self.request(Method::DELETE, entry, &path, Bytes::new());
        send(&self.transport, req, reply_timeout).await.is_ok()
    }

    fn request(&self, method: Method, entry: SocketAddr, path: &str, body: Bytes) -> HttpRequest {
        Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
    }
}

type HttpRequest = Result<Request<Full<Bytes>>, hyper::http::Error>;

/// Creates a transport without automatic retries, which would hide lost requests.
pub(crate) fn transport() -> Transport {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build(connector)
}

/// Sends a request and reads the whole reply within the given time.
pub(crate) async fn send(
    transport: &Transport,
    req: HttpRequest,
    reply_timeout: Duration,
) -> Result<(StatusCode, Bytes), String> {
    let req = req.map_err(|e| e.to_string())?;
    let exchange = async {
        let response = transport.request(req).await.map_err(|e| e.to_string())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
        let bytes = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
        Ok((status, bytes))
    };
    timeout(reply_timeout, exchange)
        .await
        .unwrap_or_else(|_| Err(format!("no reply within {reply_timeout:?}")))
}

/// Fetches a JSON document; any status except 200 is an error.
pub(crate) async fn get_json<T: DeserializeOwned>(
    transport: &Transport,
    address: SocketAddr,
    path: &str,
    reply_timeout: Duration,
) -> Result<T, String> {
    let uri = format!("http://{address}{path}");
    let req = Request::get(uri).body(Full::new(Bytes::new()));
    let (status, body) = send(transport, req, reply_timeout).await?;
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}

/// Posts a JSON document; any status except 200 is an error.
pub(crate) async fn post_json(
    transport: &Transport,
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
    reply_timeout: Duration,
) -> Result<(), String> {
    let uri = format!("http://{address}{path}");
    let req = Request::post(uri).body(Full::new(Bytes::from(body)));
    let (status, body) = send(transport, req, reply_timeout).await?;
    if status == StatusCode::OK {
        return Ok(());
    }
    Err(format!("status {status}: {}", String::from_utf8_lossy(&body)))
}
