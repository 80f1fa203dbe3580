//! Division of the free capacity among entries.
//!
//! Several entries receive the same load report at the same time. If each placed a task in the same free capacity, all
//! but one of these tasks would wait at the agent although other workers have free capacity. The agent therefore divides
//! the free capacity into units of the size of its largest current task and, while capacity is scarce, allocates each
//! unit to a single entry until the next report.

use std::time::{Duration, Instant};

use chestnutfork_types::{ProcessId, Resources};

use crate::core::WorkerCore;

/// Time after its latest order during which an entry takes part in the division: five heartbeats.
const COMPETITOR_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of entries to which each unit is allocated while capacity is not scarce, because few entries use their entire
/// share before the next report.
const OVERCOMMIT_FACTOR: u64 = 2;

impl WorkerCore {
    /// Returns the part of the free capacity that is allocated to an entry until the next report to all entries.
    pub(crate) fn share(&self, now: Instant, entry: ProcessId) -> Resources {
        let (free, unit) = (self.free(), self.allocation_unit());
        let competitors = self.competitors(now, entry);
        let position = competitors.iter().position(|&other| other == entry);
        let (Some(position), Some(units)) = (position, units_in(free, unit)) else {
            return free;
        };
        let allocated = if self.is_scarce(free) {
            units
        } else {
            units.saturating_mul(OVERCOMMIT_FACTOR)
        };
        let count = competitors.len() as u64;
        let rank = (position as u64 + self.share_rotation) % count;
        let own = allocated / count + u64::from(rank < allocated % count);
        if own >= units { free } else { scale(unit, own) }
    }

    /// Returns the connected entries that have sent an order recently, and always includes `entry` if it is connected.
    fn competitors(&self, now: Instant, entry: ProcessId) -> Vec<ProcessId> {
        let competing = self.owners.iter().filter(|(other, owner)| {
            let recent = owner
                .last_order_at
                .is_some_and(|at| now < at + COMPETITOR_TIMEOUT);
            owner.link.is_some() && (recent || *other == entry)
        });
        competing.map(|(other, _)| other).collect()
    }

    /// Returns the size of the largest running or waiting task, as an estimate for future tasks.
    fn allocation_unit(&self) -> Resources {
        let used = self.runs.values().map(|run| run.resources);
        used.fold(Resources::default(), largest)
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
