//! Validation of the values in a scenario.

use super::{Arrivals, Distribution, Rate, Scenario};
use crate::arrivals::MAX_JOBS;
use crate::error::LoadError;

/// Maximum length of a run. It keeps a mistyped duration from loading a machine for hours.
const MAX_DURATION_MS: u64 = 3_600_000;

impl Distribution {
    fn check(self, key: &'static str, lower: f64, upper: f64) -> Result<(), LoadError> {
        let (min, max) = match self {
            Self::Fixed(value) => (value, value),
            Self::Uniform { min, max } | Self::LogUniform { min, max } => (min, max),
        };
        let logarithmic = matches!(self, Self::LogUniform { .. });
        if min >= lower && max <= upper && min <= max && (!logarithmic || min > 0.0) {
            return Ok(());
        }
        Err(LoadError::InvalidValue {
            key,
            problem: format!("the range {min} to {max} is empty or not within {lower} to {upper}"),
            remedy: "choose min <= max within these limits, and min above 0 for `log_uniform`",
        })
    }
}

impl Scenario {
    /// Validates the values of all keys.
    ///
    /// # Errors
    ///
    /// Returns the first key whose value is invalid, with a hint on how to correct it.
    pub fn check(&self) -> Result<(), LoadError> {
        check_range("duration_ms", self.duration_ms, 1, MAX_DURATION_MS)?;
        check_range("deadline_ms", self.deadline_ms, 1, MAX_DURATION_MS)?;
        check_range("max_jobs", self.max_jobs.unwrap_or(1), 1, MAX_JOBS)?;
        self.check_arrivals()?;
        self.job_tasks.check("job_tasks", 1.0, 65_535.0)?;
        self.run_ms.check("run_ms", 0.0, 600_000.0)?;
        check_share("non_idempotent", self.non_idempotent)?;
        check_share("failing", self.failing)?;
        if let Some(long) = self.long_tasks {
            check_share("long_tasks.share", long.share)?;
            long.run_ms.check("long_tasks.run_ms", 0.0, 600_000.0)?;
        }
        if let Some(wrong) = self.wrong_declarations {
            check_share("wrong_declarations.share", wrong.share)?;
            check_positive("wrong_declarations.factor", wrong.factor)?;
        }
        self.check_caller_actions()?;
        self.check_faults()
    }

    fn check_arrivals(&self) -> Result<(), LoadError> {
        match self.arrivals.rate() {
            Rate::JobsPerS(rate) => check_positive("arrivals.jobs_per_s", rate)?,
            Rate::Load(load) => check_positive("arrivals.load", load)?,
        }
        if let Arrivals::Bursts {
            every_ms,
            packed_into,
            ..
        } = self.arrivals
        {
            check_range("arrivals.every_ms", every_ms, 1, MAX_DURATION_MS)?;
            check_share("arrivals.packed_into", packed_into)?;
            check_positive("arrivals.packed_into", packed_into)?;
        }
        Ok(())
    }

    fn check_caller_actions(&self) -> Result<(), LoadError> {
        if let Some(resubmissions) = self.resubmissions {
            check_share("resubmissions.while_running", resubmissions.while_running)?;
            check_share("resubmissions.after_answer", resubmissions.after_answer)?;
            resubmissions
                .delay_ms
                .check("resubmissions.delay_ms", 0.0, 600_000.0)?;
        }
        if let Some(cancellations) = self.cancellations {
            check_share("cancellations.share", cancellations.share)?;
            cancellations
                .delay_ms
                .check("cancellations.delay_ms", 0.0, 600_000.0)?;
            let wave_every_ms = cancellations.wave_every_ms.unwrap_or(1);
            check_range("cancellations.wave_every_ms", wave_every_ms, 1, MAX_DURATION_MS)?;
        }
        Ok(())
    }

    fn check_faults(&self) -> Result<(), LoadError> {
        for fault in &self.faults {
            check_range("faults.at_ms", fault.at_ms, 0, MAX_DURATION_MS)?;
            fault.change.check().map_err(|problem| LoadError::InvalidValue {
                key: "faults.change",
                problem,
                remedy: "use a value within the range",
            })?;
        }
        let Some(local) = &self.local else {
            return Ok(());
        };
        check_range("local.entries", u64::from(local.entries), 1, 16)?;
        let count: u64 = local.targets.iter().map(|group| u64::from(group.count)).sum();
        check_range("local.targets", count, 1, 200)
    }
}

fn check_range(key: &'static str, value: u64, lower: u64, upper: u64) -> Result<(), LoadError> {
    if (lower..=upper).contains(&value) {
        return Ok(());
    }
    Err(LoadError::InvalidValue {
        key,
        problem: format!("{value} is outside {lower} to {upper}"),
        remedy: "choose a value within the range",
    })
}

fn check_share(key: &'static str, value: f64) -> Result<(), LoadError> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(LoadError::InvalidValue {
        key,
        problem: format!("{value} is outside 0 to 1"),
        remedy: "choose a value from 0 to 1",
    })
}

fn check_positive(key: &'static str, value: f64) -> Result<(), LoadError> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    Err(LoadError::InvalidValue {
        key,
        problem: format!("{value} is not a finite number above 0"),
        remedy: "choose a finite number above 0",
    })
}
