//! HTTP interface of callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use chestnutfork_config::Document;
use chestnutfork_dispatch::{JobResult, Ticket};
use chestnutfork_events::{EntryEvent, emit};
use chestnutfork_net::{Body, HttpHandler, header_token, json_response};
use chestnutfork_types::{Execution, Refusal, RefusalCode, TeamName};
use chestnutfork_wire::{AnswerBody, RefusalBody, SubmitBody, parse_job_id};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use ractor::ActorRef;
use tokio::sync::{oneshot, watch};
use uuid::Uuid;

use crate::actor::EntryMessage;
use crate::status::StatusBody;

/// Handler of the requests of callers.
#[derive(Clone, Debug)]
pub(crate) struct CallerHandler {
    pub(crate) actor: ActorRef<EntryMessage>,
    pub(crate) documents: watch::Receiver<Arc<Document>>,
    pub(crate) next_ticket: Arc<AtomicU64>,
}

/// Guard that notifies the actor if the caller disconnects before its response is ready.
struct AbandonOnDrop {
    actor: ActorRef<EntryMessage>,
    ticket: Ticket,
    answered: bool,
}

impl Drop for AbandonOnDrop {
    fn drop(&mut self) {
        if !self.answered {
            drop(self.actor.cast(EntryMessage::Abandon { ticket: self.ticket }));
        }
    }
}

impl HttpHandler for CallerHandler {
    fn refuse(&self, head: &Parts) -> Option<Response<Body>> {
        let segments: Vec<_> = head.uri.path().trim_matches('/').split('/').collect();
        match (&head.method, segments.as_slice()) {
            (&Method::GET, ["v1", "health"]) => None,
            (&Method::GET, ["v1", "status"])
            | (&Method::POST, ["v1", "services", _, "jobs"])
            | (&Method::DELETE, ["v1", "services", _, "jobs", _]) => {
                let team = self.authenticate(&head.headers);
                team.is_none().then(unauthorized_response)
            }
            _ => Some(not_found_response()),
        }
    }

    async fn handle(&self, req: Request<Bytes>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        let segments: Vec<_> = path.trim_matches('/').split('/').collect();
        match (req.method(), segments.as_slice()) {
            (&Method::GET, ["v1", "health"]) => json_response(StatusCode::OK, &serde_json::json!({})),
            (&Method::GET, ["v1", "status"]) => self.status(&req).await,
            (&Method::POST, ["v1", "services", service, "jobs"]) => self.submit(&req, service).await,
            (&Method::DELETE, ["v1", "services", service, "jobs", job]) => {
                self.cancel(&req, service, job).await
            }
            _ => not_found_response(),
        }
    }
}

impl CallerHandler {
    fn authenticate(&self, headers: &HeaderMap) -> Option<TeamName> {
        let document = Arc::clone(&self.documents.borrow());
        let team = header_token(headers).and_then(|token| document.team_by_token(token));
        let team = team.map(|team| team.name.clone());
        if team.is_none() {
            emit(&EntryEvent::CallerRejected {
                address: "caller",
                reason: "the team token is missing or unknown",
            });
        }
        team
    }

    async fn submit(&self, req: &Request<Bytes>, service: &str) -> Response<Body> {
        let Some(team) = self.authenticate(req.headers()) else {
            return unauthorized_response();
        };
        let context = RequestContext { service, team: &team };
        let submission = match SubmitBody::parse(req.body()) {
            Ok(submission) => submission,
            Err(error) => return refusal_response(context, &error.refusal()),
        };
        let document = Arc::clone(&self.documents.borrow());
        // If the caller has sent an id, the job may have run under an earlier configuration: the outcome is unknown.
        let rejected = |code, message: String| match submission.id {
            Some(_) => refusal_response(context, &Refusal::unknown(code, message)),
            None => refusal_response(context, &Refusal::not_run(code, message)),
        };
        let Some(policy) = document.service(service) else {
            let message = format!("service `{service}` is not configured; check the name in the URL");
            return rejected(RefusalCode::UnknownService, message);
        };
        if !document
            .team(&team)
            .is_some_and(|team| team.may_submit_to(service))
        {
            let message = format!("team `{team}` may not use service `{service}`; ask an operator to add it");
            return rejected(RefusalCode::NotAllowed, message);
        }
        let fresh_id = submission.id.is_none();
        let id = submission.id.unwrap_or_else(|| Uuid::now_v7().as_u128());
        let job = submission.into_job(id, service.to_owned(), team.clone(), policy);
        self.call_actor(context, |ticket, reply| EntryMessage::Submit {
            ticket,
            job,
            fresh_id,
            reply,
        })
        .await
    }

    async fn cancel(&self, req: &Request<Bytes>, service: &str, job: &str) -> Response<Body> {
        let Some(team) = self.authenticate(req.headers()) else {
            return unauthorized_response();
        };
        let context = RequestContext { service, team: &team };
        match parse_job_id(job) {
            Ok(job) => {
                self.call_actor(context, |ticket, reply| EntryMessage::Cancel {
                    ticket,
                    job,
                    team: team.clone(),
                    reply,
                })
                .await
            }
            Err(error) => refusal_response(context, &error.refusal()),
        }
    }

    async fn status(&self, req: &Request<Bytes>) -> Response<Body> {
        let Some(team) = self.authenticate(req.headers()) else {
            return unauthorized_response();
        };
        let (reply, status) = oneshot::channel();
        drop(self.actor.cast(EntryMessage::Status(reply)));
        match status.await {
            Ok(status) => json_response(StatusCode::OK, &StatusBody::from(status)),
            Err(_) => refusal_response(
                RequestContext {
                    service: "",
                    team: &team,
                },
                &entry_stopped(),
            ),
        }
    }

    /// Sends a message with a reply channel to the actor and turns the reply into a response.
    async fn call_actor(
        &self,
        context: RequestContext<'_>,
        message: impl FnOnce(Ticket, oneshot::Sender<JobResult>) -> EntryMessage,
    ) -> Response<Body> {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (reply, result) = oneshot::channel();
        let mut guard = AbandonOnDrop {
            actor: self.actor.clone(),
            ticket,
            answered: false,
        };
        drop(self.actor.cast(message(ticket, reply)));
        let result = result.await;
        guard.answered = true;
        match result {
            Ok(Ok(answer)) => json_response(StatusCode::OK, &AnswerBody::from(&answer)),
            Ok(Err(refusal)) => refusal_response(context, &refusal),
            Err(_) => refusal_response(context, &entry_stopped()),
        }
    }
}

fn entry_stopped() -> Refusal {
    let message = "the entry stopped; submit the same job to another entry to learn its outcome";
    Refusal::unknown(RefusalCode::Draining, message)
}

fn not_found_response() -> Response<Body> {
    let body = RefusalBody::not_run("not_found", "there is no such path; see docs/API.md");
    json_response(StatusCode::NOT_FOUND, &body)
}

fn unauthorized_response() -> Response<Body> {
    let body = RefusalBody::not_run(
        "unauthorized",
        "present the team's token as `Authorization: Bearer ...`",
    );
    json_response(StatusCode::UNAUTHORIZED, &body)
}

/// Team and service of a request, for the log.
#[derive(Clone, Copy, Debug)]
struct RequestContext<'a> {
    service: &'a str,
    team: &'a str,
}

fn refusal_response(context: RequestContext<'_>, refusal: &Refusal) -> Response<Body> {
    let RequestContext { service, team } = context;
    let not_run = refusal.execution == Execution::NotRun;
    emit(&EntryEvent::JobRefused {
        service,
        team,
        code: refusal.code.as_str(),
        not_run,
    });
    json_response(status_code(refusal.code), &RefusalBody::from(refusal))
}

/// Returns the HTTP status of a refusal.
fn status_code(code: RefusalCode) -> StatusCode {
    match code {
        RefusalCode::BadJob | RefusalCode::BadJobId => StatusCode::BAD_REQUEST,
        RefusalCode::NotAllowed => StatusCode::FORBIDDEN,
        RefusalCode::UnknownService => StatusCode::NOT_FOUND,
        RefusalCode::OutcomeUnknown | RefusalCode::IdReused => StatusCode::CONFLICT,
        RefusalCode::CanNeverRun => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalCode::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
        RefusalCode::DeadlineUnmeetable
        | RefusalCode::QueueFull
        | RefusalCode::RegisterFull
        | RefusalCode::NoQuorum
        | RefusalCode::Unconfirmed
        | RefusalCode::Draining => StatusCode::SERVICE_UNAVAILABLE,
    }
}
