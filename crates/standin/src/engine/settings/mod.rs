//! Settings of the stand-in engine: speed, capacity and injected faults.

use std::time::Duration;

/// Behaviour of the stand-in that a test may change while it runs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Duration of a step without calls.
    pub step: Duration,
    /// Addition to the step time for each call in the batch.
    pub step_per_call: Duration,
    /// Factor on the step time; above 1 the rank is a straggler of its group.
    pub slowdown: f64,
    /// Whether a rank of a group hangs, so that the group does not step.
    pub hangs: bool,
    /// Whether a rank reports its own step time.
    pub reports_own_step: bool,
    /// Tokens that each call gets per step. Timers have a resolution of 1 ms, so a
    /// faster engine needs more than one token per step.
    pub tokens_per_step: u64,
    /// Calls that run at once; more wait inside the engine.
    pub capacity: usize,
    /// Calls that run at once during the cold start.
    pub cold_capacity: usize,
    /// Tokens that the engine generates before its cold start ends.
    pub cold_tokens: u64,
    /// Calls present, as a multiple of the current capacity, above which
    /// the engine crashes.
    pub collapse: usize,
    /// Models loaded, as `name@version`.
    pub models: Vec<String>,
    /// Models that fit in memory.
    pub room: usize,
    /// Time to fetch a model and warm it up.
    pub load_time: Duration,
    /// Calls that run at once while a model loads, if fewer than otherwise:
    /// loading weights takes bandwidth and memory from running calls.
    pub loading_capacity: usize,
    /// Time to stage an expert map.
    pub staging: Duration,
    /// Whether a command with an old fencing token is refused.
    pub checks_fencing: bool,
    /// Blocks of prompts that fit in the prefix cache.
    pub cache_blocks: usize,
    /// Addition to a step for each block of a prompt that it computes.
    pub prefill_per_block: Duration,
    /// Most blocks of prompts that one step computes.
    pub prefill_blocks: usize,
    /// Time after which a cache event can be read; without it none are published.
    pub event_lag: Option<Duration>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(2),
            step_per_call: Duration::from_micros(50),
            slowdown: 1.0,
            hangs: false,
            reports_own_step: true,
            tokens_per_step: 1,
            capacity: 32,
            cold_capacity: 2,
            cold_tokens: 200,
            collapse: 4,
            models: vec!["chalk-7b@1".to_owned()],
            room: 2,
            load_time: Duration::ZERO,
            loading_capacity: usize::MAX,
            staging: Duration::from_millis(20),
            checks_fencing: true,
            cache_blocks: 4_096,
            prefill_per_block: Duration::from_millis(1),
            prefill_blocks: 16,
            event_lag: Some(Duration::ZERO),
        }
    }
}
