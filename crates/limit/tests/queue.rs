//! Fairness, bounds and order of the queue.

use std::collections::BTreeMap;

use quickcheck::quickcheck;
use sesamerock_base::key::Workspace;
use sesamerock_base::time::Moment;
use sesamerock_limit::queue::{Item, LEVELS, PushOutcome, Queue, Settings};

const FAR_FUTURE: Moment = Moment(u64::MAX / 2);
const MAX_TOKENS: u64 = 4000;

fn item(call: u64, workspace: u32, tokens: u64, urgency: u8) -> Item {
    Item {
        call,
        workspace: Workspace(workspace),
        tokens,
        urgency,
        latest_start: FAR_FUTURE,
    }
}

quickcheck! {
    /// Fails if a workspace with a continuous backlog gets less than its share,
    /// up to a quantum and one call, whatever the costs of the others' calls.
    fn backlogged_workspaces_get_equal_tokens(costs: Vec<u16>, served: u8) -> bool {
        let settings = Settings::default();
        let mut queue = Queue::new(settings);
        let workspaces = costs.len().clamp(2, 8) as u32;
        let mut call = 0;
        let cost = |workspace: u32, call: u64| {
            let index = (call as usize * 7 + workspace as usize) % costs.len().max(1);
            u64::from(costs.get(index).copied().unwrap_or(1)) % MAX_TOKENS + 1
        };
        let mut push = |queue: &mut Queue, workspace: u32| {
            call += 1;
            queue.push(item(call, workspace, cost(workspace, call), 3));
        };
        for workspace in 0..workspaces {
            push(&mut queue, workspace);
            push(&mut queue, workspace);
        }
        let mut served_tokens: BTreeMap<u32, u64> = (0..workspaces).map(|w| (w, 0)).collect();
        for _ in 0..u32::from(served) * 4 {
            let Some(next) = queue.pop() else { return false };
            *served_tokens.entry(next.workspace.0).or_default() += next.tokens;
            push(&mut queue, next.workspace.0);
        }
        let most = served_tokens.values().max().copied().unwrap_or(0);
        let least = served_tokens.values().min().copied().unwrap_or(0);
        most - least <= 2 * (MAX_TOKENS + settings.quantum)
    }

    /// Fails if pushes, removals and service in any order lose a call, return a
    /// call twice, or leave records behind, which would grow without bound.
    fn calls_leave_exactly_once_and_memory_is_bounded(ops: Vec<(u8, u8)>) -> bool {
        let settings = Settings { calls: 16, ..Settings::default() };
        let mut queue = Queue::new(settings);
        let mut queued: BTreeMap<u64, Item> = BTreeMap::new();
        for (call, (kind, byte)) in ops.into_iter().enumerate() {
            match kind % 4 {
                0 | 1 => {
                    let new = item(call as u64, u32::from(byte), u64::from(byte) + 1, byte % 9);
                    match queue.push(new) {
                        PushOutcome::Queued => drop(queued.insert(new.call, new)),
                        PushOutcome::Evicted(old) => {
                            assert_eq!(queued.remove(&old.call), Some(old));
                            queued.insert(new.call, new);
                        }
                        PushOutcome::Full => assert_eq!(queued.len(), settings.calls),
                        PushOutcome::Duplicate => return false,
                    }
                }
                2 => {
                    let peeked = queue.peek();
                    let popped = queue.pop();
                    assert_eq!(peeked, popped);
                    assert_eq!(popped.and_then(|i| queued.remove(&i.call)), popped);
                }
                _ => {
                    let call = queued.keys().nth(usize::from(byte) % queued.len().max(1)).copied();
                    let removed = call.and_then(|call| queue.remove(call));
                    assert_eq!(removed, call.and_then(|call| queued.remove(&call)));
                }
            }
            assert_eq!(queue.len(), queued.len());
            assert_eq!(queue.tokens(), queued.values().map(|i| i.tokens).sum::<u64>());
            assert!(queue.flows() <= settings.calls);
            assert!(queue.elements() <= 5 * settings.calls + 8 * (queue.flows() + LEVELS));
        }
        while let Some(next) = queue.pop() {
            assert_eq!(queued.remove(&next.call), Some(next));
        }
        queued.is_empty() && queue.flows() == 0 && queue.elements() <= 8 * LEVELS
    }
}

/// Fails if low priority starves while high priority has an endless backlog, or
/// gets more than its bounded share.
#[test]
fn lower_levels_get_a_bounded_share() {
    let settings = Settings::default();
    let mut queue = Queue::new(settings);
    let mut served = [0_u64; 8];
    for call in 0..64 {
        queue.push(item(call, 1, 100, 0));
        queue.push(item(1_000_000 + call, 2, 100, 7));
    }
    for call in 64..10_064 {
        let next = queue.pop().expect("both levels are backlogged");
        served[usize::from(next.urgency)] += next.tokens;
        let base = if next.urgency == 0 { 0 } else { 1_000_000 };
        queue.push(item(base + call, next.workspace.0, 100, next.urgency));
    }
    let share = served[7] as f64 / served[0] as f64;
    let expected = 1.0 / settings.lower_share as f64;
    assert!((share / expected - 1.0).abs() < 0.1, "share {share}");
}

/// Fails if one workspace can fill the queue and lock the others out, or if low
/// priority displaces high priority.
#[test]
fn a_full_queue_evicts_from_the_lowest_level_and_largest_backlog() {
    let settings = Settings {
        calls: 4,
        ..Settings::default()
    };
    let mut queue = Queue::new(settings);
    for call in 0..4 {
        queue.push(item(call, 1, 100, 3));
    }
    assert_eq!(queue.push(item(4, 1, 100, 3)), PushOutcome::Full);
    assert_eq!(queue.push(item(5, 2, 100, 4)), PushOutcome::Full);
    let newest = item(3, 1, 100, 3);
    assert_eq!(queue.push(item(6, 2, 100, 3)), PushOutcome::Evicted(newest));
    let newest = item(2, 1, 100, 3);
    assert_eq!(queue.push(item(7, 1, 100, 0)), PushOutcome::Evicted(newest));
    assert_eq!(queue.push(item(7, 1, 100, 0)), PushOutcome::Duplicate);
    assert_eq!(queue.pop().map(|i| i.call), Some(7));
}

/// Guards against a cost of a call that grows with the number of workspaces
/// seen: an operation that scans them all takes minutes here, one of constant
/// cost takes a second. Only the time limit of the test runner detects that.
#[test]
fn call_cost_does_not_grow_with_workspaces() {
    let mut queue = Queue::new(Settings::default());
    let mut popped = 0;
    for call in 0..400_000_u64 {
        queue.push(item(call, (call % 18_000) as u32, 500, 3));
        if call >= 4000 {
            popped += u64::from(queue.pop().is_some());
        }
        assert!(queue.flows() <= Settings::default().calls);
    }
    assert_eq!(popped, 396_000);
}

/// Fails if workspaces whose calls are all cancelled leave records behind.
#[test]
fn cancelled_workspaces_leave_no_records() {
    let mut queue = Queue::new(Settings::default());
    queue.push(item(0, 0, 100, 3));
    for call in 1..10_000_u64 {
        queue.push(item(call, call as u32, 100, 3));
        assert!(queue.remove(call).is_some());
        assert!(queue.elements() <= 32, "{} elements", queue.elements());
    }
    assert_eq!(queue.flows(), 1);
}

/// Regression: two calls of two workspaces with a cost without measure kept `peek` busy for good, one
/// quantum a turn.
#[test]
fn regression_a_senseless_cost_does_not_hang_the_queue() {
    let mut queue = Queue::new(Settings::default());
    for (call, workspace) in [(1, 1), (2, 2), (3, 1), (4, 2)] {
        assert_eq!(
            queue.push(item(call, workspace, u64::MAX, 3)),
            PushOutcome::Queued
        );
    }
    assert_eq!(queue.push(item(5, 3, 100, 3)), PushOutcome::Queued);
    assert!(queue.tokens_ahead(Workspace(4), u64::MAX, 3) > 0);
    let mut served = Vec::new();
    while let Some(next) = queue.pop() {
        served.push(next.call);
    }
    assert_eq!(served.len(), 5);
    assert_eq!(served[0], 5, "the cheap call is served first");
}

quickcheck! {
    /// Skipping the rounds in which no call can be served does not change the order of service.
    fn skipped_rounds_keep_the_order(costs: Vec<(u8, u32)>) -> bool {
        let settings = Settings { calls: usize::MAX, quantum: 7, ..Settings::default() };
        let mut queue = Queue::new(settings);
        let mut flows: BTreeMap<u32, Vec<(u64, u64)>> = BTreeMap::new();
        let mut round: Vec<u32> = Vec::new();
        for (index, (workspace, cost)) in costs.iter().enumerate() {
            let (call, workspace) = (index as u64, u32::from(workspace % 4));
            let cost = u64::from(cost % 5_000) + 1;
            queue.push(item(call, workspace, cost, 3));
            if !round.contains(&workspace) {
                round.push(workspace);
            }
            flows.entry(workspace).or_default().push((call, cost));
        }
        // Deficit round robin, one turn at a time.
        let mut deficits: BTreeMap<u32, u64> = BTreeMap::new();
        while let Some(workspace) = round.first().copied() {
            let only = round.len() == 1;
            let Some(calls) = flows.get_mut(&workspace) else { return false };
            let deficit = deficits.entry(workspace).or_default();
            let (call, cost) = calls[0];
            if *deficit < cost {
                *deficit += if only { cost } else { 7 };
            }
            if *deficit < cost {
                round.rotate_left(1);
                continue;
            }
            if queue.pop().map(|next| next.call) != Some(call) {
                return false;
            }
            *deficit -= cost;
            calls.remove(0);
            if calls.is_empty() {
                deficits.remove(&workspace);
                round.remove(0);
            } else if calls[0].1 > *deficit {
                round.rotate_left(1);
            }
        }
        queue.is_empty()
    }
}
