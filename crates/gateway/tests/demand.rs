//! Tests of the shares of workspaces and priorities at one gateway.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::quickcheck;
use sesamerock_base::time::Moment;
use sesamerock_gateway::admit::demand::allocation::allocate;
use sesamerock_gateway::admit::demand::booking::{Bookings, MAX_BOOKINGS, Return};
use sesamerock_gateway::admit::demand::gate::Gate;
use sesamerock_gateway::admit::demand::{Decision, Demand, Key, Report, Settings, Slots};
use sesamerock_gateway::run::Shares;

const START: Moment = Moment::from_millis(100_000);
const ERROR: f64 = 1e-6;
const TTL: Duration = Duration::from_millis(1_500);
const LONGEST: Duration = Duration::from_millis(2_500);

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

const fn key(workspace: u32, priority: u8) -> Key {
    Key {
        workspace,
        priority,
    }
}

quickcheck! {
    /// Fails if more is granted than there is or than is asked for, if capacity stays unused, if a
    /// floor is not kept, or if a less urgent priority of a workspace gets a larger part.
    fn allocation_keeps_capacity_floors_and_order(
        demands: Vec<(u8, u8, u16)>, weights: Vec<u16>, part: u8, floor: u8
    ) -> bool {
        let mut demand = BTreeMap::new();
        for (workspace, priority, calls) in demands {
            let key = key(u32::from(workspace % 24), priority % 7);
            demand.insert(key, f64::from(calls) + 1.0);
        }
        let weights: BTreeMap<u32, f64> = (0..).zip(weights.into_iter().map(f64::from)).collect();
        let total: f64 = demand.values().sum();
        let capacity = total * (f64::from(part) + 1.0) / 128.0;
        let floor = f64::from(floor) / 255.0;
        let granted = allocate(capacity, &demand, &weights, floor);
        let sum: f64 = granted.values().sum();
        let least = floor * (capacity / total).min(1.0);
        let ratio = |key: &Key| granted[key] / demand[key];
        let is_used = (sum - capacity.min(total)).abs() <= ERROR * total.max(1.0);
        let is_bounded = demand.keys().all(|one| (least - ERROR..=1.0 + ERROR).contains(&ratio(one)));
        let is_ordered = demand.keys().all(|one| {
            let lower = demand.keys().filter(|other| {
                other.workspace == one.workspace && other.priority > one.priority
            });
            lower.into_iter().all(|other| ratio(other) <= ratio(one) + ERROR)
        });
        is_used && is_bounded && is_ordered
    }

    /// Fails if the calls admitted deviate from the fraction by more than one call.
    fn gate_admits_the_fraction(fraction: u8, calls: u16, phase: u8) -> bool {
        let fraction = f64::from(fraction) / 255.0;
        let mut gate = Gate::new(f64::from(phase) / 256.0);
        let admitted = (0..calls).filter(|_| gate.admits(fraction)).count();
        (admitted as f64 - fraction * f64::from(calls)).abs() <= 1.0 + ERROR
    }
}

/// Guards against a surge that takes the entitlement of others, and against lent capacity that goes
/// to less urgent calls first.
#[test]
fn unused_capacity_is_lent_to_the_highest_priority_first() {
    let demand = BTreeMap::from([
        (key(1, 0), 100.0),
        (key(1, 1), 100.0),
        (key(2, 2), 10.0),
        (key(3, 2), 1_000.0),
    ]);
    let weights = BTreeMap::from([(1, 1.0), (2, 1.0), (3, 1.0)]);
    let granted = allocate(300.0, &demand, &weights, 0.0);
    assert!((granted[&key(2, 2)] - 10.0).abs() < ERROR);
    assert!((granted[&key(1, 0)] - 100.0).abs() < ERROR);
    assert!((granted[&key(1, 1)] - 90.0).abs() < ERROR, "{granted:?}");
    assert!((granted[&key(3, 2)] - 100.0).abs() < ERROR);
}

/// Guards against callers that are told to come back and are refused again, against bookings that
/// end with the gateway that made them, and against those that are used twice.
#[test]
fn bookings_are_known_to_all_gateways_and_used_once() {
    let (mut first, mut second, mut third) = (
        Bookings::default(),
        Bookings::default(),
        Bookings::default(),
    );
    let due = START + millis(700);
    assert!(first.add(7, due, START));
    let (made, used) = first.news(START + millis(150));
    assert_eq!((made.len(), used.len()), (1, 0));
    for other in [&mut second, &mut third] {
        other.learn(&made, &used, START + millis(152));
    }
    drop(first);
    let Return::Early(left) = second.find(7, START + millis(200)) else {
        panic!("the caller is early");
    };
    assert!(left <= millis(502) && left >= millis(480), "{left:?}");
    assert_eq!(second.find(7, due), Return::Due);
    assert_eq!(second.find(7, due + millis(1_400)), Return::Due);
    assert_eq!(second.find(7, due + millis(1_600)), Return::None);
    second.take(7, due);
    assert_eq!(second.find(7, due), Return::None);
    let (made_late, used) = second.news(due + millis(150));
    third.learn(&made_late, &used, due + millis(152));
    assert_eq!(third.find(7, due + millis(160)), Return::None);
    // A heartbeat that was delayed does not bring the booking back.
    third.learn(&made, &[], due + millis(170));
    assert_eq!(third.find(7, due + millis(180)), Return::None);
}

/// Guards against unbounded memory for callers that are refused.
#[test]
fn bookings_are_bounded_and_expire() {
    let mut bookings = Bookings::default();
    for request in 0..MAX_BOOKINGS as u32 + 10 {
        bookings.add(request, START + millis(500), START);
    }
    assert_eq!(bookings.count(), MAX_BOOKINGS);
    assert!(!bookings.add(u32::MAX, START + millis(500), START));
    assert!(bookings.add(u32::MAX, START + millis(3_000), START + millis(2_100)));
    assert_eq!(bookings.count(), 1);
}

/// A gateway among equal ones, which offers the calls of two workspaces beyond the capacity.
struct Gateway {
    demand: Demand,
    now: Moment,
    request: u32,
}

impl Gateway {
    fn new() -> Self {
        Self {
            demand: Demand::new(Settings::default(), TTL, LONGEST, 1),
            now: START,
            request: 0,
        }
    }

    /// Plays one second with `offered` calls, of which every second one starts, and returns the
    /// refused ones. `peer` is heard each 200 ms.
    fn play(&mut self, offered: u64, gateways: usize, peer: Option<&Report>) -> usize {
        let mut refused = 0;
        for call in 0..offered {
            if let Some(report) = peer.filter(|_| call % (offered / 5) == 0) {
                self.demand.learn("peer", report.clone(), self.now);
            }
            self.request += 1;
            refused += usize::from(matches!(
                self.ask(self.request, gateways),
                Decision::Refuse(_)
            ));
            if call % 2 == 0 {
                self.demand.start("s", key(1, 1), self.now);
            }
            self.now = self.now + Duration::from_micros(1_000_000 / offered);
        }
        refused
    }

    fn ask(&mut self, request: u32, gateways: usize) -> Decision {
        let slots = Slots {
            free: 0.0,
            running: 100.0,
            gateways,
        };
        let key = key(1 + request % 2, 1);
        self.demand.judge("s", key, request, Some(slots), self.now)
    }
}

/// Guards against refusals without knowledge: right after a start, and before any other gateway is
/// heard; and against a gateway that refuses nothing, or all, once it is cut off.
#[test]
fn shares_follow_start_cut_and_death_of_gateways() {
    let mut alone = Gateway::new();
    assert_eq!(alone.play(100, 1, None), 0);
    assert!(alone.play(100, 1, None) > 20);
    let mut unheard = Gateway::new();
    assert_eq!(unheard.play(100, 2, None) + unheard.play(100, 2, None), 0);
    let report = alone.demand.report(alone.now);
    let mut cut = Gateway::new();
    assert_eq!(cut.play(100, 2, Some(&report)), 0);
    let refused = cut.play(100, 2, Some(&report));
    assert!((20..60).contains(&refused), "{refused}");
    for second in 0..15 {
        cut.demand.drop_expired(cut.now);
        let refused = cut.play(100, 2, None);
        assert!((20..70).contains(&refused), "{refused} after {second} s");
    }
}

/// Guards against refusals while slots are free, or while groups are broken.
#[test]
fn nothing_is_refused_while_slots_are_free_or_unknown() {
    let mut gateway = Gateway::new();
    gateway.play(100, 1, None);
    gateway.play(100, 1, None);
    let slots = Slots {
        free: 10.0,
        running: 100.0,
        gateways: 1,
    };
    for request in 1_000..1_100 {
        let slots = (request % 2 == 0).then_some(slots);
        let decision = gateway
            .demand
            .judge("s", key(1, 1), request, slots, gateway.now);
        assert_eq!(decision, Decision::Admit { returns: false });
    }
}

/// Guards against callers that come back as told and are refused, that come back early and are
/// admitted, and against early returns that count as demand.
#[test]
fn callers_that_come_back_as_told_are_admitted() {
    let mut gateway = Gateway::new();
    gateway.play(100, 1, None);
    gateway.play(100, 1, None);
    let refusals = (5_000..5_100).filter_map(|request| match gateway.ask(request, 1) {
        Decision::Refuse(after) if after < LONGEST => Some((request, after)),
        _ => None,
    });
    let (request, after) = refusals.last().expect("calls are refused");
    assert!(after >= millis(100), "{after:?}");
    let offered = gateway.demand.report(gateway.now);
    gateway.now = gateway.now + millis(20);
    let early = gateway.ask(request, 1);
    assert!(
        matches!(early, Decision::Refuse(left) if left <= after),
        "{early:?}"
    );
    let counts = |report: &Report| -> u32 {
        let counts = report.services[0].1.counts.iter();
        counts.map(|(_, count)| count.offered).sum()
    };
    let same = gateway.demand.report(gateway.now);
    assert!(counts(&same) <= counts(&offered));
    // The others keep the system in overload until the caller comes back.
    let until = gateway.now + after - millis(20);
    while gateway.now < until {
        gateway.play(10, 1, None);
    }
    let decision = gateway.ask(request, 1);
    assert_eq!(decision, Decision::Admit { returns: true });
}

/// Guards against settings out of range, and against errors that do not say what to change.
#[test]
fn settings_out_of_range_are_named() {
    let check = |floor: f64, weight: f64| {
        let shares = Shares {
            floor,
            weights: BTreeMap::from([("acme".to_owned(), weight)]),
        };
        shares.check().err().map(|fault| fault.to_string())
    };
    assert_eq!(check(0.4, 1.0), None);
    let fault = check(1.5, 1.0).expect("a fault");
    assert!(
        fault.contains("shares.floor") && fault.contains("1.5") && fault.contains("from 0 to 1")
    );
    let fault = check(0.4, 0.0).expect("a fault");
    assert!(
        fault.contains("shares.weights.acme") && fault.contains("over 0"),
        "{fault}"
    );
    assert!(check(f64::NAN, 1.0).is_some() && check(0.4, f64::INFINITY).is_some());
}
