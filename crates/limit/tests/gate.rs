//! Properties of the gate that hold for any order of events.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use sesamerock_base::key::{Vm, Workspace};
use sesamerock_base::time::Moment;
use sesamerock_limit::gate::{Decision, Gate, Offer, Reason, Sample, Settings, Verdict};
use sesamerock_limit::learn::{Cause, Load, Outcome, Report};
use sesamerock_limit::queue;

const QUEUE_CALLS: usize = 8;

#[derive(Clone, Copy, Debug)]
enum Op {
    Offer {
        workspace: u8,
        tokens: u16,
        urgency: u8,
        timeout_ms: u16,
    },
    First(u8),
    Progress(u8),
    Finish(u8, u8),
    Cancel(u8),
    Observe {
        running: u8,
        waiting: u8,
        restarted: bool,
    },
    Reset,
    Wait(u16),
    Drain,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let byte = u8::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..10 => Self::Offer {
                workspace: byte % 4,
                tokens: u16::arbitrary(g) % 3000,
                urgency: u8::arbitrary(g) % 9,
                timeout_ms: u16::arbitrary(g) % 4000,
            },
            10..15 => Self::First(byte),
            15..19 => Self::Progress(byte),
            19..24 => Self::Finish(byte, u8::arbitrary(g)),
            24..26 => Self::Cancel(byte),
            26 => Self::Observe {
                running: byte % 16,
                waiting: byte / 128,
                restarted: byte % 8 == 0,
            },
            27 if byte < 64 => Self::Reset,
            28 if byte < 16 => Self::Drain,
            _ => Self::Wait(u16::from(byte)),
        }
    }
}

/// The gate under test, with the calls that its caller knows to be running or
/// queued, each with its tokens, and those refused.
struct Model {
    gate: Gate,
    now: Moment,
    next: u64,
    incarnation: u64,
    running: BTreeMap<u64, u64>,
    queued: BTreeMap<u64, u64>,
    refused: HashSet<u64>,
}

impl Model {
    fn new() -> Self {
        let settings = Settings {
            queue: queue::Settings {
                calls: QUEUE_CALLS,
                ..queue::Settings::default()
            },
            ..Settings::default()
        };
        Self {
            gate: Gate::new(settings),
            now: Moment::default(),
            next: 0,
            incarnation: 1,
            running: BTreeMap::new(),
            queued: BTreeMap::new(),
            refused: HashSet::new(),
        }
    }

    fn offer(&self, call: u64) -> Offer {
        Offer {
            call,
            workspace: Workspace(0),
            tokens: 100,
            urgency: 3,
            deadline: self.now + Duration::from_secs(5),
            service_time: Duration::ZERO,
            entry: Vm(0),
        }
    }

    /// Records an admission and checks it against the limit.
    fn admitted(&mut self, call: u64, tokens: u64) {
        assert!(
            !self.refused.contains(&call),
            "call {call} was refused before"
        );
        assert!(
            self.running.insert(call, tokens).is_none(),
            "call {call} runs twice"
        );
        let limit = self.gate.snapshot().limit;
        let held: u64 = self.running.values().sum();
        let only_call = self.running.len() == 1;
        assert!(
            self.running.len() <= limit.calls as usize,
            "over the limit of calls"
        );
        assert!(
            only_call || held <= limit.tokens,
            "over the limit of tokens"
        );
    }

    fn poll(&mut self) {
        let decisions: Vec<_> = self.gate.poll(self.now).collect();
        for decision in decisions {
            let call = decision.call();
            let tokens = self
                .queued
                .remove(&call)
                .expect("only queued calls are decided");
            match decision {
                Decision::Admitted { .. } => self.admitted(call, tokens),
                Decision::Shed { .. } => assert!(self.refused.insert(call)),
            }
        }
    }

    fn pick(&self, byte: u8) -> Option<u64> {
        let nth = usize::from(byte) % self.running.len().max(1);
        self.running.keys().nth(nth).copied()
    }

    fn finish(&mut self, byte: u8, outcome: Outcome) {
        if let Some(call) = self.pick(byte) {
            assert!(self.gate.finish(self.now, call, Sample { outcome }));
            assert!(
                !self.gate.finish(self.now, call, Sample { outcome }),
                "finished twice"
            );
            self.running.remove(&call);
        }
    }

    fn cancel(&mut self, byte: u8) {
        let all: Vec<_> = self
            .running
            .keys()
            .chain(self.queued.keys())
            .copied()
            .collect();
        if let Some(call) = all.get(usize::from(byte) % all.len().max(1)) {
            assert!(self.gate.cancel(self.now, *call));
            assert!(!self.gate.cancel(self.now, *call), "cancelled twice");
            self.running.remove(call);
            self.queued.remove(call);
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Offer {
                workspace,
                tokens,
                urgency,
                timeout_ms,
            } => {
                let call = self.next;
                self.next += 1;
                let offer = Offer {
                    workspace: Workspace(u32::from(workspace)),
                    tokens: u64::from(tokens).max(1),
                    urgency,
                    deadline: self.now + Duration::from_millis(timeout_ms.into()),
                    ..self.offer(call)
                };
                match self.gate.offer(self.now, offer) {
                    Verdict::Admitted => self.admitted(call, offer.tokens),
                    Verdict::Queued => drop(self.queued.insert(call, offer.tokens)),
                    Verdict::Refused { .. } => drop(self.refused.insert(call)),
                    Verdict::Duplicate => panic!("call {call} is new"),
                }
            }
            Op::First(byte) => {
                if let Some(call) = self.pick(byte) {
                    self.gate.first_token(self.now, call);
                }
            }
            Op::Progress(byte) => {
                if let Some(call) = self.pick(byte) {
                    self.gate.progress(self.now, call, u64::from(byte % 4));
                }
            }
            Op::Finish(byte, kind) => {
                let outcome = match kind {
                    0..200 => Outcome::Done,
                    200..240 => Outcome::Failed,
                    240.. => Outcome::Crashed,
                };
                self.finish(byte, outcome);
            }
            Op::Cancel(byte) => self.cancel(byte),
            Op::Observe {
                running,
                waiting,
                restarted,
            } => {
                self.incarnation += u64::from(restarted);
                let report = Report {
                    incarnation: self.incarnation,
                    running: running.into(),
                    waiting: waiting.into(),
                    step: Duration::from_millis(20),
                    own_step: Duration::ZERO,
                };
                self.gate.observe(self.now, &report);
            }
            Op::Reset => {
                self.gate.reset(self.now, Cause::Start);
                let initial = Settings::default().learn.initial;
                assert_eq!(self.gate.snapshot().limit, initial, "not the initial limit");
            }
            Op::Wait(millis) => self.now = self.now + Duration::from_millis(millis.into()),
            Op::Drain => self.gate.drain(self.now),
        }
    }

    fn check(&self) {
        let report = self.gate.snapshot();
        let load = |calls: &BTreeMap<u64, u64>| Load {
            calls: calls.len() as u32,
            tokens: calls.values().sum(),
        };
        assert_eq!(report.in_flight, load(&self.running));
        assert_eq!(report.queued, load(&self.queued));
        assert!(self.queued.len() <= QUEUE_CALLS, "the queue is bounded");
    }
}

/// Fails if calls are admitted over the limit, lost, counted twice, or started
/// after a refusal, or if any stay in flight after all calls have ended.
#[test]
fn calls_are_counted_exactly_in_any_order() {
    fn run(ops: Vec<Op>, ends: Vec<u8>) -> TestResult {
        let mut model = Model::new();
        for op in ops {
            model.apply(op);
            model.poll();
            model.check();
        }
        let mut ends = ends.into_iter().chain(std::iter::repeat(0));
        while !model.running.is_empty() || !model.queued.is_empty() {
            let byte = ends.next().unwrap_or(0);
            if byte.is_multiple_of(2) {
                model.cancel(byte);
            } else {
                model.finish(byte, Outcome::Done);
            }
            model.poll();
            model.check();
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 7))
        .tests(3000)
        .quickcheck(run as fn(Vec<Op>, Vec<u8>) -> TestResult);
}

/// Guards against an upstream that gets no more calls: without calls there are
/// no tokens, so a hold that only tokens can end must not block the only call.
#[test]
fn an_idle_upstream_takes_a_call() {
    fn run(ops: Vec<Op>, tokens: u16) -> TestResult {
        let mut model = Model::new();
        for op in ops.into_iter().filter(|op| !matches!(op, Op::Drain)) {
            model.apply(op);
            model.poll();
        }
        while !model.running.is_empty() || !model.queued.is_empty() {
            model.cancel(0);
            model.poll();
        }
        model.apply(Op::Observe {
            running: 0,
            waiting: 0,
            restarted: false,
        });
        let offer = Offer {
            tokens: u64::from(tokens).max(1),
            ..model.offer(model.next)
        };
        let verdict = model.gate.offer(model.now, offer);
        assert_eq!(verdict, Verdict::Admitted, "{tokens} tokens");
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 11))
        .tests(3000)
        .quickcheck(run as fn(Vec<Op>, u16) -> TestResult);
}

/// Fails if a refusal has no retry delay, or if a draining gate accepts, keeps
/// or admits work.
#[test]
fn a_draining_gate_refuses_new_and_queued_work() {
    let mut model = Model::new();
    for call in 0..6 {
        let offer = model.offer(call);
        model.gate.offer(model.now, offer);
    }
    assert!(model.gate.snapshot().queued.calls > 0);
    model.gate.drain(model.now);
    for decision in model.gate.poll(model.now) {
        let Decision::Shed {
            reason,
            retry_after,
            ..
        } = decision
        else {
            panic!("a draining gate admitted a call");
        };
        assert_eq!(reason, Reason::Leaving);
        assert!(retry_after > Duration::ZERO);
    }
    let verdict = model.gate.offer(model.now, model.offer(9));
    assert!(matches!(
        verdict,
        Verdict::Refused {
            reason: Reason::Leaving,
            ..
        }
    ));
    assert_eq!(model.gate.snapshot().queued, Load::default());
    assert!(
        model.gate.snapshot().in_flight.calls > 0,
        "running calls continue"
    );
}

/// Fails if a decision is lost because its poll was not read to the end, or is
/// yielded for a call that was cancelled in between.
#[test]
fn unread_decisions_are_kept_and_cancelled_ones_dropped() {
    let mut model = Model::new();
    for call in 0..6 {
        let offer = model.offer(call);
        model.gate.offer(model.now, offer);
    }
    let queued = model.gate.snapshot().queued.calls as usize;
    assert!(queued >= 3);
    model.gate.drain(model.now);
    let first = model
        .gate
        .poll(model.now)
        .next()
        .expect("a decision")
        .call();
    assert!(
        !model.gate.cancel(model.now, first + 1),
        "the call was already shed"
    );
    let rest: Vec<_> = model.gate.poll(model.now).map(|d| d.call()).collect();
    assert_eq!(rest.len(), queued - 2);
    assert!(!rest.contains(&first) && !rest.contains(&(first + 1)));
}

/// Fails if a call waits beyond the point where it could still complete.
#[test]
fn calls_are_shed_at_their_latest_start() {
    let mut model = Model::new();
    let mut last = Verdict::Admitted;
    for call in 0..9 {
        let offer = Offer {
            service_time: Duration::from_secs(3),
            ..model.offer(call)
        };
        last = model.gate.offer(model.now, offer);
    }
    assert_eq!(last, Verdict::Queued);
    let wake = model
        .gate
        .next_wake()
        .expect("a queued call has a latest start");
    assert!(wake > Moment::from_millis(2000) && wake < Moment::from_millis(2001));
    assert!(
        model
            .gate
            .poll(Moment::from_millis(2000))
            .all(|d| matches!(d, Decision::Admitted { .. }))
    );
    let shed = model.gate.poll(wake).collect::<Vec<_>>();
    assert!(!shed.is_empty());
    let late = |d: &Decision| {
        matches!(
            d,
            Decision::Shed {
                reason: Reason::Deadline,
                ..
            }
        )
    };
    assert!(shed.iter().all(late));
}

/// Fails if a crashed upstream, which refuses connections quickly, attracts
/// calls that other upstreams could serve.
#[test]
fn a_crashed_upstream_takes_no_work_until_its_next_report() {
    let mut model = Model::new();
    assert_eq!(
        model.gate.offer(model.now, model.offer(0)),
        Verdict::Admitted
    );
    let outcome = Outcome::Crashed;
    model.gate.finish(model.now, 0, Sample { outcome });
    let verdict = model.gate.offer(model.now, model.offer(1));
    assert!(matches!(
        verdict,
        Verdict::Refused {
            reason: Reason::Cold,
            ..
        }
    ));
    assert_eq!(model.gate.credits(model.now, Vm(0)).calls, 0);
    model.gate.observe(
        model.now,
        &Report {
            incarnation: 2,
            running: 0,
            waiting: 0,
            step: Duration::ZERO,
            own_step: Duration::ZERO,
        },
    );
    assert_eq!(
        model.gate.offer(model.now, model.offer(2)),
        Verdict::Admitted
    );
}

/// Fails if a second offer of the same call is counted again.
#[test]
fn an_offer_of_a_known_call_changes_nothing() {
    let mut model = Model::new();
    for call in [0, 1, 2, 3] {
        let offer = model.offer(call);
        model.gate.offer(model.now, offer);
    }
    let before = model.gate.snapshot();
    for call in [0, 3] {
        let offer = model.offer(call);
        assert_eq!(model.gate.offer(model.now, offer), Verdict::Duplicate);
    }
    assert_eq!(model.gate.snapshot(), before);
}
