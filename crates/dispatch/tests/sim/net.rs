//! Links: ordered sessions that lose everything after the first loss, and end at each side at its own time.

use std::time::Duration;

use chestnutfork_dispatch::PeerMessage;
use chestnutfork_register as register;
use chestnutfork_types::{AgentToEntry, EntryToAgent, ProcessId, Resolution};
use rand::RngExt;

use super::{Broken, Sim, Step};

/// Longest time until a side notices that its link is dead.
const SILENCE: u64 = 3000;

/// Pair of processes, the smaller id first.
pub type LinkKey = (ProcessId, ProcessId);

/// Message on a link.
#[derive(Clone)]
pub enum Body {
    ToAgent(EntryToAgent),
    ToEntry(AgentToEntry),
    Peer(PeerMessage),
}

/// Link between two processes.
#[derive(Default)]
pub struct Link {
    session: u64,
    /// Sides at which the session is up.
    up: Vec<ProcessId>,
    /// Sides that have not noticed the end of a former session.
    late: Vec<ProcessId>,
    /// Whether a message was lost, so that nothing arrives any more.
    dead: bool,
    /// Latest arrivals at the smaller and at the larger process.
    arrivals: [Duration; 2],
}

pub fn key(a: ProcessId, b: ProcessId) -> LinkKey {
    (a.min(b), a.max(b))
}

impl Sim {
    /// Returns the machine of a process, if it runs.
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
        let open = |machine: Option<usize>| machine.is_some_and(|machine| !self.cut.contains(&machine));
        machines.into_iter().all(open)
    }

    pub(super) fn dial(&mut self, key: LinkKey) {
        if self.machine(key.0).is_none() || self.machine(key.1).is_none() {
            return;
        }
        if !self.is_reachable(key) {
            let delay = self.millis(50, 1000);
            self.push(delay, Step::Dial { key });
            return;
        }
        let now = self.now;
        self.sequence += 1;
        let session = self.sequence;
        let link = self.links.entry(key).or_default();
        link.session = session;
        link.dead = false;
        link.arrivals = [now; 2];
        // A side that has not noticed the end of the former session learns it before the new one, or with it.
        let up = std::mem::take(&mut link.up);
        link.late.extend(up);
        for at in link.late.clone() {
            let other = if at == key.0 { key.1 } else { key.0 };
            if self.chance(50) {
                self.push(
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
            let delay = self.arrival(key, at);
            self.push(delay, Step::LinkUp { session, at, other });
        }
    }

    /// Returns the delay until the next message can arrive at `to`, behind all earlier ones.
    fn arrival(&mut self, key: LinkKey, to: ProcessId) -> Duration {
        let slow = !self.is_calm() && self.chance(2);
        let delay = if slow {
            self.millis(20, 800)
        } else {
            self.millis(1, 5)
        };
        let now = self.now;
        let link = self.links.entry(key).or_default();
        let latest = &mut link.arrivals[usize::from(to == key.1)];
        *latest = (*latest).max(now + delay);
        latest.saturating_sub(now)
    }

    pub(super) fn send(&mut self, from: ProcessId, to: ProcessId, body: Body) {
        let key = key(from, to);
        let Some(link) = self.links.get(&key).filter(|link| link.up.contains(&from)) else {
            return;
        };
        let session = link.session;
        self.count_message(&body);
        let body = self.tamper(body);
        let delay = self.arrival(key, to);
        self.push(
            delay,
            Step::Deliver {
                session,
                from,
                to,
                body,
            },
        );
    }

    fn count_message(&mut self, body: &Body) {
        let figures = &mut self.figures;
        match body {
            Body::ToAgent(EntryToAgent::Dispatch(_)) => figures.dispatches += 1,
            Body::ToEntry(AgentToEntry::Refused { .. }) => figures.refused_dispatches += 1,
            _ => {}
        }
        figures.agent_messages += u64::from(!matches!(body, Body::Peer(_)));
    }

    /// Falsifies messages in runs that break a rule on purpose.
    fn tamper(&self, body: Body) -> Body {
        match (self.broken, body) {
            (Broken::FalseProof, Body::ToEntry(AgentToEntry::Resolved { credit, .. })) => {
                let state = Resolution::NeverStarted;
                Body::ToEntry(AgentToEntry::Resolved { credit, state })
            }
            (
                Broken::GrantKnown,
                Body::Peer(PeerMessage::Register(register::PeerMessage::OwnedBy { view, job, .. })),
            ) => Body::Peer(PeerMessage::Register(register::PeerMessage::Granted {
                view,
                job,
            })),
            (
                Broken::CrossedAnswers,
                Body::Peer(PeerMessage::JoinResult {
                    job,
                    result: Ok(mut answer),
                }),
            ) => {
                answer.tasks.reverse();
                let result = Ok(answer);
                Body::Peer(PeerMessage::JoinResult { job, result })
            }
            (_, body) => body,
        }
    }

    pub(super) fn deliver(
        &mut self,
        session: u64,
        from: ProcessId,
        to: ProcessId,
        body: Body,
    ) -> Result<(), String> {
        let key = key(from, to);
        let reachable = self.is_reachable(key);
        let live = |link: &Link| link.session == session && !link.dead && link.up.contains(&to);
        if !self.links.get(&key).is_some_and(live) {
            return Ok(());
        }
        if !reachable {
            self.break_link(key);
            return Ok(());
        }
        self.receive(from, to, body)
    }

    /// Ends a session; both sides notice within the time of silence, and the link is dialled again.
    pub(super) fn break_link(&mut self, key: LinkKey) {
        let Some(link) = self
            .links
            .get_mut(&key)
            .filter(|link| !link.dead && link.session > 0)
        else {
            return;
        };
        link.dead = true;
        let session = link.session;
        self.figures.lost_links += 1;
        for (at, other) in [(key.0, key.1), (key.1, key.0)] {
            let delay = self.millis(1, SILENCE);
            self.push(delay, Step::LinkDown { session, at, other });
        }
        let delay = self.millis(50, SILENCE + 200);
        self.push(delay, Step::Dial { key });
    }

    pub(super) fn link_up(&mut self, session: u64, at: ProcessId, other: ProcessId) -> Result<(), String> {
        let current = |link: &&mut Link| link.session == session && !link.dead;
        let Some(link) = self.links.get_mut(&key(at, other)).filter(current) else {
            return Ok(());
        };
        link.up.push(at);
        link.late.retain(|&side| side != at);
        self.notice_up(at, other)
    }

    /// Session zero stands for a former session that the new one replaces.
    pub(super) fn link_down(&mut self, session: u64, at: ProcessId, other: ProcessId) -> Result<(), String> {
        let Some(link) = self.links.get_mut(&key(at, other)) else {
            return Ok(());
        };
        if session > 0 && link.session != session {
            return Ok(());
        }
        let (up, late) = (link.up.contains(&at), link.late.contains(&at));
        link.late.retain(|&side| side != at);
        if session > 0 {
            link.up.retain(|&side| side != at);
        }
        if !late && (!up || session == 0) {
            return Ok(());
        }
        self.notice_down(at, other)
    }

    /// Lets one random link go silent.
    pub(super) fn break_some_link(&mut self) {
        if self.links.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.links.len());
        if let Some(&key) = self.links.keys().nth(index) {
            self.break_link(key);
        }
    }

    /// Breaks the links of a process that is gone.
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
