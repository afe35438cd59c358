//! Hashes that are the same in every process.
//!
//! The integer keys of `sesamerock_base` differ between processes, so any
//! decision on which several entries must agree uses a hash of the name instead.

use sesamerock_base::key::Upstream;

/// Returns the first 64 bits of the BLAKE3 hash of a name. The value must not
/// change between versions, since entries of different versions run together.
pub fn name(name: impl AsRef<[u8]>) -> u64 {
    let digest = blake3::hash(name.as_ref());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Mixes two hashes into a third that is unrelated to both.
///
/// This is the finalizer of `SplitMix64`; it needs no key, since its inputs are
/// already [`name`] hashes.
pub const fn mix(left: u64, right: u64) -> u64 {
    let mut value = left ^ right.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the hashes of the complete blocks of a prompt. Each covers its block
/// and all blocks before it, so equal hashes mean equal prefixes.
///
/// `block` is the number of bytes in one block; a final partial block has no
/// hash, because engines cache only complete blocks.
pub fn chain(prompt: &[u8], block: usize) -> Vec<u64> {
    let mut previous = 0;
    prompt
        .chunks_exact(block.max(1))
        .map(|bytes| {
            previous = mix(previous, name(bytes));
            previous
        })
        .collect()
}

/// Returns the upstream to which rendezvous hashing assigns a key. `pool` holds
/// pairs of an upstream and the hash of its name.
///
/// Every entry that knows the same names returns the same upstream, and a
/// change of the set moves only the keys of the upstreams added or removed.
pub fn rendezvous(key: u64, pool: impl IntoIterator<Item = (Upstream, u64)>) -> Option<Upstream> {
    pool.into_iter()
        .max_by_key(|(_, name)| (mix(key, *name), *name))
        .map(|(upstream, _)| upstream)
}
