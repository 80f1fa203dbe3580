//! Load shedding by priority of the services whose routes have different priorities.

use std::time::{Duration, Instant};

use chestnutfork_limits::{ServiceShedding, SheddingPlan};
use chestnutfork_routes::{Route, RouteTable};
use chestnutfork_types::{Demand, DemandBand, DemandSum, MAX_DEMAND_BANDS, RouteName, ServiceName};
use indexmap::IndexMap;

/// Service whose routes have different priorities.
#[derive(Debug, Default)]
struct Service {
    /// Priorities of its routes in ascending order.
    priorities: Vec<u32>,
    shedding: ServiceShedding,
}

/// Submission that is shed, and the inputs of the decision.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Shed {
    pub(crate) route: RouteName,
    /// Priority as which the submission counts.
    pub(crate) priority: u32,
    /// Fraction of the jobs of the priority that is admitted.
    pub(crate) fraction: f64,
    /// Demand at all entries, in thousandths of a core.
    pub(crate) demand: u64,
    /// Capacity of the usable workers, in thousandths of a core.
    pub(crate) capacity: f64,
    /// Age of the demand when the decision was made.
    pub(crate) age: Duration,
}

/// Load shedding of all services; without effect on a service whose routes have the same priority.
#[derive(Debug, Default)]
pub(crate) struct Shedding {
    services: IndexMap<ServiceName, Service>,
}

impl Shedding {
    /// Sets the priorities of each service. The demand at this entry is kept for services that still have different ones.
    pub(crate) fn set_routes(&mut self, table: &RouteTable) {
        let mut services: IndexMap<ServiceName, Service> = IndexMap::new();
        for route in &table.routes {
            let service = services.entry(route.service.clone()).or_default();
            if let Err(at) = service.priorities.binary_search(&route.priority) {
                service.priorities.insert(at, route.priority);
            }
        }
        services.retain(|_, service| service.priorities.len() > 1);
        for (name, service) in &mut services {
            if let Some(known) = self.services.swap_remove(name) {
                service.shedding = known.shedding;
            }
        }
        self.services = services;
    }

    /// Returns the demand for a service at this entry, if its routes have different priorities.
    pub(crate) fn demand(&mut self, now: Instant, service: &str) -> Option<Demand> {
        let service = self.services.get_mut(service)?;
        Some(service.shedding.demand(now))
    }

    /// Returns whether the plan of a service is to be computed again.
    pub(crate) fn is_due(&self, now: Instant, service: &str) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.shedding.is_due(now))
    }

    /// Computes the plan of a service from the sums of its agents and the capacity of its usable workers.
    pub(crate) fn update(&mut self, now: Instant, service: &str, sums: Vec<DemandSum>, capacity: f64) {
        if let Some(service) = self.services.get_mut(service) {
            service.shedding.update(now, sums, capacity);
        }
    }

    /// Records a submission that could be served, with its declared work in thousandths of a core-second.
    pub(crate) fn record(&mut self, now: Instant, route: &Route, work: f64) {
        if let Some(service) = self.services.get_mut(&route.service) {
            let submission = DemandBand {
                priority: service.priority(service.band(route.priority)),
                jobs: 1,
                work: as_u64(work),
            };
            service.shedding.record(now, &route.name, submission);
        }
    }

    /// Returns why a submission is shed, if so. `draw` is a random number from 0 to 1 (exclusive).
    pub(crate) fn check(&mut self, now: Instant, route: &Route, draw: f64) -> Option<Shed> {
        let service = self.services.get_mut(&route.service)?;
        let priority = service.priority(service.band(route.priority));
        if service.shedding.admit(now, &route.name, priority, draw) {
            return None;
        }
        let plan = service.shedding.plan(now)?;
        Some(Shed {
            route: route.name.clone(),
            priority,
            fraction: plan.fraction(priority),
            demand: plan.demand().work(),
            capacity: plan.capacity(),
            age: plan.age(),
        })
    }

    /// Returns the plan of a service while submissions are shed.
    pub(crate) fn plan(&self, now: Instant, service: &str) -> Option<&SheddingPlan> {
        self.services.get(service)?.shedding.plan(now)
    }

    /// Returns the part of the demand for a service that arrives at this entry, while submissions are shed.
    pub(crate) fn own_part(&self, now: Instant, service: &str) -> Option<f64> {
        self.services.get(service)?.shedding.own_part(now)
    }

    /// Returns the position of a route's priority among those of its service while submissions are shed, and zero otherwise.
    pub(crate) fn band_in_force(&self, now: Instant, route: &Route) -> u32 {
        let service = self.services.get(&route.service);
        let service = service.filter(|service| service.shedding.plan(now).is_some());
        service.map_or(0, |service| {
            u32::try_from(service.band(route.priority)).unwrap_or(u32::MAX)
        })
    }
}

impl Service {
    /// Returns the position of a priority; those beyond the last band count as the last one.
    fn band(&self, priority: u32) -> usize {
        let at = self.priorities.partition_point(|&other| other < priority);
        at.min(MAX_DEMAND_BANDS - 1)
    }

    fn priority(&self, band: usize) -> u32 {
        self.priorities.get(band).copied().unwrap_or(u32::MAX)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the work is positive, and a cast saturates"
)]
fn as_u64(work: f64) -> u64 {
    work.round() as u64
}
