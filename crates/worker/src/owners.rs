//! Entries that own runs: their links, leases and undelivered reports.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnutfork_types::{BeatNumber, EndedRun, LinkNumber, OrderNumber, ProcessId, Resources};
use indexmap::IndexMap;

/// Heartbeats whose sending time is remembered; at the shortest interval they span more than an entry's lease.
const HEARTBEAT_HISTORY: usize = 64;

/// Entry that this process has a link to, or had.
#[derive(Debug, Default)]
pub(crate) struct Owner {
    pub(crate) link: Option<LinkNumber>,
    /// End of the lease on its runs; none before the first acknowledged heartbeat.
    pub(crate) lease_until: Option<Instant>,
    /// When the latest heartbeat was sent that it acknowledged.
    pub(crate) acknowledged_at: Option<Instant>,
    pub(crate) last_order: OrderNumber,
    /// Share of the free capacity that it was told last.
    pub(crate) share: Resources,
    /// Arrival of the latest start order.
    pub(crate) last_order_at: Option<Instant>,
    /// Reports that wait for a link or for the end of the event.
    pub(crate) outbox: Vec<EndedRun>,
}

/// All entries.
#[derive(Debug, Default)]
pub(crate) struct Owners {
    entries: IndexMap<ProcessId, Owner>,
    heartbeats: VecDeque<(BeatNumber, Instant)>,
    last_heartbeat: BeatNumber,
}

impl Owners {
    pub(crate) fn connect(&mut self, link: LinkNumber, entry: ProcessId) {
        self.entries.entry(entry).or_default().link = Some(link);
    }

    /// Forgets a link and returns the entry behind it, unless a later link has replaced it.
    pub(crate) fn disconnect(&mut self, link: LinkNumber) -> Option<ProcessId> {
        let (&entry, owner) = self
            .entries
            .iter_mut()
            .find(|(_, owner)| owner.link == Some(link))?;
        owner.link = None;
        Some(entry)
    }

    /// Returns the entry behind its current link; messages of replaced links are void.
    pub(crate) fn entry_of(&self, link: LinkNumber) -> Option<ProcessId> {
        let mut owners = self.entries.iter();
        owners
            .find(|(_, owner)| owner.link == Some(link))
            .map(|(&entry, _)| entry)
    }

    pub(crate) fn get_mut(&mut self, entry: ProcessId) -> Option<&mut Owner> {
        self.entries.get_mut(&entry)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (ProcessId, &Owner)> {
        self.entries.iter().map(|(&entry, owner)| (entry, owner))
    }

    pub(crate) fn take_outbox(&mut self, entry: ProcessId) -> Vec<EndedRun> {
        let owner = self.entries.get_mut(&entry);
        owner.map_or_else(Vec::new, |owner| std::mem::take(&mut owner.outbox))
    }

    /// Notes the share that an entry is told, and returns the one that it was told before.
    pub(crate) fn replace_share(&mut self, entry: ProcessId, share: Resources) -> Resources {
        let owner = self.entries.get_mut(&entry);
        owner.map_or(share, |owner| std::mem::replace(&mut owner.share, share))
    }

    /// Reports whether an entry has acknowledged a heartbeat that was sent no longer ago than the given time.
    pub(crate) fn has_acknowledged_within(&self, entry: ProcessId, now: Instant, limit: Duration) -> bool {
        let acknowledged = self.entries.get(&entry).and_then(|owner| owner.acknowledged_at);
        acknowledged.is_some_and(|sent| now <= sent + limit)
    }

    /// Numbers a heartbeat that is sent now.
    pub(crate) fn next_heartbeat(&mut self, now: Instant) -> BeatNumber {
        self.last_heartbeat += 1;
        self.heartbeats.push_back((self.last_heartbeat, now));
        if self.heartbeats.len() > HEARTBEAT_HISTORY {
            self.heartbeats.pop_front();
        }
        self.last_heartbeat
    }

    /// Renews the lease of an entry that has received a heartbeat.
    pub(crate) fn acknowledge(&mut self, entry: ProcessId, heartbeat: BeatNumber, lease: Duration) {
        let sent = self
            .heartbeats
            .iter()
            .find(|(number, _)| *number == heartbeat)
            .map(|&(_, at)| at);
        if let Some((owner, sent)) = self.entries.get_mut(&entry).zip(sent) {
            owner.lease_until = owner.lease_until.max(Some(sent + lease));
            owner.acknowledged_at = owner.acknowledged_at.max(Some(sent));
        }
    }

    pub(crate) fn has_lease(&self, entry: ProcessId, now: Instant) -> bool {
        let owner = self.entries.get(&entry);
        owner
            .and_then(|owner| owner.lease_until)
            .is_some_and(|until| now < until)
    }

    /// Forgets entries that have neither a link nor a lease nor reports to fetch.
    pub(crate) fn remove_idle(&mut self, now: Instant, retention: Duration) {
        self.entries.retain(|_, owner| {
            let recent = owner.lease_until.is_some_and(|until| now < until + retention);
            owner.link.is_some() || recent
        });
    }
}
