//! Computes the length of windows and how far in advance they are granted.
//!
//! A new map takes effect only after the steps that were granted before, so long
//! windows delay a switch; a window that ends before the next one is confirmed
//! stalls the group. [`WindowSizer`] grants as many steps as fit into the time
//! allowed for a switch, and more if the slowest recent confirmation requires it.

use std::time::Duration;

/// Number of windows that a switch may have to wait for: the two granted in
/// advance and the one that was just added.
const WINDOWS_PER_SWITCH: u32 = 3;

/// Longest window, as a multiple of the one that `switch_time` allows.
const MAX_WINDOW_FACTOR: u64 = 4;

/// Bounds on windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Time within which a staged map is to take effect. Steps are granted for
    /// this time in advance, so a longer time needs fewer messages and lets the
    /// group run for longer while a leader is replaced.
    pub switch_time: Duration,
    /// Shortest window, in steps.
    pub min_window: u64,
    /// Longest window, in steps, which bounds the delay of a switch.
    pub max_window: u64,
    /// Length of a window in units of the time that an acceptance takes: one unit
    /// each for the acceptance and the confirmation, and as many again for a lost
    /// message that is sent again.
    pub margin: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            switch_time: Duration::from_secs(1),
            min_window: 1,
            max_window: 4_096,
            margin: 4,
        }
    }
}

/// Computes window lengths from the observed times of confirmations and steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WindowSizer {
    settings: Settings,
    confirmation_time: Duration,
    step_time: Duration,
}

impl WindowSizer {
    /// Makes a sizer without observations.
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            confirmation_time: Duration::ZERO,
            step_time: Duration::ZERO,
        }
    }

    /// Records the time from adding a window until every rank has accepted it.
    /// Confirming the window takes as long again, which the margin covers.
    pub fn record_confirmation(&mut self, took: Duration) {
        // A peak takes effect at once and decays slowly: a window that is too
        // short stalls all ranks, one that is too long only delays a switch.
        self.confirmation_time = took.max((self.confirmation_time * 15 + took) / 16);
    }

    /// Records the step time of the slowest rank.
    pub const fn record_step_time(&mut self, took: Duration) {
        self.step_time = took;
    }

    /// Returns how many complete steps fit into a time; 0 while the step time is
    /// not known.
    pub fn steps_in(&self, time: Duration) -> u64 {
        let step = self.step_time.as_nanos();
        time.as_nanos().checked_div(step).unwrap_or(0) as u64
    }

    /// Returns the time that the next window takes to run; zero while the step
    /// time is not known.
    pub fn window_time(&self) -> Duration {
        self.step_time * self.window() as u32
    }

    /// Returns the length of the next window, in steps.
    pub fn window(&self) -> u64 {
        let needed = self.steps_in(self.confirmation_time * self.settings.margin) + 1;
        let preferred = self
            .steps_in(self.settings.switch_time / WINDOWS_PER_SWITCH)
            .max(1);
        // After a rank was paused, a single slow confirmation must not delay
        // switches for long.
        needed
            .min(preferred * MAX_WINDOW_FACTOR)
            .max(preferred)
            .clamp(self.settings.min_window, self.settings.max_window)
    }

    /// Returns how many steps to grant in advance: one window that runs while the
    /// next one is confirmed.
    pub fn steps_ahead(&self) -> u64 {
        2 * self.window()
    }
}
