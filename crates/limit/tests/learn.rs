//! The learned limit follows evidence, on a small engine in virtual time.

use std::collections::HashMap;
use std::time::Duration;

use sesamerock_base::key::{Vm, Workspace};
use sesamerock_base::time::Moment;
use sesamerock_limit::gate::{Decision, Gate, Offer, Sample, Settings, Verdict};
use sesamerock_limit::learn::{Cause, Outcome, Report};

const STEP: Duration = Duration::from_millis(20);
const OUTPUT_TOKENS: u32 = 100;

/// An engine that runs up to `capacity` calls and `room` tokens, each step one
/// token for each call; callers always want more.
struct EngineSim {
    gate: Gate,
    now: Moment,
    step: Duration,
    capacity: usize,
    token_capacity: u64,
    /// Tokens and length of the next calls.
    call_tokens: u64,
    output_tokens: u32,
    tokens_by_call: HashMap<u64, u64>,
    running: Vec<(u64, u32)>,
    waiting: Vec<u64>,
    next_call: u64,
    peak_calls: usize,
    queued: u32,
    admitted: u32,
    /// Calls admitted beyond the capacity.
    over_capacity: u32,
}

impl EngineSim {
    fn new(capacity: usize) -> Self {
        Self {
            gate: Gate::new(Settings::default()),
            now: Moment::default(),
            step: STEP,
            capacity,
            token_capacity: u64::MAX,
            call_tokens: 500,
            output_tokens: OUTPUT_TOKENS,
            tokens_by_call: HashMap::new(),
            running: Vec::new(),
            waiting: Vec::new(),
            next_call: 0,
            peak_calls: 0,
            queued: 0,
            admitted: 0,
            over_capacity: 0,
        }
    }

    fn offer(&mut self) {
        let call = self.next_call;
        self.next_call += 1;
        self.tokens_by_call.insert(call, self.call_tokens);
        let offer = Offer {
            call,
            workspace: Workspace(0),
            tokens: self.call_tokens,
            urgency: 3,
            deadline: self.now + Duration::from_mins(10),
            service_time: Duration::ZERO,
            entry: Vm(0),
        };
        match self.gate.offer(self.now, offer) {
            Verdict::Admitted => self.admit(call),
            Verdict::Queued => self.queued += 1,
            Verdict::Refused { .. } | Verdict::Duplicate => {}
        }
    }

    fn admit(&mut self, call: u64) {
        self.waiting.push(call);
        self.admitted += 1;
        let present = self.running.len() + self.waiting.len();
        self.over_capacity += u32::from(present > self.capacity);
    }

    fn next_call_fits(&self) -> bool {
        let tokens = |call: &u64| self.tokens_by_call[call];
        let used: u64 = self.running.iter().map(|(call, _)| tokens(call)).sum();
        let fits = |call| used + tokens(call) <= self.token_capacity || self.running.is_empty();
        self.running.len() < self.capacity && self.waiting.first().is_some_and(fits)
    }

    fn poll(&mut self) {
        for decision in self.gate.poll(self.now).collect::<Vec<_>>() {
            self.queued -= 1;
            if let Decision::Admitted { call } = decision {
                self.admit(call);
            }
        }
        self.peak_calls = self.peak_calls.max(self.running.len() + self.waiting.len());
    }

    /// Runs one step with a backlog of `demand` calls before the gate.
    fn step(&mut self, demand: u32) {
        while self.queued < demand {
            let queued = self.queued;
            self.offer();
            if self.queued == queued {
                break;
            }
        }
        self.poll();
        while self.next_call_fits() {
            self.running
                .push((self.waiting.remove(0), self.output_tokens));
        }
        self.now = self.now + self.step;
        for (call, left) in &mut self.running {
            if *left == self.output_tokens {
                self.gate.first_token(self.now, *call);
            } else {
                self.gate.progress(self.now, *call, 1);
            }
            *left -= 1;
            if *left == 0 {
                let outcome = Outcome::Done;
                self.gate.finish(self.now, *call, Sample { outcome });
            }
        }
        self.running.retain(|(_, left)| *left > 0);
        self.poll();
    }

    fn run(&mut self, steps: u32, demand: u32) {
        for _ in 0..steps {
            self.step(demand);
        }
    }

    fn limit(&self) -> u32 {
        self.gate.report().limit.calls
    }
}

/// Fails if the limit stays at its first value under healthy load at the limit.
#[test]
fn grows_with_healthy_work_at_the_limit() {
    let mut sim = EngineSim::new(1000);
    let first = sim.limit();
    sim.run(600, 8);
    assert!(sim.limit() >= 16 * first, "limit {}", sim.limit());
}

/// Fails if the limit grows while nobody is held back by it, be it with time or
/// with work far below it.
#[test]
fn does_not_grow_without_demand() {
    let mut sim = EngineSim::new(1000);
    let first = sim.limit();
    sim.now = sim.now + Duration::from_hours(1);
    sim.poll();
    sim.offer();
    sim.run(99, 0);
    sim.offer();
    sim.run(99, 0);
    assert_eq!(sim.limit(), first);
}

/// Fails if work far below the limit counts as evidence because some call was
/// held back before.
#[test]
fn does_not_grow_below_the_limit() {
    let mut sim = EngineSim::new(1000);
    let first = sim.limit();
    sim.run(3, 0);
    sim.offer();
    sim.run(3, 0);
    sim.offer();
    sim.run(3, 0);
    sim.offer();
    assert_eq!(sim.queued, 1, "the third call is held back by the limit");
    for (call, _) in std::mem::take(&mut sim.running) {
        assert!(sim.gate.cancel(sim.now, call));
    }
    sim.run(OUTPUT_TOKENS - 1, 0);
    assert_eq!(sim.gate.report().in_flight.calls, 1);
    assert_eq!(sim.limit(), first);
}

/// Fails if an engine that gives no sign before its capacity is exceeded gets
/// more than one call beyond it at a time.
#[test]
fn exceeds_an_unsignalled_capacity_by_one_call() {
    for capacity in [3, 7, 20, 64, 150] {
        let mut sim = EngineSim::new(capacity);
        sim.run(4000, 8);
        assert!(
            sim.peak_calls <= capacity + 1,
            "{} of {capacity}",
            sim.peak_calls
        );
        let limit = sim.limit() as usize;
        assert!(
            limit * 10 >= capacity * 8 || limit + 1 >= capacity,
            "{limit} of {capacity}"
        );
    }
}

/// Fails if a cold engine is sent more than it bears again and again, since
/// other calls end before a wait shows: three engines got five calls too many.
#[test]
fn a_cold_engine_is_probed_once() {
    for pause in 2..=6 {
        let mut sim = EngineSim::new(2);
        sim.output_tokens = 8;
        for _ in 0..20 {
            sim.offer();
            sim.run(pause, 0);
        }
        assert!(
            sim.over_capacity <= 1,
            "{} with pause {pause}",
            sim.over_capacity
        );
    }
}

/// Fails if a limit stops growing since short calls are replaced at every step:
/// it stayed at 15 of 40.
#[test]
fn short_calls_do_not_stop_growth() {
    let mut sim = EngineSim::new(40);
    sim.output_tokens = 20;
    sim.run(600, 60);
    assert!(sim.limit() >= 36, "limit {}", sim.limit());
}

/// Fails if a failed probe lowers the ceiling below the load that was proven
/// before it: of short calls some always wait for the next step, and what had
/// started was taken for all that the engine holds.
#[test]
fn a_failed_probe_keeps_the_proven_load() {
    for output_tokens in [5, 10, 20] {
        let mut sim = EngineSim::new(16);
        sim.output_tokens = output_tokens;
        sim.run(3000, 60);
        assert!(
            sim.peak_calls <= 17,
            "{} calls of {output_tokens}",
            sim.peak_calls
        );
        let ceiling = sim.gate.report().ceiling.expect("a probe failed");
        assert!(
            ceiling.calls >= 16,
            "{ceiling:?} with {output_tokens} tokens a call"
        );
    }
}

/// Fails if a shrinking token capacity is blamed on the number of calls, so that
/// small calls get a fraction of what the engine holds.
#[test]
fn large_calls_do_not_lower_the_limit_of_calls() {
    let mut sim = EngineSim::new(1000);
    (sim.output_tokens, sim.token_capacity) = (20, 20_000);
    sim.run(600, 60);
    let calls = sim.limit();
    assert!(calls >= 30, "limit {calls}");
    // The queued small calls run first, then the large ones fill the engine.
    sim.call_tokens = 2_000;
    sim.run(80, 10);
    sim.token_capacity = 16_000;
    sim.run(80, 10);
    let limit = sim.gate.report().limit;
    assert!(limit.tokens < 18_000, "the loss was not noticed: {limit:?}");
    assert!(limit.calls >= calls / 2, "calls {calls}, then {limit:?}");
}

/// Fails if the limit does not come down after capacity has fallen unseen.
#[test]
fn follows_a_capacity_that_falls() {
    let mut sim = EngineSim::new(100);
    sim.run(3000, 8);
    assert!(sim.limit() > 80);
    sim.capacity = 60;
    sim.run(3000, 8);
    assert!(sim.limit() <= 61, "limit {}", sim.limit());
}

/// Fails if a turn to cold without notice, seen only in the step time, leaves
/// the limit where it was or lets more work in.
#[test]
fn resets_on_unexplained_slowness() {
    let mut sim = EngineSim::new(100);
    sim.run(1000, 8);
    let resets = sim.gate.report().resets;
    sim.step = 3 * STEP;
    let admitted = sim.admitted;
    sim.run(6, 8);
    assert_eq!(sim.gate.report().resets, resets + 1);
    // The turn shows after two slow steps, in each of which one call ends.
    let more = sim.admitted - admitted;
    assert!(more <= 3, "{more} calls were sent to a cold engine");
    assert!(sim.limit() <= 4, "limit {}", sim.limit());
}

/// Fails if one slow step, such as a long prefill, costs the learned limit.
#[test]
fn one_slow_step_does_not_reset() {
    let mut sim = EngineSim::new(100);
    sim.run(1000, 8);
    sim.step = 3 * STEP;
    sim.run(1, 8);
    sim.step = STEP;
    sim.run(100, 8);
    assert_eq!(sim.gate.report().resets, 0);
}

/// Fails if a restart that only a late report shows is missed.
#[test]
fn resets_on_a_new_incarnation() {
    let mut sim = EngineSim::new(100);
    let report = |incarnation| Report {
        incarnation,
        running: 10,
        waiting: 0,
        step: STEP,
        own_step: Duration::ZERO,
    };
    sim.gate.observe(sim.now, &report(1));
    sim.run(1000, 8);
    sim.gate.observe(sim.now, &report(1));
    assert_eq!(sim.gate.report().resets, 0);
    sim.gate.observe(sim.now, &report(2));
    assert_eq!(sim.gate.report().resets, 1);
    assert_eq!(sim.gate.report().limit, Settings::default().learn.initial);
    sim.gate.reset(sim.now, Cause::Start);
    assert_eq!(sim.gate.report().limit, Settings::default().learn.initial);
}

/// Fails if calls that an engine counts as waiting only until its next step
/// read as trouble and pull the limit down.
#[test]
fn calls_that_wait_for_the_next_step_are_no_trouble() {
    let mut sim = EngineSim::new(1000);
    for _ in 0..400 {
        sim.step(8);
        let report = Report {
            incarnation: 1,
            running: sim.running.len() as u32,
            waiting: sim.waiting.len() as u32,
            step: STEP,
            own_step: Duration::ZERO,
        };
        sim.gate.observe(sim.now, &report);
    }
    assert!(sim.gate.report().ceiling.is_none());
    assert!(sim.limit() > 20, "limit {}", sim.limit());
}

/// Fails if one call that hangs before its first token stops admission, or costs
/// the learned limit, where there is room for many.
#[test]
fn a_hanging_call_does_not_stop_others() {
    let mut sim = EngineSim::new(1000);
    sim.run(600, 8);
    sim.run(2 * OUTPUT_TOKENS, 0);
    let limit = sim.limit();
    sim.offer();
    let hanging = sim.waiting.pop().expect("the call is admitted");
    let admitted = sim.admitted;
    for _ in 0..20 {
        sim.offer();
        sim.run(20, 0);
    }
    sim.run(OUTPUT_TOKENS, 0);
    assert_eq!(sim.admitted, admitted + 20);
    assert_eq!(sim.limit(), limit);
    assert!(sim.gate.cancel(sim.now, hanging));
}

/// Fails if a plain service, which streams nothing, keeps the first limit or
/// keeps a high one after its latency has multiplied.
#[test]
fn learns_without_tokens() {
    let mut gate = Gate::new(Settings::default());
    let mut now = Moment::default();
    let mut call = 0;
    let mut round = |gate: &mut Gate, latency: Duration| {
        let mut running = Vec::new();
        loop {
            call += 1;
            let offer = Offer {
                call,
                workspace: Workspace(0),
                tokens: 1,
                urgency: 3,
                deadline: now + Duration::from_mins(1),
                service_time: Duration::ZERO,
                entry: Vm(0),
            };
            if gate.offer(now, offer) != Verdict::Admitted {
                gate.cancel(now, call);
                break;
            }
            running.push(call);
        }
        now = now + latency;
        for call in running {
            let outcome = Outcome::Done;
            gate.finish(now, call, Sample { outcome });
        }
    };
    for _ in 0..400 {
        round(&mut gate, Duration::from_millis(5));
    }
    let grown = gate.report().limit.calls;
    assert!(grown >= 8, "limit {grown}");
    for _ in 0..20 {
        round(&mut gate, Duration::from_millis(50));
    }
    assert!(gate.report().limit.calls < grown);
}

/// Fails if a rank is taken for cold because its group waits for another one,
/// or if its own slowness no longer counts.
#[test]
fn a_rank_that_waits_for_others_keeps_its_limit() {
    let slow = 3 * STEP;
    for (own, resets) in [(STEP, 0), (slow, 1)] {
        let mut sim = EngineSim::new(100);
        sim.run(1000, 8);
        let limit = sim.limit();
        sim.step = slow;
        for _ in 0..20 {
            // The report is read more often than SLOW steps pass.
            let report = Report {
                incarnation: 1,
                running: sim.running.len() as u32,
                waiting: 0,
                step: slow,
                own_step: own,
            };
            sim.gate.observe(sim.now, &report);
            sim.run(5, 8);
        }
        assert_eq!(sim.gate.report().resets, resets, "own {own:?}");
        assert_eq!(sim.limit() >= limit, resets == 0, "own {own:?}");
    }
}
