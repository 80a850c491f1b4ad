//! Limits the time that a caller may take for a request head, from its first byte on, and to take a response.
//!
//! The HTTP library has one timer for the wait for a head and for its transfer. That timer is set to the time that
//! a connection may be idle, which is several times as long. It has none for responses. Nor does it notice that a
//! caller leaves while the rest of its request's body is unread.

use std::{
    io,
    net::Shutdown,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep, sleep_until},
};

/// Time between two checks whether a caller has left, while bytes of it are unread.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What the server reads from a connection at present.
#[derive(Debug, Default)]
enum ReadState {
    /// Nothing has arrived on the connection.
    #[default]
    Unused,
    /// Nothing has arrived of the next head.
    Idle,
    /// A head has begun, and must be complete at the deadline. Most heads arrive at once and need no timer.
    Head { deadline: Instant, timer: Option<Pin<Box<Sleep>>> },
    /// The head is complete, and the response is not.
    Request,
}

/// State of one connection; clones share it.
#[derive(Debug, Clone, Default)]
pub struct HeadTimer {
    state: Arc<Mutex<ReadState>>,
}

impl HeadTimer {
    /// Records that a head is complete. The next one may begin when the returned guard is dropped.
    pub fn head_complete(&self) -> RequestGuard {
        *self.lock() = ReadState::Request;
        RequestGuard { timer: self.clone() }
    }

    /// Returns whether nothing has arrived on the connection.
    pub fn is_unused(&self) -> bool {
        matches!(*self.lock(), ReadState::Unused)
    }

    fn lock(&self) -> MutexGuard<'_, ReadState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that bytes arrived, or that none did yet. Returns whether the time for the head is over.
    fn poll_expired(&self, cx: &mut Context<'_>, has_bytes: bool, timeout: Duration) -> bool {
        let mut state = self.lock();
        match &mut *state {
            ReadState::Unused | ReadState::Idle if has_bytes => {
                *state = ReadState::Head { deadline: Instant::now() + timeout, timer: None };
                false
            }
            ReadState::Head { deadline, .. } if has_bytes => Instant::now() >= *deadline,
            ReadState::Head { deadline, timer } => {
                let timer = timer.get_or_insert_with(|| Box::pin(sleep_until(*deadline)));
                timer.as_mut().poll(cx).is_ready()
            }
            ReadState::Unused | ReadState::Idle | ReadState::Request => false,
        }
    }
}

/// A request whose response is not complete yet.
#[derive(Debug)]
pub struct RequestGuard {
    timer: HeadTimer,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        *self.timer.lock() = ReadState::Idle;
    }
}

/// A response body that keeps the request's guard until it is sent.
#[derive(Debug)]
pub struct GuardedBody<B> {
    /// Body of the response.
    pub body: B,
    /// Guard of the request.
    pub guard: RequestGuard,
}

impl<B: Body<Data = Bytes> + Unpin> Body for GuardedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Longest times that a caller may take.
#[derive(Debug, Clone, Copy)]
pub struct CallerTimeLimits {
    /// For a request head, from its first byte on.
    pub head: Duration,
    /// To take what has been written, from the moment on at which nothing more can be written.
    pub response: Duration,
}

/// A caller's connection whose reads and writes fail once the caller takes too long.
#[derive(Debug)]
pub struct CallerStream {
    stream: Arc<TcpStream>,
    timer: HeadTimer,
    time_limits: CallerTimeLimits,
    /// Present while the caller has not taken all that has been written.
    write_timer: Option<Pin<Box<Sleep>>>,
}

fn timed_out(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, what)
}

impl CallerStream {
    /// Wraps a stream whose caller may take as long as `time_limits` say.
    pub fn new(stream: TcpStream, timer: HeadTimer, time_limits: CallerTimeLimits) -> Self {
        Self { stream: Arc::new(stream), timer, time_limits, write_timer: None }
    }

    /// Returns a watch for the caller's end of the connection.
    pub fn close_watch(&self) -> CloseWatch {
        CloseWatch { stream: Arc::clone(&self.stream) }
    }

    /// Returns the result of a write, or an error if the caller has taken too long to make room for it.
    fn limit_write(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if result.is_ready() && self.write_timer.is_none() {
            return result;
        }
        let time = self.time_limits.response;
        let timer = self.write_timer.get_or_insert_with(|| Box::pin(sleep(time)));
        if timer.as_mut().poll(cx).is_pending() {
            return result;
        }
        // What the caller has not taken is discarded with the connection.
        if let Err(e) = self.stream.set_zero_linger() {
            log::debug!("event=linger-failed error={:?}", e.to_string());
        }
        Poll::Ready(Err(timed_out("the caller took too long to take the response")))
    }
}

/// Notices that a caller closes its connection, also while bytes that it has sent before are unread.
#[derive(Debug, Clone)]
pub struct CloseWatch {
    stream: Arc<TcpStream>,
}

impl CloseWatch {
    /// Returns once the caller has closed its end of the connection, or the connection has failed.
    pub async fn closed(&self) {
        while let Ok(state) = self.stream.ready(Interest::READABLE).await
            && !state.is_read_closed()
        {
            // It stays readable until somebody reads.
            sleep(CLOSE_CHECK_INTERVAL).await;
        }
    }
}

/// Reads from a stream that is shared.
fn poll_read(stream: &TcpStream, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read_buf(buffer) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result.map(|_bytes| ())),
        }
    }
}

/// Repeats a write to a stream that is shared until it succeeds, fails, or the stream takes nothing more.
fn poll_write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match write(stream) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = poll_read(&self.stream, cx, buffer);
        let has_bytes = buffer.filled().len() > filled_before;
        if self.timer.poll_expired(cx, has_bytes, self.time_limits.head) {
            return Poll::Ready(Err(timed_out("the request head took too long")));
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let result = poll_write(&self.stream, cx, |stream| stream.try_write(bytes));
        self.limit_write(cx, result)
    }

    /// The HTTP library flushes once it has written all that it has.
    fn poll_flush(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.write_timer = None;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = SockRef::from(&*self.stream).shutdown(Shutdown::Write);
        // The caller may have closed the connection before.
        Poll::Ready(result.or_else(|e| if e.kind() == io::ErrorKind::NotConnected { Ok(()) } else { Err(e) }))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = poll_write(&self.stream, cx, |stream| stream.try_write_vectored(slices));
        self.limit_write(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
