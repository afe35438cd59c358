//! Client of the agents' relay service (gRPC).
//!
//! One HTTP/2 connection per agent carries all calls. Each call is a stream
//! with its own flow control; dropping it cancels the call.

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

/// Time within which a connection to an agent must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a response to a ping after which a connection is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two HTTP/2 keep-alive pings.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Flow-control window of a stream, in bytes. It bounds how much of an answer
/// is buffered in the entry for a slow caller.
const STREAM_WINDOW: u32 = 256 << 10;
/// Flow-control window of a connection, in bytes.
const CONNECTION_WINDOW: u32 = 16 << 20;
/// Time to wait for the end of a stream after its last frame.
const END_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of the body part of a message, in bytes; tonic refuses messages
/// over 4 MiB.
const CHUNK_BYTES: usize = 1 << 20;

/// Failure of a call before the agent answered, by whether the call may have
/// been executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayError {
    /// The agent did not receive enough to execute the call.
    NotSent(String),
    /// The agent may have executed the call.
    Unknown(String),
}

/// An open call, from which the agent's frames are read.
#[derive(Debug)]
pub struct Call {
    frames: Option<Streaming<Down>>,
    // Keeps the request stream open until the body is sent: the agent takes the
    // end of the request stream for the end of the body, not for a
    // cancellation.
    body_sender: Option<mpsc::Sender<Up>>,
}

impl Call {
    /// Waits for the next frame; `None` means that the stream ended without an
    /// error.
    ///
    /// # Errors
    /// Returns the text of the transport error.
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

    /// Reads the end of the stream that follows the last frame. Dropping the
    /// stream earlier would reset it, and the agent would have to handle a
    /// cancellation.
    fn read_end(&mut self) {
        if let Some(mut frames) = self.frames.take() {
            // The end usually arrives together with the last frame, so few
            // calls need a task and a timer here.
            if frames.message().now_or_never().is_some() {
                return;
            }
            tokio::spawn(async move { tokio::time::timeout(END_TIMEOUT, frames.message()).await });
        }
    }

    /// Sends the deferred body and closes the request stream. Returns `false`
    /// if the body was sent before or the agent has closed the stream.
    pub async fn send_body(&mut self, body: &Bytes) -> bool {
        let Some(sender) = self.body_sender.take() else {
            return false;
        };
        send(&sender, body).await
    }
}

/// Connections to agents, one per agent, opened at the first use.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    channels: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<Option<Channel>>>>>,
}

impl ConnectionPool {
    /// Opens a call. The body is sent at once unless the head sets
    /// `await_ready`, in which case [`Call::send_body`] sends it.
    ///
    /// # Errors
    /// Returns a [`RelayError`] that says whether the call may have been
    /// executed.
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
                body_sender: sender,
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

    /// Requests an idempotency key that only the issuing agent executes.
    ///
    /// # Errors
    /// Returns the agent's reason for refusing, or the text of the transport
    /// error.
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

    /// Sends a message of the group protocol to an agent and returns its reply.
    ///
    /// # Errors
    /// Returns the text of the connection or transport error.
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

    /// Queries an agent for the models that its engine holds, loads or unloads.
    ///
    /// # Errors
    /// Returns the text of the connection or transport error.
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

    /// Drops the connection to an agent that did not answer; the next call
    /// opens a new one.
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
