//! Responses, tokens and the HTTP client.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;

/// Buffered body of a request or response.
pub type Body = Full<Bytes>;

/// HTTP client for targets and other servers.
pub type HttpClient = Client<HttpConnector, Body>;

/// Builds a JSON response.
///
/// # Examples
///
/// ```
/// let response = chestnutfork_net::json_response(hyper::StatusCode::OK, &["a"]);
/// assert_eq!(response.status(), 200);
/// ```
pub fn json_response<T: Serialize>(status: StatusCode, body: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    if status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(RETRY_AFTER, hyper::header::HeaderValue::from_static("1"));
    }
    response
}

/// Returns the bearer token of a request.
///
/// # Examples
///
/// ```
/// let req = hyper::Request::builder().header("authorization", "Bearer abc").body(()).unwrap();
/// assert_eq!(chestnutfork_net::bearer_token(&req), Some("abc"));
/// ```
pub fn bearer_token<B>(req: &Request<B>) -> Option<&str> {
    header_token(req.headers())
}

/// Returns the bearer token in the head of a request.
///
/// # Examples
///
/// ```
/// let req = hyper::Request::builder().header("authorization", "Bearer abc").body(()).unwrap();
/// assert_eq!(chestnutfork_net::header_token(req.headers()), Some("abc"));
/// ```
pub fn header_token(headers: &HeaderMap) -> Option<&str> {
    headers.get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

/// Builds a client that never retries a request by itself.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// let client = chestnutfork_net::http_client(Duration::from_secs(1));
/// # let _ = client;
/// ```
#[must_use]
pub fn http_client(connect_timeout: Duration) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect_timeout));
    // By default, the client retries a request when a reused connection is closed; that could start a task twice.
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build(connector)
}
