//! One connection of an HTTP server: its requests, its time limits and the eviction of its unfinished request.

use std::convert::Infallible;
use std::sync::Arc;

use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use chestnutfork_wire::RefusalBody;

use super::activity::{Activity, Phase};
use super::body::{BodyError, BodyReader, discard_later};
use super::message::{Body, json_response};
use super::refusal::{OVERLOADED, Refusal};
use super::server::{HttpHandler, HttpLimits};
use super::stream::RecordedStream;
use crate::budget::{Account, BudgetedConnection, EVICTION_TIMEOUT, RequestMemory, clamp_head};

/// Configuration that the connections of a server share.
#[derive(Clone, Debug)]
pub(super) struct ConnectionConfig<H> {
    pub(super) limits: watch::Receiver<HttpLimits>,
    /// Size of a decoded body relative to the body.
    pub(super) decoded_factor: usize,
    /// Limit on heads, unless `limits` state one.
    pub(super) max_head: usize,
    /// Largest body that the budget has room for with its decoded form.
    pub(super) largest_body: usize,
    pub(super) handler: H,
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
    let (activity, latest_activity) = watch::channel(Activity::start(Phase::Idle));
    let limits = config.limits.clone();
    let max_head = limits.borrow().max_head.map_or(config.max_head, clamp_head);
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
        // Heads and idle connections have different time limits, which the loop below checks.
        .header_read_timeout(None)
        .max_buf_size(max_head)
        .serve_connection(
            TokioIo::new(RecordedStream::new(stream, activity.clone())),
            service,
        );
    let mut check = std::pin::pin!(sleep(latest_activity.borrow().next_check(&limits.borrow())));
    let mut stopping = false;
    let ended = loop {
        tokio::select! {
            // What has arrived is read before a time limit is checked, because the process may have been paused.
            biased;
            _ = &mut connection => break Ended::Closed,
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
                    break Ended::Evicted(latest.phase);
                }
            }
            () = &mut check => {
                let latest = *latest_activity.borrow();
                let limits = limits.borrow();
                if latest.has_expired(&limits) {
                    break Ended::Expired(latest.phase);
                }
                check.as_mut().reset(Instant::now() + latest.next_check(&limits));
            }
        }
    };
    match ended {
        Ended::Evicted(Phase::Head) => {
            let mut stream = connection.into_parts().io.into_inner().into_inner();
            Refusal::overloaded().send(&mut stream).await;
        }
        Ended::Expired(Phase::Head) => {
            let mut stream = connection.into_parts().io.into_inner().into_inner();
            Refusal::header_timeout().send(&mut stream).await;
        }
        // A connection between two requests is closed without a response, which its caller would not expect. Any error is a
        // failure of the caller's connection, or hyper has answered it with 400 or 431.
        Ended::Evicted(_) | Ended::Expired(_) | Ended::Closed => {}
    }
}

/// How the loop of a connection ended.
#[derive(Debug)]
enum Ended {
    /// The connection was closed or has failed.
    Closed,
    /// The budget has asked for the connection in this phase.
    Evicted(Phase),
    /// The time limit on the phase has expired.
    Expired(Phase),
}

/// Waits until the server stops.
async fn stop_requested(stopped: &mut watch::Receiver<bool>) {
    // An error means that the server has been dropped, which also shuts down the connection.
    let _ = stopped.wait_for(|stop| *stop).await;
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
        self.activity.send_if_modified(|activity| {
            activity.begin_body();
            false
        });
        let response = self.receive_and_handle(req).await;
        self.activity.send_if_modified(|activity| {
            activity.answered();
            false
        });
        response
    }

    /// Reads and discards the rest of a refused body while its response is sent.
    fn discard(&self, body: Incoming, limits: HttpLimits) {
        if !body.is_end_stream() {
            self.activity.send_replace(Activity::start(Phase::Discarding));
            discard_later(body, limits.body_timeout, self.activity.clone());
        }
    }

    async fn receive_and_handle(&self, req: Request<Incoming>) -> Response<Body> {
        let (parts, mut body) = req.into_parts();
        let limits = *self.config.limits.borrow();
        let max_body = limits.max_body.min(self.config.largest_body);
        if let Some(response) = self.config.handler.refuse(&parts) {
            self.discard(body, limits);
            return response;
        }
        if body.size_hint().lower() > max_body as u64 {
            self.discard(body, limits);
            return too_large(max_body);
        }
        let mut reader = BodyReader::new(
            &self.account,
            &self.activity,
            max_body,
            self.config.decoded_factor,
        );
        let content = match timeout(limits.body_timeout, reader.read(&mut body)).await {
            Ok(Ok(content)) => content,
            Ok(Err(BodyError::TooLarge)) => {
                self.discard(body, limits);
                return too_large(max_body);
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
