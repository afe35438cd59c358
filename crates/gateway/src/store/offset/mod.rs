//! Positions in the logs of the store and terms of the leadership, across restored stores.
//!
//! A store that is restored from a copy has lost what came after the copy, and gives offsets and
//! generations out again. It counts its eras, so that both can still be compared: whatever
//! belongs to a later era is newer. See `docs/notes/store-reads.md`.

use serde::{Deserialize, Serialize};

/// Number of times that a store has been restored, as the store states it.
pub type Era = u32;

/// Bits of an offset below the era.
const INDEX_BITS: u32 = 40;
/// Bits of a term below the era.
const GENERATION_BITS: u32 = 21;

/// Position of a record in a log, which orders records also across eras of the store.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(u64);

impl Offset {
    /// Returns the position of the record with an index in an era.
    pub const fn new(era: Era, index: u64) -> Self {
        Self(((era as u64) << INDEX_BITS) | (index & ((1 << INDEX_BITS) - 1)))
    }

    /// Returns the era in which the store gave out the index.
    pub const fn era(self) -> Era {
        (self.0 >> INDEX_BITS) as Era
    }

    /// Returns the number by which the store knows the record in its era.
    pub const fn index(self) -> u64 {
        self.0 & ((1 << INDEX_BITS) - 1)
    }

    /// Returns the position after this one in the same era.
    #[must_use]
    pub const fn next(self) -> Self {
        Self::new(self.era(), self.index() + 1)
    }
}

impl std::fmt::Display for Offset {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.era(), self.index())
    }
}

/// Number of a leadership, which increases with each change of leader, also across eras.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term(u64);

impl Term {
    /// Returns the term of a generation in an era, or `None` if the generation is out of range.
    pub const fn new(era: Era, generation: u64) -> Option<Self> {
        if generation >> GENERATION_BITS == 0 {
            Some(Self(((era as u64) << GENERATION_BITS) | generation))
        } else {
            None
        }
    }

    /// Returns the era in which the store granted the leadership.
    pub const fn era(self) -> Era {
        (self.0 >> GENERATION_BITS) as Era
    }

    /// Returns the generation by which the store knows the leadership in its era.
    pub const fn generation(self) -> u64 {
        self.0 & ((1 << GENERATION_BITS) - 1)
    }

    /// Returns the term as a number, for fencing tokens and versions.
    pub const fn number(self) -> u64 {
        self.0
    }
}
