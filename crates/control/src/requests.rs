//! Requests of operators that wait for an answer.

use std::time::{Duration, Instant};

use chestnutfork_net::LinkId;
use chestnutfork_types::{LogIndex, OperatorName, Term};
use indexmap::IndexMap;

use crate::message::{OperatorRequest, RequestId};

/// Time after which an operator is told to send the request again.
const TIMEOUT: Duration = Duration::from_secs(5);
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
pub(crate) struct Pending {
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
    pending: IndexMap<RequestId, Pending>,
    next: RequestId,
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
        self.next += 1;
        let pending = Pending {
            origin,
            operator,
            request,
            position: None,
            deadline: now + TIMEOUT,
        };
        self.pending.insert(self.next, pending);
        Some(self.next)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&Pending> {
        self.pending.get(&id)
    }

    pub(crate) fn take(&mut self, id: RequestId) -> Option<Pending> {
        self.pending.shift_remove(&id)
    }

    pub(crate) fn proposed(&mut self, id: RequestId, index: LogIndex, term: Term) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.position = Some((index, term));
        }
    }

    /// Takes the request whose proposal lies at a position.
    pub(crate) fn take_at(&mut self, index: LogIndex) -> Option<Pending> {
        let at_index = |pending: &Pending| pending.position.is_some_and(|(at, _)| at == index);
        let id = self
            .pending
            .iter()
            .find(|(_, pending)| at_index(pending))
            .map(|(&id, _)| id)?;
        self.take(id)
    }

    /// Takes the requests that waited too long.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<Pending> {
        self.take_if(|pending| pending.deadline <= now)
    }

    /// Takes all requests, because their fate is unknown from now on.
    pub(crate) fn take_all(&mut self) -> Vec<Pending> {
        self.take_if(|_| true)
    }

    fn take_if(&mut self, unwanted: impl Fn(&Pending) -> bool) -> Vec<Pending> {
        let ids: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| unwanted(pending))
            .map(|(&id, _)| id)
            .collect();
        ids.into_iter().filter_map(|id| self.take(id)).collect()
    }
}
