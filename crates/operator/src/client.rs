//! HTTP client of the operator interface.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chestnutfork_net::{Body, HttpClient, http_client};
use chestnutfork_types::ConfigVersion;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{sleep, timeout};

use crate::body::{
    AUDIT_PATH, AuditBody, CONFIG_PATH, ConfigBody, ErrorBody, OUTCOME_UNKNOWN, PATCHES_PATH, PatchBody,
    REPLACE_PATH, ReplaceBody, STATUS_PATH, StatusBody, VerdictBody,
};
use crate::error::{ErrorKind, OperatorError};

/// Maximum size of a response body in bytes; a full audit trail takes a few MB.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Maximum number of redirects in a round; ends the round if two processes name each other as leader.
const MAX_REDIRECTS: usize = 8;

/// HTTP client that tries each control address and follows redirects to the leader.
#[derive(Clone)]
pub struct OperatorClient {
    http: HttpClient,
    addresses: Vec<SocketAddr>,
    authorization: HeaderValue,
    timeout: Duration,
    max_rounds: u32,
    initial_backoff: Duration,
}

impl fmt::Debug for OperatorClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorClient")
            .field("addresses", &self.addresses)
            .finish_non_exhaustive()
    }
}

/// Builder of [`OperatorClient`].
#[derive(Clone)]
pub struct OperatorClientBuilder {
    addresses: Vec<SocketAddr>,
    token: String,
    timeout: Duration,
    max_rounds: u32,
    initial_backoff: Duration,
}

impl fmt::Debug for OperatorClientBuilder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorClientBuilder")
            .field("addresses", &self.addresses)
            .finish_non_exhaustive()
    }
}

impl OperatorClientBuilder {
    /// Sets the response timeout of one attempt; the default is 5 s.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the maximum number of rounds over all addresses; the default is 4.
    #[must_use]
    pub fn max_rounds(mut self, rounds: u32) -> Self {
        self.max_rounds = rounds;
        self
    }

    /// Sets the delay after the first round, which doubles after each further round; the default is 500 ms.
    #[must_use]
    pub fn initial_backoff(mut self, backoff: Duration) -> Self {
        self.initial_backoff = backoff;
        self
    }

    /// Builds the client.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no address or the token is not a valid header value.
    pub fn build(self) -> Result<OperatorClient, OperatorError> {
        let option_error = |option: &str, problem: &str| ErrorKind::Option {
            option: option.to_owned(),
            problem: problem.to_owned(),
        };
        if self.addresses.is_empty() {
            return Err(option_error(
                "control",
                "is missing; give the operator address of a control process",
            )
            .into());
        }
        let mut authorization = HeaderValue::try_from(format!("Bearer {}", self.token)).map_err(|_| {
            option_error(
                "token-file",
                "contains no valid token; use visible ASCII characters",
            )
        })?;
        authorization.set_sensitive(true);
        Ok(OperatorClient {
            http: http_client(self.timeout),
            addresses: self.addresses,
            authorization,
            timeout: self.timeout,
            max_rounds: self.max_rounds,
            initial_backoff: self.initial_backoff,
        })
    }
}

/// Outcome of one attempt at one address.
enum Attempt {
    /// The process served the request.
    Response { status: StatusCode, body: Bytes },
    /// The process did not serve the request; it may name the leader.
    Redirect {
        leader: Option<SocketAddr>,
        problem: String,
    },
    /// The request was not sent, for example because the connection failed.
    NotSent { problem: String },
    /// The request may have been served, but its response was lost.
    ResponseLost { problem: String },
}

/// Request that can be resent.
struct RequestTemplate {
    method: Method,
    path: String,
    body: Bytes,
}

/// Last failure at each address.
#[derive(Default)]
struct FailedAttempts {
    attempts: Vec<(SocketAddr, String)>,
    response_lost: bool,
}

impl FailedAttempts {
    fn record(&mut self, address: SocketAddr, problem: String) {
        self.attempts.retain(|(attempted, _)| *attempted != address);
        self.attempts.push((address, problem));
    }
}

impl OperatorClient {
    /// Returns a builder of a client for the control processes at `addresses`.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_operator::OperatorClient;
    ///
    /// assert!(OperatorClient::builder(&[], "token").build().is_err());
    /// ```
    #[must_use]
    pub fn builder(addresses: &[SocketAddr], token: &str) -> OperatorClientBuilder {
        OperatorClientBuilder {
            addresses: addresses.to_vec(),
            token: token.to_owned(),
            timeout: Duration::from_secs(5),
            max_rounds: 4,
            initial_backoff: Duration::from_millis(500),
        }
    }

    /// Sends a patch; if the response is lost, the patch is resent with the same id.
    ///
    /// # Errors
    ///
    /// Returns an error if the patch was refused or no response arrived.
    pub async fn patch(&self, patch: &PatchBody) -> Result<VerdictBody, OperatorError> {
        let remedy = format!("the same options and --id {}", patch.patch_id);
        self.post(PATCHES_PATH, patch, &remedy).await
    }

    /// Requests the system status.
    ///
    /// # Errors
    ///
    /// Returns an error if the request was refused or no response arrived.
    pub async fn status(&self) -> Result<StatusBody, OperatorError> {
        self.get(STATUS_PATH.to_owned()).await
    }

    /// Requests the audit records of versions above `since`.
    ///
    /// # Errors
    ///
    /// Returns an error if the request was refused or no response arrived.
    pub async fn audit(&self, since: ConfigVersion) -> Result<AuditBody, OperatorError> {
        self.get(format!("{AUDIT_PATH}?since={since}")).await
    }

    /// Requests the current configuration document.
    ///
    /// # Errors
    ///
    /// Returns an error if the request was refused or no response arrived.
    pub async fn config(&self) -> Result<ConfigBody, OperatorError> {
        self.get(CONFIG_PATH.to_owned()).await
    }

    /// Replaces a lost replica with a new one; repeating a completed replacement has no effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the request was refused or no response arrived.
    pub async fn replace(&self, replace: &ReplaceBody) -> Result<StatusBody, OperatorError> {
        self.post(REPLACE_PATH, replace, "the same options").await
    }

    async fn get<T: DeserializeOwned>(&self, path: String) -> Result<T, OperatorError> {
        let template = RequestTemplate {
            method: Method::GET,
            path,
            body: Bytes::new(),
        };
        self.send(&template, "the same options").await
    }

    async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
        remedy: &str,
    ) -> Result<T, OperatorError> {
        let body =
            serde_json::to_vec(body).map_err(|error| refused(400, "bad_request", &error.to_string()))?;
        let template = RequestTemplate {
            method: Method::POST,
            path: path.to_owned(),
            body: body.into(),
        };
        self.send(&template, remedy).await
    }

    async fn send<T: DeserializeOwned>(
        &self,
        template: &RequestTemplate,
        remedy: &str,
    ) -> Result<T, OperatorError> {
        let mut failed = FailedAttempts::default();
        let mut backoff = self.initial_backoff;
        for round in 0..self.max_rounds {
            if round > 0 {
                sleep(backoff).await;
                backoff *= 2;
            }
            if let Some((status, body)) = self.run_round(template, &mut failed).await {
                return decode(status, &body);
            }
        }
        let attempts = failed.attempts;
        if failed.response_lost && template.method != Method::GET {
            let remedy = remedy.to_owned();
            return Err(ErrorKind::OutcomeUnknown { remedy, attempts }.into());
        }
        Err(ErrorKind::NotServed { attempts }.into())
    }

    /// Tries each address, and a leader named by a process before the remaining addresses.
    async fn run_round(
        &self,
        template: &RequestTemplate,
        failed: &mut FailedAttempts,
    ) -> Option<(StatusCode, Bytes)> {
        let mut queue: VecDeque<SocketAddr> = self.addresses.iter().copied().collect();
        let mut redirects = 0;
        while let Some(address) = queue.pop_front() {
            match self.attempt(template, address).await {
                Attempt::Response { status, body } => return Some((status, body)),
                Attempt::Redirect { leader, problem } => {
                    failed.record(address, problem);
                    if let Some(leader) =
                        leader.filter(|leader| *leader != address && redirects < MAX_REDIRECTS)
                    {
                        redirects += 1;
                        queue.retain(|queued| *queued != leader);
                        queue.push_front(leader);
                    }
                }
                Attempt::NotSent { problem } => failed.record(address, problem),
                Attempt::ResponseLost { problem } => {
                    failed.response_lost = true;
                    failed.record(address, problem);
                }
            }
        }
        None
    }

    async fn attempt(&self, template: &RequestTemplate, address: SocketAddr) -> Attempt {
        let req = match self.build_request(template, address) {
            Ok(req) => req,
            Err(error) => {
                return Attempt::NotSent {
                    problem: error.to_string(),
                };
            }
        };
        match timeout(self.timeout, self.exchange(req)).await {
            Ok(attempt) => attempt,
            Err(_) => Attempt::ResponseLost {
                problem: format!("no response within {} ms", self.timeout.as_millis()),
            },
        }
    }

    fn build_request(
        &self,
        template: &RequestTemplate,
        address: SocketAddr,
    ) -> Result<Request<Body>, hyper::http::Error> {
        Request::builder()
            .method(template.method.clone())
            .uri(format!("http://{address}{}", template.path))
            .header(AUTHORIZATION, self.authorization.clone())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(template.body.clone()))
    }

    async fn exchange(&self, req: Request<Body>) -> Attempt {
        let response = match self.http.request(req).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return Attempt::NotSent {
                    problem: "connection failed".to_owned(),
                };
            }
            Err(error) => {
                return Attempt::ResponseLost {
                    problem: error.to_string(),
                };
            }
        };
        let status = response.status();
        match Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
        {
            Ok(body) => classify(status, body.to_bytes()),
            Err(error) => Attempt::ResponseLost {
                problem: format!("response body incomplete: {error}"),
            },
        }
    }
}

fn classify(status: StatusCode, body: Bytes) -> Attempt {
    if status != StatusCode::MISDIRECTED_REQUEST && status != StatusCode::SERVICE_UNAVAILABLE {
        return Attempt::Response { status, body };
    }
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(body) if body.error.code == OUTCOME_UNKNOWN => Attempt::ResponseLost {
            problem: body.error.message,
        },
        Ok(body) => Attempt::Redirect {
            leader: body.leader,
            problem: body.error.message,
        },
        Err(_) => Attempt::Redirect {
            leader: None,
            problem: format!("status {status}"),
        },
    }
}

/// Decodes a response. Verdicts of rejected patches have an error status, so the expected type is tried first.
fn decode<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, OperatorError> {
    match serde_json::from_slice::<T>(body) {
        Ok(response) => Ok(response),
        Err(_) if !status.is_success() => {
            let message = String::from_utf8_lossy(body).into_owned();
            let body = serde_json::from_slice(body).unwrap_or_else(|_| ErrorBody::new("unknown", message));
            Err(refused(status.as_u16(), &body.error.code, &body.error.message))
        }
        Err(error) => {
            let message = format!(
                "the response cannot be decoded ({error}); use the client version that matches the control process"
            );
            Err(refused(status.as_u16(), "bad_answer", &message))
        }
    }
}

fn refused(status: u16, code: &str, message: &str) -> OperatorError {
    let kind = ErrorKind::Refused {
        status,
        code: code.to_owned(),
        message: message.to_owned(),
    };
    kind.into()
}
