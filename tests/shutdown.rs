//! Tests of connections that callers make or keep open while a server stops.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    pin::Pin,
    thread,
    time::Duration,
};

use ebonyfall::{
    callers::CallerGuard,
    web::{self, ConnectionLimits},
};
use gotham::{
    handler::{HandlerError, HandlerFuture},
    state::State,
};
use http::Response;
use slog::{Discard, Logger, o};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
    sync::watch,
    time::sleep,
};

/// Number of repetitions of the test.
const ROUNDS: usize = 6;
/// Number of servers that stop at the same time in each round.
const CONCURRENT_SERVERS: usize = 8;
/// Number of concurrent callers of each server.
const CALLERS_PER_SERVER: usize = 6;
/// Time for which a server serves calls before its stop signal.
const SERVING_TIME: Duration = Duration::from_millis(20);

/// Time for which other work blocks the server's only thread.
const BUSY_TIME: Duration = Duration::from_millis(3);
/// Pause between two such blocks.
const FREE_TIME: Duration = Duration::from_millis(1);
/// Pause of a caller after an answered call.
const CALL_PAUSE: Duration = Duration::from_millis(5);

/// Number of connections that callers keep open.
const KEPT_CONNECTIONS: usize = 24;
/// Time from the stop signal until the server's only thread is blocked; connections are still accepted.
const BEFORE_BLOCK: Duration = Duration::from_millis(50);
/// Time for which it is blocked; longer than connections are accepted.
const BLOCK_TIME: Duration = Duration::from_millis(400);
/// Time within which a caller has its answer.
const ANSWER_TIME: Duration = Duration::from_secs(5);
/// A request, and two parts of one.
const REQUEST: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const HEAD_START: &str = "GET / HTTP/1.1\r\nhost:";
const HEAD_END: &str = " a\r\n\r\n";

/// Result of a call.
#[derive(Debug, PartialEq, Eq)]
enum Call {
    Answered,
    /// The TCP connection was refused or failed.
    NotConnected,
    /// The connection was established, but broke or ended before an answer arrived.
    Cut(io::ErrorKind),
}

fn call(address: SocketAddr) -> Call {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return Call::NotConnected;
    };
    let mut answer = Vec::new();
    let ended = stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .and_then(|()| stream.read_to_end(&mut answer));
    match ended {
        Ok(_) if answer.starts_with(b"HTTP/1.1 200 ") => Call::Answered,
        Ok(_) => Call::Cut(io::ErrorKind::UnexpectedEof),
        Err(error) => Call::Cut(error.kind()),
    }
}

fn listen() -> (Runtime, TcpListener, SocketAddr) {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime needs only memory");
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = runtime
        .block_on(web::bind(address))
        .expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    (runtime, listener, address)
}

/// Answers every request until `stop` turns true.
fn serve(
    runtime: &Runtime,
    listener: TcpListener,
    limits: impl Fn() -> ConnectionLimits,
    stop: watch::Receiver<bool>,
) {
    let handler = || {
        Ok(|state: State| {
            let res: Result<_, (State, HandlerError)> =
                Ok((state, Response::new(web::full_body("done"))));
            Box::pin(std::future::ready(res)) as Pin<Box<HandlerFuture>>
        })
    };
    let log = Logger::root(Discard, o!());
    let guard = CallerGuard::default();
    runtime.block_on(web::serve(listener, handler, limits, guard, stop, log));
}

/// Starts a server, stops it while callers send requests, and returns the calls that were cut.
fn stop_under_calls(limits: fn() -> ConnectionLimits) -> Vec<Call> {
    let (runtime, listener, address) = listen();
    let (tx, stop) = watch::channel(false);
    let server = thread::spawn(move || {
        runtime.spawn(async {
            loop {
                thread::sleep(BUSY_TIME);
                sleep(FREE_TIME).await;
            }
        });
        serve(&runtime, listener, limits, stop);
    });
    let callers: Vec<_> = (0..CALLERS_PER_SERVER)
        .map(|_| {
            thread::spawn(move || {
                let mut cut = Vec::new();
                loop {
                    match call(address) {
                        Call::Answered => thread::sleep(CALL_PAUSE),
                        Call::NotConnected => return cut,
                        broken @ Call::Cut(_) => cut.push(broken),
                    }
                }
            })
        })
        .collect();
    thread::sleep(SERVING_TIME);
    tx.send_replace(true);
    let cut = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("callers do not panic"));
    let cut = cut.collect();
    server.join().expect("the server ends");
    cut
}

/// Guards against connections that the operating system has established but the server has not yet
/// accepted: closing the listener resets them.
#[test]
fn stopping_server_answers_every_established_connection() {
    check_established(ConnectionLimits::default);
}

/// Guards against the same where handshakes cannot be blocked before the listener is closed.
#[test]
fn stopping_server_answers_established_connections_without_a_filter() {
    check_established(|| ConnectionLimits {
        blocks_handshakes: false,
        ..ConnectionLimits::default()
    });
}

fn check_established(limits: fn() -> ConnectionLimits) {
    for round in 0..ROUNDS {
        let servers: Vec<_> = (0..CONCURRENT_SERVERS)
            .map(|_| thread::spawn(move || stop_under_calls(limits)))
            .collect();
        let cut = servers
            .into_iter()
            .flat_map(|server| server.join().expect("servers do not panic"));
        let cut: Vec<_> = cut.collect();
        assert_eq!(cut, [], "round {round}");
    }
}

/// Connection that its caller keeps open.
struct KeptConnection(BufReader<TcpStream>);

impl KeptConnection {
    fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the server listens");
        stream
            .set_read_timeout(Some(ANSWER_TIME))
            .expect("the time is not zero");
        Self(BufReader::new(stream))
    }

    fn send(&mut self, part: &str) {
        let sent = self.0.get_mut().write_all(part.as_bytes());
        sent.expect("the connection is open");
    }

    /// Returns the status line of the next answer, or how the connection ended.
    fn receive(&mut self) -> Result<String, io::ErrorKind> {
        let mut status = String::new();
        let mut line = String::new();
        while line != "\r\n" {
            line.clear();
            match self.0.read_line(&mut line) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof),
                Ok(_) if status.is_empty() => status.clone_from(&line),
                Ok(_) => {}
                Err(error) => return Err(error.kind()),
            }
        }
        let mut body = [0; "done".len()];
        self.0.read_exact(&mut body).map_err(|error| error.kind())?;
        Ok(status.trim_end().to_owned())
    }
}

/// Stops a server that keeps no idle connection, while its thread is blocked for longer than it accepts
/// connections. Callers send `first` on kept connections before the stop signal and `second` so long after
/// it. Returns the answers to these requests.
fn stop_under_block(
    first: &str,
    second: &str,
    after_stop: Duration,
) -> Vec<Result<String, io::ErrorKind>> {
    let (runtime, listener, address) = listen();
    let (tx, stop) = watch::channel(false);
    let mut stopped = stop.clone();
    let server = thread::spawn(move || {
        runtime.spawn(async move {
            stopped.wait_for(|stop| *stop).await.expect("it is sent");
            sleep(BEFORE_BLOCK).await;
            thread::sleep(BLOCK_TIME);
        });
        let limits = || ConnectionLimits {
            idle_grace: Duration::ZERO,
            ..ConnectionLimits::default()
        };
        serve(&runtime, listener, limits, stop);
    });
    let connections = (0..KEPT_CONNECTIONS).map(|_| KeptConnection::open(address));
    let mut connections: Vec<_> = connections.collect();
    for connection in &mut connections {
        connection.send(REQUEST);
        let answer = connection.receive().expect("the server serves");
        assert_eq!(answer, "HTTP/1.1 200 OK");
        connection.send(first);
    }
    thread::sleep(BEFORE_BLOCK);
    tx.send_replace(true);
    thread::sleep(after_stop);
    for connection in &mut connections {
        let _closed = connection.0.get_mut().write_all(second.as_bytes());
    }
    let answers = connections.iter_mut().map(KeptConnection::receive);
    let answers = answers.collect();
    server.join().expect("the server ends");
    answers
}

/// Guards against kept connections that are closed without reading the requests that have arrived on
/// them, after the server's thread stood still around the end of its time to accept.
#[test]
fn stopping_server_answers_requests_that_have_arrived_on_kept_connections() {
    let answers = stop_under_block("", REQUEST, BEFORE_BLOCK + BLOCK_TIME / 2);
    let answered = vec![Ok("HTTP/1.1 200 OK".to_owned()); KEPT_CONNECTIONS];
    assert_eq!(answers, answered);
}

/// Guards against kept connections that are closed although a part of the next request's head has been
/// read.
#[test]
fn stopping_server_answers_requests_whose_head_has_begun_on_kept_connections() {
    let answers = stop_under_block(HEAD_START, HEAD_END, BEFORE_BLOCK + 2 * BLOCK_TIME);
    let answered = vec![Ok("HTTP/1.1 200 OK".to_owned()); KEPT_CONNECTIONS];
    assert_eq!(answers, answered);
}
