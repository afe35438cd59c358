//! Small `Copy` keys that index arenas.
//!
//! Names are interned once where they enter a process; all other code passes
//! these keys, which take four bytes and compare in one instruction. A key is
//! meaningful only with the [`crate::arena::Names`] that issued it, so keys are
//! never sent to another process.

use serde::{Deserialize, Serialize};

/// A key that can index an [`crate::arena::Arena`].
pub trait Key: Copy + Eq + Ord {
    /// Creates the key that addresses an arena slot.
    fn new(index: u32) -> Self;
    /// Returns the index of the arena slot that this key addresses.
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
    /// A customer of the platform; capacity is shared fairly between workspaces.
    Workspace,
    /// A model, as named in the requests of callers.
    Model,
    /// An availability zone.
    Zone,
    /// A virtual machine; also identifies the entry that it hosts, as it hosts at most one.
    Vm,
    /// An expert-parallel group, whose ranks run their steps in lockstep.
    Group,
}
