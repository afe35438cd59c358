//! The view, the choice of readers and ephemeral facts.

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

/// Guards against views that grow with the number of nodes.
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

/// Guards against a dead peer coming back through entries that others still
/// pass on, and against one that lives being shut out.
#[test]
fn a_failed_peer_returns_only_with_newer_news() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut view = view(&mut rng);
    let dead = view.iter(Distance::Zone).next().expect("the zone is known");
    let holds = |view: &View| view.distance_to(dead.address).is_some();
    let now = Moment::from_millis(20_000);
    view.record_failure(now, dead.address);
    assert!(!holds(&view));
    let later = now + 10 * SECOND;
    view.merge(later, &[Peer { age: 150, ..dead }], &mut rng);
    assert!(!holds(&view), "an entry older than the failure");
    view.merge(later, &[Peer { age: 50, ..dead }], &mut rng);
    assert!(holds(&view), "an entry newer than the failure");
}

/// Guards against a node that forgets all far peers during a long cut.
#[test]
fn the_last_entries_of_a_distance_stay() {
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

/// Guards against work for peers that are about to stop.
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

/// Guards against a sample graph that falls apart: nodes that know only each
/// other find the rest through a VM list of a few entries.
#[test]
fn two_islands_join_through_the_vm_list() {
    let mut net = Net::new(5, &zones(2, 10), &Settings::default());
    net.run(5 * SECOND);
    for index in 0..20 {
        net.side[index] = u8::from(index >= 10);
    }
    net.run(Duration::from_mins(10));
    net.side.fill(0);
    net.add_record(0, net::record(1, 300));
    net.run(15 * SECOND);
    assert!(net.converged());
}

fn readers(net: &Net, zone: usize, zones: usize) -> Vec<usize> {
    let reads = |i: &usize| net.nodes[*i].as_ref().is_some_and(Node::reads_log);
    let nodes = 0..net.nodes.len();
    nodes.filter(|i| i % zones == zone).filter(reads).collect()
}

/// Guards against reading that scales with nodes, against a zone without a
/// reader, and against readers that are not replaced when they die.
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

/// Guards against facts that reach only some nodes, that are lost to an older
/// value, or that outlive their expiry.
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
            net.flush(index);
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

/// Guards against a crash suspect that waits for a periodic exchange: the
/// next request must not meet the same upstream's successor.
#[test]
fn a_fact_spreads_at_once() {
    let mut net = Net::new(8, &zones(3, 6), &Settings::default());
    net.run(10 * SECOND);
    let now = net.now;
    net.node(0)
        .publish_fact(now, 1, Blob::from(vec![1]), 60 * SECOND);
    net.flush(0);
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

/// Guards against unbounded memory, and against boards that differ for ever
/// since each drops other facts.
#[test]
fn boards_above_their_bound_agree() {
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
    assert!(!one.merge(now, address(999), &facts), "nothing is new");
}

/// Guards against a fact that two nodes hand to each other for ever, since its
/// time in transit does not count against its expiry.
#[test]
fn an_expiring_fact_is_not_kept_alive() {
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

/// Guards against a restarted node whose facts lose to its own old ones.
#[test]
fn a_restarted_origin_wins_over_its_past() {
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
        "a value too large"
    );
}

/// Guards against a change that waits for a window after a quiet time, and
/// against a burst that is pushed once per change.
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
    assert_eq!(pacer.take(end), Some(Push::Update), "idle again");
    assert_eq!(pacer.take(end + SECOND), Some(Push::Repeat));
    assert_eq!(pacer.due(), None);
}
