//! Max-min fair division among the routes of a priority.

use chestnutfork_types::DemandBand;

/// Returns the fraction of the jobs of each route to admit, so that together they use `fraction` of the work of all routes.
///
/// Each route may submit the same number of jobs, and one with fewer is admitted in full. So only the routes with a surplus bear
/// the refusals.
pub(crate) fn max_min_fractions(routes: &[DemandBand], fraction: f64) -> Vec<f64> {
    if fraction >= 1.0 {
        return vec![1.0; routes.len()];
    }
    let jobs = |at: usize| f64::from(routes[at].jobs.max(1));
    let work = |at: usize| as_f64(routes[at].work);
    let mut ascending: Vec<usize> = (0..routes.len()).collect();
    ascending.sort_by_key(|&at| routes[at].jobs);
    let mut budget = fraction.clamp(0.0, 1.0) * (0..routes.len()).map(work).sum::<f64>();
    let mut fractions = vec![fraction; routes.len()];
    for (position, &at) in ascending.iter().enumerate() {
        // With an equal number of jobs from each of the remaining routes, a job of each costs `unit`.
        let unit: f64 = ascending[position..]
            .iter()
            .map(|&other| work(other) / jobs(other))
            .sum();
        if unit <= 0.0 {
            break;
        }
        let limit = budget / unit;
        if limit < jobs(at) {
            for &other in &ascending[position..] {
                fractions[other] = limit / jobs(other);
            }
            break;
        }
        fractions[at] = 1.0;
        budget -= work(at);
    }
    fractions
}

#[expect(clippy::cast_precision_loss, reason = "an estimate needs no exact digits")]
fn as_f64(value: u64) -> f64 {
    value as f64
}
