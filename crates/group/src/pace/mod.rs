//! Length of windows and how far ahead they are granted.
//!
//! A map takes effect only after the steps granted before, so long windows
//! delay a switch; windows that end before the next one is confirmed stall the
//! group. The pace keeps as many steps granted as the time allowed for a switch
//! holds, and more if the slowest recent confirmation needs it.

use std::time::Duration;

/// Windows that a switch may have to wait for: the two granted in advance and
/// the one that was just added.
const SPAN: u32 = 3;

/// Longest window, as a multiple of the one that the time for a switch allows.
const MOST: u64 = 4;

/// Bounds of the pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Time within which a staged map is to be in use. Steps are granted for
    /// as long in advance, so a longer one costs fewer messages and lets the
    /// group run on for longer while a leader is replaced.
    pub switch: Duration,
    /// Shortest window, in steps.
    pub shortest: u64,
    /// Longest window, in steps; bounds the delay of a switch.
    pub longest: u64,
    /// Times of an acceptance that a window lasts: two for the acceptance and
    /// the confirmation, and as many for a lost message that is sent again.
    pub margin: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            switch: Duration::from_secs(1),
            shortest: 1,
            longest: 4_096,
            margin: 4,
        }
    }
}

/// Learns the time of a confirmation and of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pace {
    settings: Settings,
    confirmation: Duration,
    step: Duration,
}

impl Pace {
    /// Makes a pace that has seen nothing.
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            confirmation: Duration::ZERO,
            step: Duration::ZERO,
        }
    }

    /// Takes in the time between the first sending of a window and the moment
    /// at which every rank has accepted it. Confirming it takes as long again,
    /// which the margin covers.
    pub fn confirmed(&mut self, took: Duration) {
        // A peak counts at once and is forgotten slowly: a window too short
        // stalls all ranks, one too long only delays the next switch.
        self.confirmation = took.max((self.confirmation * 15 + took) / 16);
    }

    /// Takes in the time of a step of the slowest rank.
    pub const fn stepped(&mut self, took: Duration) {
        self.step = took;
    }

    /// Returns how many steps a time is enough for; none before the time of a
    /// step is known.
    pub fn steps_in(&self, time: Duration) -> u64 {
        let step = self.step.as_nanos();
        time.as_nanos().checked_div(step).unwrap_or(0) as u64
    }

    /// Returns the time that a window takes.
    pub fn window_time(&self) -> Duration {
        self.step * self.window() as u32
    }

    /// Returns the length of the next window, in steps.
    pub fn window(&self) -> u64 {
        let needed = self.steps_in(self.confirmation * self.settings.margin) + 1;
        let wanted = self.steps_in(self.settings.switch / SPAN).max(1);
        // A rank that was paused must not delay switches for long afterwards.
        needed
            .min(wanted * MOST)
            .max(wanted)
            .clamp(self.settings.shortest, self.settings.longest)
    }

    /// Returns how many steps are to be granted in advance: one window that
    /// runs while the next one is confirmed.
    pub fn ahead(&self) -> u64 {
        2 * self.window()
    }
}
