//! The upstreams of a service from which admission chooses.

use std::sync::{Arc, OnceLock};

use sesamerock_base::time::Moment;

use super::cold::Members;
use crate::table::EngineSpec;
use crate::upstream::Record;

/// An upstream to which calls of a service may be sent now.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Address, zone and slots of the upstream.
    pub record: Arc<Record>,
    /// End of its cold start.
    pub cold_until: Moment,
    /// Calls per second that this gateway may send to it during its cold start; computed at
    /// the first call, since most upstreams are not cold.
    pub cold_limit: OnceLock<u32>,
}

/// The upstreams to which calls of one service may be sent.
#[derive(Clone, Debug, Default)]
pub struct UpstreamPool {
    /// Possible choices; among equally loaded ones, the first is chosen.
    pub candidates: Vec<Candidate>,
    /// Calls per second that an upstream can take during its cold start; 0 for no limit.
    pub cold_rate: f64,
    /// Gateways that share the upstreams.
    pub members: Arc<Members>,
    /// Configured step and request times of the upstreams, if they are engines.
    pub engine: Option<EngineSpec>,
    /// Whether the routes of the service have unlike priorities.
    pub has_priorities: bool,
}
