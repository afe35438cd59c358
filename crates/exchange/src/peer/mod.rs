//! Peers and the bounded view each node has of them.
//!
//! No node holds a list of all nodes. A [`View`] holds a random sample per
//! distance, kept random by exchanging entries in messages (as Cyclon does),
//! and kept alive by dropping entries that fail or that nobody has heard from
//! for long.

mod last_seen;
mod view;

pub(crate) use last_seen::LastSeen;
pub use view::{Limits, View};

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Where a node runs, as hashes of names, since keys of
/// [`sesamerock_base::key`] mean nothing outside their process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Place {
    /// Hash of the region's name.
    pub region: u32,
    /// Hash of the region's and the zone's name.
    pub zone: u32,
}

impl Place {
    /// Makes the place of a zone from names.
    pub fn named(region: &str, zone: &str) -> Self {
        let region_hash = fnv(0x811c_9dc5, region.as_bytes());
        Self {
            region: region_hash,
            zone: fnv(fnv(region_hash, b"/"), zone.as_bytes()),
        }
    }

    /// Returns how far another place is from this one.
    pub fn distance(self, other: Self) -> Distance {
        if self.zone == other.zone {
            Distance::Zone
        } else if self.region == other.region {
            Distance::Region
        } else {
            Distance::World
        }
    }
}

/// 32-bit FNV-1a, chosen since it is stable across builds and has no state.
fn fnv(hash: u32, bytes: &[u8]) -> u32 {
    bytes.iter().fold(hash, |hash, byte| {
        (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193)
    })
}

/// How far a peer is from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Distance {
    /// The same zone.
    Zone,
    /// Another zone of the same region.
    Region,
    /// Another region.
    World,
}

impl Distance {
    /// All distances, nearest first.
    pub const ALL: [Self; 3] = [Self::Zone, Self::Region, Self::World];
}

/// An entry of a view as it travels in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Address of its peer service.
    pub address: SocketAddr,
    /// Where it runs.
    pub place: Place,
    /// Tenths of a second since somebody heard from it directly.
    pub age: u32,
    /// Whether it is shutting down or its VM is leaving.
    pub leaving: bool,
}

impl Peer {
    /// Makes the entry of a node that is alive now.
    pub fn new(address: SocketAddr, place: Place) -> Self {
        Self {
            address,
            place,
            age: 0,
            leaving: false,
        }
    }
}
