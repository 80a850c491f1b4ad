//! HTTP/1.1 connections to targets. Each carries one request at a time, and their number is limited for each
//! target.
//!
//! Lock order: the table of targets, then one target's idle list. No lock is held across an await.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use derive_more::Display;
use hyper::{
    HeaderMap, Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::HeaderName,
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::Notify,
    task::AbortHandle,
    time::{Instant, sleep, timeout, timeout_at},
};

use super::{
    head_limit::{LimitedStream, ReadAllowance},
    upload::RequestBody,
};
use crate::{collections::HashMap, decide::unconfirmed_ends::ProcessState};

/// Time since the last response after which an idle connection is no longer reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time by which a connection is given up before the idle timeout that its target states, since the target counts
/// from an earlier moment.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(100);

/// Header in which a target states after how many idle seconds it closes a connection, as `timeout=5`.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Time since the last response within which a connection may carry a request that must not be retried.
const RECENT_USE_LIMIT: Duration = Duration::from_millis(50);

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time to wait for a connection when the limit for the target is reached.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after which the operating system closes a connection whose data the target does not acknowledge
/// (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time before the first TCP keep-alive probe, and the interval between probes.
///
/// Only these probes detect that a target has become unreachable while a response is awaited.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit for finding out whether a target's process has ended. A caller may wait for the result.
const PROCESS_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a new connection must stay open, and pause before a refused one is taken as the end of a process
/// if another one still seems to be open: the end of that one may not have been read yet.
const PROCESS_CHECK_PAUSE: Duration = Duration::from_millis(5);

/// Most pauses of one check.
const MAX_PROCESS_CHECK_PAUSES: u32 = 3;

/// Size of the read buffer of one connection in bytes; also the largest chunk of a response body.
pub const READ_BUFFER_BYTES: usize = 64 << 10;

/// Most bytes that a target may send until the head of its response is complete, interim responses included.
const MAX_HEAD_PHASE_BYTES: usize = 4 * READ_BUFFER_BYTES;

/// Returns one instance's share of the connections that a target accepts, at least 1.
pub fn connection_limit(max_connections: u32, max_instances: u32) -> usize {
    (max_connections / max_instances.max(1)).max(1) as usize
}

/// Which connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReusePolicy {
    /// A connection that has been idle for less than `IDLE_TIMEOUT` and than its target states, or a new one.
    AnyIdle,
    /// A connection whose last response completed within `RECENT_USE_LIMIT`, which shows that it is alive, or
    /// a new one.
    RecentlyUsed,
    /// Only a new connection.
    NewOnly,
}

impl ReusePolicy {
    fn idle_limit(self) -> Duration {
        match self {
            Self::AnyIdle => IDLE_TIMEOUT,
            Self::RecentlyUsed => RECENT_USE_LIMIT,
            Self::NewOnly => Duration::ZERO,
        }
    }
}

/// Returns the idle timeout that a response states for its connection, if it does.
fn stated_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let mut parameters = headers.get(&KEEP_ALIVE)?.to_str().ok()?.split(',');
    let seconds = parameters.find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Number of open connections to one target.
#[derive(Debug, Default)]
struct OpenConnections {
    /// Permits in use.
    count: AtomicUsize,
    /// Connections whose other end has not closed them, as far as has been read.
    alive: AtomicUsize,
    /// Notified when a connection is closed or becomes idle.
    released: Notify,
}

impl OpenConnections {
    fn try_acquire(self: &Arc<Self>, limit: usize) -> Option<ConnectionPermit> {
        let take = |count: usize| (count < limit).then_some(count + 1);
        self.count.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).ok()?;
        Some(ConnectionPermit { open: Arc::clone(self) })
    }
}

/// Permission for one open connection to a target; returned when dropped.
#[derive(Debug)]
struct ConnectionPermit {
    open: Arc<OpenConnections>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.count.fetch_sub(1, Ordering::AcqRel);
        self.open.released.notify_one();
    }
}

/// Counts a connection as alive until dropped.
#[derive(Debug)]
struct AliveGuard(Arc<OpenConnections>);

impl AliveGuard {
    fn new(open: &Arc<OpenConnections>) -> Self {
        open.alive.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(open))
    }
}

impl Drop for AliveGuard {
    fn drop(&mut self) {
        self.0.alive.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Aborts the task that drives a connection, and so closes the connection, when dropped.
#[derive(Debug)]
struct DriverTask(AbortHandle);

impl Drop for DriverTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection that carries at most one request at a time; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<RequestBody>,
    target: Arc<TargetConnections>,
    allowance: ReadAllowance,
    /// When its last response was complete; `None` for a new connection.
    last_used: Option<Instant>,
    /// Time since then after which it is no longer reused.
    idle_timeout: Duration,
    _driver: DriverTask,
    _permit: ConnectionPermit,
}

/// Why no connection to a target was available.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
pub enum ConnectFailure {
    /// Nothing listens at the address, or something on the way refuses connections to it.
    Refused,
    /// The address did not answer in time.
    TimedOut,
    /// This instance has as many connections to the target as it may have.
    NoPermit,
    /// The operating system reported another error.
    Failed,
}

impl ConnectFailure {
    /// Returns whether this host may have no path to the target, rather than too many connections to it.
    pub fn may_be_of_path(self) -> bool {
        self != Self::NoPermit
    }
}

impl From<io::Error> for ConnectFailure {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => Self::Refused,
            io::ErrorKind::TimedOut => Self::TimedOut,
            _ => Self::Failed,
        }
    }
}

/// Result of sending a request on a connection.
#[derive(Debug)]
pub enum ExchangeResult {
    /// The response head arrived.
    Answered(Response<Incoming>),
    /// Nothing of the request was sent.
    Unsent(Request<RequestBody>),
    /// The request may have been sent, and no response arrived.
    Lost,
}

impl Connection {
    /// Returns whether the connection has carried an earlier request.
    pub fn is_reused(&self) -> bool {
        self.last_used.is_some()
    }

    /// Sends one request and waits for the response head.
    pub async fn send(&mut self, request: Request<RequestBody>) -> ExchangeResult {
        self.allowance.set(MAX_HEAD_PHASE_BYTES);
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.allowance.lift();
                if let Some(stated) = stated_idle_timeout(response.headers()) {
                    self.idle_timeout = stated.saturating_sub(IDLE_TIMEOUT_MARGIN).min(IDLE_TIMEOUT);
                }
                ExchangeResult::Answered(response)
            }
            Err(mut e) => e.take_message().map_or(ExchangeResult::Lost, ExchangeResult::Unsent),
        }
    }

    /// Returns the connection to the idle list; its response must be complete.
    pub fn release(mut self) {
        if self.sender.is_closed() {
            return;
        }
        self.last_used = Some(Instant::now());
        let target = Arc::clone(&self.target);
        target.lock().push(self);
        target.open.released.notify_one();
    }

    /// Returns whether the connection can take another request: its last response was read completely and
    /// nothing followed it.
    fn is_ready(&self) -> bool {
        !self.sender.is_closed() && self.sender.is_ready()
    }

    fn used_within(&self, limit: Duration) -> bool {
        self.last_used.is_some_and(|at| at.elapsed() < limit.min(self.idle_timeout))
    }
}

/// Connections to one target.
#[derive(Debug)]
struct TargetConnections {
    open: Arc<OpenConnections>,
    /// Idle connections, the most recently used last.
    idle: Mutex<Vec<Connection>>,
}

impl TargetConnections {
    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(&self, limit: Duration) -> Option<Connection> {
        let mut idle = self.lock();
        let index = idle.iter().rposition(|c| c.used_within(limit) && c.is_ready())?;
        Some(idle.remove(index))
    }

    /// Closes the connection that has been idle longest.
    fn close_oldest_idle(&self) {
        let oldest = {
            let mut idle = self.lock();
            (!idle.is_empty()).then(|| idle.remove(0))
        };
        drop(oldest);
    }

    /// Closes idle connections that can no longer be reused.
    fn close_expired(&self) {
        let usable = |c: &Connection| c.used_within(IDLE_TIMEOUT) && !c.sender.is_closed();
        let retired = self.lock().extract_if(.., |c| !usable(c)).collect::<Vec<_>>();
        drop(retired);
    }
}

/// Connections to all targets, by address.
#[derive(Debug, Default)]
pub struct Connections {
    targets: RwLock<HashMap<SocketAddr, Arc<TargetConnections>>>,
    options: ConnectOptions,
}

/// How connections are opened and closed.
#[derive(Debug, Clone, Copy, Default)]
struct ConnectOptions {
    /// Address of this host from which they are opened; `None` leaves the choice to the operating system.
    source: Option<IpAddr>,
    /// Whether they are closed by a reset, which discards what has not been sent.
    resets_on_close: bool,
}

impl Connections {
    /// Creates a table whose connections are opened from the address `source` of this host.
    pub fn from_source(source: Option<IpAddr>) -> Self {
        Self::new(ConnectOptions { source, resets_on_close: false })
    }

    /// Creates a table whose connections are closed by a reset. The other end notices it at once, where an orderly close
    /// would wait behind a request's body that it does not read.
    pub fn closed_by_reset() -> Self {
        Self::new(ConnectOptions { source: None, resets_on_close: true })
    }

    fn new(options: ConnectOptions) -> Self {
        Self { targets: RwLock::default(), options }
    }

    /// Returns a connection for one request.
    ///
    /// `limit` is the maximum number of connections that this instance may have open to the target.
    ///
    /// # Errors
    ///
    /// Why none was available in time.
    pub async fn checkout(
        &self,
        address: SocketAddr,
        limit: usize,
        reuse: ReusePolicy,
    ) -> Result<Connection, ConnectFailure> {
        let target = self.target(address);
        let until = Instant::now() + PERMIT_TIMEOUT;
        loop {
            if let Some(connection) = target.take_idle(reuse.idle_limit()) {
                return Ok(connection);
            }
            let mut permit = target.open.try_acquire(limit);
            if permit.is_none() {
                target.close_oldest_idle();
                permit = target.open.try_acquire(limit);
            }
            if let Some(permit) = permit {
                let connected =
                    timeout(CONNECT_TIMEOUT, connect(address, self.options, target, permit)).await;
                return connected.map_err(|_elapsed| ConnectFailure::TimedOut)?;
            }
            let released = timeout_at(until, target.open.released.notified()).await;
            released.map_err(|_elapsed| ConnectFailure::NoPermit)?;
        }
    }

    /// Returns a new connection for one request, even if this instance has as many to the target as it may have.
    ///
    /// # Errors
    ///
    /// Why none could be opened.
    pub async fn open_beyond_limit(&self, address: SocketAddr) -> Result<Connection, ConnectFailure> {
        let target = self.target(address);
        target.open.count.fetch_add(1, Ordering::AcqRel);
        let permit = ConnectionPermit { open: Arc::clone(&target.open) };
        connect(address, self.options, target, permit).await
    }

    /// Returns the number of open connections to a target.
    pub fn open_count(&self, address: SocketAddr) -> usize {
        self.target(address).open.count.load(Ordering::Acquire)
    }

    /// Returns whether a connection to a target is open at both ends, as far as is known.
    pub fn has_alive(&self, address: SocketAddr) -> bool {
        self.target(address).open.alive.load(Ordering::Acquire) > 0
    }

    /// Finds out whether the process at an address has ended, by a new connection and by those that are open.
    ///
    /// A target at its limit may reset or refuse a new connection, too, but it keeps the open ones.
    pub async fn check_process(&self, address: SocketAddr) -> ProcessState {
        let connected = timeout(PROCESS_CHECK_TIMEOUT, open_stream(address, self.options.source)).await;
        match connected {
            Ok(Ok(stream)) if !is_closed_soon(&stream).await => return ProcessState::Listening,
            Ok(Ok(_closed)) => {}
            Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {}
            Ok(Err(_)) | Err(_) => return ProcessState::Unknown,
        }
        let open = Arc::clone(&self.target(address).open);
        for _ in 0..MAX_PROCESS_CHECK_PAUSES {
            if open.alive.load(Ordering::Acquire) == 0 {
                return ProcessState::Ended;
            }
            sleep(PROCESS_CHECK_PAUSE).await;
        }
        let is_any_alive = open.alive.load(Ordering::Acquire) > 0;
        if is_any_alive { ProcessState::Unknown } else { ProcessState::Ended }
    }

    /// Closes idle connections that can no longer be reused; called about once a second.
    pub fn close_expired(&self) {
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        targets.values().for_each(|t| t.close_expired());
    }

    fn target(&self, address: SocketAddr) -> Arc<TargetConnections> {
        let known = self.targets.read().unwrap_or_else(PoisonError::into_inner).get(&address).map(Arc::clone);
        known.unwrap_or_else(|| {
            let mut targets = self.targets.write().unwrap_or_else(PoisonError::into_inner);
            let new = || Arc::new(TargetConnections { open: Arc::default(), idle: Mutex::default() });
            Arc::clone(targets.entry(address).or_insert_with(new))
        })
    }
}

/// Returns whether the other end closes a new connection at once.
async fn is_closed_soon(stream: &TcpStream) -> bool {
    let peeked = timeout(PROCESS_CHECK_PAUSE, stream.peek(&mut [0])).await;
    peeked.is_ok_and(|read| matches!(read, Ok(0) | Err(_)))
}

async fn open_stream(address: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source) = source else { return TcpStream::connect(address).await };
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind((source, 0).into())?;
    socket.connect(address).await
}

async fn connect(
    address: SocketAddr,
    options: ConnectOptions,
    target: Arc<TargetConnections>,
    permit: ConnectionPermit,
) -> Result<Connection, ConnectFailure> {
    let stream = open_stream(address, options.source).await?;
    stream.set_nodelay(true)?;
    if options.resets_on_close {
        stream.set_zero_linger()?;
    }
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_BUFFER_BYTES);
    let allowance = ReadAllowance::default();
    let stream = LimitedStream::new(stream, allowance.clone());
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.map_err(|e| {
        log::debug!("event=target-handshake-failed target={address} error={:?}", e.to_string());
        ConnectFailure::Failed
    })?;
    let alive = AliveGuard::new(&target.open);
    let task = tokio::spawn(async move {
        let _alive = alive;
        if let Err(e) = connection.await {
            log::debug!("event=target-connection-ended target={address} error={:?}", e.to_string());
        }
    });
    let driver = DriverTask(task.abort_handle());
    Ok(Connection {
        sender,
        target,
        allowance,
        last_used: None,
        idle_timeout: IDLE_TIMEOUT,
        _driver: driver,
        _permit: permit,
    })
}
