//! Requests and replies in the form that both HTTP servers share.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Response, StatusCode};
use serde::Serialize;

/// Largest accepted request body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Pause after a failed accept, which usually means that file descriptors ran out.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Reply with its whole body.
pub(crate) type Reply = Response<Full<Bytes>>;

/// Reads a request body as JSON, or says what is wrong with it.
pub(crate) async fn read_json<T: serde::de::DeserializeOwned>(body: Incoming) -> Result<T, String> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let bytes = collected
        .map_err(|e| format!("cannot read the body: {e}"))?
        .to_bytes();
    serde_json::from_slice(&bytes).map_err(|e| format!("cannot read the body as JSON: {e}"))
}

/// Builds a reply from a JSON document.
pub(crate) fn json<T: Serialize>(value: &T) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut reply = Response::new(Full::new(Bytes::from(body)));
            let kind = hyper::header::HeaderValue::from_static("application/json");
            reply.headers_mut().insert(CONTENT_TYPE, kind);
            reply
        }
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("cannot encode: {e}")),
    }
}

/// Builds a reply from a status and a sentence.
pub(crate) fn text(status: StatusCode, message: impl Into<String>) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(message.into())));
    *reply.status_mut() = status;
    reply
}
