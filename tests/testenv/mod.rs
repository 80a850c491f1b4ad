//! Runs the compiled binary in a temporary directory; waits for conditions instead of fixed times.

#![allow(dead_code, clippy::allow_attributes, reason = "each test file uses its own part of the environment")]

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, ChildStdout, Command, Output, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

/// Time after which a test gives up waiting for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

static LAST_DIRECTORY: AtomicU32 = AtomicU32::new(0);

/// Temporary directory in which the binary under test runs; removed when dropped.
#[derive(Debug)]
pub struct TestEnv {
    directory: PathBuf,
}

impl TestEnv {
    /// Creates an empty temporary directory.
    pub fn new() -> Self {
        let number = LAST_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let name = format!("arbutusshelf-test-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).expect("a temporary directory can be created");
        Self { directory }
    }

    /// Writes a file in the directory and returns its path.
    pub fn write(&self, name: &str, content: &str) -> String {
        let path = self.directory.join(name);
        fs::write(&path, content).expect("a temporary file can be written");
        path.to_str().expect("temporary paths are UTF-8").to_owned()
    }

    /// Runs the binary with `args` and waits for it to exit.
    pub fn run(&self, args: &[&str]) -> Output {
        self.command(args).output().expect("the binary starts")
    }

    fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_arbutusshelf"));
        command.current_dir(&self.directory).args(args);
        command
    }

    /// Starts an instance on ports chosen by the operating system; `extra` is merged into its settings.
    pub fn serve(&self, instance: &str, extra: &serde_json::Value) -> Instance {
        let mut settings = serde_json::json!({
            "instance": instance,
            "data_centre": "ost-a",
            "callers_address": "127.0.0.1:0",
            "admin_address": "127.0.0.1:0",
            "peers_address": "127.0.0.1:0",
            "balancer_lag_ms": 200,
        });
        let extra = extra.as_object().cloned().unwrap_or_default();
        settings.as_object_mut().expect("settings are an object").extend(extra);
        let path = self.write(&format!("{instance}.json"), &settings.to_string());
        let mut command = self.command(&["serve", "--settings", &path]);
        let mut child = command.stdout(Stdio::piped()).spawn().expect("the binary starts");
        let log = BufReader::new(child.stdout.take().expect("stdout is piped"));
        Instance::started(child, log)
    }
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        let _best_effort = fs::remove_dir_all(&self.directory);
    }
}

/// A running instance; its process is killed when dropped.
#[derive(Debug)]
pub struct Instance {
    child: Child,
    log: BufReader<ChildStdout>,
    /// Address that accepts callers.
    pub callers: SocketAddr,
    /// Address of the admin interface.
    pub admin: SocketAddr,
    /// Address that accepts other instances.
    pub peers: SocketAddr,
}

impl Instance {
    fn started(child: Child, mut log: BufReader<ChildStdout>) -> Self {
        let mut line = String::new();
        while !line.contains("event=started") {
            line.clear();
            let read = log.read_line(&mut line).expect("the log is text");
            assert!(read > 0, "the instance ended before it started");
        }
        let address = |name: &str| {
            let value = line.split_whitespace().find_map(|pair| pair.strip_prefix(name));
            value.expect("the log line has the address").parse().expect("it is an address")
        };
        let (callers, admin, peers) = (address("callers="), address("admin="), address("peers="));
        Self { child, log, callers, admin, peers }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Reads the log until a line contains `text` and returns that line.
    pub fn wait_log(&mut self, text: &str) -> String {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            let read = self.log.read_line(&mut line).expect("the log is text");
            assert!(read > 0, "the log ended before {text:?}");
        }
        line
    }

    /// Reads the log until a line contains `text` and returns all lines read, including that one.
    pub fn log_until(&mut self, text: &str) -> Vec<String> {
        let mut lines = Vec::<String>::new();
        while !lines.last().is_some_and(|line| line.contains(text)) {
            let mut line = String::new();
            let read = self.log.read_line(&mut line).expect("the log is text");
            assert!(read > 0, "the log ended before {text:?}");
            lines.push(line);
        }
        lines
    }

    /// Sends a signal by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.id().to_string()]).status();
        assert!(sent.expect("kill runs").success(), "the signal was sent");
    }

    /// Waits until the process exits and returns its exit code, if any.
    pub fn wait_end(&mut self) -> Option<i32> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the process can be waited for") {
                return status.code();
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "the instance did not end");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _already_exited = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// Returns the standard error of a command as text.
pub fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Returns the standard output of a command as text.
pub fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}
