//! An instance as a child process whose log is written to a file. Signals are sent only to these child
//! processes.

use std::{
    fs::{self, File, OpenOptions},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use arbutusshelf::error::{Error, ErrorKind, Result};
use rustix::process::{Pid, Signal, kill_process};

/// Addresses on which one instance listens; restarts do not change them.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For readiness checks.
    pub ready: SocketAddr,
    /// For metrics scrapes.
    pub metrics: SocketAddr,
    /// For connections of other instances.
    pub peers: SocketAddr,
}

/// Parameters with which an instance's process is started.
#[derive(Debug, Clone)]
pub struct Launch {
    /// Paths of the executables; each start takes one at random.
    pub binaries: Vec<PathBuf>,
    /// Settings, written to a file that the process reads.
    pub settings: serde_json::Value,
    /// Directory for the settings file and the log.
    pub directory: PathBuf,
    /// Name of the instance and stem of its file names.
    pub name: String,
}

/// A running instance; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    settings: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing fails if the process has already exited.
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

fn file_error(path: &Path, e: &std::io::Error) -> Error {
    Error::new(ErrorKind::File, format!("{}: {e}", path.display()))
}

impl Process {
    /// Starts an instance and appends its log to the file of earlier starts.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] when a file can't be written or the executable can't be started.
    pub fn start(launch: &Launch) -> Result<Self> {
        let settings = launch.directory.join(format!("{}.json", launch.name));
        fs::write(&settings, launch.settings.to_string()).map_err(|e| file_error(&settings, &e))?;
        let log = launch.directory.join(format!("{}.log", launch.name));
        let log: File =
            OpenOptions::new().create(true).append(true).open(&log).map_err(|e| file_error(&log, &e))?;
        let binary = &launch.binaries[rand::random_range(0..launch.binaries.len())];
        let mut command = Command::new(binary);
        command.arg("gateway").arg("--settings").arg(&settings).stdin(Stdio::null()).stdout(log);
        let child = command.spawn().map_err(|e| file_error(binary, &e))?;
        Ok(Self { child, settings })
    }

    /// Sends a signal, unless the process has exited.
    pub fn signal(&mut self, signal: Signal) {
        let is_running = matches!(self.child.try_wait(), Ok(None));
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let (true, Some(pid)) = (is_running, pid) {
            // The process may exit between the check and the signal. Its id is not reused meanwhile, since
            // only the next check reaps it.
            let _exited = kill_process(pid, signal);
        }
    }

    /// Returns the memory that the process uses; `None` if it has exited.
    pub fn resident_bytes(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kib = line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok()?;
        Some(kib << 10)
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Replaces the process's settings file.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] when it can't be written.
    pub fn write_settings(&self, settings: &serde_json::Value) -> Result<()> {
        fs::write(&self.settings, settings.to_string()).map_err(|e| file_error(&self.settings, &e))
    }
}
