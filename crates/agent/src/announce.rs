//! HTTP endpoint on which the target announces itself to its agent.

use chestnutfork_config::TokenHash;
use chestnutfork_events::{AgentEvent, emit};
use chestnutfork_net::{Body, HttpHandler, header_token, json_response};
use chestnutfork_wire::RefusalBody;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use ractor::ActorRef;
use serde::Deserialize;

use crate::actor::AgentMessage;

/// Largest number of slots that a target may announce.
const MAX_SLOTS: u32 = 4_096;

/// Announcement that the target sends to its agent.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TargetAnnouncement {
    pub(crate) target: String,
    pub(crate) pool: String,
    pub(crate) slots: u32,
    /// Address on which the target accepts tasks.
    pub(crate) address: String,
    #[serde(default)]
    pub(crate) leaving: bool,
}

impl TargetAnnouncement {
    /// Returns the reason why the announcement is invalid, or `None` if it is valid.
    fn validation_error(&self) -> Option<&'static str> {
        if self.target.is_empty() || self.pool.is_empty() {
            return Some("`target` and `pool` must not be empty");
        }
        if self.slots == 0 || self.slots > MAX_SLOTS {
            return Some("`slots` must be between 1 and 4096");
        }
        if self.address.parse::<std::net::SocketAddr>().is_err() {
            return Some("`address` must be an IP address with a port");
        }
        None
    }
}

/// HTTP handler of the announcement endpoint.
#[derive(Clone, Debug)]
pub(crate) struct AnnouncementHandler {
    pub(crate) actor: ActorRef<AgentMessage>,
    /// Hash of the token that the target must present.
    pub(crate) token: TokenHash,
}

impl HttpHandler for AnnouncementHandler {
    fn refuse(&self, head: &Parts) -> Option<Response<Body>> {
        if head.method != Method::POST || head.uri.path() != "/v1/announce" {
            let body = RefusalBody::not_run("not_found", "the only path is POST /v1/announce");
            return Some(json_response(StatusCode::NOT_FOUND, &body));
        }
        if header_token(&head.headers).is_some_and(|token| self.token.matches(&TokenHash::of(token))) {
            return None;
        }
        emit(&AgentEvent::TargetRefused {
            address: "target",
            reason: "the target token is missing or wrong",
        });
        let body = RefusalBody::not_run(
            "unauthorized",
            "present the agent's `target_token` as bearer token",
        );
        Some(json_response(StatusCode::UNAUTHORIZED, &body))
    }

    async fn handle(&self, req: Request<bytes::Bytes>) -> Response<Body> {
        let announcement = match serde_json::from_slice::<TargetAnnouncement>(req.body()) {
            Ok(announcement) => announcement,
            Err(error) => {
                let body = RefusalBody::not_run("bad_announcement", error.to_string());
                return json_response(StatusCode::BAD_REQUEST, &body);
            }
        };
        if let Some(error) = announcement.validation_error() {
            emit(&AgentEvent::TargetRefused {
                address: &announcement.address,
                reason: error,
            });
            let body = RefusalBody::not_run("bad_announcement", error);
            return json_response(StatusCode::BAD_REQUEST, &body);
        }
        drop(self.actor.cast(AgentMessage::Target(announcement)));
        json_response(StatusCode::OK, &serde_json::json!({}))
    }
}
