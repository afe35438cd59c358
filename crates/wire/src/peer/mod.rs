//! The peer service: small control calls between any two nodes, over tarpc.

use std::net::SocketAddr;
use std::time::Duration;

use sesamerock_base::version::Version;
use sesamerock_exchange::message::Message;
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;
use tokio::time::timeout;

/// Timeout for connecting to a peer.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum length of a message between peers, in bytes.
pub const FRAME_BYTES: usize = 4 << 20;

/// RPC interface that every node serves.
#[tarpc::service]
pub trait Peer {
    /// Exchanges control records, peer samples and facts.
    async fn exchange(message: Message) -> Message;
    /// Returns the control version that is in effect on this node.
    async fn version() -> Version;
}

/// Connects to the peer service of a node.
///
/// # Errors
/// Returns the connection's error, or a timeout error after [`CONNECT_TIMEOUT`].
pub async fn connect(address: SocketAddr) -> std::io::Result<PeerClient> {
    let mut connect = tcp::connect(address, Bincode::default);
    connect.config_mut().max_frame_length(FRAME_BYTES);
    let transport = timeout(CONNECT_TIMEOUT, connect).await??;
    Ok(PeerClient::new(tarpc::client::Config::default(), transport).spawn())
}
