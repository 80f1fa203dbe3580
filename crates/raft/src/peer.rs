//! What a leader knows about one other replica.

use std::collections::VecDeque;
use std::time::Instant;

use chestnutfork_types::{LogIndex, ReplicaId};

/// How a leader sends the log to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// One message at a time, until the position where the logs match is found.
    Probe {
        /// Whether a message is unanswered.
        waiting: bool,
    },
    /// A window of messages without waiting for each reply.
    Replicate,
    /// One snapshot part at a time.
    Snapshot {
        /// Position of the snapshot that is being sent.
        index: LogIndex,
        /// Bytes that the peer has.
        offset: u64,
        /// Time of the last part.
        sent_at: Instant,
    },
}

/// Progress of one peer.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) id: ReplicaId,
    /// Last position known to match, durable at the peer.
    pub(crate) match_index: LogIndex,
    /// Next position to send.
    pub(crate) next_index: LogIndex,
    pub(crate) mode: Mode,
    /// Last positions of the unanswered append messages.
    pub(crate) in_flight: VecDeque<LogIndex>,
    /// Time of the last reply of this term.
    pub(crate) last_reply_at: Instant,
    /// Latest quorum check that the peer answered.
    pub(crate) round: u64,
}

impl Peer {
    pub(crate) fn new(id: ReplicaId, next_index: LogIndex, now: Instant) -> Self {
        Self {
            id,
            match_index: 0,
            next_index,
            mode: Mode::Probe { waiting: false },
            in_flight: VecDeque::new(),
            last_reply_at: now,
            round: 0,
        }
    }

    /// Takes in a confirmed position and reports whether it is new.
    pub(crate) fn record_accepted(&mut self, match_index: LogIndex) -> bool {
        while self.in_flight.front().is_some_and(|&last| last <= match_index) {
            self.in_flight.pop_front();
        }
        let advanced = match_index > self.match_index;
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        match self.mode {
            Mode::Probe { .. } if match_index + 1 >= self.next_index => self.mode = Mode::Replicate,
            Mode::Probe { .. } => self.mode = Mode::Probe { waiting: false },
            Mode::Snapshot { index, .. } if self.match_index >= index => {
                self.start_probe(self.match_index + 1);
            }
            _ => {}
        }
        advanced
    }

    /// Goes back to one message at a time from a position.
    pub(crate) fn start_probe(&mut self, next_index: LogIndex) {
        self.in_flight.clear();
        self.next_index = next_index.max(self.match_index + 1);
        self.mode = Mode::Probe { waiting: false };
    }

    /// Sends the snapshot at a position from its beginning.
    pub(crate) fn start_snapshot(&mut self, index: LogIndex, sent_at: Instant) {
        self.in_flight.clear();
        self.mode = Mode::Snapshot {
            index,
            offset: 0,
            sent_at,
        };
    }

    /// Reports whether a rejection is about the latest state and not an old message.
    pub(crate) fn is_current_rejection(&self, prev_index: LogIndex) -> bool {
        match self.mode {
            Mode::Probe { .. } => prev_index + 1 == self.next_index,
            Mode::Replicate => prev_index > self.match_index && prev_index < self.next_index,
            Mode::Snapshot { .. } => false,
        }
    }

    /// Reports whether another append message may be sent.
    pub(crate) fn can_send(&self, max_in_flight: usize) -> bool {
        match self.mode {
            Mode::Probe { waiting } => !waiting,
            Mode::Replicate => self.in_flight.len() < max_in_flight,
            Mode::Snapshot { .. } => false,
        }
    }

    /// Notes an append message that ends at a position.
    pub(crate) fn record_append(&mut self, last: LogIndex) {
        match self.mode {
            Mode::Probe { .. } => self.mode = Mode::Probe { waiting: true },
            Mode::Replicate => {
                self.next_index = last + 1;
                self.in_flight.push_back(last);
            }
            Mode::Snapshot { .. } => {}
        }
    }
}
