//! Tests of the encoding of heartbeats: a receiver learns what it would from whole heartbeats.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bincode::Options as _;
use quickcheck::{Arbitrary, Gen, quickcheck};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use sesamerock_base::time::Moment;
use sesamerock_gateway::admit::estimate::Value;
use sesamerock_gateway::admit::group::{Pace, Version};
use sesamerock_gateway::admit::leaving::Departure;
use sesamerock_gateway::admit::outage;
use sesamerock_gateway::exchange::delta::{Fault, Link, Message};
use sesamerock_gateway::exchange::{Heartbeat, Peers, Settings};
use sesamerock_gateway::node;
use sesamerock_gateway::state::{Knowledge, Position};
use sesamerock_gateway::store::Offset;
use sesamerock_gateway::store::contact::ContactState;
use sesamerock_gateway::suspect;

const NODES: usize = 3;

fn heartbeat(name: usize, incarnation: u64) -> Heartbeat {
    let address = SocketAddr::from(([10, 0, 0, name as u8], 8_080));
    Heartbeat {
        node: node::Record {
            name: format!("front-{name}"),
            incarnation,
            front: address,
            exchange: address,
            zone: Arc::from("zone-a"),
        },
        ready: true,
        accepting: true,
        leads: false,
        position: Position::default(),
        knowledge: Knowledge::default(),
        store: ContactState::default(),
        misdirected: Vec::new(),
        leaving: Vec::new(),
        limits: Vec::new(),
        groups: Version::default(),
        suspects: suspect::Report::default(),
        outages: outage::Statement::default(),
        paces: Vec::new(),
        demand: sesamerock_gateway::admit::demand::Report::default(),
        loads: Vec::new(),
    }
}

fn size(value: &impl serde::Serialize) -> u64 {
    let size = bincode::DefaultOptions::new().serialized_size(value);
    size.unwrap_or(u64::MAX)
}

/// Returns all that a heartbeat states. The order of the loads has no meaning.
fn content(heartbeat: &Heartbeat) -> Vec<u8> {
    let mut heartbeat = heartbeat.clone();
    heartbeat.loads.sort();
    let bytes = bincode::DefaultOptions::new().serialize(&heartbeat);
    bytes.unwrap_or_default()
}

/// Changes a heartbeat as `seed` tells: loads always, other fields now and then.
fn change(heartbeat: &mut Heartbeat, seed: u16) {
    let load = |index: u16| {
        (
            Arc::from(format!("engine-{index}")),
            u32::from(index % 3) + 1,
        )
    };
    heartbeat.loads = (seed % 7..seed % 11 + seed % 5).map(load).collect();
    match seed % 9 {
        0 => heartbeat.ready = !heartbeat.ready,
        1 => {
            let orders = heartbeat.position.orders.index() + u64::from(seed);
            heartbeat.position.orders = Offset::new(0, orders);
        }
        2 => heartbeat.store.answer_age_ms = Some(u64::from(seed)),
        3 => heartbeat.leaving.push(Departure {
            id: Arc::from(format!("engine-{seed}")),
            born: Some(u64::from(seed)),
        }),
        4 => heartbeat.leaving.clear(),
        _ => {}
    }
}

/// What may happen to the nodes and between them. Numbers are taken modulo the number of nodes.
#[derive(Clone, Copy, Debug)]
enum Step {
    Change(usize, u16),
    /// A node sends a heartbeat, and the other one answers.
    Greet(usize, usize),
    /// The greeting arrives, but its answer does not, so the connection is given up.
    LoseAnswer(usize, usize),
    LoseGreeting(usize, usize),
    /// A greeting arrives on a connection that has been given up, such as that of a process that
    /// has restarted.
    ArriveLate(usize, usize),
    /// A node restarts with a later incarnation.
    Restart(usize),
    /// A node returns with an earlier incarnation, as a process that was frozen.
    ReturnOld(usize),
    /// Nodes before this one and the others do not reach each other until the next cut.
    Cut(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (usize::arbitrary(g) % NODES, usize::arbitrary(g) % NODES);
        match u8::arbitrary(g) % 16 {
            0..4 => Self::Change(a, u16::arbitrary(g)),
            4..10 => Self::Greet(a, b),
            10 => Self::LoseAnswer(a, b),
            11 => Self::LoseGreeting(a, b),
            12 => Self::ArriveLate(a, b),
            13 => Self::Restart(a),
            14 => Self::ReturnOld(a),
            _ => Self::Cut(a),
        }
    }
}

/// The two ends of a connection.
#[derive(Debug, Default)]
struct Connection {
    client: Link,
    server: Link,
    /// A message that was sent on an earlier connection, with the end that was to receive it and
    /// what it states.
    late: Option<(Message, Link, Heartbeat)>,
}

/// What one node knows of the others: from encoded heartbeats, and from whole ones.
#[derive(Debug)]
struct Views {
    decoded: Peers,
    whole: Peers,
}

impl Views {
    fn new() -> Self {
        let peers = || Peers::new(Settings::default());
        Self {
            decoded: peers(),
            whole: peers(),
        }
    }

    fn receive(&self, decoded: Heartbeat, sent: &Heartbeat) -> bool {
        let is_equal = content(&decoded) == content(sent);
        let heard = self.decoded.receive_heartbeat(decoded);
        is_equal && heard == self.whole.receive_heartbeat(sent.clone())
    }

    fn are_equal(&self) -> bool {
        let summary = |peers: &Peers| {
            let mut ready = peers.ready();
            let mut accepting = peers.accepting();
            let mut contacts = peers.store_contacts();
            ready.sort_by(|a, b| a.name.cmp(&b.name));
            accepting.sort_by(|a, b| a.name.cmp(&b.name));
            contacts.sort();
            let stated = (0..NODES).map(|node| {
                let stated = peers.last_heartbeat(&format!("front-{node}"))?;
                Some((stated.position, stated.groups))
            });
            let stated: Vec<_> = stated.collect();
            (ready, accepting, contacts, stated)
        };
        summary(&self.decoded) == summary(&self.whole)
    }
}

fn run(steps: Vec<Step>) -> bool {
    let mut nodes: Vec<Heartbeat> = (0..NODES).map(|it| heartbeat(it, 1_000)).collect();
    let mut views: Vec<Views> = (0..NODES).map(|_| Views::new()).collect();
    let mut connections: Vec<Connection> = Vec::new();
    connections.resize_with(NODES * NODES, Connection::default);
    let mut cut = 0;
    let mut now = Moment::default();
    for step in steps {
        now = now + Duration::from_millis(170);
        match step {
            Step::Change(node, seed) => change(&mut nodes[node], seed),
            Step::Greet(a, b) | Step::LoseAnswer(a, b) | Step::LoseGreeting(a, b) if a != b => {
                let connection = &mut connections[a * NODES + b];
                let greeting = connection.client.encode(&nodes[a], now);
                let is_cut = (a < cut) != (b < cut);
                if is_cut || matches!(step, Step::LoseGreeting(..)) {
                    let ends = std::mem::take(connection);
                    connection.late = Some((greeting, ends.server, nodes[a].clone()));
                    continue;
                }
                let Ok(received) = connection.server.decode(greeting) else {
                    return false;
                };
                if !views[b].receive(received, &nodes[a]) {
                    return false;
                }
                let answer = connection.server.encode(&nodes[b], now);
                if matches!(step, Step::LoseAnswer(..)) {
                    let ends = std::mem::take(connection);
                    connection.late = Some((answer, ends.client, nodes[b].clone()));
                    continue;
                }
                let Ok(received) = connection.client.decode(answer) else {
                    return false;
                };
                if !views[a].receive(received, &nodes[b]) {
                    return false;
                }
            }
            Step::ArriveLate(a, b) => {
                let late = connections[a * NODES + b].late.take();
                if let Some((message, mut link, sent)) = late {
                    // An answer arrives at the node that connected.
                    let at = if sent.node.name == nodes[a].node.name {
                        b
                    } else {
                        a
                    };
                    let Ok(received) = link.decode(message) else {
                        return false;
                    };
                    if !views[at].receive(received, &sent) {
                        return false;
                    }
                }
            }
            Step::Restart(node) | Step::ReturnOld(node) => {
                let incarnation = nodes[node].node.incarnation;
                let incarnation = match step {
                    Step::Restart(_) => incarnation + 1,
                    _ => incarnation - 1,
                };
                nodes[node] = heartbeat(node, incarnation);
                views[node] = Views::new();
                for other in 0..NODES {
                    for index in [node * NODES + other, other * NODES + node] {
                        let late = connections[index].late.take();
                        connections[index] = Connection {
                            late,
                            ..Connection::default()
                        };
                    }
                }
            }
            Step::Cut(node) => cut = node,
            _ => {}
        }
        if !views.iter().all(Views::are_equal) {
            return false;
        }
    }
    true
}

/// What may happen to a message on a channel that loses, delays and repeats.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Arrives,
    IsLost,
    ArrivesAfterNext,
    ArrivesTwice,
}

impl Arbitrary for Fate {
    fn arbitrary(g: &mut Gen) -> Self {
        let fates = [
            Self::Arrives,
            Self::Arrives,
            Self::IsLost,
            Self::ArrivesAfterNext,
            Self::ArrivesTwice,
        ];
        *g.choose(&fates).unwrap_or(&Self::Arrives)
    }
}

/// One direction of such a channel, with what each message states.
#[derive(Debug, Default)]
struct Channel {
    held: Option<(Message, Heartbeat)>,
}

impl Channel {
    fn send(
        &mut self,
        message: Message,
        sent: &Heartbeat,
        fate: Fate,
    ) -> Vec<(Message, Heartbeat)> {
        let item = (message, sent.clone());
        let held = self.held.take();
        let mut arriving = match fate {
            Fate::Arrives => vec![item],
            Fate::IsLost => Vec::new(),
            Fate::ArrivesTwice => vec![item.clone(), item],
            Fate::ArrivesAfterNext => {
                self.held = Some(item);
                Vec::new()
            }
        };
        arriving.extend(held);
        arriving
    }
}

/// Decodes messages. Returns whether each one that was accepted states what was sent.
fn decode_all(link: &mut Link, arriving: Vec<(Message, Heartbeat)>) -> bool {
    arriving
        .into_iter()
        .all(|(message, sent)| match link.decode(message) {
            Ok(decoded) => content(&decoded) == content(&sent),
            Err(Fault::Late | Fault::BaseLost) => true,
            Err(Fault::Malformed(_)) => false,
        })
}

quickcheck! {
    /// Guards against a difference between what nodes learn from encoded and from whole
    /// heartbeats, after any order of join, loss, restart, return and cut. As it is the same at
    /// every step, it is also dropped at the same age.
    fn nodes_learn_the_same_as_from_whole_heartbeats(steps: Vec<Step>) -> bool {
        run(steps)
    }

    /// Guards against a wrong or stuck state if messages of a connection are lost, repeated or
    /// reordered: what is decoded was sent, and two undisturbed round trips repair the rest.
    fn a_disturbed_connection_recovers(steps: Vec<(u16, Fate, Fate)>) -> bool {
        let (mut a, mut b) = (Link::default(), Link::default());
        let (mut there, mut back) = (Channel::default(), Channel::default());
        let (mut first, mut second) = (heartbeat(0, 1), heartbeat(1, 1));
        let mut now = Moment::default();
        for (seed, greeting, answer) in steps {
            now = now + Duration::from_millis(200);
            change(&mut first, seed);
            change(&mut second, seed.wrapping_mul(7));
            let arriving = there.send(a.encode(&first, now), &first, greeting);
            if !decode_all(&mut b, arriving) {
                return false;
            }
            let arriving = back.send(b.encode(&second, now), &second, answer);
            if !decode_all(&mut a, arriving) {
                return false;
            }
        }
        let mut is_decoded = false;
        for _ in 0..3 {
            let greeting = b.decode(a.encode(&first, now));
            let answer = a.decode(b.encode(&second, now));
            is_decoded = greeting.is_ok_and(|it| content(&it) == content(&first))
                && answer.is_ok_and(|it| content(&it) == content(&second));
        }
        is_decoded
    }
}

/// Guards against memory that grows with the upstreams that come and go.
#[test]
fn indexes_of_upstreams_that_have_left_are_reused() -> Result<(), Fault> {
    let (mut a, mut b) = (Link::default(), Link::default());
    let mut sent = heartbeat(0, 1);
    let mut longest = 0;
    for round in 0..2_000_u64 {
        let now = Moment(round * 200_000);
        sent.loads = vec![(Arc::from(format!("engine-{round}")), 1)];
        let message = a.encode(&sent, now);
        longest = longest.max(size(&message));
        assert_eq!(content(&b.decode(message)?), content(&sent));
        a.decode(b.encode(&heartbeat(1, 1), now))?;
    }
    assert!(longest < 200, "{longest} bytes");
    Ok(())
}

/// Regression: heartbeats carried all counts of calls with the ids of their upstreams as text,
/// five times a second between each pair of gateways. Prints the bytes by field and on average.
#[test]
fn regression_heartbeats_take_a_third_of_whole_ones() -> Result<(), Fault> {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut sent = heartbeat(11, 1_780_000_000_000);
    sent.store.answer_age_ms = Some(120);
    sent.groups = Version {
        fence: 12,
        sequence: 40,
    };
    sent.position = Position {
        orders: Offset::new(0, 60),
        upstreams: Offset::new(0, 4_000),
    };
    let mut calls = [0_u32; 72];
    for count in calls.iter_mut().take(30) {
        *count = 1 + random.next_u32() % 2;
    }
    let (mut a, mut b) = (Link::default(), Link::default());
    let (mut whole, mut encoded) = (0, 0);
    let rounds = 300;
    for round in 0..rounds {
        let now = Moment(round * 200_000);
        // A gateway starts some 18 calls a second of 0.5 to 1 s, so few begin and end in 0.2 s.
        for _ in 0..4 {
            let busy: Vec<usize> = (0..72).filter(|it| calls[*it] > 0).collect();
            calls[busy[random.next_u32() as usize % busy.len()]] -= 1;
            calls[random.next_u32() as usize % 72] += 1;
        }
        sent.store.answer_age_ms = Some(u64::from(random.next_u32() % 400));
        let paces = (0..3).map(|group| Pace {
            group: Arc::from(format!("group-{group}")),
            slowdown: Value {
                mean: 1.0 + f64::from(random.next_u32()) * 1e-10,
                deviation: f64::from(random.next_u32()) * 1e-11,
            },
        });
        sent.paces = paces.collect();
        let loaded = calls.iter().enumerate().filter(|(_, count)| **count > 0);
        sent.loads = loaded
            .map(|(index, count)| (Arc::from(format!("engine-{index:03}")), *count))
            .collect();
        let message = a.encode(&sent, now);
        whole += size(&sent);
        encoded += size(&message);
        assert_eq!(content(&b.decode(message)?), content(&sent));
        a.decode(b.encode(&sent, now))?;
    }
    for (field, bytes) in [
        ("node", size(&sent.node)),
        ("loads", size(&sent.loads)),
        ("store", size(&sent.store)),
        ("position", size(&sent.position)),
        ("suspects", size(&sent.suspects)),
        ("paces", size(&sent.paces)),
    ] {
        println!("{field}: {bytes} bytes");
    }
    println!(
        "loaded {}: whole {} encoded {} bytes",
        sent.loads.len(),
        whole / rounds,
        encoded / rounds
    );
    assert!(encoded * 3 <= whole, "{encoded} of {whole} bytes");
    Ok(())
}
