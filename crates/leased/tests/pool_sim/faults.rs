//! Starts, ends and cuts of processes and links.

use std::time::Duration;

use chestnutfork_broker::{BrokerConfig, BrokerCore, Event as EntryEvent};
use chestnutfork_routes::{Route, RouteTable, ServiceRule};
use chestnutfork_standin::LeasedWorker;
use chestnutfork_types::{JobId, Resources, WorkerDescription};
use chestnutfork_worker::{Announcement, Event as AgentEvent, WorkerConfig, WorkerCore};
use rand::RngExt;

use super::scenario::{Fault, Scenario};
use super::{AgentHost, EntryHost, RESUBMISSION_DELAY, ScheduledEvent, Sim, WARM_UP};

/// Time in which the links open after a restart or a cut, in milliseconds.
const CONNECT_WITHIN_MS: u64 = 250;

/// Part of a fault at a point of time.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    EndEntry(u16),
    StartEntry(u16),
    EndAgent(u16),
    StartAgent(u16),
    AnnounceLeaving(u16),
    Cut(u16),
    Heal(u16),
}

impl Sim {
    pub fn schedule_faults(&mut self) {
        let (entries, workers) = (0..self.scenario.entries, 0..self.scenario.workers);
        for (at, fault) in self.scenario.faults.clone() {
            let at = WARM_UP + at;
            let mut change =
                |delay: Duration, change| self.schedule(at + delay, ScheduledEvent::Change(change));
            match fault {
                Fault::RestartAll(lasts) => {
                    for entry in entries.clone() {
                        change(Duration::ZERO, Change::EndEntry(entry));
                        change(lasts, Change::StartEntry(entry));
                    }
                    for agent in workers.clone() {
                        change(Duration::ZERO, Change::EndAgent(agent));
                        change(lasts, Change::StartAgent(agent));
                    }
                }
                Fault::CutAgents(lasts) => {
                    for agent in workers.clone().filter(|&agent| Scenario::is_cut(agent)) {
                        change(Duration::ZERO, Change::Cut(agent));
                        change(lasts, Change::Heal(agent));
                    }
                }
                Fault::LeaveAtNotice(notice, lasts) => {
                    for agent in workers.clone().filter(|&agent| Scenario::leaves(agent)) {
                        change(Duration::ZERO, Change::AnnounceLeaving(agent));
                        change(notice, Change::EndAgent(agent));
                        change(lasts, Change::StartAgent(agent));
                    }
                }
                Fault::LoseDomain(lasts) => {
                    for agent in workers.clone().filter(|&agent| Scenario::domain(agent) == 0) {
                        change(Duration::ZERO, Change::EndAgent(agent));
                        change(lasts, Change::StartAgent(agent));
                    }
                }
            }
        }
    }

    pub(super) fn apply(&mut self, change: Change) {
        match change {
            Change::EndEntry(entry) => self.end_entry(entry),
            Change::StartEntry(entry) => {
                self.start_entry(entry);
                for agent in 0..self.scenario.workers {
                    self.connect_soon(entry, agent);
                }
            }
            Change::EndAgent(agent) => self.end_agent(agent),
            Change::StartAgent(agent) => {
                self.start_agent(agent);
                for entry in 0..self.scenario.entries {
                    self.connect_soon(entry, agent);
                }
            }
            Change::AnnounceLeaving(agent) => {
                let mut announcement = self.announcement(agent);
                announcement.description.leaving = true;
                announcement.sequence += 1;
                self.handle_agent(agent, AgentEvent::Announced(announcement));
            }
            Change::Cut(agent) => {
                self.connections.cut.insert(agent);
            }
            Change::Heal(agent) => {
                self.connections.cut.remove(&agent);
                for entry in 0..self.scenario.entries {
                    self.disconnect(entry, agent);
                    self.connect_soon(entry, agent);
                }
            }
        }
    }

    /// Starts and connects all processes before the first submission.
    pub fn connect_all(&mut self) {
        for entry in 0..self.scenario.entries {
            self.entries.push(EntryHost {
                core: None,
                tick_at: None,
                life: 0,
            });
            self.start_entry(entry);
        }
        for agent in 0..self.scenario.workers {
            // Agents start at different times, so their reports do not coincide.
            self.now = self.start + Duration::from_millis(self.rng.random_range(0..200));
            self.agents.push(AgentHost {
                core: None,
                tick_at: None,
                life: 0,
                worker: LeasedWorker::new(self.start, 1, 1.0),
                waiting: None,
            });
            self.start_agent(agent);
            for entry in 0..self.scenario.entries {
                self.connect(entry, agent);
            }
        }
        self.now = self.start;
    }

    fn start_entry(&mut self, entry: u16) {
        let expiry = WorkerConfig::builder().build().run_expiry();
        let cfg = BrokerConfig::builder("zone-a", expiry)
            .seed(u64::from(entry))
            .build();
        let host = &mut self.entries[usize::from(entry)];
        host.core = Some(BrokerCore::new(cfg, self.now));
        host.tick_at = None;
        host.life += 1;
        let table = RouteTable {
            version: 1,
            routes: vec![route()],
            services: [("pool".to_owned(), ServiceRule::default())].into(),
        };
        self.handle_entry(entry, EntryEvent::Routes(table));
        let count = usize::from(self.scenario.entries);
        self.handle_entry(entry, EntryEvent::EntryCount(count));
    }

    fn end_entry(&mut self, entry: u16) {
        for agent in 0..self.scenario.workers {
            self.disconnect(entry, agent);
        }
        self.entries[usize::from(entry)].core = None;
        let lost: Vec<JobId> = self
            .jobs
            .keys()
            .copied()
            .filter(|id| self.unanswered.get(id) == Some(&entry))
            .collect();
        for id in lost {
            self.unanswered.remove(&id);
            self.submit_again(id);
        }
    }

    /// Lets the caller of a job whose submission was lost submit it again.
    pub(super) fn submit_again(&mut self, id: JobId) {
        let submitted_at = self.jobs[&id].submitted_at;
        let since = submitted_at.saturating_duration_since(self.start + WARM_UP);
        self.measures.second(since).lost += 1;
        let again = submitted_at + RESUBMISSION_DELAY;
        self.schedule(
            again.saturating_duration_since(self.now),
            ScheduledEvent::Submit(id),
        );
    }

    fn start_agent(&mut self, agent: u16) {
        let host = &mut self.agents[usize::from(agent)];
        host.core = Some(WorkerCore::new(WorkerConfig::builder().build(), self.now));
        host.tick_at = None;
        host.life += 1;
        host.waiting = None;
        if host.life > 1 {
            host.worker = LeasedWorker::new(self.now, host.life, 1.0);
        }
        let announcement = self.announcement(agent);
        self.handle_agent(agent, AgentEvent::Announced(announcement));
    }

    /// Ends an agent and its worker.
    fn end_agent(&mut self, agent: u16) {
        for entry in 0..self.scenario.entries {
            self.disconnect(entry, agent);
        }
        self.agents[usize::from(agent)].core = None;
    }

    fn connect_soon(&mut self, entry: u16, agent: u16) {
        let delay = Duration::from_millis(self.rng.random_range(0..CONNECT_WITHIN_MS));
        self.schedule(delay, ScheduledEvent::Connect(entry, agent));
    }

    /// Opens a link unless it is open or one of its sides has ended.
    pub fn connect(&mut self, entry: u16, agent: u16) {
        let (entry_life, agent_life) = (
            self.entries[usize::from(entry)].life,
            self.agents[usize::from(agent)].life,
        );
        let up =
            self.entries[usize::from(entry)].core.is_some() && self.agents[usize::from(agent)].core.is_some();
        if !up || self.connections.is_open(entry, agent) {
            return;
        }
        let link = self.connections.open(entry, agent);
        let process = |life: u64, index: u16| (life << 16) + u64::from(index) + 1;
        let entry_up = AgentEvent::EntryUp {
            link,
            entry: process(entry_life, entry),
        };
        self.handle_agent(agent, entry_up);
        let agent_up = EntryEvent::AgentUp {
            link,
            agent: format!("agent-{agent}"),
            process: process(agent_life, agent),
        };
        self.handle_entry(entry, agent_up);
    }

    fn disconnect(&mut self, entry: u16, agent: u16) {
        if let Some(link) = self.connections.close(entry, agent) {
            self.handle_agent(agent, AgentEvent::EntryDown { link });
            self.handle_entry(entry, EntryEvent::AgentDown { link });
        }
    }

    fn announcement(&self, agent: u16) -> Announcement {
        let host = &self.agents[usize::from(agent)];
        let (life, clock) = (host.life, host.worker.clock(self.now));
        Announcement {
            description: WorkerDescription {
                worker: format!("w-{agent}-{life}"),
                pool: "pool".to_owned(),
                failure_domain: "zone-a".to_owned(),
                labels: Vec::new(),
                capacity: Resources {
                    cpu_millis: 16_000,
                    memory_mb: 32_000,
                    gpus: 0,
                },
                leaving: false,
                stores_losses: false,
                reads_resources: false,
                reads_time_limits: false,
                reads_end_limits: false,
                reads_demand: false,
            },
            address: "w:1".to_owned(),
            started_at: Duration::from_secs(life),
            sequence: 1,
            clock,
        }
    }
}

fn route() -> Route {
    Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/q/".to_owned(),
        service: "pool".to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch_factor: 1.6,
        overhead: Duration::from_millis(60),
        timeout: Duration::from_millis(1_500),
    }
}
