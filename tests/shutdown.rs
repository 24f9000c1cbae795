//! Callers that connect while a server stops.

use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use ebonyfall::web::{self, ConnectionLimits};
use gotham::state::State;
use http::Response;
use slog::{Discard, Logger, o};
use tokio::{runtime::Builder, sync::watch, time::sleep};

/// Servers that are stopped in turn.
const ROUNDS: usize = 6;
/// Servers that are stopped beside each other.
const CONCURRENT_SERVERS: usize = 8;
/// Callers of each server.
const CALLERS_PER_SERVER: usize = 6;
/// Time for which a server takes calls before it is told to stop.
const SERVING_TIME: Duration = Duration::from_millis(20);

/// Time for which other work keeps the server's only thread busy, and the pause between.
const BUSY_TIME: Duration = Duration::from_millis(3);
const FREE_TIME: Duration = Duration::from_millis(1);
/// Pause of a caller between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(5);

/// How a call ended.
#[derive(Debug, PartialEq, Eq)]
enum Call {
    Answered,
    /// The connection was never made.
    Unconnected,
    /// The connection was made, and broken without an answer.
    Cut(io::ErrorKind),
}

fn call(address: SocketAddr) -> Call {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return Call::Unconnected;
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

/// Starts a server, stops it under calls, and returns the calls that were cut.
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
                let res: (State, _) = (state, Response::new(web::full("done")));
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
                        Call::Unconnected => return cut,
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

/// Guards against connections that the system has made for a server, and that are reset when the
/// server closes its listener without having taken them.
#[test]
fn a_server_that_stops_answers_every_connection_that_was_made() {
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
