//! Explores switches of expert maps under lost answers, late orders and leaders that
//! die, and looks for a pass that begins under two maps.

use std::sync::Arc;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use sesamerock_gateway::engine::{Group, Order, Report, Terms, Verdict};
use sesamerock_gateway::maps::switch::{End, Phase, Switch};

const RANKS: usize = 4;
/// Rounds of one run.
const ROUNDS: u32 = 400;
/// Steps that a switch lies ahead.
const LEAD: u64 = 3;
/// Passes after which a late order is carried out, at least. Orders are late by two
/// seconds and more, and a pass takes a tenth of a second at most.
const LATE: u64 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct Rank {
    map: u64,
    prepared: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    fence: u64,
}

/// A group as the platform describes it.
struct World {
    random: ChaCha8Rng,
    ranks: [Rank; RANKS],
    step: u64,
    time: u64,
    /// Orders that are carried out later: when, where, what.
    late: Vec<(u64, usize, Order, Terms)>,
    mixed: bool,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            ranks: [Rank::default(); RANKS],
            step: 0,
            time: 0,
            late: Vec::new(),
            mixed: false,
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.next_u32() % 100 < percent
    }

    /// Carries an order out.
    fn apply(&mut self, place: usize, order: &Order, terms: Terms) -> Verdict {
        let step_begun = self.step;
        let rank = &mut self.ranks[place];
        if terms.fence < rank.fence {
            return Verdict::Fenced;
        }
        rank.fence = terms.fence;
        match order {
            // The platform refuses to prepare a rank that is armed.
            Order::Prepare { .. } if rank.armed.is_some() => Verdict::Conflict,
            Order::Prepare { version, .. } if *version > rank.prepared => {
                rank.prepared = *version;
                Verdict::Begun
            }
            Order::Prepare { version, .. } if *version == rank.prepared => Verdict::Done,
            Order::Arm { version, step } => {
                if rank.prepared != *version || *step <= step_begun {
                    return Verdict::Conflict;
                }
                rank.armed = Some((*version, *step));
                Verdict::Done
            }
            Order::Hold { step } => {
                if *step <= step_begun || rank.held.is_some_and(|held| held != *step) {
                    return Verdict::Conflict;
                }
                rank.held = Some(*step);
                Verdict::Done
            }
            Order::Go { step } if rank.held == Some(*step) => {
                rank.held = None;
                Verdict::Done
            }
            Order::Disarm { version } if rank.map != *version => {
                rank.armed = rank.armed.filter(|(armed, _)| armed != version);
                Verdict::Done
            }
            _ => Verdict::Conflict,
        }
    }

    /// Begins a pass, unless a rank holds the group.
    fn pass(&mut self) {
        self.time += 1;
        let now = self.time;
        let due: Vec<_> = self
            .late
            .iter()
            .filter(|one| one.0 <= now)
            .cloned()
            .collect();
        self.late.retain(|one| one.0 > now);
        for (_, place, order, terms) in due {
            self.apply(place, &order, terms);
        }
        let next = self.step + 1;
        if self.ranks.iter().any(|rank| rank.held == Some(next)) {
            return;
        }
        self.step = next;
        for rank in &mut self.ranks {
            if let Some((version, _)) = rank.armed.filter(|(_, step)| *step == next) {
                rank.map = version;
                rank.armed = None;
            }
        }
        self.mixed |= self.ranks.iter().any(|rank| rank.map != self.ranks[0].map);
    }

    fn reports(&self) -> Vec<Report> {
        let ranks = self.ranks.iter().enumerate();
        ranks
            .map(|(place, rank)| Report {
                born: None,
                orders: 0,
                waiting: 0,
                running: 0,
                memory_used: 0,
                memory_total: 0,
                pace: 1.0,
                group: Some(Group {
                    name: Arc::from("g"),
                    epoch: 1,
                    rank: place as u16,
                    size: RANKS as u16,
                    open: true,
                }),
                step: self.step,
                map: rank.map,
                prepared: Some(rank.prepared).filter(|version| *version > 0),
                armed: rank.armed,
                held: rank.held,
            })
            .collect()
    }

    /// Sends an order that may be lost, or carried out without an answer, or late.
    fn send(&mut self, place: usize, order: &Order, terms: Terms, faults: u32) -> Option<Verdict> {
        if !self.chance(faults) {
            return Some(self.apply(place, order, terms));
        }
        match self.random.next_u32() % 3 {
            0 => {}
            1 => {
                self.apply(place, order, terms);
            }
            _ => {
                let when = self.time + LATE + u64::from(self.random.next_u32() % 60);
                self.late.push((when, place, order.clone(), terms));
            }
        }
        None
    }
}

/// How a run differs from a sound one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Guard {
    /// All guards are there.
    Sound,
    /// An arm without an answer counts as confirmed.
    Confirmation,
    /// The group is not held.
    Hold,
}

/// Plays one run. Returns whether a pass began under two maps, how many switches
/// succeeded, and whether the group moves on in the end.
fn play(seed: u64, guard: Guard) -> (bool, u32, bool) {
    let mut world = World::new(seed);
    let mut fence = 1;
    let mut version = 0;
    let mut own = 0;
    let mut switched = 0;
    let mut running: Option<Switch> = None;
    for round in 0..ROUNDS {
        // The last quarter is without faults, so that all comes to an end.
        let faults = if round < ROUNDS * 3 / 4 { 25 } else { 0 };
        if faults > 0 && world.chance(4) {
            // The leader dies; another one takes over after some passes.
            running = None;
            own = 0;
            fence += 1;
            for _ in 0..8 {
                world.pass();
            }
        }
        let mut switch = running.take().unwrap_or_else(|| {
            let reports = world.reports();
            Switch::recover(&reports, fence, own).unwrap_or_else(|| {
                version += 1;
                Switch::new(&reports, fence, fence * 1_000 + version, Vec::new(), LEAD)
            })
        });
        for (place, order, terms) in switch.commands() {
            let skips = guard == Guard::Hold && matches!(order, Order::Hold { .. });
            let verdict = if skips {
                Some(Verdict::Done)
            } else {
                world.send(place, &order, terms, faults)
            };
            let trusts = guard == Guard::Confirmation && matches!(order, Order::Arm { .. });
            let verdict = verdict.or(trusts.then_some(Verdict::Done));
            switch.handle_answer(place, verdict);
            if world.random.next_u32().is_multiple_of(4) {
                world.pass();
            }
        }
        if switch.phase() == Phase::Copy || switch.is_committed() {
            switch.handle_reports(&world.reports(), true);
        }
        switch.end_round();
        world.pass();
        match switch.phase() {
            Phase::End(End::Switched) => {
                switched += 1;
                own = switch.version();
            }
            Phase::End(_) => {}
            _ => running = Some(switch),
        }
    }
    let before = world.step;
    for _ in 0..LEAD {
        world.pass();
    }
    (
        world.mixed,
        switched,
        world.step > before || running.is_some(),
    )
}

/// No fault may let a pass begin under two maps, and none may stop the group for good.
#[test]
fn no_pass_begins_under_two_maps() {
    let mut total = 0;
    for seed in 0..2_000 {
        let (mixed, switched, moves) = play(seed, Guard::Sound);
        assert!(!mixed, "seed {seed}");
        assert!(moves, "seed {seed}: the group is held for good");
        total += switched;
    }
    assert!(
        total > 10_000,
        "only {total} switches, too few to show anything"
    );
}

/// The exploration finds what it looks for: without the confirmation of every rank, or
/// without the hold, passes begin under two maps.
#[test]
fn exploration_finds_removed_guards() {
    for guard in [Guard::Confirmation, Guard::Hold] {
        let found = (0..50).any(|seed| play(seed, guard).0);
        assert!(found, "{guard:?}");
    }
}

/// A leader that finds ranks held or armed undoes that before anything else, and raises
/// the fencing token at every rank first.
#[test]
fn a_new_leader_undoes_what_the_last_one_left() {
    let mut world = World::new(1);
    let terms = |fence| Terms {
        fence,
        expected: 0,
        epoch: 1,
    };
    for place in 0..RANKS {
        let map = Vec::new();
        world.apply(place, &Order::Prepare { version: 5, map }, terms(1));
    }
    world.apply(0, &Order::Hold { step: 3 }, terms(1));
    let arm = Order::Arm {
        version: 5,
        step: 3,
    };
    world.apply(2, &arm, terms(1));
    let Some(mut switch) = Switch::recover(&world.reports(), 2, 0) else {
        panic!("there is something to undo");
    };
    while switch.phase() == Phase::Disarm {
        for (place, order, terms) in switch.commands() {
            let verdict = world.apply(place, &order, terms);
            switch.handle_answer(place, Some(verdict));
        }
    }
    assert_eq!(world.apply(1, &arm, terms(1)), Verdict::Fenced);
    for (place, order, terms) in switch.commands() {
        let verdict = world.apply(place, &order, terms);
        switch.handle_answer(place, Some(verdict));
    }
    assert_eq!(switch.phase(), Phase::End(End::Abandoned));
    for _ in 0..5 {
        world.pass();
    }
    assert!(!world.mixed && world.step == 5);
}

/// A rank that is gone for good answers nothing more; the others say that the group has
/// broken, and the leader must not wait for the one that is gone.
#[test]
fn a_broken_group_ends_the_switch() {
    let world = World::new(1);
    let mut switch = Switch::new(&world.reports(), 1, 7, Vec::new(), LEAD);
    for (place, _, _) in switch.commands() {
        switch.handle_answer(place, (place > 0).then_some(Verdict::Begun));
    }
    assert_eq!(switch.phase(), Phase::Prepare);
    let mut broken = world.reports().swap_remove(1);
    if let Some(group) = &mut broken.group {
        group.open = false;
    }
    switch.handle_report(&broken);
    assert_eq!(switch.phase(), Phase::End(End::Reformed));
}
