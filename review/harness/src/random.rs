//! A small generator of pseudo-random numbers (xorshift), so that the stand-ins need no library.

use std::sync::Mutex;

pub struct Random(Mutex<u64>);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(Mutex::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1))
    }

    fn next(&self) -> u64 {
        let mut state = self.0.lock().unwrap();
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        *state
    }

    /// Returns a number from 0 to 1.
    pub fn share(&self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns a number below `end`.
    pub fn below(&self, end: usize) -> usize {
        (self.next() >> 16) as usize % end.max(1)
    }
}
