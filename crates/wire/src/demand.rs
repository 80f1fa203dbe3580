//! Wire types for the demand of a service by priority.

use std::time::Duration;

use chestnutfork_types::{Demand, DemandBand, DemandSum};
use serde::{Deserialize, Serialize};

use crate::raft::micros;

/// Wire form of [`Demand`]: priority, jobs and work of each band.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandWire(Vec<(u32, u32, u64)>);

/// Wire form of [`DemandSum`]: the sum and its age in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandSumWire(DemandWire, u64);

impl From<&Demand> for DemandWire {
    fn from(demand: &Demand) -> Self {
        let bands = demand.bands().iter();
        Self(bands.map(|band| (band.priority, band.jobs, band.work)).collect())
    }
}

impl From<DemandWire> for Demand {
    fn from(wire: DemandWire) -> Self {
        let mut demand = Self::default();
        for (priority, jobs, work) in wire.0 {
            demand.add(DemandBand { priority, jobs, work });
        }
        demand
    }
}

impl From<&DemandSum> for DemandSumWire {
    fn from(sum: &DemandSum) -> Self {
        Self((&sum.demand).into(), micros(sum.age))
    }
}

impl From<DemandSumWire> for DemandSum {
    fn from(DemandSumWire(demand, age_us): DemandSumWire) -> Self {
        Self {
            demand: demand.into(),
            age: Duration::from_micros(age_us),
        }
    }
}
