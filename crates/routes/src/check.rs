//! Invariants of a route table.

use std::collections::HashSet;

use chestnutfork_types::{RouteName, ServiceName};
use thiserror::Error;

use crate::table::RouteTable;

/// Violation that makes a route table unusable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// A route names a service that the table does not have.
    #[error("route `{route}` names the unknown service `{service}`; add the service or correct the route")]
    UnknownService {
        /// The route.
        route: RouteName,
        /// The service.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[error("route `{route}` repeats the host and prefix of another route; change one of them")]
    DuplicateRoute {
        /// The later route.
        route: RouteName,
    },
    /// A route has no time for its requests.
    #[error("route `{route}` has a timeout of zero; set at least 1 ms")]
    ZeroTimeout {
        /// The route.
        route: RouteName,
    },
}

impl RouteTable {
    /// Checks the invariants of the table.
    ///
    /// # Errors
    ///
    /// Returns the first violation in the order of the routes.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_routes::RouteTable;
    ///
    /// assert!(RouteTable::default().check().is_ok());
    /// ```
    pub fn check(&self) -> Result<(), TableError> {
        let mut places = HashSet::new();
        for route in &self.routes {
            let name = || route.name.clone();
            if !self.services.contains_key(&route.service) {
                let service = route.service.clone();
                return Err(TableError::UnknownService {
                    route: name(),
                    service,
                });
            }
            if !places.insert((route.host.to_ascii_lowercase(), route.prefix.as_str())) {
                return Err(TableError::DuplicateRoute { route: name() });
            }
            if route.timeout.is_zero() {
                return Err(TableError::ZeroTimeout { route: name() });
            }
        }
        Ok(())
    }
}
