//! Processor time of passing streamed tokens on, of one choice of upstream, and
//! of one admission.
//!
//! Real time on one thread, without sockets: the share that the decision crates
//! have in the overhead of an entry and of an agent.

mod admission;

use std::hint::black_box;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use sesamerock_base::key::{Upstream, Zone};
use sesamerock_base::time::Moment;
use sesamerock_retry::resume::{Settings, Stream};
use sesamerock_route::choice::Request;
use sesamerock_route::hash;
use sesamerock_route::load::{Rank, Report as Load};
use sesamerock_route::pick::Picker;
use sesamerock_route::profile::{LoadedModel, Profile};

use crate::report::Report;

const TOKENS: usize = 400_000;
const PICKS: u32 = 100_000;
/// Tokens per second through one entry, from `docs/design.md`, section 11.
const RATE: f64 = 200_000.0;

/// Runs the measure.
pub fn run(seed: u64, report: &mut Report) {
    for (name, tokens, per_chunk) in [
        ("short", 200, 1),
        ("long", 4_000, 1),
        ("long-batched", 4_000, 8),
    ] {
        let nanos = stream(tokens, per_chunk);
        report.line(&[
            ("stream", &name),
            ("tokens", &tokens),
            ("tokens_per_chunk", &per_chunk),
            ("ns_per_token", &format!("{nanos:.0}")),
            ("cores_at_200k_per_s", &format!("{:.3}", nanos * RATE / 1e9)),
        ]);
    }
    let copy = copy();
    report.line(&[
        ("stream", &"baseline-copy"),
        ("ns_per_token", &format!("{copy:.0}")),
    ]);
    for upstreams in [12, 38] {
        let nanos = pick(seed, upstreams);
        report.line(&[
            ("pick_upstreams", &upstreams),
            ("ns_per_pick", &format!("{nanos:.0}")),
        ]);
    }
    for in_flight in [1, 16, 256] {
        let nanos = admission::cost(in_flight);
        report.line(&[
            ("admission_in_flight", &in_flight),
            ("ns_per_admission", &format!("{nanos:.0}")),
        ]);
    }
}

fn event() -> String {
    let head = r#"data: {"id":"chatcmpl-8f14e45fceea167a","object":"chat.completion.chunk","#;
    let body = r#""created":1764822060,"model":"chalk-70b","choices":[{"index":0,"#;
    format!(r#"{head}{body}"delta":{{"content":" colour"}},"finish_reason":null}}]}}"#) + "\n\n"
}

/// Returns the nanoseconds per token of streams of a length.
fn stream(tokens: usize, per_chunk: usize) -> f64 {
    let chunk = Bytes::from(event().repeat(per_chunk));
    let start = Instant::now();
    for _ in 0..TOKENS / tokens {
        let mut stream = Stream::new(1, Settings::default());
        for _ in 0..tokens / per_chunk {
            black_box(stream.push(1, &chunk));
        }
    }
    per(start.elapsed(), TOKENS as f64)
}

/// Returns the nanoseconds of copying one event, for comparison.
fn copy() -> f64 {
    let chunk = Bytes::from(event());
    let start = Instant::now();
    for _ in 0..TOKENS {
        black_box(Bytes::copy_from_slice(black_box(&chunk)));
    }
    per(start.elapsed(), TOKENS as f64)
}

/// Returns the nanoseconds of one choice among upstreams of 64 ranks.
fn pick(seed: u64, upstreams: u32) -> f64 {
    let mut picker = Picker::default();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let now = Moment::from_millis(1_000);
    let pool: Vec<_> = (0..upstreams).map(Upstream).collect();
    for upstream in &pool {
        let profile = Profile {
            name: hash::name(upstream.0.to_le_bytes()),
            zone: Zone(upstream.0 % 3),
            ranks: 64,
            models: vec![LoadedModel::default()],
            ..Profile::default()
        };
        picker.upsert(*upstream, profile);
        let load = Load {
            calls: 100 + upstream.0,
            call_limit: 800,
            step: Duration::from_millis(30),
            ranks: vec![
                Rank {
                    tokens: 9_000,
                    step: Duration::from_millis(28)
                };
                64
            ],
            ..Load::default()
        };
        picker.report(*upstream, load, now);
    }
    let prompt: Vec<u64> = (0..64).collect();
    let request = Request {
        tokens: 1_500,
        prompt: 1_024,
        prefix: &prompt,
        ..Request::default()
    };
    let start = Instant::now();
    for _ in 0..PICKS {
        black_box(
            picker
                .pick(black_box(&request), &pool, now, &mut rng)
                .is_ok(),
        );
    }
    per(start.elapsed(), f64::from(PICKS))
}

fn per(time: Duration, count: f64) -> f64 {
    time.as_nanos() as f64 / count
}
