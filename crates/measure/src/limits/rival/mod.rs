//! Well-known limit algorithms the learned limit is compared with.
//!
//! They limit calls only, as usual, from the time to first token. Each returns
//! to its first value when the upstream crashes.

/// First and smallest limit of all of them, that of the learned limit.
const FIRST: f64 = 2.0;
const MOST: f64 = 4096.0;
/// Part of the limit in use from which a sample may raise it.
const IN_USE: f64 = 0.8;
/// AIMD: factor of a decrease, time between two, in microseconds, and time to
/// first token over the least that asks for one.
const DECREASE: f64 = 0.9;
const DECREASE_US: u64 = 1_000_000;
const AIMD_LATENCY: f64 = 3.0;
/// Gradient: tolerated growth of latency, smoothing, and weights of the means.
const TOLERANCE: f64 = 1.5;
const SMOOTHING: f64 = 0.2;
const SHORT: f64 = 0.1;
const LONG: f64 = 0.005;
/// Vegas: queue estimates below and above which the limit moves, in units of
/// the logarithm of the limit.
const ALPHA: f64 = 3.0;
const BETA: f64 = 6.0;
/// Samples after which the least latency is measured anew.
const LEAST_SAMPLES: u32 = 1000;

/// Which algorithm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Additive increase, multiplicative decrease.
    Aimd,
    /// Ratio of the long-term to the short-term latency.
    Gradient,
    /// Estimate of the queue from the least latency.
    Vegas,
}

/// State of one algorithm for one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Rival {
    rule: Rule,
    limit: f64,
    least: f64,
    samples: u32,
    short: f64,
    long: f64,
    decreased: u64,
}

impl Rival {
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            limit: FIRST,
            least: f64::INFINITY,
            samples: 0,
            short: 0.0,
            long: 0.0,
            decreased: 0,
        }
    }

    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Takes the time to first token of a call, in seconds.
    pub fn sample(&mut self, now: u64, seconds: f64, in_flight: u32) {
        self.samples += 1;
        if self.samples.is_multiple_of(LEAST_SAMPLES) {
            self.least = f64::INFINITY;
        }
        self.least = self.least.min(seconds);
        let used = f64::from(in_flight) >= IN_USE * self.limit.floor();
        match self.rule {
            Rule::Aimd => self.aimd(now, seconds, used),
            Rule::Gradient => self.gradient(seconds, used),
            Rule::Vegas => self.vegas(seconds, used),
        }
        self.limit = self.limit.clamp(FIRST, MOST);
    }

    /// Returns to the first value.
    pub fn crashed(&mut self) {
        *self = Self::new(self.rule);
    }

    fn aimd(&mut self, now: u64, seconds: f64, used: bool) {
        if seconds <= AIMD_LATENCY * self.least {
            if used {
                self.limit += 1.0 / self.limit;
            }
        } else if now >= self.decreased + DECREASE_US {
            self.decreased = now;
            self.limit *= DECREASE;
        }
    }

    fn gradient(&mut self, seconds: f64, used: bool) {
        if self.long == 0.0 {
            (self.short, self.long) = (seconds, seconds);
        }
        self.short += (seconds - self.short) * SHORT;
        self.long += (seconds - self.long) * LONG;
        if used {
            let gradient = (TOLERANCE * self.long / self.short).clamp(0.5, 1.0);
            let next = self.limit * gradient + self.limit.sqrt();
            self.limit += (next - self.limit) * SMOOTHING;
        }
    }

    fn vegas(&mut self, seconds: f64, used: bool) {
        let queue = self.limit * (1.0 - self.least / seconds);
        let unit = self.limit.log10().max(1.0);
        if queue > BETA * unit {
            self.limit -= unit;
        } else if used && queue < ALPHA * unit {
            self.limit += unit;
        }
    }
}
