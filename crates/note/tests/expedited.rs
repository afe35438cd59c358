//! Commands received before their records are folded.

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

/// Guards against records that permit work taking effect before they are
/// folded, and against damaged commands taking effect.
#[test]
fn only_records_that_take_something_out_of_service_are_commands() {
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

/// Guards against a command that stays in effect after its record is folded, or
/// is added after that.
#[test]
fn command_applies_until_the_fold_reaches_it() {
    let command = || StopCommand::Zone("north".to_owned());
    let mut commands = ExpeditedCommands::default();
    assert!(commands.add(Version(3), Version(9), command()));
    assert!(!commands.add(Version(3), Version(9), command()), "known");
    assert!(commands.zone_out("north") && !commands.zone_out("south"));
    assert!(!commands.vm_out("north"));
    assert!(!commands.drop_folded(Version(8)) && commands.zone_out("north"));
    assert!(commands.drop_folded(Version(9)) && commands.is_empty());
    assert!(!commands.add(Version(9), Version(9), command()), "folded");
    assert!(
        !commands.add(Version(9), Version(u64::MAX), command()),
        "above the version limit"
    );
    let taken = (10..10_000).filter(|v| commands.add(Version(9), Version(*v), command()));
    assert!(taken.count() < 1_000, "unbounded");
}

/// Guards against nodes that end in different states because they received
/// commands at different times, and against new work between the arrival of a
/// command and its fold.
#[test]
fn early_commands_stop_work_without_changing_the_fold() {
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
        let mut commands = ExpeditedCommands::default();
        let mut stopped = true;
        for (offset, bytes) in records.iter().enumerate() {
            // Commands of later records arrive at this time.
            for distance in &early {
                let later = offset + distance;
                let command = records
                    .get(later)
                    .and_then(|bytes| StopCommand::decode(bytes));
                if let Some(command) = command {
                    let version = Version(later as u64 + 1);
                    commands.add(with.version(), version, command);
                    stopped &= commands.zone_out("north");
                }
            }
            let before = with.version();
            with.apply(offset as u64, bytes);
            without.apply(offset as u64, bytes);
            commands.drop_folded(with.version());
            stopped &= with.version() > before;
        }
        stopped && commands.is_empty() && with.hash() == without.hash()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 7))
        .tests(500)
        .quickcheck(check as fn(Vec<bool>, Vec<u8>) -> bool);
}
