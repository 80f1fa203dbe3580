//! HTTP interface of operators.

use bytes::Bytes;
use chestnutfork_config::{Patch, TokenHash};
use chestnutfork_events::{ControlEvent, emit};
use chestnutfork_net::{Body, HttpHandler, bearer_token};
use chestnutfork_types::OperatorName;
use chestnutfork_wire::{OperatorBodyError, PatchBody, ReplaceBody};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use ractor::ActorRef;
use tokio::sync::oneshot;

use crate::answer::error;
use crate::message::{OperatorRequest, Reply};
use crate::replica::ReplicaMessage;

/// Operator who may send requests.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Name for the audit trail.
    pub name: OperatorName,
    /// Hash of the bearer token.
    pub token: TokenHash,
}

/// Handler of the requests of operators.
#[derive(Clone, Debug)]
pub(crate) struct Front {
    pub(crate) actor: ActorRef<ReplicaMessage>,
    pub(crate) operators: Vec<Operator>,
}

impl HttpHandler for Front {
    async fn handle(&self, req: Request<Bytes>) -> Response<Body> {
        let reply = match self.authenticate(&req) {
            Some(operator) => self.route(operator, &req).await,
            None => reject(),
        };
        response(reply)
    }
}

impl Front {
    /// Returns the operator of the bearer token; all tokens are compared, each in constant time.
    fn authenticate(&self, req: &Request<Bytes>) -> Option<OperatorName> {
        let token = TokenHash::of(bearer_token(req)?);
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
            (&Method::POST, "/v1/patches") => patch(&operator, req.body()),
            (&Method::POST, "/v1/replace") => replace(req.body()),
            (&Method::GET, "/v1/status") => Ok(OperatorRequest::Status),
            (&Method::GET, "/v1/config") => Ok(OperatorRequest::Config),
            (&Method::GET, "/v1/audit") => Ok(audit(req.uri().query().unwrap_or_default())),
            _ => return error(404, "not_found", "no such path; see docs/API.md".to_owned(), None),
        };
        match request {
            Ok(request) => self.ask(operator, request).await,
            Err(problem) => error(400, "bad_request", problem.to_string(), None),
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
            let message = "this process is stopping; send the request with the same patch id to another one";
            error(503, "stopping", message.to_owned(), None)
        })
    }
}

fn patch(operator: &str, body: &[u8]) -> Result<OperatorRequest, OperatorBodyError> {
    let body = PatchBody::parse(body)?;
    let id = body.id()?;
    let dry_run = body.dry_run;
    let patch = Patch {
        base: body.base,
        id,
        operator: operator.to_owned(),
        reason: body.reason,
        body: body.body,
    };
    Ok(OperatorRequest::Patch { patch, dry_run })
}

fn replace(body: &[u8]) -> Result<OperatorRequest, OperatorBodyError> {
    let (remove, add) = ReplaceBody::parse(body)?.replicas()?;
    Ok(OperatorRequest::Replace { remove, add })
}

/// Reads `since=N`; without it, all records are wanted.
fn audit(query: &str) -> OperatorRequest {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let since = pairs.find(|(key, _)| *key == "since").map(|(_, value)| value);
    let since = since.and_then(|value| value.parse().ok()).unwrap_or(0);
    OperatorRequest::Audit { since }
}

fn reject() -> Reply {
    let message = "the bearer token belongs to no operator; see `operators` in control's settings";
    emit(&ControlEvent::OperatorRejected {
        address: "",
        reason: "no bearer token of a known operator",
    });
    error(401, "not_authenticated", message.to_owned(), None)
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
