//! Tests of expedited facts, which announce a record before the records that precede
//! it have arrived.

mod net;

use std::time::Duration;

use net::{Net, address, place, record};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;
use sesamerock_exchange::blob::Blob;
use sesamerock_exchange::fact::{self, Fact, FactStore, Name};
use sesamerock_exchange::message::{ContactStatus, Message};
use sesamerock_exchange::node::{Delivery, Node, Settings};
use sesamerock_exchange::peer::{Peer, Place};

const SECOND: Duration = Duration::from_secs(1);

fn places() -> Vec<Place> {
    let zones = [(0, 0), (0, 1), (0, 2), (1, 0), (1, 1)];
    let all = zones.iter().cycle().take(zones.len() * 20);
    all.map(|(region, zone)| place(*region, *zone)).collect()
}

/// Creates a message of a peer of the same zone, at version `own`, with an expedited
/// fact for the record of `version`.
fn message_with_expedited_fact(version: u64, own: u64) -> Message {
    let peer = Peer::new(address(2), place(0, 0));
    let mut message = Message::new(peer, Version(own), ContactStatus::default());
    let others = (3..8).map(|index| Peer::new(address(index), place(0, 0)));
    message.peers = others.collect();
    message.facts.push(Fact {
        name: Name::expedited(Version(version)),
        sequence: 1,
        expires_in: 30_000,
        value: Blob::from(vec![3; 100]),
    });
    message
}

fn node(now: Moment) -> Node {
    let peers = (2..6).map(|index| Peer::new(address(index), place(0, 0)));
    let me = Peer::new(address(1), place(0, 0));
    Node::new(now, me, Settings::default(), peers)
}

fn expedited_versions(node: &mut Node) -> Vec<u64> {
    let deliveries = node.take_deliveries().into_iter();
    let versions = deliveries.filter_map(|delivery| match delivery {
        Delivery::Expedited(record) => Some(record.version.0),
        Delivery::Record(_) | Delivery::Snapshot(_) => None,
    });
    versions.collect()
}

/// Guards against an expedited fact that waits for the records before it or for the
/// rate limit of pushes: in a burst, it then took as long as its record.
#[test]
fn an_expedited_fact_overtakes_a_burst_of_records() {
    let mut net = Net::new(4, &places(), &Settings::default());
    net.loss = 0.01;
    net.run(10 * SECOND);
    let expedited = 100;
    for version in 1..=200 {
        net.add_record(0, record(version, 300));
        if version == expedited {
            net.expedite(0, record(expedited, 100));
        }
        if version == expedited + 30 {
            let known = |index: &usize| {
                net.applied[*index] >= Version(expedited)
                    || net.expedited[*index].contains(&Version(expedited))
            };
            let reached = (0..net.peers.len()).filter(known).count();
            assert_eq!(reached, net.peers.len(), "nodes reached within 1.5 s");
            let ahead = net.expedited.iter().filter(|versions| !versions.is_empty());
            assert!(
                ahead.count() > net.peers.len() / 2,
                "most nodes get the fact before the record"
            );
        }
        net.run(Duration::from_millis(50));
    }
    net.run(15 * SECOND);
    assert!(net.applied.iter().all(|version| *version == Version(200)));
}

/// Guards against an expedited fact that is pushed only after a delay, is delivered
/// twice or after its record, or changes the node's version.
#[test]
fn an_expedited_fact_is_delivered_once_and_pushed_at_once() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut now = Moment::from_millis(5_000);
    let mut node = node(now);
    node.receive_request(now, &message_with_expedited_fact(1, 0), &mut rng);
    node.take_deliveries();
    for version in 1..=6 {
        now = now + Duration::from_millis(250);
        node.add_record(now, record(version, 8));
        node.tick(now, &mut rng);
        node.take_requests();
    }
    node.add_record(now, record(7, 8));
    node.take_deliveries();
    assert!(
        node.next_tick(now) > now,
        "the rate limit of pushes applies"
    );
    node.receive_request(now, &message_with_expedited_fact(9, 7), &mut rng);
    assert_eq!(expedited_versions(&mut node), [9]);
    assert_eq!(node.version(), Version(7));
    assert_eq!(node.next_tick(now), now, "the push is due");
    node.tick(now, &mut rng);
    let requests = node.take_requests();
    let carried = |message: &Message| {
        message
            .facts
            .iter()
            .any(|f| f.name.expedited_version().is_some())
    };
    let pushed = requests.iter().filter(|r| carried(&r.message)).count();
    assert!(pushed >= 2, "{pushed} pushes carry the expedited fact");
    node.receive_request(now, &message_with_expedited_fact(9, 7), &mut rng);
    assert_eq!(
        expedited_versions(&mut node),
        [] as [u64; 0],
        "a repeated fact was delivered"
    );
    node.add_record(now, record(8, 8));
    node.add_record(now, record(9, 8));
    node.receive_request(now, &message_with_expedited_fact(8, 7), &mut rng);
    assert_eq!(
        expedited_versions(&mut node),
        [] as [u64; 0],
        "a fact for an applied record was delivered"
    );
}

/// Guards against a node that is behind and gets records from a peer, but not an
/// expedited fact that the peer no longer includes in all its messages.
#[test]
fn a_peer_that_lacks_records_gets_expedited_facts_with_any_reply() {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let now = Moment::from_millis(5_000);
    let mut node = node(now);
    for version in 1..=9 {
        node.add_record(now, record(version, 300));
    }
    node.expedite(now, Version(9), Blob::from(vec![3; 100]));
    let copies = usize::from(fact::Limits::default().expedited_copies);
    let mut reply = |version: u64| {
        let peer = Peer::new(address(3), place(0, 0));
        let request = Message::new(peer, Version(version), ContactStatus::default());
        node.receive_request(now, &request, &mut rng).facts.len()
    };
    for _ in 0..copies {
        assert_eq!(reply(9), 1);
    }
    assert_eq!(reply(9), 0, "a peer that holds the record");
    assert_eq!(reply(8), 1, "a peer that lacks it");
}

/// Guards against expedited facts that fill the memory, and against other facts that
/// evict them.
#[test]
fn expedited_facts_are_bounded_and_evicted_last() {
    let limits = fact::Limits {
        max_facts: 80,
        max_expedited: 64,
        ..fact::Limits::default()
    };
    let now = Moment::from_millis(5_000);
    let mut store = FactStore::new(limits, 0);
    for version in 1..=100 {
        let taken = store.expedite(now, Version(version), Blob::default(), SECOND);
        assert_eq!(taken, version <= 64, "expedited fact {version}");
    }
    for key in 0..200 {
        let origin = address(1);
        store.publish(now, Name { origin, key }, Blob::default(), 60 * SECOND);
    }
    assert_eq!(store.len(), 80);
    assert_eq!(store.expedited_after(Version(0)).count(), 64);
    assert!(!store.expedite(now, Version(1), Blob::from(vec![0; 300]), SECOND));
}
