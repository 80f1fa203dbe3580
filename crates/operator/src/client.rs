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

/// Largest answer in bytes; a whole audit trail takes a few MB.
const MAX_ANSWER: usize = 64 * 1024 * 1024;
/// Largest number of leaders that a round follows, so that two processes naming each other end it.
const MAX_REDIRECTS: usize = 8;

/// Client that tries each control address and follows the leader.
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
    /// Sets the time that one control process has to answer; the default is 5 s.
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

    /// Returns the client.
    ///
    /// # Errors
    ///
    /// Fails if there is no address or the token cannot be sent in a header.
    pub fn build(self) -> Result<OperatorClient, OperatorError> {
        let option = |option: &str, problem: &str| ErrorKind::Option {
            option: option.to_owned(),
            problem: problem.to_owned(),
        };
        if self.addresses.is_empty() {
            return Err(option(
                "control",
                "is missing; give the operator address of a control process",
            )
            .into());
        }
        let mut authorization = HeaderValue::try_from(format!("Bearer {}", self.token)).map_err(|_| {
            option(
                "token-file",
                "holds no usable token; use visible ASCII characters",
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

/// How one attempt at one address ended.
enum Attempt {
    /// The request was answered.
    Answer { status: StatusCode, body: Bytes },
    /// The request was not served there; the leader may be named.
    Elsewhere {
        leader: Option<SocketAddr>,
        problem: String,
    },
    /// The request never reached the process.
    Unreached { problem: String },
    /// The request may have been served, but the answer was lost.
    Lost { problem: String },
}

/// Request that can be sent several times.
struct Call {
    method: Method,
    path: String,
    body: Bytes,
}

/// Record of what happened at each address.
#[derive(Default)]
struct Log {
    attempts: Vec<(SocketAddr, String)>,
    lost: bool,
}

impl Log {
    fn note(&mut self, address: SocketAddr, problem: String) {
        self.attempts.retain(|(earlier, _)| *earlier != address);
        self.attempts.push((address, problem));
    }
}

impl OperatorClient {
    /// Starts a client of the control processes at `addresses`.
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

    /// Sends a patch; a lost answer is asked for again with the same id.
    ///
    /// # Errors
    ///
    /// Fails if the patch was refused or no answer arrived.
    pub async fn patch(&self, patch: &PatchBody) -> Result<VerdictBody, OperatorError> {
        let remedy = format!("the same options and --id {}", patch.patch_id);
        self.post(PATCHES_PATH, patch, &remedy).await
    }

    /// Asks for the state of the system.
    ///
    /// # Errors
    ///
    /// Fails if the request was refused or no answer arrived.
    pub async fn status(&self) -> Result<StatusBody, OperatorError> {
        self.get(STATUS_PATH.to_owned()).await
    }

    /// Asks for the audit records of versions above `since`.
    ///
    /// # Errors
    ///
    /// Fails if the request was refused or no answer arrived.
    pub async fn audit(&self, since: ConfigVersion) -> Result<AuditBody, OperatorError> {
        self.get(format!("{AUDIT_PATH}?since={since}")).await
    }

    /// Asks for the current document.
    ///
    /// # Errors
    ///
    /// Fails if the request was refused or no answer arrived.
    pub async fn config(&self) -> Result<ConfigBody, OperatorError> {
        self.get(CONFIG_PATH.to_owned()).await
    }

    /// Swaps a lost replica for a new one; a repeat of a finished swap changes nothing.
    ///
    /// # Errors
    ///
    /// Fails if the request was refused or no answer arrived.
    pub async fn replace(&self, replace: &ReplaceBody) -> Result<StatusBody, OperatorError> {
        self.post(REPLACE_PATH, replace, "the same options").await
    }

    async fn get<T: DeserializeOwned>(&self, path: String) -> Result<T, OperatorError> {
        let call = Call {
            method: Method::GET,
            path,
            body: Bytes::new(),
        };
        self.call(&call, "the same options").await
    }

    async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
        remedy: &str,
    ) -> Result<T, OperatorError> {
        let body =
            serde_json::to_vec(body).map_err(|error| refused(400, "bad_request", &error.to_string()))?;
        let call = Call {
            method: Method::POST,
            path: path.to_owned(),
            body: body.into(),
        };
        self.call(&call, remedy).await
    }

    async fn call<T: DeserializeOwned>(&self, call: &Call, remedy: &str) -> Result<T, OperatorError> {
        let mut log = Log::default();
        let mut backoff = self.initial_backoff;
        for round in 0..self.max_rounds {
            if round > 0 {
                sleep(backoff).await;
                backoff *= 2;
            }
            if let Some((status, body)) = self.round(call, &mut log).await {
                return read(status, &body);
            }
        }
        let attempts = log.attempts;
        if log.lost && call.method != Method::GET {
            let remedy = remedy.to_owned();
            return Err(ErrorKind::OutcomeUnknown { remedy, attempts }.into());
        }
        Err(ErrorKind::NotServed { attempts }.into())
    }

    /// Tries every address once, and the leaders that they name first.
    async fn round(&self, call: &Call, log: &mut Log) -> Option<(StatusCode, Bytes)> {
        let mut queue: VecDeque<SocketAddr> = self.addresses.iter().copied().collect();
        let mut redirects = 0;
        while let Some(address) = queue.pop_front() {
            match self.attempt(call, address).await {
                Attempt::Answer { status, body } => return Some((status, body)),
                Attempt::Elsewhere { leader, problem } => {
                    log.note(address, problem);
                    if let Some(leader) =
                        leader.filter(|leader| *leader != address && redirects < MAX_REDIRECTS)
                    {
                        redirects += 1;
                        queue.retain(|waiting| *waiting != leader);
                        queue.push_front(leader);
                    }
                }
                Attempt::Unreached { problem } => log.note(address, problem),
                Attempt::Lost { problem } => {
                    log.lost = true;
                    log.note(address, problem);
                }
            }
        }
        None
    }

    async fn attempt(&self, call: &Call, address: SocketAddr) -> Attempt {
        let req = match self.request(call, address) {
            Ok(req) => req,
            Err(error) => {
                return Attempt::Unreached {
                    problem: error.to_string(),
                };
            }
        };
        match timeout(self.timeout, self.exchange(req)).await {
            Ok(attempt) => attempt,
            Err(_) => Attempt::Lost {
                problem: format!("no answer within {} ms", self.timeout.as_millis()),
            },
        }
    }

    fn request(&self, call: &Call, address: SocketAddr) -> Result<Request<Body>, hyper::http::Error> {
        Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{address}{}", call.path))
            .header(AUTHORIZATION, self.authorization.clone())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(call.body.clone()))
    }

    async fn exchange(&self, req: Request<Body>) -> Attempt {
        let response = match self.http.request(req).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return Attempt::Unreached {
                    problem: "cannot be reached".to_owned(),
                };
            }
            Err(error) => {
                return Attempt::Lost {
                    problem: error.to_string(),
                };
            }
        };
        let status = response.status();
        match Limited::new(response.into_body(), MAX_ANSWER).collect().await {
            Ok(body) => classify(status, body.to_bytes()),
            Err(error) => Attempt::Lost {
                problem: format!("the answer broke off: {error}"),
            },
        }
    }
}

fn classify(status: StatusCode, body: Bytes) -> Attempt {
    if status != StatusCode::MISDIRECTED_REQUEST && status != StatusCode::SERVICE_UNAVAILABLE {
        return Attempt::Answer { status, body };
    }
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(body) if body.error.code == OUTCOME_UNKNOWN => Attempt::Lost {
            problem: body.error.message,
        },
        Ok(body) => Attempt::Elsewhere {
            leader: body.leader,
            problem: body.error.message,
        },
        Err(_) => Attempt::Elsewhere {
            leader: None,
            problem: format!("status {status}"),
        },
    }
}

/// Reads an answer; verdicts come with error statuses as well.
fn read<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, OperatorError> {
    match serde_json::from_slice::<T>(body) {
        Ok(answer) => Ok(answer),
        Err(_) if !status.is_success() => {
            let message = String::from_utf8_lossy(body).into_owned();
            let body = serde_json::from_slice(body).unwrap_or_else(|_| ErrorBody::new("unknown", message));
            Err(refused(status.as_u16(), &body.error.code, &body.error.message))
        }
        Err(error) => {
            let message = format!("the answer cannot be read ({error}); use the client of control's version");
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
