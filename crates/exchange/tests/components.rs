//! Tests of the partial view, the selection of readers, facts and the pacer.

mod net;

use std::time::Duration;

use net::{Net, address, place};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamerock_base::time::Moment;
use sesamerock_exchange::blob::Blob;
use sesamerock_exchange::fact::{self, Fact, FactStore, Name};
use sesamerock_exchange::node::{Node, Settings};
use sesamerock_exchange::pace::{Pacer, Push, Windows};
use sesamerock_exchange::peer::{Distance, Limits, Peer, Place, View};

const SECOND: Duration = Duration::from_secs(1);

fn zones(count: usize, per_zone: usize) -> Vec<Place> {
    (0..count * per_zone)
        .map(|i| place(i % count / 3, i % count))
        .collect()
}

fn peer(index: usize, zone: usize) -> Peer {
    Peer::new(address(index), place(zone / 3, zone))
}

fn view(rng: &mut ChaCha8Rng) -> View {
    let mut view = View::new(peer(0, 0), Limits::default(), []);
    for index in 1..200 {
        view.record_message(Moment::from_millis(1_000), peer(index, index % 9), rng);
    }
    view
}

/// Guards against a view that grows with the number of nodes, or that files a peer
/// under the wrong distance.
#[test]
fn a_view_is_bounded_and_sorted_by_distance() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let view = view(&mut rng);
    let limits = Limits::default();
    assert_eq!(view.len(Distance::Zone), limits.zone);
    assert_eq!(view.len(Distance::Region), limits.region);
    assert_eq!(view.len(Distance::World), limits.world);
    for distance in Distance::ALL {
        assert!(
            view.iter(distance)
                .all(|p| view.distance(p.place) == distance)
        );
    }
}

/// Guards against a failed peer that returns through old entries which other peers
/// still send, and against a recovered peer that is never accepted again.
#[test]
fn a_failed_peer_is_accepted_again_only_with_a_newer_entry() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut view = view(&mut rng);
    let failed_peer = view.iter(Distance::Zone).next().expect("the zone is known");
    let holds = |view: &View| view.distance_to(failed_peer.address).is_some();
    let now = Moment::from_millis(20_000);
    view.record_failure(now, failed_peer.address);
    assert!(!holds(&view));
    let later = now + 10 * SECOND;
    view.merge(
        later,
        &[Peer {
            age: 150,
            ..failed_peer
        }],
        &mut rng,
    );
    assert!(
        !holds(&view),
        "an entry older than the failure was accepted"
    );
    view.merge(
        later,
        &[Peer {
            age: 50,
            ..failed_peer
        }],
        &mut rng,
    );
    assert!(holds(&view), "an entry newer than the failure was refused");
}

/// Guards against a node that removes all peers of other regions during a long
/// partition and can't reconnect.
#[test]
fn the_last_entries_of_a_distance_are_kept_after_failures() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut view = view(&mut rng);
    let far: Vec<_> = view.iter(Distance::World).collect();
    let now = Moment::from_millis(20_000);
    for peer in &far {
        view.record_failure(now, peer.address);
    }
    assert_eq!(view.len(Distance::World), 3);
    assert_eq!(view.pick(now, Distance::World, &[], &mut rng), None);
    let later = now + 5 * SECOND;
    assert!(view.pick(later, Distance::World, &[], &mut rng).is_some());
}

/// Guards against requests to peers that are about to stop.
#[test]
fn leaving_peers_are_not_chosen() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut view = view(&mut rng);
    let all: Vec<_> = view.iter(Distance::Zone).collect();
    let leaving = |peer: &Peer| Peer {
        leaving: true,
        ..*peer
    };
    view.set_vms(all.iter().skip(1).map(leaving), &mut rng);
    for _ in 0..50 {
        let chosen = view.pick(Moment::from_millis(2_000), Distance::Zone, &[], &mut rng);
        assert_eq!(chosen.map(|p| p.address), Some(all[0].address));
    }
}

/// Guards against groups of nodes that stay separate after a partition because
/// their views contain only each other: they reconnect through the VM list.
#[test]
fn separate_groups_reconnect_through_the_vm_list() {
    let mut net = Net::new(5, &zones(2, 10), &Settings::default());
    net.run(5 * SECOND);
    for index in 0..20 {
        net.partition[index] = u8::from(index >= 10);
    }
    net.run(Duration::from_mins(10));
    net.partition.fill(0);
    net.add_record(0, net::record(1, 300));
    net.run(15 * SECOND);
    assert!(net.converged());
}

fn readers(net: &Net, zone: usize, zones: usize) -> Vec<usize> {
    let reads = |i: &usize| net.nodes[*i].as_ref().is_some_and(Node::reads_log);
    let nodes = 0..net.nodes.len();
    nodes.filter(|i| i % zones == zone).filter(reads).collect()
}

/// Guards against reads of the log that grow with the number of nodes, against a
/// zone without a reader, and against readers that are not replaced when they stop
/// or leave.
#[test]
fn three_nodes_of_a_zone_read_and_are_replaced() {
    let mut net = Net::new(6, &zones(3, 40), &Settings::default());
    net.loss = 0.01;
    net.run(30 * SECOND);
    let first = readers(&net, 1, 3);
    assert_eq!(first.len(), 3);
    for index in &first {
        net.stop(*index);
    }
    net.run(40 * SECOND);
    let second = readers(&net, 1, 3);
    assert_eq!(second.len(), 3);
    assert!(second.iter().all(|index| !first.contains(index)));
    assert_eq!(readers(&net, 0, 3).len(), 3, "other zones are unaffected");
    net.node(second[0]).leave();
    net.run(30 * SECOND);
    assert!(!readers(&net, 1, 3).contains(&second[0]));
}

fn values(node: &Node) -> Vec<(Name, Vec<u8>)> {
    let facts = node.facts().iter();
    facts.map(|(name, value)| (name, value.to_vec())).collect()
}

/// Guards against facts that reach only some nodes, that are replaced by an older
/// value, or that are held past their expiry.
#[test]
fn facts_converge_and_expire() {
    let mut net = Net::new(7, &zones(6, 5), &Settings::default());
    net.loss = 0.1;
    net.duplication = 0.1;
    net.run(10 * SECOND);
    for round in 0..3_u8 {
        for index in 0..net.nodes.len() {
            let now = net.now;
            let value = Blob::from(vec![round; 40]);
            let ttl = Duration::from_mins(2);
            assert!(net.node(index).publish_fact(now, 5, value, ttl));
            net.process_outputs(index);
        }
        net.run(2 * SECOND);
    }
    net.run(20 * SECOND);
    let nodes: Vec<_> = net.nodes.iter().flatten().map(values).collect();
    assert_eq!(nodes[0].len(), 30);
    assert!(nodes[0].iter().all(|(_, value)| value == &vec![2; 40]));
    assert!(nodes.iter().all(|facts| *facts == nodes[0]));
    net.run(Duration::from_mins(2) + 10 * SECOND);
    assert!(net.nodes.iter().flatten().all(|n| n.facts().is_empty()));
}

/// Guards against a fact that waits for a periodic exchange: if it names a request
/// suspected of crashing an upstream, the repeated request could crash the next
/// upstream meanwhile.
#[test]
fn a_new_fact_is_pushed_at_once() {
    let mut net = Net::new(8, &zones(3, 6), &Settings::default());
    net.run(10 * SECOND);
    let now = net.now;
    net.node(0)
        .publish_fact(now, 1, Blob::from(vec![1]), 60 * SECOND);
    net.process_outputs(0);
    net.run(2 * SECOND);
    assert!(net.nodes.iter().flatten().all(|n| n.facts().len() == 1));
}

fn fact(origin: usize, key: u64, sequence: u64, expires_in: u32) -> Fact {
    let origin = address(origin);
    Fact {
        name: Name { origin, key },
        sequence,
        expires_in,
        value: Blob::from(vec![7; 16]),
    }
}

/// Guards against unbounded memory, and against full stores that never converge
/// because each evicts different facts.
#[test]
fn full_stores_hold_the_same_facts() {
    let now = Moment::from_millis(5_000);
    let facts: Vec<_> = (0..500)
        .map(|i| fact(i % 50, i as u64, 1, 10_000 + 100 * i as u32))
        .collect();
    let mut one = FactStore::new(fact::Limits::default(), 0);
    let mut two = one.clone();
    one.merge(now, address(999), &facts);
    let reversed: Vec<_> = facts.iter().rev().cloned().collect();
    two.merge(now, address(999), &reversed);
    assert_eq!(one.len(), fact::Limits::default().max_facts);
    assert_eq!(one.digest(), two.digest());
    assert!(
        !one.merge(now, address(999), &facts),
        "the same facts again change nothing"
    );
}

/// Guards against a fact that two nodes send each other for ever: its time in
/// transit is not subtracted from its lifetime.
#[test]
fn two_nodes_do_not_renew_an_expiring_fact() {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let transit = Duration::from_millis(80);
    let mut now = Moment::from_millis(5_000);
    let end = now + 7 * SECOND;
    let mut stores = [(); 2].map(|()| FactStore::new(fact::Limits::default(), 0));
    stores[0].merge(now, address(9), &[fact(1, 1, 1, 5_000)]);
    while now < end {
        for (from, to) in [(0, 1), (1, 0)] {
            for store in &mut stores {
                store.expire(now);
            }
            let theirs = stores[to].digest();
            let facts = stores[from].select(now, Some(&theirs), None, &mut rng);
            now = now + transit;
            stores[to].expire(now);
            stores[to].merge(now, address(9), &facts);
        }
    }
    assert!(stores.iter().all(FactStore::is_empty));
}

/// Guards against a restarted node whose new facts are ignored because those from
/// before the restart have higher sequence numbers.
#[test]
fn facts_of_a_restarted_origin_replace_its_old_ones() {
    let now = Moment::from_millis(5_000);
    let me = address(1);
    let name = Name { origin: me, key: 3 };
    let mut store = FactStore::new(fact::Limits::default(), 0);
    store.merge(now, me, &[fact(1, 3, 900, 60_000)]);
    assert!(store.publish(now, name, Blob::from(vec![9]), 60 * SECOND));
    let value = store.iter().next().map(|(_, value)| value.to_vec());
    assert_eq!(value, Some(vec![9]));
    let large = Blob::from(vec![0; 1_000]);
    assert!(
        !store.publish(now, name, large, SECOND),
        "the value is too large"
    );
}

/// Guards against an update that is delayed although the node was idle, and against
/// a burst in which every update is pushed.
#[test]
fn pushes_are_prompt_and_coalesced() {
    let mut pacer = Pacer::new(Windows::default());
    let start = Moment::from_millis(10_000);
    pacer.schedule_push(start);
    assert_eq!(pacer.take(start), Some(Push::Update));
    let mut pushes = 0;
    for step in 1..=1_000 {
        let now = start + Duration::from_millis(10 * step);
        pacer.schedule_push(now);
        pushes += usize::from(pacer.take(now) == Some(Push::Update));
    }
    assert!((10..=14).contains(&pushes), "{pushes} pushes in 10 s");
    let end = start + 20 * SECOND;
    pacer.schedule_push(end);
    assert_eq!(
        pacer.take(end),
        Some(Push::Update),
        "the pacer is idle again"
    );
    assert_eq!(pacer.take(end + SECOND), Some(Push::Repeat));
    assert_eq!(pacer.due(), None);
}
