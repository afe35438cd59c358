//! Hashes of names that all gateways of a build agree on.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

/// Returns the hash of a name.
pub fn of(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Combines two hashes by the finalizer of `SplitMix64`, so that each value of one orders the
/// values of the other differently.
pub fn combine(one: u64, other: u64) -> u64 {
    let mut mixed = one ^ other;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
