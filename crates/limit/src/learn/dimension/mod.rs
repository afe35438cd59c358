//! Limit of one dimension of the load: calls or tokens.

/// Steps at the limit before it grows while no ceiling is known.
const GROW_STEPS: f64 = 3.0;
/// Steps at the limit before it grows after a ceiling turned out to be
/// outdated.
const CAUTIOUS_STEPS: f64 = 4.0;
/// Multiple of the sustained load up to which growth waits for
/// [`CAUTIOUS_STEPS`].
const CAUTIOUS_UP_TO: f64 = 1.25;
/// Growth before a ceiling is known, as a fraction of the limit. Work beyond
/// the sustained load is still admitted one call at a time.
const GROW_FRACTION: f64 = 1.0 / 8.0;
/// Use of a limit from which it grows along with the other one.
const GROW_ALONG_USE: f64 = 0.8;
/// Steps at the limit before the first probe above a ceiling.
const PROBE_STEPS: f64 = 4.0;
/// Maximum number of steps between two probes.
const PROBE_STEPS_MAX: f64 = 2048.0;
/// Factor by which a failed probe multiplies the interval.
const PROBE_GROWTH: f64 = 8.0;
/// The same factor if the other dimension may have caused the failure.
const PROBE_GROWTH_SHARED: f64 = 6.0;
/// Minimum interval, in steps, after a probe of an engine in its cold start
/// failed or was inconclusive; its capacity does not rise until it is warm.
pub(super) const COLD_PROBE_STEPS: f64 = 64.0;
/// A ceiling is dropped once the sustained load exceeds it, as it was detected,
/// by this factor; a smaller excess may be the error of the ceiling.
const OUTDATED_RATIO: f64 = 1.1;
/// Fraction of a ceiling that the limit does not exceed except for probes.
const CEILING_MARGIN: f64 = 0.95;

/// Whether the cause of congestion can be attributed to one dimension.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Attribution {
    /// Only this dimension can be the cause.
    Sole,
    /// Either dimension can be the cause.
    Shared,
}

/// Limit, sustained load and ceiling of one dimension.
#[derive(Clone, Copy, Debug)]
pub(super) struct Dimension {
    pub limit: f64,
    /// Limit after a start or reset.
    initial: f64,
    /// Safety bounds of the limit.
    pub min: f64,
    pub max: f64,
    /// The largest load that ran concurrently in this and the previous window,
    /// and in this one.
    pub sustained: f64,
    window: f64,
    /// Load at which congestion was detected, if any.
    pub ceiling: Option<f64>,
    /// The ceiling when congestion was last detected, before probes raised it.
    detected_ceiling: f64,
    /// How far the limit may exceed the margin because probes raised it.
    probe_excess: f64,
    /// Steps at the limit since the last growth and since the last probe.
    steps_at_limit: f64,
    steps_since_probe: f64,
    /// Steps at the limit that the next probe requires.
    probe_interval: f64,
    /// Limit up to which growth is cautious.
    cautious_below: f64,
}

impl Dimension {
    pub fn new(initial: f64, min: f64, max: f64) -> Self {
        let mut dimension = Self {
            limit: 0.0,
            initial,
            min,
            max,
            sustained: 0.0,
            window: 0.0,
            ceiling: None,
            detected_ceiling: 0.0,
            probe_excess: 0.0,
            steps_at_limit: 0.0,
            steps_since_probe: 0.0,
            probe_interval: PROBE_STEPS,
            cautious_below: 0.0,
        };
        dimension.set(initial);
        dimension
    }

    /// Sets the limit within its safety bounds.
    pub fn set(&mut self, limit: f64) {
        self.limit = limit.min(self.max).max(self.min);
    }

    /// Returns the ceiling at the present step time, infinite if unknown.
    /// `drift` is the ratio of step time to that at the last congestion.
    pub fn current_ceiling(&self, drift: f64) -> f64 {
        self.ceiling.map_or(f64::INFINITY, |c| c / drift)
    }

    /// Records that a load ran concurrently, and raises the ceiling if a probe
    /// exceeded it.
    pub fn record_sustained(&mut self, load: f64, drift: f64) {
        self.window = self.window.max(load.min(self.limit));
        self.sustained = self.sustained.max(self.window);
        if self.probe_excess > 0.0 && self.sustained > self.current_ceiling(drift) {
            self.ceiling = Some(self.sustained * drift);
            self.probe_excess = (self.limit - CEILING_MARGIN * self.sustained).max(0.0);
            if self.sustained * drift > OUTDATED_RATIO * self.detected_ceiling {
                self.drop_ceiling();
            }
        }
    }

    /// Ends a window; a load that did not recur in it is no longer sustained.
    pub fn roll_window(&mut self) {
        self.sustained = self.window;
        self.window = 0.0;
    }

    /// Adds steps at the limit and returns the next limit if they suffice for
    /// growth. `unit` is the smallest useful increment.
    pub fn next_limit(&mut self, steps: f64, unit: f64, drift: f64) -> Option<f64> {
        self.steps_at_limit += steps;
        self.steps_since_probe += steps;
        let is_cautious = self.limit < self.cautious_below;
        let needed = if is_cautious {
            CAUTIOUS_STEPS
        } else {
            GROW_STEPS
        };
        let growth = if is_cautious || self.ceiling.is_some() {
            0.0
        } else {
            self.limit * GROW_FRACTION
        };
        let next = self.limit + growth.ceil().max(unit);
        let is_probe = next > CEILING_MARGIN * self.current_ceiling(drift);
        if self.steps_at_limit < needed
            || (is_probe && self.steps_since_probe < self.probe_interval)
        {
            return None;
        }
        self.steps_at_limit = 0.0;
        if is_probe {
            self.steps_since_probe = 0.0;
            self.probe_excess += unit;
        }
        Some(next)
    }

    /// Grows along with the other limit while no ceiling is known, so that the
    /// two do not alternately block calls.
    pub fn grow_along(&mut self, used: f64) {
        if self.ceiling.is_none()
            && self.limit >= self.cautious_below
            && used >= GROW_ALONG_USE * self.limit
        {
            self.set(self.limit + (self.limit * GROW_FRACTION).ceil());
        }
    }

    /// Lowers the limit if it exceeds what the ceiling allows at the present
    /// step time.
    pub fn apply_ceiling(&mut self, drift: f64) {
        let allowed = self.limit_below(self.current_ceiling(drift), self.probe_excess);
        if self.limit > allowed {
            self.lower_limit(allowed);
        }
    }

    /// Converts the ceiling to the present step time, from which drift is
    /// measured from now on.
    pub fn rebase_ceiling(&mut self, drift: f64) {
        self.ceiling = self.ceiling.map(|c| c / drift);
        self.detected_ceiling /= drift;
    }

    /// Sets the ceiling to `held`, the load that the upstream could run, and
    /// backs off below it.
    pub fn back_off(&mut self, held: f64, attribution: Attribution) {
        self.detected_ceiling = held.max(1.0);
        self.ceiling = Some(self.detected_ceiling);
        self.lower_limit(self.limit.min(self.limit_below(held, 0.0)));
        self.probe_excess = 0.0;
        self.steps_at_limit = 0.0;
        self.steps_since_probe = 0.0;
        let factor = match attribution {
            Attribution::Sole => PROBE_GROWTH,
            Attribution::Shared => PROBE_GROWTH_SHARED,
        };
        self.probe_interval = (self.probe_interval * factor).min(PROBE_STEPS_MAX);
        // An engine in its cold start may become warm without a sign, so its
        // interval does not grow.
        if (self.detected_ceiling - self.initial).abs() < 0.5 {
            self.probe_interval = COLD_PROBE_STEPS;
        }
    }

    /// Drops an outdated ceiling; growth is cautious at first.
    pub fn drop_ceiling(&mut self) {
        if self.ceiling.take().is_some() {
            self.cautious_below = self.sustained * CAUTIOUS_UP_TO;
            self.probe_excess = 0.0;
            self.probe_interval = (self.probe_interval / PROBE_GROWTH).max(PROBE_STEPS);
        }
    }

    /// Returns the limit for a ceiling. Up to the initial limit, it equals the
    /// ceiling, since a margin of one call would halve the load of an engine in
    /// its cold start.
    fn limit_below(&self, ceiling: f64, probe_excess: f64) -> f64 {
        let margin = (CEILING_MARGIN * ceiling + probe_excess).floor();
        margin.max(ceiling.min(self.initial).round())
    }

    /// Lowers the limit; loads above it no longer count as sustained.
    fn lower_limit(&mut self, limit: f64) {
        self.set(limit);
        self.sustained = self.sustained.min(self.limit);
        self.window = self.window.min(self.limit);
    }
}
