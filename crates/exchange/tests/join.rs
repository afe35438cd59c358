//! Tests of nodes that start without state and fetch a snapshot.

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
const SNAPSHOT_VERSION: u64 = 5_000;
const SNAPSHOT_BYTES: usize = 240_000;

fn places(count: usize) -> Vec<Place> {
    (0..count).map(|index| place(0, index % 3)).collect()
}

/// Requests a snapshot from a node as a peer without state would, and returns the
/// chunk of the reply, if any.
fn request_chunk(node: &mut Node, now: Moment, part: Option<Part>, urgent: bool) -> Option<Chunk> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let peer = Peer::new(address(2), place(0, 0));
    let mut request = Message::new(peer, Version(0), ContactStatus::default());
    request.wants = true;
    request.urgent = urgent;
    request.part = part;
    node.receive_request(now, &request, &mut rng).chunk
}

/// Guards against a node that sends several snapshots within a short time (at the
/// rate of changes of a day, it exceeded its budget of 6 KB/s with 6.5 KB/s), and
/// against one that breaks off a transfer or declines an urgent request.
#[test]
fn a_node_spaces_the_snapshots_it_sends() {
    let now = Moment::from_millis(5_000);
    let me = Peer::new(address(1), place(0, 0));
    let mut node = Node::new(now, me, Settings::default(), []);
    assert!(
        request_chunk(&mut node, now, None, false).is_none(),
        "a chunk came from a node without a snapshot"
    );
    node.restore(now, snapshot(SNAPSHOT_VERSION, SNAPSHOT_BYTES));
    let first = request_chunk(&mut node, now, None, false).expect("the first request is served");
    let next = Part {
        version: first.version,
        offset: first.bytes.len() as u32,
    };
    let later = now + 10 * SECOND;
    assert!(
        request_chunk(&mut node, later, None, false).is_none(),
        "a second transfer began too early"
    );
    assert!(
        request_chunk(&mut node, later, Some(next), false).is_some(),
        "the rest of the first transfer was declined"
    );
    assert!(
        request_chunk(&mut node, later, None, true).is_some(),
        "an urgent request was declined"
    );
    let much_later = now + Settings::default().snapshot_spacing;
    assert!(request_chunk(&mut node, much_later, None, false).is_some());
}

/// Guards against a node that sends a snapshot right after it fetched one: the
/// busiest node of a day did both, at 6.7 KB/s with a budget of 6 KB/s.
#[test]
fn a_node_that_just_joined_sends_only_urgent_snapshots() {
    let mut net = Net::new(1, &places(3), &Settings::default());
    let now = net.now;
    net.node(0)
        .restore(now, snapshot(SNAPSHOT_VERSION, SNAPSHOT_BYTES));
    net.process_outputs(0);
    net.run(3 * SECOND);
    let now = net.now;
    for joined in 1..3 {
        assert_eq!(net.applied[joined], Version(SNAPSHOT_VERSION));
        let node = net.node(joined);
        assert!(
            request_chunk(node, now, None, false).is_none(),
            "node {joined}"
        );
        assert!(
            request_chunk(node, now, None, true).is_some(),
            "node {joined}"
        );
    }
    net.run(Settings::default().snapshot_spacing);
    let now = net.now;
    assert!(
        request_chunk(net.node(1), now, None, false).is_some(),
        "a request after the spacing was declined"
    );
}

/// Guards against snapshot parts that arrive more than once because a starting node
/// sends requests to several peers. They were a quarter of the bytes that a
/// joining node received.
#[test]
fn a_starting_node_fetches_each_part_once() {
    for seed in 0..10 {
        let mut net = Net::new(seed, &places(12), &Settings::default());
        let now = net.now;
        for index in 0..11 {
            net.node(index)
                .restore(now, snapshot(SNAPSHOT_VERSION, SNAPSHOT_BYTES));
            net.process_outputs(index);
        }
        net.stop(11);
        net.run(10 * SECOND);
        net.fetched_bytes = 0;
        net.start(11);
        net.run(3 * SECOND);
        assert_eq!(net.applied[11], Version(SNAPSHOT_VERSION), "seed {seed}");
        assert_eq!(
            net.fetched_bytes, SNAPSHOT_BYTES,
            "bytes of snapshot parts, seed {seed}"
        );
    }
}

/// Guards against a start that is delayed because the only peer has just sent a
/// snapshot, as when nodes start one after another.
#[test]
fn consecutive_starts_are_not_delayed() {
    let mut net = Net::new(3, &places(2), &Settings::default());
    let now = net.now;
    net.node(0)
        .restore(now, snapshot(SNAPSHOT_VERSION, SNAPSHOT_BYTES));
    net.process_outputs(0);
    for start in 0..5 {
        net.start(1);
        net.run(SECOND / 2);
        assert_eq!(net.applied[1], Version(SNAPSHOT_VERSION), "start {start}");
    }
}

/// Creates twelve nodes, of which the last one has stopped and the others hold a
/// snapshot.
fn eleven_nodes_with_a_snapshot(seed: u64) -> Net {
    let mut net = Net::new(seed, &places(12), &Settings::default());
    let now = net.now;
    for index in 0..11 {
        net.node(index)
            .restore(now, snapshot(SNAPSHOT_VERSION, SNAPSHOT_BYTES));
        net.process_outputs(index);
    }
    net.stop(11);
    net.run(10 * SECOND);
    net.fetched_bytes = 0;
    net
}

/// Guards against a start that hangs because the peer that sends the snapshot stops
/// between two parts.
#[test]
fn a_source_that_stops_during_a_transfer_is_replaced() {
    for seed in 0..10 {
        let mut net = eleven_nodes_with_a_snapshot(seed);
        net.start(11);
        while net.fetched_bytes == 0 {
            net.run(SECOND / 1_000);
        }
        let source = net.last_source.expect("a node sent a part");
        net.stop(source);
        assert_eq!(net.applied[11], Version(0), "seed {seed}");
        net.run(8 * SECOND);
        assert_eq!(net.applied[11], Version(SNAPSHOT_VERSION), "seed {seed}");
        assert_ne!(net.last_source, Some(source), "seed {seed}");
    }
}

/// Guards against a node that states the version of a snapshot it could not
/// restore: such a node never fetched a valid one and sent the damaged bytes to
/// others.
#[test]
fn a_rejected_snapshot_is_fetched_from_another_peer() {
    let mut rejected = 0;
    for seed in 0..10 {
        let mut net = eleven_nodes_with_a_snapshot(seed);
        net.damaging_nodes = vec![0, 1, 2, 3, 4];
        net.start(11);
        net.run(30 * SECOND);
        assert_eq!(net.applied[11], Version(SNAPSHOT_VERSION), "seed {seed}");
        let now = net.now;
        let chunk =
            request_chunk(net.node(11), now, None, true).expect("the node sends a snapshot");
        assert_eq!(
            chunk.bytes[..8],
            SNAPSHOT_VERSION.to_le_bytes(),
            "seed {seed}"
        );
        rejected += net.rejected_snapshots;
    }
    assert!(rejected > 0, "no node received a damaged snapshot");
}

/// Guards against a node that keeps fetching snapshots it can't read at a high rate,
/// as a node of an old build among new ones would.
#[test]
fn pauses_between_rejected_snapshots_grow() {
    let mut net = eleven_nodes_with_a_snapshot(1);
    net.damaging_nodes = (0..11).collect();
    net.start(11);
    net.run(60 * SECOND);
    assert_eq!(net.applied[11], Version(0));
    assert_eq!(net.node(11).version(), Version(0));
    // The first retry is immediate; the next ones follow the previous rejection by 4,
    // 8, 16 and 32 s.
    assert!(
        (2..=6).contains(&net.rejected_snapshots),
        "{}",
        net.rejected_snapshots
    );
}
