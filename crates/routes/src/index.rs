//! Lookup of the route of a request.

use std::collections::BTreeMap;
use std::ops::Bound;

use chestnutfork_types::ConfigVersion;
use indexmap::IndexMap;

use crate::table::{Route, RouteTable};

/// Route table with an index, so that the cost of a lookup hardly depends on the number of routes.
#[derive(Clone, Debug)]
pub struct RouteIndex {
    table: RouteTable,
    /// Positions of the routes by prefix, for each host in lower case.
    hosts: IndexMap<String, BTreeMap<String, usize>>,
}

impl From<RouteTable> for RouteIndex {
    fn from(table: RouteTable) -> Self {
        let mut hosts: IndexMap<String, BTreeMap<String, usize>> = IndexMap::new();
        for (position, route) in table.routes.iter().enumerate() {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.prefix.clone(), position);
        }
        Self { table, hosts }
    }
}

impl RouteIndex {
    /// Returns the version of the table.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.table.version
    }

    /// Returns the route that matches a host and path; the one with the longest prefix takes precedence.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_routes::{RouteIndex, RouteTable};
    ///
    /// let index = RouteIndex::from(RouteTable::default());
    /// assert!(index.find("example", "/queue/1").is_none());
    /// ```
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.hosts.get(&host.to_ascii_lowercase())?;
        let mut key = path;
        loop {
            let up_to_key = (Bound::Unbounded, Bound::Included(key));
            let (prefix, &position) = prefixes.range::<str, _>(up_to_key).next_back()?;
            if path.starts_with(prefix.as_str()) {
                return self.table.routes.get(position);
            }
            // Each remaining match sorts before this prefix, and so is a prefix of the beginning that it has in common
            // with the key.
            key = common_beginning(key, prefix);
        }
    }
}

fn common_beginning<'a>(key: &'a str, other: &str) -> &'a str {
    let same = key.chars().zip(other.chars()).take_while(|(a, b)| a == b);
    &key[..same.map(|(char, _)| char.len_utf8()).sum()]
}
