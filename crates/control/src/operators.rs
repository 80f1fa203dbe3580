//! Requests of operators: forwarding, proposals and answers.

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
    /// Takes in a request of an operator at this process.
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

    /// Takes in a request that a follower passed on; it is never passed on again.
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

    /// Starts a request at the leader.
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
            // A replacement that was begun or finished before is answered with its present state.
            OperatorRequest::Replace { remove, add, .. } if !self.is_replaced(remove, add) => {
                let change = MembershipChange::Replace(VoterReplacement { remove, add });
                self.change_members(id, change);
            }
            OperatorRequest::PutDocument(document) if document.version > self.state.document_version() => {
                self.propose_document(id, document);
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

    /// Answers a read, now that this replica has proved that it leads.
    pub(crate) fn on_read_ready(&mut self, now: Instant, wall: SystemTime, id: RequestId) {
        let Some(pending) = self.requests.get(id).cloned() else {
            return;
        };
        let answer = match pending.request {
            // The patch may have become valid by entries that were applied since it arrived.
            OperatorRequest::Patch {
                patch,
                dry_run: false,
            } if !self.is_invalid(&patch) => {
                self.propose_patch(wall, id, patch);
                return;
            }
            // The reader's own state may have been behind when the request arrived.
            OperatorRequest::PutDocument(document) if document.version > self.state.document_version() => {
                self.propose_document(id, document);
                return;
            }
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

    /// Answers the request whose proposal lay at a committed position.
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
            // Another leader's entry took the position, so the proposal is lost for good.
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

    /// Answers requests that waited too long.
    pub(crate) fn expire_requests(&mut self, now: Instant) {
        for pending in self.requests.expire(now) {
            self.answer(pending.origin, Answer::OutcomeUnknown);
        }
    }

    /// Answers all requests after a failed write.
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
