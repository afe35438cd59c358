//! Switches for the safety rules of the state machine, for mutation tests only.

/// The safety rules that are active; by default all of them.
///
/// Tests turn off one rule at a time to show that the checker detects the
/// violations that follow.
#[derive(Clone, Copy, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each rule is switched on its own"
)]
pub struct SafetyRules {
    /// A call runs only after its intent was read back as the first one of its
    /// key.
    pub own_intent_first: bool,
    /// A void takes effect only if the winner of the key wrote it.
    pub void_by_winner: bool,
    /// A jump in the offsets forces a reload from a snapshot.
    pub gap_check: bool,
    /// No call runs before the fold has reached the head that was read at the
    /// start.
    pub ready_first: bool,
    /// A key without an outcome never expires.
    pub keep_running: bool,
    /// A call that was given up before it won its key never runs, so that its
    /// answer `executed: no` stays true.
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
