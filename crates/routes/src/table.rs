//! Route table and route lookup.

use std::time::Duration;

use chestnutfork_types::{ConfigVersion, RouteName, ServiceName};
use indexmap::IndexMap;

/// Maps requests with a host and a path prefix to a service, with the objectives and limits of their jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Identifies the route in logs.
    pub name: RouteName,
    /// Host of matching requests; case is ignored.
    pub host: String,
    /// Path prefix of matching requests.
    pub prefix: String,
    /// Service whose workers run the tasks; also the name of their pool.
    pub service: ServiceName,
    /// Priority of the jobs; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Factor on the declared run time of a job in its latency objective.
    pub stretch_factor: f64,
    /// Constant added to that product in the latency objective.
    pub overhead: Duration,
    /// Time limit of a request whose caller sets none.
    pub timeout: Duration,
}

/// Properties of a service that apply to all its workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceRule {
    /// Whether the workers themselves refuse tasks that exceed their capacity.
    pub enforces_capacity: bool,
}

/// Routes and services in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version of the table; a higher version replaces a lower one.
    pub version: ConfigVersion,
    /// Routes; their order has no effect on the lookup.
    pub routes: Vec<Route>,
    /// Services that routes may refer to.
    pub services: IndexMap<ServiceName, ServiceRule>,
}
