//! Validation of route tables.

use std::collections::HashSet;

use chestnutfork_types::{RouteName, ServiceName};
use thiserror::Error;

use crate::table::RouteTable;

/// Violation that makes a route table unusable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// A route refers to a service that is not in the table.
    #[error(
        "route `{route}` refers to the unknown service `{service}`; add the service or correct the route"
    )]
    UnknownService {
        /// Name of the route.
        route: RouteName,
        /// Service that is missing.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[error("route `{route}` has the same host and prefix as an earlier route; change one of them")]
    DuplicateRoute {
        /// Name of the later of the two routes.
        route: RouteName,
    },
    /// A route's timeout is zero, so that every request would time out immediately.
    #[error("route `{route}` has a timeout of zero; set at least 1 ms")]
    ZeroTimeout {
        /// Name of the route.
        route: RouteName,
    },
}

impl RouteTable {
    /// Validates the table.
    ///
    /// # Errors
    ///
    /// Returns the first violation, in the order of the routes.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_routes::RouteTable;
    ///
    /// assert!(RouteTable::default().check().is_ok());
    /// ```
    pub fn check(&self) -> Result<(), TableError> {
        let mut keys = HashSet::new();
        for route in &self.routes {
            let name = || route.name.clone();
            if !self.services.contains_key(&route.service) {
                let service = route.service.clone();
                return Err(TableError::UnknownService {
                    route: name(),
                    service,
                });
            }
            if !keys.insert((route.host.to_ascii_lowercase(), route.prefix.as_str())) {
                return Err(TableError::DuplicateRoute { route: name() });
            }
            if route.timeout.is_zero() {
                return Err(TableError::ZeroTimeout { route: name() });
            }
        }
        Ok(())
    }
}
