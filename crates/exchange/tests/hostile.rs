//! Arbitrary messages must not cause a panic, a lower version or unbounded state.

mod net;

use std::time::Duration;

use net::{address, place, record};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;
use sesamerock_exchange::blob::Blob;
use sesamerock_exchange::fact::{self, Fact, Name};
use sesamerock_exchange::message::{ContactStatus, Message, Ticket};
use sesamerock_exchange::node::{Delivery, Node, Settings};
use sesamerock_exchange::peer::{Distance, Limits, Peer};
use sesamerock_exchange::reader::Candidate;
use sesamerock_exchange::transfer::{Chunk, Part};

/// Message with mostly plausible and some extreme values.
#[derive(Clone, Debug)]
struct AnyMessage(Message);

fn any_u64(g: &mut Gen) -> u64 {
    let small: u8 = Arbitrary::arbitrary(g);
    *g.choose(&[u64::from(small) % 12, u64::MAX, u64::MAX - 1, 1 << 62, 0])
        .unwrap_or(&0)
}

fn any_u32(g: &mut Gen) -> u32 {
    let small: u8 = Arbitrary::arbitrary(g);
    *g.choose(&[u32::from(small), u32::MAX, 0]).unwrap_or(&0)
}

fn peer(g: &mut Gen) -> Peer {
    let index = usize::from(u8::arbitrary(g));
    Peer {
        address: address(index),
        place: place(index % 3, index % 7),
        age: any_u32(g),
        leaving: bool::arbitrary(g),
    }
}

fn short_list<T>(g: &mut Gen, make: impl Fn(&mut Gen) -> T) -> Vec<T> {
    (0..u8::arbitrary(g) % 8).map(|_| make(g)).collect()
}

fn chunk(g: &mut Gen) -> Chunk {
    let mut bytes: Vec<u8> = Arbitrary::arbitrary(g);
    bytes.truncate(16);
    Chunk {
        version: Version(any_u64(g)),
        total: any_u32(g),
        offset: any_u32(g),
        bytes: Blob::from(bytes),
    }
}

fn fact(g: &mut Gen) -> Fact {
    let origin = address(usize::from(u8::arbitrary(g)));
    let key = any_u64(g);
    let names = [Name { origin, key }, Name::expedited(Version(key))];
    Fact {
        name: names[usize::from(bool::arbitrary(g))],
        sequence: any_u64(g),
        expires_in: any_u32(g),
        value: Blob::from(vec![1; any_u32(g).min(400) as usize]),
    }
}

impl Arbitrary for AnyMessage {
    fn arbitrary(g: &mut Gen) -> Self {
        let standing = ContactStatus {
            age: Some(any_u32(g)),
            others: bool::arbitrary(g),
        };
        let mut message = Message::new(peer(g), Version(any_u64(g)), standing);
        message.sync = bool::arbitrary(g);
        message.wants = bool::arbitrary(g);
        message.urgent = bool::arbitrary(g);
        message.records = short_list(g, |g| record(any_u64(g), 8));
        message.peers = short_list(g, peer);
        message.readers = short_list(g, |g| Candidate {
            address: address(usize::from(u8::arbitrary(g))),
            age: any_u32(g),
        });
        message.digest = short_list(g, any_u32);
        message.facts = short_list(g, fact);
        message.chunk = bool::arbitrary(g).then(|| chunk(g));
        message.part = bool::arbitrary(g).then(|| Part {
            version: Version(any_u64(g)),
            offset: any_u32(g),
        });
        Self(message)
    }
}

/// Returns whether a node's state is within its bounds and its deliveries are in
/// order.
fn is_consistent(node: &mut Node, version: &mut Version) -> bool {
    let mut is_consistent = true;
    for delivery in node.take_deliveries() {
        let next = match &delivery {
            Delivery::Record(record) => {
                is_consistent &= record.version == version.next();
                record.version
            }
            Delivery::Snapshot(snapshot) => {
                is_consistent &= snapshot.version > *version;
                snapshot.version
            }
            // Expedited records may have any later version and don't change the
            // node's version.
            Delivery::Expedited(expedited) => {
                is_consistent &= expedited.version > *version;
                continue;
            }
        };
        *version = next;
    }
    let limits = Limits::default();
    is_consistent
        && node.version() == *version
        && node.view().len(Distance::Zone) <= limits.zone
        && node.view().len(Distance::Region) <= limits.region
        && node.view().len(Distance::World) <= limits.world
        && node.facts().len() <= fact::Limits::default().max_facts
        && node.facts().expedited_after(Version(0)).count() <= fact::Limits::default().max_expedited
}

/// Guards against a faulty peer, or one of another build, whose messages crash this
/// process, lower its version or fill its memory.
#[test]
fn arbitrary_messages_keep_a_node_consistent() {
    fn check(messages: Vec<AnyMessage>, pulls: Vec<bool>) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut now = Moment::from_millis(1_000);
        let me = Peer::new(address(1), place(0, 0));
        let mut node = Node::new(now, me, Settings::default(), []);
        let mut version = Version(0);
        let pulls = pulls.into_iter().chain([true]).cycle().take(messages.len());
        for (AnyMessage(message), pull) in messages.into_iter().zip(pulls.collect::<Vec<_>>()) {
            now = now + Duration::from_millis(300);
            node.receive_request(now, &message, &mut rng);
            let ticket = Ticket {
                to: message.from.address,
                sent: now,
                pull,
            };
            node.receive_reply(now, &ticket, &message, &mut rng);
            node.publish_fact(now, 1, Blob::from(vec![1]), Duration::from_secs(9));
            node.tick(now, &mut rng);
            if node.take_requests().len() > 16 || !is_consistent(&mut node, &mut version) {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 5))
        .tests(2_000)
        .quickcheck(check as fn(Vec<AnyMessage>, Vec<bool>) -> bool);
}
