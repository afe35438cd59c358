//! One gateway as a process of its own.

use std::fs::{self, File, OpenOptions};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use eyre::WrapErr as _;
use sesamerock_gateway::run::Settings;

/// A gateway. Its process is killed when this is dropped; no other process ever is.
#[derive(Debug)]
pub struct Process {
    /// Its settings.
    pub settings: Settings,
    program: PathBuf,
    settings_file: PathBuf,
    log_file: PathBuf,
    child: Option<Child>,
    /// Starts so far.
    pub incarnation: u64,
}

impl Process {
    /// Starts a gateway with these settings and writes its log into a folder.
    ///
    /// # Errors
    /// Fails if the files cannot be written or the program cannot be started.
    pub fn start(program: &Path, settings: Settings, logs: &Path) -> eyre::Result<Self> {
        fs::create_dir_all(logs).wrap_err_with(|| format!("cannot make {}", logs.display()))?;
        let settings_file = logs.join(format!("{}.yaml", settings.node));
        let text = serde_yaml_ng::to_string(&settings)?;
        fs::write(&settings_file, text)
            .wrap_err_with(|| format!("cannot write {}", settings_file.display()))?;
        let log = logs.join(format!("{}.log", settings.node));
        File::create(&log)?;
        let mut process = Self {
            settings,
            program: program.to_owned(),
            settings_file,
            log_file: log,
            child: None,
            incarnation: 0,
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts the program again, if it has ended. Returns whether it had.
    ///
    /// # Errors
    /// Fails if the program cannot be started.
    pub fn restart(&mut self) -> eyre::Result<bool> {
        if self.is_running()? {
            return Ok(false);
        }
        let log = OpenOptions::new().append(true).open(&self.log_file)?;
        let child = Command::new(&self.program)
            .arg("gateway")
            .env("SESAMEROCK_SETTINGS", &self.settings_file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", self.program.display()))?;
        self.child = Some(child);
        self.incarnation += 1;
        Ok(true)
    }

    /// Returns whether the process runs, or is stopped by a signal.
    ///
    /// # Errors
    /// Fails if the system does not tell.
    pub fn is_running(&mut self) -> eyre::Result<bool> {
        let Some(child) = &mut self.child else {
            return Ok(false);
        };
        Ok(child.try_wait()?.is_none())
    }

    /// Sends a signal to the process, if it runs.
    ///
    /// # Errors
    /// Fails if the signal cannot be sent.
    pub fn signal(&mut self, signal: i32) -> eyre::Result<()> {
        if !self.is_running()? {
            return Ok(());
        }
        let Some(child) = &self.child else {
            return Ok(());
        };
        let pid = i32::try_from(child.id())?;
        // SAFETY: `pid` is a child that has not been waited for, so that the identity
        // is not that of another process.
        let sent = unsafe { libc::kill(pid, signal) };
        eyre::ensure!(sent == 0, "cannot send signal {signal} to {pid}");
        Ok(())
    }

    /// Returns where callers connect.
    pub fn front_address(&self) -> SocketAddr {
        self.settings.front
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // A process that has ended already needs no kill.
            drop(child.kill());
            drop(child.wait());
        }
    }
}
