//! Entry processes: their cores, kills, and pauses during which events wait.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use chestnutfork_broker::{
    Action as EntryAction, BrokerConfig, BrokerCore, Event as EntryEvent, Notice as EntryNotice, Ticket,
};
use chestnutfork_routes::{Route, RouteTable, ServiceRule};
use chestnutfork_types::{LinkNumber, ProcessId, WorkerToEntry};
use chestnutfork_worker::WorkerConfig;
use rand::RngExt;

use super::{AGENTS, InjectedDefect, LINK_DELAY, Scenario, ScheduledEvent, Sim};

/// Source of events whose order an entry preserves; events of different channels may overtake each other after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Channel {
    Link(LinkNumber),
    Caller(Ticket),
    Timer,
}

/// Entry process.
#[derive(Debug)]
pub(super) struct EntryHost {
    pub(super) process: ProcessId,
    pub(super) core: BrokerCore,
    /// Next scheduled tick.
    tick_at: Option<Instant>,
    /// Until when the entry is cut off from agents and callers.
    pub(super) cut_until: Option<Instant>,
    /// Events that wait, while the entry is paused or has not caught up.
    inbox: Option<Inbox>,
    /// Until when the entry runs only between short stops.
    lagging_until: Option<Instant>,
}

#[derive(Debug, Default)]
struct Inbox {
    waiting: BTreeMap<Channel, VecDeque<EntryEvent>>,
    resumed: bool,
}

impl EntryHost {
    /// Returns how long the entry remains cut off.
    pub(super) fn cut_for(&self, now: Instant) -> Option<Duration> {
        let until = self.cut_until.filter(|&until| now < until)?;
        Some(until - now)
    }

    /// Returns whether the process does not run.
    pub(super) fn is_paused(&self) -> bool {
        self.inbox.as_ref().is_some_and(|inbox| !inbox.resumed)
    }

    /// Returns whether the process does not run, or runs only between short stops.
    pub(super) fn is_behind(&self, now: Instant) -> bool {
        self.is_paused() || self.lagging_until.is_some_and(|until| now < until)
    }
}

impl Sim {
    pub(super) fn add_entry(&mut self) {
        let host = EntryHost {
            process: self.rng.random(),
            core: self.new_entry(),
            tick_at: None,
            cut_until: None,
            inbox: None,
            lagging_until: None,
        };
        self.entries.push(host);
        self.schedule_entry_tick(self.entries.len() - 1);
    }

    fn new_entry(&self) -> BrokerCore {
        let run_expiry = match self.defect {
            Some(InjectedDefect::ShortRunExpiry) => Duration::from_millis(100),
            _ => WorkerConfig::builder().build().run_expiry(),
        };
        let mut core = BrokerCore::new(BrokerConfig::builder("zone-a", run_expiry).build(), self.now);
        let less_urgent = u32::from(self.scenarios.contains(Scenario::Priorities));
        let table = RouteTable {
            version: 1,
            routes: vec![route("/q/", 0), route("/batch/", less_urgent)],
            services: [("pool".to_owned(), ServiceRule::default())].into(),
        };
        core.handle(self.now, EntryEvent::Routes(table), &mut Vec::new());
        core
    }

    /// Passes an event to an entry, or lets it wait while the entry is paused.
    pub(super) fn deliver_to_entry(&mut self, entry: usize, channel: Channel, event: EntryEvent) {
        match &mut self.entries[entry].inbox {
            Some(inbox) => inbox.waiting.entry(channel).or_default().push_back(event),
            None => self.handle_entry_event(entry, event),
        }
    }

    fn handle_entry_event(&mut self, entry: usize, mut event: EntryEvent) {
        if let EntryEvent::Request { received_at, .. } = &mut event {
            // A process sees a request only when it reads the connection, which it does not do during a pause.
            *received_at = self.now;
        }
        let mut actions = Vec::new();
        let host = &mut self.entries[entry];
        let process = host.process;
        if let EntryEvent::FromAgent {
            message: WorkerToEntry::Ended(ended, _),
            ..
        } = &event
        {
            for run in ended {
                self.attempts.end((process, run.key), run.outcome);
            }
        }
        host.core.handle(self.now, event, &mut actions);
        self.schedule_entry_tick(entry);
        for action in actions {
            match action {
                EntryAction::ToAgent(link, message) => {
                    self.schedule(LINK_DELAY, ScheduledEvent::ToAgent(link, message));
                }
                EntryAction::Answer(ticket, answer) => self.on_answer(entry, ticket, answer),
                EntryAction::Notice(notice) => {
                    let shed = matches!(notice, EntryNotice::JobShed { .. });
                    self.counts.shed += u64::from(shed);
                    if let EntryNotice::AttemptEnded { key, outcome, .. } = &notice {
                        self.attempts.end((process, *key), *outcome);
                    }
                    self.trace(|| format!("entry {entry}: {notice:?}"));
                }
            }
        }
    }

    fn schedule_entry_tick(&mut self, entry: usize) {
        let host = &mut self.entries[entry];
        let at = host.core.next_wakeup().max(self.now + Duration::from_millis(1));
        if host.tick_at.is_none_or(|scheduled| at < scheduled) {
            host.tick_at = Some(at);
            self.schedule(at - self.now, ScheduledEvent::EntryTick(entry));
        }
    }

    pub(super) fn tick_entry(&mut self, entry: usize) {
        let host = &mut self.entries[entry];
        if host.tick_at != Some(self.now) {
            return;
        }
        host.tick_at = None;
        match &mut host.inbox {
            // A timer that expires during a pause fires once.
            Some(inbox) => {
                let waiting = inbox.waiting.entry(Channel::Timer).or_default();
                if waiting.is_empty() {
                    waiting.push_back(EntryEvent::Tick);
                }
            }
            None => self.handle_entry_event(entry, EntryEvent::Tick),
        }
    }

    /// Pauses an entry; its callers' connections break meanwhile, and some callers submit again elsewhere.
    pub(super) fn pause_entry(&mut self, entry: usize) {
        if self.entries[entry].inbox.is_some() || self.entries[entry].is_behind(self.now) {
            return;
        }
        self.counts.entry_pauses += 1;
        self.entries[entry].inbox = Some(Inbox::default());
        let pause = Duration::from_millis(self.rng.random_range(300..4_000));
        self.trace(|| format!("entry {entry} is paused for {} ms", pause.as_millis()));
        let process = self.entries[entry].process;
        self.schedule(pause, ScheduledEvent::ResumeEntry(entry, process));
        self.lose_patience(entry);
        for link in self.matching_links(|link| link.entry == entry) {
            // The agents' ends of the links detect the missing messages.
            let detection_delay = self.detection_delay();
            if detection_delay < pause {
                self.schedule(detection_delay, ScheduledEvent::LinkDown(link));
            }
        }
    }

    /// Stops an entry again and again, each time for less than a pause and more than a quota of processor time does.
    pub(super) fn lag_entry(&mut self, entry: usize) {
        let host = &mut self.entries[entry];
        if host.inbox.is_some() || host.is_behind(self.now) {
            return;
        }
        self.counts.entry_lags += 1;
        let span = Duration::from_millis(self.rng.random_range(2_000..6_000));
        host.lagging_until = Some(self.now + span);
        let process = host.process;
        self.trace(|| format!("entry {entry} lags for {} ms", span.as_millis()));
        self.lose_patience(entry);
        self.stop_lagging_entry(entry, process);
    }

    /// Stops an entry for a moment, until its lag ends.
    pub(super) fn stop_lagging_entry(&mut self, entry: usize, process: ProcessId) {
        let host = &mut self.entries[entry];
        if host.process != process || host.lagging_until.is_none_or(|until| until <= self.now) {
            return;
        }
        host.inbox.get_or_insert_default().resumed = false;
        let stop = Duration::from_millis(self.rng.random_range(150..240));
        self.schedule(stop, ScheduledEvent::ResumeEntry(entry, process));
        let slice = Duration::from_micros(self.rng.random_range(500..3_000));
        self.schedule(stop + slice, ScheduledEvent::StopLaggingEntry(entry, process));
    }

    /// Lets most callers of an entry give up soon.
    fn lose_patience(&mut self, entry: usize) {
        for job in self.jobs_at(entry) {
            if self.rng.random_bool(0.8) {
                let delay = Duration::from_millis(self.rng.random_range(0..500));
                self.schedule_reset(delay, job);
            }
        }
    }

    pub(super) fn resume_entry(&mut self, entry: usize, process: ProcessId) {
        let host = &mut self.entries[entry];
        if host.process != process {
            return;
        }
        if let Some(inbox) = &mut host.inbox {
            inbox.resumed = true;
            self.trace(|| format!("entry {entry} resumes"));
            self.process_backlog(entry, process);
        }
    }

    /// Processes an event that waits, from any channel, and schedules the next one.
    pub(super) fn process_backlog(&mut self, entry: usize, process: ProcessId) {
        let host = &mut self.entries[entry];
        if host.process != process {
            return;
        }
        let Some(inbox) = host.inbox.as_mut().filter(|inbox| inbox.resumed) else {
            return;
        };
        inbox.waiting.retain(|_, events| !events.is_empty());
        if inbox.waiting.is_empty() {
            host.inbox = None;
            self.schedule_entry_tick(entry);
            return;
        }
        let at = self.rng.random_range(0..inbox.waiting.len());
        let (&channel, events) = inbox.waiting.iter_mut().nth(at).expect("an index in range");
        let event = events.pop_front().expect("a channel with events");
        self.counts.backlog_events += 1;
        if !matches!(event, EntryEvent::Tick) {
            self.trace(|| format!("entry {entry} processes from its backlog {channel:x?}: {event:?}"));
        }
        self.handle_entry_event(entry, event);
        let next = Duration::from_micros(self.rng.random_range(20..500));
        self.schedule(next, ScheduledEvent::EntryBacklog(entry, process));
    }

    pub(super) fn kill_entry(&mut self, entry: usize) {
        let former = self.entries[entry].process;
        let host = EntryHost {
            process: self.rng.random(),
            core: self.new_entry(),
            tick_at: None,
            cut_until: None,
            inbox: None,
            lagging_until: None,
        };
        self.entries[entry] = host;
        self.trace(|| format!("entry {entry} is killed"));
        self.schedule_entry_tick(entry);
        self.close_matching(|link| link.entry_process == former);
        for agent in 0..AGENTS {
            self.schedule_connection(Duration::from_millis(50), entry, agent);
        }
        for job in self.jobs_at(entry) {
            self.lose_caller(job);
        }
    }
}

fn route(prefix: &str, priority: u32) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        service: "pool".to_owned(),
        priority,
        max_attempts: 3,
        stretch_factor: 2.0,
        overhead: Duration::from_millis(500),
        timeout: Duration::from_secs(2),
    }
}
