//! A gateway process whose settings state little memory, and a crowd of callers that nobody controls.

#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use eyre::{OptionExt as _, Result};
use futures::StreamExt as _;
use sesamerock_gateway::run::{Settings, StoreReader};
use sesamerock_soak::process::Process;
use sesamerock_standin::port::free;
use sesamerock_standin::scripted::{Act, Upstream, answer, chunk, stream};
use sesamerock_standin::topics::{Kind, Route, Store, table};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep, timeout};

/// Memory that the settings state, in MiB, and the bound for what the process takes.
pub const MEMORY_MIB: u64 = 48;
/// Time in which a caller gets the first bytes of its answer, or is closed.
pub const SETTLE: Duration = Duration::from_secs(10);
/// Receive buffer of a caller whose system takes little of an answer by itself.
const SMALL_WINDOW: u32 = 4_096;
/// Callers that connect at the same time.
pub const AT_ONCE: usize = 32;
/// Time in which an ordinary request is to be answered, with its repeats.
const ANSWERED: Duration = Duration::from_secs(30);
const ROUTE_TIMEOUT: Duration = Duration::from_secs(8);

/// Held by the test that runs.
pub static ALONE: Mutex<()> = Mutex::const_new(());

/// A gateway, its store and its upstream.
pub struct System {
    /// The gateway process.
    pub gateway: Process,
    _store: Store,
    upstream: Upstream,
}

impl System {
    /// Starts a gateway process and an upstream that answers with as many bytes as the first word
    /// of the body of a call states. The process may open `descriptors` descriptors.
    pub async fn start(name: &str, descriptors: u32) -> Result<Self> {
        Self::start_with(name, descriptors, None).await
    }

    /// Starts a system whose gateway closes callers that make no progress for `caller_stall`.
    pub async fn start_with(
        name: &str,
        descriptors: u32,
        caller_stall: Option<Duration>,
    ) -> Result<Self> {
        let store = Store::start().await?;
        let kinds = [
            ("safe", Kind::Safe),
            ("once", Kind::Unsafe),
            ("stream", Kind::Stream { resumable: false }),
        ];
        let routes = kinds.map(|(name, kind)| Route {
            name: name.to_owned(),
            host: "calls.example",
            kind,
            timeout: ROUTE_TIMEOUT,
        });
        // Idle connections do not end by themselves during a test.
        let table =
            table(1, &routes).replace("\"idleTimeoutMs\":15000", "\"idleTimeoutMs\":600000");
        let table = table.replace("\"maxBodyBytes\":1000", "\"maxBodyBytes\":4194304");
        store.put("keyed.op", "config", &table);
        let upstream = Upstream::start("u1", |call| {
            let body = call.split_once("\r\n\r\n").map_or("", |(_, body)| body);
            let bytes = body.split_whitespace().next();
            let bytes = bytes.and_then(|it| it.parse().ok()).unwrap_or(0);
            if call.contains("/stream/") {
                Act::Write(events(call, bytes))
            } else {
                Act::Write(answer(call, &"x".repeat(bytes)))
            }
        });
        let upstream = upstream.await?;
        let record = upstream.record("a", "ready");
        let record = record.replace("\"slots\":4", "\"slots\":4000");
        store.put("keyed.servers", "u1", &record);
        let settings = Settings {
            node: "front-1".to_owned(),
            zone: "a".to_owned(),
            front: free()?,
            readiness: free()?,
            directory: free()?,
            exchange: free()?,
            metrics: free()?,
            store: store.address,
            grace: Duration::from_secs(8),
            longest_ttl: Duration::from_secs(5),
            drain: Duration::from_secs(2),
            retry_ratio: 0.2,
            retry_slack: 92.0,
            retry_window: Duration::from_secs(10),
            cold_slack: 5.0,
            memory_mib: Some(MEMORY_MIB as f64),
            caller_stall,
            max_descriptors: None,
            late_streams: true,
            store_reader: StoreReader::default(),
            shares: None,
            lease: Duration::from_secs(1),
            fencing: true,
            max_pause: Duration::from_millis(120),
        };
        let logs = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("crowd-{name}"));
        let program = limited(&logs, descriptors)?;
        let gateway = Process::start(&program, settings, &logs)?;
        let mut system = Self {
            gateway,
            _store: store,
            upstream,
        };
        system.assert_serves().await?;
        Ok(system)
    }

    /// Opens connections that each send a request, and waits until each has the first bytes of its
    /// answer or is closed.
    pub async fn open(&self, callers: usize, request: &str) -> Vec<TcpStream> {
        self.open_with(callers, request, SMALL_WINDOW).await
    }

    /// Opens connections as [`System::open`] does, with receive buffers of `window` bytes.
    pub async fn open_with(&self, callers: usize, request: &str, window: u32) -> Vec<TcpStream> {
        let front = self.gateway.front_address();
        let opened = (0..callers).map(|index| async move {
            let text = request.replace("ID", &format!("crowd-{index}"));
            let stream = connect(front, &text, window).await.ok()?;
            let mut first = [0];
            // A caller whose answer does not come stays in the crowd.
            let _ = timeout(SETTLE, stream.peek(&mut first)).await;
            Some(stream)
        });
        let opened = futures::stream::iter(opened).buffer_unordered(AT_ONCE);
        opened.filter_map(std::future::ready).collect().await
    }

    /// Checks that the process lives within its memory and descriptors, and that it then answers.
    pub async fn assert_lives(&mut self, descriptors: usize) -> Result<()> {
        let peak = self.gateway.peak_memory()? >> 10;
        let open = self.gateway.descriptors()?;
        println!("at most {peak} KiB, {open} descriptors");
        assert!(peak <= MEMORY_MIB << 10, "{peak} KiB");
        assert!(open <= descriptors, "{open} descriptors");
        self.assert_serves().await
    }

    /// Returns the bytes that the system has received of answers and the process has not read.
    pub fn received(&self) -> Result<usize> {
        let upstream = format!(":{:04X}", self.upstream.address.port());
        let sockets = std::fs::read_to_string("/proc/net/tcp")?;
        let mut sum = 0;
        for line in sockets.lines().skip(1) {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let queues = fields.get(4).and_then(|it| it.split_once(':'));
            if let Some((_, received)) = queues
                && fields
                    .get(2)
                    .is_some_and(|remote| remote.ends_with(&upstream))
            {
                sum += usize::from_str_radix(received, 16)?;
            }
        }
        Ok(sum)
    }

    /// Checks that the process lives and an ordinary request is answered.
    pub async fn assert_serves(&mut self) -> Result<()> {
        let front = self.gateway.front_address();
        let deadline = Instant::now() + ANSWERED;
        loop {
            assert!(self.gateway.is_running()?, "the process has ended");
            let last = timeout(ROUTE_TIMEOUT, ordinary(front)).await;
            if matches!(last, Ok(Ok(200))) {
                return Ok(());
            }
            assert!(Instant::now() < deadline, "not answered: {last:?}");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Returns a stream of this many bytes in events of 1,000 bytes.
fn events(call: &str, bytes: usize) -> String {
    let mut text = stream(call, "s");
    for id in 1..=bytes / 1_000 {
        let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(980));
        text.push_str(&chunk(&event));
    }
    text.push_str("0\r\n\r\n");
    text
}

/// Writes a program that starts the gateway with a limit of its descriptors.
fn limited(logs: &Path, descriptors: u32) -> Result<PathBuf> {
    use std::os::unix::fs::PermissionsExt as _;
    std::fs::create_dir_all(logs)?;
    let program = logs.join("gateway.sh");
    let gateway = env!("CARGO_BIN_EXE_sesamerock");
    let text = format!("#!/bin/sh\nulimit -n {descriptors}\nexec {gateway} \"$@\"\n");
    std::fs::write(&program, text)?;
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755))?;
    Ok(program)
}

/// Returns a request whose answer has this many bytes. `ID` is to be replaced.
pub fn request(path: &str, bytes: usize) -> String {
    let body = bytes.to_string();
    format!(
        "POST {path} HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: ID\r\n\
         Authorization: Token key-1\r\nDeadline-Ms: 8000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Connects with a receive buffer of `window` bytes and sends a request.
async fn connect(front: SocketAddr, text: &str, window: u32) -> Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(window)?;
    let mut stream = socket.connect(front).await?;
    stream.write_all(text.as_bytes()).await?;
    Ok(stream)
}

/// Sends an ordinary request and returns the status of its whole answer.
async fn ordinary(front: SocketAddr) -> Result<u16> {
    let mut stream = TcpStream::connect(front).await?;
    let text = request("/safe/x", 1_000).replace("ID", "ordinary");
    let text = text.replacen("\r\n", "\r\nConnection: close\r\n", 1);
    stream.write_all(text.as_bytes()).await?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await?;
    let status = bytes.get(9..12).ok_or_eyre("no answer")?;
    Ok(std::str::from_utf8(status)?.parse()?)
}

/// Reads one byte of each connection every `pause`.
pub async fn read_slowly(crowd: &mut [TcpStream], rounds: usize, pause: Duration) {
    for _ in 0..rounds {
        read_some(crowd, 1);
        sleep(pause).await;
    }
}

/// Reads at most this many bytes of each connection that has any.
pub fn read_some(crowd: &mut [TcpStream], bytes: usize) {
    let mut buffer = vec![0; bytes];
    for stream in &*crowd {
        // Ready or closed; neither matters.
        let _ = stream.try_read(&mut buffer);
    }
}
