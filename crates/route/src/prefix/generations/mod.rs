//! A bounded set of hashes that evicts without tracking each use.

use std::collections::HashSet;
use std::hash::{BuildHasherDefault, Hash, Hasher};

/// Returns 64-bit keys unchanged, since the keys are hashes already.
#[derive(Clone, Copy, Debug, Default)]
struct PassThroughHasher(u64);

impl Hasher for PassThroughHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    /// Spreads a short hash over all bits, since `HashSet` uses the upper bits.
    fn write_u32(&mut self, i: u32) {
        self.0 = u64::from(i).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }

    fn write_u64(&mut self, i: u64) {
        self.0 = i;
    }
}

type Set<T> = HashSet<T, BuildHasherDefault<PassThroughHasher>>;

/// Hashes in two generations. When the young generation reaches half of the
/// bound, it replaces the old one, which drops the hashes that have not been
/// inserted again in the meantime.
#[derive(Clone, Debug)]
pub(super) struct Generations<T> {
    young: Set<T>,
    old: Set<T>,
}

impl<T> Default for Generations<T> {
    fn default() -> Self {
        Self {
            young: Set::default(),
            old: Set::default(),
        }
    }
}

impl<T: Copy + Eq + Hash> Generations<T> {
    pub(super) fn insert(&mut self, hash: T, share: usize) {
        if share < 2 {
            return;
        }
        if self.young.len() >= share / 2 {
            self.advance();
        }
        self.young.insert(hash);
    }

    pub(super) fn remove(&mut self, hash: T) {
        self.young.remove(&hash);
        self.old.remove(&hash);
    }

    pub(super) fn contains(&self, hash: T) -> bool {
        self.young.contains(&hash) || self.old.contains(&hash)
    }

    pub(super) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Replaces the old generation by the young one and starts an empty young one.
    pub(super) fn advance(&mut self) {
        self.old = std::mem::take(&mut self.young);
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Drops each generation that exceeds its half of a bound that became smaller.
    pub(super) fn shrink(&mut self, share: usize) {
        if self.old.len() > share / 2 {
            self.old = Set::default();
        }
        if self.young.len() > share / 2 {
            self.young = Set::default();
        }
    }
}
