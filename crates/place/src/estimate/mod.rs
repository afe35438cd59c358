//! Smoothed popularity of the experts of one layer, with its standard error.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// A report whose deviation from the estimate exceeds the smoothed dispersion
/// by this factor replaces the estimate. For counts that vary only by sampling,
/// the statistic of 64 experts has mean 1 and standard deviation 0.18.
const SHIFT_FACTOR: f64 = 3.0;
/// Weight of a new report in the smoothed dispersion.
const DISPERSION_WEIGHT: f64 = 0.05;

/// Token counts with exponential decay.
///
/// The decayed number of tokens is the weight of the estimate. It shrinks
/// during a gap in the reports, and the standard error grows accordingly.
#[derive(Clone, Debug)]
pub struct Estimate {
    counts: Vec<f32>,
    weight: f64,
    at: Moment,
    /// Ratio of the variance of the counts to that of independent tokens.
    dispersion: f64,
    step_tokens: f64,
}

impl Estimate {
    /// Makes an estimate without any observed tokens.
    pub fn new(experts: u16) -> Self {
        Self {
            counts: vec![0.0; usize::from(experts)],
            weight: 0.0,
            at: Moment::default(),
            dispersion: 1.0,
            step_tokens: 0.0,
        }
    }

    /// Adds the counts of `steps` steps that ended at `at`, which may be earlier
    /// than the end of the last report. `decay_time` is the time constant of the
    /// decay.
    ///
    /// A report with a wrong number of experts or no tokens is ignored.
    pub fn observe(&mut self, at: Moment, counts: &[u32], steps: u32, decay_time: Duration) {
        let total: f64 = counts.iter().map(|count| f64::from(*count)).sum();
        if counts.len() != self.counts.len() || total <= 0.0 || steps == 0 {
            return;
        }
        let age_factor = decay(self.at.since(at), decay_time);
        self.decay_to(at, decay_time);
        let deviation = self.deviation(counts, total);
        if age_factor >= 1.0 && deviation > SHIFT_FACTOR * self.dispersion {
            self.counts.fill(0.0);
            self.weight = 0.0;
        } else if self.weight > 0.0 {
            self.dispersion += DISPERSION_WEIGHT * (deviation - self.dispersion);
            self.dispersion = self.dispersion.max(1.0);
        }
        for (sum, count) in self.counts.iter_mut().zip(counts) {
            *sum += (f64::from(*count) * age_factor) as f32;
        }
        self.weight += total * age_factor;
        self.step_tokens = total / f64::from(steps);
    }

    /// Replaces the content of `shares` by the fraction of the tokens that each
    /// expert receives.
    pub fn shares(&self, shares: &mut Vec<f64>) {
        let scale = 1.0 / self.weight.max(f64::MIN_POSITIVE);
        shares.clear();
        shares.extend(self.counts.iter().map(|count| f64::from(*count) * scale));
    }

    /// Returns the relative standard error of the load of one of `ranks` equal
    /// ranks at a moment, or `None` if the decayed weight is below one token.
    pub fn error(&self, now: Moment, ranks: usize, decay_time: Duration) -> Option<f64> {
        let weight = self.weight * decay(now.since(self.at), decay_time);
        (weight >= 1.0).then(|| (self.dispersion * ranks as f64 / weight).sqrt())
    }

    /// Returns the tokens of this layer per step, from the last report.
    pub fn step_tokens(&self) -> f64 {
        self.step_tokens
    }

    fn decay_to(&mut self, at: Moment, decay_time: Duration) {
        let factor = decay(at.since(self.at), decay_time);
        self.at = self.at.max(at);
        self.weight *= factor;
        for count in &mut self.counts {
            *count *= factor as f32;
        }
    }

    /// Returns the chi-square statistic of a report against the estimate per
    /// degree of freedom.
    fn deviation(&self, counts: &[u32], total: f64) -> f64 {
        if self.weight <= 0.0 {
            return self.dispersion;
        }
        let scale = total / self.weight;
        let sum: f64 = self
            .counts
            .iter()
            .zip(counts)
            .map(|(sum, count)| {
                let expected = f64::from(*sum) * scale;
                let difference = f64::from(*count) - expected;
                difference * difference / ((expected + 1.0) * (1.0 + scale))
            })
            .sum();
        sum / self.counts.len() as f64
    }
}

fn decay(span: Duration, decay_time: Duration) -> f64 {
    (-span.as_secs_f64() / decay_time.as_secs_f64().max(1e-6)).exp()
}
