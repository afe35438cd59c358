//! Switches that turn off one safety rule each, for mutation checks only.

/// The safety rules in force; every rule is on by default.
///
/// Tests turn one off to show that the checker notices its absence.
#[derive(Clone, Copy, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each rule is switched on its own"
)]
pub struct SafetyRules {
    /// A call runs only after its own intent was read as the first of its key.
    pub own_intent_first: bool,
    /// A void counts only if the winner wrote it.
    pub void_by_winner: bool,
    /// A jump in the offsets forces a reload from a snapshot.
    pub gap_check: bool,
    /// Nothing runs before the fold reached the head that was read at start.
    pub ready_first: bool,
    /// A key without an outcome never expires.
    pub keep_running: bool,
    /// A declined attempt answers `executed: no` without ever running.
    pub decline_final: bool,
}

impl Default for SafetyRules {
    fn default() -> Self {
        Self {
            own_intent_first: true,
            void_by_winner: true,
            gap_check: true,
            ready_first: true,
            keep_running: true,
            decline_final: true,
        }
    }
}
