//! Nodes that start with nothing and fetch a snapshot.

mod net;

use std::time::Duration;

use net::{Net, address, place, snapshot};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;
use sesamerock_exchange::message::{ContactStatus, Message};
use sesamerock_exchange::node::{Node, Settings};
use sesamerock_exchange::peer::{Peer, Place};
use sesamerock_exchange::transfer::{Chunk, Part};

const SECOND: Duration = Duration::from_secs(1);
const VERSION: u64 = 5_000;
const BYTES: usize = 240_000;

fn places(count: usize) -> Vec<Place> {
    (0..count).map(|index| place(0, index % 3)).collect()
}

/// A node with a snapshot, and what it answers to a peer without one.
fn serve(node: &mut Node, now: Moment, part: Option<Part>, urgent: bool) -> Option<Chunk> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let peer = Peer::new(address(2), place(0, 0));
    let mut request = Message::new(peer, Version(0), ContactStatus::default());
    request.wants = true;
    request.urgent = urgent;
    request.part = part;
    node.receive_request(now, &request, &mut rng).chunk
}

/// Guards against a node that hands out several snapshots at its own expense
/// (it took 6.5 KB/s of 6 over a day's rate), and against one that leaves a
/// transfer incomplete or declines a peer that has nobody else.
#[test]
fn a_node_spaces_the_snapshots_it_hands_out() {
    let now = Moment::from_millis(5_000);
    let me = Peer::new(address(1), place(0, 0));
    let mut node = Node::new(now, me, Settings::default(), []);
    assert!(serve(&mut node, now, None, false).is_none(), "it has none");
    node.restore(now, snapshot(VERSION, BYTES));
    let first = serve(&mut node, now, None, false).expect("the first is served");
    let next = Part {
        version: first.version,
        offset: first.bytes.len() as u32,
    };
    let later = now + 10 * SECOND;
    assert!(
        serve(&mut node, later, None, false).is_none(),
        "a second one"
    );
    assert!(
        serve(&mut node, later, Some(next), false).is_some(),
        "the rest"
    );
    assert!(serve(&mut node, later, None, true).is_some(), "urgent");
    let much_later = now + Settings::default().snapshot_spacing;
    assert!(serve(&mut node, much_later, None, false).is_some());
}

/// Guards against a node that hands out a snapshot right after it fetched one:
/// the busiest node of a day did both, with 6.7 KB/s of 6.
#[test]
fn a_node_that_just_joined_leaves_serving_to_others() {
    let mut net = Net::new(1, &places(3), &Settings::default());
    let now = net.now;
    net.node(0).restore(now, snapshot(VERSION, BYTES));
    net.flush(0);
    net.run(3 * SECOND);
    let now = net.now;
    for joined in 1..3 {
        assert_eq!(net.applied[joined], Version(VERSION));
        let node = net.node(joined);
        assert!(serve(node, now, None, false).is_none(), "node {joined}");
        assert!(serve(node, now, None, true).is_some(), "node {joined}");
    }
    net.run(Settings::default().snapshot_spacing);
    let now = net.now;
    assert!(serve(net.node(1), now, None, false).is_some(), "later");
}

/// Guards against parts that arrive more than once since several peers are
/// asked at the start: it was a quarter of the bytes of a joining node.
#[test]
fn a_starting_node_fetches_each_part_once() {
    for seed in 0..10 {
        let mut net = Net::new(seed, &places(12), &Settings::default());
        let now = net.now;
        for index in 0..11 {
            net.node(index).restore(now, snapshot(VERSION, BYTES));
            net.flush(index);
        }
        net.stop(11);
        net.run(10 * SECOND);
        net.fetched = 0;
        net.start(11);
        net.run(3 * SECOND);
        assert_eq!(net.applied[11], Version(VERSION), "seed {seed}");
        assert_eq!(net.fetched, BYTES, "bytes of parts with seed {seed}");
    }
}

/// Guards against a start that waits because the few peers there are have
/// handed out a snapshot lately: many starts one after another at one peer.
#[test]
fn starts_in_a_row_do_not_wait() {
    let mut net = Net::new(3, &places(2), &Settings::default());
    let now = net.now;
    net.node(0).restore(now, snapshot(VERSION, BYTES));
    net.flush(0);
    for start in 0..5 {
        net.start(1);
        net.run(SECOND / 2);
        assert_eq!(net.applied[1], Version(VERSION), "start {start}");
    }
}

/// Twelve nodes of which the last one has stopped and the others hold a
/// snapshot.
fn eleven(seed: u64) -> Net {
    let mut net = Net::new(seed, &places(12), &Settings::default());
    let now = net.now;
    for index in 0..11 {
        net.node(index).restore(now, snapshot(VERSION, BYTES));
        net.flush(index);
    }
    net.stop(11);
    net.run(10 * SECOND);
    net.fetched = 0;
    net
}

/// Guards against a start that hangs because the peer that hands out the
/// snapshot dies between two parts.
#[test]
fn a_peer_that_dies_while_it_hands_out_is_replaced() {
    for seed in 0..10 {
        let mut net = eleven(seed);
        net.start(11);
        while net.fetched == 0 {
            net.run(SECOND / 1_000);
        }
        let source = net.source.expect("a node sent the part");
        net.stop(source);
        assert_eq!(net.applied[11], Version(0), "seed {seed}");
        net.run(8 * SECOND);
        assert_eq!(net.applied[11], Version(VERSION), "seed {seed}");
        assert_ne!(net.source, Some(source), "seed {seed}");
    }
}

/// Guards against a node that claims the version of a snapshot it could not
/// restore: it never fetched a sound one and handed the damaged bytes on.
#[test]
fn a_refused_snapshot_is_fetched_from_another_peer() {
    let mut refused = 0;
    for seed in 0..10 {
        let mut net = eleven(seed);
        net.damaging = vec![0, 1, 2, 3, 4];
        net.start(11);
        net.run(30 * SECOND);
        assert_eq!(net.applied[11], Version(VERSION), "seed {seed}");
        let now = net.now;
        let chunk = serve(net.node(11), now, None, true).expect("it hands out");
        assert_eq!(chunk.bytes[..8], VERSION.to_le_bytes(), "seed {seed}");
        refused += net.refused;
    }
    assert!(refused > 0, "no start met a damaged snapshot");
}

/// Guards against a node that fetches unreadable snapshots again and again, as
/// one of an old build among new ones would.
#[test]
fn refused_snapshots_are_fetched_ever_less_often() {
    let mut net = eleven(1);
    net.damaging = (0..11).collect();
    net.start(11);
    net.run(60 * SECOND);
    assert_eq!(net.applied[11], Version(0));
    assert_eq!(net.node(11).version(), Version(0));
    // At once, then 4, 8, 16 and 32 s after the former one.
    assert!((2..=6).contains(&net.refused), "{}", net.refused);
}
