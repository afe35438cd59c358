//! Collects samples of work, and contents of maps, from the ranks.

use std::time::Duration;

use futures::future::join_all;
use sesamerock_client::engine::Engine;
use sesamerock_wire::relay::GroupMessage;

use super::Planning;
use crate::agent::Context;
use crate::agent::group::ranks::Ranks;
use crate::agent::group::report::{self, Reply, Request, Sample};
use crate::clock;
use crate::entry::relay::ConnectionPool;

/// Timeout for one message to a rank and its reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Most token counts that all ranks together send in one collection. At 2 to 3
/// bytes each, with a collection every 32 s at 64 ranks, they take a quarter of
/// the traffic budget.
const MAX_COUNTS: usize = 16_384;
/// Maximum number of ranks from which one fetch requests the content of a map.
const MAX_FETCH_REQUESTS: usize = 4;

/// Collects samples of work from all ranks and passes them to the planner.
///
/// The calls of every rank use all experts, so the counts of a few ranks are
/// enough to estimate the popularity of experts. In large groups, each collection
/// takes the counts of a layer from only some ranks, which rotate with `round`.
pub(super) async fn run<E: Engine>(
    context: &Context<E>,
    pool: &ConnectionPool,
    ranks: &Ranks,
    round: u32,
    planning: &mut Planning,
) {
    let count = ranks.agents.len();
    let layers = planning.planner.map().layers.iter();
    let counts: usize = layers.map(|layer| usize::from(layer.experts())).sum();
    let stride = (counts * count).div_ceil(MAX_COUNTS).clamp(1, count) as u16;
    let requests = (0..count as u32).map(|rank| {
        let offset = (rank.wrapping_add(round) % u32::from(stride)) as u16;
        sample(context, pool, ranks, rank, (offset, stride))
    });
    let samples: Vec<_> = join_all(requests).await;
    observe_samples(planning, &samples);
}

async fn sample<E: Engine>(
    context: &Context<E>,
    pool: &ConnectionPool,
    ranks: &Ranks,
    rank: u32,
    (offset, stride): (u16, u16),
) -> Option<Sample> {
    if rank == ranks.own {
        let reader = &context.group.shared.reader;
        return reader.sample(&context.engine, offset, stride).await;
    }
    match send_request(pool, ranks, rank, &Request::Collect { offset, stride }).await? {
        Reply::Sample(sample) => sample,
        Reply::Content(_) | Reply::Difference(_) => None,
    }
}

async fn send_request(
    pool: &ConnectionPool,
    ranks: &Ranks,
    rank: u32,
    request: &Request,
) -> Option<Reply> {
    let agent = *ranks.agents.get(rank as usize)?;
    let message = GroupMessage {
        group: ranks.group.clone(),
        rank,
        message: report::encode(request),
    };
    let reply = tokio::time::timeout(REPLY_TIMEOUT, pool.send_group_message(agent, message)).await;
    let Ok(Ok(reply)) = reply else {
        log::debug!("event=placement_no_reply rank={rank} agent={agent} request={request:?}");
        return None;
    };
    report::decode(&reply.message)
}

/// Passes samples to the planner, by rank; `None` is a rank that reported nothing.
fn observe_samples(planning: &mut Planning, samples: &[Option<Sample>]) {
    let now = clock::now();
    let planner = &mut planning.planner;
    let layers = planner.map().layers.len();
    for layer in 0..layers as u16 {
        let mut sum: Vec<u32> = Vec::new();
        let mut steps = 0;
        let mut sources = 0;
        for sample in samples.iter().flatten() {
            let found = sample.layers.iter().find(|(number, _)| *number == layer);
            let Some((_, counts)) = found else { continue };
            sum.resize(counts.len(), 0);
            for (sum, count) in sum.iter_mut().zip(counts) {
                *sum = sum.saturating_add(*count);
            }
            steps += sample.steps;
            sources += 1;
        }
        if sources > 0 {
            // Ranks that sent no counts are assumed to have as many tokens as the
            // others, so the counts are those of all ranks in fewer steps.
            let steps = (steps / samples.len() as u64).max(1);
            planner.observe(now, layer, &sum, steps as u32);
        }
    }
    let rates = samples.iter().map(|sample| {
        let sample = sample.as_ref().filter(|sample| sample.busy_us > 0)?;
        Some(sample.handled as f64 / sample.busy_us as f64)
    });
    let rates: Vec<_> = rates.collect();
    let mut sorted: Vec<_> = rates.iter().flatten().copied().collect();
    sorted.sort_by(f64::total_cmp);
    let median = sorted.get(sorted.len() / 2).copied().unwrap_or_default();
    for (rank, (rate, sample)) in (0..).zip(rates.iter().zip(samples)) {
        if let Some(rate) = rate.filter(|_| median > 0.0) {
            planner.set_speed(now, rank, rate / median);
        }
        if let Some(sample) = sample {
            planner.set_exports(rank, sample.exports);
        }
    }
}

/// Fetches the content of a map from rank `first`, or else from the next few ranks
/// after this one, and stores it. A content that does not match the number of a
/// planned map is logged and discarded.
pub(super) async fn fetch<E: Engine>(
    context: &Context<E>,
    pool: &ConnectionPool,
    ranks: &Ranks,
    map: u64,
    first: u32,
) {
    let count = ranks.agents.len() as u32;
    let others = (1..count).map(|step| (ranks.own + step) % count);
    let others = others.filter(|rank| *rank != first);
    let candidates = [first].into_iter().chain(others);
    let contents = &context.group.shared.contents;
    let request = Request::Fetch {
        map,
        known: contents.numbers(),
    };
    for rank in candidates
        .filter(|rank| *rank != ranks.own)
        .take(MAX_FETCH_REQUESTS)
    {
        let accepted = match send_request(pool, ranks, rank, &request).await {
            Some(Reply::Content(Some(placement))) => contents.insert(map, placement),
            Some(Reply::Difference(difference)) => contents.insert_difference(map, difference),
            _ => continue,
        };
        if accepted {
            log::info!("event=placement_content_fetched map={map} from={rank}");
            return;
        }
        log::error!("event=placement_content_mismatch map={map} from={rank}");
    }
}
