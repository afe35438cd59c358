//! Version numbers that order the control state.

use serde::{Deserialize, Serialize};

/// Position in the history of control records; never decreases on a node.
///
/// The value is the log offset plus a shift: see `note` in `docs/design.md`,
/// section 7.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// Returns the version that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
