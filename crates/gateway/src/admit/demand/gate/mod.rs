//! Admits a fraction of calls without random draws.

/// Most calls by which those admitted out of turn may be ahead of the fraction.
const MAX_DEBT: f64 = 3.0;

/// Adds up the fraction at each call, and admits one call for each whole number.
#[derive(Clone, Copy, Debug)]
pub struct Gate {
    saved: f64,
}

impl Gate {
    /// Creates a gate. `phase` (0 to 1) should differ between gateways, since each sees only a few
    /// calls of a small workspace.
    pub fn new(phase: f64) -> Self {
        Self { saved: phase }
    }

    /// Returns whether the next call is admitted.
    pub fn admits(&mut self, fraction: f64) -> bool {
        self.saved += fraction;
        let is_admitted = self.saved >= 1.0;
        if is_admitted {
            self.saved -= 1.0;
        }
        is_admitted
    }

    /// Counts a call that is admitted out of turn, or charged without being admitted.
    pub fn charge(&mut self, fraction: f64) {
        self.saved = (self.saved + fraction - 1.0).max(-MAX_DEBT);
    }
}
