//! The list of entries that callers may use.
//!
//! No balancer stands in front of the entries: callers ask one of them for the
//! list, keep it for a while, and connect on their own.

use http::header::{CACHE_CONTROL, HeaderValue};
use http::request::Parts;
use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use sesamerock_client::http::body::Body;

use super::Context;
use super::operator::json;

/// An entry as announced among nodes and told to callers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the entry.
    pub name: String,
    /// Address for callers.
    pub address: std::net::SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// VM.
    pub vm: String,
    /// Whether it is about to stop.
    #[serde(default)]
    pub leaving: bool,
}

/// The list as it is sent.
#[derive(Debug, Serialize, Deserialize)]
pub struct Entries {
    /// Entries, the best for the asker first.
    pub entries: Vec<ListedEntry>,
}

/// One entry of the list.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListedEntry {
    /// Address for callers.
    pub address: std::net::SocketAddr,
    /// Availability zone.
    pub zone: String,
}

/// Answers `GET /v1/entries?zone=ZONE`.
pub(super) fn respond(context: &Context, parts: &Parts) -> Response<Body> {
    let node = &context.settings.node;
    let query = parts.uri.query().unwrap_or_default();
    let zone = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("zone="))
        .unwrap_or(&node.zone);
    let view = context.control.view();
    let mut known = view.entries();
    known.retain(|entry| !entry.leaving && view.in_service(&entry.zone, &entry.vm));
    // A rotation by the time of asking spreads callers of one zone over its
    // entries, since most clients take the first address.
    let offset = rand::random::<u32>() as usize;
    let count = known.len().max(1);
    known.sort();
    known.rotate_left(offset % count);
    known.sort_by_key(|entry| (entry.zone != zone, entry.region != node.region));
    let entries = known
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
