//! Messages about placement between the agents of a group: reports of the work of
//! experts, and contents of maps.
//!
//! These messages use the RPC of the group protocol. They begin with a prefix
//! with which no protocol message begins, so an agent of an older version refuses
//! them.

use std::sync::Arc;
use std::time::Duration;

use bincode::Options as _;
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sesamerock_client::engine::{Engine, Experts, Placement};
use sesamerock_wire::relay::GroupMessage;
use tokio::sync::Mutex;

use super::content::{Contents, Difference, is_planned};
use super::ranks::Ranks;
use crate::agent::Context;

/// First bytes of each message about placement.
const MESSAGE_PREFIX: &[u8] = b"plc1";
/// Timeout for a read of the engine's report.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(400);

/// A request to a rank's agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Request {
    /// Requests the work since the last request, with the token counts of the
    /// layers whose number modulo `stride` is `offset`.
    Collect { offset: u16, stride: u16 },
    /// Requests the content of a map, if possible as the difference to one of the
    /// maps that the requesting rank has.
    Fetch { map: u64, known: Vec<u64> },
}

/// The reply of a rank's agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Reply {
    /// The work since the last request; `None` if the engine reported nothing new.
    Sample(Option<Sample>),
    /// The content of the map; `None` if it is not available here.
    Content(Option<Placement>),
    /// The content of the map, as the difference to one that the requesting rank
    /// has.
    Difference(Difference),
}

/// Work of a rank's experts between two reports of its engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Sample {
    /// Number of steps between the reports.
    pub(super) steps: u64,
    /// Time of computation, in microseconds.
    pub(super) busy_us: u64,
    /// Tokens computed by the rank's experts.
    pub(super) handled: u64,
    /// Whether the engine can export experts.
    pub(super) exports: bool,
    /// Requested layers, with the number of tokens that the rank's calls sent to
    /// each expert.
    pub(super) layers: Vec<(u16, Vec<u32>)>,
}

/// Encodes a message with its prefix.
pub(super) fn encode(message: &impl Serialize) -> Bytes {
    let mut bytes = MESSAGE_PREFIX.to_vec();
    // Writing to memory cannot fail for these types.
    drop(bincode::DefaultOptions::new().serialize_into(&mut bytes, message));
    bytes.into()
}

/// Decodes a message; `None` if it lacks the prefix or cannot be decoded.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let content = bytes.strip_prefix(MESSAGE_PREFIX)?;
    bincode::DefaultOptions::new().deserialize(content).ok()
}

/// Returns whether a message is about placement rather than of the group protocol.
pub(super) fn is_placement_message(bytes: &[u8]) -> bool {
    bytes.starts_with(MESSAGE_PREFIX)
}

/// Computes samples from the engine's reports; keeps the report of the last
/// sample.
#[derive(Debug, Default)]
pub(super) struct SampleReader(Mutex<Experts>);

impl SampleReader {
    /// Returns the work since the last call; `None` if the engine did not answer,
    /// made no step or restarted since.
    pub(super) async fn sample(
        &self,
        engine: &impl Engine,
        offset: u16,
        stride: u16,
    ) -> Option<Sample> {
        let mut last = self.0.lock().await;
        let read = tokio::time::timeout(ENGINE_TIMEOUT, engine.experts()).await;
        let next = read.ok()?.ok()?;
        let sample = sample_between(&last, &next, offset, stride);
        if next.incarnation != last.incarnation || next.step > last.step {
            *last = next;
        }
        sample
    }
}

fn sample_between(last: &Experts, next: &Experts, offset: u16, stride: u16) -> Option<Sample> {
    if next.incarnation != last.incarnation || next.step <= last.step {
        return None;
    }
    let layers = last.counts.iter().zip(&next.counts);
    let layers = (0..).zip(layers);
    let asked = layers.filter(|(layer, _)| layer % stride.max(1) == offset);
    let counts = asked.map(|(layer, (last, next))| {
        let pairs = last.iter().zip(next);
        let counts = pairs.map(|(last, next)| next.saturating_sub(*last));
        let capped = counts.map(|count| u32::try_from(count).unwrap_or(u32::MAX));
        (layer, capped.collect())
    });
    Some(Sample {
        steps: next.step - last.step,
        busy_us: next.busy_us.saturating_sub(last.busy_us),
        handled: next.handled.saturating_sub(last.handled),
        exports: next.exports,
        layers: counts.collect(),
    })
}

/// Returns the content of a map if this agent or its engine has it.
pub(super) async fn content(
    contents: &Contents,
    engine: &impl Engine,
    map: u64,
) -> Option<Arc<Placement>> {
    if let Some(known) = contents.get(map) {
        return Some(known);
    }
    let read = tokio::time::timeout(ENGINE_TIMEOUT, engine.placement(map)).await;
    let placement = read.ok()?.ok()?;
    if !contents.insert(map, placement) {
        log::error!(
            "event=placement_content_mismatch map={map} planned={}",
            is_planned(map)
        );
        return None;
    }
    contents.get(map)
}

/// Stores the content of the map of the engine's last granted window.
pub(super) async fn learn_current(contents: &Contents, engine: &impl Engine) {
    let read = tokio::time::timeout(ENGINE_TIMEOUT, engine.load()).await;
    let Ok(Ok(load)) = read else { return };
    if let Some(window) = load.windows.last() {
        content(contents, engine, window.map).await;
    }
}

/// Answers the leader, or a rank that needs the content of a map.
///
/// # Errors
/// Returns the status for a message that cannot be read or is for another rank.
pub(super) async fn answer<E: Engine>(
    context: &Context<E>,
    message: GroupMessage,
) -> Result<GroupMessage, tonic::Status> {
    let request = decode(&message.message)
        .ok_or_else(|| tonic::Status::invalid_argument("not a placement message"))?;
    let ranks = {
        let view = context.control.view();
        Ranks::of(&view.state, &context.settings.upstream.name)
    };
    let addressed_here =
        ranks.is_some_and(|ranks| ranks.group == message.group && ranks.own == message.rank);
    if !addressed_here {
        return Err(tonic::Status::failed_precondition(
            "this agent does not serve that rank",
        ));
    }
    let shared = &context.group.shared;
    let reply = match request {
        Request::Collect { offset, stride } => {
            let sample = shared.reader.sample(&context.engine, offset, stride).await;
            Reply::Sample(sample)
        }
        Request::Fetch { map, known } => {
            let found = content(&shared.contents, &context.engine, map).await;
            let difference = found
                .as_ref()
                .and_then(|found| shared.contents.difference(found, &known));
            difference.map_or_else(
                || Reply::Content(found.map(|placement| (*placement).clone())),
                Reply::Difference,
            )
        }
    };
    Ok(GroupMessage {
        message: encode(&reply),
        ..message
    })
}
