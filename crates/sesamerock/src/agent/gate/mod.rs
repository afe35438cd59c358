//! Asynchronous admission gate on the state machine of [`sesamerock_limit`].

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sesamerock_base::arena::Names;
use sesamerock_base::key::{Vm, Workspace};
use sesamerock_base::time::Moment;
use sesamerock_limit::gate::{self, Decision, Offer, Reason, Sample, Snapshot, Verdict};
use sesamerock_limit::learn::{Cause, Outcome, Report};
use sesamerock_limit::queue::CallId;
use sesamerock_wire::relay::refusal::Reason as WireReason;
use sesamerock_wire::relay::{self, Head, Refusal};
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use super::probe::Observation;
use crate::clock;

/// Weight of one arrival in the moving average of events per arrival.
const BURST_WEIGHT: f64 = 1.0 / 32.0;
/// Shortest remaining lifetime of a credit that is reported to an entry; reports
/// state lifetimes in whole milliseconds.
const MIN_CREDIT_LIFETIME: Duration = Duration::from_millis(1);

#[derive(Debug)]
struct Inner {
    gate: gate::Gate,
    next_call: CallId,
    waiting: HashMap<CallId, oneshot::Sender<Result<(), Refusal>>>,
    workspaces: Names<Workspace>,
    entries: Names<Vm>,
    /// Moving average of the number of events that arrive together; 0 before the
    /// first arrival.
    mean_burst_events: f64,
}

/// Admission gate of one upstream.
#[derive(Clone, Debug)]
pub struct Gate {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
}

/// Permission to run one call; dropping it without an outcome counts as a
/// cancellation.
#[derive(Debug)]
pub struct Permit {
    gate: Gate,
    call: CallId,
    offered: Moment,
    started: bool,
    ended: bool,
}

impl Gate {
    /// Creates a gate that has yet to learn the limit of its upstream.
    pub fn new(settings: gate::Settings) -> Self {
        let inner = Inner {
            gate: gate::Gate::new(settings),
            next_call: 0,
            waiting: HashMap::new(),
            workspaces: Names::default(),
            entries: Names::default(),
            mean_burst_events: 0.0,
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            changed: Arc::new(Notify::new()),
        }
    }

    /// Waits until the call may run.
    ///
    /// # Errors
    /// Returns the refusal to send to the entry; the call was not run.
    pub async fn admit(&self, head: &Head, deadline: Instant) -> Result<Permit, Refusal> {
        let (permit, verdict, decision) = self.offer(head, deadline);
        match verdict {
            Verdict::Admitted => return Ok(permit),
            Verdict::Refused {
                reason,
                retry_after,
            } => {
                permit.discard();
                return Err(refusal(reason, retry_after));
            }
            Verdict::Duplicate => {
                permit.discard();
                return Err(refusal(Reason::Overloaded, Duration::ZERO));
            }
            // A deadline in the queue may now be earlier than the next wake-up.
            Verdict::Queued => self.changed.notify_one(),
        }
        match decision.await {
            Ok(Ok(())) => Ok(permit),
            Ok(Err(refused)) => {
                permit.discard();
                Err(refused)
            }
            Err(_) => {
                permit.discard();
                Err(refusal(Reason::Leaving, Duration::ZERO))
            }
        }
    }

    fn offer(
        &self,
        head: &Head,
        deadline: Instant,
    ) -> (Permit, Verdict, oneshot::Receiver<Result<(), Refusal>>) {
        let now = clock::now();
        let remaining = deadline.saturating_duration_since(Instant::now());
        let mut inner = self.lock();
        let call = inner.next_call;
        inner.next_call += 1;
        let offer = Offer {
            call,
            workspace: inner.workspaces.intern(&head.workspace),
            tokens: head.tokens,
            urgency: head.urgency.min(7) as u8,
            deadline: now + remaining,
            service_time: Duration::ZERO,
            entry: inner.entries.intern(&head.entry),
        };
        let verdict = inner.gate.offer(now, offer);
        let (sender, receiver) = oneshot::channel();
        if verdict == Verdict::Queued {
            inner.waiting.insert(call, sender);
        }
        drop(inner);
        let permit = Permit {
            gate: self.clone(),
            call,
            offered: now,
            started: false,
            ended: false,
        };
        (permit, verdict, receiver)
    }

    /// Passes an observation of the probe to the gate; an unreachable upstream
    /// resets the learned limit.
    pub fn observe(&self, observation: &Observation) {
        let now = clock::now();
        let mut inner = self.lock();
        match observation {
            Observation::None => return,
            Observation::Unreachable => inner.gate.reset(now, Cause::Crash),
            Observation::Alive(load) => inner.gate.observe(
                now,
                &Report {
                    incarnation: load.incarnation,
                    running: load.running,
                    waiting: load.waiting,
                    step: Duration::from_micros(u64::from(load.step_us)),
                    own_step: Duration::from_micros(u64::from(load.own_step_us)),
                },
            ),
        }
        drop(inner);
        self.changed.notify_one();
    }

    /// Resets the learned limit before a model is loaded, since the engine has
    /// less memory for calls during the load.
    pub fn reset_for_model_load(&self) {
        self.lock().gate.reset(clock::now(), Cause::Start);
        self.changed.notify_one();
    }

    /// Refuses all new calls from now on.
    pub fn drain(&self) {
        self.lock().gate.drain(clock::now());
        self.changed.notify_one();
    }

    /// Returns the load and the limits for logs, metrics and checks.
    pub fn snapshot(&self) -> Snapshot {
        self.lock().gate.snapshot()
    }

    /// Returns the load report for an entry, with the credits granted to it.
    /// Fields that the gate does not know are 0 or false.
    pub fn report(&self, entry: &str) -> relay::Report {
        let now = clock::now();
        let mut inner = self.lock();
        let entry = inner.entries.intern(entry);
        let grant = inner.gate.credits(now, entry);
        let snapshot = inner.gate.snapshot();
        drop(inner);
        let lifetime = grant.until.since(now);
        relay::Report {
            calls_in_flight: snapshot.in_flight.calls,
            tokens_in_flight: snapshot.in_flight.tokens,
            call_limit: snapshot.limit.calls,
            token_limit: snapshot.limit.tokens,
            queued: snapshot.queued.calls,
            credits: if lifetime >= MIN_CREDIT_LIFETIME {
                grant.calls
            } else {
                0
            },
            credits_ms: lifetime.as_millis() as u32,
            cold: snapshot.cold,
            leaving: snapshot.leaving,
            step_us: snapshot.step.as_micros() as u32,
            version: 0,
            own_step_us: 0,
            stalled: false,
        }
    }

    /// Delivers decisions about queued calls until the task is dropped.
    pub async fn run(&self) {
        loop {
            let wake = self.deliver_decisions();
            let sleep = async {
                match wake {
                    Some(wake) => tokio::time::sleep(wake.since(clock::now())).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = sleep => {}
                () = self.changed.notified() => {}
            }
        }
    }

    /// Delivers the decisions that are due, and returns when the next may be due.
    fn deliver_decisions(&self) -> Option<Moment> {
        let mut inner = self.lock();
        let now = clock::now();
        let decisions: Vec<_> = inner.gate.poll(now).collect();
        for decision in decisions {
            let outcome = match decision {
                Decision::Admitted { .. } => Ok(()),
                Decision::Shed {
                    reason,
                    retry_after,
                    ..
                } => Err(refusal(reason, retry_after)),
            };
            let Some(waiter) = inner.waiting.remove(&decision.call()) else {
                continue;
            };
            if waiter.send(outcome).is_err() {
                // The entry has closed the stream meanwhile; dropping the
                // permit cancels the call.
                log::debug!("event=decision_unread call={}", decision.call());
            }
        }
        inner.gate.next_wake()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Estimates the number of engine steps that produced `events` events.
    ///
    /// Engines may deliver several tokens per step, and the network may deliver
    /// several steps together. The gate learns from steps. When each token of a
    /// burst was counted as a step, fast engines looked overloaded.
    fn steps(&mut self, events: u64) -> u64 {
        let events = events as f64;
        if self.mean_burst_events == 0.0 {
            self.mean_burst_events = events;
        }
        self.mean_burst_events += (events - self.mean_burst_events) * BURST_WEIGHT;
        (events / self.mean_burst_events).round().max(1.0) as u64
    }
}

impl Permit {
    /// Returns when the call was offered to the gate.
    pub fn offered(&self) -> Moment {
        self.offered
    }

    /// Returns the number of calls in flight on the upstream.
    pub fn in_flight(&self) -> u32 {
        self.gate.snapshot().in_flight.calls
    }

    /// Records events that arrived together. The first that are recorded mark
    /// the arrival of the first token.
    pub fn progress(&mut self, events: u64) {
        if events == 0 {
            return;
        }
        let now = clock::now();
        let mut inner = self.gate.lock();
        let steps = inner.steps(events);
        if self.started {
            inner.gate.progress(now, self.call, steps);
        } else {
            self.started = true;
            inner.gate.first_token(now, self.call);
        }
        // A queued call may have been waiting for this progress.
        if !inner.waiting.is_empty() {
            self.gate.changed.notify_one();
        }
    }

    /// Records that the upstream completed the call.
    pub fn finished(mut self) {
        self.end(Outcome::Done);
    }

    /// Records that the call failed for a reason other than a crash.
    pub fn failed(mut self) {
        self.end(Outcome::Failed);
    }

    /// Records that the upstream crashed during the call.
    pub fn crashed(mut self) {
        self.end(Outcome::Crashed);
    }

    fn end(&mut self, outcome: Outcome) {
        self.ended = true;
        self.gate
            .lock()
            .gate
            .finish(clock::now(), self.call, Sample { outcome });
        self.gate.changed.notify_one();
    }

    /// Drops a permit without cancelling its call, which the gate has already
    /// removed.
    fn discard(mut self) {
        self.ended = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let mut inner = self.gate.lock();
        inner.waiting.remove(&self.call);
        inner.gate.cancel(clock::now(), self.call);
        drop(inner);
        self.gate.changed.notify_one();
    }
}

fn refusal(reason: Reason, retry_after: Duration) -> Refusal {
    let wire_reason = match reason {
        Reason::Overloaded => WireReason::Overloaded,
        Reason::Cold => WireReason::Cold,
        Reason::Leaving => WireReason::Leaving,
        Reason::Deadline => WireReason::Deadline,
        Reason::TooLarge => WireReason::TooLarge,
    };
    Refusal {
        reason: wire_reason.into(),
        retry_after_ms: retry_after.as_millis() as u64,
        detail: format!("{reason:?}"),
    }
}
