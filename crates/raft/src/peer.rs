//! Replication progress of a peer, as tracked by the leader.

use std::collections::VecDeque;
use std::time::Instant;

use chestnutfork_types::{LogIndex, ReplicaId};

/// Replication mode of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Sends one message at a time until the last matching index is found.
    Probe {
        /// Whether a message awaits its reply.
        waiting: bool,
    },
    /// Pipelines messages up to a window of unacknowledged ones.
    Replicate,
    /// Sends one chunk of a snapshot at a time.
    Snapshot {
        /// Log index of the snapshot.
        index: LogIndex,
        /// Number of bytes that the peer has received.
        offset: u64,
        /// Time at which the last chunk was sent.
        sent_at: Instant,
    },
}

/// Replication progress of a peer.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) id: ReplicaId,
    /// Index of the last entry known to match, which is durable at the peer.
    pub(crate) match_index: LogIndex,
    /// Index of the next entry to send.
    pub(crate) next_index: LogIndex,
    pub(crate) mode: Mode,
    /// Index of the last entry of each unacknowledged append message.
    pub(crate) in_flight: VecDeque<LogIndex>,
    /// Time of the last reply in this term, or of the creation of this state.
    pub(crate) last_reply_at: Instant,
    /// Latest heartbeat round that the peer acknowledged.
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

    /// Records an acknowledged index and returns whether it raises the match index.
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

    /// Switches to probing from an index.
    pub(crate) fn start_probe(&mut self, next_index: LogIndex) {
        self.in_flight.clear();
        self.next_index = next_index.max(self.match_index + 1);
        self.mode = Mode::Probe { waiting: false };
    }

    /// Switches to sending a snapshot from its first byte.
    pub(crate) fn start_snapshot(&mut self, index: LogIndex, sent_at: Instant) {
        self.in_flight.clear();
        self.mode = Mode::Snapshot {
            index,
            offset: 0,
            sent_at,
        };
    }

    /// Returns whether a rejection refers to the current state rather than to an outdated message.
    pub(crate) fn is_current_rejection(&self, prev_index: LogIndex) -> bool {
        match self.mode {
            Mode::Probe { .. } => prev_index + 1 == self.next_index,
            Mode::Replicate => prev_index > self.match_index && prev_index < self.next_index,
            Mode::Snapshot { .. } => false,
        }
    }

    /// Returns whether another append message can be sent.
    pub(crate) fn can_send(&self, max_in_flight: usize) -> bool {
        match self.mode {
            Mode::Probe { waiting } => !waiting,
            Mode::Replicate => self.in_flight.len() < max_in_flight,
            Mode::Snapshot { .. } => false,
        }
    }

    /// Records that an append message was sent whose last entry has index `last`.
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
