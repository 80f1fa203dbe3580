//! The table and the lookup of routes.

use std::time::Duration;

use chestnutfork_types::{ConfigVersion, RouteName, ServiceName};
use indexmap::IndexMap;

/// Queue of jobs under a host and a path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Host that requests name.
    pub host: String,
    /// Prefix that the path of requests begins with.
    pub prefix: String,
    /// Service whose workers run the tasks.
    pub service: ServiceName,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Factor on the run time in the latency objective.
    pub stretch_factor: f64,
    /// Constant part of the latency objective.
    pub overhead: Duration,
    /// Time after which a request is given up.
    pub timeout: Duration,
}

/// Rules of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceRule {
    /// Whether the workers refuse tasks that exceed their capacity.
    pub enforces_capacity: bool,
}

/// Routes and services in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version of the table.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: IndexMap<ServiceName, ServiceRule>,
}

impl RouteTable {
    /// Returns the route of a request: the one with the longest prefix under the request's host.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_routes::RouteTable;
    ///
    /// assert!(RouteTable::default().find("example", "/queue/1").is_none());
    /// ```
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let matching = self
            .routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix));
        matching.max_by_key(|route| route.prefix.len())
    }
}
