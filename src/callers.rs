//! Connections of callers: what each is doing, their deadlines, and the limit on their number.
//!
//! The task that accepts the connections of a listener owns their table. It closes those that are
//! overdue, and when a new one needs room, the one that has waited the longest, or whose body takes the
//! longest.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use ebonyfall_core::{
    connections::{CallerDeadlines, CloseCause, ConnectionState, Phase, Room, choose_evictions},
    memory::Taker,
    time::Time,
};
use gotham::helpers::http::Body;
use http::{HeaderValue, Response, header::CONNECTION};
use hyper::body::{Frame, SizeHint};
use slog::{Logger, warn};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    task::AbortHandle,
    time::{Sleep, sleep},
};

use crate::{
    clock::BootClock,
    memory::{MemoryBudget, MemoryShare},
};

mod meters;

pub use meters::{CallerMetrics, CloseLabels, MemoryLabels, MemoryRefusalLabels};

/// Interval between two checks for overdue connections.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Checks after which closed connections are logged, so that a crowd does not fill the log.
const CHECKS_PER_LOG: u32 = 20;
/// Time for which bytes of a refused request are read and dropped before the connection is closed.
/// Closing a connection with unread bytes resets it, and the answer is lost. Some callers read it only
/// after they have sent their body. The connection counts as idle, so that others take its place.
const LINGER: Duration = Duration::from_secs(5);
/// Size of the parts in which they are read, in bytes.
const LINGER_BUFFER_BYTES: usize = 4 << 10;
/// Causes for which connections are closed.
const CAUSES: [CloseCause; 6] = [
    CloseCause::Idle,
    CloseCause::SlowHead,
    CloseCause::Stalled,
    CloseCause::Deadline,
    CloseCause::Evicted,
    CloseCause::Refused,
];

/// What the connections of all listeners of a process share.
#[derive(Debug, Clone, Default)]
pub struct CallerGuard {
    /// Memory for connections.
    pub memory: MemoryBudget,
    /// Metrics of this process.
    pub metrics: CallerMetrics,
}

impl CallerGuard {
    /// Creates the guard of a process that has `memory` bytes.
    pub fn new(memory: usize, metrics: &CallerMetrics) -> Self {
        Self {
            memory: MemoryBudget::new(memory, metrics.clone()),
            metrics: metrics.clone(),
        }
    }
}

/// Deadline of the request that an answer belongs to.
#[derive(Debug, Clone, Copy)]
pub struct AnswerDeadline(pub Time);

/// Number of bits of a state word below the time.
const FLAG_BITS: u32 = 3;
/// State words: a time in milliseconds, and one of these values.
const IDLE: u64 = 0;
const HEAD: u64 = 1;
const RUNNING: u64 = 2;
/// The answer's body has ended, and its last bytes are being sent.
const FLUSHING: u64 = 3;
/// The connection has been chosen to be closed; no request may start.
const CLOSING: u64 = 4;
/// The head of a request has arrived, and a part of its body at most.
const BODY: u64 = 5;

/// What a connection is doing. Its task writes it, the owner of the table reads it; both may change
/// the phase, so that a connection is never closed in favour of another just as its request starts.
#[derive(Debug, Clone)]
pub(crate) struct Activity(Arc<ActivityWords>);

#[derive(Debug)]
struct ActivityWords {
    /// Phase and its start.
    phase: AtomicU64,
    /// Time since which nothing could be written, in milliseconds; 0 if that is not so.
    stalled_since: AtomicU64,
    /// Deadline of the running request, in milliseconds; 0 if it has none.
    deadline: AtomicU64,
    /// Whether a part of the request that has been, or is being, answered is unread.
    is_unread: AtomicBool,
}

fn word(phase: u64) -> u64 {
    BootClock.now().millis() << FLAG_BITS | phase
}

const fn phase_of(word: u64) -> u64 {
    word & ((1 << FLAG_BITS) - 1)
}

impl Activity {
    fn new() -> Self {
        Self(Arc::new(ActivityWords {
            phase: AtomicU64::new(word(IDLE)),
            stalled_since: AtomicU64::new(0),
            deadline: AtomicU64::new(0),
            is_unread: AtomicBool::new(false),
        }))
    }

    /// Changes the phase if it is one of `from`; returns whether it was.
    fn change(&self, from: &[u64], to: u64) -> bool {
        let changed = self
            .0
            .phase
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |word_now| {
                from.contains(&phase_of(word_now)).then(|| word(to))
            });
        changed.is_ok()
    }

    /// Records that a request starts; `false` if the connection is about to be closed.
    pub(crate) fn start_request(&self) -> bool {
        self.0.deadline.store(0, Ordering::Relaxed);
        self.change(&[IDLE, HEAD, RUNNING, FLUSHING, BODY], RUNNING)
    }

    /// Prepares the body of a request, so that an answer that is given before its end is noticed.
    pub(crate) fn track_request<B: hyper::body::Body>(&self, body: B) -> TrackedRequest<B> {
        let is_unread = !body.is_end_stream();
        self.record_unread(is_unread);
        if is_unread {
            self.change(&[RUNNING], BODY);
        }
        TrackedRequest {
            body,
            activity: self.clone(),
        }
    }

    fn record_unread(&self, is_unread: bool) {
        self.0.is_unread.store(is_unread, Ordering::Relaxed);
    }

    /// Prepares an answer, so that the end of its body and what it says of its request are seen. If a
    /// part of the request's body is unread, the answer ends the connection.
    pub(crate) fn track(&self, mut answer: Response<Body>) -> Response<Body> {
        // An answer that is given before the body has ended has to reach the caller.
        self.change(&[BODY], RUNNING);
        if let Some(AnswerDeadline(deadline)) = answer.extensions().get() {
            let millis = deadline.millis().max(1);
            self.0.deadline.store(millis, Ordering::Relaxed);
        }
        if self.0.is_unread.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        answer.map(|body| {
            Body::new(TrackedBody {
                body,
                activity: self.clone(),
            })
        })
    }

    /// Whether a part of a head has arrived, but not all of it.
    pub(crate) fn has_incomplete_head(&self) -> bool {
        phase_of(self.0.phase.load(Ordering::Acquire)) == HEAD
    }

    fn is_closing(&self) -> bool {
        phase_of(self.0.phase.load(Ordering::Acquire)) == CLOSING
    }

    fn state(&self) -> ConnectionState {
        let word = self.0.phase.load(Ordering::Acquire);
        let phase = match phase_of(word) {
            IDLE => Phase::Idle,
            HEAD => Phase::Head,
            BODY => Phase::Body,
            _ => Phase::Running,
        };
        let time = |millis: u64| (millis > 0).then(|| Time::from_millis(millis));
        ConnectionState {
            phase,
            since: Time::from_millis(word >> FLAG_BITS),
            stalled_since: time(self.0.stalled_since.load(Ordering::Relaxed)),
            deadline: time(self.0.deadline.load(Ordering::Relaxed)),
        }
    }

    /// Records progress of writing, or that there is none. Bytes that are written before a request has
    /// started are the HTTP library's answer to a head that it did not read to its end, so that the time
    /// for the head ends, too.
    fn record_write(&self, is_pending: bool) {
        if self.change(&[HEAD], FLUSHING) {
            self.record_unread(true);
        }
        let stalled = &self.0.stalled_since;
        if !is_pending {
            stalled.store(0, Ordering::Relaxed);
        } else if stalled.load(Ordering::Relaxed) == 0 {
            stalled.store(BootClock.now().millis().max(1), Ordering::Relaxed);
        }
    }
}

/// Body of a request that tells when it has been read to its end.
pub(crate) struct TrackedRequest<B> {
    body: B,
    activity: Activity,
}

impl<B: hyper::body::Body + Unpin> hyper::body::Body for TrackedRequest<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() || self.body.is_end_stream() {
            self.activity.record_unread(false);
            self.activity.change(&[BODY], RUNNING);
            if self.activity.is_closing() {
                // The task is about to be aborted. Nobody must start to work on the request.
                return Poll::Pending;
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Body of an answer that tells when it has ended.
struct TrackedBody {
    body: Body,
    activity: Activity,
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.activity.change(&[RUNNING], FLUSHING);
    }
}

/// Connection of a caller that records when bytes arrive and whether they are taken.
pub(crate) struct CallerStream {
    stream: TcpStream,
    activity: Activity,
    /// End of the time for which unread bytes are dropped; set when the connection is shut down.
    linger: Option<Pin<Box<Sleep>>>,
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.change(&[IDLE], HEAD);
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.activity.record_write(polled.is_pending());
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.activity.record_write(polled.is_pending());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Called when everything that was buffered has been written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.activity.change(&[FLUSHING], IDLE);
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            if !self.activity.0.is_unread.load(Ordering::Relaxed) {
                return Poll::Ready(Ok(()));
            }
        }
        let linger = self.linger.get_or_insert_with(|| Box::pin(sleep(LINGER)));
        if linger.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        loop {
            let mut bytes = [0; LINGER_BUFFER_BYTES];
            let mut buf = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf));
            if read.is_err() || buf.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

/// A connection in the table.
struct Entry {
    activity: Activity,
    task: AbortHandle,
    /// Memory that the connection takes.
    share: MemoryShare,
}

/// Connections of one listener.
pub(crate) struct CallerTable {
    entries: Vec<Entry>,
    memory: MemoryBudget,
    metrics: CallerMetrics,
    /// Closed connections since the last log line, in the order of [`CAUSES`].
    closed: [u32; CAUSES.len()],
    checks: u32,
    log: Logger,
}

impl CallerTable {
    pub(crate) fn new(guard: &CallerGuard, log: Logger) -> Self {
        Self {
            entries: Vec::new(),
            memory: guard.memory.clone(),
            metrics: guard.metrics.clone(),
            closed: [0; CAUSES.len()],
            checks: 0,
            log,
        }
    }

    /// Makes room for a new connection that takes `bytes` bytes, among at most `max` ones, and leaves
    /// `reserved` bytes to other listeners. Returns its memory, or `None` if the connections without a
    /// running request hold too little.
    pub(crate) fn make_room(
        &mut self,
        max: usize,
        bytes: usize,
        reserved: usize,
        now: Time,
    ) -> Option<MemoryShare> {
        let needed = bytes.saturating_add(reserved);
        if !self.room(max).fits(needed) {
            self.forget_ended();
        }
        while !self.room(max).fits(needed) {
            let chosen = choose_evictions(self.states(), self.room(max), needed, now);
            let Some(mut chosen) = chosen else {
                self.count(CloseCause::Refused);
                return None;
            };
            // Removing an entry moves only later ones.
            chosen.sort_unstable_by(|one, other| other.cmp(one));
            for index in chosen {
                let from = match self.entries[index].activity.state().phase {
                    Phase::Body => &[BODY][..],
                    _ => &[IDLE, HEAD],
                };
                if self.close(index, from) {
                    self.count(CloseCause::Evicted);
                }
            }
        }
        self.memory.take(Taker::Heads, bytes).ok()
    }

    fn room(&self, max: usize) -> Room {
        Room {
            open: self.entries.len(),
            max_open: max,
            free_bytes: self.memory.free(Taker::Heads),
        }
    }

    /// States of the connections, with the bytes that they hold.
    fn states(&self) -> impl Iterator<Item = (usize, ConnectionState, usize)> {
        let entries = self.entries.iter().enumerate();
        entries.map(|(index, entry)| (index, entry.activity.state(), entry.share.len()))
    }

    /// Wraps a new connection; [`add`](Self::add) puts its task into the table.
    pub(crate) fn open(stream: TcpStream) -> (CallerStream, Activity) {
        let activity = Activity::new();
        let stream = CallerStream {
            stream,
            activity: activity.clone(),
            linger: None,
        };
        (stream, activity)
    }

    pub(crate) fn add(&mut self, activity: Activity, task: AbortHandle, share: MemoryShare) {
        self.entries.push(Entry {
            activity,
            task,
            share,
        });
        self.metrics.connections.inc();
    }

    /// Closes the connections that are overdue at `now`.
    pub(crate) fn check(&mut self, deadlines: &CallerDeadlines, now: Time) {
        self.forget_ended();
        let mut index = 0;
        while index < self.entries.len() {
            let state = self.entries[index].activity.state();
            let cause = state.overdue(deadlines, now);
            match cause {
                Some(cause) if state.is_waiting() => {
                    if self.close(index, &[IDLE, HEAD]) {
                        self.count(cause);
                    } else {
                        index += 1;
                    }
                }
                Some(cause) => {
                    self.remove(index).task.abort();
                    self.count(cause);
                }
                None => index += 1,
            }
        }
        self.checks += 1;
        if self.checks.is_multiple_of(CHECKS_PER_LOG) {
            self.log_closed();
        }
    }

    /// Closes a connection that is in one of the phases `from`; `false` if it has left them meanwhile.
    fn close(&mut self, index: usize, from: &[u64]) -> bool {
        let closes = self.entries[index].activity.change(from, CLOSING);
        if closes {
            self.remove(index).task.abort();
        }
        closes
    }

    fn remove(&mut self, index: usize) -> Entry {
        self.metrics.connections.dec();
        self.entries.swap_remove(index)
    }

    fn forget_ended(&mut self) {
        let before = self.entries.len();
        self.entries.retain(|entry| !entry.task.is_finished());
        let ended = before - self.entries.len();
        let ended = i64::try_from(ended).unwrap_or(i64::MAX);
        self.metrics.connections.dec_by(ended);
    }

    fn count(&mut self, cause: CloseCause) {
        self.metrics.count_closed(cause);
        let counts = CAUSES.iter().zip(&mut self.closed);
        for (_, count) in counts.filter(|(known, _)| **known == cause) {
            *count += 1;
        }
    }

    fn log_closed(&mut self) {
        for (cause, count) in CAUSES.iter().zip(std::mem::take(&mut self.closed)) {
            if count > 0 {
                warn!(self.log, "closed connections of callers"; "event" => "callers_closed",
                    "cause" => cause.name(), "count" => count, "open" => self.entries.len());
            }
        }
    }
}
