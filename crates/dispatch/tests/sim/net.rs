//! Simulated links: ordered sessions that lose every message after the first lost one. Each side detects the end of a
//! session at a different time.

use std::time::Duration;

use chestnutfork_dispatch::PeerMessage;
use chestnutfork_register as register;
use chestnutfork_types::{AgentToEntry, EntryToAgent, ProcessId, Resolution};
use rand::RngExt;

use super::{Mutation, Sim, Step};

/// Maximum time in milliseconds until a side detects that its link is broken.
const MAX_DETECTION_MS: u64 = 3000;

/// Pair of process ids, the smaller one first.
pub type LinkKey = (ProcessId, ProcessId);

/// Message on a link.
#[derive(Clone)]
pub enum Message {
    ToAgent(EntryToAgent),
    ToEntry(AgentToEntry),
    Peer(PeerMessage),
}

/// Link between two processes.
#[derive(Default)]
pub struct Link {
    session: u64,
    /// Sides at which the current session is open.
    open_sides: Vec<ProcessId>,
    /// Sides that have not detected the end of a former session.
    stale_sides: Vec<ProcessId>,
    /// Whether a message was lost, so that no further message arrives.
    broken: bool,
    /// Time of the latest arrival at the process with the smaller id and at the one with the larger id.
    last_arrivals: [Duration; 2],
}

pub fn key(a: ProcessId, b: ProcessId) -> LinkKey {
    (a.min(b), a.max(b))
}

impl Sim {
    /// Returns the machine of a process if it is running.
    pub(super) fn machine(&self, process: ProcessId) -> Option<usize> {
        let entry = self.entries.get(&process).map(|node| node.machine);
        let agent = self
            .agents
            .get(&process)
            .map(|node| node.machine + self.entry_machines);
        entry.or(agent)
    }

    fn is_reachable(&self, (a, b): LinkKey) -> bool {
        let machines = [self.machine(a), self.machine(b)];
        let open =
            |machine: Option<usize>| machine.is_some_and(|machine| !self.partitioned.contains(&machine));
        machines.into_iter().all(open)
    }

    pub(super) fn dial(&mut self, key: LinkKey) {
        if self.machine(key.0).is_none() || self.machine(key.1).is_none() {
            return;
        }
        if !self.is_reachable(key) {
            let delay = self.random_millis(50, 1000);
            self.schedule(delay, Step::Dial { key });
            return;
        }
        let now = self.now;
        self.sequence += 1;
        let session = self.sequence;
        let link = self.links.entry(key).or_default();
        link.session = session;
        link.broken = false;
        link.last_arrivals = [now; 2];
        // A side that has not detected the end of the former session learns of it before the new session opens, or
        // together with it.
        let open = std::mem::take(&mut link.open_sides);
        link.stale_sides.extend(open);
        for at in link.stale_sides.clone() {
            let other = if at == key.0 { key.1 } else { key.0 };
            if self.chance(50) {
                self.schedule(
                    Duration::ZERO,
                    Step::LinkDown {
                        session: 0,
                        at,
                        other,
                    },
                );
            }
        }
        for (at, other) in [(key.0, key.1), (key.1, key.0)] {
            let delay = self.delivery_delay(key, at);
            self.schedule(delay, Step::LinkUp { session, at, other });
        }
    }

    /// Returns the delay until the next message arrives at `to`, after all earlier ones.
    fn delivery_delay(&mut self, key: LinkKey, to: ProcessId) -> Duration {
        let slow = !self.is_fault_free() && self.chance(2);
        let delay = if slow {
            self.random_millis(20, 800)
        } else {
            self.random_millis(1, 5)
        };
        let now = self.now;
        let link = self.links.entry(key).or_default();
        let latest = &mut link.last_arrivals[usize::from(to == key.1)];
        *latest = (*latest).max(now + delay);
        latest.saturating_sub(now)
    }

    pub(super) fn send(&mut self, from: ProcessId, to: ProcessId, message: Message) {
        let key = key(from, to);
        let Some(link) = self
            .links
            .get(&key)
            .filter(|link| link.open_sides.contains(&from))
        else {
            return;
        };
        let session = link.session;
        self.count_message(&message);
        let message = self.mutate(message);
        let delay = self.delivery_delay(key, to);
        self.schedule(
            delay,
            Step::Deliver {
                session,
                from,
                to,
                message,
            },
        );
    }

    fn count_message(&mut self, message: &Message) {
        let stats = &mut self.stats;
        match message {
            Message::ToAgent(EntryToAgent::Dispatch(_)) => stats.dispatches += 1,
            Message::ToEntry(AgentToEntry::Refused { .. }) => stats.refused_dispatches += 1,
            _ => {}
        }
        stats.agent_messages += u64::from(!matches!(message, Message::Peer(_)));
    }

    /// Alters messages according to the mutation of the run.
    fn mutate(&self, message: Message) -> Message {
        match (self.mutation, message) {
            (Mutation::FalseNeverStarted, Message::ToEntry(AgentToEntry::Resolved { credit, .. })) => {
                let resolution = Resolution::NeverStarted;
                Message::ToEntry(AgentToEntry::Resolved { credit, resolution })
            }
            (
                Mutation::GrantKnownJob,
                Message::Peer(PeerMessage::Register(register::PeerMessage::OwnedBy { view, job, .. })),
            ) => Message::Peer(PeerMessage::Register(register::PeerMessage::Granted {
                view,
                job,
            })),
            (
                Mutation::CrossedAnswers,
                Message::Peer(PeerMessage::JoinResult {
                    job,
                    result: Ok(mut answer),
                }),
            ) => {
                answer.tasks.reverse();
                let result = Ok(answer);
                Message::Peer(PeerMessage::JoinResult { job, result })
            }
            (_, message) => message,
        }
    }

    pub(super) fn deliver(
        &mut self,
        session: u64,
        from: ProcessId,
        to: ProcessId,
        message: Message,
    ) -> Result<(), String> {
        let key = key(from, to);
        let reachable = self.is_reachable(key);
        let live = |link: &Link| link.session == session && !link.broken && link.open_sides.contains(&to);
        if !self.links.get(&key).is_some_and(live) {
            return Ok(());
        }
        if !reachable {
            self.break_link(key);
            return Ok(());
        }
        self.receive(from, to, message)
    }

    /// Breaks a session. Each side detects it within [`MAX_DETECTION_MS`], and the link is dialled again.
    pub(super) fn break_link(&mut self, key: LinkKey) {
        let Some(link) = self
            .links
            .get_mut(&key)
            .filter(|link| !link.broken && link.session > 0)
        else {
            return;
        };
        link.broken = true;
        let session = link.session;
        self.stats.lost_links += 1;
        for (at, other) in [(key.0, key.1), (key.1, key.0)] {
            let delay = self.random_millis(1, MAX_DETECTION_MS);
            self.schedule(delay, Step::LinkDown { session, at, other });
        }
        let delay = self.random_millis(50, MAX_DETECTION_MS + 200);
        self.schedule(delay, Step::Dial { key });
    }

    pub(super) fn link_up(&mut self, session: u64, at: ProcessId, other: ProcessId) -> Result<(), String> {
        let current = |link: &&mut Link| link.session == session && !link.broken;
        let Some(link) = self.links.get_mut(&key(at, other)).filter(current) else {
            return Ok(());
        };
        link.open_sides.push(at);
        link.stale_sides.retain(|&side| side != at);
        self.report_link_up(at, other)
    }

    /// Closes a session at one side; session zero denotes a former session that a new one has replaced.
    pub(super) fn link_down(&mut self, session: u64, at: ProcessId, other: ProcessId) -> Result<(), String> {
        let Some(link) = self.links.get_mut(&key(at, other)) else {
            return Ok(());
        };
        if session > 0 && link.session != session {
            return Ok(());
        }
        let (open, stale) = (link.open_sides.contains(&at), link.stale_sides.contains(&at));
        link.stale_sides.retain(|&side| side != at);
        if session > 0 {
            link.open_sides.retain(|&side| side != at);
        }
        if !stale && (!open || session == 0) {
            return Ok(());
        }
        self.report_link_down(at, other)
    }

    pub(super) fn break_random_link(&mut self) {
        if self.links.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.links.len());
        if let Some(&key) = self.links.keys().nth(index) {
            self.break_link(key);
        }
    }

    /// Breaks the links of a process that has ended.
    pub(super) fn drop_links(&mut self, process: ProcessId) {
        let keys: Vec<LinkKey> = self
            .links
            .keys()
            .copied()
            .filter(|key| key.0 == process || key.1 == process)
            .collect();
        for key in keys {
            self.break_link(key);
        }
    }
}
