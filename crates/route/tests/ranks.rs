//! Tests of the selection among ranks that are upstreams of their own.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use sesamerock_base::key::{Group, Model, Upstream};
use sesamerock_base::time::Moment;
use sesamerock_route::choice::{Choice, LossReason, Reason, Request};
use sesamerock_route::hash;
use sesamerock_route::load::Report;
use sesamerock_route::pick::{Picker, Settings};
use sesamerock_route::profile::{LoadedModel, Need, Place, Profile, StepBlocker};

const NOW: Moment = Moment::from_millis(60_000);
const RANKS: u32 = 4;
const DRAWS: usize = 400;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn profile(upstream: u32, group: Option<u32>) -> Profile {
    Profile {
        name: hash::name(upstream.to_le_bytes()),
        models: vec![LoadedModel {
            model: Model(1),
            ..LoadedModel::default()
        }],
        place: group.map(|group| Place {
            group: Group(group),
            rank: (upstream % RANKS) as u16,
            blocker: None,
        }),
        ..Profile::default()
    }
}

/// Makes the report of a rank at usual load with the given own step time and step
/// time of the group, in milliseconds.
fn report(own: u64, step: u64) -> Report {
    Report {
        calls: 6,
        tokens: 6_000,
        call_limit: 12,
        credits: 8,
        credit_ttl: Duration::from_secs(1),
        step: millis(step),
        own_step: millis(own),
        ..Report::default()
    }
}

/// Makes a pool of groups of [`RANKS`] ranks each, followed by single
/// upstreams, all with fresh reports.
fn pool(groups: u32, singles: u32) -> (Picker, Vec<Upstream>) {
    let mut picker = Picker::new(Settings::default());
    let ranks = groups * RANKS;
    for upstream in 0..ranks + singles {
        let group = (upstream < ranks).then_some(upstream / RANKS);
        picker.upsert(Upstream(upstream), profile(upstream, group));
        let own = if group.is_some() { 14 } else { 0 };
        picker.report(Upstream(upstream), report(own, 15), NOW);
    }
    (picker, (0..ranks + singles).map(Upstream).collect())
}

fn request<'a>() -> Request<'a> {
    Request {
        need: Need {
            model: Model(1),
            ..Need::default()
        },
        tokens: 1_000,
        prompt: 300,
        urgency: 3,
        ..Request::default()
    }
}

/// Makes [`DRAWS`] choices at one moment and returns how often each upstream was
/// selected.
fn draw(picker: &Picker, pool: &[Upstream], now: Moment) -> Vec<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut counts = vec![0; pool.len()];
    for _ in 0..DRAWS {
        let choice = picker.pick(&request(), pool, now, &mut rng).expect("one");
        counts[choice.upstream.0 as usize] += 1;
    }
    counts
}

fn choose(picker: &Picker, pool: &[Upstream], request: &Request<'_>) -> Choice {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    picker.pick(request, pool, NOW, &mut rng).expect("a choice")
}

/// Work for the slowest rank lengthens the steps of all ranks, so it must get
/// none.
#[test]
fn straggler_gets_no_work_while_the_others_wait_for_it() {
    let (mut picker, pool) = pool(1, 0);
    picker.report(
        pool[0],
        Report {
            calls: 4,
            tokens: 4_000,
            ..report(28, 28)
        },
        NOW,
    );
    for rank in &pool[1..] {
        picker.report(*rank, report(14, 28), NOW);
    }
    let counts = draw(&picker, &pool, NOW);
    assert_eq!(counts[0], 0, "{counts:?}");
    let choice = choose(&picker, &pool, &request());
    let loser = choice.losers.iter().find(|loser| loser.upstream == pool[0]);
    if loser.is_some_and(|loser| matches!(loser.reason, LossReason::Growth(_))) {
        assert_eq!(choice.reason, Reason::Balance);
    }
    assert!(choice.max_own_step.is_some_and(|own| own < millis(28)));
    assert_eq!(choice.place.map(|place| place.group), Some(Group(0)));
}

/// A straggler without work sends no reports, so the group's step time must show
/// that it is still slow, and later that it has recovered.
#[test]
fn straggler_without_reports_gets_no_work_until_steps_become_short() {
    let (mut picker, pool) = pool(1, 0);
    let idle = Report {
        calls: 0,
        tokens: 0,
        ..report(28, 28)
    };
    picker.report(pool[0], idle, NOW);
    let later = NOW + Duration::from_secs(8);
    for rank in &pool[1..] {
        picker.report(*rank, report(14, 28), later);
    }
    let counts = draw(&picker, &pool, later);
    assert_eq!(counts[0], 0, "still slow: {counts:?}");
    for rank in &pool[1..] {
        picker.report(*rank, report(14, 15), later);
    }
    let counts = draw(&picker, &pool, later);
    assert!(counts[0] > DRAWS / 10, "recovered: {counts:?}");
}

/// A former straggler must get work again if another rank accounts for the long
/// steps.
#[test]
fn straggler_without_reports_gets_work_again_when_another_rank_accounts_for_the_steps() {
    let (mut picker, pool) = pool(1, 0);
    picker.report(
        pool[0],
        Report {
            calls: 0,
            tokens: 0,
            ..report(28, 28)
        },
        NOW,
    );
    let later = NOW + Duration::from_secs(8);
    picker.report(pool[1], report(28, 28), later);
    picker.report(pool[2], report(14, 28), later);
    picker.report(pool[3], report(14, 28), later);
    let counts = draw(&picker, &pool, later);
    assert!(counts[0] > DRAWS / 10, "{counts:?}");
    assert_eq!(counts[1], 0, "{counts:?}");
}

/// Entries with stale reports must not all select the rank with the best report,
/// since they would overload it together.
#[test]
fn stale_reports_spread_work_over_all_ranks() {
    let (mut picker, pool) = pool(1, 0);
    for (rank, own) in pool.iter().zip([15, 10, 12, 14]) {
        picker.report(*rank, report(own, 15), NOW);
    }
    let counts = draw(&picker, &pool, NOW + Duration::from_secs(30));
    assert!(counts.iter().all(|count| *count > DRAWS / 10), "{counts:?}");
    assert!(counts.iter().all(|count| *count < DRAWS / 2), "{counts:?}");
}

/// The step time reported last by any rank must apply to the whole group.
#[test]
fn group_with_shorter_steps_is_preferred() {
    let (mut picker, pool) = pool(2, 0);
    for rank in &pool[..RANKS as usize] {
        picker.report(*rank, report(14, 15), NOW);
    }
    let later = NOW + millis(100);
    picker.report(pool[0], report(14, 60), later);
    let counts = draw(&picker, &pool, later);
    let first: usize = counts[..RANKS as usize].iter().sum();
    assert!(first < DRAWS / 10, "{counts:?}");
}

/// A step needs all ranks of a group, so a rank that is missing, out of service,
/// leaving or stalled must keep new work from the whole group and from no other.
#[test]
fn group_that_cannot_step_gets_no_work_where_another_upstream_serves() {
    let first = 0..RANKS as usize;
    for (groups, singles) in [(2, 0), (1, 1)] {
        for unable in [
            StepBlocker::Missing,
            StepBlocker::Out,
            StepBlocker::Leaving,
            StepBlocker::Stalled,
        ] {
            let (mut picker, pool) = pool(groups, singles);
            let mut blocked_profile = profile(1, Some(0));
            match unable {
                StepBlocker::Out => blocked_profile.out = true,
                StepBlocker::Leaving => blocked_profile.leaving = true,
                StepBlocker::Stalled => {
                    let stalled = Report {
                        stalled: true,
                        ..report(14, 15)
                    };
                    picker.report(pool[1], stalled, NOW);
                }
                _ => blocked_profile.place.as_mut().expect("a place").blocker = Some(unable),
            }
            picker.upsert(pool[1], blocked_profile);
            let counts = draw(&picker, &pool, NOW);
            assert_eq!(counts[first.clone()].iter().sum::<usize>(), 0, "{unable}");
            let choice = choose(&picker, &pool, &request());
            let why = choice.losers.iter().find(|loser| loser.upstream == pool[0]);
            assert_eq!(
                why.map(|loser| loser.reason),
                Some(LossReason::Group(unable))
            );
            // No other upstream serves the call, so it waits for the group.
            let group_only = choose(&picker, &pool[first.clone()], &request());
            assert!(!group_only.elsewhere);
        }
    }
}

/// An agent that does not respond must block its whole group, but a rank that the
/// request excludes must not.
#[test]
fn unreachable_agent_blocks_its_group_and_an_excluded_rank_does_not() {
    let (picker, pool) = pool(2, 0);
    let unreachable = Request {
        unreachable: &pool[..1],
        ..request()
    };
    assert!(choose(&picker, &pool, &unreachable).upstream >= pool[RANKS as usize]);
    let others = &pool[RANKS as usize..];
    let tried: Vec<_> = others.iter().chain(&pool[..1]).copied().collect();
    let excluded = Request {
        excluded: &tried,
        ..request()
    };
    let choice = choose(&picker, &pool, &excluded);
    assert!(pool[1..RANKS as usize].contains(&choice.upstream));
    assert!(choice.elsewhere);
}

/// Work must not go to a group that cannot step because the other group is full.
#[test]
fn full_group_is_better_than_one_that_cannot_step() {
    let (mut picker, pool) = pool(2, 0);
    picker.report(
        pool[0],
        Report {
            stalled: true,
            ..report(14, 15)
        },
        NOW,
    );
    for rank in &pool[RANKS as usize..] {
        picker.report(
            *rank,
            Report {
                credits: 0,
                ..report(14, 15)
            },
            NOW,
        );
    }
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    picker
        .pick(&request(), &pool, NOW, &mut rng)
        .expect_err("no credits");
    let queues = Request {
        may_queue: true,
        ..request()
    };
    assert!(choose(&picker, &pool, &queues).upstream >= pool[RANKS as usize]);
}

/// A stale report of a stall must be ignored, since the group gets no calls whose
/// responses would bring a newer report.
#[test]
fn stalled_group_is_tried_again() {
    let (mut picker, pool) = pool(2, 0);
    for rank in &pool[..RANKS as usize] {
        picker.report(
            *rank,
            Report {
                stalled: true,
                ..report(14, 15)
            },
            NOW,
        );
    }
    let counts = draw(&picker, &pool, NOW + Duration::from_secs(6));
    assert!(
        counts[..RANKS as usize].iter().sum::<usize>() > 0,
        "{counts:?}"
    );
}
