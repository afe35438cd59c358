//! Decides at which reads the counts of all ranks of a group are needed.
//!
//! All ranks run the same model, so a part of them shows whether the shares of the experts move.
//! While these are stable, the others only state their step, and all counts are read at every
//! third time. Without I/O or clock.

use crate::engine::Counts;

/// Ranks of which one shows whether the shares move. With a quarter of 24 ranks, the choices
/// within 100 ms vary by about a sixth from the shares, and that evenly over all sets.
const RANKS_PER_SAMPLE: u16 = 4;
/// Fewest ranks of which a part is enough; the part of a smaller group varies too much.
const MIN_RANKS: usize = 16;
/// Reads without a move after which the shares are stable: a second.
const STABLE_READS: u32 = 10;
/// Reads from one of all counts to the next while the shares are stable. Three intervals of 100 ms
/// are less than half of the longest interval of an observation
/// ([`super::plan::Settings::max_interval`]).
const READS_PER_ROUND: u32 = 3;
/// Distance to the mean shares, beyond the usual one, that is a move. The mean distance over the
/// sets of a group varies by a hundredth between reads.
const MOVED: f64 = 0.05;
/// Weight of one read in the mean shares and the usual distance.
const WEIGHT: f64 = 0.2;

/// Follows the shares of the experts at a part of the ranks.
#[derive(Clone, Debug, Default)]
pub struct Cadence {
    last: Vec<(u16, Counts)>,
    /// Mean shares by set and expert; empty if none are known.
    mean: Vec<Vec<f64>>,
    usual_distance: Option<f64>,
    /// Reads since the shares moved, and since all counts were read.
    stable: u32,
    sampled: u32,
}

impl Cadence {
    /// Returns whether the counts of a rank are needed by the next read of a group of `ranks`.
    pub fn needs(&self, rank: u16, ranks: usize) -> bool {
        self.needs_all(ranks) || rank.is_multiple_of(RANKS_PER_SAMPLE)
    }

    /// Returns whether the next read needs the counts of all ranks.
    pub fn needs_all(&self, ranks: usize) -> bool {
        ranks < MIN_RANKS || self.stable < STABLE_READS || self.sampled + 1 >= READS_PER_ROUND
    }

    /// Reads all counts from now on, as for a switch of maps, until the shares have been stable.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Processes the counts of a read of a group of `ranks`. Returns whether all counts are to be
    /// read at once, since the shares moved and this read did not cover them.
    pub fn record(&mut self, counts: &[(u16, Counts)], ranks: usize) -> bool {
        let had_all = self.needs_all(ranks);
        self.sampled = if had_all { 0 } else { self.sampled + 1 };
        let sample = counts.iter();
        let sample = sample.filter(|(rank, _)| rank.is_multiple_of(RANKS_PER_SAMPLE));
        let sample: Vec<(u16, Counts)> = sample.cloned().collect();
        let shares = shares_between(&self.last, &sample);
        self.last = sample;
        let Some(shares) = shares else {
            // A rank restarted or is silent; what it had shown tells nothing.
            let last = std::mem::take(&mut self.last);
            *self = Self {
                last,
                ..Self::default()
            };
            return !had_all;
        };
        let distance = distance(&self.mean, &shares);
        let usual = self.usual_distance;
        let has_moved = match (distance, usual) {
            (Some(distance), Some(usual)) => distance > usual + MOVED,
            _ => false,
        };
        if distance.is_none() || has_moved {
            self.mean = shares;
            self.usual_distance = None;
            (self.stable, self.sampled) = (0, 0);
            return has_moved && !had_all;
        }
        let weighted = |old: f64, new: f64| old + WEIGHT * (new - old);
        for (mean, share) in self.mean.iter_mut().flatten().zip(shares.iter().flatten()) {
            *mean = weighted(*mean, *share);
        }
        self.usual_distance =
            distance.map(|distance| usual.map_or(distance, |usual| weighted(usual, distance)));
        self.stable = self.stable.saturating_add(1);
        false
    }
}

/// Returns the shares of the choices between two reads of the same ranks, by set and expert, or
/// `None` if a rank has restarted, none has made choices or the ranks differ.
fn shares_between(old: &[(u16, Counts)], new: &[(u16, Counts)]) -> Option<Vec<Vec<f64>>> {
    if old.len() != new.len() {
        return None;
    }
    let mut sums: Vec<Vec<u64>> = Vec::new();
    for ((old_rank, old), (rank, new)) in old.iter().zip(new) {
        if old_rank != rank || old.epoch != new.epoch || old.counts.len() != new.counts.len() {
            return None;
        }
        sums.resize_with(new.counts.len(), Vec::new);
        for (sum, (new, old)) in sums.iter_mut().zip(new.counts.iter().zip(&old.counts)) {
            sum.resize(new.len(), 0);
            for (sum, (new, old)) in sum.iter_mut().zip(new.iter().zip(old)) {
                *sum += new.checked_sub(*old)?;
            }
        }
    }
    let shares = sums.iter().map(|set| {
        let total: u64 = set.iter().sum();
        let share = |count: &u64| *count as f64 / total as f64;
        (total > 0).then(|| set.iter().map(share).collect())
    });
    let shares: Option<Vec<Vec<f64>>> = shares.collect();
    shares.filter(|shares| !shares.is_empty())
}

/// Returns the mean over the sets of the part of the choices that went to other experts; `None`
/// if the shapes differ.
fn distance(mean: &[Vec<f64>], shares: &[Vec<f64>]) -> Option<f64> {
    let is_like = |(a, b): (&Vec<f64>, &Vec<f64>)| a.len() == b.len();
    if mean.len() != shares.len() || !mean.iter().zip(shares).all(is_like) {
        return None;
    }
    let pairs = mean.iter().flatten().zip(shares.iter().flatten());
    let moved: f64 = pairs.map(|(a, b)| (a - b).abs()).sum();
    Some(moved / 2.0 / shares.len() as f64)
}
