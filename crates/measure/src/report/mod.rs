//! Output of a measure: key=value lines and targets.

use std::fmt::Display;

/// Collects the verdicts of one measure and prints its lines.
#[derive(Debug)]
pub struct Report {
    name: &'static str,
    met: bool,
}

impl Report {
    /// Starts the report of a measure.
    pub fn new(name: &'static str) -> Self {
        Self { name, met: true }
    }

    /// Prints one line of key=value pairs.
    pub fn line(&self, pairs: &[(&str, &dyn Display)]) {
        let pairs: Vec<_> = pairs
            .iter()
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        println!("measure={} {}", self.name, pairs.join(" "));
    }

    /// Prints a target that is met while the value stays at or below the bound.
    pub fn at_most(&mut self, what: &str, bound: f64, got: f64) {
        self.target(what, bound, got, got <= bound);
    }

    /// Prints a target that is met while the value stays at or above the bound.
    #[allow(dead_code, reason = "no landed measure has a lower bound yet")]
    pub fn at_least(&mut self, what: &str, bound: f64, got: f64) {
        self.target(what, bound, got, got >= bound);
    }

    /// Returns whether every target so far was met.
    pub fn met(&self) -> bool {
        self.met
    }

    fn target(&mut self, what: &str, bound: f64, got: f64, ok: bool) {
        self.met &= ok;
        let verdict = if ok { "ok" } else { "short" };
        println!(
            "target {}.{what} bound={bound} got={got:.4} {verdict}",
            self.name
        );
    }
}
