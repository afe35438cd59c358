//! Switches that turn off one safety rule each, for mutation checks only.

/// The safety rules in effect; every rule is on by default.
///
/// Tests turn off one rule to check that the exploration detects its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each rule is switched on its own"
)]
pub struct Guard {
    /// A member accepts a grant only under the token that it promised last, and a
    /// leader ignores replies of a member that has promised a higher token.
    pub token: bool,
    /// A member accepts a grant only if it names the member's incarnation, and a
    /// leader accepts replies only from the incarnations that promised.
    pub incarnation: bool,
    /// A new leader completes the windows that any rank was granted before.
    pub learning: bool,
    /// A leader waits for the promise of every rank.
    pub unanimity: bool,
    /// A map is granted and accepted only where it is staged.
    pub staging: bool,
    /// A window runs only after every rank has accepted it.
    pub confirmation: bool,
}

impl Guard {
    /// Every rule is on.
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
