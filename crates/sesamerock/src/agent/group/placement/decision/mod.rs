//! Logs the decision of each planning round.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamerock_client::error::Error;
use sesamerock_place::map::{Move, Source};
use sesamerock_place::plan::{Plan, Rejected, Stage};

use crate::settings::placement::Placement;

/// Most moves and most rejected layers listed in a log line.
const MAX_LOGGED: usize = 8;

/// Outcome of a planning round.
#[derive(Debug)]
pub(super) enum Outcome {
    /// Keep the map: no moves are worth their cost.
    Keep,
    /// Switch to the map with this number.
    Switch(u64),
    /// Keep the map: the weight store did not grant the transfers.
    Reserve(Error),
}

/// Returns the number of experts that each rank loads from the weight store.
pub(super) fn store_loads(plan: &Plan) -> BTreeMap<u16, u64> {
    let transfers = plan.moves.iter().filter_map(Move::transfer);
    let mut store_loads = BTreeMap::new();
    for (rank, source) in transfers {
        if source == Source::Store {
            *store_loads.entry(rank).or_default() += 1;
        }
    }
    store_loads
}

/// Logs the decision. A round that searched no placements is logged at debug
/// level, since it decided nothing.
pub(super) fn log(
    group: &str,
    map: u64,
    plan: &Plan,
    outcome: &Outcome,
    compute_time: Duration,
    settings: &Placement,
) {
    let transfers = plan
        .moves
        .iter()
        .filter(|expert_move| expert_move.transfer().is_some());
    let cost = settings.transfer_cost * transfers.count() as u32;
    let saving = settings.lifetime.mul_f64(plan.improvement.max(0.0));
    let named: Vec<_> = plan.moves.iter().take(MAX_LOGGED).map(describe).collect();
    let (decision, next, reason) = match outcome {
        Outcome::Keep => ("keep", None, "not_worth_the_cost".to_owned()),
        Outcome::Switch(next) => ("switch", Some(*next), switch_reason(plan).to_owned()),
        Outcome::Reserve(error) => ("keep", None, format!("weight store: {error}")),
    };
    let level = if plan.searched > 0 {
        log::Level::Info
    } else {
        log::Level::Debug
    };
    log::log!(
        level,
        "event=placement_decision group={group} decision={decision} map={map} next={next:?} \
         reason={reason:?} gain={:.4} saving_ms={} cost_ms={} moves={} named={named:?} \
         store_bytes={} peer_bytes={} searched={} rejected={:?} relief={:?} work={} took_us={}",
        plan.improvement,
        saving.as_millis(),
        cost.as_millis(),
        plan.moves.len(),
        plan.store_bytes,
        plan.peer_bytes,
        plan.searched,
        rejected(&plan.rejected),
        plan.relief,
        plan.work,
        compute_time.as_micros()
    );
}

fn switch_reason(plan: &Plan) -> &'static str {
    let from_placement = |relief: &sesamerock_place::plan::Relief| relief.stage == Stage::Placement;
    if plan.relief.iter().any(from_placement) {
        "slow_rank"
    } else {
        "popularity"
    }
}

fn describe(expert_move: &Move) -> String {
    format!(
        "{}/{}:{:?}",
        expert_move.layer, expert_move.expert, expert_move.change
    )
}

fn rejected(layers: &[Rejected]) -> Vec<String> {
    let named = layers.iter().take(MAX_LOGGED);
    named
        .map(|layer| {
            format!(
                "{}:{:.4}<{:.4}",
                layer.layer, layer.improvement, layer.needed
            )
        })
        .collect()
}
