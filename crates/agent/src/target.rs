//! HTTP client of the target: starts tasks, stops them and classifies their outcomes.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_net::{HttpClient, now};
use chestnutfork_types::{AttemptOutcome, Dispatch};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use uuid::Uuid;

/// Maximum size of a task's output; the answer to a job contains up to 200 outputs.
const MAX_OUTPUT_BYTES: usize = 256 * 1024;
/// Maximum size of a failure reason that is forwarded to the caller.
const MAX_REASON_BYTES: usize = 512;
/// Time within which the target must confirm that a stopped task has ended, before the stop request is repeated.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before an unconfirmed stop request is repeated.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Header by which a target states in an error response that it has not started the task.
const NOT_STARTED_HEADER: &str = "x-chestnutfork-not-started";

/// HTTP client of the agent's target.
#[derive(Clone, Debug)]
pub(crate) struct TargetClient {
    http: HttpClient,
    address: String,
}

/// Handle of a task in progress.
#[derive(Debug)]
pub(crate) struct TaskHandle {
    stop: watch::Sender<bool>,
}

impl TaskHandle {
    /// Requests that the target stop the task; the outcome is still reported.
    pub(crate) fn stop(&mut self) {
        self.stop.send_replace(true);
    }
}

impl TargetClient {
    pub(crate) fn new(http: HttpClient) -> Self {
        Self {
            http,
            address: String::new(),
        }
    }

    pub(crate) fn set_address(&mut self, address: String) {
        self.address = address;
    }

    /// Starts a task and calls `ended` exactly once, when the task has ended or its outcome is unknown.
    pub(crate) fn start(
        &self,
        dispatch: Dispatch,
        ended: impl FnOnce(AttemptOutcome, Duration) + Send + 'static,
    ) -> TaskHandle {
        let (stop, stopped) = watch::channel(false);
        let client = self.clone();
        tokio::spawn(async move {
            let started = now();
            let outcome = client.run(dispatch, stopped).await;
            ended(outcome, now().saturating_duration_since(started));
        });
        TaskHandle { stop }
    }

    async fn run(&self, dispatch: Dispatch, mut stopped: watch::Receiver<bool>) -> AttemptOutcome {
        let limit = dispatch.remaining;
        let path = format!("/task/{}/{}", Uuid::from_u128(dispatch.job), dispatch.task);
        let request = match self.task_request(dispatch) {
            Ok(request) => request,
            Err(error) => {
                let reason = format!("the target's address `{}` is invalid: {error}", self.address);
                return AttemptOutcome::NotStarted { reason };
            }
        };
        let exchange = self.exchange(request);
        tokio::pin!(exchange);
        let reason = tokio::select! {
            outcome = &mut exchange => return outcome,
            () = sleep(limit) => "the deadline passed while the task ran",
            () = stop_requested(&mut stopped) => "the task was cancelled while it ran",
        };
        // The slot is free only once the task has ended at the target. If the task completes before it is stopped, its
        // result still counts.
        tokio::select! {
            biased;
            outcome = &mut exchange => match outcome {
                AttemptOutcome::Completed { .. } | AttemptOutcome::NotStarted { .. } => return outcome,
                AttemptOutcome::Failed { .. } => {}
                AttemptOutcome::Unknown { .. } => self.stop_until_ended(&path).await,
            },
            () = self.stop_until_ended(&path) => {}
        }
        AttemptOutcome::Unknown {
            reason: reason.to_owned(),
        }
    }

    fn task_request(&self, dispatch: Dispatch) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/task", self.address))
            .header("x-chestnutfork-job", Uuid::from_u128(dispatch.job).to_string())
            .header("x-chestnutfork-task", dispatch.task)
            .header("x-chestnutfork-credit", dispatch.credit)
            .header(
                "x-chestnutfork-deadline-ms",
                dispatch.remaining.as_millis().to_string(),
            )
            .body(Full::new(dispatch.payload))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> AttemptOutcome {
        let response = match self.http.request(request).await {
            Ok(response) => response,
            // Without a connection, the request cannot have reached the target.
            Err(error) if error.is_connect() => {
                let reason = format!("the target cannot be reached: {error}");
                return AttemptOutcome::NotStarted { reason };
            }
            Err(error) => {
                let reason = format!("the connection to the target failed: {error}");
                return AttemptOutcome::Unknown { reason };
            }
        };
        let status = response.status();
        let not_started = status != StatusCode::OK && response.headers().contains_key(NOT_STARTED_HEADER);
        let body = Limited::new(response.into_body(), MAX_OUTPUT_BYTES)
            .collect()
            .await;
        match body {
            Ok(body) if status == StatusCode::OK => AttemptOutcome::Completed {
                output: body.to_bytes(),
            },
            Ok(body) if not_started => AttemptOutcome::NotStarted {
                reason: failure_reason(status, &body.to_bytes()),
            },
            Ok(body) => AttemptOutcome::Failed {
                reason: failure_reason(status, &body.to_bytes()),
            },
            Err(error) => {
                let reason = format!(
                    "the output of the task was lost: {error}; it may hold at most {MAX_OUTPUT_BYTES} bytes"
                );
                AttemptOutcome::Unknown { reason }
            }
        }
    }

    /// Repeats the stop request until the target confirms that the task has ended or cannot be connected to.
    async fn stop_until_ended(&self, path: &str) {
        loop {
            let request = Request::builder()
                .method(Method::DELETE)
                .uri(format!("http://{}{path}", self.address))
                .body(Full::new(Bytes::new()));
            let Ok(request) = request else {
                return;
            };
            match timeout(STOP_TIMEOUT, self.http.request(request)).await {
                // The target no longer knows the task, so the task has already ended.
                Ok(Ok(response)) if response.status().is_success() => return,
                Ok(Ok(response)) if response.status() == StatusCode::NOT_FOUND => return,
                Ok(Err(error)) if error.is_connect() => return,
                _ => sleep(STOP_RETRY_DELAY).await,
            }
        }
    }
}

/// Resolves once a stop of the task is requested.
async fn stop_requested(stopped: &mut watch::Receiver<bool>) {
    if stopped.wait_for(|stop| *stop).await.is_err() {
        // The handle was dropped because the task has ended or the actor has stopped; the exchange then determines the
        // outcome.
        std::future::pending::<()>().await;
    }
}

fn failure_reason(status: StatusCode, body: &[u8]) -> String {
    let text = String::from_utf8_lossy(&body[..body.len().min(MAX_REASON_BYTES)]);
    format!("the target answered {}: {text}", status.as_u16())
}
