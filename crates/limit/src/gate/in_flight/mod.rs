//! Calls in flight and how long they take.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::learn::{InFlight, Load, PendingCall};
use crate::queue::CallId;

/// Weight of a finished call in the mean service time.
const SERVICE_WEIGHT: f64 = 1.0 / 64.0;

/// Number of ended calls kept; more than end in one step of a large engine.
const ENDED_CALLS_KEPT: usize = 64;

/// A call that was admitted and has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningCall {
    pub tokens: u64,
    pub admitted_at: Moment,
    /// Load at admission, including this call, and the learner's step count.
    pub load: Load,
    pub steps_at_admission: f64,
    pub started: bool,
    pub last_token_at: Moment,
}

/// All calls in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct RunningCalls {
    calls: HashMap<CallId, RunningCall>,
    /// Calls in the order of admission. Those that have started or ended are
    /// dropped when they reach the front or outnumber the others.
    pending: VecDeque<CallId>,
    admitted: Load,
    started: Load,
    /// When calls recently ended, with their tokens.
    ended: VecDeque<(Moment, u64)>,
}

impl RunningCalls {
    pub fn contains(&self, call: CallId) -> bool {
        self.calls.contains_key(&call)
    }

    pub fn in_flight(&self) -> InFlight {
        // Few elements are skipped, since `compact_pending` bounds the number
        // of calls that have started or ended.
        let calls = self.pending.iter().filter_map(|call| self.calls.get(call));
        let mut pending = calls.filter(|r| !r.started).map(|r| PendingCall {
            admitted_at: r.admitted_at,
            steps_at_admission: r.steps_at_admission,
            tokens: r.tokens,
            load: r.load,
        });
        InFlight {
            admitted: self.admitted,
            started: self.started,
            oldest_pending: pending.next(),
            second_pending: pending.next(),
            ended: 0,
        }
    }

    pub fn insert(&mut self, now: Moment, call: CallId, tokens: u64, steps: f64) {
        self.admitted.add_call(tokens);
        let running = RunningCall {
            tokens,
            admitted_at: now,
            load: self.admitted,
            steps_at_admission: steps,
            started: false,
            last_token_at: now,
        };
        self.calls.insert(call, running);
        self.pending.push_back(call);
    }

    /// Marks the first token of a call; returns `None` if the call is not in
    /// flight or had its first token before.
    pub fn record_first_token(&mut self, now: Moment, call: CallId) -> Option<RunningCall> {
        let running = self.calls.get_mut(&call)?;
        if running.started {
            return None;
        }
        running.started = true;
        running.last_token_at = now;
        let running = *running;
        self.started.add_call(running.tokens);
        self.compact_pending();
        Some(running)
    }

    /// Marks further tokens of a call; returns the time since the previous
    /// ones, or `None` if the call is not in flight or has had no first token.
    pub fn record_progress(&mut self, now: Moment, call: CallId) -> Option<Duration> {
        let running = self.calls.get_mut(&call)?;
        if !running.started {
            return None;
        }
        let gap = now.since(running.last_token_at);
        running.last_token_at = now;
        Some(gap)
    }

    /// Records that a call completed.
    pub fn record_completion(&mut self, now: Moment, tokens: u64) {
        if self.ended.len() == ENDED_CALLS_KEPT {
            self.ended.pop_front();
        }
        self.ended.push_back((now, tokens));
    }

    /// Returns the calls that ended within the last `span`.
    pub fn recently_ended(&self, now: Moment, span: Duration) -> Load {
        let mut load = Load::default();
        let recent = |(at, _): &&(Moment, u64)| now.since(*at) <= span;
        for (_, tokens) in self.ended.iter().rev().take_while(recent) {
            load.add_call(*tokens);
        }
        load
    }

    pub fn remove(&mut self, call: CallId) -> Option<RunningCall> {
        let running = self.calls.remove(&call)?;
        self.admitted.remove_call(running.tokens);
        if running.started {
            self.started.remove_call(running.tokens);
        }
        self.compact_pending();
        Some(running)
    }

    /// Makes the front of `pending` the oldest call without a first token.
    fn compact_pending(&mut self) {
        let calls = &self.calls;
        let is_pending = |call: &CallId| calls.get(call).is_some_and(|r| !r.started);
        while self
            .pending
            .pop_front_if(|call| !is_pending(call))
            .is_some()
        {}
        let waiting = (self.admitted.calls - self.started.calls) as usize;
        if self.pending.len() > 2 * waiting + 8 {
            self.pending.retain(is_pending);
        }
    }
}

/// Mean service time of finished calls, weighted by their tokens. With the
/// tokens in flight it gives the rate at which a saturated upstream drains; a
/// rate of finished tokens would be too low after a period of little load.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceTime {
    /// Token seconds and tokens, both decayed exponentially.
    token_seconds: f64,
    tokens: f64,
}

impl ServiceTime {
    pub fn add(&mut self, tokens: u64, duration: Duration) {
        let tokens = tokens as f64;
        self.token_seconds += tokens * duration.as_secs_f64() - self.token_seconds * SERVICE_WEIGHT;
        self.tokens += tokens - self.tokens * SERVICE_WEIGHT;
    }

    /// Returns the time in which `queued` tokens start while `in_flight` tokens
    /// run; zero before the first call has finished.
    pub fn drain_time(&self, queued: u64, in_flight: u64) -> Duration {
        if self.tokens == 0.0 || in_flight == 0 {
            return Duration::ZERO;
        }
        let queued_ratio = queued as f64 / in_flight as f64;
        let seconds = queued_ratio * self.token_seconds / self.tokens;
        Duration::from_secs_f64(seconds.clamp(0.0, 86_400.0))
    }
}
