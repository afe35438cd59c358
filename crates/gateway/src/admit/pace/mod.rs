//! Limits the requests that the engines of a group run, so that no stream exceeds its
//! longest pause between events.
//!
//! Engines in lockstep send each stream one event per forward pass, so the time between
//! events is the duration of a pass. It grows with the number of running requests. It
//! also exceeds the duration computed from the configured step times when the experts
//! in demand are on few ranks, when a rank is slow, or while prompts are processed; this
//! slowdown is estimated from the events that this gateway forwards. A single long pass makes
//! all streams of its group late, so the limit follows the longest passes, not the mean.

use std::time::Duration;

use sesamerock_base::time::Moment;

use super::estimate::{Estimate, Value};
use crate::table::EngineSpec;

/// Mean deviations by which the longest of the passes that a stream spans exceeds the mean.
const PEAK_DEVIATIONS: f64 = 2.5;
/// Share of the longest pause that is used. The rest is left for delays of the network and for
/// streams that other gateways start before they know of each other's.
const TARGET_SHARE: f64 = 0.9;
/// Requests of an engine in the mean below which no stream of its group can be in time: not even
/// one that runs alone.
const MIN_IN_TIME_REQUESTS: f64 = 1.0;
/// Longest passes of late streams, in multiples of the longest pause. A stream of average length
/// then still ends within its deadline, and no caller gives up for the length of a gap.
const LATE_PAUSES: f64 = 2.5;
/// Margin of the longest time of a stream: passes can become longer while it runs, and an engine
/// without memory reads a prompt again.
const STREAM_MARGIN: f64 = 1.5;
/// Weight of a slowdown that another gateway observed.
const PEER_WEIGHT: f64 = 0.3;
/// Time without own events after which the observations of other gateways are used.
const OWN_EVENTS_EXPIRY: Duration = Duration::from_millis(400);

/// Estimated slowdown of the forward passes of a group: the measured duration of a pass,
/// divided by the duration computed from the configured step and request times.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassSlowdown(Estimate);

impl PassSlowdown {
    /// Records the time between two events of a stream, while each engine ran `load`
    /// requests on average.
    pub fn observe(&mut self, engine: &EngineSpec, gap: Duration, load: f64, now: Moment) {
        let expected_ms = pass_ms(engine, load.max(1.0));
        if expected_ms > 0.0 {
            self.0.sample(gap.as_secs_f64() * 1e3 / expected_ms, now);
        }
    }

    /// Uses the slowdown that another gateway observed, unless this one has events itself.
    pub fn learn(&mut self, slowdown: Value, now: Moment) {
        if self.0.sampled_within(OWN_EVENTS_EXPIRY, now).is_none() {
            self.0.learn(slowdown, PEER_WEIGHT, now);
        }
    }

    /// Returns the slowdown if this gateway has forwarded an event within the last `age`.
    pub fn observed_within(&self, age: Duration, now: Moment) -> Option<Value> {
        self.0.sampled_within(age, now)
    }

    /// Returns the duration of the longest passes with all slots taken; `None` without recent
    /// events.
    pub fn longest_pass(&self, engine: &EngineSpec, now: Moment) -> Option<Duration> {
        let peak = self.0.current(now)?.upper(PEAK_DEVIATIONS);
        let millis = pass_ms(engine, f64::from(engine.slots)) * peak;
        Duration::try_from_secs_f64(millis / 1e3).ok()
    }

    /// Returns how many requests each engine may run on average with streams that pause
    /// no longer than `pause`; at least `lowest`, so that there are events to measure.
    pub fn limit(&self, engine: &EngineSpec, pause: Duration, lowest: f64, now: Moment) -> f64 {
        let slots = f64::from(engine.slots);
        let Some(slowdown) = self.0.current(now) else {
            return slots;
        };
        if engine.request_ms <= 0.0 {
            return slots;
        }
        let peak = slowdown.upper(PEAK_DEVIATIONS);
        let longest = pause.mul_f64(TARGET_SHARE);
        requests(engine, longest, peak).clamp(lowest.min(slots), slots)
    }

    /// Returns how many requests each engine may run on average if the streams of a group are late
    /// whatever the load; `None` if they can be in time.
    ///
    /// While a rank is several times as slow as usual, no limit keeps the pauses short, but passes
    /// grow far less with the load than the number of streams does. The mean decides, as a few long
    /// passes, such as those after a shift of demand, soon end.
    pub fn late_limit(&self, engine: &EngineSpec, pause: Duration, now: Moment) -> Option<f64> {
        let mean = self.0.current(now)?.mean;
        let in_time = requests(engine, pause.mul_f64(TARGET_SHARE), mean);
        if in_time >= MIN_IN_TIME_REQUESTS {
            return None;
        }
        let late = requests(engine, pause.mul_f64(LATE_PAUSES), mean);
        Some(late.clamp(0.0, f64::from(engine.slots)))
    }
}

/// Returns the longest time that a stream takes from its start at an engine to its end, with
/// passes of this duration; `None` for a number of tokens beyond any answer.
pub fn longest_stream(
    engine: &EngineSpec,
    longest_pass: Duration,
    prompt: u64,
    output: u64,
) -> Option<Duration> {
    // The prompts of all requests of an engine are read in turn, one part in each pass.
    let prompts = engine.prompt.max(prompt as f64) * f64::from(engine.slots);
    let reading = if engine.read_rate > 0.0 {
        prompts / engine.read_rate
    } else {
        0.0
    };
    let passes = 1.0 + (output as f64 / f64::from(engine.stride.max(1))).ceil();
    let seconds = reading + passes * longest_pass.as_secs_f64();
    Duration::try_from_secs_f64(seconds * STREAM_MARGIN).ok()
}

/// Returns the number of requests of an engine with which a pass lasts `longest` at a slowdown.
fn requests(engine: &EngineSpec, longest: Duration, slowdown: f64) -> f64 {
    let passes = f64::from(engine.stride) * slowdown.max(f64::MIN_POSITIVE);
    let step_ms = longest.as_secs_f64() * 1e3 / passes;
    (step_ms - engine.step_ms) / engine.request_ms
}

/// Returns the duration of a pass with `load` requests in ms, computed from the
/// configured step and request times.
fn pass_ms(engine: &EngineSpec, load: f64) -> f64 {
    f64::from(engine.stride) * (engine.step_ms + engine.request_ms * load)
}
