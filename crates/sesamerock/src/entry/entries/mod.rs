//! List of the entries that callers may connect to.
//!
//! There is no load balancer in front of the entries: a caller fetches the list
//! from any of them, caches it, and connects to an entry of the list directly.

use http::header::{CACHE_CONTROL, HeaderValue};
use http::request::Parts;
use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use sesamerock_client::http::body::Body;

use super::Context;
use super::operator::json;

/// Announcement of an entry to all nodes, from which the list for callers is
/// made.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Announcement {
    /// Node name of the entry, unique among entries.
    pub name: String,
    /// Address that callers connect to.
    pub address: std::net::SocketAddr,
    /// Availability zone of the entry's VM.
    pub zone: String,
    /// Region that contains the zone.
    pub region: String,
    /// VM that the entry runs on; an entry on a VM out of service is not
    /// listed.
    pub vm: String,
    /// Whether the entry is about to stop and takes no new callers.
    #[serde(default)]
    pub leaving: bool,
}

/// Body of the response to `GET /v1/entries`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Entries {
    /// Entries in order of preference: those in the requested zone first, then
    /// those in the region of the responding entry, then the others.
    pub entries: Vec<ListedEntry>,
}

/// An entry as listed for callers.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListedEntry {
    /// Address that callers connect to.
    pub address: std::net::SocketAddr,
    /// Availability zone of the entry's VM.
    pub zone: String,
}

/// Answers `GET /v1/entries?zone=ZONE`; without a zone, that of this entry is
/// taken.
pub(super) fn respond(context: &Context, parts: &Parts) -> Response<Body> {
    let node = &context.settings.node;
    let query = parts.uri.query().unwrap_or_default();
    let zone = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("zone="))
        .unwrap_or(&node.zone);
    let view = context.control.view();
    let mut candidates = view.entries();
    candidates.retain(|entry| !entry.leaving && view.in_service(&entry.zone, &entry.vm));
    // Most clients use the first address. A random rotation per response
    // spreads the callers of one zone over its entries.
    let offset = rand::random::<u32>() as usize;
    let count = candidates.len().max(1);
    candidates.sort();
    candidates.rotate_left(offset % count);
    candidates.sort_by_key(|entry| (entry.zone != zone, entry.region != node.region));
    let entries = candidates
        .into_iter()
        .map(|entry| ListedEntry {
            address: entry.address,
            zone: entry.zone,
        })
        .collect();
    let mut response = json(StatusCode::OK, &Entries { entries });
    let age = context.settings.entries_max_age.as_secs().max(1);
    if let Ok(value) = HeaderValue::from_str(&format!("max-age={age}")) {
        response.headers_mut().insert(CACHE_CONTROL, value);
    }
    response
}
