//! One process of the program under test.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

/// Longest time that a process may take to stop after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_mins(1);
/// Interval at which a stopping process is polled.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A node: its command, its settings file and its process.
#[derive(Debug)]
pub struct Node {
    role: &'static str,
    file: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    stopping: Vec<Child>,
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
            stopping: Vec::new(),
        };
        node.spawn();
        node
    }

    /// Starts the process again with the same settings, after all earlier processes that were
    /// sent SIGTERM have exited and freed their addresses.
    pub fn spawn(&mut self) {
        assert!(self.child.is_none(), "the process is already running");
        let start = Instant::now();
        while self.stopping.iter_mut().any(is_running) {
            assert!(
                start.elapsed() < STOP_TIMEOUT,
                "the process did not exit within {STOP_TIMEOUT:?} after SIGTERM"
            );
            thread::sleep(STOP_POLL_INTERVAL);
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
        // SAFETY: the process was started by this node and has not been waited for, so its id
        // has not been reused.
        let sent = unsafe { libc::kill(pid, signal) };
        assert_eq!(sent, 0, "the signal can be sent");
    }

    /// Kills the process with SIGKILL and waits until it has exited.
    pub fn kill(&mut self) {
        let mut child = self.child.take().expect("the node runs");
        child.kill().expect("the process can be killed");
        child.wait().expect("the process can be waited for");
    }

    /// Sends SIGTERM and returns without waiting for the process to exit.
    pub fn terminate(&mut self) {
        self.signal(libc::SIGTERM);
        self.stopping.extend(self.child.take());
    }

    /// Returns whether all processes that were sent SIGTERM have exited with status 0.
    pub fn has_stopped_cleanly(&mut self) -> bool {
        self.stopping.iter_mut().all(|child| {
            let status = child.try_wait().expect("the process can be waited for");
            status.is_some_and(|status| status.success())
        })
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        for mut child in self.child.take().into_iter().chain(self.stopping.drain(..)) {
            // The process may have exited already.
            if child.kill().is_ok() {
                child.wait().expect("the process can be waited for");
            }
        }
    }
}

fn is_running(child: &mut Child) -> bool {
    let status = child.try_wait().expect("the process can be waited for");
    status.is_none()
}

/// Returns an address on loopback whose port is free.
pub fn free_address() -> SocketAddr {
    sesamerock_standin::port::free().expect("a port is free")
}
