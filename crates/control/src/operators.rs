//! Operator requests: forwarding to the leader, proposals and answers.

use std::time::{Instant, SystemTime};

use chestnutfork_config::{Patch, PatchCommand, Verdict};
use chestnutfork_net::LinkId;
use chestnutfork_operator::body::ConfigBody;
use chestnutfork_raft::{MembershipChange, Proposal, RefusalReason, VoterReplacement};
use chestnutfork_types::{LogIndex, OperatorName, ReplicaId, Term};

use crate::answer::Answer;
use crate::core::ControlCore;
use crate::message::{Notice, OperatorRequest, Output, PeerMessage, Reply, RequestId};
use crate::requests::Origin;
use crate::state_machine::{Applied, Command};

impl ControlCore {
    /// Handles a request from an operator of this process.
    pub(crate) fn on_operator(
        &mut self,
        now: Instant,
        wall: SystemTime,
        request_id: RequestId,
        operator: OperatorName,
        request: OperatorRequest,
    ) {
        let origin = Origin::Http(request_id);
        if self.is_leader() {
            self.accept(now, wall, origin, operator, request);
            return;
        }
        let Some(link) = self.leader_link() else {
            self.refuse(origin, RefusalReason::NotLeader { leader: None });
            return;
        };
        let added = self.requests.add(now, origin, operator.clone(), request.clone());
        match added {
            Some(id) => {
                let request = PeerMessage::Request {
                    id,
                    operator,
                    request,
                };
                self.outputs.push(Output::ToPeer(link, request));
            }
            None => self.refuse(origin, RefusalReason::Overloaded),
        }
    }

    /// Handles a request forwarded by a follower; it is not forwarded again.
    pub(crate) fn on_forwarded_request(
        &mut self,
        now: Instant,
        wall: SystemTime,
        link: LinkId,
        id: RequestId,
        operator: OperatorName,
        request: OperatorRequest,
    ) {
        let origin = Origin::Peer(link, id);
        if self.is_leader() {
            self.accept(now, wall, origin, operator, request);
        } else {
            self.refuse(origin, RefusalReason::NotLeader { leader: None });
        }
    }

    pub(crate) fn on_forwarded_answer(&mut self, id: RequestId, reply: Reply) {
        if let Some(pending) = self.requests.take(id) {
            self.deliver(pending.origin, reply);
        }
    }

    /// Starts a request on the leader.
    fn accept(
        &mut self,
        now: Instant,
        wall: SystemTime,
        origin: Origin,
        operator: OperatorName,
        request: OperatorRequest,
    ) {
        let Some(id) = self.requests.add(now, origin, operator, request.clone()) else {
            self.refuse(origin, RefusalReason::Overloaded);
            return;
        };
        match request {
            OperatorRequest::Patch {
                patch,
                dry_run: false,
            } if !self.is_invalid(&patch) => {
                self.propose_patch(wall, id, patch);
            }
            // For a replacement that is in progress or complete, the answer is the current status.
            OperatorRequest::Replace { remove, add, .. } if !self.is_replaced(remove, add) => {
                let change = MembershipChange::Replace(VoterReplacement { remove, add });
                self.change_members(id, change);
            }
            OperatorRequest::PutDocument(document) if document.version > self.state.document_version() => {
                self.propose_document(id, document);
            }
            OperatorRequest::Evacuate { domain, evacuated }
                if self.may_change_evacuation(&domain, evacuated) =>
            {
                self.propose_evacuation(id, domain, evacuated);
            }
            _ => self.queue_read(id),
        }
    }

    fn is_replaced(&self, remove: ReplicaId, add: ReplicaId) -> bool {
        let members = self.raft.membership();
        let finished = members.is_voter(add) && !members.contains(remove);
        finished || members.replacement == Some(VoterReplacement { remove, add })
    }

    fn is_invalid(&self, patch: &Patch) -> bool {
        matches!(self.state.config.dry_run(patch), Verdict::Invalid { .. })
    }

    fn propose_patch(&mut self, wall: SystemTime, id: RequestId, patch: Patch) {
        let command = Command::Patch(PatchCommand { patch, time: wall });
        let command = command.to_bytes();
        self.propose(Proposal { id, command });
    }

    /// Answers a request after a quorum has confirmed the leadership of this replica.
    pub(crate) fn on_read_ready(&mut self, now: Instant, wall: SystemTime, id: RequestId) {
        let Some(pending) = self.requests.get(id).cloned() else {
            return;
        };
        let answer = match pending.request {
            // Entries applied since the request arrived may have made the patch valid.
            OperatorRequest::Patch {
                patch,
                dry_run: false,
            } if !self.is_invalid(&patch) => {
                self.propose_patch(wall, id, patch);
                return;
            }
            // The version may have been compared with an outdated state when the request arrived.
            OperatorRequest::PutDocument(document) if document.version > self.state.document_version() => {
                self.propose_document(id, document);
                return;
            }
            OperatorRequest::Evacuate { domain, evacuated }
                if self.may_change_evacuation(&domain, evacuated) =>
            {
                self.propose_evacuation(id, domain, evacuated);
                return;
            }
            OperatorRequest::Evacuate { .. } => Answer::EvacuationStored,
            OperatorRequest::PutDocument(_) => Answer::DocumentStored,
            OperatorRequest::GetDocument => Answer::Document(self.state.document.clone()),
            OperatorRequest::Patch { patch, .. } => Answer::Verdict(self.state.config.dry_run(&patch)),
            OperatorRequest::Status | OperatorRequest::Replace { .. } => Answer::Status(self.status(now)),
            OperatorRequest::Audit { since } => Answer::Audit(self.audit(since)),
            OperatorRequest::Config => Answer::Config(ConfigBody {
                version: self.version(),
                document: self.state.config.redacted(),
            }),
        };
        self.requests.take(id);
        self.answer(pending.origin, answer);
    }

    /// Answers the request whose proposal was at the index of an applied entry.
    pub(crate) fn answer_applied(&mut self, now: Instant, index: LogIndex, term: Term, applied: Applied) {
        let Some(pending) = self.requests.take_at_index(index) else {
            return;
        };
        let won = pending.position == Some((index, term));
        let answer = match (applied, &pending.request) {
            (Applied::Verdict(verdict), OperatorRequest::Patch { patch, .. }) if won => {
                let notice = Notice::Verdict {
                    patch: patch.clone(),
                    verdict: verdict.clone(),
                };
                self.outputs.push(Output::Notice(notice));
                Answer::Verdict(verdict)
            }
            (_, &OperatorRequest::Replace { remove, add, .. }) if won => {
                let operator = pending.operator.clone();
                let notice = Notice::MemberReplaced {
                    remove,
                    add,
                    operator,
                };
                self.outputs.push(Output::Notice(notice));
                Answer::Status(self.status(now))
            }
            (Applied::Document, OperatorRequest::PutDocument(_)) if won => Answer::DocumentStored,
            (Applied::Evacuation, OperatorRequest::Evacuate { .. }) if won => Answer::EvacuationStored,
            // An entry of another leader was committed at this index, so the proposal can never be committed.
            _ => Answer::Unavailable {
                message: "leadership changed before the change was accepted; send the request again",
                leader: self.leader_address(),
            },
        };
        self.answer(pending.origin, answer);
    }

    pub(crate) fn on_refused(&mut self, id: RequestId, reason: RefusalReason) {
        if let Some(pending) = self.requests.take(id) {
            self.refuse(pending.origin, reason);
        }
    }

    /// Answers requests that have timed out.
    pub(crate) fn expire_requests(&mut self, now: Instant) {
        for pending in self.requests.expire(now) {
            self.answer(pending.origin, Answer::OutcomeUnknown);
        }
    }

    /// Answers all requests with an unknown outcome after a failed write.
    pub(crate) fn fail_requests(&mut self) {
        for pending in self.requests.take_all() {
            self.answer(pending.origin, Answer::OutcomeUnknown);
        }
    }

    fn refuse(&mut self, origin: Origin, reason: RefusalReason) {
        let leader = self.leader_address();
        self.answer(origin, Answer::from_refusal(reason, leader));
    }

    fn answer(&mut self, origin: Origin, answer: Answer) {
        self.deliver(origin, answer.into_reply());
    }

    fn deliver(&mut self, origin: Origin, reply: Reply) {
        let output = match origin {
            Origin::Http(request_id) => Output::Reply(request_id, reply),
            Origin::Peer(link, id) => Output::ToPeer(link, PeerMessage::Answer { id, reply }),
        };
        self.outputs.push(output);
    }

    fn leader_address(&self) -> Option<String> {
        let leader = self.raft.leader()?;
        self.peers.operators(leader).map(str::to_owned)
    }
}
