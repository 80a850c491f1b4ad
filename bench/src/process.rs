//! Instances as processes of their own, so that processor time and memory are those of one node.

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

/// Longest wait for an instance to start.
const START_LIMIT: Duration = Duration::from_secs(20);

/// One event of an instance's log.
#[derive(Debug, Clone)]
pub struct LogEvent {
    /// Time of day in milliseconds.
    pub at_ms: u64,
    /// The whole line.
    pub line: String,
}

impl LogEvent {
    fn parse(line: String) -> Self {
        let at_ms = value(&line, "at_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        Self { at_ms, line }
    }

    /// Returns the value of a key, if the line has it.
    pub fn value(&self, key: &str) -> Option<&str> {
        value(&self.line, key)
    }
}

fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split_whitespace().find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Processor time since the start.
    pub cpu_time: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

/// A running instance; killed when dropped.
#[derive(Debug)]
pub struct InstanceProcess {
    child: Child,
    settings: PathBuf,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// What it has logged since its start.
    log: Arc<Mutex<Vec<LogEvent>>>,
}

/// What the settings of a bench's instance leave open.
#[derive(Debug, Clone)]
pub struct InstanceProcessSettings {
    /// Name.
    pub instance: String,
    /// Data centre.
    pub data_centre: String,
    /// Where the platform's stand-in listens.
    pub platform_address: SocketAddr,
    /// Threads of its worker pool.
    pub worker_threads: usize,
}

impl InstanceProcess {
    /// Starts the daemon that was built beside the bench.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::File`] when it can't be started, [`ErrorKind::AddressUnavailable`] when it does not listen.
    pub fn start(settings: &InstanceProcessSettings) -> Result<Self> {
        let file = |e: std::io::Error| Error::new(ErrorKind::File, format!("daemon beside the bench: {e}"));
        let binary = std::env::current_exe().map_err(file)?.with_file_name("arbutusshelf");
        let name = format!("arbutusshelf-bench-{}-{}.json", std::process::id(), settings.instance);
        let path = std::env::temp_dir().join(name);
        fs::write(&path, settings_json(settings)).map_err(file)?;
        let mut command = Command::new(binary);
        command.arg("serve").arg("--settings").arg(&path).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(file)?;
        let log = Arc::new(Mutex::new(Vec::new()));
        let (started, first) = channel();
        let kept = Arc::clone(&log);
        let stdout = child.stdout.take();
        std::thread::spawn(move || {
            let lines =
                stdout.into_iter().flat_map(|s| BufReader::new(s).lines().map_while(std::result::Result::ok));
            for event in lines.map(LogEvent::parse) {
                if event.value("event") == Some("started") {
                    // The starter may have given up by now.
                    let _gone = started.send(event.clone());
                }
                kept.lock().unwrap_or_else(PoisonError::into_inner).push(event);
            }
        });
        let addresses = read_addresses(&first);
        let settings = path;
        let Some((callers, admin)) = addresses else {
            // It is not running, or of no use.
            let _ended = child.kill();
            return Err(Error::new(ErrorKind::AddressUnavailable, "an instance did not start"));
        };
        Ok(Self { child, settings, callers, admin, log })
    }

    /// Returns what it has logged under an event name.
    pub fn events(&self, name: &str) -> Vec<LogEvent> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter().filter(|e| e.value("event") == Some(name)).cloned().collect()
    }

    /// Returns its processor time and memory, as the system counts them.
    pub fn usage(&self) -> Option<ResourceUsage> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        // The name in brackets may hold spaces, so count from behind it.
        let fields = stat.rsplit(')').next()?.split_whitespace().collect::<Vec<_>>();
        let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let pages = fields.get(21)?.parse::<u64>().ok()?;
        Some(ResourceUsage {
            cpu_time: Duration::from_millis(ticks * MS_PER_TICK),
            resident_bytes: pages * PAGE_BYTES,
        })
    }
}

/// Length of the system's tick of processor time.
const MS_PER_TICK: u64 = 10;

/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
        let _best_effort = fs::remove_file(&self.settings);
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

fn read_addresses(first: &Receiver<LogEvent>) -> Option<(SocketAddr, SocketAddr)> {
    let event = first.recv_timeout(START_LIMIT).ok()?;
    let address = |key: &str| event.value(key)?.parse().ok();
    Some((address("callers")?, address("admin")?))
}
