//! The version of the control state.

use serde::{Deserialize, Serialize};

/// Position in the history of control records; it only ever rises on a node.
///
/// It is the log offset plus a shift, see `docs/design.md`, section 7, `note`.
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
