//! Encoding of expert counts between a sidecar and the leader.
//!
//! A count is cumulative, so it takes several bytes, while it grows by few choices between two
//! reads. A sidecar therefore sends the differences to the counts that it sent last over the same
//! connection, each in as many bits as it needs. See `docs/notes/traffic.md`.

mod bits;

use serde::{Deserialize, Serialize};

use self::bits::{Reader, Writer};
use crate::engine::Counts;

/// Most experts of a set and most sets that are decoded, as limits of the memory that a faulty
/// message can take.
const MAX_LENGTH: u16 = 8_192;

/// Counts as a sidecar sends them: in full, or as differences to those of an earlier message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// Number of this message on its connection.
    sequence: u32,
    /// Number of the message to whose counts the differences are added; `None` in full counts.
    base: Option<u32>,
    /// The last step included in the counts.
    step: u64,
    /// Epoch of the group in which the counts were read.
    epoch: u64,
    /// Number of experts by set; empty in differences, whose base has the same.
    experts: Vec<u16>,
    /// Counts or differences of all sets.
    bits: Vec<u8>,
}

impl Reading {
    /// Returns a message without counts, which is the base of none.
    pub const fn without_counts(step: u64, epoch: u64) -> Self {
        Self {
            sequence: 0,
            base: None,
            step,
            epoch,
            experts: Vec::new(),
            bits: Vec::new(),
        }
    }

    /// Returns step and epoch of a message without counts.
    pub fn into_empty_counts(self) -> Counts {
        Counts {
            step: self.step,
            epoch: self.epoch,
            counts: Vec::new(),
        }
    }
}

/// The sidecar's side of a connection.
#[derive(Debug, Default)]
pub struct Encoder {
    sequence: u32,
    last: Option<Counts>,
}

impl Encoder {
    /// Encodes counts for a leader that holds those of message `base`. They are sent in full if
    /// that was not the previous message of this connection, or if the engine has restarted since.
    pub fn encode(&mut self, counts: Counts, base: Option<u32>) -> Reading {
        let last = self.last.as_ref();
        let last = last.filter(|last| base == Some(self.sequence) && is_base(last, &counts));
        let base = base.filter(|_| last.is_some());
        let mut bits = Writer::default();
        for (index, set) in counts.counts.iter().enumerate() {
            let old = last.map(|last| last.counts[index].as_slice());
            bits.write_all(&differences(set, old.unwrap_or_default()));
        }
        let experts = if base.is_none() {
            counts.counts.iter().map(|set| set.len() as u16).collect()
        } else {
            Vec::new()
        };
        self.sequence = self.sequence.wrapping_add(1);
        let reading = Reading {
            sequence: self.sequence,
            base,
            step: counts.step,
            epoch: counts.epoch,
            experts,
            bits: bits.finish(),
        };
        self.last = Some(counts);
        reading
    }
}

/// Returns whether counts can be sent as differences to earlier ones.
fn is_base(last: &Counts, counts: &Counts) -> bool {
    let is_below = |(old, new): (&Vec<u64>, &Vec<u64>)| {
        old.len() == new.len() && old.iter().zip(new).all(|(old, new)| old <= new)
    };
    last.epoch == counts.epoch
        && last.step <= counts.step
        && last.counts.len() == counts.counts.len()
        && last.counts.iter().zip(&counts.counts).all(is_below)
}

fn differences(set: &[u64], old: &[u64]) -> Vec<u64> {
    let old = old.iter().copied().chain(std::iter::repeat(0));
    set.iter().zip(old).map(|(new, old)| new - old).collect()
}

/// The leader's side of a connection.
#[derive(Debug, Default)]
pub struct Decoder {
    last: Option<(u32, Counts)>,
}

impl Decoder {
    /// Returns the number of the message whose counts are held, to be stated in a request.
    pub fn base(&self) -> Option<u32> {
        self.last.as_ref().map(|(sequence, _)| *sequence)
    }

    /// Decodes a message. Returns `None`, so that the next request asks for full counts, if its
    /// base is not held or it is malformed.
    pub fn decode(&mut self, reading: &Reading) -> Option<Counts> {
        let last = self.last.take();
        let last = last.filter(|(sequence, _)| reading.base == Some(*sequence));
        let experts: Vec<u16> = match (&last, reading.base) {
            (Some((_, last)), _) => last.counts.iter().map(|set| set.len() as u16).collect(),
            (None, None) => reading.experts.clone(),
            (None, Some(_)) => return None,
        };
        let is_long = |length: u16| length > MAX_LENGTH;
        if experts.len() > usize::from(MAX_LENGTH) || experts.iter().copied().any(is_long) {
            return None;
        }
        let mut bits = Reader::new(&reading.bits);
        let mut counts = Vec::with_capacity(experts.len());
        for (index, length) in experts.into_iter().enumerate() {
            let mut set = bits.read_all(usize::from(length))?;
            if let Some((_, last)) = &last {
                for (new, old) in set.iter_mut().zip(&last.counts[index]) {
                    *new = new.checked_add(*old)?;
                }
            }
            counts.push(set);
        }
        let counts = Counts {
            step: reading.step,
            epoch: reading.epoch,
            counts,
        };
        self.last = Some((reading.sequence, counts.clone()));
        Some(counts)
    }
}
