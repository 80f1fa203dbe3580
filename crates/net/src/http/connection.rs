//! One connection of an HTTP server: its requests, its time limits and the eviction of its unfinished request.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Instant;

use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use chestnutfork_wire::RefusalBody;

use super::body::{BodyError, BodyReader, discard_later};
use super::message::{Body, json_response};
use super::server::{HttpHandler, HttpLimits};
use crate::budget::{Account, BudgetedConnection, EVICTION_TIMEOUT, Evict, Progress, RequestMemory};
use crate::wakeup::now;

/// Message of a refusal because of the budget.
const OVERLOADED: &str = "the server has no memory for this request; send it again later";

/// Configuration that the connections of a server share.
#[derive(Clone, Debug)]
pub(super) struct ConnectionConfig<H> {
    pub(super) limits: HttpLimits,
    /// Size of a decoded body relative to the body.
    pub(super) decoded_factor: usize,
    pub(super) max_head: usize,
    pub(super) handler: H,
}

/// What a connection does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No complete head of a request has arrived.
    Waiting,
    /// The body is being received.
    Receiving,
    /// The handler has the request, which can no longer be refused.
    Running,
    /// The request has been given up.
    Evicted,
}

/// Phase of a connection and the progress of its request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Activity {
    pub(super) phase: Phase,
    pub(super) progress: Progress,
}

impl Activity {
    pub(super) fn start(phase: Phase) -> Self {
        Self {
            phase,
            progress: Progress::start(now()),
        }
    }

    /// Returns whether the connection gives up its request.
    fn gives_up(self, evict: Evict) -> bool {
        self.phase != Phase::Running && self.progress.on_schedule_until() <= evict.behind
    }

    /// Returns the time up to which the request is on schedule; one that runs always is.
    fn on_schedule_until(self) -> Instant {
        match self.phase {
            Phase::Running => now(),
            Phase::Waiting | Phase::Receiving | Phase::Evicted => self.progress.on_schedule_until(),
        }
    }
}

/// Serves a connection until it closes; on shutdown, the request in progress is completed first.
pub(super) async fn serve_connection<H: HttpHandler>(
    stream: TcpStream,
    budgeted: BudgetedConnection,
    config: ConnectionConfig<H>,
    mut stopped: watch::Receiver<bool>,
) {
    // A failure affects only latency.
    let _ = stream.set_nodelay(true);
    let BudgetedConnection {
        account,
        mut evictions,
    } = budgeted;
    let account = Arc::new(account);
    let (activity, latest_activity) = watch::channel(Activity::start(Phase::Waiting));
    let (limits, max_head) = (config.limits, config.max_head);
    let exchange = Exchange {
        config,
        account: Arc::clone(&account),
        activity: activity.clone(),
    };
    let service = service_fn(move |req| {
        let exchange = exchange.clone();
        async move { Ok::<_, Infallible>(exchange.respond(req).await) }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(max_head)
        .serve_connection(TokioIo::new(stream), service);
    let mut stopping = false;
    let ended = loop {
        tokio::select! {
            ended = &mut connection => break Some(ended),
            () = stop_requested(&mut stopped), if !stopping => {
                std::pin::Pin::new(&mut connection).graceful_shutdown();
                stopping = true;
            }
            Some(evict) = evictions.recv() => {
                let latest = *latest_activity.borrow();
                if !latest.gives_up(evict) {
                    account.decline(latest.on_schedule_until());
                } else if latest.phase == Phase::Receiving {
                    activity.send_replace(Activity::start(Phase::Evicted));
                    // The body reader answers; a caller that does not read the response gets none.
                    let _ = timeout(EVICTION_TIMEOUT, &mut connection).await;
                    return;
                } else {
                    break None;
                }
            }
        }
    };
    match ended {
        None => {
            let parts = connection.into_parts();
            // A connection between two requests is closed without a response, which its caller would not expect.
            if !parts.read_buf.is_empty() {
                let response = Refusal {
                    status: "503 Service Unavailable\r\nretry-after: 1",
                    code: "overloaded",
                    message: OVERLOADED,
                };
                response.send(parts.io.into_inner()).await;
            }
        }
        // Any other error is a failure of the caller's connection, or hyper has answered it with 400 or 431.
        Some(ended) if ended.as_ref().is_err_and(hyper::Error::is_timeout) => {
            let response = Refusal {
                status: "408 Request Timeout",
                code: "header_timeout",
                message: "the header did not arrive in time; send the request again",
            };
            response.send(connection.into_parts().io.into_inner()).await;
        }
        Some(_) => {}
    }
}

/// Waits until the server stops.
async fn stop_requested(stopped: &mut watch::Receiver<bool>) {
    // An error means that the server has been dropped, which also shuts down the connection.
    let _ = stopped.wait_for(|stop| *stop).await;
}

/// Response to a request whose head is not complete. hyper closes such a connection without a response.
struct Refusal {
    status: &'static str,
    code: &'static str,
    message: &'static str,
}

impl Refusal {
    async fn send(self, mut stream: TcpStream) {
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

/// Requests of one connection.
#[derive(Clone, Debug)]
struct Exchange<H> {
    config: ConnectionConfig<H>,
    account: Arc<Account>,
    activity: watch::Sender<Activity>,
}

impl<H: HttpHandler> Exchange<H> {
    async fn respond(self, req: Request<Incoming>) -> Response<Body> {
        self.activity.send_replace(Activity::start(Phase::Receiving));
        let response = self.receive_and_handle(req).await;
        self.activity.send_if_modified(|activity| {
            let evicted = activity.phase == Phase::Evicted;
            if !evicted {
                *activity = Activity::start(Phase::Waiting);
            }
            !evicted
        });
        response
    }

    async fn receive_and_handle(&self, req: Request<Incoming>) -> Response<Body> {
        let (parts, mut body) = req.into_parts();
        let limits = self.config.limits;
        if let Some(response) = self.config.handler.refuse(&parts) {
            discard_later(body, limits.body_timeout);
            return response;
        }
        if body.size_hint().lower() > limits.max_body as u64 {
            discard_later(body, limits.body_timeout);
            return too_large(limits.max_body);
        }
        let mut reader = BodyReader::new(
            &self.account,
            &self.activity,
            limits.max_body,
            self.config.decoded_factor,
        );
        let content = match timeout(limits.body_timeout, reader.read(&mut body)).await {
            Ok(Ok(content)) => content,
            Ok(Err(BodyError::TooLarge)) => {
                discard_later(body, limits.body_timeout);
                return too_large(limits.max_body);
            }
            Ok(Err(BodyError::Overloaded)) => {
                let body = RefusalBody::not_run("overloaded", OVERLOADED);
                let mut response = json_response(StatusCode::SERVICE_UNAVAILABLE, &body);
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
                return response;
            }
            Ok(Err(BodyError::Incomplete(error))) => {
                let message = format!("the body is incomplete: {error}; send the request again");
                let body = RefusalBody::not_run("body_incomplete", message);
                return json_response(StatusCode::BAD_REQUEST, &body);
            }
            Err(_) => {
                let message = "the body did not arrive in time; send the request again";
                let body = RefusalBody::not_run("body_timeout", message);
                return json_response(StatusCode::REQUEST_TIMEOUT, &body);
            }
        };
        self.activity.send_replace(Activity::start(Phase::Running));
        let mut req = Request::from_parts(parts, content);
        req.extensions_mut()
            .insert(RequestMemory::new(Arc::clone(&self.account)));
        // The charge ends with the reader, after the handler has returned.
        self.config.handler.handle(req).await
    }
}

fn too_large(max_body: usize) -> Response<Body> {
    let message = format!("the body exceeds {max_body} bytes; split the job");
    let body = RefusalBody::not_run("body_too_large", message);
    json_response(StatusCode::PAYLOAD_TOO_LARGE, &body)
}
