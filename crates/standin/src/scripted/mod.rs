//! Upstreams whose responses a test scripts byte by byte.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::task::Task;

/// Scripted reaction of an upstream to a call.
#[derive(Clone, Debug)]
pub enum Act {
    /// Writes these bytes and keeps the connection.
    Write(String),
    /// Writes these bytes and closes the connection.
    Close(String),
    /// Writes these bytes and resets the connection.
    Reset(String),
    /// Waits for the duration, writes these bytes and keeps the connection.
    Work(Duration, String),
    /// Writes a header and then pieces, each after a pause, and keeps the connection.
    Stream(String, Vec<String>, Duration),
    /// Writes a header and then a piece again and again until the client closes the connection.
    Repeat(String, &'static str),
    /// Sends nothing until the client closes the connection.
    Hang,
    /// Writes these bytes and ends: all connections close, and the address behaves as stated.
    Crash(String, Address),
}

/// What the address of an upstream does after its crash, until the [`Upstream`] is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Address {
    /// Refuses connections.
    Refuses,
    /// Neither accepts connections nor refuses them, as that of a machine without power.
    Silent,
    /// Accepts connections and closes them, as a proxy does whose backend is gone.
    Accepts,
}

/// Connections that wait for an upstream to accept them.
const BACKLOG: u32 = 32;
/// Tries to listen at an address that is still in use.
const MAX_TRIES: u32 = 100;
/// Time after which a connection to a full backlog is taken as unanswered.
const UNANSWERED: Duration = Duration::from_millis(20);

/// A running scripted upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Identity, as passed to [`Upstream::start`].
    pub id: String,
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<String>>>,
    abandoned_calls: Arc<Mutex<u32>>,
    connections: Arc<AtomicUsize>,
    _task: Task,
}

impl Upstream {
    /// Starts an upstream; `act` receives the text of each call
    /// (header and body) and returns the reaction.
    ///
    /// # Errors
    /// Returns the error of the listener.
    pub async fn start(
        id: &str,
        act: impl Fn(&str) -> Act + Clone + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), id, act).await
    }

    /// Starts an upstream as [`Upstream::start`] does, at an address that another one has left. The
    /// listener of that one may take a moment to close.
    ///
    /// # Errors
    /// Returns the error of the listener.
    pub async fn start_at(
        address: SocketAddr,
        id: &str,
        act: impl Fn(&str) -> Act + Clone + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let mut tries = 1;
        let listener = loop {
            match listen(address) {
                Err(error) if error.kind() == ErrorKind::AddrInUse && tries < MAX_TRIES => {
                    tries += 1;
                    sleep(Duration::from_millis(5)).await;
                }
                result => break result?,
            }
        };
        let address = listener.local_addr()?;
        let calls = Arc::new(Mutex::new(Vec::new()));
        let abandoned_calls = Arc::new(Mutex::new(0));
        let (seen, abandoned) = (Arc::clone(&calls), Arc::clone(&abandoned_calls));
        let connections = Arc::new(AtomicUsize::new(0));
        let accepted = Arc::clone(&connections);
        let task = tokio::spawn(async move {
            let (crash, mut crashed) = mpsc::channel(1);
            let connections = CancellationToken::new();
            let aftermath = loop {
                let stream = tokio::select! {
                    aftermath = crashed.recv() => break aftermath,
                    accepted = listener.accept() => accepted,
                };
                let Ok((stream, _)) = stream else {
                    return;
                };
                accepted.fetch_add(1, Ordering::Relaxed);
                let (seen, abandoned) = (Arc::clone(&seen), Arc::clone(&abandoned));
                let serving = serve(stream, act.clone(), seen, abandoned, crash.clone());
                let closed = connections.clone().cancelled_owned();
                tokio::spawn(async move {
                    tokio::select! {
                        () = closed => {}
                        () = serving => {}
                    }
                });
            };
            if let Some(aftermath) = aftermath {
                end(listener, connections, aftermath).await;
            }
        });
        Ok(Self {
            id: id.to_owned(),
            address,
            calls,
            abandoned_calls,
            connections,
            _task: Task(task),
        })
    }

    /// Returns the text of all calls received, oldest first.
    pub fn calls(&self) -> Vec<String> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.clone()
    }

    /// Returns how many connections were accepted.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns how many hanging calls the client abandoned.
    pub fn abandoned_calls(&self) -> u32 {
        *self
            .abandoned_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the upstream's record in the store, as JSON.
    pub fn record(&self, zone: &str, state: &str) -> String {
        record(self.address, zone, state)
    }
}

/// Returns the store record of an upstream at an address, as JSON.
pub fn record(address: SocketAddr, zone: &str, state: &str) -> String {
    format!(
        r#"{{"service":"s","address":"{address}","zone":"{zone}","version":"v1","slots":4,"state":"{state}","coldRemainingMs":0,"seq":0,"new":[1]}}"#
    )
}

/// Returns a complete 200 response to a call, with its request id and signature.
pub fn answer(call: &str, body: &str) -> String {
    let id = field(call, "request-id").unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.{id}\r\n\
         Keep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a 421 response, which states that the call was meant for another upstream
/// and was not executed.
pub fn misdirected(call: &str) -> String {
    let id = field(call, "request-id").unwrap_or_default();
    format!(
        "HTTP/1.1 421 Misdirected\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// Returns a 503 response, which states that the call was not executed.
pub fn full(call: &str) -> String {
    let id = field(call, "request-id").unwrap_or_default();
    format!("HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

/// Returns an answer with another header, such as `Server-Leaving: 1`.
pub fn with_header(answer: &str, header: &str) -> String {
    answer.replacen("\r\n", &format!("\r\n{header}\r\n"), 1)
}

/// Returns the header of a chunked event-stream response.
pub fn stream(call: &str, signature: &str) -> String {
    let id = field(call, "request-id").unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {signature}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// Encodes a text as one HTTP/1.1 chunk.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns the value of a header of a call; the name is matched without regard to case.
pub fn field(call: &str, name: &str) -> Option<String> {
    let mut lines = call.lines().filter_map(|line| line.split_once(": "));
    let found = lines.find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.to_owned())
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Closes all connections of an upstream that has crashed, and answers for its address.
async fn end(listener: TcpListener, connections: CancellationToken, aftermath: Address) {
    match aftermath {
        Address::Refuses => {
            drop(listener);
            connections.cancel();
        }
        Address::Silent => {
            // A full backlog drops further connections.
            let mut waiting = Vec::new();
            if let Ok(address) = listener.local_addr() {
                while let Ok(Ok(stream)) = timeout(UNANSWERED, TcpStream::connect(address)).await {
                    waiting.push(stream);
                }
            }
            connections.cancel();
            std::future::pending::<()>().await;
        }
        Address::Accepts => {
            connections.cancel();
            while let Ok((stream, _)) = listener.accept().await {
                drop(stream);
            }
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    act: impl Fn(&str) -> Act,
    seen: Arc<Mutex<Vec<String>>>,
    abandoned: Arc<Mutex<u32>>,
    crash: mpsc::Sender<Address>,
) {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let Ok(read) = stream.read(&mut buffer).await else {
            return;
        };
        if read == 0 {
            return;
        }
        bytes.extend_from_slice(&buffer[..read]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = field(head, "content-length").and_then(|value| value.parse().ok());
        if body.len() < length.unwrap_or(0) {
            continue;
        }
        bytes.clear();
        seen.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(text.clone());
        let (text, closes) = match act(&text) {
            Act::Write(text) => (text, false),
            Act::Close(text) => (text, true),
            Act::Reset(text) => {
                // A close without a reset would be another script.
                if stream.set_zero_linger().is_err() {
                    return;
                }
                (text, true)
            }
            Act::Work(time, text) => {
                sleep(time).await;
                (text, false)
            }
            Act::Stream(mut text, pieces, pause) => {
                for piece in pieces {
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                    sleep(pause).await;
                    text = piece;
                }
                (text, false)
            }
            Act::Repeat(head, piece) => {
                let block = piece.repeat((64 << 10) / piece.len().max(1));
                let mut written = stream.write_all(head.as_bytes()).await;
                while written.is_ok() {
                    written = stream.write_all(block.as_bytes()).await;
                }
                return;
            }
            Act::Crash(text, aftermath) => {
                if stream.write_all(text.as_bytes()).await.is_ok() {
                    // Fails if another call has crashed the upstream already.
                    let _ = crash.send(aftermath).await;
                    std::future::pending::<()>().await;
                }
                return;
            }
            Act::Hang => {
                // Ends when the client closes or resets the connection.
                while matches!(stream.read(&mut buffer).await, Ok(read) if read > 0) {}
                *abandoned.lock().unwrap_or_else(PoisonError::into_inner) += 1;
                return;
            }
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        if closes {
            sleep(Duration::from_millis(20)).await;
            return;
        }
    }
}
