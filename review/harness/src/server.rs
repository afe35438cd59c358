//! Stand-in of an application's server, with slots, a queue and answers that may be streams.

use std::io::{self, BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head};
use crate::record::Record;

/// Requests that wait for a slot; more are turned away.
const QUEUE: usize = 24;

/// How a server handles a request.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// Works for a time, then answers with a length.
    Work(Duration),
    /// Answers with so many events, one each pause.
    Stream(u32, Duration),
}

type Handler = dyn Fn(&Head) -> Act + Send + Sync;

struct Shared {
    id: String,
    slots: usize,
    /// Running and waiting requests.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    handler: Box<Handler>,
    record: Arc<Record>,
    arrivals: Mutex<Vec<(Instant, String)>>,
    runs: AtomicU64,
    /// Requests in a second at which the server crashes; 0 if it bears any rate.
    bears: AtomicUsize,
    /// Arrivals before that was set, which do not count.
    bears_from: AtomicUsize,
    has_crashed: AtomicBool,
    /// Requests that ran at the crash.
    cut: AtomicU64,
}

/// A server, which runs until the process ends.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Server {
    pub fn start(
        ip: IpAddr,
        id: &str,
        slots: usize,
        record: &Arc<Record>,
        handler: impl Fn(&Head) -> Act + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("bind a server");
        let address = listener.local_addr().expect("address");
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            slots,
            load: Mutex::default(),
            freed: Condvar::new(),
            handler: Box::new(handler),
            record: Arc::clone(record),
            arrivals: Mutex::default(),
            runs: AtomicU64::new(0),
            bears: AtomicUsize::new(0),
            bears_from: AtomicUsize::new(0),
            has_crashed: AtomicBool::new(false),
            cut: AtomicU64::new(0),
        });
        let serving = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_crashed.load(Ordering::Relaxed) {
                    continue;
                }
                let shared = Arc::clone(&serving);
                thread::spawn(move || {
                    let _ = shared.serve(stream);
                });
            }
        });
        Self { address, shared }
    }

    /// Returns the entry of the server in the store.
    pub fn entry(&self, service: &str, zone: &str, cold: Duration) -> String {
        let Shared { slots, .. } = &*self.shared;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":{},\"seq\":0}}",
            self.address,
            cold.as_millis()
        )
    }

    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Returns when requests have arrived that were meant for this server, and their ids.
    pub fn arrivals(&self) -> Vec<(Instant, String)> {
        self.shared.arrivals.lock().unwrap().clone()
    }

    /// Sets the requests in a second at which the server crashes; 0 for none.
    pub fn set_bears(&self, bears: usize) {
        let arrived = self.shared.arrivals.lock().unwrap().len();
        self.shared.bears_from.store(arrived, Ordering::Relaxed);
        self.shared.bears.store(bears, Ordering::Relaxed);
    }

    /// Returns how many requests ran when the server crashed; `None` if it has not.
    pub fn cut(&self) -> Option<u64> {
        let has_crashed = self.shared.has_crashed.load(Ordering::Relaxed);
        has_crashed.then(|| self.shared.cut.load(Ordering::Relaxed))
    }

    /// Returns the requests that wait or run.
    pub fn load(&self) -> (usize, usize) {
        *self.shared.load.lock().unwrap()
    }

    pub fn runs(&self) -> u64 {
        self.shared.runs.load(Ordering::Relaxed)
    }
}

/// Frees a slot when it is dropped.
struct Slot<'a>(&'a Shared);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.load.lock().unwrap().0 -= 1;
        self.0.freed.notify_all();
    }
}

impl Shared {
    /// Waits for a slot. Returns `None` if too many wait.
    fn acquire(&self) -> Option<Slot<'_>> {
        let mut load = self.load.lock().unwrap();
        if load.0 >= self.slots {
            if load.1 >= QUEUE {
                return None;
            }
            load.1 += 1;
            load = self
                .freed
                .wait_while(load, |load| load.0 >= self.slots)
                .unwrap();
            load.1 -= 1;
        }
        load.0 += 1;
        Some(Slot(self))
    }

    /// Counts a request, and crashes if there are too many in a second.
    fn count_arrival(&self, id: &str) {
        let now = Instant::now();
        let mut arrivals = self.arrivals.lock().unwrap();
        arrivals.push((now, id.to_owned()));
        let from = self.bears_from.load(Ordering::Relaxed);
        let latest = arrivals[from..].iter().rev();
        let recent = latest
            .take_while(|(at, _)| now - *at < Duration::from_secs(1))
            .count();
        let bears = self.bears.load(Ordering::Relaxed);
        if bears > 0 && recent > bears && !self.has_crashed.swap(true, Ordering::Relaxed) {
            let running = self.load.lock().unwrap().0;
            self.cut.store(running as u64, Ordering::Relaxed);
            self.record.say(format_args!(
                "server {} crashes at {recent} requests in a second; {running} run",
                self.id
            ));
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let id = head.field("request-id").unwrap_or("-").to_owned();
            let named = head.field("expect-instance");
            if named.is_some_and(|named| named != self.id) {
                http::read_body(&mut reader, &head, false)?;
                let text = format!(
                    "HTTP/1.1 421 x\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                writer.write_all(text.as_bytes())?;
                continue;
            }
            self.count_arrival(&id);
            if self.has_crashed.load(Ordering::Relaxed) {
                return Ok(());
            }
            let act = (self.handler)(&head);
            http::read_body(&mut reader, &head, false)?;
            let Some(slot) = self.acquire() else {
                let text = format!(
                    "HTTP/1.1 503 x\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                writer.write_all(text.as_bytes())?;
                continue;
            };
            if is_closed(reader.get_ref()) {
                // The caller has left while the request waited.
                return Ok(());
            }
            self.runs.fetch_add(1, Ordering::Relaxed);
            self.record
                .line(format_args!("server {} runs id={id}", self.id));
            let done = self.run(act, &id, reader.get_ref(), &mut writer);
            drop(slot);
            let end = if done.is_ok() { "answered" } else { "dropped" };
            self.record
                .line(format_args!("server {} {end} id={id}", self.id));
            done?;
        }
        Ok(())
    }

    fn run(
        &self,
        act: Act,
        id: &str,
        caller: &TcpStream,
        writer: &mut TcpStream,
    ) -> io::Result<()> {
        let begin = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.{id}\r\n\
             Keep-Alive: timeout=10\r\n"
        );
        match act {
            Act::Work(time) => {
                self.work(time, caller)?;
                let text = format!("{begin}Content-Length: 5\r\n\r\ndone\n");
                writer.write_all(text.as_bytes())
            }
            Act::Stream(events, pause) => {
                let text = format!(
                    "{begin}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                writer.write_all(text.as_bytes())?;
                for number in 1..=events {
                    self.work(pause, caller)?;
                    let event = format!("id: {number}\ndata: some words of the answer\n\n");
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    writer.write_all(chunk.as_bytes())?;
                }
                writer.write_all(b"0\r\n\r\n")
            }
        }
    }

    /// Works for a time, unless the caller leaves or the server crashes.
    fn work(&self, time: Duration, caller: &TcpStream) -> io::Result<()> {
        let end = Instant::now() + time;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if self.has_crashed.load(Ordering::Relaxed) {
                return Err(io::ErrorKind::Interrupted.into());
            }
            if left.is_zero() {
                return Ok(());
            }
            if is_closed(caller) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            thread::sleep(left.min(Duration::from_millis(20)));
        }
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(read) => read == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
