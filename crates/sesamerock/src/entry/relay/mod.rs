//! Calls to agents over the relay service.
//!
//! One HTTP/2 connection per agent carries all calls; each stream has its own
//! flow control and is cancelled by dropping it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt as _;
use sesamerock_wire::relay::relay_client::RelayClient;
use sesamerock_wire::relay::{
    Down, GroupMessage, Head, HeldReply, HeldRequest, MintRequest, Up, down, up,
};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use tonic::transport::{Channel, Endpoint};

/// Time to connect to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without an answer to a ping after which a connection counts as dead.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two pings.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Window of one stream, in bytes: a slow caller holds no more than this in an
/// entry.
const STREAM_WINDOW: u32 = 256 << 10;
/// Window of a connection, in bytes.
const CONNECTION_WINDOW: u32 = 16 << 20;
/// Time for a stream to end after its last frame.
const END_TIMEOUT: Duration = Duration::from_secs(1);
/// Body bytes per message; tonic refuses messages over 4 MiB.
const CHUNK_BYTES: usize = 1 << 20;

/// How a call failed before the agent answered it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayError {
    /// The agent never got what it needs to run the call.
    NotSent(String),
    /// The agent may have run the call.
    Unknown(String),
}

/// An open call: the frames that come down.
#[derive(Debug)]
pub struct Call {
    frames: Option<Streaming<Down>>,
    // Keeps the upward half open; an agent takes a closed half for the end of
    // the body, not for a cancellation.
    body: Option<mpsc::Sender<Up>>,
}

impl Call {
    /// Waits for the next frame; `None` is a clean end.
    ///
    /// # Errors
    /// Returns the text of the transport's error.
    pub async fn next(&mut self) -> Result<Option<down::Kind>, String> {
        let Some(frames) = self.frames.as_mut() else {
            return Ok(None);
        };
        match frames.message().await {
            Ok(Some(Down { kind })) => {
                if matches!(kind, Some(down::Kind::Tail(_) | down::Kind::Refused(_))) {
                    self.read_end();
                }
                Ok(kind)
            }
            Ok(None) => Ok(None),
            Err(status) => Err(status.to_string()),
        }
    }

    /// Reads the end of the stream, which follows the last frame. Dropping the
    /// stream before it would reset it, which costs the agent a look.
    fn read_end(&mut self) {
        if let Some(mut frames) = self.frames.take() {
            // The end mostly comes together with the last frame, so that few
            // calls need a task and a timer for it.
            if frames.message().now_or_never().is_some() {
                return;
            }
            tokio::spawn(async move { tokio::time::timeout(END_TIMEOUT, frames.message()).await });
        }
    }

    /// Sends the body that was kept back until now, and closes the upward half.
    pub async fn send_body(&mut self, body: &Bytes) -> bool {
        let Some(sender) = self.body.take() else {
            return false;
        };
        send(&sender, body).await
    }
}

/// Connections to agents.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    channels: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<Option<Channel>>>>>,
}

impl ConnectionPool {
    /// Opens a call; the body follows at once unless the head asks for Ready.
    ///
    /// # Errors
    /// Returns a [`Failure`] that tells whether the call may have been run.
    pub async fn call(
        &self,
        agent: SocketAddr,
        head: Head,
        body: &Bytes,
    ) -> Result<Call, RelayError> {
        let channel = self.channel(agent).await?;
        let body_deferred = head.await_ready;
        let (sender, receiver) = mpsc::channel(4);
        let first = Up {
            kind: Some(up::Kind::Head(head)),
        };
        if sender.try_send(first).is_err() {
            return Err(RelayError::NotSent(
                "the request channel has no room".to_owned(),
            ));
        }
        if !body_deferred {
            let body = body.clone();
            if body.len() <= CHUNK_BYTES {
                let chunk = Up {
                    kind: Some(up::Kind::Body(body)),
                };
                if sender.try_send(chunk).is_err() {
                    return Err(RelayError::NotSent(
                        "the request channel has no room".to_owned(),
                    ));
                }
            } else {
                let sender = sender.clone();
                tokio::spawn(async move { send(&sender, &body).await });
            }
        }
        let sender = body_deferred.then_some(sender);
        let mut client = RelayClient::new(channel);
        match client.call(ReceiverStream::new(receiver)).await {
            Ok(response) => Ok(Call {
                frames: Some(response.into_inner()),
                body: sender,
            }),
            Err(status) => {
                self.disconnect(agent);
                let detail = status.to_string();
                if body_deferred {
                    Err(RelayError::NotSent(detail))
                } else {
                    Err(RelayError::Unknown(detail))
                }
            }
        }
    }

    /// Asks an agent for a key that only it may run.
    ///
    /// # Errors
    /// Returns why there is none.
    pub async fn issue_key(&self, agent: SocketAddr, service: &str) -> Result<String, String> {
        let channel = self
            .channel(agent)
            .await
            .map_err(|failure| format!("{failure:?}"))?;
        let request = MintRequest {
            service: service.to_owned(),
        };
        match RelayClient::new(channel).mint(request).await {
            Ok(reply) => {
                let reply = reply.into_inner();
                if reply.refusal.is_empty() {
                    Ok(reply.key)
                } else {
                    Err(reply.refusal)
                }
            }
            Err(status) => {
                self.disconnect(agent);
                Err(status.to_string())
            }
        }
    }

    /// Carries a message of the group protocol to an agent.
    ///
    /// # Errors
    /// Returns why there is no reply.
    pub async fn send_group_message(
        &self,
        agent: SocketAddr,
        message: GroupMessage,
    ) -> Result<GroupMessage, String> {
        let channel = self
            .channel(agent)
            .await
            .map_err(|failure| format!("{failure:?}"))?;
        match RelayClient::new(channel).group(message).await {
            Ok(reply) => Ok(reply.into_inner()),
            Err(status) => {
                self.disconnect(agent);
                Err(status.to_string())
            }
        }
    }

    /// Asks an agent what its engine holds.
    ///
    /// # Errors
    /// Returns why there is no reply.
    pub async fn held_models(
        &self,
        agent: SocketAddr,
        upstream: &str,
    ) -> Result<HeldReply, String> {
        let channel = self
            .channel(agent)
            .await
            .map_err(|failure| format!("{failure:?}"))?;
        let request = HeldRequest {
            upstream: upstream.to_owned(),
        };
        match RelayClient::new(channel).held(request).await {
            Ok(reply) => Ok(reply.into_inner()),
            Err(status) => {
                self.disconnect(agent);
                Err(status.to_string())
            }
        }
    }

    /// Drops the connection to an agent that did not answer.
    pub fn disconnect(&self, agent: SocketAddr) {
        self.lock().remove(&agent);
    }

    async fn channel(&self, agent: SocketAddr) -> Result<Channel, RelayError> {
        let slot = Arc::clone(self.lock().entry(agent).or_default());
        let mut slot = slot.lock().await;
        if let Some(channel) = slot.as_ref() {
            return Ok(channel.clone());
        }
        let channel = connect(agent).await?;
        *slot = Some(channel.clone());
        Ok(channel)
    }

    fn lock(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<tokio::sync::Mutex<Option<Channel>>>>>
    {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(agent: SocketAddr) -> Result<Channel, RelayError> {
    Endpoint::from_shared(format!("http://{agent}"))
        .map_err(|error| RelayError::NotSent(error.to_string()))?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
        .keep_alive_timeout(KEEPALIVE_TIMEOUT)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .connect()
        .await
        .map_err(|error| RelayError::NotSent(format!("{error:?}")))
}

async fn send(sender: &mpsc::Sender<Up>, body: &Bytes) -> bool {
    let mut start = 0;
    while start < body.len() {
        let end = body.len().min(start + CHUNK_BYTES);
        let chunk = Up {
            kind: Some(up::Kind::Body(body.slice(start..end))),
        };
        if sender.send(chunk).await.is_err() {
            return false;
        }
        start = end;
    }
    true
}
