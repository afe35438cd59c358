//! Processor time of admitting one call at an agent's gate.

use std::hint::black_box;
use std::time::{Duration, Instant};

use sesamerock_base::key::{Vm, Workspace};
use sesamerock_base::time::Moment;
use sesamerock_limit::gate::{Gate, Offer, Sample, Settings, Verdict};
use sesamerock_limit::learn::{self, Bounds, Load, Outcome};

const ADMISSIONS: u64 = 1_000_000;
/// Time from the end of one call to the offer of the next, and between the two
/// tokens of a call.
const STEP: Duration = Duration::from_millis(1);
/// Prompt and completion of a call of the admission run.
const CALL_TOKENS: u64 = 800;
/// Workspaces and entries whose calls take turns at the gate.
const WORKSPACES: u64 = 18;
const ENTRIES: u64 = 4;

/// Returns the nanoseconds that a gate spends on one call that is admitted at
/// once: offer, first token, one more token, end and poll. The queue is empty;
/// `fairness` prints the cost of a call with a full one.
pub fn cost(in_flight: u64) -> f64 {
    let mut gate = open_gate(in_flight);
    let mut now = Moment::from_millis(1);
    let mut admitted = 0_u64;
    let start = Instant::now();
    for call in 0..ADMISSIONS {
        now = now + STEP;
        let verdict = gate.offer(now, offer(call, now));
        admitted += u64::from(verdict == Verdict::Admitted);
        gate.first_token(now, call);
        now = now + STEP;
        gate.progress(now, call, 1);
        if let Some(oldest) = (call + 1).checked_sub(in_flight) {
            let sample = Sample {
                outcome: Outcome::Done,
            };
            gate.finish(now, oldest, sample);
        }
        black_box(gate.poll(now).count());
    }
    let time = start.elapsed();
    assert_eq!(admitted, ADMISSIONS, "a call was queued or refused");
    super::per(time, ADMISSIONS as f64)
}

/// Returns a gate whose limit begins at the calls in flight of the run. The
/// lower bound stays small, since the gate skips its checks for a load within it.
fn open_gate(in_flight: u64) -> Gate {
    let limit = Load {
        calls: in_flight as u32,
        tokens: in_flight * CALL_TOKENS,
    };
    let bounds = Bounds {
        max: limit,
        ..learn::Settings::default().bounds
    };
    Gate::new(Settings {
        learn: learn::Settings {
            initial: limit,
            bounds,
        },
        ..Settings::default()
    })
}

fn offer(call: u64, now: Moment) -> Offer {
    Offer {
        call,
        workspace: Workspace((call % WORKSPACES) as u32),
        tokens: CALL_TOKENS,
        urgency: 3,
        deadline: now + Duration::from_secs(10),
        service_time: Duration::ZERO,
        entry: Vm((call % ENTRIES) as u32),
    }
}
