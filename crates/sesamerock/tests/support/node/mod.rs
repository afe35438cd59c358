//! One process of the program under test.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

/// Lowest port given to a process under test.
const LOWEST_PORT: u16 = 10_000;
/// Ports that one test process gives out.
const PORTS_PER_PROCESS: u16 = 1_000;
/// Test processes with ports of their own.
const PROCESSES: u32 = 20;

/// Time for a process to stop after it was asked to, and between two looks.
const STOP_TIMEOUT: Duration = Duration::from_mins(1);
const STOP_POLL: Duration = Duration::from_millis(20);

/// A node: its command, its settings file and its process.
#[derive(Debug)]
pub struct Node {
    role: &'static str,
    file: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    stopped: Vec<Child>,
}

impl Node {
    /// Writes the settings and starts the process.
    pub fn start(role: &'static str, name: &str, settings: &impl Serialize, dir: &Path) -> Self {
        fs::create_dir_all(dir).expect("the directory for settings can be made");
        let file = dir.join(format!("{name}.yaml"));
        let text = serde_yaml_ng::to_string(settings).expect("settings can be written");
        fs::write(&file, text).expect("the settings file can be written");
        let log = dir.join(format!("{name}.log"));
        let mut node = Self {
            role,
            file,
            log,
            child: None,
            stopped: Vec::new(),
        };
        node.spawn();
        node
    }

    /// Starts the process anew with the same settings, once former ones that
    /// were asked to stop have left its addresses.
    pub fn spawn(&mut self) {
        assert!(self.child.is_none(), "the node runs already");
        let begin = Instant::now();
        while self.stopped.iter_mut().any(running) {
            assert!(begin.elapsed() < STOP_TIMEOUT, "the node did not stop");
            thread::sleep(STOP_POLL);
        }
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.expect("the log file can be opened");
        let child = Command::new(env!("CARGO_BIN_EXE_sesamerock"))
            .arg(self.role)
            .arg("--settings")
            .arg(&self.file)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the program can be started"));
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        let child = self.child.as_ref().expect("the node runs");
        let pid = i32::try_from(child.id()).expect("a process id fits");
        // SAFETY: the process was started here and has not been waited for, so
        // its id still names it.
        let sent = unsafe { libc::kill(pid, signal) };
        assert_eq!(sent, 0, "the signal can be sent");
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let mut child = self.child.take().expect("the node runs");
        child.kill().expect("the process can be killed");
        child.wait().expect("the process can be waited for");
    }

    /// Asks the process to stop; it is waited for at the end.
    pub fn terminate(&mut self) {
        self.signal(libc::SIGTERM);
        self.stopped.extend(self.child.take());
    }

    /// Returns whether all processes that were asked to stop have ended well.
    pub fn ended(&mut self) -> bool {
        self.stopped.iter_mut().all(|child| {
            let status = child.try_wait().expect("the process can be waited for");
            status.is_some_and(|status| status.success())
        })
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        for mut child in self.child.take().into_iter().chain(self.stopped.drain(..)) {
            // It may have ended by itself.
            if child.kill().is_ok() {
                child.wait().expect("the process can be waited for");
            }
        }
    }
}

fn running(child: &mut Child) -> bool {
    let status = child.try_wait().expect("the process can be waited for");
    status.is_none()
}

/// Returns an address on loopback whose port is free and below those that the
/// system gives to outgoing connections, so that nothing takes it before the
/// process under test binds it. An agent once failed to start for this reason.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Test processes that run at the same time begin at different ports.
    let first = LOWEST_PORT + (std::process::id() % PROCESSES) as u16 * PORTS_PER_PROCESS;
    for _ in 0..PORTS_PER_PROCESS {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS_PER_PROCESS;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port is free");
}
