//! Client of the peer service.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sesamerock_base::version::Version;
use sesamerock_exchange::message::Message;
use sesamerock_wire::peer::{self, PeerClient};
use tarpc::context::{self, Context};

/// Deadline of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of connections kept open. The view of peers is smaller, and a
/// node rarely calls peers outside it.
const MAX_CONNECTIONS: usize = 48;

/// Connections of the control thread to peers.
#[derive(Debug, Default)]
pub struct Clients {
    connections: RefCell<HashMap<SocketAddr, PeerClient>>,
}

impl Clients {
    /// Sends a message and returns the reply; `None` if the call failed or timed
    /// out, which also closes the connection.
    pub async fn exchange(&self, peer: SocketAddr, message: Message) -> Option<Message> {
        let client = self.client(peer).await?;
        match client.exchange(context(), message).await {
            Ok(reply) => Some(reply),
            Err(error) => {
                log::debug!("event=peer_failed peer={peer} error={error}");
                self.connections.borrow_mut().remove(&peer);
                None
            }
        }
    }

    async fn client(&self, peer: SocketAddr) -> Option<PeerClient> {
        if let Some(client) = self.connections.borrow().get(&peer) {
            return Some(client.clone());
        }
        let client = peer::connect(peer).await.ok()?;
        let mut connections = self.connections.borrow_mut();
        if connections.len() >= MAX_CONNECTIONS
            && let Some(other) = connections.keys().next().copied()
        {
            connections.remove(&other);
        }
        connections.insert(peer, client.clone());
        Some(client)
    }
}

/// Returns the control version in effect on a node, or `None` if the node does not
/// answer.
pub async fn version(peer: SocketAddr) -> Option<Version> {
    let client = peer::connect(peer).await.ok()?;
    client.version(context()).await.ok()
}

fn context() -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_TIMEOUT;
    context
}
