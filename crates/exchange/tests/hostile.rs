//! Messages with any content: no panic, no step back, bounded state.

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

/// A message with mostly plausible and sometimes extreme values.
#[derive(Clone, Debug)]
struct Any(Message);

fn number(g: &mut Gen) -> u64 {
    let near: u8 = Arbitrary::arbitrary(g);
    *g.choose(&[u64::from(near) % 12, u64::MAX, u64::MAX - 1, 1 << 62, 0])
        .unwrap_or(&0)
}

fn small(g: &mut Gen) -> u32 {
    let near: u8 = Arbitrary::arbitrary(g);
    *g.choose(&[u32::from(near), u32::MAX, 0]).unwrap_or(&0)
}

fn peer(g: &mut Gen) -> Peer {
    let index = usize::from(u8::arbitrary(g));
    Peer {
        address: address(index),
        place: place(index % 3, index % 7),
        age: small(g),
        leaving: bool::arbitrary(g),
    }
}

fn list<T>(g: &mut Gen, make: impl Fn(&mut Gen) -> T) -> Vec<T> {
    (0..u8::arbitrary(g) % 8).map(|_| make(g)).collect()
}

fn chunk(g: &mut Gen) -> Chunk {
    let mut bytes: Vec<u8> = Arbitrary::arbitrary(g);
    bytes.truncate(16);
    Chunk {
        version: Version(number(g)),
        total: small(g),
        offset: small(g),
        bytes: Blob::from(bytes),
    }
}

fn fact(g: &mut Gen) -> Fact {
    let origin = address(usize::from(u8::arbitrary(g)));
    let key = number(g);
    let names = [Name { origin, key }, Name::expedited(Version(key))];
    Fact {
        name: names[usize::from(bool::arbitrary(g))],
        sequence: number(g),
        expires_in: small(g),
        value: Blob::from(vec![1; small(g).min(400) as usize]),
    }
}

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Self {
        let standing = ContactStatus {
            age: Some(small(g)),
            others: bool::arbitrary(g),
        };
        let mut message = Message::new(peer(g), Version(number(g)), standing);
        message.sync = bool::arbitrary(g);
        message.wants = bool::arbitrary(g);
        message.urgent = bool::arbitrary(g);
        message.records = list(g, |g| record(number(g), 8));
        message.peers = list(g, peer);
        message.readers = list(g, |g| Candidate {
            address: address(usize::from(u8::arbitrary(g))),
            age: small(g),
        });
        message.digest = list(g, small);
        message.facts = list(g, fact);
        message.chunk = bool::arbitrary(g).then(|| chunk(g));
        message.part = bool::arbitrary(g).then(|| Part {
            version: Version(number(g)),
            offset: small(g),
        });
        Self(message)
    }
}

/// Returns whether a node stays within its bounds and its deliveries in order.
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
            // It may be of any later version and does not move the node.
            Delivery::Expedited(order) => {
                is_consistent &= order.version > *version;
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

/// Guards against a peer of another build, or a damaged one, that stops this
/// process, moves it back or fills its memory.
#[test]
fn any_messages_are_harmless() {
    fn check(messages: Vec<Any>, pulls: Vec<bool>) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut now = Moment::from_millis(1_000);
        let me = Peer::new(address(1), place(0, 0));
        let mut node = Node::new(now, me, Settings::default(), []);
        let mut version = Version(0);
        let pulls = pulls.into_iter().chain([true]).cycle().take(messages.len());
        for (Any(message), pull) in messages.into_iter().zip(pulls.collect::<Vec<_>>()) {
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
        .quickcheck(check as fn(Vec<Any>, Vec<bool>) -> bool);
}
