//! Gateways as separate processes, the record of a case, and the system around them.

use std::fs::{self, File};
use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;

/// Returns an address of the loopback interface that nobody listens on.
pub fn free() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    /// Continues a record that several processes write.
    pub fn append(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::options().append(true).open(path)?)),
            start: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // The record is lost with the disk, and the exit code still tells the result.
        let _ = file.write_all(format!("{at:8.3} {text}\n").as_bytes());
    }
}

/// A gateway process, which is killed when this is dropped.
#[derive(Debug)]
pub struct Gateway {
    pub front: SocketAddr,
    readiness: SocketAddr,
    child: Child,
}

impl Gateway {
    /// Starts a gateway in `zone` as the deploy file does, and waits until it is ready.
    pub fn start(folder: &Path, name: &str, zone: &str, store: &Store) -> io::Result<Self> {
        let [front, readiness, directory, exchange, metrics] = [(); 5].map(|()| free());
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            "node: {name}\nzone: {zone}\nfront: {front}\nreadiness: {readiness}\n\
             directory: {directory}\nexchange: {exchange}\nmetrics: {metrics}\nstore: {}\n\
             grace_s: 8\nlongest_ttl_s: 5\ndrain_ms: 2000\nretry_ratio: 0.2\nretry_slack: 92\n\
             retry_window_s: 10\nlate_streams: true\ncold_slack: 5\npass_ms: 120\n\
             lease_ms: 1000\nfencing: true\n",
            store.address
        );
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log)?;
        let gateway = Self {
            front,
            readiness,
            child,
        };
        gateway.wait_until_ready()?;
        Ok(gateway)
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the gateway is not ready"))
    }

    fn is_ready(&self) -> bool {
        let request = b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        http::ask(self.readiness, request, Duration::from_secs(1)).status == 200
    }

    fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let out = File::options().create(true).append(true).open(log)?;
    Command::new("target/release/sesamerock")
        .arg("gateway")
        .env("SESAMEROCK_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(out.try_clone()?)
        .stderr(out)
        .spawn()
}

/// Returns a configuration with these routes and services, as the operator writes it.
pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services = services.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":400,\"protocol\":\"h1\",\
             \"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}}"
        )
    });
    let services: Vec<String> = services.collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"one\",\"apiKeys\":[\"key-of-one\"]}}]}}",
        routes.join(","),
        services.join(",")
    )
}

pub fn route(
    prefix: &str,
    kind: &str,
    timeout: u64,
    objective: u64,
    attempts: u32,
    service: &str,
) -> String {
    format!(
        "{{\"name\":\"r-{service}{}\",\"host\":\"shop.example\",\"pathPrefix\":\"{prefix}\",\
         \"kind\":\"{kind}\",\"timeoutMs\":{timeout},\"targetLatencyMs\":{objective},\"priority\":1,\
         \"service\":\"{service}\",\"maxAttempts\":{attempts},\"public\":false}}",
        prefix.replace('/', "-")
    )
}

/// Returns the record of a server.
pub fn server(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    state: &str,
    born: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\
         \"seq\":1,\"born\":{born}}}"
    )
}
