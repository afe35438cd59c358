//! What nodes tell each other: that they live, what they run, and, to a node that
//! cannot reach the store, all that they know.

mod peers;
mod serve;

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::node;
use crate::state::{Position, Snapshot};

pub use peers::{Peers, Settings};
pub use serve::{accept, context_with_deadline, serve, transport};

/// What a node says of its present state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who it is.
    pub node: node::Record,
    /// Whether callers should use it.
    pub ready: bool,
    /// Whether it leads the expert maps.
    pub leads: bool,
    /// How far it has read.
    pub position: Position,
    /// Its calls, by upstream.
    pub loads: Vec<(Arc<str>, u32)>,
}

/// Calls between nodes.
#[tarpc::service]
pub trait Exchange {
    /// Tells a greeting and returns that of the other node.
    async fn greet(greeting: Heartbeat) -> Heartbeat;
    /// Returns all that the other node knows.
    async fn pull() -> Snapshot;
}

/// What the exchange needs of its node.
pub trait Host: Clone + Send + Sync + 'static {
    /// Returns the greeting of this node.
    fn heartbeat(&self) -> Heartbeat;
    /// Takes in the greeting of another node.
    fn receive_heartbeat(&self, heartbeat: Heartbeat);
    /// Returns all that this node knows.
    fn snapshot(&self) -> Snapshot;
    /// Takes in what another node knows.
    fn restore(&self, from: &str, snapshot: Snapshot);
    /// Returns how far this node has read.
    fn position(&self) -> Position;
}

/// Returns where another node serves the exchange.
fn address(node: &node::Record) -> SocketAddr {
    node.exchange
}
