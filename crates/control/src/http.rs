//! HTTP interface for operators.

use bytes::Bytes;
use chestnutfork_config::TokenHash;
use chestnutfork_events::{ControlEvent, emit};
use chestnutfork_net::{Body, HttpHandler, header_token};
use chestnutfork_operator::body::{
    AUDIT_PATH, CONFIG_PATH, PATCHES_PATH, PatchBody, REPLACE_PATH, ReplaceBody, STATUS_PATH,
};
use chestnutfork_types::OperatorName;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use ractor::ActorRef;
use tokio::sync::oneshot;

use crate::answer::error;
use crate::message::{OperatorRequest, Reply};
use crate::replica::ReplicaMessage;

/// Operator with access to the HTTP interface.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Name recorded in the audit trail.
    pub name: OperatorName,
    /// Hash of the bearer token.
    pub token: TokenHash,
}

/// Authenticates operators and forwards their requests to the actor.
#[derive(Clone, Debug)]
pub(crate) struct OperatorHandler {
    pub(crate) actor: ActorRef<ReplicaMessage>,
    pub(crate) operators: Vec<Operator>,
}

impl HttpHandler for OperatorHandler {
    fn refuse(&self, head: &Parts) -> Option<Response<Body>> {
        let operator = self.authenticate(&head.headers);
        operator.is_none().then(|| response(reject_unauthenticated()))
    }

    async fn handle(&self, req: Request<Bytes>) -> Response<Body> {
        let reply = match self.authenticate(req.headers()) {
            Some(operator) => self.route(operator, &req).await,
            None => reject_unauthenticated(),
        };
        response(reply)
    }
}

impl OperatorHandler {
    /// Returns the operator with the request's bearer token.
    ///
    /// All tokens are compared, each in constant time, to avoid a timing side channel.
    fn authenticate(&self, headers: &HeaderMap) -> Option<OperatorName> {
        let token = TokenHash::of(header_token(headers)?);
        let mut found = None;
        for operator in &self.operators {
            if operator.token.matches(&token) {
                found = Some(operator.name.clone());
            }
        }
        found
    }

    async fn route(&self, operator: OperatorName, req: &Request<Bytes>) -> Reply {
        let request = match (req.method(), req.uri().path()) {
            (&Method::POST, PATCHES_PATH) => parse_patch(&operator, req.body()),
            (&Method::POST, REPLACE_PATH) => parse_replace(req.body()),
            (&Method::GET, STATUS_PATH) => Ok(OperatorRequest::Status),
            (&Method::GET, CONFIG_PATH) => Ok(OperatorRequest::Config),
            (&Method::GET, AUDIT_PATH) => Ok(parse_audit(req.uri().query().unwrap_or_default())),
            _ => return error(404, "not_found", "no such path or method; see docs/OPERATIONS.md"),
        };
        match request {
            Ok(request) => self.ask(operator, request).await,
            Err(problem) => {
                let message = format!("invalid request body: {problem}; see docs/OPERATIONS.md");
                error(400, "bad_request", message)
            }
        }
    }

    async fn ask(&self, operator: OperatorName, request: OperatorRequest) -> Reply {
        let (reply, answer) = oneshot::channel();
        let message = ReplicaMessage::Operator {
            operator,
            request,
            reply,
        };
        let sent = self.actor.cast(message).is_ok();
        let answer = if sent { answer.await.ok() } else { None };
        answer.unwrap_or_else(|| {
            let message = "this process is stopping; send the request to another one, with the same patch id";
            error(503, "stopping", message)
        })
    }
}

fn parse_patch(operator: &OperatorName, body: &[u8]) -> serde_json::Result<OperatorRequest> {
    let body: PatchBody = serde_json::from_slice(body)?;
    let dry_run = body.dry_run;
    let patch = body.into_patch(operator.clone());
    Ok(OperatorRequest::Patch { patch, dry_run })
}

fn parse_replace(body: &[u8]) -> serde_json::Result<OperatorRequest> {
    let body: ReplaceBody = serde_json::from_slice(body)?;
    Ok(OperatorRequest::Replace {
        remove: body.old,
        add: body.new,
        reason: body.reason,
    })
}

/// Parses the query `since=N`; without it, the request reads all records.
fn parse_audit(query: &str) -> OperatorRequest {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let since = pairs.find(|(key, _)| *key == "since").map(|(_, value)| value);
    let since = since.and_then(|value| value.parse().ok()).unwrap_or(0);
    OperatorRequest::Audit { since }
}

fn reject_unauthenticated() -> Reply {
    let message =
        "the bearer token is missing or belongs to no operator; see `operators` in the settings of control";
    emit(&ControlEvent::OperatorRejected {
        address: "",
        reason: "no bearer token of a known operator",
    });
    error(401, "not_authenticated", message)
}

fn response(reply: Reply) -> Response<Body> {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    }
    response
}
