//! Tests of the plan that a new leader derives from reports.

use sesamerock_group::member::{Command, Engine, Member};
use sesamerock_group::message::{Fence, Held, Message, Report, Window};
use sesamerock_group::plan::{Conflict, merge, start};

const WINDOW: Window = Window {
    from: 211,
    to: 298,
    map: 4,
};

fn fence(counter: u64) -> Fence {
    Fence {
        counter,
        ..Fence::default()
    }
}

/// Makes a member whose engine joined a running group at the start of [`WINDOW`].
fn joined() -> Member {
    let engine = Engine {
        staged: vec![4],
        ..Engine::default()
    };
    let mut member = Member::new(7, &engine);
    member.receive(&Message::Prepare { fence: fence(1) });
    let grant = Message::Grant {
        fence: fence(1),
        incarnation: 7,
        windows: vec![WINDOW],
        confirmed: WINDOW.to,
    };
    let answer = member.receive(&grant);
    assert_eq!(answer.commands.len(), 1, "{answer:?}");
    member
}

/// Guards against a plan that begins at step 0 again, since an engine that
/// joined at step 211 had run none yet.
#[test]
fn an_engine_that_joined_starts_at_its_first_window() {
    let report = joined().report();
    assert_eq!(report.step, WINDOW.from);
    assert_eq!(start(&[&report]), WINDOW.from);
    assert_eq!(merge(&[&report], WINDOW.from), Ok(vec![WINDOW]));
}

/// Guards against the same fault after a restart of the agent without its engine.
#[test]
fn a_new_member_of_an_engine_that_joined_starts_at_its_first_window() {
    let engine = Engine {
        windows: vec![WINDOW],
        ..Engine::default()
    };
    assert_eq!(Member::new(8, &engine).report().step, WINDOW.from);
}

/// Guards against a member that misses a window which a late command of an earlier
/// agent allowed its engine to run, and against replacing a member needlessly.
#[test]
fn a_window_of_an_earlier_agent_makes_the_member_outdated() {
    let member = joined();
    let mut engine = Engine {
        step: 230,
        windows: vec![WINDOW],
        ..Engine::default()
    };
    assert!(!member.is_outdated(&Engine::default()));
    assert!(!member.is_outdated(&engine));
    engine.windows.push(Window {
        from: 298,
        to: 300,
        map: 4,
    });
    assert!(member.is_outdated(&engine));
}

/// Guards against dropping the map of an accepted window before the window is
/// confirmed: the engine would refuse to run it, and the group would stall.
#[test]
fn a_map_is_kept_while_an_accepted_window_needs_it() {
    let engine = Engine {
        staged: vec![4, 5],
        ..Engine::default()
    };
    let mut member = Member::new(7, &engine);
    member.receive(&Message::Prepare { fence: fence(1) });
    let grant = |confirmed| Message::Grant {
        fence: fence(1),
        incarnation: 7,
        windows: vec![WINDOW],
        confirmed,
    };
    member.receive(&grant(0));
    let mut dropped = Vec::new();
    for map in 6..12 {
        let stage = Message::Stage {
            fence: fence(1),
            map,
        };
        let commands = member.receive(&stage).commands;
        dropped.extend(
            commands
                .into_iter()
                .filter(|command| *command == Command::Drop(4)),
        );
    }
    assert_eq!(dropped, Vec::new());
    let commands = member.receive(&grant(WINDOW.to)).commands;
    assert_eq!(commands, vec![Command::Run(WINDOW)]);
}

/// Guards against a leader that plans new windows over steps granted after a gap.
#[test]
fn a_gap_before_a_granted_step_is_an_error() {
    let report = joined().report();
    assert_eq!(merge(&[&report], 0), Err(Conflict { step: 0 }));
}

fn report(windows: &[(Window, Option<Fence>)]) -> Report {
    let held = windows.iter().map(|(window, accepted)| Held {
        window: *window,
        accepted: *accepted,
    });
    Report {
        held: held.collect(),
        ..Report::default()
    }
}

/// Guards against an accepted window that replaces one that may already run, and
/// against a window of a lower token that replaces one of a higher token.
#[test]
fn granted_windows_take_precedence_over_accepted_ones() {
    let window = |from, to, map| Window { from, to, map };
    let one = report(&[(window(0, 4, 1), None), (window(4, 8, 2), Some(fence(2)))]);
    let two = report(&[(window(0, 10, 3), Some(fence(3)))]);
    let three = report(&[(window(0, 12, 5), Some(fence(1)))]);
    let plan = merge(&[&one, &two, &three], 0);
    let expected = vec![window(0, 4, 1), window(4, 10, 3), window(10, 12, 5)];
    assert_eq!(plan, Ok(expected));
}
