//! Links between entries and agents: connection, loss and partitions.

use std::time::Duration;

use chestnutfork_broker::Event as EntryEvent;
use chestnutfork_types::{LinkNumber, ProcessId};
use chestnutfork_worker::Event as AgentEvent;
use rand::RngExt;

use super::entries::Channel;
use super::{ScheduledEvent, Sim};

/// Link between two processes.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) entry: usize,
    pub(super) entry_process: ProcessId,
    pub(super) agent: usize,
    pub(super) agent_process: ProcessId,
    /// Whether messages are lost without notice.
    pub(super) cut: bool,
}

impl Sim {
    /// Schedules a connection of the present processes of an entry and an agent.
    pub(super) fn schedule_connection(&mut self, delay: Duration, entry: usize, agent: usize) {
        let event = ScheduledEvent::Connect {
            entry,
            entry_process: self.entries[entry].process,
            agent,
            agent_process: self.agents[agent].process,
        };
        self.schedule(delay, event);
    }

    /// Connects two processes, unless one of them has been replaced or they are connected.
    pub(super) fn connect(
        &mut self,
        entry: usize,
        entry_process: ProcessId,
        agent: usize,
        agent_process: ProcessId,
    ) {
        let present =
            self.entries[entry].process == entry_process && self.agents[agent].process == agent_process;
        let connected = self
            .links
            .values()
            .any(|link| (link.entry, link.agent) == (entry, agent));
        if !present || connected {
            return;
        }
        if self.entries[entry].is_paused() {
            // A paused entry completes no handshake.
            self.schedule_connection(Duration::from_millis(50), entry, agent);
            return;
        }
        if let Some(left) = self.entries[entry].cut_for(self.now) {
            self.schedule_connection(left + Duration::from_millis(20), entry, agent);
            return;
        }
        let link = self.rng.random();
        self.links.insert(
            link,
            Link {
                entry,
                entry_process,
                agent,
                agent_process,
                cut: false,
            },
        );
        self.trace(|| format!("link {link:x} connects entry {entry} and agent {agent}"));
        let up = EntryEvent::AgentUp {
            link,
            agent: format!("agent-{agent}"),
            process: agent_process,
        };
        self.deliver_to_entry(entry, Channel::Link(link), up);
        let up = AgentEvent::EntryUp {
            link,
            entry: entry_process,
        };
        self.handle_agent_event(agent, up);
    }

    /// Closes a link at both ends and schedules the next connection.
    pub(super) fn disconnect(&mut self, link: LinkNumber) {
        if let Some((entry, agent)) = self.close(link) {
            let delay = Duration::from_millis(self.rng.random_range(20..400));
            self.schedule_connection(delay, entry, agent);
        }
    }

    /// Closes the links of a killed process; the other side detects that immediately.
    pub(super) fn close_matching(&mut self, matches: impl Fn(&Link) -> bool) {
        for link in self.matching_links(matches) {
            self.close(link);
        }
    }

    fn close(&mut self, link: LinkNumber) -> Option<(usize, usize)> {
        let ended = self.links.remove(&link)?;
        let (entry, agent) = (ended.entry, ended.agent);
        self.trace(|| format!("link {link:x} of entry {entry} and agent {agent} is closed"));
        if self.entries[entry].process == ended.entry_process {
            self.deliver_to_entry(entry, Channel::Link(link), EntryEvent::AgentDown { link });
        }
        if self.agents[agent].process == ended.agent_process {
            self.handle_agent_event(agent, AgentEvent::EntryDown { link });
        }
        Some((entry, agent))
    }

    /// Cuts links, whose loss is only detected by missing messages after a delay.
    pub(super) fn cut(&mut self, links: Vec<LinkNumber>, detection_delay: Duration) {
        for link in links {
            self.links.entry(link).and_modify(|link| link.cut = true);
            self.trace(|| format!("link {link:x} is cut"));
            self.schedule(detection_delay, ScheduledEvent::LinkDown(link));
        }
    }

    /// Draws the time until a partition is detected.
    pub(super) fn detection_delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(300..3_000))
    }

    /// Returns the matching links in a reproducible order.
    pub(super) fn matching_links(&self, matches: impl Fn(&Link) -> bool) -> Vec<LinkNumber> {
        let links = self.links.iter().filter(|(_, link)| matches(link));
        let mut links: Vec<LinkNumber> = links.map(|(&number, _)| number).collect();
        links.sort_unstable();
        links
    }

    pub(super) fn random_link(&mut self) -> Option<LinkNumber> {
        let links = self.matching_links(|_| true);
        (!links.is_empty()).then(|| links[self.rng.random_range(0..links.len())])
    }
}
