//! Servers of the order assistant.

use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record;
use crate::store::Store;

/// Events of a stream.
const EVENTS: u64 = 24;
/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(60);

/// Bytes of a token of a prompt.
const BYTES_PER_TOKEN: f64 = 4.0;
/// Prompt tokens that a server reads in a second, as on the sheet of the deployment.
const TOKENS_PER_SECOND: f64 = 61_400.0;

/// A request that a server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub server: String,
    pub zone: String,
    pub id: String,
}

/// What all servers ran.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A sound server, which writes its entry to the store again and again.
#[derive(Clone, Debug)]
pub struct Server {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
}

impl Server {
    /// Starts a server on the address of a machine.
    pub fn start(number: u8, zone: &str, slots: u32, store: &Store, runs: &Runs) -> Self {
        let listener = TcpListener::bind((crate::machine_ip(100 + number), 0));
        let listener = listener.expect("no server");
        let server = Self {
            id: format!("i-{:08x}", crate::seed() as u32 ^ u32::from(number) << 24),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("no address"),
        };
        let (own, runs) = (server.clone(), Arc::clone(runs));
        http::serve(listener, move |request, stream| {
            let id = request.header("request-id").unwrap_or_default().to_owned();
            if request.path() == "/health" {
                let headers = [("Instance-Id", own.id.as_str())];
                return http::reply(stream, "200 OK", &headers, b"");
            }
            let expected = request.header("expect-instance");
            if expected.is_some_and(|it| it != own.id) {
                let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
                return http::reply(stream, "421 Misdirected Request", &headers, b"");
            }
            record::line(&format!("run id={id} server={} zone={}", own.id, own.zone));
            runs.lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(Run {
                    at: Instant::now(),
                    server: own.id.clone(),
                    zone: own.zone.clone(),
                    id: id.clone(),
                });
            std::thread::sleep(prefill(&request));
            let signature = format!("3e1b.07.{id}");
            if request.path().starts_with("/quote/") {
                return stream_events(&request, &id, &signature, stream);
            }
            std::thread::sleep(Duration::from_millis(15));
            let headers = [
                ("Request-Id", id.as_str()),
                ("Response-Signature", signature.as_str()),
                ("Keep-Alive", "timeout=4"),
            ];
            http::reply(stream, "200 OK", &headers, &[b'x'; 800])
        });
        let (own, store) = (server.clone(), store.clone());
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(0, |it| it.as_millis());
        std::thread::spawn(move || {
            for seq in 0_u64.. {
                let entry = format!(
                    r#"{{"service":"chalk-assist","address":"{}","zone":"{}","version":"v1","slots":{slots},"state":"ready","coldRemainingMs":0,"seq":{seq},"born":{born}}}"#,
                    own.address, own.zone
                );
                // While the store is away, the write fails and is made again with the next one.
                store.put("keyed.servers", &own.id, entry.as_bytes());
                std::thread::sleep(Duration::from_millis(1_200));
            }
        });
        server
    }
}

/// Returns how long a server reads the prompt of a request.
fn prefill(request: &Message) -> Duration {
    let tokens = request.body.len() as f64 / BYTES_PER_TOKEN;
    Duration::from_secs_f64(tokens / TOKENS_PER_SECOND)
}

/// Answers with the events of a stream after the one that the consumer has.
fn stream_events(
    request: &Message,
    id: &str,
    signature: &str,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let last = request.header("last-event-id");
    let last: u64 = last.and_then(|it| it.parse().ok()).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
         Response-Signature: {signature}\r\nKeep-Alive: timeout=4\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in last + 1..=EVENTS {
        std::thread::sleep(EVENT_GAP);
        let event = format!("id: {number}\ndata: {id}\n\n");
        let piece = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(piece.as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}
