//! One of the two quantities that are limited: calls, or tokens.

/// Steps at the limit that justify growth while no ceiling is known.
const GROW_STEPS: f64 = 3.0;
/// Steps at the limit that justify growth after a ceiling proved outdated, and
/// the load over it up to which growth is that cautious.
const CAUTIOUS_STEPS: f64 = 4.0;
const CAUTIOUS_UP_TO: f64 = 1.25;
/// Growth before a ceiling is known, as a part of the limit. Work beyond the
/// proven load still goes one call at a time.
const GROW_PART: f64 = 1.0 / 8.0;
/// Use of a limit from which it grows along with the other one.
const ALONG: f64 = 0.8;
/// Steps at the limit before the first probe above a ceiling, and the most
/// between two. Each failed probe multiplies the interval, by less if the
/// failure may be due to the other quantity.
const PROBE_STEPS: f64 = 4.0;
const PROBE_STEPS_MAX: f64 = 2048.0;
const PROBE_GROWTH: f64 = 8.0;
const PROBE_GROWTH_SHARED: f64 = 6.0;
/// Least interval after a probe of a cold engine failed or told nothing; it
/// holds no more until it is warm.
pub(super) const COLD_PROBE_STEPS: f64 = 64.0;
/// Proven load over the last trouble from which its ceiling is forgotten; less
/// may be the error of the ceiling.
const OUTDATED: f64 = 1.1;
/// Part of a ceiling that the limit stays below but for probes.
const MARGIN: f64 = 0.95;

/// How certain it is that a quantity was the cause of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Blame {
    /// Only this quantity can be the cause.
    Sole,
    /// Either quantity can be.
    Shared,
}

/// Limit, proof and ceiling of one quantity.
#[derive(Clone, Copy, Debug)]
pub(super) struct Axis {
    pub limit: f64,
    /// Value after a start or reset.
    first: f64,
    /// Safety bounds of the limit.
    pub min: f64,
    pub max: f64,
    /// The largest load that ran at the same time in this and the previous
    /// window, and in this one.
    pub proven: f64,
    window: f64,
    /// Load at which trouble was seen, if any.
    pub ceiling: Option<f64>,
    /// The ceiling when trouble was last seen, before probes raised it.
    found: f64,
    /// How far the limit may exceed the margin because probes raised it.
    probe: f64,
    /// Steps at the limit since the last growth and the last probe.
    evidence: f64,
    probe_evidence: f64,
    /// Evidence the next probe requires.
    interval: f64,
    /// Limit up to which growth is cautious.
    cautious: f64,
}

impl Axis {
    pub fn new(first: f64, min: f64, max: f64) -> Self {
        let mut axis = Self {
            limit: 0.0,
            first,
            min,
            max,
            proven: 0.0,
            window: 0.0,
            ceiling: None,
            found: 0.0,
            probe: 0.0,
            evidence: 0.0,
            probe_evidence: 0.0,
            interval: PROBE_STEPS,
            cautious: 0.0,
        };
        axis.set(first);
        axis
    }

    /// Sets the limit within its bounds.
    pub fn set(&mut self, limit: f64) {
        self.limit = limit.min(self.max).max(self.min);
    }

    /// Returns the ceiling at the present step time, infinite if unknown.
    /// `drift` is step time over that at the last trouble.
    pub fn current(&self, drift: f64) -> f64 {
        self.ceiling.map_or(f64::INFINITY, |c| c / drift)
    }

    /// Records that a load ran at the same time.
    pub fn prove(&mut self, load: f64, drift: f64) {
        self.window = self.window.max(load.min(self.limit));
        self.proven = self.proven.max(self.window);
        if self.probe > 0.0 && self.proven > self.current(drift) {
            self.ceiling = Some(self.proven * drift);
            self.probe = (self.limit - MARGIN * self.proven).max(0.0);
            if self.proven * drift > OUTDATED * self.found {
                self.forget();
            }
        }
    }

    /// Ends a window; a load that did not run since the last end is no longer
    /// proven.
    pub fn roll(&mut self) {
        self.proven = self.window;
        self.window = 0.0;
    }

    /// Adds evidence of steps at the limit and returns the next limit if it
    /// suffices. `unit` is the smallest useful step.
    pub fn grown(&mut self, steps: f64, unit: f64, drift: f64) -> Option<f64> {
        self.evidence += steps;
        self.probe_evidence += steps;
        let cautious = self.limit < self.cautious;
        let needed = if cautious { CAUTIOUS_STEPS } else { GROW_STEPS };
        let part = if cautious || self.ceiling.is_some() {
            0.0
        } else {
            self.limit * GROW_PART
        };
        let next = self.limit + part.ceil().max(unit);
        let above = next > MARGIN * self.current(drift);
        if self.evidence < needed || (above && self.probe_evidence < self.interval) {
            return None;
        }
        self.evidence = 0.0;
        if above {
            self.probe_evidence = 0.0;
            self.probe += unit;
        }
        Some(next)
    }

    /// Grows along with the other limit while no ceiling is known, so that the
    /// two do not block calls in turns.
    pub fn grow_along(&mut self, used: f64) {
        if self.ceiling.is_none() && self.limit >= self.cautious && used >= ALONG * self.limit {
            self.set(self.limit + (self.limit * GROW_PART).ceil());
        }
    }

    /// Lowers the limit if its ceiling has come close.
    pub fn follow(&mut self, drift: f64) {
        let allowed = self.below(self.current(drift), self.probe);
        if self.limit > allowed {
            self.lower(allowed);
        }
    }

    /// Restates the ceiling for step times measured anew from here on.
    pub fn rebase(&mut self, drift: f64) {
        self.ceiling = self.ceiling.map(|c| c / drift);
        self.found /= drift;
    }

    /// Remembers `held`, what the upstream could hold, and backs off below it.
    pub fn back_off(&mut self, held: f64, blame: Blame) {
        self.found = held.max(1.0);
        self.ceiling = Some(self.found);
        self.lower(self.limit.min(self.below(held, 0.0)));
        self.probe = 0.0;
        self.evidence = 0.0;
        self.probe_evidence = 0.0;
        let growth = match blame {
            Blame::Sole => PROBE_GROWTH,
            Blame::Shared => PROBE_GROWTH_SHARED,
        };
        self.interval = (self.interval * growth).min(PROBE_STEPS_MAX);
        // A cold engine may warm up without a sign, so its interval does not grow.
        if (self.found - self.first).abs() < 0.5 {
            self.interval = COLD_PROBE_STEPS;
        }
    }

    /// Forgets a ceiling that proved outdated.
    pub fn forget(&mut self) {
        if self.ceiling.take().is_some() {
            self.cautious = self.proven * CAUTIOUS_UP_TO;
            self.probe = 0.0;
            self.interval = (self.interval / PROBE_GROWTH).max(PROBE_STEPS);
        }
    }

    /// Returns the limit for a ceiling. Up to the first value it is the ceiling
    /// itself, since a margin of one call would halve a cold engine.
    fn below(&self, ceiling: f64, probe: f64) -> f64 {
        let margin = (MARGIN * ceiling + probe).floor();
        margin.max(ceiling.min(self.first).round())
    }

    /// Sets a lower limit, above which nothing is proven any more.
    fn lower(&mut self, limit: f64) {
        self.set(limit);
        self.proven = self.proven.min(self.limit);
        self.window = self.window.min(self.limit);
    }
}
