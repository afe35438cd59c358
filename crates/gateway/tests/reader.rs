//! Tests which gateway of a zone reads the store for the others, and what they take over from it.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_gateway::run::offsets::{Offsets, Verdict};
use sesamerock_gateway::run::reader::{Election, Mate, Role, Settings, Situation, pace};
use sesamerock_gateway::store::{Batch, Change, Feed, Offset, Update};

const DRAIN: Duration = Duration::from_secs(3);
const TICK_MS: u64 = 10;
/// Interval of the decisions, and of the heartbeats.
const DECISION_MS: u64 = 100;
/// Time of an answer of the store.
const ANSWER_MS: u64 = 4;
/// Silence after which a gateway counts as dead.
const EXPIRY_MS: u64 = 1_600;
/// Time from the end of the freshness to a read of one's own: a decision and the answer.
const SLACK_MS: u64 = DECISION_MS + 2 * TICK_MS + ANSWER_MS;

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000_000 + millis)
}

/// What is wrong with a gateway, from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The process does nothing.
    Frozen,
    /// The store refuses its calls.
    Refused,
    /// Its messages to others in the zone are lost, not those that it receives.
    Mute,
}

struct Gateway {
    name: String,
    zone: usize,
    election: Election,
    role: Role,
    fault: Fault,
    failing: bool,
    /// When the next read of each feed begins, and the end of the one that runs.
    next: [u64; 3],
    running: [Option<u64>; 3],
    /// Latest time up to which the records of the upstreams are known.
    knows: u64,
    heartbeat_at: u64,
}

/// Zones of gateways before a store in which nothing changes, in steps of 10 ms.
struct Replay {
    gateways: Vec<Gateway>,
    now: u64,
    calls: u64,
    /// Pairs that can't hear each other: those of one parity and those of the other.
    cut: bool,
}

impl Replay {
    fn new(count: usize, zones: usize, enabled: Option<bool>) -> Self {
        let gateways = (0..count).map(|index| {
            let name = format!("front-{index:03}");
            Gateway {
                zone: index % zones,
                election: Election::new(name.as_str(), Settings::new(enabled, DRAIN)),
                name,
                role: Role::Alone,
                fault: Fault::None,
                failing: false,
                // Reads of gateways that start together spread by their answers.
                next: [(index as u64 * 37) % 500; 3],
                running: [None; 3],
                knows: 0,
                heartbeat_at: 0,
            }
        });
        Self {
            gateways: gateways.collect(),
            now: 0,
            calls: 0,
            cut: false,
        }
    }

    fn hears(&self, to: usize, from: usize) -> bool {
        let (a, b) = (&self.gateways[to], &self.gateways[from]);
        let apart = self.cut && (to / 3) % 2 != (from / 3) % 2;
        a.zone == b.zone && to != from && !apart && b.fault != Fault::Mute
    }

    fn decide(&mut self, index: usize) {
        let now = self.now;
        let mates: Vec<Mate> = (0..self.gateways.len())
            .filter(|other| self.hears(index, *other))
            .map(|other| &self.gateways[other])
            .filter(|mate| now >= DECISION_MS && now - mate.heartbeat_at <= EXPIRY_MS)
            .map(|mate| Mate {
                name: mate.name.clone(),
                failing: mate.failing,
            })
            .collect();
        let gateway = &mut self.gateways[index];
        gateway.heartbeat_at = now;
        let situation = Situation {
            mates: &mates,
            listed: gateway.knows > 0,
            failing: gateway.failing,
            leaderless: false,
        };
        let role = gateway.election.decide(situation, at(now));
        if role != gateway.role {
            if role == Role::Reader || gateway.role == Role::Follower {
                gateway.next = [now; 3];
                gateway.running = [None; 3];
            }
            gateway.role = role;
        }
    }

    fn end_read(&mut self, index: usize, feed: Feed) {
        let (now, total) = (self.now, self.gateways.len());
        let gateway = &mut self.gateways[index];
        let ended = gateway.running[feed as usize].take().unwrap_or(now);
        let age = Duration::from_millis(now - ended);
        let times = pace(feed, gateway.role, DRAIN, total);
        let pause = times.map_or(0, |times| times.pause.as_millis() as u64);
        gateway.next[feed as usize] = now + pause;
        gateway.failing = gateway.fault == Fault::Refused;
        if gateway.failing {
            gateway.next[feed as usize] = now + 400;
            return;
        }
        if feed != Feed::Upstreams {
            return;
        }
        gateway.election.record_answer(at(ended));
        if gateway.role != Role::Reader {
            return;
        }
        let name = gateway.name.clone();
        for other in 0..total {
            if self.hears(other, index) && self.gateways[other].fault != Fault::Frozen {
                let other = &mut self.gateways[other];
                other.election.record_delivery(&name, age, at(now));
            }
        }
    }

    /// Records that are accepted while a read waits are answered at once, and passed on.
    fn learn(&mut self, index: usize) {
        let reader = &self.gateways[index];
        let reads = reader.running[Feed::Upstreams as usize].is_some();
        if !reads || matches!(reader.fault, Fault::Frozen | Fault::Refused) {
            return;
        }
        let delivers = reader.role == Role::Reader;
        self.gateways[index].knows = self.now;
        for other in 0..self.gateways.len() {
            if delivers && self.hears(other, index) {
                self.gateways[other].knows = self.now;
            }
        }
    }

    fn step(&mut self) {
        self.now += TICK_MS;
        (0..self.gateways.len()).for_each(|index| self.learn(index));
        for index in 0..self.gateways.len() {
            if self.gateways[index].fault == Fault::Frozen {
                continue;
            }
            if (self.now + index as u64 * TICK_MS).is_multiple_of(DECISION_MS) {
                self.decide(index);
            }
            for feed in Feed::ALL {
                let total = self.gateways.len();
                let gateway = &mut self.gateways[index];
                let slot = feed as usize;
                if gateway.running[slot].is_some_and(|end| end <= self.now) {
                    self.end_read(index, feed);
                    continue;
                }
                if gateway.running[slot].is_some() || gateway.next[slot] > self.now {
                    continue;
                }
                if let Some(times) = pace(feed, gateway.role, DRAIN, total) {
                    let refused = gateway.fault == Fault::Refused;
                    let wait = if refused { Duration::ZERO } else { times.wait };
                    gateway.running[slot] = Some(self.now + wait.as_millis() as u64 + ANSWER_MS);
                    self.calls += 1;
                }
            }
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
        }
    }

    fn readers(&self, zone: usize) -> Vec<usize> {
        let all = self.gateways.iter().enumerate();
        all.filter(|(_, gateway)| gateway.zone == zone && gateway.role == Role::Reader)
            .map(|(index, _)| index)
            .collect()
    }

    /// Runs on and checks that each gateway that is not frozen knows each record in time.
    fn assert_known_within(&mut self, bound: u64, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
            for gateway in &self.gateways {
                let exempt = gateway.fault != Fault::None && gateway.fault != Fault::Mute;
                let age = self.now - gateway.knows;
                assert!(
                    exempt || age <= bound,
                    "{} at {}: {age}",
                    gateway.name,
                    self.now
                );
            }
        }
    }
}

/// Calls for reads in 50 s after a common start, and in the last 30 s of them.
fn calls(gateways: usize, enabled: Option<bool>) -> (u64, u64) {
    let mut replay = Replay::new(gateways, 3, enabled);
    replay.run(20_000);
    let start = replay.calls;
    replay.run(30_000);
    (replay.calls, replay.calls - start)
}

/// Calls grew with the number of gateways although all read the same.
#[test]
fn regression_reads_of_45_gateways_are_a_third() {
    let (before, after) = (calls(45, Some(false)), calls(45, None));
    println!("before={before:?} after={after:?}");
    assert!(3 * after.0 <= before.0, "{after:?} of {before:?}");
    assert!(5 * after.1 <= before.1, "{after:?} of {before:?}");
}

/// A zone with few gateways is served as before.
#[test]
fn four_gateways_in_three_zones_read_as_before() {
    assert_eq!(calls(4, Some(false)), calls(4, None));
    assert_eq!(calls(9, Some(false)), calls(9, None));
}

/// Without others, readers would pass batches on to nobody, at shorter intervals.
#[test]
fn gateways_that_start_together_read_for_themselves_at_first() {
    let mut replay = Replay::new(45, 3, None);
    replay.run(900);
    assert!((0..3).all(|zone| replay.readers(zone).is_empty()));
    replay.run(4_000);
    assert!((0..3).all(|zone| replay.readers(zone) == [zone]));
    let follows = |gateway: &&Gateway| gateway.role == Role::Follower;
    assert_eq!(replay.gateways.iter().filter(follows).count(), 42);
}

/// Each fault of a reader, at any moment: the others know what the store accepts within 1.2 s and
/// the time of a decision and a read, and one other gateway takes over.
#[test]
fn others_read_for_themselves_when_their_reader_fails() {
    for fault in [Fault::Frozen, Fault::Refused, Fault::Mute] {
        for moment in (0..1_000).step_by(70) {
            let mut replay = Replay::new(45, 3, None);
            replay.run(8_000 + moment);
            let reader = replay.readers(0)[0];
            replay.gateways[reader].fault = fault;
            replay.assert_known_within(1_200 + SLACK_MS, 6_000);
            let now = replay.readers(0);
            assert!(
                now.iter().any(|index| *index != reader),
                "{fault:?}: {now:?}"
            );
        }
    }
}

/// A frozen reader that goes on must neither stay reader with an old answer nor make two of them.
#[test]
fn one_reader_remains_when_a_frozen_one_goes_on() {
    let mut replay = Replay::new(45, 3, None);
    replay.run(8_000);
    replay.gateways[0].fault = Fault::Frozen;
    replay.run(6_000);
    replay.gateways[0].fault = Fault::None;
    replay.run(TICK_MS * 20);
    assert_ne!(replay.gateways[0].role, Role::Reader);
    replay.run(6_000);
    assert_eq!(replay.readers(0).len(), 1);
}

/// Each side of a cut has a reader, and one of the two remains after it.
#[test]
fn both_sides_of_a_cut_have_a_reader() {
    let mut replay = Replay::new(45, 3, None);
    replay.run(8_000);
    replay.cut = true;
    replay.assert_known_within(1_200 + SLACK_MS, 6_000);
    let sides: Vec<usize> = replay
        .readers(0)
        .iter()
        .map(|index| (index / 3) % 2)
        .collect();
    assert_eq!(sides, [0, 1]);
    replay.cut = false;
    replay.run(4_000);
    assert_eq!(replay.readers(0).len(), 1);
}

/// A reader that comes and goes must not make all others change their role each time.
#[test]
fn a_gateway_with_a_lower_name_leaves_the_reader_in_place() {
    let mut replay = Replay::new(45, 3, None);
    replay.gateways[0].fault = Fault::Frozen;
    replay.run(8_000);
    assert_eq!(replay.readers(0), [3]);
    replay.gateways[0].fault = Fault::None;
    replay.run(8_000);
    assert_eq!(replay.readers(0), [3]);
}

fn follower() -> Election {
    let mut election = Election::new("b", Settings::new(Some(true), DRAIN));
    for tick in 0..30 {
        election.record_delivery("a", Duration::ZERO, at(tick * 100));
        decide(&mut election, tick * 100, false, false);
    }
    election
}

fn decide(election: &mut Election, now: u64, failing: bool, leaderless: bool) -> Role {
    let mates = ["a", "c"].map(|name| Mate {
        name: name.to_owned(),
        failing: false,
    });
    let situation = Situation {
        mates: &mates,
        listed: true,
        failing,
        leaderless,
    };
    election.decide(situation, at(now))
}

/// What deliveries say of the store must not count as contact of their receiver: before a leader is
/// chosen, and after a failed call, it asks the store itself.
#[test]
fn a_follower_asks_the_store_when_its_own_contact_counts() {
    let mut election = follower();
    assert_eq!(decide(&mut election, 3_000, false, false), Role::Follower);
    assert_eq!(decide(&mut election, 3_100, false, true), Role::Probing);
    assert_eq!(decide(&mut election, 3_200, true, false), Role::Probing);
    assert!(pace(Feed::Upstreams, Role::Probing, DRAIN, 45).is_some());
    assert_eq!(pace(Feed::Orders, Role::Probing, DRAIN, 45), None);
}

/// Deliveries that waited in the sockets of a frozen follower are old although they arrive now.
#[test]
fn a_follower_that_was_frozen_reads_itself() {
    let mut election = follower();
    election.record_delivery("a", Duration::ZERO, at(9_000));
    assert_eq!(decide(&mut election, 9_010, false, false), Role::Alone);
}

/// The age of an answer counts, not the arrival of the delivery.
#[test]
fn an_old_answer_is_not_current() {
    let mut election = follower();
    for tick in 30..42 {
        election.record_delivery("a", Duration::from_millis(1_150), at(tick * 100));
        decide(&mut election, tick * 100, false, false);
    }
    let role = decide(&mut election, 4_250, false, false);
    assert_eq!(role, Role::Alone, "the latest answer is from 2.95 s");
}

/// A drain time of one second leaves less time for another read.
#[test]
fn the_longest_age_follows_the_drain_time() {
    let age = |drain| Settings::new(None, Duration::from_millis(drain)).max_age;
    assert_eq!(age(3_000), Duration::from_millis(1_200));
    assert_eq!(age(2_000), Duration::from_millis(1_200));
    assert_eq!(age(1_000), Duration::from_millis(600));
    for drain in [1_000, 2_000, 3_000] {
        let drain = Duration::from_millis(drain);
        let times = pace(Feed::Upstreams, Role::Reader, drain, 45).unwrap();
        let longest = Settings::new(None, drain).max_age.mul_f64(0.75);
        assert!(times.wait + times.pause <= longest);
    }
}

fn batch(next: u64, offsets: &[u64]) -> Batch {
    let changes = offsets.iter().map(|offset| Change {
        offset: Offset::new(0, *offset),
        update: Update::NodeRemoved(format!("n{offset}")),
    });
    Batch {
        next: Offset::new(0, next),
        changes: changes.collect(),
    }
}

/// Lost, repeated and late batches neither skip records nor apply them twice, and offsets never go
/// back.
#[test]
fn batches_apply_once_and_in_order() {
    let mut offsets = Offsets::default();
    let advance = |offsets: &mut Offsets, from, next, records: &[u64]| {
        let mut batch = batch(next, records);
        let verdict = offsets.advance(Feed::Nodes, Offset::new(0, from), &mut batch);
        let kept: Vec<u64> = batch
            .changes
            .iter()
            .map(|change| change.offset.index())
            .collect();
        (verdict, kept, offsets.get(Feed::Nodes).map(Offset::index))
    };
    let (verdict, ..) = advance(&mut offsets, 5, 7, &[5, 6]);
    assert_eq!(verdict, Verdict::Unlisted);
    offsets.begin(Feed::Nodes, Offset::new(0, 5));
    assert_eq!(
        advance(&mut offsets, 5, 7, &[5, 6]),
        (Verdict::Fits, vec![5, 6], Some(7))
    );
    // Repeated, and with a new record behind the known ones.
    assert_eq!(
        advance(&mut offsets, 5, 8, &[5, 6, 7]),
        (Verdict::Fits, vec![7], Some(8))
    );
    let (verdict, _, next) = advance(&mut offsets, 5, 7, &[5, 6]);
    assert_eq!((verdict, next), (Verdict::Behind, Some(8)));
    let (verdict, _, next) = advance(&mut offsets, 9, 10, &[9]);
    assert_eq!((verdict, next), (Verdict::Gap, Some(8)));
    assert!(!offsets.are_listed());
}
