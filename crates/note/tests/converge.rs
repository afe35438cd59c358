//! Nodes that read the same log compute the same state, whatever the delivery
//! timing was.

mod support;

use quickcheck::{QuickCheck, TestResult};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;
use sesamerock_note::control::{Control, Relation};
use sesamerock_note::fold::State;
use sesamerock_note::fold::outcome::{Outcome, Verdict};
use sesamerock_note::record::{Record, ServiceState};
use sesamerock_note::snapshot;
use support::{Rows, accept, engine, model, note, random_record, small_state};

/// Appends random records, with repeated appends and snapshots among them.
fn random_log(rng: &mut ChaCha8Rng, len: usize) -> Vec<Vec<u8>> {
    let mut state = State::default();
    let mut log: Vec<Vec<u8>> = Vec::new();
    while log.len() < len {
        let version = state.version().0;
        let mut batch = match rng.random_range(0..12) {
            0 if !log.is_empty() => vec![log[rng.random_range(0..log.len())].clone()],
            1 => snapshot::encode(&state)
                .iter()
                .map(Record::encode)
                .collect(),
            2 => vec![b"{\"format\":1}".to_vec()],
            _ => vec![random_record(rng, log.len(), version).encode()],
        };
        for bytes in &batch {
            state.apply(state.position(), bytes);
        }
        log.append(&mut batch);
    }
    log
}

fn fold(log: &[Vec<u8>]) -> State {
    let mut state = State::default();
    for bytes in log {
        state.apply(state.position(), bytes);
    }
    state
}

fn verdicts(state: &State) -> Vec<(String, Verdict)> {
    let pair =
        |past: &sesamerock_note::fold::past::PastVerdict| (past.id.clone(), past.verdict.clone());
    state.verdicts().map(pair).collect()
}

fn restore(state: &State) -> State {
    let parts = snapshot::parts(snapshot::encode(state));
    snapshot::restore(&parts).expect("a whole snapshot")
}

/// Guards against a state that depends on the delivery order: records arrive
/// early, late and repeatedly, as from several peers.
#[test]
fn any_order_of_duplicates_gives_the_same_state() {
    fn holds(seed: u64) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let log = random_log(&mut rng, 60);
        let whole = fold(&log);
        let mut state = State::default();
        let mut last = state.version();
        while (state.position() as usize) < log.len() {
            let offset = rng.random_range(0..log.len());
            let near = rng.random_range(0..4);
            let offset = if near == 0 {
                offset
            } else {
                state.position() as usize
            };
            let before = state.hash();
            let outcome = state.apply(offset as u64, &log[offset]);
            if matches!(outcome, Outcome::Gap { .. } | Outcome::Behind { .. }) {
                assert_eq!(before, state.hash());
            }
            assert!(state.version() >= last, "the version decreased");
            last = state.version();
        }
        state.hash() == whole.hash() && verdicts(&state) == verdicts(&whole)
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Guards against a node that starts from a snapshot in the middle giving other
/// verdicts than one that read the whole log, also while another snapshot is
/// half written.
#[test]
fn node_started_from_a_snapshot_gives_the_same_verdicts() {
    fn holds(seed: u64, at: usize) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let log = random_log(&mut rng, 80);
        let middle = fold(&log[..at % log.len()]);
        let mut started = restore(&middle);
        assert_eq!(started.hash(), middle.hash());
        assert_eq!(snapshot::encode(&started), snapshot::encode(&middle));
        while (started.position() as usize) < log.len() {
            let offset = started.position();
            started.apply(offset, &log[offset as usize]);
        }
        let whole = fold(&log);
        started.hash() == whole.hash()
            && verdicts(&started) == verdicts(&whole)
            && snapshot::encode(&started) == snapshot::encode(&whole)
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(u64, usize) -> bool);
}

/// Guards against verdicts that list conflicts in the order in which a process
/// interned the names: two adapters use the withdrawn model, and a restored
/// state knows them in another order.
#[test]
fn conflicts_do_not_depend_on_the_order_of_names() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut state = State::default();
        let mut first = note("first", 0);
        first.add.models.push(model("chat", 1));
        let mut pinned = engine("e", &["chat"]);
        pinned.models[0].version = Some(1);
        for _ in 0..4 {
            let name = format!("n{}", rng.random_range(0..1_000_000));
            first.add.adapters.push(support::adapter(&name, "chat", 1));
            pinned.name = name;
            first.add.upstreams.push(pinned.clone());
        }
        accept(&mut state, first);
        let mut restored = restore(&state);
        let mut raise = note("raise", 1);
        raise.change.models.push(model("chat", 2));
        raise.withdraw.versions.push(support::release("chat", 1));
        let mut withdraw = note("withdraw", 1);
        withdraw.withdraw.models.push("chat".to_owned());
        for bad in [raise, withdraw] {
            let conflicts = support::reject(&mut state, bad.clone());
            assert_eq!(conflicts, support::reject(&mut restored, bad));
        }
    }
}

/// Guards against a decoder that panics or a bad record that changes entries.
#[test]
fn any_bytes_change_nothing() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn holds(bytes: Vec<u8>, cut: usize, flip: usize) -> TestResult {
        let mut state = small_state();
        let before = state.rows_text();
        state.apply(state.position(), &bytes);
        let mut change = note("n1", 1);
        change.change.upstreams.push(engine("e1", &[]));
        let mut damaged = Record::note(change).encode();
        damaged.truncate(cut % damaged.len());
        state.apply(state.position(), &damaged);
        if !damaged.is_empty() {
            let at = flip % damaged.len();
            damaged[at] ^= 1 << (flip % 8);
        }
        state.apply(state.position(), &damaged);
        TestResult::from_bool(before == state.rows_text())
    }
    QuickCheck::new()
        .tests(5_000)
        .quickcheck(holds as fn(Vec<u8>, usize, usize) -> TestResult);
}

/// Guards against a damaged record that is read as another valid one: whatever
/// a flipped bit yields, all nodes get the same state and none panics.
#[test]
fn damaged_records_give_the_same_state_on_every_node() {
    fn holds(seed: u64) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut log = random_log(&mut rng, 30);
        for bytes in &mut log {
            if rng.random() {
                let at = rng.random_range(0..bytes.len());
                bytes[at] ^= 1 << rng.random_range(0..8);
            }
        }
        let whole = fold(&log);
        let mut started = restore(&fold(&log[..15]));
        while (started.position() as usize) < log.len() {
            let offset = started.position();
            started.apply(offset, &log[offset as usize]);
        }
        started.hash() == whole.hash()
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Guards against an incremental digest that diverges from the entries.
#[test]
fn hash_depends_on_content_only() {
    fn holds(seed: u64) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let log = random_log(&mut rng, 60);
        let state = fold(&log);
        restore(&state).hash() == state.hash()
    }
    QuickCheck::new()
        .tests(200)
        .quickcheck(holds as fn(u64) -> bool);
}

/// A node that reads a log and may have to reconcile it.
struct Node {
    control: Control,
    highest: Version,
}

impl Node {
    fn new() -> Self {
        Self {
            control: Control::default(),
            highest: Version::default(),
        }
    }

    /// Reads the log to its head, restarting at a lower head as a reader does.
    fn read(&mut self, log: &[Vec<u8>]) {
        let position = self.control.position() as usize;
        let rewritten = position
            .checked_sub(1)
            .and_then(|last| Some(self.control.apply(last as u64, log.get(last)?)))
            .is_some_and(|outcome| outcome == Outcome::Rewritten);
        if position > log.len() || rewritten {
            self.control.restart(Moment(0), State::default());
        }
        while (self.control.position() as usize) < log.len() {
            let offset = self.control.position();
            self.control.apply(offset, &log[offset as usize]);
            assert!(
                self.control.version() >= self.highest,
                "the version decreased"
            );
            self.highest = self.control.version();
        }
    }
}

/// Guards against versions decreasing, lost notes and nodes that disagree when
/// the log loses its tail: nodes lag differently, notes are appended before the
/// survivors reconcile, and a new process starts empty.
#[test]
fn nodes_agree_after_the_log_lost_its_tail() {
    fn holds(seed: u64) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut log = random_log(&mut rng, 40);
        let mut nodes: Vec<_> = (0..4).map(|_| Node::new()).collect();
        for node in &mut nodes {
            let len = rng.random_range(20..=log.len());
            node.read(&log[..len]);
        }
        log.truncate(rng.random_range(0..=20));
        nodes.push(Node::new());
        for _ in 0..rng.random_range(0..4) {
            let version = log.len() as u64;
            let serial = 1_000 + log.len();
            log.push(random_record(&mut rng, serial, version).encode());
        }
        let mut rounds = 0;
        loop {
            for node in &mut nodes {
                node.read(&log);
            }
            let survivor = nodes.iter().find(|node| node.control.unlogged().is_some());
            let Some(survivor) = survivor else {
                break;
            };
            let parts = survivor.control.snapshot();
            log.extend(parts.iter().map(Record::encode));
            rounds += 1;
            assert!(rounds < 20, "the nodes never reconcile");
        }
        let version = nodes[0].control.version();
        let hash = nodes[0].control.log().hash();
        nodes
            .iter()
            .all(|node| node.control.compare(version, hash) == Relation::Same)
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Guards against an accepted note being reverted by a log that restarts empty.
#[test]
fn accepted_note_survives_an_empty_log() {
    let mut survivor = Node::new();
    let mut log = Vec::new();
    let mut first = note("first", 0);
    first.add.models.push(model("chat", 3));
    log.push(Record::note(first).encode());
    let mut second = note("second", 1);
    second.add.upstreams.push(engine("e1", &["chat"]));
    log.push(Record::note(second).encode());
    survivor.read(&log);
    log.clear();
    survivor.read(&log);
    assert_eq!(survivor.control.version(), Version(2));
    assert!(survivor.control.unlogged().is_some());
    assert!(survivor.control.state().upstreams().find("e1").is_some());

    log.extend(survivor.control.snapshot().iter().map(Record::encode));
    survivor.read(&log);
    let mut fresh = Node::new();
    fresh.read(&log);
    assert!(survivor.control.unlogged().is_none());
    assert_eq!(survivor.control.version(), Version(3));
    let (version, hash) = (survivor.control.version(), survivor.control.log().hash());
    assert_eq!(fresh.control.compare(version, hash), Relation::Same);
    assert!(fresh.control.state().verdict("second").is_some());
    let mut state = fresh.control.state().clone();
    let mut third = note("third", 3);
    third.change.upstreams.push(engine("e1", &[]));
    accept(&mut state, third);
}

/// Guards against a zone command that is overridden by a command the log lost:
/// its version must exceed every version its publisher had seen.
#[test]
fn zone_command_after_a_lost_tail_wins() {
    let mut node = Node::new();
    let mut log: Vec<Vec<u8>> = Vec::new();
    for (id, to) in [
        ("1", ServiceState::Out),
        ("2", ServiceState::In),
        ("3", ServiceState::In),
    ] {
        log.push(Record::zone(id, "a", to, Version(log.len() as u64)).encode());
    }
    node.read(&log);
    log.clear();
    node.read(&log);
    let seen = node.control.version();
    log.push(Record::zone("4", "a", ServiceState::Out, seen).encode());
    node.read(&log);
    let out = |node: &Node| {
        let state = node.control.state();
        let key = state.zones().key("a").expect("the zone");
        state.zone_out(key)
    };
    assert!(out(&node));
    log.extend(node.control.snapshot().iter().map(Record::encode));
    node.read(&log);
    let mut fresh = Node::new();
    fresh.read(&log);
    assert!(out(&node) && out(&fresh));
}
