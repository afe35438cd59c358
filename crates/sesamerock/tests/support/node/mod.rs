//! One process of the program under test.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

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

/// Returns an address on loopback whose port is free.
pub fn free_address() -> SocketAddr {
    sesamerock_standin::port::free().expect("a port is free")
}
