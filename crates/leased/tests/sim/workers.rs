//! Workers: their incarnations, announcements and withdrawals.

use std::time::{Duration, Instant};

use chestnutfork_standin::LeasedWorker;
use chestnutfork_types::{Resources, WorkerDescription, WorkerName};
use chestnutfork_worker::{Announcement, Event as AgentEvent};
use rand::RngExt;

use super::{Scenario, ScheduledEvent, Sim};

/// Number in the name of a worker, which several incarnations may share.
pub(super) type NameNumber = u64;

/// Worker with the state that its model does not cover.
#[derive(Debug)]
pub(super) struct WorkerHost {
    pub(super) model: LeasedWorker,
    pub(super) name: NameNumber,
    state: WorkerState,
    pub(super) announced: bool,
    sequence: u64,
    /// Until when starts, stops and renewals are left unanswered.
    pub(super) unanswered_until: [Option<Instant>; 3],
}

/// Numbers from here on are not names of workers of the run.
const FIRST_FOREIGN_NAME: NameNumber = 1_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WorkerState {
    Serving,
    Leaving,
    /// Still up, but announces itself no more.
    Withdrawn,
    /// Ended and not started again.
    Down,
}

/// Returns the number in the name of a worker.
pub(super) fn parse_name(name: &str) -> NameNumber {
    let (_, number) = name.rsplit_once('-').expect("names of workers have a number");
    number.parse().expect("a number")
}

fn format_name(agent: usize, name: NameNumber) -> WorkerName {
    format!("w{agent}-{name}")
}

/// Returns the first announcement of an incarnation.
fn announcement(worker: WorkerName, incarnation: u64) -> Announcement {
    Announcement {
        description: WorkerDescription {
            worker,
            pool: "pool".to_owned(),
            failure_domain: "zone-a".to_owned(),
            labels: Vec::new(),
            capacity: Resources {
                cpu_millis: 6_000,
                memory_mb: 6_000,
                gpus: 0,
            },
            leaving: false,
            stores_losses: false,
            reads_resources: false,
            reads_time_limits: false,
            reads_end_limits: false,
            reads_demand: false,
        },
        address: "worker:1".to_owned(),
        started_at: Duration::from_secs(incarnation),
        sequence: 1,
        clock: Duration::ZERO,
    }
}

impl Sim {
    pub(super) fn add_worker(&mut self) {
        let rate = self.rng.random_range(0.98..=1.0);
        let host = WorkerHost::new(LeasedWorker::new(self.now, 1, rate), 1);
        self.workers.push(host);
        let event = ScheduledEvent::Announce {
            agent: self.workers.len() - 1,
            incarnation: 1,
            repeat: true,
        };
        self.schedule(Duration::ZERO, event);
    }

    /// Announces an incarnation, unless it has ended or withdrawn.
    pub(super) fn announce_worker(&mut self, agent: usize, incarnation: u64, repeat: bool) {
        let worker = &mut self.workers[agent];
        if worker.model.incarnation != incarnation
            || matches!(worker.state, WorkerState::Withdrawn | WorkerState::Down)
        {
            return;
        }
        worker.sequence += 1;
        let announcement = Announcement {
            sequence: worker.sequence,
            clock: worker.model.clock(self.now),
            ..announcement(format_name(agent, worker.name), incarnation)
        };
        let announcement = Announcement {
            description: WorkerDescription {
                leaving: worker.state == WorkerState::Leaving,
                ..announcement.description
            },
            ..announcement
        };
        let delayed = self.scenarios.contains(Scenario::LateNotices) && self.rng.random_bool(0.1);
        let delay = if delayed {
            Duration::from_millis(self.rng.random_range(100..4_000))
        } else {
            Duration::ZERO
        };
        let event = ScheduledEvent::DeliverAnnouncement(agent, incarnation, announcement);
        self.schedule(delay, event);
        if repeat {
            let next = ScheduledEvent::Announce {
                agent,
                incarnation,
                repeat,
            };
            self.schedule(Duration::from_secs(1), next);
        }
    }

    pub(super) fn deliver_announcement(
        &mut self,
        agent: usize,
        incarnation: u64,
        announcement: Announcement,
    ) {
        let worker = &mut self.workers[agent];
        if worker.is_up(incarnation) {
            worker.announced = true;
        } else {
            self.counts.late_notices += 1;
        }
        self.trace(|| {
            let leaving = announcement.description.leaving;
            format!("agent {agent} is told of incarnation {incarnation} of its worker; leaving: {leaving}")
        });
        self.handle_agent_event(agent, AgentEvent::Announced(announcement));
    }

    /// Delivers an announcement of a worker that does not exist, with a start time before or after that of the real one.
    pub(super) fn announce_foreign(&mut self, agent: usize) {
        self.counts.foreign_announcements += 1;
        let name = self.rng.random_range(FIRST_FOREIGN_NAME..=NameNumber::MAX);
        let incarnation = self.rng.random_range(0..1_000);
        let foreign = announcement(format_name(agent, name), incarnation);
        self.trace(|| format!("agent {agent} receives a foreign announcement of {name}"));
        self.handle_agent_event(agent, AgentEvent::Announced(foreign));
    }

    /// Ends a worker without notice.
    pub(super) fn end_worker(&mut self, agent: usize) {
        let worker = &mut self.workers[agent];
        worker.state = WorkerState::Down;
        worker.model = LeasedWorker::new(self.now, worker.model.incarnation, 1.0);
        let incarnation = worker.model.incarnation;
        self.trace(|| format!("worker {agent} of incarnation {incarnation} ends"));
    }

    /// Starts an incarnation that knows nothing of the former one, and announces it after a delay.
    pub(super) fn start_worker(&mut self, agent: usize, keep_name: bool, announcement_delay: Duration) {
        let worker = &self.workers[agent];
        let incarnation = worker.model.incarnation + 1;
        let name = if keep_name { worker.name } else { incarnation };
        let rate = self.rng.random_range(0.98..=1.0);
        self.workers[agent] = WorkerHost::new(LeasedWorker::new(self.now, incarnation, rate), name);
        self.counts.name_reuses += u64::from(keep_name);
        self.trace(|| {
            let name = format_name(agent, name);
            format!("worker {agent} starts with incarnation {incarnation} under the name {name}")
        });
        let first = ScheduledEvent::Announce {
            agent,
            incarnation,
            repeat: true,
        };
        self.schedule(announcement_delay, first);
    }

    /// Crashes a worker, which starts again under its name at once or within 3 s.
    pub(super) fn restart_under_name(&mut self, agent: usize) {
        let down = if self.rng.random_bool(0.5) {
            Duration::ZERO
        } else {
            Duration::from_millis(self.rng.random_range(0..3_000))
        };
        self.end_worker(agent);
        let delay = Duration::from_millis(self.rng.random_range(0..1_500));
        self.schedule(
            down,
            ScheduledEvent::StartWorker {
                agent,
                keep_name: true,
                announcement_delay: delay,
            },
        );
    }

    /// Crashes a worker, which starts again under its name and announces itself before any order of the former process can
    /// reach it that is not late.
    pub(super) fn restart_announced(&mut self, agent: usize) {
        self.end_worker(agent);
        let down = Duration::from_millis(self.rng.random_range(100..3_000));
        self.schedule(
            down,
            ScheduledEvent::StartWorker {
                agent,
                keep_name: true,
                announcement_delay: Duration::ZERO,
            },
        );
    }

    /// Lets a worker announce that it leaves, and schedules its withdrawal.
    pub(super) fn leave(&mut self, agent: usize, late_notice: bool) {
        let worker = &mut self.workers[agent];
        if worker.state != WorkerState::Serving {
            return;
        }
        worker.state = WorkerState::Leaving;
        let incarnation = worker.model.incarnation;
        let drain = Duration::from_millis(self.rng.random_range(100..2_000));
        let announcement = ScheduledEvent::Announce {
            agent,
            incarnation,
            repeat: false,
        };
        self.schedule(Duration::ZERO, announcement);
        self.schedule(drain, ScheduledEvent::Withdraw(agent, incarnation, late_notice));
    }

    /// Withdraws a worker. It ends up to 700 ms after the acknowledgement, or some seconds later before a late notice arrives.
    pub(super) fn withdraw(&mut self, agent: usize, incarnation: u64, late_notice: bool) {
        let worker = &mut self.workers[agent];
        if !worker.is_up(incarnation) {
            return;
        }
        worker.state = WorkerState::Withdrawn;
        let name = format_name(agent, worker.name);
        let (delivered_after, ends_after) = if late_notice {
            let ends_after = self.rng.random_range(300..3_000);
            (ends_after + self.rng.random_range(100..3_000), ends_after)
        } else {
            (0, self.rng.random_range(0..700))
        };
        self.schedule(
            Duration::from_millis(delivered_after),
            ScheduledEvent::DeliverWithdrawal(agent, incarnation, name),
        );
        let end = ScheduledEvent::EndWorker(agent, incarnation);
        self.schedule(Duration::from_millis(ends_after), end);
    }

    pub(super) fn deliver_withdrawal(&mut self, agent: usize, incarnation: u64, name: WorkerName) {
        let worker = &mut self.workers[agent];
        worker.model.advance(self.now);
        if worker.is_up(incarnation) {
            self.counts.withdrawals_with_runs += u64::from(worker.model.runs().next().is_some());
        } else {
            self.counts.late_notices += 1;
        }
        self.trace(|| format!("agent {agent} receives the withdrawal of incarnation {incarnation}, {name}"));
        self.handle_agent_event(agent, AgentEvent::Withdrawn(name));
    }

    /// Ends a worker that has withdrawn, and starts the next one.
    pub(super) fn end_withdrawn_worker(&mut self, agent: usize, incarnation: u64) {
        let worker = &self.workers[agent];
        if !worker.is_up(incarnation) {
            return;
        }
        self.end_worker(agent);
        let keep_name = self.scenarios.contains(Scenario::LateNotices) && self.rng.random_bool(0.5);
        let down = Duration::from_millis(self.rng.random_range(100..1_000));
        self.schedule(
            down,
            ScheduledEvent::StartWorker {
                agent,
                keep_name,
                announcement_delay: Duration::ZERO,
            },
        );
    }
}

impl WorkerHost {
    fn new(model: LeasedWorker, name: NameNumber) -> Self {
        Self {
            model,
            name,
            state: WorkerState::Serving,
            announced: false,
            sequence: 0,
            unanswered_until: [None; 3],
        }
    }

    pub(super) fn is_down(&self) -> bool {
        self.state == WorkerState::Down
    }

    fn is_up(&self, incarnation: u64) -> bool {
        self.model.incarnation == incarnation && !self.is_down()
    }
}
