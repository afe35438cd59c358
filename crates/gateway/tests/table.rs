//! Tests the look-up of routes, services and callers in the table.

use std::time::Duration;

use sesamerock_gateway::table::{Caller, Content, Kind, Route, Table, Workspace};

fn route(name: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    let split = split.iter();
    Route {
        name: name.to_owned(),
        host: "calls.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        pause: None,
        priority: 1,
        split: split
            .map(|(name, weight)| ((*name).to_owned(), *weight))
            .collect(),
        attempts: 2,
        public: name == "open",
    }
}

fn table() -> Table {
    Table::new(Content {
        version: 3,
        routes: vec![
            route("short", "/a/", &[("one", 1)]),
            route("long", "/a/b/", &[("one", 3), ("two", 1)]),
            route("open", "/open/", &[("one", 1)]),
        ],
        workspaces: Some(vec![Workspace {
            name: "school".to_owned(),
            keys: vec!["key-1".to_owned(), "key-2".to_owned()],
            priority: None,
        }]),
        ..Content::default()
    })
}

fn route_name<'a>(table: &'a Table, host: &str, path: &str) -> Option<&'a str> {
    table.route(host, path).map(|route| route.name.as_str())
}

/// A shorter prefix must not match in place of a longer one, and a prefix must match
/// whole path segments only.
#[test]
fn longest_prefix_matches() {
    let table = table();
    assert_eq!(route_name(&table, "calls.example", "/a/b/c"), Some("long"));
    assert_eq!(route_name(&table, "calls.example", "/a/bc"), Some("short"));
    assert_eq!(route_name(&table, "calls.example", "/ab"), None);
    assert_eq!(route_name(&table, "calls.example", ""), None);
}

/// The host may be sent in upper case and with a port.
#[test]
fn host_matches_without_case_and_port() {
    let table = table();
    assert_eq!(
        route_name(&table, "Calls.Example:8080", "/a/x"),
        Some("short")
    );
    assert_eq!(route_name(&table, "other.example", "/a/x"), None);
}

/// A caller without a known key must not be accepted on a route that needs one.
#[test]
fn keys_identify_workspaces() {
    let table = table();
    let content = table.content();
    let (protected, open) = (&content.routes[0], &content.routes[2]);
    assert_eq!(table.caller(protected, Some("key-2")), Caller::Workspace(0));
    assert_eq!(table.caller(protected, Some("key-3")), Caller::Unknown);
    assert_eq!(table.caller(protected, None), Caller::Unknown);
    assert_eq!(table.caller(open, None), Caller::Anonymous);
    assert_eq!(table.caller(open, Some("key-1")), Caller::Workspace(0));
}

/// Each service receives its share of the calls of a split.
#[test]
fn split_follows_the_weights() {
    let table = table();
    let route = &table.content().routes[1];
    let services = (0..400).map(|step| route.choose_service(f64::from(step) / 400.0));
    let two = services.filter(|service| *service == Some("two")).count();
    assert_eq!(two, 100);
}
