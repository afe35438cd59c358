//! The gateways under test, started with the commands of the deploy file.

use std::fs::{self, File};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::{free_port, machine_ip};

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// A gateway process and its addresses.
#[derive(Clone, Debug)]
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub pid: u32,
    pub log: PathBuf,
}

fn folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("no temporary folder");
    folder
}

/// Starts a program of the deploy file with its template filled in. Returns its id and its log.
fn start(role: &str, name: &str, template: String, values: &[(&str, String)]) -> (u32, PathBuf) {
    let mut text = template;
    for (placeholder, value) in values {
        text = text.replace(placeholder, value);
    }
    let folder = folder();
    let settings = folder.join(format!("{name}.yaml"));
    fs::write(&settings, text).expect("no settings");
    let log = folder.join(format!("{name}.log"));
    let out = File::create(&log).expect("no log");
    let child = Command::new("target/release/sesamerock")
        .arg(role)
        .env("SESAMEROCK_SETTINGS", &settings)
        .stdin(Stdio::null())
        .stdout(out.try_clone().expect("no log"))
        .stderr(out)
        .spawn()
        .expect("the program does not start");
    let pid = child.id();
    let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
    children.push(child);
    (pid, log)
}

/// Starts the sidecar of a server.
pub fn start_sidecar(number: u8, server: SocketAddr, internal_port: u16) {
    let template = fs::read_to_string("deploy/sidecar.yaml").expect("no template");
    let name = format!("side-{number}");
    let values = [
        ("{{nodeName}}", name.clone()),
        ("{{ip}}", server.ip().to_string()),
        ("{{internalPorts.0}}", internal_port.to_string()),
        ("{{app}}", server.to_string()),
    ];
    start("sidecar", &name, template, &values);
}

impl Gateway {
    /// Starts a gateway whose settings state the memory of its machine, which the operating system
    /// of that machine would state otherwise.
    pub fn start_with_memory(zone: &str, store: SocketAddr, drain_ms: u64, mib: u64) -> Self {
        let port = free_port(machine_ip(0));
        Self::start_at(
            0,
            zone,
            store,
            drain_ms,
            port,
            &format!("memory_mib: {mib}\n"),
        )
    }

    /// Starts a gateway on ports that are free.
    pub fn start(number: u8, zone: &str, store: SocketAddr, drain_ms: u64) -> Self {
        let port = free_port(machine_ip(number));
        Self::start_at(number, zone, store, drain_ms, port, "")
    }

    /// Starts a gateway with the template of the deploy file, filled in as for a small deployment.
    /// Gateways and sidecars use the same port for the messages between them.
    pub fn start_at(
        number: u8,
        zone: &str,
        store: SocketAddr,
        drain_ms: u64,
        internal_port: u16,
        further: &str,
    ) -> Self {
        let ip: IpAddr = machine_ip(number);
        let address = || SocketAddr::new(ip, free_port(ip));
        let (front, readiness, directory) = (address(), address(), address());
        let name = format!("front-{number}");
        let template = fs::read_to_string("deploy/gateway.yaml").expect("no template") + further;
        let values = [
            ("{{nodeName}}", name.clone()),
            ("{{zone}}", zone.to_owned()),
            ("{{listen.front}}", front.to_string()),
            ("{{listen.readiness}}", readiness.to_string()),
            ("{{listen.directory}}", directory.to_string()),
            ("{{ip}}", ip.to_string()),
            ("{{internalPorts.0}}", internal_port.to_string()),
            ("{{platform.address}}", store.to_string()),
            ("{{bounds.graceS}}", "8".to_owned()),
            ("{{bounds.ttl_max_s}}", "5".to_owned()),
            ("{{bounds.drainMs}}", drain_ms.to_string()),
            ("{{bounds.retryBudgetRatio}}", "0.2".to_owned()),
            ("{{bounds.retryBudgetSlack}}", "92".to_owned()),
            ("{{bounds.budgetWindowS}}", "10".to_owned()),
            ("{{bounds.coldSlack}}", "5".to_owned()),
            ("{{bounds.passMs}}", "120".to_owned()),
            ("{{platform.minTtlMs}}", "1000".to_owned()),
            ("{{#bounds.requireFencing}}\n", String::new()),
            ("{{/bounds.requireFencing}}\n", String::new()),
        ];
        let (pid, log) = start("gateway", &name, template, &values);
        Self {
            name,
            front,
            readiness,
            directory,
            pid,
            log,
        }
    }

    /// Waits until the gateway is ready.
    pub fn wait_ready(&self, longest: Duration) -> bool {
        let end = Instant::now() + longest;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns whether the readiness check answers 200.
    pub fn is_ready(&self) -> bool {
        let answer = crate::client::get(self.readiness, "/v1/ready", Duration::from_secs(1));
        answer.is_ok_and(|it| it.status() == 200)
    }

    /// Returns whether the process runs.
    pub fn runs(&self) -> bool {
        let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
        let child = children.iter_mut().find(|it| it.id() == self.pid);
        child.is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }

    /// Kills the process.
    pub fn kill(&self) {
        let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(child) = children.iter_mut().find(|it| it.id() == self.pid) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process took the leadership of the expert maps last, as its log says.
    pub fn leads(&self) -> bool {
        let lines = self.log_lines("event=lead ");
        lines.last().is_some_and(|it| it.contains("leads=true"))
    }

    /// Returns a line of the status of the process in kB, such as `VmHWM` or `VmRSS`.
    pub fn memory_kb(&self, name: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|it| it.starts_with(name));
        let value = line.and_then(|it| it.split_whitespace().nth(1));
        value.and_then(|it| it.parse().ok()).unwrap_or_default()
    }

    /// Opens a connection to the front address.
    pub fn connect(&self) -> std::io::Result<TcpStream> {
        TcpStream::connect_timeout(&self.front, Duration::from_secs(1))
    }

    /// Returns the lines of the log with a text, so that the record can quote them.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|it| it.contains(text));
        lines.map(str::to_owned).collect()
    }
}

/// Ends all processes that this script has started.
pub fn kill_all() {
    let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(folder());
    }
}
