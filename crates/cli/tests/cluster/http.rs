//! HTTP client of a caller that sends each request once.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use serde_json::Value;

/// Status and JSON body of a response.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

/// Submits a job.
pub(crate) async fn submit(
    entry: SocketAddr,
    service: &str,
    token: &str,
    body: &Value,
) -> Result<Reply, String> {
    post(entry, &format!("/v1/services/{service}/jobs"), token, body).await
}

pub(crate) async fn post(
    address: SocketAddr,
    path: &str,
    token: &str,
    body: &Value,
) -> Result<Reply, String> {
    send(Method::POST, address, path, token, body.to_string()).await
}

pub(crate) async fn get(address: SocketAddr, path: &str, token: &str) -> Result<Reply, String> {
    send(Method::GET, address, path, token, String::new()).await
}

async fn send(
    method: Method,
    address: SocketAddr,
    path: &str,
    token: &str,
    body: String,
) -> Result<Reply, String> {
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {token}"))
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let client = chestnutfork_net::http_client(Duration::from_secs(5));
    let response = client.request(req).await.map_err(|error| error.to_string())?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    let body = serde_json::from_slice(&body).map_err(|error| format!("{status}: {error}"))?;
    Ok(Reply { status, body })
}
