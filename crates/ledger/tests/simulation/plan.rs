//! Kinds of events of a schedule, their frequency, and counts of what happened.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sesamerock_ledger::safety::SafetyRules;

/// Number of kinds of events. The first `PROGRESS` kinds move calls forward;
/// the others are failures and rare events.
pub const KINDS: usize = 14;
const PROGRESS: usize = 5;
/// Number of different time steps.
pub const TIME_STEPS: usize = 5;
pub const ADVANCE: usize = 4;
pub const RESUME: usize = 5;
pub const ISSUED_KEY: usize = 6;
pub const PAUSE: usize = 7;
pub const RESTART: usize = 8;
pub const FOREIGN_VOID: usize = 10;
pub const TRUNCATE: usize = 11;
pub const OUTAGE: usize = 12;
const WEIGHTS: [u32; KINDS] = [16, 24, 30, 24, 8, 3, 6, 2, 2, 2, 2, 1, 2, 1];

/// Draws the relative frequency of each kind of event in one schedule.
/// Schedules that leave out some failures and repeat others reach more states
/// than an even mixture.
pub fn weights(rng: &mut ChaCha8Rng) -> [u32; KINDS] {
    let mut weights = WEIGHTS;
    for weight in &mut weights[PROGRESS..] {
        *weight *= [0, 0, 1, 3][rng.random_range(0..4)];
    }
    weights
}

/// What a schedule may contain, and how long it is.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub events: u32,
    pub agents: usize,
    pub keys: u8,
    /// Horizon of the fold in seconds. The longest time step is a sixth of it,
    /// but at most 30 s.
    pub horizon: u64,
    /// Factor on the frequency of time steps.
    pub advance_factor: u32,
    /// Kinds of events that do not occur.
    pub excluded: &'static [usize],
    pub rules: SafetyRules,
}

/// How often each kind of event happened, to check that the schedules cover all
/// of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub runs: u64,
    pub refusals: u64,
    pub replays: u64,
    pub unresolved: u64,
    pub declined: u64,
    pub late_permits: u64,
    pub restarts: u64,
    pub trims: u64,
    pub truncations: u64,
    pub stale_reads: u64,
    /// Runs of a key that had run before and has expired since.
    pub reruns: u64,
    pub reloads: u64,
    pub duplicates: u64,
    pub expired_keys: u64,
    pub issued_runs: u64,
}

impl Counts {
    pub fn add(&mut self, other: &Self) {
        self.runs += other.runs;
        self.refusals += other.refusals;
        self.replays += other.replays;
        self.unresolved += other.unresolved;
        self.declined += other.declined;
        self.late_permits += other.late_permits;
        self.restarts += other.restarts;
        self.trims += other.trims;
        self.truncations += other.truncations;
        self.stale_reads += other.stale_reads;
        self.reruns += other.reruns;
        self.reloads += other.reloads;
        self.duplicates += other.duplicates;
        self.expired_keys += other.expired_keys;
        self.issued_runs += other.issued_runs;
    }
}
