//! A gateway that runs as a child process.

use std::fs::{self, File, OpenOptions};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use eyre::{OptionExt as _, WrapErr as _};
use sesamerock_gateway::run::Settings;

/// A gateway process. Dropping this value kills the child process, and no other process.
#[derive(Debug)]
pub struct Process {
    /// Settings that the gateway reads at each start.
    pub settings: Settings,
    program: PathBuf,
    settings_file: PathBuf,
    log_file: PathBuf,
    child: Option<Child>,
    /// Number of starts so far.
    pub incarnation: u64,
}

impl Process {
    /// Starts a gateway with these settings. Its settings file and its log are written to
    /// the folder `logs`.
    ///
    /// # Errors
    /// Fails if the files cannot be written or the program cannot be started.
    pub fn start(program: &Path, settings: Settings, logs: &Path) -> eyre::Result<Self> {
        fs::create_dir_all(logs)
            .wrap_err_with(|| format!("cannot create folder {}", logs.display()))?;
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

    /// Starts the program again if its process has ended. Returns whether it was started.
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

    /// Checks that the process has found its ports free at each start. Otherwise callers may have
    /// reached a process of another run there.
    ///
    /// # Errors
    /// Fails if a port was taken, or if the log cannot be read.
    pub fn check_ports(&self) -> eyre::Result<()> {
        let log = fs::read_to_string(&self.log_file)?;
        let refused = log.lines().find(|line| line.contains("cannot listen on"));
        match refused {
            Some(line) => eyre::bail!("{} is no part of the run: {line}", self.settings.node),
            None => Ok(()),
        }
    }

    /// Returns whether the process has not ended. A process stopped by SIGSTOP counts as
    /// running.
    ///
    /// # Errors
    /// Fails if the operating system does not return the status of the process.
    pub fn is_running(&mut self) -> eyre::Result<bool> {
        let Some(child) = &mut self.child else {
            return Ok(false);
        };
        Ok(child.try_wait()?.is_none())
    }

    /// Sends a signal to the process if it is running.
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
        // SAFETY: `pid` is a child that has not been waited for, so the operating
        // system has not reused its identifier for another process.
        let sent = unsafe { libc::kill(pid, signal) };
        eyre::ensure!(sent == 0, "cannot send signal {signal} to {pid}");
        Ok(())
    }

    /// Returns the most memory that the process has had resident since its start, in bytes.
    ///
    /// # Errors
    /// Fails if the process has ended or the operating system does not tell.
    pub fn peak_memory(&mut self) -> eyre::Result<u64> {
        eyre::ensure!(self.is_running()?, "{} has ended", self.settings.node);
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|value| value.trim().strip_suffix(" kB"));
        let peak: u64 = peak.ok_or_eyre("no VmHWM")?.parse()?;
        Ok(peak << 10)
    }

    /// Returns how many descriptors the process has open.
    ///
    /// # Errors
    /// Fails if the process has ended or the operating system does not tell.
    pub fn descriptors(&mut self) -> eyre::Result<usize> {
        eyre::ensure!(self.is_running()?, "{} has ended", self.settings.node);
        let id = self.child.as_ref().map_or(0, Child::id);
        Ok(fs::read_dir(format!("/proc/{id}/fd"))?.count())
    }

    /// Returns the address that callers connect to.
    pub fn front_address(&self) -> SocketAddr {
        self.settings.front
    }

    /// Returns the address at which callers ask where to connect.
    pub fn directory_address(&self) -> SocketAddr {
        self.settings.directory
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // An error means that the process has already ended.
            drop(child.kill());
            drop(child.wait());
        }
    }
}
