//! Wire form of reports about interference between kinds of tasks.

use std::time::Duration;

use chestnutfork_types::{InterferenceReport, KindPair, PairEvidence};

/// Wire form of [`PairEvidence`]: slowed kind, kind beside it, logarithm of the slowdown in thousandths, precision, number of
/// runs and age in milliseconds.
pub type PairEvidenceWire = (u64, u64, i32, u32, u32, u32);

/// Wire form of [`InterferenceReport`]: pairs, and kinds with their numbers of running tasks.
type ReportWire = (Option<Vec<PairEvidenceWire>>, Vec<(u64, u32)>);

fn pair_to_wire(evidence: PairEvidence) -> PairEvidenceWire {
    (
        evidence.pair.slowed,
        evidence.pair.beside,
        evidence.log_permille,
        evidence.precision,
        evidence.runs,
        u32::try_from(evidence.age.as_millis()).unwrap_or(u32::MAX),
    )
}

fn pair_from_wire(wire: PairEvidenceWire) -> PairEvidence {
    let (slowed, beside, log_permille, precision, runs, age_ms) = wire;
    PairEvidence {
        pair: KindPair { slowed, beside },
        log_permille,
        precision,
        runs,
        age: Duration::from_millis(u64::from(age_ms)),
    }
}

pub(crate) fn report_to_wire(report: InterferenceReport) -> ReportWire {
    let pairs = report
        .pairs
        .map(|pairs| pairs.into_iter().map(pair_to_wire).collect());
    (pairs, report.running)
}

pub(crate) fn report_from_wire(
    pairs: Option<Vec<PairEvidenceWire>>,
    running: Vec<(u64, u32)>,
) -> InterferenceReport {
    InterferenceReport {
        pairs: pairs.map(|pairs| pairs.into_iter().map(pair_from_wire).collect()),
        running,
    }
}
