//! Stand-in of the users' workers: tells its load, seals its answers, and misbehaves in the ways that were met.
//!
//! It writes its answers byte by byte, since some of them are no HTTP.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// What a worker does with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WorkerMode {
    /// It runs them and answers.
    #[default]
    Serve,
    /// It refuses them with 503 and does not run them.
    Shed,
    /// It runs them and answers 500.
    Fail,
    /// It runs them and resets the connection.
    ResetConnection,
    /// It runs them and never answers.
    NoResponse,
    /// It runs them and sends half of the answer's body.
    Truncate,
    /// It runs them and answers without its seal.
    MissingSeal,
    /// It runs them and sends a second answer a moment after the first.
    DuplicateResponse,
    /// It runs them and ends the answer with the connection instead of a length.
    CloseDelimited,
    /// It is another worker at the same address.
    Misdirected,
}

/// One request that a worker ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerRequest {
    /// Head as it arrived, lower-cased names.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
    /// When it arrived.
    pub received_at: Instant,
    /// When work on it ended.
    pub ended_at: Option<Instant>,
}

impl WorkerRequest {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
    }
}

#[derive(Debug, Default)]
struct State {
    mode: WorkerMode,
    /// Time that a request takes.
    work: Duration,
    /// Times longer than usual, in percent.
    reported_pace_percent: u32,
    running: u32,
    runs: Vec<WorkerRequest>,
    refused: Vec<WorkerRequest>,
    probes: u64,
    /// Connections that their other end closed while a request was worked on.
    abandoned: u64,
}

/// A running worker; stops when dropped.
#[derive(Debug)]
pub struct WorkerStandIn {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

impl Drop for WorkerStandIn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl WorkerStandIn {
    /// Starts a worker with three slots on a port that the system chooses.
    ///
    /// # Errors
    ///
    /// The I/O error of binding.
    pub async fn start(id: &str) -> std::io::Result<Self> {
        Self::start_at(id, ([127, 0, 0, 1], 0).into()).await
    }

    /// Starts a worker with three slots at an address.
    ///
    /// # Errors
    ///
    /// The I/O error of binding.
    pub async fn start_at(id: &str, address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State { reported_pace_percent: 100, ..State::default() }));
        let (shared, own) = (Arc::clone(&state), id.to_owned());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (state, id) = (Arc::clone(&shared), own.clone());
                tokio::spawn(async move {
                    // A connection that breaks is what some modes are for.
                    let _broken = serve(stream, &state, &id).await;
                });
            }
        });
        Ok(Self { id: id.to_owned(), address, state, task })
    }

    /// Takes no more connections; those that are open go on.
    pub fn stop_accepting(&self) {
        self.task.abort();
    }

    /// Sets what it does with requests.
    pub fn set_mode(&self, mode: WorkerMode) {
        lock(&self.state).mode = mode;
    }

    /// Sets the time that a request takes.
    pub fn set_service_time(&self, work: Duration) {
        lock(&self.state).work = work;
    }

    /// Sets how much longer than usual work takes, 100 for not at all; only what it tells, not what it does.
    pub fn set_reported_pace_percent(&self, reported_pace_percent: u32) {
        lock(&self.state).reported_pace_percent = reported_pace_percent;
    }

    /// Returns the requests that it ran.
    pub fn executed_requests(&self) -> Vec<WorkerRequest> {
        lock(&self.state).runs.clone()
    }

    /// Returns the requests that it refused.
    pub fn refused_requests(&self) -> Vec<WorkerRequest> {
        lock(&self.state).refused.clone()
    }

    /// Returns the probes that it answered.
    pub fn probe_count(&self) -> u64 {
        lock(&self.state).probes
    }

    /// Returns how many requests were abandoned while it worked on them.
    pub fn abandoned_count(&self) -> u64 {
        lock(&self.state).abandoned
    }
}

async fn serve(mut stream: TcpStream, state: &Mutex<State>, id: &str) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(run) = read_request(&mut stream, &mut buffer).await? {
        let load = {
            let state = lock(state);
            format!(
                "X-Worker-Id: {id}\r\nX-Worker-Load: {},0,3,{}\r\n",
                state.running, state.reported_pace_percent
            )
        };
        if run.head.contains(" /healthz ") {
            lock(state).probes += 1;
            let answer = format!("HTTP/1.1 200 OK\r\n{load}Content-Length: 0\r\n\r\n");
            stream.write_all(answer.as_bytes()).await?;
            continue;
        }
        if !answer(&mut stream, state, &run, (id, &load)).await? {
            return Ok(());
        }
    }
    Ok(())
}

async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<WorkerRequest>> {
    let mut chunk = [0; 4_096];
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let (line, fields) = text.split_once("\r\n").unwrap_or((&text, ""));
            let lower = |l: &str| l.split_once(':').map(|(n, v)| format!("{}:{v}", n.to_ascii_lowercase()));
            let fields = fields.lines().filter_map(lower).collect::<Vec<_>>().join("\n");
            let head = format!("{line}\n{fields}");
            let run = WorkerRequest { head, body: Vec::new(), received_at: Instant::now(), ended_at: None };
            let length = run.header("content-length").and_then(|v| v.parse::<usize>().ok()).unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Ok(Some(WorkerRequest { body, ..run }));
            }
        }
        let read = stream.read(&mut chunk).await?;
        if read == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..read]);
    }
}

/// Answers one request; returns whether the connection goes on.
async fn answer(
    stream: &mut TcpStream,
    state: &Mutex<State>,
    run: &WorkerRequest,
    (id, load): (&str, &str),
) -> std::io::Result<bool> {
    let (mode, work) = {
        let state = lock(state);
        (state.mode, state.work)
    };
    let is_meant = run.header("x-expect-worker").is_none_or(|expected| expected == id);
    let refusal = match mode {
        _ if !is_meant => Some("421 Misdirected Request"),
        WorkerMode::Shed => Some("503 Service Unavailable\r\nX-Not-Executed: 1"),
        WorkerMode::Misdirected => Some("421 Misdirected Request"),
        _ => None,
    };
    if let Some(refusal) = refusal {
        lock(state).refused.push(run.clone());
        let answer = format!("HTTP/1.1 {refusal}\r\n{load}Content-Length: 0\r\n\r\n");
        stream.write_all(answer.as_bytes()).await?;
        return Ok(true);
    }
    let number = {
        let mut state = lock(state);
        state.runs.push(run.clone());
        state.running += 1;
        state.runs.len() - 1
    };
    let mut byte = [0];
    let left = tokio::select! {
        () = tokio::time::sleep(work) => false,
        read = stream.read(&mut byte) => matches!(read, Ok(0) | Err(_)),
    };
    {
        let mut state = lock(state);
        state.running -= 1;
        state.runs[number].ended_at = Some(Instant::now());
        state.abandoned += u64::from(left);
    }
    if left {
        return Ok(false);
    }
    write_answer(stream, mode, run, load).await
}

async fn write_answer(
    stream: &mut TcpStream,
    mode: WorkerMode,
    run: &WorkerRequest,
    load: &str,
) -> std::io::Result<bool> {
    let id = run.header("x-attempt-id").unwrap_or_default();
    let body = format!("body of {id}");
    let seal = if mode == WorkerMode::MissingSeal { "" } else { "X-Response-Seal: 3e1b.07\r\n" };
    let status = if mode == WorkerMode::Fail { "500 Internal Server Error" } else { "200 OK" };
    let head = format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\n{seal}{load}");
    let length = body.len();
    match mode {
        WorkerMode::ResetConnection => {
            stream.set_zero_linger()?;
            return Ok(false);
        }
        WorkerMode::NoResponse => {
            std::future::pending::<()>().await;
        }
        WorkerMode::Truncate => {
            let half = &body[..length / 2];
            stream.write_all(format!("{head}Content-Length: {length}\r\n\r\n{half}").as_bytes()).await?;
            return Ok(false);
        }
        WorkerMode::CloseDelimited => {
            stream.write_all(format!("{head}Connection: close\r\n\r\n{body}").as_bytes()).await?;
            return Ok(false);
        }
        _ => {
            let whole = format!("{head}Content-Length: {length}\r\n\r\n{body}");
            stream.write_all(whole.as_bytes()).await?;
            if mode == WorkerMode::DuplicateResponse {
                tokio::time::sleep(Duration::from_millis(5)).await;
                stream.write_all(whole.as_bytes()).await?;
            }
        }
    }
    Ok(true)
}
