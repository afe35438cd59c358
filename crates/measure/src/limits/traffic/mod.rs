//! Open-loop arrivals of calls.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamerock_base::key::Workspace;

pub const ENTRIES: usize = 4;
pub const SECOND: u64 = 1_000_000;
const WORKSPACES: u32 = 10;
/// Means of the prompt and completion lengths drawn below.
pub const MEAN_PROMPT: f64 = 800.0;
pub const MEAN_OUTPUT: f64 = 220.0;
/// Load over the throughput of all engines warm and without drift: mean,
/// swing, and period. Load ramps up over the first minute, as all are cold.
const LOAD: f64 = 0.85;
const LOAD_SWING: f64 = 0.2;
const LOAD_PERIOD: f64 = 240.0;
const RAMP_SECONDS: f64 = 60.0;
/// A caller waits this long plus this much per token of the completion.
const PATIENCE_US: u64 = 5 * SECOND;
const PATIENCE_TOKEN_US: u64 = 80_000;
/// Largest prompt and completion.
const PROMPT_MAX: f64 = 4000.0;
const OUTPUT_MAX: f64 = 1000.0;

/// A call and what became of it so far.
#[derive(Clone, Copy, Debug)]
pub struct CallState {
    pub entry: usize,
    pub workspace: Workspace,
    pub arrived: u64,
    pub deadline: u64,
    pub prompt: u64,
    pub output: u32,
    pub attempts: u32,
    pub tried: u32,
    pub engine: Option<usize>,
    /// When it was sent to the engine.
    pub sent: u64,
    pub over: bool,
}

/// Draws calls and the time between them.
#[derive(Debug)]
pub struct Traffic {
    rng: ChaCha8Rng,
    /// Calls per second at a load of 1.
    rate: f64,
}

impl Traffic {
    pub fn new(seed: u64, rate: f64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            rate,
        }
    }

    /// Draws a call that arrives now.
    pub fn call(&mut self, now: u64) -> CallState {
        let prompt = self.length(MEAN_PROMPT, PROMPT_MAX);
        let output = self.length(MEAN_OUTPUT, OUTPUT_MAX) as u32;
        CallState {
            entry: self.rng.random_range(0..ENTRIES),
            workspace: Workspace(self.rng.random_range(0..WORKSPACES)),
            arrived: now,
            deadline: now + PATIENCE_US + PATIENCE_TOKEN_US * u64::from(output),
            prompt,
            output,
            attempts: 0,
            tried: 0,
            engine: None,
            sent: 0,
            over: false,
        }
    }

    /// Draws the time to the next call, in microseconds.
    pub fn gap(&mut self, now: u64) -> u64 {
        let unit = -(1.0 - self.rng.random::<f64>()).ln();
        (unit / (self.rate * load(now)) * 1e6) as u64
    }

    /// Draws a length: exponential with a floor of a quarter of the mean.
    fn length(&mut self, mean: f64, most: f64) -> u64 {
        let tail = -(1.0 - self.rng.random::<f64>()).ln();
        (mean * (0.25 + 0.75 * tail)).min(most) as u64
    }
}

/// Returns the load at a moment over the nominal throughput.
fn load(now: u64) -> f64 {
    let seconds = now as f64 / 1e6;
    let wave = (std::f64::consts::TAU * seconds / LOAD_PERIOD).sin();
    (LOAD + LOAD_SWING * wave) * (seconds / RAMP_SECONDS).clamp(0.02, 1.0)
}
