//! Stand-in of the users' workers, the targets of the gateway mode: reports its load, adds a seal header to
//! its responses and reproduces faults that real workers have shown.
//!
//! It writes responses to the socket itself instead of using an HTTP library, since some of them are not
//! valid HTTP.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

use crate::caller_cuts::CallerCuts;

/// Header line by which a response states that it is the worker's own.
const SEAL: &str = "X-Response-Seal: 3e1b.07\r\n";

/// How a worker handles requests; health probes are answered with 200 unless a mode says otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WorkerMode {
    /// Executes them and responds with 200.
    #[default]
    Serve,
    /// Refuses them with 503 and the header that states that they were not executed.
    Shed,
    /// Executes them and responds with 500.
    Fail,
    /// Executes them and responds with 404, as an application that doesn't know the path does.
    NotFound,
    /// Executes them and resets the connection instead of responding.
    ResetConnection,
    /// Executes them and never responds; the connection stays open.
    NoResponse,
    /// Executes them, sends half of the response body and closes the connection.
    Truncate,
    /// Executes them and responds without the seal header.
    MissingSeal,
    /// Executes them and sends the response again 5 ms after the first one.
    DuplicateResponse,
    /// Executes them and marks the end of the response by closing the connection, without a length.
    CloseDelimited,
    /// Refuses them with 421, as another worker that took over the address does.
    Misdirected,
    /// Refuses the first request on each connection. Sends that refusal once more when the next request has arrived,
    /// and executes that one. Closes a connection on which a health probe comes first.
    RepeatRefusal {
        /// Whether the refusals state the identifier of the request that was refused.
        with_id: bool,
    },
    /// Answers health probes with 503. Sends that answer once more when the next request has arrived on the
    /// connection, and executes that one.
    RepeatProbe,
    /// Executes them and closes the connection after that many bytes of the response's head.
    CutHead(usize),
    /// Executes them and responds as stated.
    Respond(StatedResponse),
}

/// How the end of a response's body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// By a length in the head.
    Length,
    /// By the last chunk.
    Chunks,
    /// By closing the connection.
    Close,
}

/// A response to an executed request that another status than 200 may begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedResponse {
    /// Status, written with three digits; it may be none that HTTP knows.
    pub status: u16,
    /// Whether it bears the seal.
    pub has_seal: bool,
    /// Length of its body.
    pub body_bytes: usize,
    /// How the end of its body is marked.
    pub end: BodyEnd,
}

impl StatedResponse {
    /// Returns responses with each of the statuses and lengths, with the seal and without, and with all ends of bodies.
    pub fn all_forms(statuses: &[u16], body_lengths_bytes: &[usize]) -> Vec<Self> {
        let mut forms = Vec::new();
        for &status in statuses {
            for has_seal in [false, true] {
                for &body_bytes in body_lengths_bytes {
                    for end in [BodyEnd::Length, BodyEnd::Chunks, BodyEnd::Close] {
                        forms.push(Self { status, has_seal, body_bytes, end });
                    }
                }
            }
        }
        forms
    }

    /// Writes the response after a head's fields `headers`; returns whether the connection stays open.
    async fn write(self, stream: &mut TcpStream, headers: &str) -> std::io::Result<bool> {
        let Self { status, has_seal, body_bytes, end } = self;
        let seal = if has_seal { SEAL } else { "" };
        let framing = match end {
            BodyEnd::Length => format!("Content-Length: {body_bytes}\r\n"),
            BodyEnd::Chunks => "Transfer-Encoding: chunked\r\n".to_owned(),
            BodyEnd::Close => "Connection: close\r\n".to_owned(),
        };
        let head = format!("HTTP/1.1 {status:03} Stated\r\n{headers}{seal}{framing}\r\n");
        let body = "x".repeat(body_bytes);
        let body =
            if end == BodyEnd::Chunks { format!("{body_bytes:x}\r\n{body}\r\n0\r\n\r\n") } else { body };
        stream.write_all((head + &body).as_bytes()).await?;
        Ok(end != BodyEnd::Close)
    }
}

/// One request that a worker received, whether it executed or refused it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerRequest {
    /// Request line and header fields, one a line, with lower-case field names.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
    /// When it was completely received.
    pub received_at: Instant,
    /// When its execution ended; absent while it is executed and if it was refused.
    pub ended_at: Option<Instant>,
}

impl WorkerRequest {
    /// Returns the value of a header field by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
    }
}

#[derive(Debug, Default)]
struct State {
    mode: WorkerMode,
    /// Time that the execution of a request takes.
    service_time: Duration,
    /// Service time that load reports state, as a percentage of the usual one.
    reported_pace_percent: u32,
    /// Value of the header by which all responses state that it leaves.
    leaving: Option<String>,
    /// Value of `Retry-After` in its refusals with 503 and in the responses of [`WorkerMode::Respond`].
    retry_after: Option<String>,
    /// Callers that it is cut off from.
    caller_cuts: CallerCuts,
    /// Requests per second that responses state as the limit for all instances together.
    rate_limit_per_s: Option<f64>,
    /// Part of the request line by which requests end the process.
    fatal_marker: Option<String>,
    /// Time between the end of the connection of such a request and that of the process.
    end_delay: Duration,
    running: u32,
    executed: Vec<WorkerRequest>,
    refused: Vec<WorkerRequest>,
    /// Times of the health probes that it answered.
    probes: Vec<Instant>,
    /// Number of requests whose connection was closed by the client during their execution.
    abandoned_count: u64,
}

/// A running worker; stops accepting connections when dropped.
#[derive(Debug)]
pub struct WorkerStandIn {
    /// Id that its load reports state and that requests expect.
    pub id: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Whether the process has ended.
    ended: watch::Sender<bool>,
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
    /// Starts a worker on a loopback port that the system chooses; it reports three slots.
    ///
    /// # Errors
    ///
    /// The I/O error of binding the address.
    pub async fn start(id: &str) -> std::io::Result<Self> {
        Self::start_at(id, ([127, 0, 0, 1], 0).into()).await
    }

    /// Starts a worker at an address; it reports three slots.
    ///
    /// # Errors
    ///
    /// The I/O error of binding the address.
    pub async fn start_at(id: &str, address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State { reported_pace_percent: 100, ..State::default() }));
        let ended = watch::Sender::new(false);
        let (shared, own, end) = (Arc::clone(&state), id.to_owned(), ended.clone());
        let task = tokio::spawn(async move {
            let accept = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let (state, id, end) = (Arc::clone(&shared), own.clone(), end.clone());
                    tokio::spawn(async move {
                        tokio::select! {
                            // Some modes break the connection on purpose.
                            _broken = serve(stream, &state, &id, &end) => {}
                            () = wait_for_end(&end) => {}
                        }
                    });
                }
            };
            tokio::select! {
                () = accept => {}
                () = wait_for_end(&end) => {}
            }
        });
        Ok(Self { id: id.to_owned(), address, state, ended, task })
    }

    /// Makes requests whose line contains `marker` end the process once they are executed, as a crash does: all
    /// connections are closed, and nothing listens any more.
    pub fn set_fatal_marker(&self, marker: &str) {
        lock(&self.state).fatal_marker = Some(marker.to_owned());
    }

    /// Sets the time between the end of the connection of a fatal request and that of the process.
    pub fn set_end_delay(&self, end_delay: Duration) {
        lock(&self.state).end_delay = end_delay;
    }

    /// Ends the process as a crash does.
    pub fn end(&self) {
        self.ended.send_replace(true);
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// Sets the value of the header by which all its responses state that it leaves; `None` for no such header.
    pub fn set_leaving(&self, value: Option<&str>) {
        lock(&self.state).leaving = value.map(str::to_owned);
    }

    /// Sets the value of `Retry-After` in its refusals with 503 and in the responses of [`WorkerMode::Respond`]; `None`
    /// for no such header.
    pub fn set_retry_after(&self, value: Option<&str>) {
        lock(&self.state).retry_after = value.map(str::to_owned);
    }

    /// Sets the callers that it is cut off from.
    pub fn set_caller_cuts(&self, caller_cuts: &CallerCuts) {
        lock(&self.state).caller_cuts = caller_cuts.clone();
    }

    /// Stops accepting connections; open ones stay in use.
    pub fn stop_accepting(&self) {
        self.task.abort();
    }

    /// Sets how it handles requests from now on.
    pub fn set_mode(&self, mode: WorkerMode) {
        lock(&self.state).mode = mode;
    }

    /// Sets how long the execution of a request takes.
    pub fn set_service_time(&self, service_time: Duration) {
        lock(&self.state).service_time = service_time;
    }

    /// Sets the service time that load reports state, as a percentage of the usual one; the real service time
    /// stays.
    pub fn set_reported_pace_percent(&self, reported_pace_percent: u32) {
        lock(&self.state).reported_pace_percent = reported_pace_percent;
    }

    /// Returns the requests per second that its responses state as the limit for all instances together.
    pub fn rate_limit_per_s(&self) -> Option<f64> {
        lock(&self.state).rate_limit_per_s
    }

    /// Sets the requests per second that its responses state as the limit for all instances together.
    pub fn set_rate_limit_per_s(&self, rate_limit_per_s: Option<f64>) {
        lock(&self.state).rate_limit_per_s = rate_limit_per_s;
    }

    /// Returns the requests that it executed, including those still being executed, in order of arrival.
    pub fn executed_requests(&self) -> Vec<WorkerRequest> {
        lock(&self.state).executed.clone()
    }

    /// Returns the requests that it refused, in order of arrival.
    pub fn refused_requests(&self) -> Vec<WorkerRequest> {
        lock(&self.state).refused.clone()
    }

    /// Returns the number of health probes that it answered.
    pub fn probe_count(&self) -> usize {
        lock(&self.state).probes.len()
    }

    /// Returns the times at which requests and probes arrived, in order.
    pub fn arrival_times(&self) -> Vec<Instant> {
        let state = lock(&self.state);
        let requests = state.executed.iter().chain(&state.refused).map(|request| request.received_at);
        let mut times = requests.chain(state.probes.iter().copied()).collect::<Vec<_>>();
        times.sort_unstable();
        times
    }

    /// Returns the number of requests whose connection the client closed during their execution.
    pub fn abandoned_count(&self) -> u64 {
        lock(&self.state).abandoned_count
    }
}

async fn wait_for_end(ended: &watch::Sender<bool>) {
    let mut ended = ended.subscribe();
    // The sender lives as long as the borrow, so waiting can't fail.
    let _closed = ended.wait_for(|ended| *ended).await;
}

async fn serve(
    mut stream: TcpStream,
    state: &Mutex<State>,
    id: &str,
    ended: &watch::Sender<bool>,
) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    let mut last_refusal = None;
    let mut last_probe = None;
    let caller_cuts = lock(state).caller_cuts.clone();
    if !caller_cuts.admit(&stream).await {
        return Ok(());
    }
    while let Some(request) = read_request(&mut stream, &mut buffer).await? {
        caller_cuts.pass(&stream).await?;
        let load_headers = {
            let state = lock(state);
            let rate_limit = state.rate_limit_per_s.map(|limit| format!("Server-Limit: {limit}\r\n"));
            let leaving = state.leaving.as_ref().map(|value| format!("Server-Leaving: {value}\r\n"));
            format!(
                "X-Worker-Id: {id}\r\nX-Worker-Load: {},0,3,{}\r\n{}{}",
                state.running,
                state.reported_pace_percent,
                rate_limit.unwrap_or_default(),
                leaving.unwrap_or_default()
            )
        };
        if request.head.contains(" /healthz ") {
            lock(state).probes.push(Instant::now());
            let mode = lock(state).mode;
            let repeats = mode == WorkerMode::RepeatProbe;
            let status = if repeats { "503 Service Unavailable" } else { "200 OK" };
            let closes = matches!(mode, WorkerMode::RepeatRefusal { .. }) && last_refusal.is_none();
            let connection = if closes { "Connection: close\r\n" } else { "" };
            let response =
                format!("HTTP/1.1 {status}\r\n{load_headers}{connection}Content-Length: 0\r\n\r\n");
            stream.write_all(response.as_bytes()).await?;
            if closes {
                return Ok(());
            }
            last_probe = repeats.then_some(response);
            continue;
        }
        if let Some(probe) = last_probe.take() {
            stream.write_all(probe.as_bytes()).await?;
        }
        let mode = lock(state).mode;
        if let WorkerMode::RepeatRefusal { with_id } = mode {
            if let Some(refusal) = last_refusal.take() {
                stream.write_all(Vec::as_slice(&refusal)).await?;
            } else {
                let refusal =
                    refusal(&request, "503 Service Unavailable\r\nX-Not-Executed: 1", &load_headers, with_id);
                lock(state).refused.push(request);
                stream.write_all(&refusal).await?;
                last_refusal = Some(refusal);
                continue;
            }
        }
        let is_fatal = {
            let state = lock(state);
            let line = request.head.lines().next().unwrap_or_default();
            state.fatal_marker.as_ref().is_some_and(|marker| line.contains(marker))
        };
        if !handle(&mut stream, state, &request, (id, &load_headers), is_fatal).await? {
            return Ok(());
        }
        if is_fatal {
            drop(stream);
            let end_delay = lock(state).end_delay;
            tokio::time::sleep(end_delay).await;
            ended.send_replace(true);
            return Ok(());
        }
    }
    Ok(())
}

/// Reads the next request; returns `None` if the client closed the connection.
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
            let request =
                WorkerRequest { head, body: Vec::new(), received_at: Instant::now(), ended_at: None };
            let length = request.header("content-length").and_then(|v| v.parse::<usize>().ok()).unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Ok(Some(WorkerRequest { body, ..request }));
            }
        }
        let read = stream.read(&mut chunk).await?;
        if read == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..read]);
    }
}

/// Returns the bytes of a response that states that a request was not executed.
fn refusal(request: &WorkerRequest, status: &str, load_headers: &str, with_id: bool) -> Vec<u8> {
    let id = request.header("x-attempt-id").filter(|_| with_id);
    let id = id.map(|id| format!("X-Attempt-Id: {id}\r\n")).unwrap_or_default();
    format!("HTTP/1.1 {status}\r\n{id}{load_headers}Content-Length: 0\r\n\r\n").into_bytes()
}

/// Executes or refuses one request; returns whether the connection stays open.
async fn handle(
    stream: &mut TcpStream,
    state: &Mutex<State>,
    request: &WorkerRequest,
    (id, load_headers): (&str, &str),
    is_fatal: bool,
) -> std::io::Result<bool> {
    let (mode, service_time) = {
        let state = lock(state);
        (state.mode, state.service_time)
    };
    let is_for_this_worker = request.header("x-expect-worker").is_none_or(|expected| expected == id);
    let refusal = match mode {
        _ if !is_for_this_worker => Some("421 Misdirected Request"),
        WorkerMode::Shed => Some("503 Service Unavailable\r\nX-Not-Executed: 1"),
        WorkerMode::Misdirected => Some("421 Misdirected Request"),
        _ => None,
    };
    if let Some(refusal) = refusal {
        lock(state).refused.push(request.clone());
        let retry_after = lock(state).retry_after.as_ref().map(|value| format!("Retry-After: {value}\r\n"));
        let headers = format!(
            "{load_headers}{}",
            retry_after.filter(|_| refusal.starts_with("503")).unwrap_or_default()
        );
        stream.write_all(&self::refusal(request, refusal, &headers, true)).await?;
        return Ok(true);
    }
    let index = {
        let mut state = lock(state);
        state.executed.push(request.clone());
        state.running += 1;
        state.executed.len() - 1
    };
    let mut byte = [0];
    let is_abandoned = tokio::select! {
        () = tokio::time::sleep(service_time) => false,
        // Closing the connection doesn't stop what ends the process.
        read = stream.read(&mut byte), if !is_fatal => matches!(read, Ok(0) | Err(_)),
    };
    {
        let mut state = lock(state);
        state.running -= 1;
        state.executed[index].ended_at = Some(Instant::now());
        state.abandoned_count += u64::from(is_abandoned);
    }
    if is_abandoned || is_fatal {
        return Ok(!is_abandoned);
    }
    let caller_cuts = lock(state).caller_cuts.clone();
    caller_cuts.pass(stream).await?;
    let retry_after = lock(state).retry_after.as_ref().map(|value| format!("Retry-After: {value}\r\n"));
    let headers = (load_headers, retry_after.unwrap_or_default());
    write_response(stream, mode, request, headers).await
}

/// Writes the response to an executed request as the mode sets; returns whether the connection stays open.
async fn write_response(
    stream: &mut TcpStream,
    mode: WorkerMode,
    request: &WorkerRequest,
    (load_headers, retry_after): (&str, String),
) -> std::io::Result<bool> {
    let id = request.header("x-attempt-id").unwrap_or_default();
    let body = format!("body of {id}");
    if let WorkerMode::Respond(response) = mode {
        return response.write(stream, &format!("X-Attempt-Id: {id}\r\n{load_headers}{retry_after}")).await;
    }
    let seal = if mode == WorkerMode::MissingSeal { "" } else { SEAL };
    let status = match mode {
        WorkerMode::Fail => "500 Internal Server Error",
        WorkerMode::NotFound => "404 Not Found",
        _ => "200 OK",
    };
    let head = format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\n{seal}{load_headers}");
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
        WorkerMode::CutHead(bytes) => {
            let response = format!("{head}Content-Length: {length}\r\n\r\n{body}");
            stream.write_all(&response.as_bytes()[..bytes.min(response.len() - body.len() - 1)]).await?;
            return Ok(false);
        }
        WorkerMode::CloseDelimited => {
            stream.write_all(format!("{head}Connection: close\r\n\r\n{body}").as_bytes()).await?;
            return Ok(false);
        }
        _ => {
            let response = format!("{head}Content-Length: {length}\r\n\r\n{body}");
            stream.write_all(response.as_bytes()).await?;
            if mode == WorkerMode::DuplicateResponse {
                tokio::time::sleep(Duration::from_millis(5)).await;
                stream.write_all(response.as_bytes()).await?;
            }
        }
    }
    Ok(true)
}
