//! Requests of operators that wait for an answer.

use std::time::{Duration, Instant};

use chestnutfork_net::LinkId;
use chestnutfork_types::{LogIndex, OperatorName, Term};
use indexmap::IndexMap;

use crate::message::{OperatorRequest, RequestId};

/// Time after which an operator is told to send the request again.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest number of waiting requests; more are refused at once.
const MAX_PENDING: usize = 1024;

/// Where an answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// To an operator of this process.
    Http(RequestId),
    /// To a follower that passed the request on.
    Peer(LinkId, RequestId),
}

/// One waiting request.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) origin: Origin,
    pub(crate) operator: OperatorName,
    pub(crate) request: OperatorRequest,
    /// Position of the proposal in the log.
    pub(crate) position: Option<(LogIndex, Term)>,
    deadline: Instant,
}

/// Waiting requests, by the number under which this process knows them.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    pending: IndexMap<RequestId, PendingRequest>,
    last_id: RequestId,
}

impl Requests {
    /// Adds a request and returns its number, unless too many wait.
    pub(crate) fn add(
        &mut self,
        now: Instant,
        origin: Origin,
        operator: OperatorName,
        request: OperatorRequest,
    ) -> Option<RequestId> {
        if self.pending.len() >= MAX_PENDING {
            return None;
        }
        self.last_id += 1;
        let pending = PendingRequest {
            origin,
            operator,
            request,
            position: None,
            deadline: now + REQUEST_TIMEOUT,
        };
        self.pending.insert(self.last_id, pending);
        Some(self.last_id)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.pending.get(&id)
    }

    pub(crate) fn take(&mut self, id: RequestId) -> Option<PendingRequest> {
        self.pending.shift_remove(&id)
    }

    pub(crate) fn set_position(&mut self, id: RequestId, index: LogIndex, term: Term) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.position = Some((index, term));
        }
    }

    /// Takes the request whose proposal lies at a position.
    pub(crate) fn take_at_index(&mut self, index: LogIndex) -> Option<PendingRequest> {
        let at_index = |pending: &PendingRequest| pending.position.is_some_and(|(at, _)| at == index);
        let id = self
            .pending
            .iter()
            .find(|(_, pending)| at_index(pending))
            .map(|(&id, _)| id)?;
        self.take(id)
    }

    /// Takes the requests that waited too long.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<PendingRequest> {
        self.take_if(|pending| pending.deadline <= now)
    }

    /// Takes all requests, because their fate is unknown from now on.
    pub(crate) fn take_all(&mut self) -> Vec<PendingRequest> {
        self.take_if(|_| true)
    }

    fn take_if(&mut self, matches: impl Fn(&PendingRequest) -> bool) -> Vec<PendingRequest> {
        let ids: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| matches(pending))
            .map(|(&id, _)| id)
            .collect();
        ids.into_iter().filter_map(|id| self.take(id)).collect()
    }
}
