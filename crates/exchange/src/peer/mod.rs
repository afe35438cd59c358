//! Peers and the partial view that each node has of them.
//!
//! No node holds a list of all nodes. A [`View`] holds a random sample per
//! distance. Messages exchange entries, which keeps the sample random (as in
//! Cyclon); entries that fail, or from which no node has received a message for
//! long, are replaced.

mod last_seen;
mod view;

pub(crate) use last_seen::LastSeen;
pub use view::{Limits, View};

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Region and zone of a node, as hashes of their names, since keys of
/// [`sesamerock_base::key`] are valid only within their process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Place {
    /// Hash of the region's name.
    pub region: u32,
    /// Hash of the region's and the zone's name.
    pub zone: u32,
}

impl Place {
    /// Returns the place for the names of a region and of a zone in it.
    pub fn named(region: &str, zone: &str) -> Self {
        let region_hash = fnv(0x811c_9dc5, region.as_bytes());
        Self {
            region: region_hash,
            zone: fnv(fnv(region_hash, b"/"), zone.as_bytes()),
        }
    }

    /// Returns the distance class of another place seen from this one.
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

/// 32-bit FNV-1a. Nodes of different builds must compute the same hash, which
/// the standard library's hasher does not guarantee.
fn fnv(hash: u32, bytes: &[u8]) -> u32 {
    bytes.iter().fold(hash, |hash, byte| {
        (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193)
    })
}

/// Distance class of a peer, by zone and region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Distance {
    /// In the same zone.
    Zone,
    /// In another zone of the same region.
    Region,
    /// In another region.
    World,
}

impl Distance {
    /// All distances, nearest first.
    pub const ALL: [Self; 3] = [Self::Zone, Self::Region, Self::World];
}

/// View entry: a known peer, as messages carry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Address of the peer's `exchange` service.
    pub address: SocketAddr,
    /// Region and zone of the peer.
    pub place: Place,
    /// Tenths of a second since any node received a message from the peer
    /// itself.
    pub age: u32,
    /// Whether the peer is shutting down or its VM is leaving.
    pub leaving: bool,
}

impl Peer {
    /// Creates an entry of age zero that is not leaving.
    pub fn new(address: SocketAddr, place: Place) -> Self {
        Self {
            address,
            place,
            age: 0,
            leaving: false,
        }
    }
}
