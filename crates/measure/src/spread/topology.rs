//! Regions, zones and delays of the target size.

use std::net::SocketAddr;
use std::time::Duration;

use sesamerock_exchange::peer::{Distance, Peer, Place};

/// Regions of the target size.
pub const REGIONS: usize = 10;

/// Zones of the target size.
pub const ZONES: usize = 32;

/// Zones are filled in turn; the region of a zone is its number modulo ten.
pub fn region_of(index: usize) -> usize {
    index % ZONES % REGIONS
}

/// Makes the entry of a node by its number.
pub fn peer(index: usize) -> Peer {
    let zone = index % ZONES;
    let place = Place::named(&format!("region-{}", region_of(index)), &format!("{zone}"));
    let [_, a, b, c] = (index as u32).to_be_bytes();
    Peer::new(SocketAddr::from(([10, a, b, c], 7_400)), place)
}

/// Returns the number of a node by its address.
pub fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => (u32::from(*v4.ip()) & 0x00ff_ffff) as usize,
        SocketAddr::V6(_) => unreachable!("all nodes have IPv4 addresses"),
    }
}

/// Returns the one-way delay between two places.
pub fn latency(from: Place, to: Place) -> Duration {
    match from.distance(to) {
        Distance::Zone => Duration::from_micros(500),
        Distance::Region => Duration::from_millis(1),
        Distance::World => Duration::from_millis(80),
    }
}
