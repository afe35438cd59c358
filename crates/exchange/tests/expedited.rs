//! Orders, which are announced ahead of the turn of their records.

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

/// A message of a peer of the same zone that states an order.
fn ordering(version: u64, own: u64) -> Message {
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

fn orders(node: &mut Node) -> Vec<u64> {
    let deliveries = node.take_deliveries().into_iter();
    let orders = deliveries.filter_map(|delivery| match delivery {
        Delivery::Expedited(order) => Some(order.version.0),
        Delivery::Record(_) | Delivery::Snapshot(_) => None,
    });
    orders.collect()
}

/// Guards against an order that waits for the records before it or for the
/// allowance of pushes: in a burst, it took as long as its record.
#[test]
fn an_order_overtakes_a_burst_of_records() {
    let mut net = Net::new(4, &places(), &Settings::default());
    net.loss = 0.01;
    net.run(10 * SECOND);
    let order = 100;
    for version in 1..=200 {
        net.add_record(0, record(version, 300));
        if version == order {
            net.expedite(0, record(order, 100));
        }
        if version == order + 30 {
            let known = |index: &usize| {
                net.applied[*index] >= Version(order)
                    || net.expedited[*index].contains(&Version(order))
            };
            let reached = (0..net.peers.len()).filter(known).count();
            assert_eq!(reached, net.peers.len(), "nodes reached within 1.5 s");
            let ahead = net.expedited.iter().filter(|orders| !orders.is_empty());
            assert!(
                ahead.count() > net.peers.len() / 2,
                "orders ahead of records"
            );
        }
        net.run(Duration::from_millis(50));
    }
    net.run(15 * SECOND);
    assert!(net.applied.iter().all(|version| *version == Version(200)));
}

/// Guards against an order that is passed on only after a pause, is delivered
/// twice, moves the node's version, or is delivered after its record.
#[test]
fn an_order_is_delivered_once_and_passed_on_at_once() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut now = Moment::from_millis(5_000);
    let mut node = node(now);
    node.receive_request(now, &ordering(1, 0), &mut rng);
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
        "the allowance of pushes is spent"
    );
    node.receive_request(now, &ordering(9, 7), &mut rng);
    assert_eq!(orders(&mut node), [9]);
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
    assert!(pushed >= 2, "{pushed} pushes carry the order");
    node.receive_request(now, &ordering(9, 7), &mut rng);
    assert_eq!(orders(&mut node), [] as [u64; 0], "a repeated order");
    node.add_record(now, record(8, 8));
    node.add_record(now, record(9, 8));
    node.receive_request(now, &ordering(8, 7), &mut rng);
    assert_eq!(orders(&mut node), [] as [u64; 0], "an order already folded");
}

/// Guards against a node behind that pulls records, but does not learn of an
/// order that its peer no longer sends to everyone.
#[test]
fn a_peer_that_lacks_records_gets_orders_with_any_reply() {
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
    assert_eq!(reply(9), 0, "a peer that has the record");
    assert_eq!(reply(8), 1, "a peer that lacks it");
}

/// Guards against orders that fill the memory, and against other facts that
/// displace orders.
#[test]
fn orders_are_bounded_and_outlast_other_facts() {
    let limits = fact::Limits {
        max_facts: 80,
        max_expedited: 64,
        ..fact::Limits::default()
    };
    let now = Moment::from_millis(5_000);
    let mut store = FactStore::new(limits, 0);
    for version in 1..=100 {
        let taken = store.expedite(now, Version(version), Blob::default(), SECOND);
        assert_eq!(taken, version <= 64, "order {version}");
    }
    for key in 0..200 {
        let origin = address(1);
        store.publish(now, Name { origin, key }, Blob::default(), 60 * SECOND);
    }
    assert_eq!(store.len(), 80);
    assert_eq!(store.expedited_after(Version(0)).count(), 64);
    assert!(!store.expedite(now, Version(1), Blob::from(vec![0; 300]), SECOND));
}
