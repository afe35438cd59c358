//! Connections to upstreams.
//!
//! A connection serves one call at a time. It is kept only after a whole answer,
//! and ended at once when a call is given up, so that the upstream stops working
//! on it.

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
use crate::socket::Socket;
use crate::upstream::Record;

/// Time within which unacknowledged bytes show that a peer is gone.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time before a connection is probed, and the interval of probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes that end a connection.
const MAX_FAILED_PROBES: u32 = 2;
/// Time before the end that an upstream states, in which no call is sent.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(300);
/// How long a connection is kept where the upstream states no time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(400);
/// Connections kept idle for each upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 64;

/// Sets what all connections of this product have in common.
///
/// # Errors
/// Fails if the system refuses an option.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes.with_retries(MAX_FAILED_PROBES))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Opens a tuned connection.
///
/// # Errors
/// Fails if the peer cannot be reached in time.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(timeout, connecting)
        .await
        .map_err(|elapsed| io::Error::new(io::ErrorKind::TimedOut, elapsed))??;
    tune(&stream)?;
    Ok(stream)
}

/// A task that ends with its owner.
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
    /// Sends calls.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it has served a call before.
    pub used: bool,
    socket: Socket,
    /// Whether a call is on its way, which must not arrive after this is dropped.
    in_flight: bool,
    _task: AbortOnDrop,
}

impl Connection {
    /// Says that a call is being sent.
    pub fn start_call(&mut self) {
        self.in_flight = true;
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
    /// Takes the idle connection that was used last.
    pub fn take(&self, record: &Record) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&record.id)?;
        connections.retain(|idle| {
            let connection = &idle.connection;
            idle.expires > now && !connection.sender.is_closed() && connection.socket.is_idle()
        });
        connections.pop().map(|idle| idle.connection)
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// Fails if the upstream cannot be reached in time; nothing was sent then.
    pub async fn open(&self, record: &Record, timeout: Duration) -> io::Result<Connection> {
        let socket = Socket::new(connect(record.address, timeout).await?);
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(socket.clone()))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
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

    /// Keeps a connection after a whole answer.
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

    /// Closes the connections to upstreams that are not known any more.
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

/// How long an upstream keeps a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// It closes it now.
    Close,
    /// It keeps it for this time.
    For(Duration),
    /// It does not say.
    Unstated,
}

impl KeepAlive {
    /// Reads the headers of an answer.
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
