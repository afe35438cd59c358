//! An admission gate in front of one upstream, without sockets or tasks.
//!
//! The program offers calls, runs those that are admitted, and reports their
//! results to the gate, which learns from them how much load the upstream can
//! run.

use std::time::Duration;

use sesamerock_base::key::{Vm, Workspace};
use sesamerock_base::time::Moment;
use sesamerock_limit::gate::{Gate, Offer, Sample, Settings, Verdict};
use sesamerock_limit::learn::Outcome;

fn main() {
    let mut gate = Gate::new(Settings::default());
    let mut now = Moment::from_millis(1);
    for call in 0..5 {
        let offer = Offer {
            call,
            workspace: Workspace(0),
            tokens: 300,
            urgency: 3,
            deadline: now + Duration::from_secs(10),
            service_time: Duration::ZERO,
            entry: Vm(0),
        };
        match gate.offer(now, offer) {
            Verdict::Admitted => println!("call {call} runs"),
            Verdict::Queued => println!("call {call} waits"),
            other => println!("call {call} is refused: {other:?}"),
        }
    }
    // The first call streams and ends, so a queued call may be admitted.
    gate.first_token(now, 0);
    now = now + Duration::from_millis(40);
    gate.progress(now, 0, 1);
    gate.finish(
        now,
        0,
        Sample {
            outcome: Outcome::Done,
        },
    );
    for decision in gate.poll(now) {
        println!("decided: {decision:?}");
    }
    println!("limit: {:?}", gate.snapshot().limit);
}
