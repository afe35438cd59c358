//! The admission gate as an asynchronous service over [`sesamerock_limit`].

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

use super::probe::Sight;
use crate::clock;

/// Weight of one arrival in the usual number of events.
const BURST_WEIGHT: f64 = 1.0 / 32.0;
/// Shortest life of a credit that is worth telling an entry.
const CREDIT_LIFE: Duration = Duration::from_millis(1);

#[derive(Debug)]
struct Inner {
    gate: gate::Gate,
    next: CallId,
    waiting: HashMap<CallId, oneshot::Sender<Result<(), Refusal>>>,
    workspaces: Names<Workspace>,
    entries: Names<Vm>,
    /// Usual number of events that arrive together; 0 before the first.
    burst: f64,
}

/// The gate of one upstream.
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
    /// Makes a gate that knows nothing of its upstream.
    pub fn new(settings: gate::Settings) -> Self {
        let inner = Inner {
            gate: gate::Gate::new(settings),
            next: 0,
            waiting: HashMap::new(),
            workspaces: Names::default(),
            entries: Names::default(),
            burst: 0.0,
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            changed: Arc::new(Notify::new()),
        }
    }

    /// Waits until the call may run.
    ///
    /// # Errors
    /// Returns the refusal to tell the entry; the call was not run.
    pub async fn admit(&self, head: &Head, deadline: Instant) -> Result<Permit, Refusal> {
        let (permit, verdict, wait) = self.offer(head, deadline);
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
            // Deadlines of the queue may be nearer than the next wake-up.
            Verdict::Queued => self.changed.notify_one(),
        }
        match wait.await {
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
        let left = deadline.saturating_duration_since(Instant::now());
        let mut inner = self.lock();
        let call = inner.next;
        inner.next += 1;
        let offer = Offer {
            call,
            workspace: inner.workspaces.intern(&head.workspace),
            tokens: head.tokens,
            urgency: head.urgency.min(7) as u8,
            deadline: now + left,
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

    /// Takes in what the probe saw.
    pub fn observe(&self, sight: &Sight) {
        let now = clock::now();
        let mut inner = self.lock();
        match sight {
            Sight::None => return,
            Sight::Dead => inner.gate.reset(now, Cause::Crash),
            Sight::Alive(load) => inner.gate.observe(
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

    /// Takes in that a model is about to be loaded: the engine has less room
    /// for calls until it is done, so that the limit is learned anew.
    pub fn loads(&self) {
        self.lock().gate.reset(clock::now(), Cause::Start);
        self.changed.notify_one();
    }

    /// Takes no new work from now on.
    pub fn drain(&self) {
        self.lock().gate.drain(clock::now());
        self.changed.notify_one();
    }

    /// Returns the state for a log line.
    pub fn snapshot(&self) -> Snapshot {
        self.lock().gate.snapshot()
    }

    /// Returns the report that goes with every answer to an entry.
    pub fn report(&self, entry: &str) -> relay::Report {
        let now = clock::now();
        let mut inner = self.lock();
        let entry = inner.entries.intern(entry);
        let grant = inner.gate.credits(now, entry);
        let snapshot = inner.gate.snapshot();
        drop(inner);
        let life = grant.until.since(now);
        relay::Report {
            calls_in_flight: snapshot.in_flight.calls,
            tokens_in_flight: snapshot.in_flight.tokens,
            call_limit: snapshot.limit.calls,
            token_limit: snapshot.limit.tokens,
            queued: snapshot.queued.calls,
            credits: if life >= CREDIT_LIFE { grant.calls } else { 0 },
            credits_ms: life.as_millis() as u32,
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
            let wake = self.settle();
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

    /// Delivers the decisions that are due and returns when the next may be.
    fn settle(&self) -> Option<Moment> {
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
                // The caller went away in this moment; its permit's drop
                // cancels the call.
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
    /// Returns how many steps of the engine some events stand for.
    ///
    /// Engines may deliver several tokens a step, and the network may deliver
    /// several steps together. The gate learns from steps; taken for one step
    /// each, the tokens of a burst made fast engines look overloaded.
    fn steps(&mut self, events: u64) -> u64 {
        let events = events as f64;
        if self.burst == 0.0 {
            self.burst = events;
        }
        self.burst += (events - self.burst) * BURST_WEIGHT;
        (events / self.burst).round().max(1.0) as u64
    }
}

impl Permit {
    /// Returns when the call was offered.
    pub fn offered(&self) -> Moment {
        self.offered
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> u32 {
        self.gate.snapshot().in_flight.calls
    }

    /// Notes events that arrived together; the first are those of the first
    /// token.
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
        // A queued call may have been held back until these tokens came.
        if !inner.waiting.is_empty() {
            self.gate.changed.notify_one();
        }
    }

    /// Notes that the upstream completed the call.
    pub fn finished(mut self) {
        self.end(Outcome::Done);
    }

    /// Notes that the upstream failed the call.
    pub fn failed(mut self) {
        self.end(Outcome::Failed);
    }

    /// Notes that the upstream died under the call.
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

    /// Forgets a permit whose call the gate already dropped.
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
    let wire = match reason {
        Reason::Overloaded => WireReason::Overloaded,
        Reason::Cold => WireReason::Cold,
        Reason::Leaving => WireReason::Leaving,
        Reason::Deadline => WireReason::Deadline,
        Reason::TooLarge => WireReason::TooLarge,
    };
    Refusal {
        reason: wire.into(),
        retry_after_ms: retry_after.as_millis() as u64,
        detail: format!("{reason:?}"),
    }
}
