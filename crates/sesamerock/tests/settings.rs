//! Tests the tables of settings keys that the check and the reference page are made from.

use sesamerock::settings::check::{agent_faults, entry_faults, reference};
use sesamerock::settings::{Agent, Entry, Node, Upstream};
use std::net::SocketAddr;

const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

fn node() -> Node {
    Node {
        peer: ADDRESS,
        platform: ADDRESS,
        ..Node::default()
    }
}

/// Guards against a settings key that the program has and the check does not know, and against
/// a default that the check refuses. Either makes every process that is started with written-out
/// defaults exit at once; this has happened to the agents of all scenarios.
#[test]
fn the_tables_accept_the_defaults() {
    let entry = serde_yaml_ng::to_string(&Entry {
        node: node(),
        caller: ADDRESS,
        operator: ADDRESS,
        ..Entry::default()
    })
    .unwrap();
    assert_eq!(entry_faults(&entry), Vec::<String>::new());
    let agent = serde_yaml_ng::to_string(&Agent {
        node: node(),
        relay: ADDRESS,
        operator: ADDRESS,
        upstream: Upstream {
            address: ADDRESS,
            ..Upstream::default()
        },
        ..Agent::default()
    })
    .unwrap();
    assert_eq!(agent_faults(&agent), Vec::<String>::new());
}

/// Guards against a reference page that differs from the tables.
#[test]
fn the_reference_page_is_current() {
    let page = include_str!("../../../docs/settings.md");
    assert_eq!(
        page,
        reference(),
        "run sesamerock check --reference > docs/settings.md"
    );
}
