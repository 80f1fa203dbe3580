//! Comparison of two reports.

use std::fmt::Write;

use crate::number::count_to_f64;
use crate::report::Report;

/// Formats the figures of an earlier and a present report side by side, with the relative change.
///
/// # Examples
///
/// ```
/// let report = chestnutfork_load::Report::default();
/// let text = chestnutfork_load::compare(&report, &report);
/// assert!(text.contains("response_ratio_p99"));
/// ```
#[must_use]
pub fn compare(earlier: &Report, present: &Report) -> String {
    let mut text = format!(
        "{:<24} {:>12} {:>12} {:>9}\n",
        "figure", "earlier", "present", "change"
    );
    for (name, value) in FIGURES {
        let (before, after) = (value(earlier), value(present));
        let change = if before == 0.0 {
            "-".to_owned()
        } else {
            format!("{:+.1}%", 100.0 * (after - before) / before)
        };
        // Writing to a string cannot fail.
        writeln!(text, "{name:<24} {before:>12.3} {after:>12.3} {change:>9}").ok();
    }
    text
}

type Figure = (&'static str, fn(&Report) -> f64);

const FIGURES: [Figure; 14] = [
    ("jobs_completed", |r| count_to_f64(r.jobs_completed)),
    ("jobs_failed", |r| count_to_f64(r.jobs_failed)),
    ("jobs_not_run", |r| count_to_f64(r.jobs_not_run)),
    ("jobs_late", |r| count_to_f64(r.jobs_late)),
    ("tasks_started", |r| count_to_f64(r.tasks_started)),
    ("wasted_per_1000", |r| r.wasted_per_1000),
    ("response_ratio_p50", |r| r.response_ratio_p50),
    ("response_ratio_p99", |r| r.response_ratio_p99),
    ("response_ratio_p999", |r| r.response_ratio_p999),
    ("response_ms.p50", |r| r.response_ms.p50),
    ("response_ms.p99", |r| r.response_ms.p99),
    ("goodput_tasks_per_s", |r| r.goodput_tasks_per_s),
    ("goodput_work_per_s", |r| r.goodput_work_per_s),
    ("starts_per_s", |r| r.starts_per_s),
];
