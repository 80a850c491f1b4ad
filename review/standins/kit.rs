//! Small stand-ins for the cases of the review: the platform's store, workers, consumers, and the start of the
//! project's own program. Standard library only.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Signals used by the cases.
pub const SIGTERM: i32 = 15;

/// Time limit of a whole script, after which it gives up with exit code 2.
const WATCHDOG: Duration = Duration::from_secs(110);

/// The record of a run: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.4} {text}", self.started.elapsed().as_secs_f64());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Ends the run with exit code 2 if it takes too long.
pub fn start_watchdog(processes: Processes) {
    thread::spawn(move || {
        thread::sleep(WATCHDOG);
        eprintln!("the case took too long");
        processes.end_all();
        std::process::exit(2);
    });
}

/// Ports below those that the system gives to outgoing connections, so that none of these takes one meanwhile.
const FIRST_PORT: u64 = 20_000;
const PORTS: u64 = 12_000;

/// Returns a free loopback port.
pub fn free_address() -> SocketAddr {
    static TAKEN: AtomicU64 = AtomicU64::new(0);
    let start = u64::from(std::process::id()).wrapping_mul(97);
    loop {
        let port = FIRST_PORT + (start + TAKEN.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------- HTTP/1.1

/// A request as a server reads it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=').map(str::to_owned))
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_chunked(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        let mut end = String::new();
        reader.read_line(&mut end)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let mut body = Vec::new();
    if let Some(length) = header(&headers, "content-length").and_then(|v| v.parse::<usize>().ok()) {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if header(&headers, "transfer-encoding").is_some() {
        read_chunked(reader, &mut body)?;
    }
    Ok(Some(Request { method, target, headers, body }))
}

/// What a consumer sees of one request.
#[derive(Clone, Debug)]
pub enum Seen {
    /// A complete answer.
    Answer { status: u16, headers: Vec<(String, String)>, body: Vec<u8> },
    /// No connection, so nothing was sent.
    NotConnected,
    /// The connection ended, or broke, without a complete answer after the request was sent.
    Closed { bytes: usize },
    /// The consumer gave up waiting. Holds the status if a head had come, and how many bytes had come in all.
    GaveUp { status: Option<u16>, bytes: usize },
}

impl Seen {
    pub fn status(&self) -> Option<u16> {
        if let Self::Answer { status, .. } = self { Some(*status) } else { None }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        if let Self::Answer { headers, .. } = self { header(headers, name) } else { None }
    }
}

/// Sends one request on a new connection, as a consumer, and waits for its answer for `patience`. Calls `on_sent`
/// when the last byte of the request has been written.
pub fn send(address: SocketAddr, head_and_body: &[u8], patience: Duration, on_sent: impl FnOnce()) -> Seen {
    let until = Instant::now() + patience;
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Seen::NotConnected;
    };
    let _ = stream.set_nodelay(true);
    if stream.write_all(head_and_body).is_err() {
        return Seen::Closed { bytes: 0 };
    }
    on_sent();
    let mut bytes = Vec::new();
    let mut total = 0;
    let mut head: Option<(u16, Vec<(String, String)>, usize)> = None;
    let mut chunk = vec![0; 64 << 10];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Seen::GaveUp { status: head.map(|h| h.0), bytes: total };
        }
        let _ = stream.set_read_timeout(Some(left));
        let read = match stream.read(&mut chunk) {
            Ok(0) => return Seen::Closed { bytes: total },
            Ok(n) => n,
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => continue,
            Err(_) => return Seen::Closed { bytes: total },
        };
        total += read;
        if bytes.len() < 1 << 20 {
            bytes.extend_from_slice(&chunk[..read]);
        }
        if head.is_none()
            && let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n")
        {
            let mut reader = BufReader::new(&bytes[..end + 4]);
            if let Ok(Some((first, headers))) = read_head(&mut reader) {
                let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
                head = Some((status, headers, end + 4));
            }
        }
        let Some((status, headers, start)) = &head else { continue };
        if let Some(length) = header(headers, "content-length").and_then(|v| v.parse::<usize>().ok()) {
            if total >= start + length {
                let body = bytes[*start..(start + length).min(bytes.len())].to_vec();
                return Seen::Answer { status: *status, headers: headers.clone(), body };
            }
        } else if header(headers, "transfer-encoding").is_some() {
            let mut body = Vec::new();
            if read_chunked(&mut BufReader::new(&bytes[*start..]), &mut body).is_ok() {
                return Seen::Answer { status: *status, headers: headers.clone(), body };
            }
        }
    }
}

/// Accepts connections and serves each in a thread of its own.
pub fn serve(listener: TcpListener, handler: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || handler(stream));
        }
    });
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Row {
    value: Option<String>,
    ver: u64,
}

#[derive(Clone, Default)]
struct Tables {
    ver: u64,
    rows: BTreeMap<(String, String), Row>,
    /// Rises each time the store comes back from an older copy.
    era: u64,
    /// While set, the store answers nothing but 503.
    is_away: bool,
}

/// A copy of the store's content.
#[derive(Clone)]
pub struct StoreCopy(Tables);

/// The platform's store: tables of rows, linearizable, with a feed of changes.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    tables: Arc<(Mutex<Tables>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("the store's port");
        let address = listener.local_addr().expect("an address");
        let store = Self { address, tables: Arc::default() };
        let shared = store.clone();
        serve(listener, move |stream| {
            let _ended = shared.serve_connection(stream, &AtomicBool::new(false));
        });
        store
    }

    /// Returns a copy of the content.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.tables.0.lock().unwrap().clone())
    }

    /// Makes the store go away.
    pub fn go_away(&self) {
        let (tables, changed) = &*self.tables;
        tables.lock().unwrap().is_away = true;
        changed.notify_all();
    }

    /// Makes the store come back from a copy: what was written since is gone, and its versions are given out again.
    pub fn come_back(&self, copy: StoreCopy) {
        let (tables, changed) = &*self.tables;
        let mut tables = tables.lock().unwrap();
        let era = tables.era + 1;
        *tables = Tables { era, is_away: false, ..copy.0 };
        changed.notify_all();
    }

    /// Opens another address of the store. While the returned flag is set, it answers each call there with 503.
    pub fn open_refusable(&self) -> (SocketAddr, Arc<AtomicBool>) {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("the store's port");
        let address = listener.local_addr().expect("an address");
        let refuses = Arc::new(AtomicBool::new(false));
        let (shared, flag) = (self.clone(), Arc::clone(&refuses));
        serve(listener, move |stream| {
            let _ended = shared.serve_connection(stream, &flag);
        });
        (address, refuses)
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (tables, changed) = &*self.tables;
        let mut tables = tables.lock().unwrap();
        tables.ver += 1;
        let row = Row { value: Some(base64(value.as_bytes())), ver: tables.ver };
        tables.rows.insert((table.to_owned(), key.to_owned()), row);
        changed.notify_all();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let (tables, changed) = &*self.tables;
        let mut tables = tables.lock().unwrap();
        tables.ver += 1;
        let row = Row { value: None, ver: tables.ver };
        tables.rows.insert((table.to_owned(), key.to_owned()), row);
        changed.notify_all();
    }

    fn serve_connection(&self, stream: TcpStream, refuses: &AtomicBool) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            let path = request.target.split('?').next().unwrap_or("").to_owned();
            let (status, body) = match path.as_str() {
                _ if refuses.load(Ordering::Relaxed) || self.tables.0.lock().unwrap().is_away => {
                    (503, "{}".to_owned())
                }
                "/rows-get" => (200, self.rows(&request, 0, false)),
                "/rows-feed" => self.feed(&request),
                "/rows-tx" => self.transaction(&request),
                _ => (404, "{}".to_owned()),
            };
            let (era, is_away) = {
                let tables = self.tables.0.lock().unwrap();
                (tables.era, tables.is_away)
            };
            // It may have begun to refuse while it waited for changes.
            let is_refused = (refuses.load(Ordering::Relaxed) || is_away) && path != "/rows-tx";
            let (status, body) = if is_refused { (503, "{}".to_owned()) } else { (status, body) };
            let reason = if status == 200 { "OK" } else { "Error" };
            let head = format!(
                "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n"
            );
            let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
            writer.write_all(text.as_bytes())?;
        }
        Ok(())
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let after = request.query("after").and_then(|v| v.parse().ok()).unwrap_or(0);
        let wait = request.query("waitMs").and_then(|v| v.parse().ok()).unwrap_or(0);
        let table = request.query("table").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait);
        let (tables, changed) = &*self.tables;
        let mut locked = tables.lock().unwrap();
        loop {
            let has_change = locked.rows.iter().any(|((t, _), row)| *t == table && row.ver > after);
            let left = until.saturating_duration_since(Instant::now());
            if locked.ver < after {
                return (410, "{}".to_owned());
            }
            if has_change || locked.is_away || left.is_zero() {
                break;
            }
            locked = changed.wait_timeout(locked, left).unwrap().0;
        }
        drop(locked);
        (200, self.rows(request, after, true))
    }

    fn rows(&self, request: &Request, after: u64, with_removed: bool) -> String {
        let table = request.query("table").unwrap_or_default();
        let tables = self.tables.0.lock().unwrap();
        let mut rows =
            tables.rows.iter().filter(|((t, _), row)| *t == table && row.ver > after).collect::<Vec<_>>();
        if with_removed {
            rows.sort_by_key(|(_, row)| row.ver);
        }
        let rows = rows.into_iter().filter_map(|((_, key), row)| match &row.value {
            Some(value) => Some(format!(
                r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{}}}"#,
                row.ver
            )),
            None if with_removed => Some(format!(
                r#"{{"table":"{table}","part":"","key":"{key}","removed":true,"ver":{}}}"#,
                row.ver
            )),
            None => None,
        });
        let rows = rows.collect::<Vec<_>>().join(",");
        format!(r#"{{"rows":[{rows}],"ver":{},"nowS":1.0,"hasMore":false}}"#, tables.ver)
    }

    fn transaction(&self, request: &Request) -> (u16, String) {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let section = |name: &str| {
            let start = text.find(&format!("\"{name}\":["))? + name.len() + 4;
            Some(text[start..start + text[start..].find(']')?].to_owned())
        };
        let objects = |name: &str| {
            let section = section(name).unwrap_or_default();
            section.split('}').filter(|o| o.contains('{')).map(str::to_owned).collect::<Vec<_>>()
        };
        let field = |object: &str, name: &str| {
            let start = object.find(&format!("\"{name}\":"))? + name.len() + 3;
            let rest = &object[start..];
            let end = rest.find(',').unwrap_or(rest.len());
            Some(rest[..end].trim_matches('"').to_owned())
        };
        let key_of = |object: &str| {
            (field(object, "table").unwrap_or_default(), field(object, "key").unwrap_or_default())
        };
        let (tables, changed) = &*self.tables;
        let mut tables = tables.lock().unwrap();
        let holds = objects("precondition").iter().all(|object| {
            let ver = field(object, "ver").and_then(|v| v.parse().ok()).unwrap_or(0_u64);
            let known = tables.rows.get(&key_of(object)).filter(|row| row.value.is_some());
            known.map_or(0, |row| row.ver) == ver
        });
        if !holds {
            return (412, format!(r#"{{"rows":[],"ver":{},"nowS":1.0}}"#, tables.ver));
        }
        tables.ver += 1;
        let ver = tables.ver;
        for object in objects("putRows") {
            tables.rows.insert(key_of(&object), Row { value: field(&object, "value"), ver });
        }
        for object in objects("remove") {
            tables.rows.insert(key_of(&object), Row { value: None, ver });
        }
        changed.notify_all();
        (200, format!(r#"{{"ver":{ver},"nowS":1.0}}"#))
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let n = (u32::from(group[0]) << 16)
            | (u32::from(*group.get(1).unwrap_or(&0)) << 8)
            | u32::from(*group.get(2).unwrap_or(&0));
        for i in 0..4 {
            let is_padding = i > group.len();
            let letter = LETTERS[(n >> (18 - 6 * i)) as usize & 63] as char;
            text.push(if is_padding { '=' } else { letter });
        }
    }
    text
}

/// Host of all routes.
pub const HOST: &str = "nony93.example";

/// One route of a manifest.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_s: f64,
    pub objective_s: f64,
    pub max_attempts: u32,
}

/// Writes a manifest to the store, as the operator does.
pub fn put_manifest(store: &Store, version: u32, routes: &[Route]) {
    let mut resources = Vec::new();
    let mut services = Vec::new();
    for (i, route) in routes.iter().enumerate() {
        let Route { prefix, kind, service, timeout_s, objective_s, max_attempts } = route;
        resources.push(format!(
            r#"{{"resourceKind":"routes","metadata":{{"name":"r{i}"}},"spec":{{"host":"{HOST}","prefix":"{prefix}","kind":"{kind}","service":"{service}","timeoutS":{timeout_s:?},"objectiveS":{objective_s:?},"priority":1,"maxAttempts":{max_attempts}}}}}"#
        ));
        if !services.contains(service) {
            services.push(service);
        }
    }
    for service in services {
        resources.push(format!(
            r#"{{"resourceKind":"services","metadata":{{"name":"{service}"}},"spec":{{"healthPath":"/healthz","maxConns":220}}}}"#
        ));
    }
    resources.push(
        r#"{"resourceKind":"limits","metadata":{"name":"limits"},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3.0,"idleTimeoutS":15.0}}"#
            .to_owned(),
    );
    let manifest = format!(r#"{{"version":"{version:08x}","resources":[{}]}}"#, resources.join(","));
    store.put("op", "config", &manifest);
}

/// Writes a worker's entry to the store, as the worker does.
pub fn put_entry(
    store: &Store,
    id: &str,
    address: SocketAddr,
    service: &str,
    slots: u32,
    state: &str,
    seq: u64,
) {
    store.put(
        "servers",
        id,
        &format!(
            r#"{{"address":"{address}","info":{{"service":"{service}","zone":"ost-c","version":"1","slots":{slots}}},"status":{{"state":"{state}","warmupLeftS":0.0,"seq":{seq}}},"born":1767226000000}}"#
        ),
    );
}

// ---------------------------------------------------------------- the project's own program

/// Processes that this run has started.
#[derive(Clone, Default)]
pub struct Processes(Arc<Mutex<Vec<Child>>>);

impl Processes {
    pub fn end_all(&self) {
        for child in self.0.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Settings that the gateways of a case share.
pub struct Deployment {
    pub root: PathBuf,
    pub dir: PathBuf,
    pub store: SocketAddr,
    pub grace_s: f64,
    pub processes: Processes,
    pub record: Record,
}

/// One gateway with its addresses; it can be started more than once.
#[derive(Clone)]
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub peers: SocketAddr,
    pub forward: SocketAddr,
}

impl Gateway {
    pub fn new(name: &str) -> Self {
        let [callers, ready, metrics, peers, forward] = std::array::from_fn(|_| free_address());
        Self { name: name.to_owned(), callers, ready, metrics, peers, forward }
    }

    /// Starts the process with the command of the deploy file, and returns its id.
    pub fn start(&self, deployment: &Deployment, seeds: &[SocketAddr], is_first_start: bool) -> u32 {
        self.start_with_store(deployment, deployment.store, seeds, is_first_start)
    }

    /// Starts the process with an address of the store of its own.
    pub fn start_with_store(
        &self,
        deployment: &Deployment,
        store: SocketAddr,
        seeds: &[SocketAddr],
        is_first_start: bool,
    ) -> u32 {
        let Self { name, callers, ready, metrics, peers, forward } = self;
        let seeds = seeds.iter().map(|s| format!("\"{s}\"")).collect::<Vec<_>>().join(",");
        let Deployment { root, dir, grace_s, processes, record, .. } = deployment;
        let settings = format!(
            r#"{{"instance":"{name}","data_centre":"ost-c","callers_address":"{callers}","ready_address":"{ready}","metrics_address":"{metrics}","peers_address":"{peers}","forward_address":"{forward}","peer_seeds":[{seeds}],"first_start":{is_first_start},"place":"stadtwerke","store_address":"{store}","grace_s":{grace_s:?},"target_heartbeat_s":1.5,"repeat_ratio":0.2,"repeat_window_s":10,"repeat_extra":56,"probes_per_target_per_s":60}}"#
        );
        let file = dir.join(format!("{name}.json"));
        std::fs::write(&file, settings).expect("the settings can be written");
        let log =
            File::options().create(true).append(true).open(dir.join(format!("{name}.log"))).expect("a log");
        let child = Command::new(root.join("target/release/arbutusshelf"))
            .args(["gateway", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log)
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(e) => {
                eprintln!("the gateway can't be started: {e}");
                processes.end_all();
                std::process::exit(2);
            }
        };
        let id = child.id();
        record.line(&format!("gateway {name} starts, process {id}"));
        // For run.sh, which ends what is left if this run is ended from outside.
        let pids = File::options().create(true).append(true).open(dir.join("pids"));
        let _ = pids.and_then(|mut pids| writeln!(pids, "{id}"));
        processes.0.lock().unwrap().push(child);
        id
    }

    /// Asks for readiness as the platform does.
    pub fn is_ready(&self) -> bool {
        let request = format!("GET /ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        send(self.ready, request.as_bytes(), Duration::from_millis(900), || {}).status() == Some(200)
    }

    /// Waits until it is ready; ends the run with exit code 2 if it never is.
    pub fn wait_ready(&self, deployment: &Deployment) {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.is_ready() {
            if Instant::now() > until {
                eprintln!("gateway {} is not ready", self.name);
                deployment.processes.end_all();
                std::process::exit(2);
            }
            sleep_ms(50);
        }
    }
}

/// Sends a signal to a process that this run has started.
pub fn signal(id: u32, number: i32) {
    // The process is a child of this run that has not been waited for, so the id is not in use by another one.
    unsafe { kill(id as i32, number) };
}

/// Returns whether a process has ended.
pub fn has_ended(processes: &Processes, id: u32) -> bool {
    let mut processes = processes.0.lock().unwrap();
    let child = processes.iter_mut().find(|child| child.id() == id);
    child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
}

/// Makes the ids of consumer attempts.
#[derive(Default)]
pub struct Ids(AtomicU64);

impl Ids {
    pub fn next(&self) -> String {
        format!("{:016x}", 0x9c41_0000_0000_0000 + self.0.fetch_add(1, Ordering::Relaxed))
    }
}

/// Sets up a run from the arguments RECORD, DIRECTORY and ROOT; returns its deployment and whether the disruption is
/// wanted.
pub fn set_up(store: SocketAddr, grace_s: f64) -> (Deployment, bool) {
    let arguments = std::env::args().collect::<Vec<_>>();
    let [_, record, dir, root] = arguments.as_slice() else {
        eprintln!("usage: CASE RECORD DIRECTORY ROOT");
        std::process::exit(2);
    };
    let record = Record::create(Path::new(record));
    let processes = Processes::default();
    start_watchdog(processes.clone());
    let started = processes.clone();
    std::panic::set_hook(Box::new(move |panic| {
        eprintln!("{panic}");
        started.end_all();
        std::process::exit(2);
    }));
    let is_troubled = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    record.line(&format!("disruption: {is_troubled}"));
    let (root, dir) = (PathBuf::from(root), PathBuf::from(dir));
    (Deployment { root, dir, store, grace_s, processes, record }, is_troubled)
}

/// Ends the run: 1 if the rule was broken, 0 if it held.
pub fn finish(deployment: &Deployment, broken: bool) -> ! {
    deployment.processes.end_all();
    deployment.record.say(if broken { "rule BROKEN" } else { "rule held" });
    std::process::exit(i32::from(broken))
}
