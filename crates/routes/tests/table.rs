//! Tests of the route table.

use std::collections::BTreeSet;
use std::time::Duration;

use chestnutfork_routes::{Route, RouteIndex, RouteTable, ServiceRule, TableError};
use quickcheck::QuickCheck;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        service: "desk".to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch_factor: 1.6,
        overhead: Duration::from_millis(60),
        timeout: Duration::from_millis(1_500),
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable {
        version: 1,
        routes,
        services: [("desk".to_owned(), ServiceRule::default())].into(),
    }
}

/// Guards against a short prefix taking precedence over a longer one.
#[test]
fn find_prefers_longest_prefix() {
    let index = RouteIndex::from(table(vec![route("short", "/q/"), route("long", "/q/urgent/")]));
    let found = |path| index.find("A.example", path).map(|route| route.name.as_str());
    assert_eq!(found("/q/urgent/1"), Some("long"));
    assert_eq!(found("/q/1"), Some("short"));
    assert_eq!(found("/other/1"), None);
    assert_eq!(index.find("b.example", "/q/1"), None);
}

/// Guards against an index that finds another route than a comparison with every prefix, where prefixes are nested or share
/// a beginning.
#[test]
fn find_agrees_with_linear_search() {
    fn property(prefixes: Vec<Vec<bool>>, path: Vec<bool>) -> bool {
        let text = |bits: Vec<bool>| bits.into_iter().map(|bit| if bit { 'a' } else { 'é' }).collect();
        let prefixes: BTreeSet<String> = prefixes.into_iter().map(text).collect();
        let path: String = text(path);
        let matching = prefixes.iter().filter(|prefix| path.starts_with(*prefix));
        let longest = matching.max_by_key(|prefix| prefix.len());
        let routes = prefixes.iter().map(|prefix| route(prefix, prefix)).collect();
        let index = RouteIndex::from(table(routes));
        index.find("a.example", &path).map(|route| &route.prefix) == longest
    }
    QuickCheck::new().quickcheck(property as fn(Vec<Vec<bool>>, Vec<bool>) -> bool);
}

/// Guards against accepting a table with unroutable or ambiguous requests, or with requests that time out immediately.
#[test]
fn check_reports_each_violation() {
    let mut unknown = route("a", "/q/");
    unknown.service = "missing".to_owned();
    let mut zero_timeout = route("a", "/q/");
    zero_timeout.timeout = Duration::ZERO;
    assert!(matches!(
        table(vec![unknown]).check(),
        Err(TableError::UnknownService { .. })
    ));
    assert!(matches!(
        table(vec![zero_timeout]).check(),
        Err(TableError::ZeroTimeout { .. })
    ));
    let duplicate = table(vec![route("a", "/q/"), route("b", "/q/")]);
    assert_eq!(
        duplicate.check(),
        Err(TableError::DuplicateRoute {
            route: "b".to_owned()
        })
    );
    assert_eq!(table(vec![route("a", "/q/"), route("b", "/r/")]).check(), Ok(()));
}
