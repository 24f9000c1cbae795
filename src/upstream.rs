//! HTTP connections to targets, from an entry router or from the agent beside the target.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use ebonyfall_core::{direct::Failure, time::Time};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    ext::on_informational,
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpStream, ToSocketAddrs},
    task::AbortHandle,
    time::{Instant, timeout},
};

/// Longest wait for a new connection. When a SYN packet is lost, trying another target is faster
/// than waiting for the retransmission.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that sent data may stay unacknowledged before the kernel closes a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest idle time of a connection that is used again, unless the target announces its own idle
/// time-out.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Time before the target's idle time-out from which a connection is not used again.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Largest head of an answer, and largest part of a body that is read at once, in bytes. A head has
/// at most 100 fields, the limit of the HTTP library. Stating a limit makes the library fill two arrays
/// of as many fields for each head, interim ones included, which took half of the time of a router that
/// received interim answers without end.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Most interim answers before an answer. A target that tells its progress sends one every few seconds.
/// The limit on bytes alone would allow 1,200 of the shortest, each of which is parsed.
const MAX_INTERIM_ANSWERS: usize = 100;

/// Read buffer of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadBuffer {
    /// Grows with the answer, up to the limit on its head.
    Adaptive,
    /// Has this many bytes, which are also the limit on the head. Buffers that grow take a large part
    /// of the memory of many open streams.
    Exact(usize),
}

impl ReadBuffer {
    /// Most bytes that a target may send before the head of its answer has been read: interim
    /// answers, the head, and the part of the body that arrives with it.
    const fn bytes_to_head(self) -> usize {
        match self {
            Self::Adaptive => 2 * MAX_HEAD_BYTES,
            Self::Exact(bytes) => 2 * bytes,
        }
    }
}

/// State of the request on a connection, which the request sets and the connection's task reads.
#[derive(Debug)]
struct RequestState {
    /// Bytes that the connection may still receive; `usize::MAX` means no limit.
    budget: AtomicUsize,
    /// Interim answers that may still arrive before the answer.
    interim_left: AtomicUsize,
    /// Whether the target has not begun to answer, so that parts of the request may not have arrived.
    is_unanswered: AtomicBool,
}

impl RequestState {
    /// Starts a request whose answer may have `bytes` bytes until the end of its head.
    fn start(&self, bytes: usize) {
        self.budget.store(bytes, Ordering::Relaxed);
        self.interim_left
            .store(MAX_INTERIM_ANSWERS, Ordering::Relaxed);
        self.is_unanswered.store(true, Ordering::Relaxed);
    }

    /// Records that the head of the answer has been read. From here on the reader of the body sets
    /// the pace and the limit.
    fn record_head(&self) {
        self.budget.store(usize::MAX, Ordering::Relaxed);
        self.is_unanswered.store(false, Ordering::Relaxed);
    }

    /// Counts an interim answer. After too many, nothing more is read.
    fn count_interim(&self) {
        let left = self.interim_left.load(Ordering::Relaxed);
        match left.checked_sub(1) {
            Some(left) => self.interim_left.store(left, Ordering::Relaxed),
            None => self.budget.store(0, Ordering::Relaxed),
        }
    }

    fn is_used_up(&self) -> bool {
        self.budget.load(Ordering::Relaxed) == 0
    }

    fn is_unanswered(&self) -> bool {
        self.is_unanswered.load(Ordering::Relaxed)
    }

    fn count(&self, bytes: usize) {
        let left = self.budget.load(Ordering::Relaxed);
        if left != usize::MAX {
            let left = left.saturating_sub(bytes);
            self.budget.store(left, Ordering::Relaxed);
        }
    }
}

/// A stream that fails once its budget of received bytes is used up. The HTTP library reads interim
/// answers without a limit on their number.
struct LimitedStream {
    stream: TcpStream,
    state: Arc<RequestState>,
}

impl Drop for LimitedStream {
    /// Resets the connection if its request was given up before it was answered. After an orderly
    /// close the kernel goes on sending what has not arrived, for seconds if the link is cut, when
    /// another target may have run the request or this one has left.
    fn drop(&mut self) {
        if self.state.is_unanswered() {
            let _closed = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.state.is_used_up() {
            let reason = "no complete head within the limits on its bytes and interim answers";
            return Poll::Ready(Err(io::Error::other(reason)));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.state.count(buf.filled().len() - before);
        polled
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Aborts a connection's task when it is dropped, which closes the socket.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to a target. Dropping it closes the connection, which cancels the target's work. What
/// has not arrived of a request without an answer is dropped.
#[derive(Debug)]
pub struct TargetConnection {
    sender: SendRequest<Full<Bytes>>,
    _task: ConnectionTask,
    /// Limit on received bytes until the head of an answer has been read.
    bytes_to_head: usize,
    state: Arc<RequestState>,
    /// Whether the target has sent bytes that are no answer.
    is_malformed: bool,
    idle_since: Time,
    idle_limit: Duration,
    /// Time that the TCP connection took, which is one round trip.
    round_trip: Duration,
}

impl TargetConnection {
    /// Connects to the target at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the connection is refused or takes longer than `CONNECT_TIMEOUT`.
    pub async fn connect(
        address: impl ToSocketAddrs,
        buffer: ReadBuffer,
        now: Time,
    ) -> io::Result<Self> {
        let begun = Instant::now();
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_late| io::Error::from(io::ErrorKind::TimedOut))??;
        let round_trip = begun.elapsed();
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let state = Arc::new(RequestState {
            budget: AtomicUsize::new(buffer.bytes_to_head()),
            interim_left: AtomicUsize::new(MAX_INTERIM_ANSWERS),
            is_unanswered: AtomicBool::new(false),
        });
        let limited = LimitedStream {
            stream,
            state: Arc::clone(&state),
        };
        let mut builder = http1::Builder::new();
        match buffer {
            ReadBuffer::Adaptive => builder.max_buf_size(MAX_HEAD_BYTES),
            ReadBuffer::Exact(bytes) => builder.read_buf_exact_size(Some(bytes)),
        };
        let (sender, connection) = builder
            .handshake(TokioIo::new(limited))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // The error is also returned by the request that uses the connection.
            let _failed = connection.await.is_err();
        });
        Ok(Self {
            sender,
            _task: ConnectionTask(task.abort_handle()),
            bytes_to_head: buffer.bytes_to_head(),
            state,
            is_malformed: false,
            idle_since: now,
            idle_limit: DEFAULT_IDLE_LIMIT,
            round_trip,
        })
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails with `NotSent` when the target cannot have received any byte of the request, with
    /// `Oversized` when no head ends within the limits, and with `Broken` otherwise.
    pub async fn send(
        &mut self,
        mut req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        self.state.start(self.bytes_to_head);
        let state = Arc::clone(&self.state);
        on_informational(&mut req, move |_interim| state.count_interim());
        match self.sender.try_send_request(req).await {
            Ok(res) => {
                self.state.record_head();
                Ok(res)
            }
            Err(mut error) => match error.take_message() {
                Some(_unsent) => Err(Failure::NotSent),
                None if self.state.is_used_up() => Err(Failure::Oversized),
                None => {
                    self.is_malformed = error.error().is_parse();
                    Err(Failure::Broken)
                }
            },
        }
    }

    /// Whether the last request failed with `Broken` because the target sent bytes that are no answer,
    /// and not because the connection ended.
    pub fn is_malformed(&self) -> bool {
        self.is_malformed
    }

    /// Round trip to the target when the connection was made.
    pub fn round_trip(&self) -> Duration {
        self.round_trip
    }

    /// Marks the connection as idle from `now` on. `limit` is the idle time-out that the target has
    /// announced; `None` keeps the last one.
    pub fn mark_idle(&mut self, limit: Option<Duration>, now: Time) {
        self.idle_since = now;
        if let Some(limit) = limit {
            self.idle_limit = limit.saturating_sub(IDLE_MARGIN);
        }
    }

    /// Whether the connection is open and has not been idle for too long. The target may still have
    /// closed it.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.sender.is_closed() && self.idle_for(now) < self.idle_limit
    }

    /// Whether a request would be sent at once. It would wait if the target answered the last one
    /// without reading all of its body.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Time since [`mark_idle`](Self::mark_idle) was last called, or else since the connection was
    /// made.
    pub fn idle_for(&self, now: Time) -> Duration {
        now.since(self.idle_since)
    }
}
