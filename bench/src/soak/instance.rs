//! One gateway as a process, with its log in a file; only processes started here are signalled.

use std::{
    fs::{self, File, OpenOptions},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use arbutusshelf::error::{Error, ErrorKind, Result};
use rustix::process::{Pid, Signal, kill_process};

/// Addresses of one instance; the same at each start.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the entry's questions.
    pub ready: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
    /// For other instances.
    pub peers: SocketAddr,
}

/// How an instance is started.
#[derive(Debug, Clone)]
pub struct Launch {
    /// The binary.
    pub binary: PathBuf,
    /// Settings as JSON.
    pub settings: serde_json::Value,
    /// Directory for settings and logs.
    pub directory: PathBuf,
    /// Name of the instance.
    pub name: String,
}

/// A process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    settings: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

fn file_error(path: &Path, e: &std::io::Error) -> Error {
    Error::new(ErrorKind::File, format!("{}: {e}", path.display()))
}

impl Process {
    /// Starts a gateway whose log goes on in a file.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] when a file can't be written or the binary not started.
    pub fn start(launch: &Launch) -> Result<Self> {
        let settings = launch.directory.join(format!("{}.json", launch.name));
        fs::write(&settings, launch.settings.to_string()).map_err(|e| file_error(&settings, &e))?;
        let log = launch.directory.join(format!("{}.log", launch.name));
        let log: File =
            OpenOptions::new().create(true).append(true).open(&log).map_err(|e| file_error(&log, &e))?;
        let mut command = Command::new(&launch.binary);
        command.arg("gateway").arg("--settings").arg(&settings).stdin(Stdio::null()).stdout(log);
        let child = command.spawn().map_err(|e| file_error(&launch.binary, &e))?;
        Ok(Self { child, settings })
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, signal: Signal) {
        let is_running = matches!(self.child.try_wait(), Ok(None));
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let (true, Some(pid)) = (is_running, pid) {
            // It may end between the look and the signal; it is not reaped before the next look.
            let _gone = kill_process(pid, signal);
        }
    }

    /// Returns whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Replaces its settings file.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] when it can't be written.
    pub fn write_settings(&self, settings: &serde_json::Value) -> Result<()> {
        fs::write(&self.settings, settings.to_string()).map_err(|e| file_error(&self.settings, &e))
    }
}
