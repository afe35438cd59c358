//! Settings of the roles, read from YAML.
//!
//! Every struct has defaults that suit a test on loopback, so that a settings
//! file names only what differs. Units are part of each name. The reference for
//! operators is `docs/settings.md`.

pub mod check;
pub mod hedge;
pub mod placement;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use sesamerock_limit::gate;
use sesamerock_note::rollout;

/// Identity and addresses of a process, common to all roles.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Node {
    /// Name of the process, unique among live processes.
    pub name: String,
    /// VM that hosts the process.
    pub vm: String,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Address of the peer service.
    pub peer: SocketAddr,
    /// Address at which other nodes reach the peer service, if it differs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertised_peer: Option<SocketAddr>,
    /// Addresses of the first peers to contact.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Threads for traffic; 0 stands for one per core.
    pub threads: usize,
}

impl Node {
    /// Returns the address at which other nodes reach the peer service.
    pub fn reached_at(&self) -> SocketAddr {
        self.advertised_peer.unwrap_or(self.peer)
    }
}

impl Default for Node {
    fn default() -> Self {
        Self {
            name: "node".to_owned(),
            vm: "vm".to_owned(),
            zone: "a".to_owned(),
            region: "local".to_owned(),
            peer: loopback(),
            advertised_peer: None,
            seeds: Vec::new(),
            platform: loopback(),
            threads: 0,
        }
    }
}

/// Settings of the role `entry`.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Entry {
    /// The node.
    pub node: Node,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for operators; callers must not reach it.
    pub operator: SocketAddr,
    /// Longest request body in bytes.
    pub body_bytes: usize,
    /// Connections of callers open at once.
    pub connections: usize,
    /// Time for a caller to send its request header.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "header_timeout_ms")]
    pub header_timeout: Duration,
    /// Time for a caller to send its request body.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "body_timeout_ms")]
    pub body_timeout: Duration,
    /// Deadline of a request that names none.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "request_timeout_ms")]
    pub request_timeout: Duration,
    /// Time for which callers may keep the list of entries.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "entries_max_age_ms")]
    pub entries_max_age: Duration,
    /// Attempts per request, the first included.
    pub attempts: u32,
    /// Requests that may wait for room at an upstream; more are refused.
    pub waiting: usize,
    /// When a slow look-up is sent to a second upstream.
    pub hedge: hedge::Hedge,
    /// Whether ranks of a group are chosen by what they do to the group's steps;
    /// if not, they count as unrelated upstreams.
    pub rank_routing: bool,
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            node: Node::default(),
            caller: loopback(),
            operator: loopback(),
            body_bytes: 4 << 20,
            connections: 10_000,
            header_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(30),
            request_timeout: Duration::from_mins(1),
            entries_max_age: Duration::from_secs(5),
            attempts: 4,
            waiting: 4_096,
            hedge: hedge::Hedge::default(),
            rank_routing: true,
        }
    }
}

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine.
    #[default]
    Engine,
    /// A plain service.
    Service,
}

/// The upstream beside an agent.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Upstream {
    /// Name, as in release notes.
    pub name: String,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Model engine or plain service.
    pub kind: Kind,
    /// Interval at which the agent reads the load report of the upstream.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "poll_ms")]
    pub poll: Duration,
    /// Calls that the upstream is known to run at the same time; the learned limit
    /// never falls below it.
    pub min_calls: u32,
    /// Whether the agent reads the events of an engine's prefix cache. Off by
    /// default, since no measurement shows a gain yet: see
    /// `docs/notes/prefix.md`.
    pub cache_events: bool,
}

impl Upstream {
    /// Returns the settings of the admission of calls to the upstream.
    pub fn gate(&self) -> gate::Settings {
        let mut settings = gate::Settings::default();
        settings.learn.bounds.min.calls = self.min_calls;
        settings
    }
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            name: "upstream".to_owned(),
            address: loopback(),
            kind: Kind::Engine,
            poll: Duration::from_millis(100),
            min_calls: 1,
            cache_events: false,
        }
    }
}

/// Settings of an agent.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Agent {
    /// The node.
    pub node: Node,
    /// Address of the relay service, as entries reach it.
    pub relay: SocketAddr,
    /// Address for metrics and health.
    pub operator: SocketAddr,
    /// The upstream.
    pub upstream: Upstream,
    /// Longest request body in bytes.
    pub body_bytes: usize,
    /// Time for running calls to finish after a stop.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "drain_timeout_ms")]
    pub drain_timeout: Duration,
    /// Time within which a staged expert map must be in use, for a rank of a
    /// group. A longer time costs fewer messages and lets the group run longer
    /// without a leader while a new one is chosen. By default 1 s, and more for a group
    /// of over ten ranks.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "map_switch_ms", skip_serializing_if = "Option::is_none")]
    pub map_switch: Option<Duration>,
    /// Planning of expert placement, for a rank of a group.
    pub placement: placement::Placement,
    /// Limits of rollouts; not part of the settings file.
    #[serde(skip)]
    pub rollout: rollout::Settings,
}

impl Default for Agent {
    fn default() -> Self {
        Self {
            node: Node::default(),
            relay: loopback(),
            operator: loopback(),
            upstream: Upstream::default(),
            body_bytes: 4 << 20,
            drain_timeout: Duration::from_mins(2),
            map_switch: None,
            placement: placement::Placement::default(),
            rollout: rollout::Settings::default(),
        }
    }
}

/// Returns a loopback address with a port that the system chooses.
pub const fn loopback() -> SocketAddr {
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))
}
