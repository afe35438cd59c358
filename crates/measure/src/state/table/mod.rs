//! Memory and time of an entry's routing table by the number of upstreams and
//! of entries that share them.

use std::time::{Duration, Instant};

use sesamerock::control::Lease;
use sesamerock::control::view::{ANNOUNCEMENT, Fact, View};
use sesamerock::entry::entries::Announcement;
use sesamerock::entry::table::Table;
use sesamerock::settings::{Entry, Node};
use sesamerock_base::version::Version;
use sesamerock_note::fold::State;
use sesamerock_note::fold::outcome::Outcome;
use sesamerock_note::note::Note;
use sesamerock_note::record::{Record, ServiceState};

use super::fleet::Fleet;
use super::{MODELS, SIZES, fold, micros};
use crate::alloc::measured;
use crate::report::Report;

/// Entries that share the upstreams: one alone, which uses all of them, and the
/// target size, where each uses a subset.
const ENTRIES: [usize; 2] = [1, 970];

/// Changes of each kind.
const CHANGES: usize = 50;

/// Runs the measure.
pub fn run(seed: u64, report: &Report) {
    for entries in ENTRIES {
        for upstreams in SIZES {
            one(seed, entries, upstreams, report);
        }
    }
}

fn one(seed: u64, entries: usize, upstreams: usize, report: &Report) {
    let mut fleet = Fleet::new(seed, upstreams, MODELS);
    let mut state = fold(&fleet.log());
    let (mut table, bytes, peak) = measured(|| {
        let mut table = Table::new(&Entry::default());
        table.update(&view(&state, entries));
        table
    });
    let vms: Vec<_> = (0..CHANGES)
        .map(|serial| fleet.entries()[serial].vm.clone())
        .collect();
    let turn = per_change(&mut table, &mut state, entries, |serial, _| {
        let id = format!("turn-{serial}");
        Record::vm(id, &vms[serial], ServiceState::Out, Version(0)).encode()
    });
    let note = per_change(&mut table, &mut state, entries, |serial, version| {
        fleet.change(serial, version.0)
    });
    let names: Vec<_> = (0..CHANGES)
        .map(|serial| fleet.entries()[serial].name.clone())
        .collect();
    let withdrawal = per_change(&mut table, &mut state, entries, |serial, version| {
        let mut note = Note {
            id: format!("withdraw-{serial}"),
            base: Some(version),
            ..Note::default()
        };
        note.withdraw.upstreams.extend(names.get(serial).cloned());
        Record::note(note).encode()
    });
    report.line(&[
        ("table_entries", &entries),
        ("upstreams", &upstreams),
        ("tracked", &table.tracked()),
        ("table_bytes", &bytes),
        ("table_peak_bytes", &peak),
        ("vm_change_us", &micros(turn)),
        ("note_change_us", &micros(note)),
        ("withdrawal_us", &micros(withdrawal)),
    ]);
}

/// Returns the median time that the table takes for a change, without the fold.
fn per_change(
    table: &mut Table,
    state: &mut State,
    entries: usize,
    mut record: impl FnMut(usize, Version) -> Vec<u8>,
) -> Duration {
    let mut times: Vec<_> = (0..CHANGES)
        .map(|serial| {
            let record = record(serial, state.version());
            let outcome = state.apply(state.position(), &record);
            assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
            let view = view(state, entries);
            let started = Instant::now();
            table.update(&view);
            started.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[times.len() / 2]
}

/// Makes the view that an entry has when so many have announced themselves.
fn view(state: &State, entries: usize) -> View {
    let mut view = View::new(&Node::default(), Lease::default());
    view.state = state.clone();
    view.facts = (0..entries).map(announcement).collect();
    view
}

fn announcement(number: usize) -> Fact {
    let address = ([127, 0, 0, 1], number as u16).into();
    let announcement = Announcement {
        name: format!("entry-{number}"),
        address,
        zone: "zone-00".to_owned(),
        region: "local".to_owned(),
        vm: format!("vm-entry-{number}"),
        leaving: false,
    };
    let value = serde_json::to_vec(&announcement).expect("an announcement can be encoded");
    Fact {
        origin: address,
        key: ANNOUNCEMENT,
        value: value.into(),
    }
}
