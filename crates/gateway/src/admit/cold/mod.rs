//! Divides the calls that an upstream can take during its cold start among the gateways.
//!
//! Gateways do not coordinate before a call. Each computes its own part from the names of
//! those that may be alive, so that the parts of all of them add up to the whole. With more
//! gateways than calls, only some of them call a given upstream, and others call the next
//! one.

use sesamerock_base::time::Moment;

use crate::hash;

/// Gateways between which an upstream is divided while their number is unknown.
const ASSUMED_GATEWAYS: u64 = 64;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Returns the part of a gateway in `total` calls a second to an upstream while it does not know the
/// other gateways: one call in a second of a longer period. `seed` differs between gateways, so
/// that their calls are spread over the period.
pub fn share_among_unknown(seed: u64, upstream: &str, total: u32, now: Moment) -> u32 {
    let period = ASSUMED_GATEWAYS.div_ceil(u64::from(total.max(1)));
    let phase = hash::combine(seed, hash::of(upstream)) % period;
    let second = now.0 / MICROS_PER_SECOND;
    u32::from(total > 0 && second % period == phase)
}

/// This gateway and the others that may call the same upstreams. By default, the others are not known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    own: u64,
    others: Vec<u64>,
    are_known: bool,
}

impl Members {
    /// Creates the list from the name of this gateway and those of the others.
    pub fn new<'a>(own: &str, others: impl IntoIterator<Item = &'a str>) -> Self {
        Self {
            own: hash::of(own),
            others: others.into_iter().map(hash::of).collect(),
            are_known: true,
        }
    }

    /// Returns a number by which this gateway orders upstreams. Gateways differ in it, so that
    /// those with the same counts do not all choose the same upstream, and each comes back to
    /// the upstreams to which it has connections.
    pub fn preference(&self, upstream: &str) -> u64 {
        hash::combine(self.own, hash::of(upstream))
    }

    /// Returns whether it is known with which gateways an upstream is shared.
    pub fn are_known(&self) -> bool {
        self.are_known
    }

    /// Returns the number of gateways that are known, including this one.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns the part of this gateway in `total` calls to an upstream. Gateways with the
    /// lowest hash of both names get the calls that do not divide evenly.
    pub fn share(&self, upstream: &str, total: u32) -> u32 {
        let gateways = self.count() as u32;
        let even = total / gateways;
        let remainder = total % gateways;
        if remainder == 0 {
            return even;
        }
        even + u32::from((self.rank(upstream) as u32) < remainder)
    }

    /// Returns how many gateways go before this one at an upstream. The order differs from
    /// upstream to upstream.
    pub fn rank(&self, upstream: &str) -> usize {
        let upstream = hash::of(upstream);
        let own = hash::combine(self.own, upstream);
        let others = self.others.iter();
        others
            .filter(|other| hash::combine(**other, upstream) < own)
            .count()
    }
}
