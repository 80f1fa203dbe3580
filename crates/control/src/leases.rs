//! Leases of entries and agents, which only the leader keeps.

use std::time::{Duration, Instant};

use chestnutfork_types::{ConfigVersion, ProcessId, ViewNumber};
use indexmap::IndexMap;

use crate::message::{EntryInfo, Renewal};

/// Lease of an entry; it renews every 500 ms, and followers pass renewals on once a second.
const ENTRY_LEASE: Duration = Duration::from_secs(2);
/// Lease of an agent; it is only shown, because entries notice the loss of an agent through their own link.
const AGENT_LEASE: Duration = Duration::from_secs(15);
/// Bound within which an accepted version must be in force everywhere.
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

/// Leases as far as this leader knows.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    leases: IndexMap<ProcessId, Lease>,
    /// Latest version and the time since which it is accepted, until it is in force everywhere or reported.
    rollout: Option<(ConfigVersion, Instant)>,
}

impl Leases {
    /// Starts with full leases for the entries of the view, because a new leader has heard from none yet.
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
                // Subscribers first have to find a control process that has a link to this leader.
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

    /// Ends leases that were not renewed and returns them.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<Lease> {
        let ended: Vec<Lease> = self
            .live()
            .filter(|lease| lease.expires <= now)
            .cloned()
            .collect();
        self.leases.retain(|_, lease| lease.expires > now);
        ended
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &Lease> {
        self.leases.values()
    }

    /// Iterates over the live entries in the order of their first renewal.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &Lease> {
        self.live().filter(|lease| lease.is_entry)
    }

    /// Notes an accepted version.
    pub(crate) fn start_rollout(&mut self, now: Instant, version: ConfigVersion) {
        self.rollout = Some((version, now));
    }

    /// Returns a version that is late, with the leases behind it; each version is reported once.
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
