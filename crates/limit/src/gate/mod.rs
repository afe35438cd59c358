//! The admission gate of one upstream.
//!
//! The agent offers every call to its gate and sends to the engine exactly what
//! the gate admits, so the gate knows the work in flight regardless of the lag
//! of the engine's reports. A call is either in the queue or in the table of
//! running calls, and leaves by one decision or one finish; a refusal therefore
//! reliably means `executed: no`. After any method call, [`Gate::poll`] yields
//! the decisions about queued calls.

mod in_flight;
mod types;

pub use types::{Decision, Offer, Reason, Sample, Settings, Snapshot, Verdict};

use std::collections::VecDeque;
use std::time::Duration;

use sesamerock_base::key::Vm;
use sesamerock_base::time::Moment;

use crate::credit::{CreditIssuer, Grant};
use crate::learn::{Bounds, CallEnd, Cause, FirstToken, Fit, Learner, Load, Outcome, Report};
use crate::queue::{CallId, Item, PushOutcome, Queue};
use in_flight::{RunningCalls, ServiceTime};

/// Shortest retry delay that is returned to a refused caller.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// Longest retry delay that is returned to a refused caller.
const RETRY_MAX: Duration = Duration::from_secs(10);

/// Admission control of one upstream.
#[derive(Clone, Debug)]
pub struct Gate {
    learner: Learner,
    queue: Queue,
    credits: CreditIssuer<Vm>,
    running_calls: RunningCalls,
    service_time: ServiceTime,
    decisions: VecDeque<Decision>,
    max_tokens: u64,
    draining: bool,
    resets: u64,
}

impl Gate {
    /// Creates a gate with the initial limit and an empty queue.
    pub fn new(settings: Settings) -> Self {
        let learner = Learner::new(settings.learn);
        Self {
            resets: learner.resets(),
            learner,
            queue: Queue::new(settings.queue),
            credits: CreditIssuer::new(settings.credit),
            running_calls: RunningCalls::default(),
            service_time: ServiceTime::default(),
            decisions: VecDeque::new(),
            max_tokens: settings.learn.bounds.max.tokens,
            draining: false,
        }
    }

    /// Decides about a new call. `Refused` is final; `Queued` is followed by a
    /// [`Decision`] unless the call is cancelled first.
    pub fn offer(&mut self, now: Moment, offer: Offer) -> Verdict {
        let item = offer.item();
        let known = self.running_calls.contains(item.call) || self.queue.contains(item.call);
        if known || self.decisions.iter().any(|d| d.call() == item.call) {
            return Verdict::Duplicate;
        }
        self.credits.spend(now, offer.entry);
        if let Some(reason) = self.immediate_refusal(now, &item) {
            return self.refusal(reason);
        }
        if self.queue.is_empty() && self.try_admit(now, &item) {
            return Verdict::Admitted;
        }
        if now + self.expected_wait(&item) > item.latest_start {
            return self.refusal(Reason::Deadline);
        }
        match self.queue.push(item) {
            PushOutcome::Queued => Verdict::Queued,
            PushOutcome::Evicted(evicted) => {
                self.refuse(&evicted, Reason::Overloaded);
                Verdict::Queued
            }
            PushOutcome::Full => self.refusal(Reason::Overloaded),
            PushOutcome::Duplicate => Verdict::Duplicate,
        }
    }

    /// Yields the decisions about queued calls that are due. Decisions that the
    /// caller does not consume are yielded by the next poll.
    pub fn poll(&mut self, now: Moment) -> impl Iterator<Item = Decision> {
        self.refuse_after_reset();
        while let Some(item) = self.queue.pop_expired(now) {
            self.refuse(&item, Reason::Deadline);
        }
        while let Some(item) = self.queue.peek() {
            if !self.try_admit(now, &item) {
                break;
            }
            self.queue.pop();
            self.decisions
                .push_back(Decision::Admitted { call: item.call });
        }
        std::iter::from_fn(|| self.decisions.pop_front())
    }

    /// Returns when [`Gate::poll`] must be called even if no other event
    /// occurs: just after the earliest latest start of a queued call.
    pub fn next_wake(&self) -> Option<Moment> {
        let after = Duration::from_micros(1);
        self.queue.next_deadline().map(|latest| latest + after)
    }

    /// Removes a queued or running call whose caller no longer waits; returns
    /// whether the call was found. A running call must also be cancelled at the
    /// engine.
    pub fn cancel(&mut self, now: Moment, call: CallId) -> bool {
        self.decisions.retain(|d| d.call() != call);
        if self.queue.remove(call).is_some() {
            return true;
        }
        let sample = Sample {
            outcome: Outcome::Cancelled,
        };
        self.finish(now, call, sample)
    }

    /// Records the first token of a running call, or the response head if the
    /// upstream does not stream.
    pub fn first_token(&mut self, now: Moment, call: CallId) {
        let Some(running) = self.running_calls.record_first_token(now, call) else {
            return;
        };
        let first_token = FirstToken {
            waited: self.learner.steps() - running.steps_at_admission,
            tokens: running.tokens,
            load: running.load,
            ended: self
                .running_calls
                .recently_ended(now, self.learner.step() / 2),
        };
        self.learner
            .record_first_token(now, &self.running_calls.in_flight(), &first_token);
        self.refuse_after_reset();
    }

    /// Records that a running call has delivered `tokens` more tokens.
    pub fn progress(&mut self, now: Moment, call: CallId, tokens: u64) {
        let Some(gap) = self.running_calls.record_progress(now, call) else {
            return;
        };
        let in_flight = self.running_calls.in_flight();
        self.learner.record_tokens(now, &in_flight, gap, tokens);
        self.learner.check_pending(&in_flight);
        self.refuse_after_reset();
    }

    /// Records the end of a running call; returns whether the call was running.
    pub fn finish(&mut self, now: Moment, call: CallId, sample: Sample) -> bool {
        let in_flight = self.running_calls.in_flight();
        let Some(running) = self.running_calls.remove(call) else {
            return false;
        };
        self.decisions.retain(|d| d.call() != call);
        if sample.outcome == Outcome::Done {
            self.running_calls.record_completion(now, running.tokens);
            self.service_time
                .add(running.tokens, now.since(running.admitted_at));
        }
        let end = CallEnd {
            outcome: sample.outcome,
            load: running.load,
            duration: now.since(running.admitted_at),
            streamed: running.started,
        };
        self.learner.record_call_end(&in_flight, &end);
        self.refuse_after_reset();
        true
    }

    /// Processes a report of the engine, which may reset the limit.
    pub fn observe(&mut self, now: Moment, report: &Report) {
        self.learner
            .observe(now, &self.running_calls.in_flight(), report);
        self.refuse_after_reset();
    }

    /// Resets the limit to its initial value. Calls in flight stay counted
    /// until each is finished; queued calls are refused, so that entries can
    /// send them elsewhere in time. The time of the reset is not used.
    pub fn reset(&mut self, _now: Moment, cause: Cause) {
        self.learner.reset(cause);
        self.refuse_after_reset();
    }

    /// Replaces the safety bounds of the limit, effective at once.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.max_tokens = bounds.max.tokens;
        self.learner.set_bounds(bounds);
    }

    /// Stops admission and refuses all queued work; running calls continue. The
    /// time is not used.
    pub fn drain(&mut self, _now: Moment) {
        self.draining = true;
        self.refuse_queued(Reason::Leaving);
    }

    /// Grants an entry credits that expire, replacing its previous grant.
    pub fn credits(&mut self, now: Moment, entry: Vm) -> Grant {
        let Load { calls, tokens } = self.running_calls.in_flight().admitted;
        let limit = self.learner.limit();
        let used = calls.saturating_add(self.queue.len() as u32);
        let closed = self.draining || self.learner.down() || tokens >= limit.tokens;
        let free = if closed {
            0
        } else {
            limit.calls.saturating_sub(used)
        };
        self.credits.grant(now, entry, free)
    }

    /// Returns the state for reports to entries and for log lines.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            in_flight: self.running_calls.in_flight().admitted,
            limit: self.learner.limit(),
            ceiling: self.learner.ceiling(),
            queued: Load {
                calls: self.queue.len() as u32,
                tokens: self.queue.tokens(),
            },
            credits: self.credits.outstanding(),
            cold: self.learner.cold(),
            leaving: self.draining,
            step: self.learner.step(),
            resets: self.learner.resets(),
        }
    }

    /// Returns why a call must be refused without queueing, if it must.
    fn immediate_refusal(&self, now: Moment, item: &Item) -> Option<Reason> {
        if self.draining {
            return Some(Reason::Leaving);
        }
        if self.learner.down() {
            return Some(Reason::Cold);
        }
        if item.tokens > self.max_tokens {
            return Some(Reason::TooLarge);
        }
        (item.latest_start < now).then_some(Reason::Deadline)
    }

    fn try_admit(&mut self, now: Moment, item: &Item) -> bool {
        let mut in_flight = self.running_calls.in_flight();
        in_flight.ended = self
            .running_calls
            .recently_ended(now, self.learner.step() / 2)
            .calls;
        let fit = self.learner.fit(now, &in_flight, item.tokens);
        match fit {
            Fit::Yes => {
                let steps = self.learner.steps();
                self.running_calls
                    .insert(now, item.call, item.tokens, steps);
                return true;
            }
            Fit::Calls | Fit::Tokens => self.learner.record_blocked(fit, item.tokens),
            Fit::Hold => {}
        }
        false
    }

    /// Returns the expected wait of a call if it were queued now; zero while no
    /// call has finished.
    fn expected_wait(&self, item: &Item) -> Duration {
        let ahead = self
            .queue
            .tokens_ahead(item.workspace, item.tokens, item.urgency);
        self.drain_time(ahead)
    }

    /// Refuses queued calls if the last input reset the limit.
    fn refuse_after_reset(&mut self) {
        if self.learner.resets() != self.resets {
            self.resets = self.learner.resets();
            self.service_time = ServiceTime::default();
            self.credits.clear();
            self.refuse_queued(Reason::Cold);
        }
    }

    fn refuse_queued(&mut self, reason: Reason) {
        for item in self.queue.drain() {
            self.refuse(&item, reason);
        }
    }

    fn refuse(&mut self, item: &Item, reason: Reason) {
        let retry_after = self.retry_after();
        self.decisions.push_back(Decision::Shed {
            call: item.call,
            reason,
            retry_after,
        });
    }

    fn refusal(&self, reason: Reason) -> Verdict {
        let retry_after = self.retry_after();
        Verdict::Refused {
            reason,
            retry_after,
        }
    }

    /// Returns the time in which the present queue drains, within bounds.
    fn retry_after(&self) -> Duration {
        let drain_time = self.drain_time(self.queue.tokens());
        drain_time.clamp(RETRY_MIN, RETRY_MAX)
    }

    /// Returns the time in which `tokens` queued tokens start.
    fn drain_time(&self, tokens: u64) -> Duration {
        let in_flight = self.running_calls.in_flight().admitted.tokens;
        self.service_time.drain_time(tokens, in_flight)
    }
}
