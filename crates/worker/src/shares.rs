//! Division of the free capacity among entries.
//!
//! Several entries receive the same load report at the same time. If each placed a task in the same free capacity, all
//! but one of these tasks would wait at the agent although other workers have free capacity. The agent therefore divides
//! the free capacity into units of the size of its largest current task and, while capacity is scarce, allocates each
//! unit to a single entry until the next report.

use std::time::{Duration, Instant};

use chestnutfork_types::{ProcessId, Resources};

use crate::core::WorkerCore;
use crate::division::{Division, allocated_units};

/// Time after its latest order during which an entry takes part in the division: five heartbeats.
const COMPETITOR_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the latest link opened in which the size of tasks need not be known yet: entries connect within 250 ms after a
/// restart of everything, and the first tasks follow at once.
const CONNECTING_TIME: Duration = Duration::from_millis(500);

impl WorkerCore {
    /// Returns the part of the free capacity that is allocated to an entry until the next report to all entries.
    pub(crate) fn share(&self, now: Instant, entry: ProcessId) -> Resources {
        let (free, unit) = (self.free(), self.allocation_unit(now));
        let competitors = self.competitors(now, entry);
        let position = competitors.iter().position(|&other| other == entry);
        let Some(position) = position else {
            return free;
        };
        let Some(units) = units_in(free, unit) else {
            // Before the first task its size is not known. All entries connect at about the same time after a return, and each
            // would fill the worker, so it is allocated to a single one.
            let holder = self.share_rotation % competitors.len() as u64;
            let holds = !self.is_connecting(now) || position as u64 == holder;
            return if holds { free } else { Resources::default() };
        };
        let is_exact = self.is_scarce(free) || self.orders_within_shares(now);
        let division = if is_exact {
            Division::Exact
        } else {
            Division::Overcommitted
        };
        let own = allocated_units(division, units, position, competitors.len(), self.share_rotation);
        if own >= units { free } else { scale(unit, own) }
    }

    /// Returns whether an entry has recently stated that it orders within its shares only, as all do after a return.
    pub(crate) fn orders_within_shares(&self, now: Instant) -> bool {
        let mut owners = self.owners.iter();
        owners.any(|(_, owner)| owner.within_share && owner.has_ordered_since(now, COMPETITOR_TIMEOUT))
    }

    /// Returns whether there is room for another task of the present size.
    pub(crate) fn has_free_unit(&self, now: Instant) -> bool {
        units_in(self.free(), self.allocation_unit(now)).is_some_and(|units| units > 0)
    }

    /// Returns whether a link to an entry opened so recently that others may still be connecting.
    fn is_connecting(&self, now: Instant) -> bool {
        let connected_at = self.owners.connected_at().filter(|_| self.cfg.limit_returns);
        connected_at.is_some_and(|at| now < at + CONNECTING_TIME)
    }

    /// Returns the connected entries that have sent an order recently, and always includes `entry` if it is connected. After a
    /// return these are all connected entries.
    fn competitors(&self, now: Instant, entry: ProcessId) -> Vec<ProcessId> {
        // Entries that order within their shares wait for one, and each must get a part although it has not ordered yet.
        let all = self.is_connecting(now) || self.orders_within_shares(now);
        let competing = self.owners.iter().filter(|(other, owner)| {
            let recent = owner.has_ordered_since(now, COMPETITOR_TIMEOUT);
            owner.link.is_some() && (all || recent || *other == entry)
        });
        competing.map(|(other, _)| other).collect()
    }

    /// Returns the size of the largest running or waiting task, or of the last one, as an estimate for future tasks.
    ///
    /// The last one counts only after a return. In normal operation any entry may fill an empty worker, because few have enough
    /// tasks to do so.
    fn allocation_unit(&self, now: Instant) -> Resources {
        if self.runs.is_empty() && self.orders_within_shares(now) {
            return self.last_unit;
        }
        let used = self.runs.values().map(|run| run.resources);
        used.fold(Resources::default(), largest)
    }

    /// Retains the size of the largest task, so that the division goes on when the last run ends.
    pub(crate) fn retain_unit(&mut self) {
        if self.cfg.limit_returns {
            let used = self.runs.values().map(|run| run.resources);
            self.last_unit = used.fold(Resources::default(), largest);
        }
    }
}

fn largest(one: Resources, other: Resources) -> Resources {
    Resources {
        cpu_millis: one.cpu_millis.max(other.cpu_millis),
        memory_mb: one.memory_mb.max(other.memory_mb),
        gpus: one.gpus.max(other.gpus),
    }
}

fn scale(unit: Resources, count: u64) -> Resources {
    Resources {
        cpu_millis: unit.cpu_millis.saturating_mul(count),
        memory_mb: unit.memory_mb.saturating_mul(count),
        gpus: unit.gpus.saturating_mul(count),
    }
}

/// Returns how many units fit into the free capacity, or `None` if the unit is empty.
fn units_in(free: Resources, unit: Resources) -> Option<u64> {
    let pairs = [
        (free.cpu_millis, unit.cpu_millis),
        (free.memory_mb, unit.memory_mb),
        (free.gpus, unit.gpus),
    ];
    let fits = pairs.into_iter().filter(|&(_, unit)| unit > 0);
    fits.map(|(free, unit)| free / unit).min()
}
