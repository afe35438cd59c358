//! Stand-in for a server of a service: one thread for each channel.

use std::io::{self, BufReader, Read as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::system::Record;

/// Time for which a server keeps an idle channel, as its answers state.
const KEEP_ALIVE: &str = "timeout=8";

/// How a server treats long requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Early {
    /// Length of a body from which on a request is long.
    pub from: usize,
    /// Time from the answer to a long request until its body is read; without it, long requests
    /// are read before they are answered.
    pub pause: Option<Duration>,
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    pub address: SocketAddr,
    /// When requests that were meant for this server arrived, with their ids.
    pub arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
}

#[derive(Clone, Debug)]
struct Shared {
    id: String,
    early: Early,
    work: Duration,
    arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
    record: Record,
}

impl Server {
    pub fn start(id: &str, work: Duration, early: Early, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let arrivals = Arc::default();
        let shared = Shared {
            id: id.to_owned(),
            early,
            work,
            arrivals: Arc::clone(&arrivals),
            record: record.clone(),
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        Ok(Self { address, arrivals })
    }
}

impl Shared {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(mut request) = http::read_head(&mut reader)? {
            let arrived = Instant::now();
            let length = request
                .header("content-length")
                .and_then(|it| it.parse().ok());
            let length: usize = length.unwrap_or_default();
            let is_long = length >= self.early.from && self.early.from > 0;
            if let (true, Some(pause)) = (is_long, self.early.pause) {
                self.answer(&request, &mut writer, arrived, "413 Payload Too Large")?;
                thread::sleep(pause);
                let mut rest = (&mut reader).take(length as u64);
                let read = io::copy(&mut rest, &mut io::sink())?;
                let id = request.header("request-id").unwrap_or("-");
                self.record.line(&format!(
                    "{} has read the body of {id} on: {read} of {length} bytes",
                    self.id
                ));
                if read < length as u64 {
                    return Ok(());
                }
                continue;
            }
            http::read_body(&mut reader, &mut request, false)?;
            let status = if is_long {
                "413 Payload Too Large"
            } else {
                "200 OK"
            };
            self.answer(&request, &mut writer, arrived, status)?;
        }
        Ok(())
    }

    fn answer(
        &self,
        request: &Message,
        writer: &mut TcpStream,
        arrived: Instant,
        status: &str,
    ) -> io::Result<()> {
        let id = request.header("request-id").unwrap_or("-").to_owned();
        let expected = request.header("expect-instance").unwrap_or("-");
        let deadline = request.header("deadline-ms").unwrap_or("-");
        if expected != self.id {
            return http::respond(
                writer,
                "421 Misdirected Request",
                &[("Request-Id", &id), ("Instance-Id", &self.id)],
                b"",
            );
        }
        let arrivals = &self.arrivals;
        let mut arrivals = arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.push((arrived, id.clone()));
        drop(arrivals);
        let left = Duration::from_millis(deadline.parse().unwrap_or(60_000));
        if left.is_zero() {
            self.record
                .line(&format!("{} gets {id} with no time left", self.id));
            return http::respond(
                writer,
                "503 Service Unavailable",
                &[("Request-Id", &id), ("Not-Executed", "1")],
                b"",
            );
        }
        self.record
            .line(&format!("{} runs {id}, {deadline} ms left", self.id));
        thread::sleep(self.work);
        let signature = format!("{}.{id}", self.id);
        let body = format!(
            "{} for {id} after {} ms",
            self.id,
            arrived.elapsed().as_millis()
        );
        http::respond(
            writer,
            status,
            &[
                ("Request-Id", &id),
                ("Response-Signature", &signature),
                ("Keep-Alive", KEEP_ALIVE),
            ],
            body.as_bytes(),
        )
    }
}
