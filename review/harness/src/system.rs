//! Starts gateways as the deploy file says, with the template of their settings filled in as for
//! a small deployment, and ends them.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Head};

/// Ports of a machine. Each machine has a loopback address of its own.
const FRONT: u16 = 28_227;
const READINESS: u16 = 28_220;
const DIRECTORY: u16 = 28_224;
const EXCHANGE: u16 = 27_340;

/// Loopback addresses that no other run uses: their second and third part come from the
/// process and the time.
#[derive(Clone, Copy, Debug)]
pub struct Network(u8, u8);

impl Network {
    pub fn new() -> Self {
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("time")
            .subsec_nanos();
        let mixed = nanos.wrapping_mul(2_654_435_761) ^ std::process::id().wrapping_mul(40_503);
        Self(16 + (mixed >> 8) as u8 % 200, (mixed >> 16) as u8)
    }

    pub fn ip(self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, host))
    }
}

/// A gateway, which is killed when this is dropped.
pub struct Gateway {
    ip: IpAddr,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

/// Folder for settings and logs of one run.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(network: Network) -> Self {
        let name = format!(
            "sesamerock-review-{}-{}-{}",
            std::process::id(),
            network.0,
            network.1
        );
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("create a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Root of the repository: `run.sh` calls the harness from there.
fn root() -> PathBuf {
    std::env::current_dir().expect("current folder")
}

impl Gateway {
    /// Fills in the settings of a gateway with the bounds of the sheets, and starts it.
    pub fn start(folder: &Path, name: &str, ip: IpAddr, store: SocketAddr) -> Self {
        let template = fs::read_to_string(root().join("deploy/gateway.yaml")).expect("template");
        let values = [
            ("nodeName", name.to_owned()),
            ("zone", "hobart-a".to_owned()),
            ("listen.front", format!("{ip}:{FRONT}")),
            ("listen.readiness", format!("{ip}:{READINESS}")),
            ("listen.directory", format!("{ip}:{DIRECTORY}")),
            ("ip", ip.to_string()),
            ("internalPorts.0", EXCHANGE.to_string()),
            ("platform.address", store.to_string()),
            ("bounds.graceS", "8".to_owned()),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("bounds.drainMs", "2000".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.retryBudgetSlack", "92".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.coldSlack", "5".to_owned()),
            ("bounds.passMs", "120".to_owned()),
            ("platform.minTtlMs", "1000".to_owned()),
        ];
        let mut text = template;
        for (field, value) in values {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        text = text.replace("{{#bounds.requireFencing}}\n", "");
        text = text.replace("{{/bounds.requireFencing}}\n", "");
        assert!(!text.contains("{{"), "a placeholder is left: {text}");
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("write settings");
        let log = folder.join(format!("{name}.log"));
        let child = spawn("gateway", &settings, &log);
        Self {
            ip,
            child,
            settings,
            log,
        }
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT)
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args(["-s", name, &pid]).status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process anew after it has ended.
    pub fn restart(&mut self) {
        self.child = spawn("gateway", &self.settings, &self.log);
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Asks the gateway whether it is ready.
    pub fn is_ready(&self) -> bool {
        let at = SocketAddr::new(self.ip, READINESS);
        let answer = get(at, "/v1/ready");
        answer.is_some_and(|(head, _)| head.status() == 200)
    }

    /// Asks the gateway's directory for the addresses of gateways.
    pub fn resolve(&self) -> Option<(u16, String)> {
        let at = SocketAddr::new(self.ip, DIRECTORY);
        let path = "/v1/resolve?name=desk.example&region=tas-south&zone=hobart-a";
        let (head, body) = get(at, path)?;
        Some((head.status(), String::from_utf8_lossy(&body).into_owned()))
    }

    /// Waits until the gateway is ready.
    pub fn wait_ready(&self, longest: Duration) -> bool {
        let end = Instant::now() + longest;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // A stopped process also ends by this signal.
        self.kill();
    }
}

/// A sidecar, which is killed when this is dropped.
pub struct Sidecar(Child);

impl Sidecar {
    /// Fills in the settings of a sidecar beside an engine, and starts it.
    pub fn start(folder: &Path, name: &str, ip: IpAddr, engine: SocketAddr) -> Self {
        let template = fs::read_to_string(root().join("deploy/sidecar.yaml")).expect("template");
        let values = [
            ("nodeName", name.to_owned()),
            ("ip", ip.to_string()),
            ("internalPorts.0", EXCHANGE.to_string()),
            ("app", engine.to_string()),
        ];
        let mut text = template;
        for (field, value) in values {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        assert!(!text.contains("{{"), "a placeholder is left: {text}");
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("write settings");
        Self(spawn(
            "sidecar",
            &settings,
            &folder.join(format!("{name}.log")),
        ))
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn spawn(role: &str, settings: &Path, log: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("open the log");
    let errors = log.try_clone().expect("the log");
    let program = root().join("target/release/sesamerock");
    Command::new(program)
        .arg(role)
        .env("SESAMEROCK_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("start the gateway")
}

fn get(at: SocketAddr, path: &str) -> Option<(Head, Vec<u8>)> {
    use std::io::{BufReader, Write};
    let mut stream = std::net::TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader).ok()??;
    let body = http::read_body(&mut reader, &head, true).ok()?;
    Some((head, body))
}
