//! Selection of faults from the enabled classes, and faults that concern several parts.

use std::time::Duration;

use rand::RngExt;

use super::agents::{AT_ONCE, ConnectionDelay, ISOLATED, LATE_CONNECTION};
use super::{AGENTS, ENTRIES, Scenario, ScheduledEvent, Sim};

/// Fault that is injected at a random time.
#[derive(Clone, Copy, Debug)]
enum Fault {
    ResetLink,
    CutLink,
    KillAgent,
    KillEntry,
    ReplaceWorker,
    RestartUnderName,
    RestartAnnounced,
    /// Leaves starts, stops or renewals unanswered, by position.
    LeaveUnanswered(usize),
    Leave,
    LeaveWithLateNotice,
    KillAgentRepeatedly,
    KillIsolatedAgent,
    FailEntryAndAgent,
    PauseEntry,
    LagEntry,
    AnnounceForeign,
}

/// Faults of each class; a fault listed twice is twice as likely.
const FAULTS: &[(Scenario, Fault)] = &[
    (Scenario::LinkFaults, Fault::ResetLink),
    (Scenario::LinkFaults, Fault::CutLink),
    (Scenario::LinkFaults, Fault::CutLink),
    (Scenario::ProcessKills, Fault::KillAgent),
    (Scenario::ProcessKills, Fault::KillEntry),
    (Scenario::WorkerReplacement, Fault::ReplaceWorker),
    (Scenario::NameReuse, Fault::RestartUnderName),
    (Scenario::AnnouncedNameReuse, Fault::RestartAnnounced),
    (Scenario::UnansweredStarts, Fault::LeaveUnanswered(0)),
    (Scenario::UnansweredStops, Fault::LeaveUnanswered(1)),
    (Scenario::UnansweredRenewals, Fault::LeaveUnanswered(2)),
    (Scenario::Withdrawal, Fault::Leave),
    (Scenario::LateNotices, Fault::LeaveWithLateNotice),
    (Scenario::AgentRestartSeries, Fault::KillAgentRepeatedly),
    (Scenario::IsolatedAgentRestarts, Fault::KillIsolatedAgent),
    (Scenario::EntryAndAgentFaults, Fault::FailEntryAndAgent),
    (Scenario::EntryPauses, Fault::PauseEntry),
    (Scenario::EntryLags, Fault::LagEntry),
    (Scenario::ForeignAnnouncements, Fault::AnnounceForeign),
];

impl Sim {
    pub(super) fn inject_fault(&mut self) {
        let scenarios = self.scenarios;
        let enabled = FAULTS
            .iter()
            .filter(|(scenario, _)| scenarios.contains(*scenario));
        let enabled: Vec<Fault> = enabled.map(|&(_, fault)| fault).collect();
        if !enabled.is_empty() {
            self.counts.faults += 1;
            let fault = enabled[self.rng.random_range(0..enabled.len())];
            self.apply(fault);
        }
        let next = Duration::from_millis(self.rng.random_range(100..1_200));
        self.schedule(next, ScheduledEvent::Fault);
    }

    fn apply(&mut self, fault: Fault) {
        let agent = self.rng.random_range(0..AGENTS);
        let entry = self.rng.random_range(0..ENTRIES);
        match fault {
            Fault::ResetLink => {
                if let Some(link) = self.random_link() {
                    self.disconnect(link);
                }
            }
            Fault::CutLink => {
                let link = self.random_link();
                let detection_delay = self.detection_delay();
                self.cut(link.into_iter().collect(), detection_delay);
            }
            Fault::KillAgent => self.kill_agent(agent, AT_ONCE),
            Fault::KillEntry => self.kill_entry(entry),
            Fault::PauseEntry => self.pause_entry(entry),
            Fault::LagEntry => self.lag_entry(entry),
            Fault::AnnounceForeign => self.announce_foreign(agent),
            Fault::ReplaceWorker if !self.workers[agent].is_down() => {
                self.end_worker(agent);
                let delay = Duration::from_millis(self.rng.random_range(0..1_000));
                self.start_worker(agent, false, delay);
            }
            Fault::RestartUnderName if !self.workers[agent].is_down() => self.restart_under_name(agent),
            Fault::RestartAnnounced if !self.workers[agent].is_down() => self.restart_announced(agent),
            Fault::ReplaceWorker | Fault::RestartUnderName | Fault::RestartAnnounced => {}
            Fault::LeaveUnanswered(kind) => {
                let span = Duration::from_millis(self.rng.random_range(1_000..4_000));
                self.workers[agent].unanswered_until[kind] = Some(self.now + span);
            }
            Fault::Leave => self.leave(agent, false),
            Fault::LeaveWithLateNotice => self.leave(agent, true),
            Fault::KillAgentRepeatedly => self.kill_agent_repeatedly(agent, LATE_CONNECTION, 1_500),
            Fault::KillIsolatedAgent => self.kill_agent_repeatedly(agent, ISOLATED, 700),
            Fault::FailEntryAndAgent => self.fail_entry_and_agent(entry, agent),
        }
    }

    /// Kills an agent twice or three times within a span in milliseconds; entries connect to the successors late.
    fn kill_agent_repeatedly(&mut self, agent: usize, connection: ConnectionDelay, span: u64) {
        if self.agents[agent].is_recent(self.now) {
            return;
        }
        let further = self.rng.random_range(1..=2);
        self.kill_agent(agent, connection);
        for _ in 0..further {
            let delay = Duration::from_millis(self.rng.random_range(50..span));
            self.schedule(delay, ScheduledEvent::KillAgent(agent, connection));
        }
    }

    /// Kills an entry or cuts it off, and does the same to an agent at most 300 ms later.
    fn fail_entry_and_agent(&mut self, entry: usize, agent: usize) {
        self.counts.paired_faults += 1;
        if self.rng.random_bool(0.5) {
            self.kill_entry(entry);
        } else {
            let detection_delay = self.detection_delay();
            self.trace(|| format!("entry {entry} is cut off"));
            let host = &mut self.entries[entry];
            host.cut_until = host.cut_until.max(Some(self.now + detection_delay));
            let links = self.matching_links(|link| link.entry == entry);
            self.cut(links, detection_delay);
            self.lose_callers_of(entry, detection_delay);
        }
        let delay = Duration::from_millis(self.rng.random_range(0..300));
        let event = if self.rng.random_bool(0.5) {
            ScheduledEvent::KillAgent(agent, LATE_CONNECTION)
        } else {
            ScheduledEvent::CutAgent(agent)
        };
        self.schedule(delay, event);
    }

    pub(super) fn cut_agent(&mut self, agent: usize) {
        let detection_delay = self.detection_delay();
        let links = self.matching_links(|link| link.agent == agent);
        self.cut(links, detection_delay);
    }
}
