//! Result of a run.

use hdrhistogram::Histogram;

use super::engine::{Engine, Excess, Kind};

/// Largest latency recorded, in microseconds.
const LATENCY_MAX_US: u64 = 600_000_000;

/// Counts of calls, their latency, and the engines as they ended.
#[derive(Debug)]
pub struct Outcomes {
    pub offered: u64,
    pub in_time: u64,
    pub crashed: u64,
    pub refused: u64,
    pub refusals: u64,
    pub expired: u64,
    pub latency: Histogram<u64>,
    pub engines: Vec<Engine>,
    pub resets: u64,
}

impl Default for Outcomes {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, LATENCY_MAX_US, 3);
        Self {
            offered: 0,
            in_time: 0,
            crashed: 0,
            refused: 0,
            refusals: 0,
            expired: 0,
            latency: latency.expect("the bounds are valid"),
            engines: Vec::new(),
            resets: 0,
        }
    }
}

impl Outcomes {
    /// Sums admissions beyond capacity over the engines of a kind, or of all.
    pub fn excess(&self, kind: Option<Kind>) -> Excess {
        let wanted = |e: &&Engine| kind.is_none_or(|k| e.hidden.kind == k);
        let engines = self.engines.iter().filter(wanted);
        engines.fold(Excess::default(), |sum, e| Excess {
            all: sum.all + e.excess.all,
            beyond_first: sum.beyond_first + e.excess.beyond_first,
            repeated: sum.repeated + e.excess.repeated,
        })
    }

    /// Returns the falls of all engines.
    pub fn falls(&self) -> u32 {
        self.engines.iter().map(|e| e.falls).sum()
    }
}
