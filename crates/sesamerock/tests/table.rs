//! Tests that the routing table keeps the load of upstreams with calls in flight, chooses no
//! upstream that is withdrawn or out of service, and stays bounded in memory.

use bytes::Bytes;
use sesamerock::control::Lease;
use sesamerock::control::view::{ANNOUNCEMENT, Fact, View};
use sesamerock::entry::entries::Announcement;
use sesamerock::entry::table::{Requirements, Table, Target};
use sesamerock::settings::{Entry, Node};
use sesamerock_base::version::Version;
use sesamerock_note::fold::State;
use sesamerock_note::fold::outcome::Outcome;
use sesamerock_note::note::{Kind, Model, Note, Role, Served, Service, Upstream};
use sesamerock_note::record::{Record, ServiceState};
use sesamerock_note::snapshot;
use sesamerock_route::subset;
use sesamerock_wire::relay::Report;

const MODEL: &str = "chalk-7b";
const ZONES: usize = 8;
/// Number of entries in a system of the target size.
const TARGET_ENTRIES: usize = 970;

fn upstream(number: usize, model: &str) -> Upstream {
    Upstream {
        name: format!("engine-{number}"),
        kind: Kind::Engine,
        agent: ([10, 0, (number >> 8) as u8, number as u8], 7_001).into(),
        zone: format!("zone-{}", number % ZONES),
        vm: format!("vm-{number}"),
        models: vec![Served {
            name: model.to_owned(),
            version: None,
            adapters: Vec::new(),
        }],
        role: Role::Mixed,
        group: None,
        rank: None,
        service: None,
        checks_fencing: true,
        checks_sender: false,
        not_repeatable: Vec::new(),
    }
}

fn server(number: usize) -> Upstream {
    Upstream {
        kind: Kind::Service,
        models: Vec::new(),
        service: Some("orders".to_owned()),
        ..upstream(number, "")
    }
}

/// A routing table and the control state that it is updated from.
struct World {
    state: State,
    table: Table,
    entries: usize,
    notes: usize,
}

impl World {
    fn new(upstreams: usize, entries: usize) -> Self {
        let mut world = Self {
            state: State::default(),
            table: Table::new(&Entry::default()),
            entries,
            notes: 0,
        };
        let mut note = Note::default();
        note.add.models.push(Model {
            name: MODEL.to_owned(),
            version: 1,
        });
        note.add.services.push(Service {
            name: "orders".to_owned(),
            not_repeatable: Vec::new(),
        });
        world.publish_note(note);
        for first in (0..upstreams).step_by(100) {
            let mut note = Note::default();
            let last = upstreams.min(first + 100);
            note.add.upstreams = (first..last)
                .map(|number| upstream(number, MODEL))
                .collect();
            world.publish_note(note);
        }
        world
    }

    fn publish_note(&mut self, note: Note) {
        self.notes += 1;
        let record = Record::note(Note {
            id: format!("note-{}", self.notes),
            base: Some(self.state.version()),
            ..note
        });
        self.apply(&record);
    }

    fn apply(&mut self, record: &Record) {
        let bytes = Bytes::from(record.encode());
        let outcome = self.state.apply(self.state.position(), &bytes);
        assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
        self.update();
    }

    fn set_vm_state(&mut self, vm: &str, to: ServiceState) {
        self.notes += 1;
        let id = format!("turn-{}", self.notes);
        self.apply(&Record::vm(id, vm, to, Version(0)));
    }

    fn withdraw(&mut self, name: &str) {
        let mut note = Note::default();
        note.withdraw.upstreams.push(name.to_owned());
        self.publish_note(note);
    }

    /// Updates the table from the control state and the announcements of all entries.
    fn update(&mut self) {
        let facts = (0..self.entries).map(announcement).collect();
        let mut view = View::new(&Node::default(), Lease::default());
        view.state = self.state.clone();
        view.facts = facts;
        self.table.update(&view);
    }

    fn set_entries(&mut self, entries: usize) {
        self.entries = entries;
        self.update();
    }

    fn choose(&mut self, pool: &str) -> Option<Target> {
        self.table.choose(&requirements(pool)).ok()
    }

    fn own_calls(&self, name: &str) -> Option<u32> {
        self.table
            .load(name)
            .map(sesamerock_route::load::Load::own_calls)
    }
}

fn announcement(number: usize) -> Fact {
    let announcement = Announcement {
        name: format!("entry-{number}"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "zone-0".to_owned(),
        region: "local".to_owned(),
        vm: format!("vm-entry-{number}"),
        leaving: false,
    };
    let value = serde_json::to_vec(&announcement).expect("an announcement can be encoded");
    Fact {
        origin: ([127, 0, 0, 1], number as u16).into(),
        key: ANNOUNCEMENT,
        value: value.into(),
    }
}

fn requirements(pool: &str) -> Requirements<'_> {
    Requirements {
        pool,
        service: false,
        workspace: "schools",
        tokens: 100,
        urgency: 3,
        prefix: &[],
        excluded: &[],
        isolated: false,
        send_once: false,
        key: None,
        method: "POST",
        path: "/v1/completions",
    }
}

/// Starts one call at each upstream, then shrinks the subset by adding entries. Returns the
/// targets of the calls at upstreams that are no longer in the subset.
fn targets_outside_subset(world: &mut World) -> Vec<Target> {
    let names: Vec<_> = world.state.upstreams().iter().map(|(key, _)| key).collect();
    let names: Vec<_> = names
        .into_iter()
        .map(|key| world.state.upstreams().name(key).to_owned())
        .collect();
    let targets: Vec<_> = names
        .iter()
        .map(|name| {
            world
                .table
                .choose_named(name, &requirements(MODEL))
                .expect("the upstream is known")
        })
        .collect();
    world.set_entries(TARGET_ENTRIES);
    let size = subset::size(names.len(), TARGET_ENTRIES, subset::Settings::default());
    assert!(
        size + ZONES < names.len(),
        "the subset contains all upstreams"
    );
    let mut subset = std::collections::HashSet::new();
    while let Some(target) = world.choose(MODEL) {
        subset.insert(target.choice.upstream);
        world.table.record_end(&target);
        if subset.len() + ZONES >= size && world.own_calls(&target.name) == Some(1) {
            break;
        }
    }
    targets
        .into_iter()
        .filter(|target| !subset.contains(&target.choice.upstream))
        .collect()
}

/// Guards against an upstream that appears idle when it returns to the subset because its load
/// was dropped while it had calls in flight.
#[test]
fn upstream_outside_the_subset_keeps_the_load_of_calls_in_flight() {
    let mut world = World::new(400, 1);
    let outside = targets_outside_subset(&mut world);
    assert!(!outside.is_empty());
    for target in &outside {
        let report = Report {
            calls_in_flight: 7,
            ..Report::default()
        };
        world.table.record_report(target, &report);
        assert_eq!(world.own_calls(&target.name), Some(1), "{}", target.name);
    }
    world.set_entries(1);
    for target in &outside {
        let load = world
            .table
            .load(&target.name)
            .expect("the upstream is tracked");
        assert_eq!(load.own_calls(), 1, "{}", target.name);
        assert_eq!(load.last_report().map(|report| report.calls), Some(7));
    }
}

/// Guards against memory that grows with every upstream ever called: an upstream outside the
/// subset is dropped when its last call ends.
#[test]
fn upstream_outside_the_subset_is_dropped_with_its_last_call() {
    let mut world = World::new(400, 1);
    let targets = targets_outside_subset(&mut world);
    let before = world.table.tracked();
    for target in &targets {
        world.table.record_end(target);
        world.table.record_no_answer(target);
    }
    let size = subset::size(400, TARGET_ENTRIES, subset::Settings::default());
    assert!(world.table.tracked() < before);
    assert!(world.table.tracked() <= size + ZONES);
}

/// Guards against load records for upstreams that this entry never uses.
#[test]
fn tracked_upstreams_are_bounded_by_the_subset() {
    let size = |pool| subset::size(pool, TARGET_ENTRIES, subset::Settings::default());
    let world = World::new(2_000, TARGET_ENTRIES);
    assert!(world.table.tracked() >= size(2_000) - ZONES);
    assert!(world.table.tracked() <= size(2_000) + ZONES);
    assert_eq!(world.table.status().len(), 2_000);
}

/// Guards against new calls for an upstream that a note has withdrawn while an earlier call is
/// still in flight there, and against the loss of its load when a note adds it again.
#[test]
fn withdrawn_upstream_gets_no_new_calls_and_keeps_its_load_until_idle() {
    let mut world = World::new(3, 1);
    let target = world
        .table
        .choose_named("engine-1", &requirements(MODEL))
        .expect("the upstream is known");
    world.withdraw("engine-1");
    for _ in 0..200 {
        let other = world.choose(MODEL).expect("two upstreams remain");
        assert_ne!(&*other.name, "engine-1");
        world
            .table
            .record_outcome(&other, sesamerock_route::pick::Outcome::Neutral);
        world.table.record_end(&other);
    }
    assert!(
        world
            .table
            .choose_named("engine-1", &requirements(MODEL))
            .is_none()
    );
    assert_eq!(world.own_calls("engine-1"), Some(1));
    let mut note = Note::default();
    note.add.upstreams.push(upstream(1, MODEL));
    world.publish_note(note);
    assert_eq!(world.own_calls("engine-1"), Some(1));
    world.withdraw("engine-1");
    world.table.record_end(&target);
    assert_eq!(world.own_calls("engine-1"), None);
}

/// Guards against the end of a call that is counted for another upstream: the key of a dropped
/// upstream must not be reused.
#[test]
fn keys_of_dropped_upstreams_are_not_issued_again() {
    let mut world = World::new(1, 1);
    let old = world.choose(MODEL).expect("the upstream serves");
    world.table.record_end(&old);
    world.withdraw("engine-0");
    let mut note = Note::default();
    note.add.upstreams.push(upstream(1, MODEL));
    world.publish_note(note);
    let new = world.choose(MODEL).expect("the upstream serves");
    assert_ne!(new.choice.upstream, old.choice.upstream);
    world.table.record_end(&old);
    assert_eq!(world.own_calls("engine-1"), Some(1));
}

/// Guards against a second attempt that queues at a full upstream or goes to an upstream whose
/// agent does not answer. First attempts may do both.
#[test]
fn the_upstream_of_a_second_attempt_has_room_and_answers() {
    let mut world = World::new(2, 1);
    let first = world.choose(MODEL).expect("the upstream serves");
    let excluded = [first.choice.upstream];
    let other = Requirements {
        excluded: &excluded,
        ..requirements(MODEL)
    };
    let second = world
        .table
        .choose_available(&other)
        .expect("the upstream has room");
    assert_ne!(second.choice.upstream, first.choice.upstream);
    let full = Report {
        call_limit: 1,
        calls_in_flight: 1,
        credits: 0,
        credits_ms: 60_000,
        ..Report::default()
    };
    world.table.record_report(&second, &full);
    world
        .table
        .choose_available(&other)
        .expect_err("the upstream is full");
    world
        .table
        .choose(&other)
        .expect("a first attempt may queue");
    world.table.record_no_answer(&second);
    world
        .table
        .choose_available(&other)
        .expect_err("the agent does not answer");
    world
        .table
        .choose(&other)
        .expect("a first attempt may use the only upstream");
}

/// Guards against a stalled server that keeps receiving look-ups because each is cancelled once
/// its second attempt has answered, and against a server that is avoided after a single slow
/// call.
#[test]
fn an_upstream_overtaken_three_times_in_a_row_is_avoided() {
    let mut world = World::new(2, 1);
    let slow = world.choose(MODEL).expect("the upstream serves");
    let fast = [1 - slow.choice.upstream.0].map(sesamerock_base::key::Upstream);
    let only_slow = Requirements {
        excluded: &fast,
        ..requirements(MODEL)
    };
    let usable = |world: &mut World| match world.table.choose_available(&only_slow) {
        Ok(target) => {
            world.table.record_end(&target);
            true
        }
        Err(_) => false,
    };
    for round in 0..2 {
        world.table.record_overtaken(&slow);
        world.table.record_overtaken(&slow);
        assert!(usable(&mut world), "after two, round {round}");
        world.table.record_report(&slow, &Report::default());
    }
    for _ in 0..3 {
        world.table.record_overtaken(&slow);
    }
    assert!(!usable(&mut world), "after three");
    world.table.record_report(
        &slow,
        &Report {
            credits: 8,
            credits_ms: 60_000,
            ..Report::default()
        },
    );
    assert!(usable(&mut world), "after an answer");
}

/// Guards against calls to a VM that is out of service, and against an upstream that stays out
/// of service after its VM has returned.
#[test]
fn upstream_on_a_vm_out_of_service_gets_no_calls_until_the_vm_returns() {
    let mut world = World::new(1, 1);
    world.set_vm_state("vm-0", ServiceState::Out);
    assert!(world.choose(MODEL).is_none());
    assert!(!world.table.status()["engine-0"].serving);
    world.set_vm_state("vm-0", ServiceState::In);
    assert!(world.choose(MODEL).is_some());
}

/// Guards against routing by keys of an earlier state: a state restored from a snapshot gives
/// its entries other keys.
#[test]
fn restored_state_keeps_the_load() {
    let mut world = World::new(50, 1);
    world.withdraw("engine-3");
    let target = world.choose(MODEL).expect("an upstream serves");
    let parts = snapshot::parts(snapshot::encode(&world.state));
    world.state = snapshot::restore(&parts).expect("the snapshot is complete");
    // One that runs a call stays tracked.
    let idle = ["engine-4", "engine-5"]
        .into_iter()
        .find(|name| *name != &*target.name);
    world.withdraw(idle.expect("two names"));
    assert_eq!(world.own_calls(&target.name), Some(1));
    assert_eq!(world.table.tracked(), 48, "{}", target.name);
    for _ in 0..200 {
        let chosen = world.choose(MODEL).expect("an upstream serves");
        let (_, entry) = world
            .state
            .upstreams()
            .find(&chosen.name)
            .expect("the upstream exists");
        assert_eq!(chosen.agent, entry.agent);
        world
            .table
            .record_outcome(&chosen, sesamerock_route::pick::Outcome::Neutral);
        world.table.record_end(&chosen);
    }
}

/// Guards against two entries that send one key to different servers because
/// each knows only its subset.
#[test]
fn all_servers_of_a_service_are_tracked() {
    let mut world = World::new(0, TARGET_ENTRIES);
    let mut note = Note::default();
    note.add.upstreams = (0..200).map(server).collect();
    world.publish_note(note);
    assert_eq!(world.table.tracked(), 200);
}

/// Guards against memory that grows with each unknown model name that a caller sends.
#[test]
fn unknown_models_use_no_memory() {
    let mut world = World::new(3, 1);
    let before = world.table.name_count();
    for number in 0..100 {
        assert!(world.choose(&format!("unknown-{number}")).is_none());
    }
    assert_eq!(world.table.name_count(), before);
}

/// Guards against new calls for the ranks of a group in which another rank is withdrawn or out
/// of service: the control state changes only the entry or the VM of that other rank.
#[test]
fn a_group_gets_no_calls_while_one_of_its_ranks_is_unavailable() {
    let mut world = World::new(0, 1);
    let mut note = Note::default();
    note.add.upstreams = (0..4)
        .map(|number| Upstream {
            group: Some(format!("g{}", number / 2)),
            rank: Some(number as u32 % 2),
            ..upstream(number, MODEL)
        })
        .collect();
    world.publish_note(note);
    let groups = |world: &mut World| {
        let targets = (0..60).map(|_| {
            let target = world.choose(MODEL).expect("a rank");
            world.table.record_end(&target);
            let rank = target.rank();
            (target.group.expect("a group").to_string(), rank)
        });
        targets.collect::<std::collections::BTreeSet<_>>()
    };
    let pairs = |pairs: &[(&str, &str)]| {
        let pairs = pairs.iter();
        pairs
            .map(|(group, rank)| ((*group).to_owned(), (*rank).to_owned()))
            .collect()
    };
    let first = [("g0", "0"), ("g0", "1")];
    let second = [("g1", "0"), ("g1", "1")];
    assert_eq!(groups(&mut world), pairs(&[first, second].concat()));
    world.set_vm_state("vm-1", ServiceState::Out);
    assert_eq!(
        groups(&mut world),
        pairs(&second),
        "rank 1 is out of service"
    );
    world.set_vm_state("vm-1", ServiceState::In);
    assert_eq!(groups(&mut world), pairs(&[first, second].concat()));
    world.withdraw("engine-2");
    assert_eq!(groups(&mut world), pairs(&first), "rank 0 is missing");
    world.set_vm_state("vm-0", ServiceState::Out);
    assert_eq!(
        groups(&mut world).len(),
        2,
        "no group is complete, so the ranks of both serve"
    );
}
