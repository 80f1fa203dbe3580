//! Leases of entries and agents, which only the leader tracks.

use std::time::{Duration, Instant};

use chestnutfork_types::{ConfigVersion, ProcessId, ViewNumber};
use indexmap::IndexMap;

use crate::message::{EntryInfo, Renewal};

/// Lease duration of an entry. Entries renew every 500 ms, and followers forward renewals once per maintenance
/// interval.
const ENTRY_LEASE: Duration = Duration::from_secs(2);
/// Lease duration of an agent. It serves status reports only, because entries detect the loss of an agent on their own
/// link.
const AGENT_LEASE: Duration = Duration::from_secs(15);
/// Time within which an accepted version must be in force at all processes.
const ROLLOUT_BOUND: Duration = Duration::from_secs(10);

/// Lease of one entry or agent.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    pub(crate) info: EntryInfo,
    pub(crate) is_entry: bool,
    pub(crate) version: ConfigVersion,
    pub(crate) synced: ViewNumber,
    pub(crate) renewed_at: Instant,
    expires: Instant,
}

/// Leases of all processes and progress of the latest rollout.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    leases: IndexMap<ProcessId, Lease>,
    /// Latest accepted version and the time of its acceptance, until its rollout bound has passed.
    rollout: Option<(ConfigVersion, Instant)>,
}

impl Leases {
    /// Grants leases to all entries of the view when a leader is elected, before it has received any renewal.
    pub(crate) fn start(&mut self, now: Instant, entries: &[EntryInfo]) {
        self.leases.clear();
        self.rollout = None;
        for info in entries {
            let lease = Lease {
                info: info.clone(),
                is_entry: true,
                version: 0,
                synced: 0,
                renewed_at: now,
                // Twice the usual duration, because subscribers may first have to find a control process with a link to
                // this leader.
                expires: now + 2 * ENTRY_LEASE,
            };
            self.leases.insert(info.process, lease);
        }
    }

    pub(crate) fn renew(&mut self, now: Instant, renewal: Renewal) {
        let process = renewal.info.process;
        if renewal.leaving {
            self.leases.shift_remove(&process);
            return;
        }
        let ttl = if renewal.is_entry {
            ENTRY_LEASE
        } else {
            AGENT_LEASE
        };
        let remaining = ttl.saturating_sub(renewal.age);
        let expires = now + remaining;
        let known = self.leases.get(&process);
        let expires = known.map_or(expires, |lease| lease.expires.max(expires));
        let lease = Lease {
            info: renewal.info,
            is_entry: renewal.is_entry,
            version: renewal.version,
            synced: renewal.synced,
            renewed_at: now.checked_sub(renewal.age).unwrap_or(now),
            expires,
        };
        self.leases.insert(process, lease);
    }

    /// Removes expired leases and returns them.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<Lease> {
        let expired: Vec<Lease> = self
            .live()
            .filter(|lease| lease.expires <= now)
            .cloned()
            .collect();
        self.leases.retain(|_, lease| lease.expires > now);
        expired
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &Lease> {
        self.leases.values()
    }

    /// Iterates over the live entries in the order of their first renewal.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &Lease> {
        self.live().filter(|lease| lease.is_entry)
    }

    /// Starts the rollout bound of an accepted version.
    pub(crate) fn start_rollout(&mut self, now: Instant, version: ConfigVersion) {
        self.rollout = Some((version, now));
    }

    /// Returns the latest version if its rollout bound has passed and some leases have an older one. Each version is
    /// returned at most once.
    pub(crate) fn take_late_rollout(&mut self, now: Instant) -> Option<(ConfigVersion, Vec<&Lease>)> {
        let (version, since) = self.rollout?;
        if now < since + ROLLOUT_BOUND {
            return None;
        }
        self.rollout = None;
        let behind: Vec<&Lease> = self.live().filter(|lease| lease.version < version).collect();
        (!behind.is_empty()).then_some((version, behind))
    }
}
