//! Tests of connections that callers make while a server stops.

use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use ebonyfall::{
    callers::CallerGuard,
    web::{self, ConnectionLimits},
};
use gotham::state::State;
use http::Response;
use slog::{Discard, Logger, o};
use tokio::{runtime::Builder, sync::watch, time::sleep};

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

/// Starts a server, stops it while callers send requests, and returns the calls that were cut.
fn stop_under_calls() -> Vec<Call> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime needs only memory");
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = runtime
        .block_on(web::bind(address))
        .expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let (tx, stop) = watch::channel(false);
    let server = thread::spawn(move || {
        let handler = || {
            Ok(|state: State| {
                let res: (State, _) = (state, Response::new(web::full_body("done")));
                Box::pin(std::future::ready(Ok(res)))
                    as std::pin::Pin<Box<gotham::handler::HandlerFuture>>
            })
        };
        let log = Logger::root(Discard, o!());
        runtime.spawn(async {
            loop {
                thread::sleep(BUSY_TIME);
                sleep(FREE_TIME).await;
            }
        });
        runtime.block_on(web::serve(
            listener,
            handler,
            ConnectionLimits::default,
            CallerGuard::default(),
            stop,
            log,
        ));
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
    for round in 0..ROUNDS {
        let servers: Vec<_> = (0..CONCURRENT_SERVERS)
            .map(|_| thread::spawn(stop_under_calls))
            .collect();
        let cut = servers
            .into_iter()
            .flat_map(|server| server.join().expect("servers do not panic"));
        let cut: Vec<_> = cut.collect();
        assert_eq!(cut, [], "round {round}");
    }
}
