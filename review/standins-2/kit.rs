//! Stand-ins for the cases of the second review: the platform's store, servers, clients and the gateway's process.
//!
//! Only the standard library is used, so that a case is built by `rustc` alone. Everything listens on loopback.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, Read, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Exit status of a case in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status of a case in which the rule held.
pub const HELD: i32 = 0;
/// Exit status of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Longest time that a case may take; the limit for a script is 120 s.
const MAX_RUN_TIME: Duration = Duration::from_secs(110);

/// Returns whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------------------------------------------------------
// Record

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Opens the record of a case; `RECORD` names the file.
    pub fn open() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(&path).unwrap_or_else(|e| stop(NOT_RUN, &format!("{path}: {e}")));
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>8.3} s  {}", ms as f64 / 1e3, text.as_ref());
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

fn stop(status: i32, text: &str) -> ! {
    eprintln!("{text}");
    std::process::exit(status);
}

/// Ends the case: writes the result and ends all processes that it has started.
pub fn finish(record: &Record, status: i32, text: &str) -> ! {
    record.line(format!("RESULT exit {status}: {text}"));
    println!("exit {status}: {text}");
    end_processes();
    std::process::exit(status);
}

// ---------------------------------------------------------------------------------------------------------------
// Processes

static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Signals that a case sends to processes that it has started; their numbers are those of Linux.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Kill = 9,
    Terminate = 15,
    Continue = 18,
    Stop = 19,
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

fn signal_process(process: u32, signal: Signal) {
    // SAFETY: `kill` takes any numbers. The process is a child that has not been waited for.
    let _status = unsafe { kill(process as i32, signal as i32) };
}

fn end_processes() {
    for pid in PROCESSES.lock().unwrap().drain(..) {
        signal_process(pid, Signal::Continue);
        signal_process(pid, Signal::Kill);
    }
}

/// Opens the record of a case. The case ends as one that could not run if it takes too long or a part of it panics.
pub fn start_case() -> Record {
    let record = Record::open();
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(MAX_RUN_TIME);
        finish(&watched, NOT_RUN, "the case took too long");
    });
    let failed = record.clone();
    std::panic::set_hook(Box::new(move |info| finish(&failed, NOT_RUN, &format!("panic: {info}"))));
    record.line(if has_trouble() { "with the disruption" } else { "without the disruption" });
    record
}

/// First and last port that a case uses for the gateway's addresses: below those that the system gives to connections.
const PORTS: std::ops::Range<u64> = 20_000..32_000;

/// Returns a free port of an address.
pub fn free_port(ip: &str) -> u16 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let mut number = u64::from(std::process::id()) ^ since_epoch.subsec_nanos() as u64;
    for _ in 0..1_000 {
        number = number.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let port = (PORTS.start + (number >> 33) % (PORTS.end - PORTS.start)) as u16;
        if TcpListener::bind((ip, port)).is_ok() {
            return port;
        }
    }
    stop(NOT_RUN, &format!("no free port at {ip}"));
}

/// Settings of one gateway, with the fields of `deploy/settings.json`.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    pub instance: String,
    pub zone: String,
    pub ip: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub peers: SocketAddr,
    pub forward: SocketAddr,
    /// Address from which connections to servers are opened.
    pub targets_source: Option<String>,
    pub seeds: Vec<SocketAddr>,
    pub first_start: bool,
    pub store: SocketAddr,
}

impl GatewaySettings {
    /// Settings of an instance at a loopback address of its own.
    pub fn new(instance: &str, ip: &str, store: SocketAddr) -> Self {
        let address = || SocketAddr::new(ip.parse().unwrap(), free_port(ip));
        Self {
            instance: instance.to_owned(),
            zone: "zone-a".to_owned(),
            ip: ip.to_owned(),
            callers: address(),
            ready: address(),
            metrics: address(),
            peers: address(),
            forward: address(),
            targets_source: None,
            seeds: Vec::new(),
            first_start: false,
            store,
        }
    }

    fn json(&self) -> String {
        let seeds = self.seeds.iter().map(|s| format!("\"{s}\"")).collect::<Vec<_>>().join(",");
        let source = self
            .targets_source
            .as_ref()
            .map_or(String::new(), |ip| format!("\"targets_source\": \"{ip}\",\n"));
        format!(
            "{{\n\"instance\": \"{}\",\n\"data_centre\": \"{}\",\n\"callers_address\": \"{}\",\n\"ready_address\": \"{}\",\n\
             \"metrics_address\": \"{}\",\n\"peers_address\": \"{}\",\n\"forward_address\": \"{}\",\n{source}\
             \"peer_seeds\": [{seeds}],\n\"first_start\": {},\n\"place\": \"stadtwerke\",\n\"store_address\": \"{}\",\n\
             \"grace_s\": 6,\n\"target_heartbeat_s\": 1.5,\n\"repeat_ratio\": 0.2,\n\"repeat_window_s\": 10,\n\
             \"repeat_extra\": 56,\n\"probes_per_target_per_s\": 60\n}}\n",
            self.instance,
            self.zone,
            self.callers,
            self.ready,
            self.metrics,
            self.peers,
            self.forward,
            self.first_start,
            self.store
        )
    }
}

/// A running gateway process.
pub struct Gateway {
    pub settings: GatewaySettings,
    child: Child,
    record: Record,
}

impl Gateway {
    /// Starts `target/release/arbutusshelf gateway --settings FILE`.
    pub fn start(record: &Record, settings: GatewaySettings) -> Self {
        let folder = std::env::var("WORK_DIR").unwrap_or_else(|_| ".".to_owned());
        let folder = PathBuf::from(folder);
        let file = folder.join(format!("{}.json", settings.instance));
        std::fs::write(&file, settings.json())
            .unwrap_or_else(|e| finish(record, NOT_RUN, &format!("settings: {e}")));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", settings.instance)))
            .unwrap_or_else(|e| finish(record, NOT_RUN, &format!("log: {e}")));
        let program = std::env::var("PROGRAM").unwrap_or_else(|_| "target/release/arbutusshelf".to_owned());
        let child = Command::new(Path::new(&program))
            .args(["gateway", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let child = child.unwrap_or_else(|e| finish(record, NOT_RUN, &format!("{program}: {e}")));
        PROCESSES.lock().unwrap().push(child.id());
        record.line(format!("gateway {} started", settings.instance));
        Self { settings, child, record: record.clone() }
    }

    /// Returns the status of the readiness check; 0 without an answer.
    pub fn ready_status(&self) -> u16 {
        let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        Client::connect(self.settings.ready)
            .and_then(|mut client| {
                client.send(request)?;
                client.read_answer(Duration::from_secs(1))
            })
            .map_or(0, |answer| answer.status)
    }

    /// Waits until the instance is ready; ends the case if it doesn't get there.
    pub fn wait_ready(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while self.ready_status() != 200 {
            if Instant::now() > until {
                finish(&self.record, NOT_RUN, &format!("{} is not ready in time", self.settings.instance));
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line(format!("gateway {} ready", self.settings.instance));
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        self.record.line(format!("gateway {} gets signal {signal:?}", self.settings.instance));
        signal_process(self.child.id(), signal);
    }

    /// Kills the process and starts it again with the same settings.
    pub fn restart(&mut self) {
        self.signal(Signal::Kill);
        let _ = self.child.wait();
        PROCESSES.lock().unwrap().retain(|pid| *pid != self.child.id());
        let next = Self::start(&self.record, self.settings.clone());
        self.child = next.child;
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

// ---------------------------------------------------------------------------------------------------------------
// HTTP

/// Head of a message, and for requests and answers that are read whole also the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// An answer to a client.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub head: Message,
    pub body: Vec<u8>,
    /// Whether the body is complete by its length or its last chunk.
    pub is_complete: bool,
}

/// A connection with the bytes that have been read and not used yet.
pub struct Stream {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

fn is_timeout(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

impl Stream {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; returns false at the end of the stream.
    pub fn fill(&mut self, until: Instant) -> io::Result<bool> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "time is over"));
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut chunk = [0; 65_536];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read > 0)
    }

    /// Reads a head; `None` if the stream ends before its first byte.
    pub fn read_head(&mut self, until: Instant) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = self.buffer.drain(..end + 4).collect::<Vec<_>>();
                let text = String::from_utf8_lossy(&head).into_owned();
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|l| l.split_once(':'));
                let headers = headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())).collect();
                return Ok(Some(Message { first_line, headers, body: Vec::new() }));
            }
            if !self.fill(until)? {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "head broke off"));
            }
        }
    }

    fn read_exactly(&mut self, count: usize, until: Instant) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill(until)? {
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "body broke off"));
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_line(&mut self, until: Instant) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = self.buffer.drain(..end + 2).collect::<Vec<_>>();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill(until)? {
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "line broke off"));
            }
        }
    }

    pub fn read_chunked(&mut self, until: Instant) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line(until)?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, format!("chunk size {line:?}")))?;
            if size == 0 {
                while !self.read_line(until)?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.read_exactly(size, until)?);
            self.read_line(until)?;
        }
    }

    /// Reads a request's body by its head.
    pub fn read_request_body(&mut self, head: &Message, until: Instant) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            return self.read_chunked(until);
        }
        let length = head.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.read_exactly(length, until)
    }
}

/// A client's connection.
pub struct Client {
    pub stream: Stream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { stream: Stream::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?) })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.stream.write_all(bytes)
    }

    /// Reads one answer as an HTTP/1.1 client does: interim answers are skipped, except for 101, which ends HTTP on
    /// the connection.
    pub fn read_answer(&mut self, limit: Duration) -> io::Result<Answer> {
        let until = Instant::now() + limit;
        loop {
            let head = self.stream.read_head(until)?;
            let head =
                head.ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer"))?;
            let status = head.first_line.split(' ').nth(1).and_then(|s| s.parse::<u16>().ok());
            let Some(status) = status.filter(|_| head.first_line.starts_with("HTTP/1.")) else {
                let text = format!("no answer in the protocol: {:?}", head.first_line);
                return Err(io::Error::new(io::ErrorKind::InvalidData, text));
            };
            if (100..200).contains(&status) && status != 101 {
                continue;
            }
            let mut answer = Answer { status, is_complete: true, ..Answer::default() };
            if status != 101 && status != 204 && status != 304 {
                let read = if head.header("transfer-encoding").is_some() {
                    self.stream.read_chunked(until)
                } else if let Some(length) = head.header("content-length").and_then(|v| v.parse().ok()) {
                    self.stream.read_exactly(length, until)
                } else {
                    loop {
                        match self.stream.fill(until) {
                            Ok(true) => {}
                            Ok(false) => break Ok(std::mem::take(&mut self.stream.buffer)),
                            Err(e) => break Err(e),
                        }
                    }
                };
                match read {
                    Ok(body) => answer.body = body,
                    Err(e) if is_timeout(&e) => return Err(e),
                    Err(_) => answer.is_complete = false,
                }
            }
            answer.head = head;
            return Ok(answer);
        }
    }

    /// Returns what the peer does within `limit`: bytes that it sends, or the end of the connection.
    pub fn read_rest(&mut self, limit: Duration) -> (Vec<u8>, bool) {
        let until = Instant::now() + limit;
        loop {
            match self.stream.fill(until) {
                Ok(true) => {}
                Ok(false) => return (std::mem::take(&mut self.stream.buffer), true),
                Err(e) => return (std::mem::take(&mut self.stream.buffer), !is_timeout(&e)),
            }
        }
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a new attempt id.
pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Returns the head of a request.
pub fn request_head(method: &str, host: &str, path: &str, id: &str, deadline_ms: u64, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {id}\r\nX-Request-Deadline-Ms: {deadline_ms}\r\n{more}\r\n"
    )
}

// ---------------------------------------------------------------------------------------------------------------
// Store

/// How the store treats calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    /// Answers 503: nothing was done.
    Busy,
    /// Takes calls and never answers them.
    Silent,
}

#[derive(Clone)]
struct Change {
    table: String,
    key: String,
    ver: u64,
    value: Option<String>,
}

struct StoreState {
    ver: u64,
    /// Value in base64 and version by table and key.
    rows: BTreeMap<(String, String), (String, u64)>,
    history: Vec<Change>,
    mode: StoreMode,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
    started: Instant,
}

impl Store {
    pub fn start(record: &Record, ip: &str) -> Self {
        let listener =
            TcpListener::bind((ip, 0)).unwrap_or_else(|e| finish(record, NOT_RUN, &format!("store: {e}")));
        let state = StoreState { ver: 0, rows: BTreeMap::new(), history: Vec::new(), mode: StoreMode::Up };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr().unwrap(),
            started: Instant::now(),
        };
        store.accept(listener, Arc::default());
        store
    }

    /// Opens a further address of the store. It turns its callers away with 503 while the flag is set.
    pub fn open_entrance(&self, record: &Record, ip: &str) -> (SocketAddr, Arc<AtomicBool>) {
        let listener =
            TcpListener::bind((ip, 0)).unwrap_or_else(|e| finish(record, NOT_RUN, &format!("store: {e}")));
        let (address, refuses) = (listener.local_addr().unwrap(), Arc::<AtomicBool>::default());
        self.accept(listener, Arc::clone(&refuses));
        (address, refuses)
    }

    fn accept(&self, listener: TcpListener, refuses: Arc<AtomicBool>) {
        let shared = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, refuses) = (shared.clone(), Arc::clone(&refuses));
                thread::spawn(move || store.serve(Stream::new(stream), &refuses));
            }
        });
    }

    pub fn set_mode(&self, mode: StoreMode) {
        self.state.0.lock().unwrap().mode = mode;
        self.state.1.notify_all();
    }

    /// Writes a row, or removes it; returns its version. The return is the store's ack.
    pub fn write(&self, table: &str, key: &str, value: Option<&[u8]>) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        state.ver += 1;
        let ver = state.ver;
        put(&mut state, table, key, value.map(encode_base64), ver);
        self.state.1.notify_all();
        ver
    }

    fn serve(&self, mut stream: Stream, refuses: &AtomicBool) {
        let far = Duration::from_secs(3_600);
        while let Ok(Some(mut head)) = stream.read_head(Instant::now() + far) {
            let Ok(body) = stream.read_request_body(&head, Instant::now() + far) else { return };
            head.body = body;
            let (status, body) = self.answer(&head);
            let mode = self.state.0.lock().unwrap().mode;
            if mode == StoreMode::Silent {
                thread::sleep(far);
                return;
            }
            let is_refused = mode == StoreMode::Busy || refuses.load(Ordering::Relaxed);
            let (status, body) =
                if is_refused { ("503 Service Unavailable", String::new()) } else { (status, body) };
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let parameter = |name: &str| {
            query
                .split('&')
                .filter_map(|p| p.split_once('='))
                .find(|(n, _)| *n == name)
                .map(|(_, v)| v.to_owned())
        };
        let now_s = self.started.elapsed().as_secs_f64();
        let table = parameter("table").unwrap_or_default();
        match path {
            "/rows-get" => {
                let state = self.state.0.lock().unwrap();
                let from = parameter("from").unwrap_or_default();
                let rows = state.rows.iter().filter(|((t, k), _)| *t == table && *k >= from);
                let rows = rows.map(|((t, k), (v, ver))| row_json(t, k, Some(v), *ver)).collect::<Vec<_>>();
                let ver = state.ver;
                (
                    "200 OK",
                    format!(
                        "{{\"rows\":[{}],\"hasMore\":false,\"ver\":{ver},\"nowS\":{now_s}}}",
                        rows.join(",")
                    ),
                )
            }
            "/rows-feed" => {
                let after = parameter("after").and_then(|v| v.parse().ok()).unwrap_or(0u64);
                let wait = parameter("waitMs").and_then(|v| v.parse().ok()).unwrap_or(0u64);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut state = self.state.0.lock().unwrap();
                loop {
                    let rows = state.history.iter().filter(|c| c.table == table && c.ver > after);
                    let rows =
                        rows.map(|c| row_json(&c.table, &c.key, c.value.as_ref(), c.ver)).collect::<Vec<_>>();
                    let left = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() || state.mode != StoreMode::Up {
                        let ver = state.ver;
                        return (
                            "200 OK",
                            format!("{{\"rows\":[{}],\"ver\":{ver},\"nowS\":{now_s}}}", rows.join(",")),
                        );
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            "/rows-tx" => self.transact(&request.body, now_s),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn transact(&self, body: &[u8], now_s: f64) -> (&'static str, String) {
        let Some(call) = Json::parse(body) else { return ("400 Bad Request", "{}".to_owned()) };
        let mut state = self.state.0.lock().unwrap();
        if state.mode != StoreMode::Up {
            return ("503 Service Unavailable", String::new());
        }
        let key = |row: &Json| (row.text("table"), row.text("key"));
        for row in call.list("precondition") {
            let ver = state.rows.get(&key(row)).map_or(0, |(_, ver)| *ver);
            if ver != row.number("ver") {
                return (
                    "412 Precondition Failed",
                    format!("{{\"rows\":[],\"ver\":{},\"nowS\":{now_s}}}", state.ver),
                );
            }
        }
        state.ver += 1;
        let ver = state.ver;
        for row in call.list("putRows") {
            let (table, name) = key(row);
            put(&mut state, &table, &name, Some(row.text("value")), ver);
        }
        for row in call.list("remove") {
            let (table, name) = key(row);
            put(&mut state, &table, &name, None, ver);
        }
        self.state.1.notify_all();
        ("200 OK", format!("{{\"ver\":{ver},\"nowS\":{now_s}}}"))
    }
}

fn put(state: &mut StoreState, table: &str, key: &str, value: Option<String>, ver: u64) {
    let name = (table.to_owned(), key.to_owned());
    match &value {
        Some(value) => {
            state.rows.insert(name, (value.clone(), ver));
        }
        None => {
            state.rows.remove(&name);
        }
    }
    state.history.push(Change { table: table.to_owned(), key: key.to_owned(), ver, value });
}

fn row_json(table: &str, key: &str, value: Option<&String>, ver: u64) -> String {
    match value {
        Some(value) => {
            format!(
                "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{ver}}}"
            )
        }
        None => format!(
            "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"removed\":true,\"ver\":{ver}}}"
        ),
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let letter = ALPHABET[(n >> (18 - 6 * i) & 63) as usize] as char;
            text.push(if i <= chunk.len() { letter } else { '=' });
        }
    }
    text
}

/// JSON, as far as calls of the store need it.
enum Json {
    Object(Vec<(String, Json)>),
    List(Vec<Json>),
    Text(String),
    Number(f64),
    Other,
}

impl Json {
    fn parse(bytes: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?.chars().collect::<Vec<_>>();
        Self::value(&text, &mut 0)
    }

    fn value(t: &[char], i: &mut usize) -> Option<Self> {
        Self::skip(t, i);
        match *t.get(*i)? {
            '{' => {
                let mut fields = Vec::new();
                *i += 1;
                loop {
                    Self::skip(t, i);
                    match *t.get(*i)? {
                        '}' => break,
                        ',' => *i += 1,
                        _ => {
                            let Self::Text(name) = Self::value(t, i)? else { return None };
                            Self::skip(t, i);
                            *i += 1;
                            fields.push((name, Self::value(t, i)?));
                        }
                    }
                }
                *i += 1;
                Some(Self::Object(fields))
            }
            '[' => {
                let mut items = Vec::new();
                *i += 1;
                loop {
                    Self::skip(t, i);
                    match *t.get(*i)? {
                        ']' => break,
                        ',' => *i += 1,
                        _ => items.push(Self::value(t, i)?),
                    }
                }
                *i += 1;
                Some(Self::List(items))
            }
            '"' => {
                let mut text = String::new();
                *i += 1;
                while *t.get(*i)? != '"' {
                    if t[*i] == '\\' {
                        *i += 1;
                    }
                    text.push(*t.get(*i)?);
                    *i += 1;
                }
                *i += 1;
                Some(Self::Text(text))
            }
            _ => {
                let from = *i;
                while t.get(*i).is_some_and(|c| !",]} \n\r\t".contains(*c)) {
                    *i += 1;
                }
                let text = t[from..*i].iter().collect::<String>();
                Some(text.parse().map_or(Self::Other, Self::Number))
            }
        }
    }

    fn skip(t: &[char], i: &mut usize) {
        while t.get(*i).is_some_and(|c| c.is_whitespace()) {
            *i += 1;
        }
    }

    fn get(&self, name: &str) -> Option<&Self> {
        let Self::Object(fields) = self else { return None };
        fields.iter().find(|(n, _)| n == name).map(|(_, v)| v)
    }

    fn text(&self, name: &str) -> String {
        if let Some(Self::Text(text)) = self.get(name) { text.clone() } else { String::new() }
    }

    fn number(&self, name: &str) -> u64 {
        if let Some(Self::Number(number)) = self.get(name) { *number as u64 } else { 0 }
    }

    fn list(&self, name: &str) -> &[Self] {
        if let Some(Self::List(items)) = self.get(name) { items } else { &[] }
    }
}

// ---------------------------------------------------------------------------------------------------------------
// Manifest

/// A route of a manifest.
pub struct Route<'a> {
    pub host: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub timeout_s: f64,
    pub objective_s: f64,
    pub service: &'a str,
    pub max_attempts: u32,
}

/// Returns a manifest with the limits that the users' example has.
pub fn manifest(version: u32, routes: &[Route], services: &[&str]) -> Vec<u8> {
    let mut resources = Vec::new();
    for (number, route) in routes.iter().enumerate() {
        resources.push(format!(
            "{{\"resourceKind\":\"routes\",\"metadata\":{{\"name\":\"r-{number}\"}},\"spec\":{{\"host\":\"{}\",\"prefix\":\"{}\",\
             \"kind\":\"{}\",\"timeoutS\":{},\"objectiveS\":{},\"priority\":1,\"service\":\"{}\",\"maxAttempts\":{}}}}}",
            route.host, route.prefix, route.kind, route.timeout_s, route.objective_s, route.service, route.max_attempts
        ));
    }
    for service in services {
        resources.push(format!(
            "{{\"resourceKind\":\"services\",\"metadata\":{{\"name\":\"{service}\"}},\"spec\":{{\"healthPath\":\"/healthz\",\
             \"maxConns\":220,\"protocol\":\"h1\",\"tls\":false}}}}"
        ));
    }
    resources.push(
        "{\"resourceKind\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
         \"headerTimeoutS\":3,\"idleTimeoutS\":15}}"
            .to_owned(),
    );
    format!("{{\"version\":\"{version:08x}\",\"resources\":[{}]}}", resources.join(",")).into_bytes()
}

// ---------------------------------------------------------------------------------------------------------------
// Servers

/// A request that a server has begun to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub id: String,
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
    pub at: Duration,
    pub from: SocketAddr,
}

/// State of a server that its handler may use.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    pub born: u64,
    /// Requests that it has begun to work on.
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Ids of the requests whose heads have reached it, and when.
    pub arrivals: Arc<Mutex<Vec<(String, Duration)>>>,
    pub running: Arc<AtomicU32>,
    /// Callers' addresses on whose links to this server nothing passes, in either direction.
    pub cut_from: Arc<Mutex<Vec<IpAddr>>>,
    seq: Arc<AtomicU64>,
    record: Record,
}

/// What a server does with a request that it runs: it writes the answer, and returns whether the connection is kept.
pub type Handler = dyn Fn(&Server, &Message, &mut Stream) -> io::Result<bool> + Send + Sync;

impl Server {
    /// Starts a server. `handler` answers requests that are meant for it; it returns whether the connection is kept.
    pub fn start(
        record: &Record,
        id: &str,
        service: &str,
        ip: &str,
        handler: impl Fn(&Server, &Message, &mut Stream) -> io::Result<bool> + Send + Sync + 'static,
    ) -> Self {
        let listener =
            TcpListener::bind((ip, 0)).unwrap_or_else(|e| finish(record, NOT_RUN, &format!("server: {e}")));
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: "zone-a".to_owned(),
            slots: 6,
            address: listener.local_addr().unwrap(),
            born: since_epoch.as_millis() as u64,
            runs: Arc::default(),
            arrivals: Arc::default(),
            running: Arc::default(),
            cut_from: Arc::default(),
            seq: Arc::default(),
            record: record.clone(),
        };
        let handler: Arc<Handler> = Arc::new(handler);
        let shared = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, handler) = (shared.clone(), Arc::clone(&handler));
                thread::spawn(move || {
                    let _ended = server.serve(Stream::new(stream), &*handler);
                });
            }
        });
        server
    }

    /// Writes the server's entry, as it does with each ping.
    pub fn register(&self, store: &Store, state: &str) {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":{}}},\
             \"status\":{{\"state\":\"{state}\",\"seq\":{seq},\"warmupLeftS\":0}}}}",
            self.address, self.born, self.service, self.zone, self.slots
        );
        store.write("servers", &self.id, Some(entry.as_bytes()));
    }

    /// Waits while the link to the caller is cut. Returns whether the caller has kept the connection.
    fn wait_uncut(&self, stream: &Stream) -> bool {
        let Ok(from) = stream.stream.peer_addr() else { return false };
        let is_cut = || self.cut_from.lock().unwrap().contains(&from.ip());
        if !is_cut() {
            return true;
        }
        while is_cut() {
            thread::sleep(Duration::from_millis(5));
        }
        let _ = stream.stream.set_read_timeout(Some(Duration::from_millis(1)));
        !matches!(stream.stream.peek(&mut [0]), Ok(0))
    }

    /// Returns the header of load for an answer.
    pub fn load_header(&self) -> String {
        format!("X-Worker-Load: {},0,{},100\r\n", self.running.load(Ordering::Relaxed), self.slots)
    }

    fn serve(&self, mut stream: Stream, handler: &Handler) -> io::Result<()> {
        let from = stream.stream.peer_addr()?;
        let far = Duration::from_secs(3_600);
        while let Some(mut head) = stream.read_head(Instant::now() + far)? {
            if !self.wait_uncut(&stream) {
                return Ok(());
            }
            if head.path() == "/healthz" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Worker-Id: {}\r\n{}Content-Length: 0\r\n\r\n",
                    self.id,
                    self.load_header()
                );
                stream.stream.write_all(text.as_bytes())?;
                continue;
            }
            let id = head.header("x-attempt-id").unwrap_or("").to_owned();
            self.record.line(format!("{} {} id {id} reaches server {}", head.method(), head.path(), self.id));
            self.arrivals.lock().unwrap().push((id.clone(), self.record.now()));
            if head.header("x-expect-worker").is_some_and(|id| id != self.id) {
                let body = stream.read_request_body(&head, Instant::now() + far)?;
                drop(body);
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Worker-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                stream.stream.write_all(text.as_bytes())?;
                continue;
            }
            head.body = stream.read_request_body(&head, Instant::now() + far)?;
            self.record.line(format!("{} {} id {id} runs at server {}", head.method(), head.path(), self.id));
            self.runs.lock().unwrap().push(Run {
                server: self.id.clone(),
                id,
                method: head.method().to_owned(),
                path: head.path().to_owned(),
                body: head.body.clone(),
                at: self.record.now(),
                from,
            });
            self.running.fetch_add(1, Ordering::Relaxed);
            if !self.wait_uncut(&stream) {
                self.running.fetch_sub(1, Ordering::Relaxed);
                return Ok(());
            }
            let kept = handler(self, &head, &mut stream);
            self.running.fetch_sub(1, Ordering::Relaxed);
            if !kept? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Writes a complete answer with the server's proof.
    pub fn answer(
        &self,
        request: &Message,
        stream: &mut Stream,
        status: &str,
        more: &str,
        body: &[u8],
    ) -> io::Result<bool> {
        let id = request.header("x-attempt-id").unwrap_or("");
        let head = format!(
            "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: {}\r\n{}{more}Content-Length: {}\r\n\r\n",
            seal(body),
            self.load_header(),
            body.len()
        );
        stream.stream.write_all(head.as_bytes())?;
        stream.stream.write_all(body)?;
        Ok(true)
    }
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Makes the end of a connection a reset instead of an orderly close.
pub fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1, 0];
    // SAFETY: the descriptor is open, and `linger` has the layout of `struct linger`.
    let status = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
    assert_eq!(status, 0, "SO_LINGER can't be set");
}

/// Returns a proof that covers the body.
pub fn seal(body: &[u8]) -> String {
    let sum =
        body.iter().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3));
    format!("3e1b.07.{:x}.{sum:016x}", body.len())
}
