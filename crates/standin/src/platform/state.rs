//! State machine of the simulated platform, without sockets or a clock of its own.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::model::{Lease, LeaseId, LeaseRequest, Notice, TaskAction, TaskRef, Usage, Worker};

/// Longest lease, so that a forgotten one frees its worker some day.
const MAX_TTL: Duration = Duration::from_hours(24);
/// Number of actions that are remembered for tests and experiments.
const MAX_ACTIONS: usize = 10_000;

/// Reason why the platform declines a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decline {
    /// No worker has the name.
    UnknownWorker,
    /// The lease does not exist or has expired.
    UnknownLease,
    /// The worker has not enough room.
    NoRoom,
    /// The worker is leaving.
    Leaving,
}

/// Lease with its end.
#[derive(Debug)]
struct Held {
    worker: String,
    request: LeaseRequest,
    until: Instant,
}

/// Worker with the history of its use.
#[derive(Debug)]
struct Site {
    worker: Worker,
    leaving: bool,
    history: VecDeque<(Instant, Usage)>,
}

/// State of the platform.
#[derive(Debug)]
pub(super) struct State {
    lag: Duration,
    sites: IndexMap<String, Site>,
    leases: IndexMap<LeaseId, Held>,
    next_lease: LeaseId,
    actions: VecDeque<(TaskRef, TaskAction)>,
    notices: Vec<Notice>,
}

impl State {
    /// Creates a platform with idle workers.
    pub fn new(now: Instant, lag: Duration, workers: Vec<Worker>) -> Self {
        let site = |worker: Worker| {
            let history = VecDeque::from([(now, Usage::default())]);
            let name = worker.name.clone();
            let site = Site {
                worker,
                leaving: false,
                history,
            };
            (name, site)
        };
        Self {
            lag,
            sites: workers.into_iter().map(site).collect(),
            leases: IndexMap::new(),
            next_lease: 1,
            actions: VecDeque::new(),
            notices: Vec::new(),
        }
    }

    /// Returns the workers.
    pub fn workers(&self) -> Vec<Worker> {
        self.sites.values().map(|site| site.worker.clone()).collect()
    }

    /// Returns the actions on tasks so far.
    pub fn actions(&self) -> Vec<(TaskRef, TaskAction)> {
        self.actions.iter().copied().collect()
    }

    /// Returns the time at which the next lease expires.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.leases.values().map(|held| held.until).min()
    }

    /// Ends the leases that have expired.
    pub fn expire(&mut self, now: Instant) {
        let expired = self.leases.iter().filter(|(_, held)| held.until <= now);
        let expired: Vec<LeaseId> = expired.map(|(&id, _)| id).collect();
        for id in expired {
            self.end(now, id);
        }
    }

    /// Grants a lease if the worker has room.
    pub fn lease(&mut self, now: Instant, worker: &str, request: LeaseRequest) -> Result<Lease, Decline> {
        let used = self.used(worker);
        let site = self.sites.get(worker).ok_or(Decline::UnknownWorker)?;
        if site.leaving {
            return Err(Decline::Leaving);
        }
        let fits = used.cores.saturating_add(request.cores) <= site.worker.cores
            && used.memory_mib.saturating_add(request.memory_mib) <= site.worker.memory_mib
            && used.accelerators.saturating_add(request.accelerators) <= site.worker.accelerators;
        if !fits {
            return Err(Decline::NoRoom);
        }
        let id = self.next_lease;
        self.next_lease += 1;
        let ttl = lifetime(request.ttl_ms);
        let held = Held {
            worker: worker.to_owned(),
            request,
            until: now + ttl,
        };
        self.leases.insert(id, held);
        self.sample(now, worker);
        Ok(granted(id, ttl))
    }

    /// Extends a lease.
    pub fn renew(&mut self, now: Instant, id: LeaseId, ttl_ms: u64) -> Result<Lease, Decline> {
        let held = self.leases.get_mut(&id).ok_or(Decline::UnknownLease)?;
        let ttl = lifetime(ttl_ms);
        held.until = now + ttl;
        Ok(granted(id, ttl))
    }

    /// Ends a lease before its time.
    pub fn release(&mut self, now: Instant, id: LeaseId) -> Result<(), Decline> {
        if !self.leases.contains_key(&id) {
            return Err(Decline::UnknownLease);
        }
        self.end(now, id);
        Ok(())
    }

    /// Reports the use of a worker as it was before the lag.
    pub fn usage(&mut self, now: Instant, worker: &str) -> Result<Usage, Decline> {
        let lag = self.lag;
        let site = self.sites.get_mut(worker).ok_or(Decline::UnknownWorker)?;
        let visible = |&(at, _): &(Instant, Usage)| now.saturating_duration_since(at) >= lag;
        while site.history.len() > 1 && site.history.get(1).is_some_and(visible) {
            site.history.pop_front();
        }
        let usage = site.history.front().map(|&(_, usage)| usage);
        let lag_ms = millis(lag);
        Ok(Usage {
            lag_ms,
            ..usage.unwrap_or_default()
        })
    }

    /// Records an action on a task under a lease.
    pub fn act(&mut self, task: TaskRef, action: TaskAction) -> Result<(), Decline> {
        if !self.leases.contains_key(&task.lease) {
            return Err(Decline::UnknownLease);
        }
        if self.actions.len() >= MAX_ACTIONS {
            self.actions.pop_front();
        }
        self.actions.push_back((task, action));
        Ok(())
    }

    /// Announces that a worker leaves; it grants no leases from now on.
    pub fn leave(&mut self, worker: &str, leaves_in: Duration) -> Result<(), Decline> {
        let site = self.sites.get_mut(worker).ok_or(Decline::UnknownWorker)?;
        site.leaving = true;
        self.notices.push(Notice {
            number: self.notices.len() as u64 + 1,
            worker: worker.to_owned(),
            leaves_in_ms: millis(leaves_in),
        });
        Ok(())
    }

    /// Returns the notices after the given number.
    pub fn notices(&self, after: u64) -> Vec<Notice> {
        let skipped = usize::try_from(after).unwrap_or(usize::MAX);
        self.notices.iter().skip(skipped).cloned().collect()
    }

    fn end(&mut self, now: Instant, id: LeaseId) {
        if let Some(held) = self.leases.shift_remove(&id) {
            self.sample(now, &held.worker);
        }
    }

    fn sample(&mut self, now: Instant, worker: &str) {
        let used = self.used(worker);
        if let Some(site) = self.sites.get_mut(worker) {
            site.history.push_back((now, used));
        }
    }

    fn used(&self, worker: &str) -> Usage {
        let mut used = Usage::default();
        for held in self.leases.values().filter(|held| held.worker == worker) {
            used.cores += held.request.cores;
            used.memory_mib += held.request.memory_mib;
            used.accelerators += held.request.accelerators;
        }
        used
    }
}

fn lifetime(ttl_ms: u64) -> Duration {
    Duration::from_millis(ttl_ms).min(MAX_TTL)
}

fn granted(id: LeaseId, ttl: Duration) -> Lease {
    let ttl_ms = millis(ttl);
    Lease { id, ttl_ms }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
