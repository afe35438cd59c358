//! Real gateways whose upstreams answer, or whose callers send, bytes without end.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use eyre::Result;
use futures::future::{join_all, try_join_all};
use sesamerock_gateway::run::{Settings, StoreReader};
use sesamerock_soak::process::Process;
use sesamerock_standin::port::free;
use sesamerock_standin::scripted::{Act, Upstream, answer, field};
use sesamerock_standin::topics::{Kind, Route, Store, table};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Memory of the smallest VM for gateways, in MiB.
const MEMORY_MIB: u64 = 373;
/// Calls at once whose answers never end.
const CALLS: usize = 60;
const ROUTE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time in which a sound call is to be answered meanwhile.
const SOUND_TIMEOUT: Duration = Duration::from_secs(2);

struct System {
    gateway: Process,
    _store: Store,
    _upstreams: Vec<Upstream>,
}

impl System {
    /// Starts two upstreams that answer each call with `endless` in its body by this head, of which
    /// `ID` is replaced, and then by this piece without end.
    async fn start(name: &str, head: &'static str, piece: &'static str) -> Result<Self> {
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
        let table = table(1, &routes).replace("\"maxBodyBytes\":1000", "\"maxBodyBytes\":4194304");
        store.put("keyed.op", "config", &table);
        let mut upstreams = Vec::new();
        for id in ["u1", "u2"] {
            let upstream = Upstream::start(id, move |call| {
                if call.contains("endless") {
                    let id = field(call, "request-id").unwrap_or_default();
                    Act::Repeat(head.replace("ID", &id), piece)
                } else {
                    Act::Write(answer(call, "fine"))
                }
            });
            let upstream = upstream.await?;
            let record = upstream.record("a", "ready");
            let record = record.replace("\"slots\":4", "\"slots\":64");
            store.put("keyed.servers", id, &record);
            upstreams.push(upstream);
        }
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
            late_streams: true,
            caller_stall: None,
            max_descriptors: None,
            lease: Duration::from_secs(1),
            fencing: true,
            store_reader: StoreReader::default(),
            max_pause: Duration::from_millis(120),
            shares: None,
        };
        let program = Path::new(env!("CARGO_BIN_EXE_sesamerock"));
        let logs = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("endless-{name}"));
        let gateway = Process::start(program, settings, &logs)?;
        let system = Self {
            gateway,
            _store: store,
            _upstreams: upstreams,
        };
        let mut tries = 0;
        while send(system.gateway.front_address(), "/safe/x", "first", "")
            .await
            .is_err()
        {
            tries += 1;
            eyre::ensure!(tries < 100, "the gateway does not answer");
            sleep(Duration::from_millis(50)).await;
        }
        Ok(system)
    }

    /// Sends endless calls on this path and sound ones beside them. Checks that the sound ones are
    /// answered, and how much memory the gateway takes.
    async fn assert_is_bounded(&mut self, path: &str) -> Result<()> {
        let front = self.gateway.front_address();
        let endless = (0..CALLS).map(|index| async move {
            // Their end is of no interest, only what they cost the others.
            let _ = send(front, path, &format!("endless-{index}"), "endless").await;
        });
        let sound = (0..20).map(|index| async move {
            sleep(Duration::from_millis(100 * index)).await;
            let id = format!("sound-{index}");
            let status = timeout(SOUND_TIMEOUT, send(front, "/safe/x", &id, "")).await;
            eyre::Ok(status??)
        });
        let (_, sound) = tokio::join!(join_all(endless), try_join_all(sound));
        let peak = self.gateway.peak_memory()? >> 20;
        println!("{path}: at most {peak} MiB, sound calls: {sound:?}");
        assert!(peak <= MEMORY_MIB, "{path}: {peak} MiB");
        assert!(sound?.iter().all(|status| *status == 200), "{path}");
        Ok(())
    }
}

/// Sends a request and reads the answer to its end. Returns the status.
async fn send(front: SocketAddr, path: &str, id: &str, body: &str) -> Result<u16> {
    let mut stream = TcpStream::connect(front).await?;
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: {id}\r\nAuthorization: Token key-1\r\nDeadline-Ms: 4000\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await?;
    let mut head = [0; 12];
    stream.read_exact(&mut head).await?;
    let mut rest = vec![0; 64 << 10];
    while stream.read(&mut rest).await? > 0 {}
    Ok(std::str::from_utf8(&head[9..])?.parse()?)
}

/// Regression: answers without end filled the memory of the gateway, up to 16 MiB each.
#[tokio::test]
async fn regression_endless_answers_leave_memory_for_other_calls() -> Result<()> {
    let length = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\
                  Content-Length: 100000000000\r\n\r\n";
    let none = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\r\n";
    for (name, head) in [("length", length), ("none", none)] {
        let mut system = System::start(name, head, "0123456789abcdef").await?;
        system.assert_is_bounded("/safe/x").await?;
        system.assert_is_bounded("/once/x").await?;
    }
    Ok(())
}

/// Events, headers and answers in chunks that never end are bounded too.
#[tokio::test]
async fn endless_events_and_headers_leave_memory_for_other_calls() -> Result<()> {
    let events = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\
                  Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ";
    let mut system = System::start("events", events, "0123456789abcdef").await?;
    system.assert_is_bounded("/stream/x").await?;
    let header = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n";
    let mut system = System::start("header", header, "x-more: 0123456789\r\n").await?;
    system.assert_is_bounded("/safe/x").await
}

/// Regression: request bodies were bounded each, and not all together.
#[tokio::test]
async fn regression_large_requests_leave_memory_for_other_calls() -> Result<()> {
    let mut system = System::start("requests", "", "x").await?;
    let front = system.gateway.front_address();
    // Callers that stop before the last byte of a body of 4 MiB.
    let callers = (0..200).map(|index| async move {
        let mut stream = TcpStream::connect(front).await?;
        let head = format!(
            "POST /safe/x HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: large-{index}\r\nAuthorization: Token key-1\r\n\
             Deadline-Ms: 4000\r\nContent-Length: {}\r\n\r\n",
            4 << 20
        );
        stream.write_all(head.as_bytes()).await?;
        // Fails if the gateway refuses the request before its end.
        let _ = stream.write_all(&vec![b'x'; (4 << 20) - 1]).await;
        eyre::Ok(stream)
    });
    let _open = try_join_all(callers).await?;
    system.assert_is_bounded("/safe/x").await
}
