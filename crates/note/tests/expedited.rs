//! Orders ahead of the fold.

mod support;

use quickcheck::{Gen, QuickCheck};
use sesamerock_base::version::Version;
use sesamerock_note::expedited::{ExpeditedCommands, StopCommand};
use sesamerock_note::fold::State;
use sesamerock_note::record::{Record, ServiceState};
use support::note;

fn zone(id: u64, to: ServiceState) -> Vec<u8> {
    Record::zone(format!("turn-{id}"), "north", to, Version(0)).encode()
}

/// Guards against records that permit work taking effect before their turn, and
/// against a damaged order that counts.
#[test]
fn only_records_that_take_something_out_are_orders() {
    let out = ServiceState::Out;
    assert_eq!(
        StopCommand::decode(&zone(1, out)),
        Some(StopCommand::Zone("north".to_owned()))
    );
    let vm = Record::vm("turn-2", "vm-1", out, Version(0)).encode();
    assert_eq!(
        StopCommand::decode(&vm),
        Some(StopCommand::Vm("vm-1".to_owned()))
    );
    assert_eq!(StopCommand::decode(&zone(3, ServiceState::In)), None);
    assert_eq!(
        StopCommand::decode(&Record::note(note("n", 0)).encode()),
        None
    );
    let bad = Record::zone("turn-4", "no name", out, Version(0)).encode();
    assert_eq!(
        StopCommand::decode(&bad),
        None,
        "a name that the fold rejects"
    );
    assert_eq!(StopCommand::decode(b"{"), None);
    let long = "x".repeat(2_000);
    let long = Record::zone("turn-5", &long, out, Version(0)).encode();
    assert_eq!(StopCommand::decode(&long), None);
}

/// Guards against an order that outlives its record, or counts after it.
#[test]
fn an_order_holds_until_the_fold_reaches_it() {
    let order = || StopCommand::Zone("north".to_owned());
    let mut ahead = ExpeditedCommands::default();
    assert!(ahead.add(Version(3), Version(9), order()));
    assert!(!ahead.add(Version(3), Version(9), order()), "known");
    assert!(ahead.zone_out("north") && !ahead.zone_out("south"));
    assert!(!ahead.vm_out("north"));
    assert!(!ahead.settle(Version(8)) && ahead.zone_out("north"));
    assert!(ahead.settle(Version(9)) && ahead.is_empty());
    assert!(!ahead.add(Version(9), Version(9), order()), "folded");
    assert!(!ahead.add(Version(9), Version(u64::MAX), order()), "absurd");
    let taken = (10..10_000).filter(|v| ahead.add(Version(9), Version(*v), order()));
    assert!(taken.count() < 1_000, "unbounded");
}

/// Guards against nodes that end in different states because they learned of
/// orders at different times, and against work between an order and its fold.
#[test]
fn orders_at_any_time_stop_work_and_leave_the_fold_alone() {
    fn check(turns: Vec<bool>, early: Vec<u8>) -> bool {
        let turns = turns.into_iter().zip(0..);
        let records: Vec<_> = turns
            .map(|(out, id)| {
                zone(
                    id,
                    if out {
                        ServiceState::Out
                    } else {
                        ServiceState::In
                    },
                )
            })
            .collect();
        let early: Vec<_> = early.into_iter().map(usize::from).collect();
        let (mut with, mut without) = (State::default(), State::default());
        let mut ahead = ExpeditedCommands::default();
        let mut stopped = true;
        for (offset, bytes) in records.iter().enumerate() {
            // Orders of later records come in at this time.
            for distance in &early {
                let later = offset + distance;
                let order = records
                    .get(later)
                    .and_then(|bytes| StopCommand::decode(bytes));
                if let Some(order) = order {
                    let version = Version(later as u64 + 1);
                    ahead.add(with.version(), version, order);
                    stopped &= ahead.zone_out("north");
                }
            }
            let before = with.version();
            with.apply(offset as u64, bytes);
            without.apply(offset as u64, bytes);
            ahead.settle(with.version());
            stopped &= with.version() > before;
        }
        stopped && ahead.is_empty() && with.hash() == without.hash()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 7))
        .tests(500)
        .quickcheck(check as fn(Vec<bool>, Vec<u8>) -> bool);
}
