//! Entries that own runs, with their links, leases and undelivered reports.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnutfork_types::{
    EndLimit, EndedRun, HeartbeatNumber, LinkNumber, OrderNumber, ProcessId, Resources,
};
use indexmap::IndexMap;

/// Number of heartbeats whose send time is retained; even at the shortest interval they span more than an entry's lease.
const HEARTBEAT_HISTORY: usize = 64;

/// Entry to which this process has, or had, a link.
#[derive(Debug, Default)]
pub(crate) struct Owner {
    pub(crate) link: Option<LinkNumber>,
    /// End of the entry's lease on its runs; `None` before the first acknowledged heartbeat.
    pub(crate) lease_until: Option<Instant>,
    /// Send time of the latest heartbeat that the entry acknowledged.
    pub(crate) acknowledged_at: Option<Instant>,
    pub(crate) last_order: OrderNumber,
    /// Share of the free capacity that was last reported to the entry.
    pub(crate) share: Resources,
    /// When the load was last reported to the entry.
    pub(crate) reported_at: Option<Instant>,
    /// Shortest time between two reports of the load, other than heartbeats, that the entry has asked for.
    pub(crate) report_interval: Duration,
    /// Arrival of the latest start order.
    pub(crate) last_order_at: Option<Instant>,
    /// Ended runs not yet reported, because there is no link or a report can be deferred.
    pub(crate) outbox: Vec<EndedRun>,
    /// Whether the latest start order states the kinds of its tasks, so that the entry reads reports on interference.
    pub(crate) reads_interference: bool,
    /// Whether the latest report on interference to the entry states any.
    pub(crate) reported_interference: bool,
}

/// Entries by process, and the send times of recent heartbeats.
#[derive(Debug, Default)]
pub(crate) struct Owners {
    entries: IndexMap<ProcessId, Owner>,
    heartbeats: VecDeque<(HeartbeatNumber, Instant)>,
    last_heartbeat: HeartbeatNumber,
}

impl Owners {
    pub(crate) fn connect(&mut self, link: LinkNumber, entry: ProcessId) {
        self.entries.entry(entry).or_default().link = Some(link);
    }

    /// Removes a link and returns its entry, unless a later link has replaced it.
    pub(crate) fn disconnect(&mut self, link: LinkNumber) -> Option<ProcessId> {
        let (&entry, owner) = self
            .entries
            .iter_mut()
            .find(|(_, owner)| owner.link == Some(link))?;
        owner.link = None;
        Some(entry)
    }

    /// Returns the entry whose current link this is; messages on replaced links are ignored.
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

    /// Records the share that is reported to an entry now.
    pub(crate) fn record_report(&mut self, entry: ProcessId, now: Instant, share: Resources) {
        if let Some(owner) = self.entries.get_mut(&entry) {
            owner.share = share;
            owner.reported_at = Some(now);
        }
    }

    /// Returns whether a share differs from the one last reported to an entry, and the entry accepts a report now.
    pub(crate) fn is_report_due(&self, entry: ProcessId, now: Instant, share: Resources) -> bool {
        self.entries.get(&entry).is_some_and(|owner| {
            let accepts = owner
                .reported_at
                .is_none_or(|at| now >= at + owner.report_interval);
            accepts && owner.share != share
        })
    }

    /// Returns whether an entry has acknowledged a heartbeat that was sent at most `limit` ago.
    pub(crate) fn has_acknowledged_within(&self, entry: ProcessId, now: Instant, limit: Duration) -> bool {
        let acknowledged = self.entries.get(&entry).and_then(|owner| owner.acknowledged_at);
        acknowledged.is_some_and(|sent| now <= sent + limit)
    }

    /// Allocates the number of a heartbeat and records that it is sent now.
    pub(crate) fn next_heartbeat(&mut self, now: Instant) -> HeartbeatNumber {
        self.last_heartbeat += 1;
        self.heartbeats.push_back((self.last_heartbeat, now));
        if self.heartbeats.len() > HEARTBEAT_HISTORY {
            self.heartbeats.pop_front();
        }
        self.last_heartbeat
    }

    /// Returns the time that a limit of an entry refers to. If the heartbeat that it counts from is not known any more, the limit
    /// has passed.
    pub(crate) fn end_of(&self, now: Instant, limit: EndLimit) -> Instant {
        let counted_from = limit.heartbeat.map_or(Some(now), |number| self.sent_at(number));
        counted_from
            .and_then(|at| at.checked_add(limit.after))
            .unwrap_or(now)
    }

    fn sent_at(&self, heartbeat: HeartbeatNumber) -> Option<Instant> {
        let mut heartbeats = self.heartbeats.iter();
        heartbeats
            .find(|(number, _)| *number == heartbeat)
            .map(|&(_, at)| at)
    }

    /// Renews the lease of an entry that acknowledged a heartbeat; the lease counts from the time it was sent.
    pub(crate) fn acknowledge(&mut self, entry: ProcessId, heartbeat: HeartbeatNumber, lease: Duration) {
        let sent = self.sent_at(heartbeat);
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

    /// Removes entries without a link whose lease expired longer than `retention` ago; until then they may reconnect and
    /// fetch their reports.
    pub(crate) fn remove_idle(&mut self, now: Instant, retention: Duration) {
        self.entries.retain(|_, owner| {
            let recent = owner.lease_until.is_some_and(|until| now < until + retention);
            owner.link.is_some() || recent
        });
    }
}
