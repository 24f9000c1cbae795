//! HTTP server on top of gotham's router, with limits on connections and a graceful shutdown, and
//! helpers for requests and answers.

use std::{
    any::Any, convert::Infallible, future::poll_fn, io, net::SocketAddr, panic::AssertUnwindSafe,
    pin::Pin, sync::Arc, task::Poll, time::Duration,
};

use bytes::Bytes;
use ebonyfall_core::{code::Code, connections::CallerDeadlines, id::RequestId};
use gotham::{
    handler::NewHandler,
    helpers::http::Body,
    prelude::FromState,
    service::call_handler,
    state::{State, StateData},
};
use http::{
    HeaderMap, HeaderValue, Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE},
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulConnection,
};
use serde::Serialize;
use serde_with::{DisplayFromStr, serde_as};
use slog::{Logger, debug, warn};
use socket2::{SockFilter, SockRef};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{self, MissedTickBehavior},
};

use crate::{
    callers::{Activity, CHECK_INTERVAL, CallerGuard, CallerTable},
    clock::BootClock,
    memory::MemoryShare,
    settings::{CallerConfig, MachineLimits},
};

/// Longest wait for the header of a request, and again for its body.
pub(crate) const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for the first byte of a request on a connection, unless the desired state
/// specifies one.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Connections to a listener for monitoring, load balancers or operators.
const MAX_SMALL_CONNECTIONS: usize = 32;
/// Memory that callers leave to such listeners, so that idle callers do not make a process look dead.
const SMALL_LISTENERS_BYTES: usize = MAX_SMALL_CONNECTIONS * MAX_HEADER_BYTES;
/// Receive buffer of a caller's connection, in bytes; the kernel doubles it. Some platforms count
/// received bytes that wait there as memory of the process.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Send buffer of a caller's connection, in bytes; the kernel doubles it.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Default limit on request headers, in bytes.
const MAX_HEADER_BYTES: usize = 16 << 10;
/// Time for which connections are still accepted after new handshakes are blocked; longer than a
/// handshake that is already in progress takes to complete.
const HANDSHAKE_GRACE: Duration = Duration::from_millis(100);
/// Byte offset of the flags in a TCP header.
const TCP_FLAGS_OFFSET: u32 = 13;
/// Flag of the packets that open a connection.
const TCP_SYN: u32 = 0x02;
/// Pause after a failed accept, so that running out of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A value that is passed to handlers in gotham's state.
#[derive(Debug)]
pub struct Shared<T>(AssertUnwindSafe<T>);

impl<T> Shared<T> {
    /// Wraps `value` and declares it unwind-safe: handlers hold only channels and handles, so a
    /// panic leaves no partly changed state.
    pub fn new(value: T) -> Self {
        Self(AssertUnwindSafe(value))
    }

    /// Returns the value that [`new`](Self::new) wrapped.
    pub fn into_inner(self) -> T {
        self.0.0
    }
}

impl<T: Clone> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self::new(self.0.0.clone())
    }
}

impl<T: Any + Send> StateData for Shared<T> {}

/// Limits on the connections of callers.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Longest waits for callers.
    pub deadlines: CallerDeadlines,
    /// Most connections at once.
    pub max_connections: usize,
    /// Most fields in the head of a request.
    pub max_fields: usize,
    /// Limit on a connection's read buffer, and so on request headers, in bytes.
    pub max_header_bytes: usize,
    /// Bytes of the memory for connections that are left to other listeners.
    pub reserved_bytes: usize,
    /// Time after the stop signal for which new connections are still accepted.
    pub accept_grace: Duration,
    /// Whether a socket filter blocks new handshakes then, before the listener is closed.
    pub blocks_handshakes: bool,
    /// Time after that for which idle connections stay open, because a caller may be sending its
    /// next request on one. Its answer carries `connection: close`.
    pub idle_grace: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_connections: MachineLimits::default().max_callers(),
            ..Self::new(&CallerConfig::default(), IDLE_TIMEOUT, RECEIVE_TIMEOUT)
        }
    }
}

impl ConnectionLimits {
    /// Limits with these settings, these longest waits for the first byte of a request and for the rest
    /// of its head, and no limit on connections.
    pub fn new(config: &CallerConfig, idle: Duration, head: Duration) -> Self {
        Self {
            deadlines: CallerDeadlines {
                idle,
                head,
                stall: config.stall,
                answer_grace: config.answer_grace,
            },
            max_connections: usize::MAX,
            max_fields: config.max_fields,
            max_header_bytes: MAX_HEADER_BYTES,
            reserved_bytes: SMALL_LISTENERS_BYTES,
            accept_grace: Duration::ZERO,
            blocks_handshakes: true,
            idle_grace: Duration::from_secs(1),
        }
    }

    /// Limits of a listener for monitoring, load balancers or operators.
    pub fn small() -> Self {
        Self {
            max_connections: MAX_SMALL_CONNECTIONS,
            reserved_bytes: 0,
            ..Self::default()
        }
    }

    /// Limits of simulated servers, which never run out of descriptors.
    pub fn simulated() -> Self {
        Self {
            max_connections: usize::MAX,
            ..Self::default()
        }
    }
}

/// Serves `handler` on `listener` until `stop` turns true, and returns when all requests have
/// ended. Connections that the kernel has established by then are still served. Each connection
/// gets the limits that are current when it is accepted.
pub async fn serve(
    listener: TcpListener,
    handler: impl NewHandler + 'static,
    limits: impl Fn() -> ConnectionLimits,
    guard: CallerGuard,
    stop: watch::Receiver<bool>,
    log: Logger,
) {
    let server = Server {
        handler: Arc::new(handler),
        closing: watch::Sender::new(()),
        guard,
        stop,
        log,
    };
    let table = server.accept(&listener, &limits).await;
    server.accept_established(listener, table, &limits).await;
    time::sleep(limits().idle_grace).await;
    server.closing.send_replace(());
    server.closing.closed().await;
}

/// Handler, stop signal and logger that all connections of a server share.
struct Server<H> {
    handler: Arc<H>,
    /// Changes when idle connections are to close; each connection holds a receiver.
    closing: watch::Sender<()>,
    guard: CallerGuard,
    stop: watch::Receiver<bool>,
    log: Logger,
}

impl<H: NewHandler + 'static> Server<H> {
    /// Accepts connections until the stop signal, and for `accept_grace` after it.
    async fn accept(
        &self,
        listener: &TcpListener,
        limits: &impl Fn() -> ConnectionLimits,
    ) -> CallerTable {
        let mut stop = self.stop.clone();
        let closed = async {
            // The sender lives as long as the process, so an error counts as a stop as well.
            let _closed = stop.wait_for(|stop| *stop).await.is_err();
            time::sleep(limits().accept_grace).await;
            if limits().blocks_handshakes
                && let Err(error) = block_handshakes(listener)
            {
                warn!(self.log,
                    "cannot block new handshakes; connections during the shutdown may be reset";
                    "error" => %error);
            }
            time::sleep(HANDSHAKE_GRACE).await;
        };
        tokio::pin!(closed);
        let mut table = CallerTable::new(&self.guard, self.log.clone());
        let mut checks = time::interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let (stream, peer) = tokio::select! {
                biased;
                _ = checks.tick() => {
                    table.check(&limits().deadlines, BootClock.now());
                    continue;
                }
                accepted = accept(listener, &self.log) => accepted,
                () = &mut closed => return table,
            };
            self.take_connection(&mut table, stream, peer, limits());
        }
    }

    /// Closes the listener after accepting the connections that the kernel has established by now. The
    /// runtime may not have seen them yet, and closing resets them.
    async fn accept_established(
        &self,
        listener: TcpListener,
        mut table: CallerTable,
        limits: &impl Fn() -> ConnectionLimits,
    ) {
        let Ok(listener) = listener.into_std() else {
            return;
        };
        let accepted = std::iter::from_fn(|| listener.accept().ok());
        let accepted: Vec<_> = accepted.collect();
        drop(listener);
        if accepted.is_empty() {
            return;
        }
        for (stream, peer) in accepted {
            if stream.set_nonblocking(true).is_ok()
                && let Ok(stream) = TcpStream::from_std(stream)
            {
                self.take_connection(&mut table, stream, peer, limits());
            }
        }
        // Their callers may not have sent their requests yet.
        time::sleep(HANDSHAKE_GRACE).await;
    }

    /// Serves a new connection if there is room. One that is not taken is closed; its caller tries another
    /// router.
    fn take_connection(
        &self,
        table: &mut CallerTable,
        stream: TcpStream,
        peer: SocketAddr,
        limits: ConnectionLimits,
    ) {
        let bytes = limits.max_header_bytes;
        let now = BootClock.now();
        let share = table.make_room(limits.max_connections, bytes, limits.reserved_bytes, now);
        if let Some(share) = share {
            self.spawn_connection(table, stream, peer, limits, share);
        }
    }

    /// Serves a connection in a new task. `share` is the memory that the connection takes.
    fn spawn_connection(
        &self,
        table: &mut CallerTable,
        stream: TcpStream,
        peer: SocketAddr,
        limits: ConnectionLimits,
        share: MemoryShare,
    ) {
        let _unset = stream.set_nodelay(true);
        let socket = SockRef::from(&stream);
        let _unset = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        let _unset = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
        let (stream, activity) = CallerTable::open(stream);
        let (handler, stop) = (Arc::clone(&self.handler), self.stop.clone());
        let requests = activity.clone();
        let service = service_fn(move |req| {
            let may_start = requests.start_request();
            let req = req.map(|body| requests.track_request(body));
            let state = State::from_request(req, peer);
            let answer = call_handler(Arc::clone(&handler), AssertUnwindSafe(state));
            let (stop, activity) = (stop.clone(), requests.clone());
            async move {
                if !may_start {
                    return Err(io::Error::from(io::ErrorKind::ConnectionAborted).into());
                }
                let mut answer = answer.await.map(|res| activity.track(res));
                if let (Ok(res), true) = (&mut answer, *stop.borrow()) {
                    let headers = res.headers_mut();
                    headers.insert(CONNECTION, HeaderValue::from_static("close"));
                }
                answer
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.deadlines.idle + limits.deadlines.head)
            .max_buf_size(limits.max_header_bytes)
            .max_headers(limits.max_fields)
            .serve_connection(TokioIo::new(stream), service);
        let closing = self.closing.subscribe();
        let (log, requests) = (self.log.clone(), activity.clone());
        let max_head_time = limits.deadlines.head;
        let task = tokio::spawn(async move {
            let served = serve_connection(connection, requests, closing, max_head_time);
            if let Err(error) = served.await {
                debug!(log, "HTTP connection failed"; "peer" => peer, "error" => %error);
            }
        });
        table.add(activity, task.abort_handle(), share);
    }
}

/// Serves a connection to its end. Once `closing` changes, it ends after the running request, and after
/// the next one if a part of its head has arrived, which may take `max_head_time` more.
async fn serve_connection<C: GracefulConnection>(
    connection: C,
    activity: Activity,
    mut closing: watch::Receiver<()>,
    max_head_time: Duration,
) -> C::Output {
    tokio::pin!(connection);
    tokio::select! {
        biased;
        served = &mut connection => return served,
        _closing = closing.changed() => {}
    }
    let head = finish_head(connection.as_mut(), &activity);
    if let Ok(Some(served)) = time::timeout(max_head_time, head).await {
        return served;
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

/// Serves a connection until no incomplete head waits on it. The HTTP library takes a kept connection as
/// idle until a head is complete, and would close it. Returns the result if the connection has ended.
async fn finish_head<C: GracefulConnection>(
    mut connection: Pin<&mut C>,
    activity: &Activity,
) -> Option<C::Output> {
    poll_fn(|cx| match connection.as_mut().poll(cx) {
        Poll::Ready(served) => Poll::Ready(Some(served)),
        Poll::Pending if activity.has_incomplete_head() => Poll::Pending,
        Poll::Pending => Poll::Ready(None),
    })
    .await
}

/// Attaches a socket filter that drops the SYN packets of new connections; callers retransmit them
/// and then find the port closed. Closing the listener without this filter resets connections that
/// are established but not accepted yet.
fn block_handshakes(listener: &TcpListener) -> io::Result<()> {
    let [load_byte, jump_if_set, ret] = [0x30, 0x45, 0x06];
    SockRef::from(listener).attach_filter(&[
        SockFilter::new(load_byte, 0, 0, TCP_FLAGS_OFFSET),
        SockFilter::new(jump_if_set, 0, 1, TCP_SYN),
        SockFilter::new(ret, 0, 0, 0),
        SockFilter::new(ret, 0, 0, u32::MAX),
    ])
}

/// Accepts the next connection. Logs failures and retries after a pause.
pub(crate) async fn accept(listener: &TcpListener, log: &Logger) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                warn!(log, "cannot accept a connection; retrying after a pause"; "error" => %error);
                time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Binds a TCP listener to `address`.
///
/// # Errors
///
/// Fails when the address is in use or does not belong to this machine.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Reads the body of a request, of at most `limit` bytes, from gotham's state.
///
/// # Errors
///
/// Fails with `TooLarge` above the limit, `SlowRequest` when the body takes too long, and
/// `BadRequest` when it is incomplete or malformed.
pub async fn read_body(state: &mut State, limit: usize) -> Result<Bytes, Code> {
    let body = Limited::new(Body::take_from(state), limit).collect();
    let Ok(body) = time::timeout(RECEIVE_TIMEOUT, body).await else {
        return Err(Code::SlowRequest);
    };
    match body {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Code::TooLarge),
        Err(_) => Err(Code::BadRequest),
    }
}

/// Returns the value of a header; `None` when it is absent or not visible ASCII.
pub fn header<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the token of an `authorization: Bearer` header.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    header(headers, "authorization")?.strip_prefix("Bearer ")
}

/// Builds a body that is sent in one part.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Body::new(Full::new(bytes.into()).map_err(|never: Infallible| match never {}))
}

/// Builds an answer with a JSON body.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut res = Response::new(full_body(text));
    *res.status_mut() = status;
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[serde_as]
#[derive(Serialize)]
struct ErrorDetail<'a> {
    /// Serialized as text, because common chat clients expect a string here.
    #[serde_as(as = "DisplayFromStr")]
    code: u16,
    name: &'a str,
    ran: ebonyfall_core::code::Execution,
    message: &'a str,
    advice: &'a str,
    request_id: String,
}

/// Builds the error answer for a result code. Answers with status 429 or 503 get a `retry-after` of
/// one second.
pub fn error_response(code: Code, message: &str, request: RequestId) -> Response<Body> {
    let detail = ErrorDetail {
        code: code.number(),
        name: code.name(),
        ran: code.execution(),
        message,
        advice: code.advice(),
        request_id: request.to_string(),
    };
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut res = json_response(status, &ErrorBody { error: detail });
    if matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    ) {
        res.headers_mut()
            .insert("retry-after", HeaderValue::from_static("1"));
    }
    res
}
