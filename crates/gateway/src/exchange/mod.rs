//! The protocol between gateways: heartbeats with the load of each upstream and, for a
//! node whose reads of the store lag behind, the full state.

mod delivery;
pub mod delta;
mod peers;
mod serve;
pub mod traffic;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::admit::demand;
use crate::admit::group::{self, Listing, Pace};
use crate::admit::leaving::Departure;
use crate::admit::limit;
use crate::admit::misdirected::Finding;
use crate::admit::outage;
use crate::node;
use crate::state::{Knowledge, Position, Snapshot};
use crate::store::Offset;
use crate::store::contact::ContactState;
use crate::suspect;
use crate::table::Content;

pub use delivery::Delivery;
pub use peers::{Peers, Settings};
pub use serve::{accept, context_with_deadline, serve, transport};

/// The current status of a gateway, sent periodically to the others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Record of the sender.
    pub node: node::Record,
    /// Whether callers may be directed to the sender.
    pub ready: bool,
    /// Whether the sender takes calls, as it still does for a while after it was told to stop.
    pub accepting: bool,
    /// Whether the sender is the leader for the expert maps.
    pub leads: bool,
    /// Offsets up to which the sender has read the logs.
    pub position: Position,
    /// What the sender knows that the store may lack.
    pub knowledge: Knowledge,
    /// Contact of the sender with the store.
    pub store: ContactState,
    /// Upstreams to which calls of the sender were misdirected lately.
    pub misdirected: Vec<Finding>,
    /// Upstreams that lately stated in answers to the sender that they are leaving.
    pub leaving: Vec<Departure>,
    /// Limits of calls that upstreams have named, as far as the sender knows.
    pub limits: Vec<limit::Report>,
    /// Version of the listing of groups that the sender knows.
    pub groups: group::Version,
    /// What crashes upstreams, or may.
    pub suspects: suspect::Report,
    /// Groups that run nothing, as far as the sender knows.
    pub outages: outage::Statement,
    /// Paces of groups that the sender observed lately.
    pub paces: Vec<Pace>,
    /// Number of calls in flight from the sender, by upstream id.
    pub loads: Vec<(Arc<str>, u32)>,
    /// Calls offered to the sender and started by it, by workspace and priority.
    pub demand: demand::Report,
}

/// Remote calls between gateways.
#[tarpc::service]
pub trait Exchange {
    /// Delivers a heartbeat and returns that of the other node.
    async fn greet(greeting: delta::Message) -> delta::Message;
    /// Returns the full state of the other node.
    async fn pull() -> Snapshot;
    /// Returns the operators' table that the other node knows, and its offset; `None` if it knows none
    /// or has handed out many lately.
    async fn table() -> Option<(Content, Offset)>;
    /// Returns the listing of groups that the other node knows.
    async fn groups() -> Listing;
    /// Delivers what the reader of the zone has read from the store.
    async fn deliver(delivery: Delivery);
}

/// What a node stated about its knowledge, and when.
#[derive(Clone, Copy, Debug)]
pub struct Statement {
    /// Time since the heartbeat.
    pub age: Duration,
    /// Offsets up to which the node had read the logs.
    pub position: Position,
    /// Version of the operators' table that it knew.
    pub table: Option<u64>,
    /// Version of the listing of groups that it knew.
    pub groups: group::Version,
}

/// The node that takes part in the exchange.
pub trait LocalNode: Clone + Send + Sync + 'static {
    /// Returns the name of this node, which differs from those of all others.
    fn name(&self) -> &str;
    /// Returns a heartbeat with the current status of this node.
    fn heartbeat(&self) -> Heartbeat;
    /// Returns what the last heartbeat of another node stated.
    fn last_heartbeat(&self, node: &str) -> Option<Statement>;
    /// Processes a heartbeat of another node.
    fn receive_heartbeat(&self, heartbeat: Heartbeat);
    /// Returns the full state of this node.
    fn snapshot(&self) -> Snapshot;
    /// Merges the state of another node named `from`.
    fn merge_snapshot(&self, from: &str, snapshot: Snapshot);
    /// Returns the offsets up to which this node has read the logs.
    fn position(&self) -> Position;
    /// Returns the version of the operators' table that this node knows.
    fn table_version(&self) -> Option<u64>;
    /// Returns the operators' table that this node knows, and its offset.
    fn table(&self) -> Option<(Content, Offset)>;
    /// Uses the table of another node named `from` if it is newer.
    fn merge_table(&self, from: &str, content: &Content, offset: Offset);
    /// Returns whether this node has started and does not act on its state before it knows what the
    /// others know.
    fn is_catching_up(&self) -> bool {
        false
    }
    /// Returns the listing of groups that this node knows.
    fn groups(&self) -> Arc<Listing>;
    /// Uses the listing of groups of another node if it is newer.
    fn merge_groups(&self, from: &str, listing: Listing);
    /// Returns whether the store has stopped to answer this node, which was the reader of its zone.
    /// It then pulls upstreams without the usual delay, which is for nodes that still read them.
    fn is_cut_off(&self) -> bool {
        false
    }
    /// Processes what the reader of the zone has read from the store.
    fn receive_delivery(&self, delivery: Delivery);
}

/// Returns the address at which another node serves the exchange.
fn address(node: &node::Record) -> SocketAddr {
    node.exchange
}
