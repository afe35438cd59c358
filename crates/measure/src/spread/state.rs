//! Size of the control state that a joining node fetches.
//!
//! The size counts against the budget of a joining node, so it is taken from a
//! state of the target size in the form in which real nodes send it.

use std::hash::{BuildHasher as _, BuildHasherDefault, DefaultHasher};
use std::io::Write as _;
use std::net::Ipv4Addr;

use flate2::Compression;
use flate2::write::DeflateEncoder;
use sesamerock::control::pack;
use sesamerock_note::fold::State;
use sesamerock_note::fold::row::Row;
use sesamerock_note::record::Body;
use sesamerock_note::snapshot::{self, Part};

use crate::state::fleet::Fleet;

/// Upstreams and models of the target size.
pub const UPSTREAMS: usize = 10_000;
const MODELS: usize = 17;

/// Changes after the first notes: as many verdicts as a node remembers.
const CHANGES: usize = 4_096;

/// Bytes of a snapshot.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// As plain JSON.
    pub json: usize,
    /// With the rows deflated as they are, as nodes sent them at first.
    pub deflated: usize,
    /// As columns, as nodes sent them before this form.
    pub columns: usize,
    /// As nodes send it.
    pub packed: usize,
    /// As nodes send it, if addresses follow no order.
    pub irregular: usize,
}

/// Makes a state of the target size and returns the bytes of its snapshot.
pub fn sizes(seed: u64) -> Sizes {
    let mut fleet = Fleet::new(seed, UPSTREAMS, MODELS);
    let mut state = State::default();
    let mut offset = 0;
    let mut fold = |state: &mut State, record: &[u8]| {
        state.apply(offset, record);
        offset += 1;
    };
    for record in fleet.log() {
        fold(&mut state, &record);
    }
    for serial in 0..CHANGES {
        let record = fleet.change(serial, state.version().0);
        fold(&mut state, &record);
    }
    let records = snapshot::encode(&state).into_iter();
    let parts: Vec<Part> = records
        .filter_map(|record| match record.body {
            Body::Snapshot(part) => Some(part),
            Body::Note(_) | Body::Zone(_) | Body::Vm(_) => None,
        })
        .collect();
    let json = serde_json::to_vec(&parts).expect("parts are encodable");
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&json).expect("memory takes it");
    let deflated = encoder.finish().expect("memory takes it");
    Sizes {
        json: json.len(),
        deflated: deflated.len(),
        columns: pack::former::pack(&parts).len(),
        packed: pack::pack(&parts).len(),
        irregular: pack::pack(&scattered(parts)).len(),
    }
}

/// Gives every upstream an address that follows from nothing else. Such parts
/// no longer match their hash and serve only to count bytes.
fn scattered(mut parts: Vec<Part>) -> Vec<Part> {
    let hash = BuildHasherDefault::<DefaultHasher>::default();
    for row in parts.iter_mut().flat_map(|part| &mut part.rows) {
        if let Row::Upstream(kept) = row {
            let host = hash.hash_one(&kept.entry.name) as u32 >> 8;
            let address = Ipv4Addr::from_bits((10 << 24) | host);
            kept.entry.agent = (address, kept.entry.agent.port()).into();
        }
    }
    parts
}
