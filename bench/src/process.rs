//! Instances that run as separate processes, so that CPU time and memory can be measured per instance.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, PoisonError,
        mpsc::{Receiver, channel},
    },
    time::Duration,
};

use arbutusshelf::error::{Error, ErrorKind, Result};

use crate::deployment::ANY_PORT;

/// Time within which an instance must log that it has started.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// One line of an instance's log, which is a sequence of `key=value` pairs.
#[derive(Debug, Clone)]
pub struct LogEvent {
    /// Unix time of the line, in milliseconds; 0 if the line has none.
    pub at_ms: u64,
    /// The complete line.
    pub line: String,
}

impl LogEvent {
    fn parse(line: String) -> Self {
        let at_ms = value(&line, "at_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        Self { at_ms, line }
    }

    /// Returns the value of a key, if the line has that key.
    pub fn value(&self, key: &str) -> Option<&str> {
        value(&self.line, key)
    }
}

fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split_whitespace().find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}

/// CPU time and memory of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceUsage {
    /// CPU time since the start, in user and kernel mode together.
    pub cpu_time: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

/// An instance that runs as a process; killed when dropped.
#[derive(Debug)]
pub struct InstanceProcess {
    child: Child,
    settings_path: PathBuf,
    /// Address that accepts callers.
    pub callers: SocketAddr,
    /// Address of the admin interface.
    pub admin: SocketAddr,
    /// Lines that it has logged since its start.
    log: Arc<Mutex<Vec<LogEvent>>>,
}

/// Settings of an instance process that its starter chooses; all others are fixed.
#[derive(Debug, Clone)]
pub struct InstanceProcessSettings {
    /// Name of the instance.
    pub instance: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Address of the platform's stand-in.
    pub platform_address: SocketAddr,
    /// Number of threads that serve requests.
    pub worker_threads: usize,
}

impl InstanceProcess {
    /// Starts the `arbutusshelf` binary in the directory of the bench's own binary and waits until it has
    /// started.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] if it can't be executed, [`ErrorKind::AddressUnavailable`] if it does not log its
    /// addresses within 20 s.
    pub fn start(settings: &InstanceProcessSettings) -> Result<Self> {
        let file = |e: std::io::Error| Error::new(ErrorKind::File, format!("starting arbutusshelf: {e}"));
        let binary = std::env::current_exe().map_err(file)?.with_file_name("arbutusshelf");
        let name = format!("arbutusshelf-bench-{}-{}.json", std::process::id(), settings.instance);
        let path = std::env::temp_dir().join(name);
        fs::write(&path, settings_json(settings)).map_err(file)?;
        let mut command = Command::new(binary);
        command.arg("serve").arg("--settings").arg(&path).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(file)?;
        let log = Arc::new(Mutex::new(Vec::new()));
        let (started, started_event) = channel();
        let shared_log = Arc::clone(&log);
        let stdout = child.stdout.take();
        std::thread::spawn(move || {
            let lines =
                stdout.into_iter().flat_map(|s| BufReader::new(s).lines().map_while(std::result::Result::ok));
            for event in lines.map(LogEvent::parse) {
                if event.value("event") == Some("started") {
                    // The receiver is gone if the starter has timed out.
                    let _receiver_gone = started.send(event.clone());
                }
                shared_log.lock().unwrap_or_else(PoisonError::into_inner).push(event);
            }
        });
        let addresses = read_addresses(&started_event);
        let settings_path = path;
        let Some((callers, admin)) = addresses else {
            // It may have exited already.
            let _already_exited = child.kill();
            return Err(Error::new(
                ErrorKind::AddressUnavailable,
                "the instance did not log its addresses within 20 s",
            ));
        };
        Ok(Self { child, settings_path, callers, admin, log })
    }

    /// Returns the lines with this event name that it has logged since its start.
    pub fn events(&self, name: &str) -> Vec<LogEvent> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter().filter(|e| e.value("event") == Some(name)).cloned().collect()
    }

    /// Returns its CPU time and memory from `/proc`; `None` if the process is gone.
    pub fn usage(&self) -> Option<ResourceUsage> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        // The process name in brackets may contain spaces, so fields are counted from the closing bracket.
        let fields = stat.rsplit(')').next()?.split_whitespace().collect::<Vec<_>>();
        let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let pages = fields.get(21)?.parse::<u64>().ok()?;
        Some(ResourceUsage {
            cpu_time: Duration::from_millis(ticks * MS_PER_TICK),
            resident_bytes: pages * PAGE_BYTES,
        })
    }
}

/// Length of the clock tick in which the system counts CPU time, in milliseconds.
const MS_PER_TICK: u64 = 10;

/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4_096;

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _already_exited = self.child.kill();
        let _reaped = self.child.wait();
        let _best_effort = fs::remove_file(&self.settings_path);
    }
}

fn settings_json(settings: &InstanceProcessSettings) -> String {
    serde_json::json!({
        "instance": settings.instance,
        "data_centre": settings.data_centre,
        "callers_address": ANY_PORT,
        "admin_address": ANY_PORT,
        "peers_address": ANY_PORT,
        "platform_driver": "http",
        "platform_address": settings.platform_address,
        "workers": settings.worker_threads,
    })
    .to_string()
}

/// Waits for the line that states the start and returns the callers' and the admin address from it.
fn read_addresses(started_event: &Receiver<LogEvent>) -> Option<(SocketAddr, SocketAddr)> {
    let event = started_event.recv_timeout(START_TIMEOUT).ok()?;
    let address = |key: &str| event.value(key)?.parse().ok();
    Some((address("callers")?, address("admin")?))
}
