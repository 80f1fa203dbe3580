//! Operator requests that wait for an answer.

use std::time::{Duration, Instant};

use chestnutfork_net::LinkId;
use chestnutfork_types::{LogIndex, OperatorName, Term};
use indexmap::IndexMap;

use crate::message::{OperatorRequest, RequestId};

/// Time after which a request is answered with an unknown outcome.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of pending requests; further ones are refused immediately.
const MAX_PENDING: usize = 1024;

/// Source of a request, to which the answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// An operator of this process.
    Http(RequestId),
    /// A follower that forwarded the request.
    Peer(LinkId, RequestId),
}

/// Request that has not been answered.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) origin: Origin,
    pub(crate) operator: OperatorName,
    pub(crate) request: OperatorRequest,
    /// Position in the log at which the request was proposed.
    pub(crate) position: Option<(LogIndex, Term)>,
    deadline: Instant,
}

/// Pending requests by the number that this process assigned to them.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    pending: IndexMap<RequestId, PendingRequest>,
    last_id: RequestId,
}

impl Requests {
    /// Adds a request and returns its number, or `None` if [`MAX_PENDING`] requests are pending.
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

    /// Removes and returns the request that was proposed at a log index.
    pub(crate) fn take_at_index(&mut self, index: LogIndex) -> Option<PendingRequest> {
        let at_index = |pending: &PendingRequest| pending.position.is_some_and(|(at, _)| at == index);
        let id = self
            .pending
            .iter()
            .find(|(_, pending)| at_index(pending))
            .map(|(&id, _)| id)?;
        self.take(id)
    }

    /// Removes and returns the requests whose deadline has passed.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<PendingRequest> {
        self.take_if(|pending| pending.deadline <= now)
    }

    /// Removes and returns all requests.
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
