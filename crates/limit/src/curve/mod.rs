//! Step time of an engine as a function of its batch.
//!
//! In continuous batching every running call gets one token per step, so the
//! gap between two tokens of a call is one step. Step time grows with the
//! batch, more slowly than the batch itself while the engine is healthy. The
//! curve detects three deviations: a step time that grows as fast as the batch
//! (throughput no longer rises), one that drifts at an unchanged batch, and a
//! sudden multiple of the usual one.

/// Bins per doubling of the batch; neighbours differ by about 9 %.
const BINS_PER_DOUBLING: f64 = 8.0;
/// Number of bins, enough for batches of 65,536.
const BINS: usize = 128;
/// Delay, in seconds, that a busy host occasionally adds to a step. Without
/// this allowance, engines with steps of a few milliseconds appear to be in a
/// cold start whenever the agent's host is busy.
const JITTER_S: f64 = 0.005;
/// Steps over which the moving mean of a bin is taken.
const MEMORY_STEPS: f64 = 32.0;
/// Steps a bin needs before its mean is used.
const MIN_MEAN_STEPS: f64 = 8.0;
/// Steps averaged into a bin's reference after [`StepTimeCurve::rebase`].
const REFERENCE_STEPS: f64 = 48.0;
/// Steps over which the short-term ratio is averaged; a single slow step, such
/// as a long prefill, must not count as a slowdown.
const SLOWDOWN_STEPS: f64 = 3.0;
/// Steps over which drift against the references is averaged.
const DRIFT_STEPS: f64 = 48.0;
/// Bins between the two batches compared by [`StepTimeCurve::saturated`].
const KNEE_BINS: usize = 2;
/// Age, in steps, up to which the mean of a bin is compared with that of
/// another. An older mean may differ by drift alone and is restarted when its
/// batch recurs.
const MAX_AGE_STEPS: f64 = 128.0;
/// Step time has to outgrow the batch by this factor to count as saturation;
/// the measured noise of a bin's mean is 1 to 2 %.
const KNEE_EXCESS: f64 = 1.03;

#[derive(Clone, Copy, Debug, Default)]
struct BatchBin {
    /// Mean step time in seconds, and the number of steps averaged.
    mean: f64,
    steps: f64,
    /// Mean batch of the samples.
    batch: f64,
    /// Step count at the last sample.
    last_step: f64,
    /// Mean step time, in seconds, of the first steps after the last rebase,
    /// and the number of steps averaged.
    reference: f64,
    reference_steps: f64,
}

/// Step time by batch, learned from token gaps.
#[derive(Clone, Debug)]
pub struct StepTimeCurve {
    bins: Vec<BatchBin>,
    slowdown: f64,
    drift: f64,
    steps: f64,
    recent_step: f64,
}

impl Default for StepTimeCurve {
    fn default() -> Self {
        Self {
            bins: vec![BatchBin::default(); BINS],
            slowdown: 1.0,
            drift: 1.0,
            steps: 0.0,
            recent_step: 0.0,
        }
    }
}

impl StepTimeCurve {
    /// Records a step time, `gap` in seconds, observed at a batch. `share` is
    /// the fraction of a step that this observation represents: one over the
    /// batch for the token gap of one call, 1 for a step time that the engine
    /// reports.
    pub fn record(&mut self, batch: u32, gap: f64, share: f64) {
        let batch = f64::from(batch.max(1));
        let index = bin_index(batch);
        if let Some(expected) = self.expected_at(index) {
            let ratio = (gap + JITTER_S) / (expected + JITTER_S);
            self.slowdown += (ratio - self.slowdown) * share / SLOWDOWN_STEPS;
        }
        self.steps += share;
        self.recent_step +=
            (gap - self.recent_step) * (share / self.steps.min(MEMORY_STEPS)).min(1.0);
        let bin = &mut self.bins[index];
        if self.steps - bin.last_step > MAX_AGE_STEPS {
            bin.steps = 0.0;
        }
        bin.last_step = self.steps;
        bin.steps += share;
        let weight = (share / bin.steps.min(MEMORY_STEPS)).min(1.0);
        bin.mean += (gap - bin.mean) * weight;
        bin.batch += (batch - bin.batch) * weight;
        if bin.reference_steps < REFERENCE_STEPS {
            bin.reference_steps += share;
            let weight = (share / bin.reference_steps).min(1.0);
            // The reference of a bin first visited after some drift is
            // corrected to its value at the rebase.
            bin.reference += (gap / self.drift - bin.reference) * weight;
        } else {
            let ratio = gap / bin.reference;
            self.drift += (ratio - self.drift) * share / DRIFT_STEPS;
        }
    }

    /// Returns the expected step time, in seconds, of a batch; `None` before
    /// enough steps were observed.
    pub fn expected(&self, batch: u32) -> Option<f64> {
        self.expected_at(bin_index(f64::from(batch.max(1))))
    }

    /// Returns the recent mean step time over all batches, in seconds.
    pub fn recent(&self) -> f64 {
        self.recent_step
    }

    /// Returns the ratio of recent step time to the usual one of the same
    /// batch.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns the ratio of step time to that at the last [`StepTimeCurve::rebase`].
    pub fn drift(&self) -> f64 {
        self.drift
    }

    /// Makes the following steps the reference of [`StepTimeCurve::drift`].
    pub fn rebase(&mut self) {
        self.drift = 1.0;
        for bin in &mut self.bins {
            bin.reference_steps = 0.0;
        }
    }

    /// Returns whether throughput has stopped rising towards this batch: step
    /// time grew by at least the same factor as the batch.
    pub fn saturated(&self, batch: u32) -> bool {
        let index = bin_index(f64::from(batch.max(1)));
        let Some(lower) = index.checked_sub(KNEE_BINS) else {
            return false;
        };
        let (high, low) = (self.bins[index], self.bins[lower]);
        if high.steps < MIN_MEAN_STEPS || low.steps < MIN_MEAN_STEPS {
            return false;
        }
        if self.steps - low.last_step > MAX_AGE_STEPS {
            return false;
        }
        high.mean / low.mean > high.batch / low.batch * KNEE_EXCESS
    }

    fn expected_at(&self, index: usize) -> Option<f64> {
        let below = self.bins[..=index].iter().rev();
        let has_enough_steps = |l: &&BatchBin| l.steps >= MIN_MEAN_STEPS;
        below
            .chain(&self.bins[index + 1..])
            .find(has_enough_steps)
            .map(|l| l.mean)
    }
}

fn bin_index(batch: f64) -> usize {
    ((batch.log2() * BINS_PER_DOUBLING) as usize).min(BINS - 1)
}
