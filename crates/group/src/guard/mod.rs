//! Switches that turn off one safety rule each, for mutation checks only.

/// The safety rules in force; every rule is on by default.
///
/// Tests turn one off to show that the exploration notices its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each rule is switched on its own"
)]
pub struct Guard {
    /// A member accepts a grant only under the token it promised last, and a
    /// leader counts no answer of a member that promised a higher one.
    pub token: bool,
    /// A member accepts a grant only if it lists the member's incarnation, and a
    /// leader counts answers of the listed incarnations only.
    pub incarnation: bool,
    /// A new leader keeps to what any rank was granted before.
    pub learning: bool,
    /// A leader waits for the promise of every rank.
    pub unanimity: bool,
    /// A map is granted and accepted only where it is staged.
    pub staging: bool,
    /// A window runs only after every rank has accepted it.
    pub confirmation: bool,
}

impl Guard {
    /// All rules.
    pub const ALL: Self = Self {
        token: true,
        incarnation: true,
        learning: true,
        unanimity: true,
        staging: true,
        confirmation: true,
    };
}

impl Default for Guard {
    fn default() -> Self {
        Self::ALL
    }
}
