//! Connections to upstreams, and a pool of idle ones.
//!
//! A connection serves one call at a time. It returns to the pool only after a complete
//! answer. When a call is abandoned, its connection is closed at once, so that the
//! upstream stops working on the call.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use sesamerock_base::time::Moment;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::clock;
use crate::memory::Share;
use crate::socket::Socket;
use crate::upstream::Record;

/// Time without acknowledgement of sent bytes after which the peer is considered
/// unreachable and the connection is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time before the first keep-alive probe, and interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is closed.
const MAX_FAILED_PROBES: u32 = 2;
/// Time before the HTTP keep-alive timeout of an upstream in which an idle connection is
/// not reused.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(300);
/// Time for which a connection is kept if the upstream states no keep-alive timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(400);
/// Bytes that may be read before the header of an answer is complete, with interim answers
/// and the part of the body that is read along with the header.
const MAX_HEADER_READ_BYTES: usize = 1 << 20;
/// Buffer of a connection for what the upstream sends. A longer header fails the call.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Memory of a connection with its task and the buffers of the HTTP library for requests and answers.
pub const CONNECTION_BYTES: usize = 28 << 10;
/// Most idle connections kept for each upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 64;

/// Sets the options used for all TCP connections: no delay of small segments, keep-alive
/// probes, and a timeout for unacknowledged bytes.
///
/// # Errors
/// Fails if the operating system rejects an option.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes.with_retries(MAX_FAILED_PROBES))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Opens a connection with the options of [`set_socket_options`].
///
/// # Errors
/// Fails if the connection is not established within `timeout`, or is refused.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(timeout, connecting)
        .await
        .map_err(|elapsed| io::Error::new(io::ErrorKind::TimedOut, elapsed))??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// A task that is aborted when this handle is dropped.
#[derive(Debug)]
pub struct AbortOnDrop(pub JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to an upstream. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests over the connection, one at a time.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether the connection has served a call before. The upstream may then have closed
    /// it while it was idle.
    pub used: bool,
    socket: Socket,
    /// Whether a call is in flight. Its bytes must not arrive after this is dropped.
    in_flight: bool,
    _task: AbortOnDrop,
}

impl Connection {
    /// Marks a call as in flight, so that dropping the connection resets it, bounds the bytes
    /// that may precede the body of its answer, and makes bytes that are there before the
    /// request fail it.
    pub fn start_call(&mut self) {
        self.in_flight = true;
        self.socket.start_request();
        self.socket.limit_reads(MAX_HEADER_READ_BYTES);
    }

    /// Returns whether nothing of the call has been written, so that it cannot have run.
    pub fn is_unsent(&self) -> bool {
        self.socket.is_unsent()
    }

    /// Marks that the header of the answer has arrived. The body has limits of its own.
    pub fn start_answer(&self) {
        self.socket.lift_read_limit();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.in_flight {
            self.socket.reset_on_close();
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires: Moment,
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<Arc<str>, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Removes and returns the idle connection to an upstream that was used last. Drops
    /// those that have expired or are not usable any more.
    pub fn take(&self, record: &Record) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&record.id)?;
        drop_unusable(connections);
        connections.pop().map(|idle| idle.connection)
    }

    /// Returns whether there is an idle connection to an upstream that is usable.
    pub fn has_idle(&self, record: &Record) -> bool {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&record.id).is_some_and(|connections| {
            drop_unusable(connections);
            !connections.is_empty()
        })
    }

    /// Opens a connection to an upstream, whose memory counts by `memory` for as long as it is open.
    ///
    /// # Errors
    /// Fails if the upstream cannot be reached within `timeout`; nothing was sent then.
    pub async fn open(
        &self,
        record: &Record,
        timeout: Duration,
        memory: Share,
    ) -> io::Result<Connection> {
        let socket = Socket::new(connect(record.address, timeout).await?);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(socket.clone()))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // Dropped after the connection, also if the task is aborted.
            let _memory = memory;
            let connection = connection;
            if let Err(error) = connection.await {
                log::debug!("event=connection_lost reason=\"{error}\"");
            }
        });
        Ok(Connection {
            sender,
            used: false,
            socket,
            in_flight: false,
            _task: AbortOnDrop(task),
        })
    }

    /// Returns a connection to the pool after a complete answer, unless the upstream
    /// closes it or enough idle ones are kept.
    pub fn put(&self, record: &Record, mut connection: Connection, keep_alive: KeepAlive) {
        let lifetime = match keep_alive {
            KeepAlive::Close => return,
            KeepAlive::For(time) => time.saturating_sub(KEEP_ALIVE_MARGIN),
            KeepAlive::Unstated => DEFAULT_KEEP_ALIVE,
        };
        connection.used = true;
        connection.in_flight = false;
        let expires = clock::now() + lifetime;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(Arc::clone(&record.id)).or_default();
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(IdleConnection {
                connection,
                expires,
            });
        }
    }

    /// Closes the idle connections to upstreams for which `known` returns false.
    pub fn retain(&self, known: impl Fn(&str) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|id, _| known(id));
    }

    /// Closes the idle connections to one upstream.
    pub fn close_idle(&self, id: &str) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(id);
    }
}

fn drop_unusable(connections: &mut Vec<IdleConnection>) {
    let now = clock::now();
    connections.retain(|idle| {
        let connection = &idle.connection;
        idle.expires > now && !connection.sender.is_closed() && connection.socket.is_idle()
    });
}

/// How long an upstream keeps a connection open after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// The upstream closes the connection after the answer.
    Close,
    /// The upstream keeps the connection open for this time.
    For(Duration),
    /// The answer states no timeout.
    Unstated,
}

impl KeepAlive {
    /// Reads the `connection` and `keep-alive` headers of an answer.
    pub fn read(headers: &http::HeaderMap) -> Self {
        let connection = headers.get_all(http::header::CONNECTION).iter();
        let closes = connection
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .any(|option| option.trim().eq_ignore_ascii_case("close"));
        if closes {
            return Self::Close;
        }
        let stated = headers.get("keep-alive").and_then(|it| it.to_str().ok());
        let timeout = stated
            .into_iter()
            .flat_map(|value| value.split(','))
            .find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok());
        timeout.map_or(Self::Unstated, |seconds| {
            Self::For(Duration::from_secs(seconds))
        })
    }
}
