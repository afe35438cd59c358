//! Fencing tokens for the commands on the maps of one group.
//!
//! A rank refuses a command whose token is lower than the highest that it has seen. A command that
//! went unanswered may still be carried out seconds later, so each phase of a switch has a token of
//! its own: once a rank has confirmed a later phase, it refuses what is left of the earlier ones,
//! whichever leader sent it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bits of a token that number the phases of one leadership. The bits above them are its term.
const PHASE_BITS: u32 = 24;
/// Tokens that a switch must find unused. One switch uses fewer, as its rounds are limited.
const RESERVE: u64 = 256;

/// Rising fencing tokens for one group in one term of the leadership. Clones share the last
/// token, also those of different terms.
#[derive(Clone, Debug)]
pub struct Tokens {
    term: u64,
    last: Arc<AtomicU64>,
}

impl Tokens {
    /// Returns the tokens of a term, given by its number, that are higher than `last`, the last one that this
    /// process has used for the group.
    pub fn new(term: u64, last: Arc<AtomicU64>) -> Self {
        Self { term, last }
    }

    /// Returns a token that is higher than all before. Tokens of a term are lower than those of any
    /// later one.
    pub fn next(&self) -> u64 {
        let floor = self.term << PHASE_BITS;
        self.last.fetch_max(floor, Ordering::Relaxed);
        self.last.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns whether too few tokens are left for another switch in this term.
    pub fn are_exhausted(&self) -> bool {
        let end = (self.term + 1) << PHASE_BITS;
        self.last.load(Ordering::Relaxed) + RESERVE >= end
    }
}
