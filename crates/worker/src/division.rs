//! Division of units of free capacity among entries.

/// Number of entries to which each unit is allocated while capacity is not scarce, because few entries use their entire
/// share before the next report.
const OVERCOMMIT_FACTOR: u64 = 2;

/// How the free capacity of a worker is divided until the next report to all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Division {
    /// Each unit is allocated to one entry: capacity is scarce, or entries order within their shares only.
    Exact,
    /// Each unit is allocated to several entries.
    Overcommitted,
}

/// Returns the number of units allocated to the entry at a position among competing entries.
///
/// The rotation determines which entries get the units that remain when the units do not divide evenly.
pub(crate) fn allocated_units(
    division: Division,
    units: u64,
    position: usize,
    competitors: usize,
    rotation: u64,
) -> u64 {
    let allocated = match division {
        Division::Exact => units,
        Division::Overcommitted => units.saturating_mul(OVERCOMMIT_FACTOR),
    };
    let count = competitors.max(1) as u64;
    let rank = (position as u64).wrapping_add(rotation) % count;
    (allocated / count + u64::from(rank < allocated % count)).min(units)
}
