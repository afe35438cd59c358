//! Small `Copy` keys that index arenas.
//!
//! Names are interned once at the edge of a process; everything behind it
//! passes these keys, which cost four bytes and compare in one instruction.
//! A key means something only together with the [`crate::arena::Names`] that
//! issued it, so keys never leave the process.

use serde::{Deserialize, Serialize};

/// A key that can index an [`crate::arena::Arena`].
pub trait Key: Copy + Eq + Ord {
    /// Makes the key of a slot index.
    fn new(index: u32) -> Self;
    /// Returns the slot index of this key.
    fn index(self) -> usize;
}

macro_rules! key {
    ($(#[$doc:meta] $name:ident),+ $(,)?) => {$(
        #[$doc]
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u32);

        impl Key for $name {
            fn new(index: u32) -> Self {
                Self(index)
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    )+};
}

key! {
    /// A back end: a model engine or a plain service behind one agent.
    Upstream,
    /// A customer of the platform, the unit of fairness.
    Workspace,
    /// A model that callers name in their requests.
    Model,
    /// An availability zone.
    Zone,
    /// A virtual machine that hosts an entry or an agent.
    Vm,
    /// A group of ranks that step together.
    Group,
}
