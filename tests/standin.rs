//! Tests of the stand-ins themselves: the proxy that injects faults, and the choice of ports.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener as StdListener, UdpSocket},
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use ebonyfall_standin::{
    deploy::free_address,
    proxy::{ConnectionFault, Proxy},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Loopback address with a port that the system chooses.
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Ports that are taken while other threads start processes.
const PORTS: usize = 3_000;
/// Threads that start processes meanwhile.
const STARTERS: usize = 4;
/// Repetitions of a race that is decided by the order in which tasks run.
const ROUNDS: usize = 200;
/// Time within which a byte that the proxy passes on would arrive.
const ARRIVAL_TIME: Duration = Duration::from_millis(20);

/// Guards against a proxy that passes on bytes which the server sends after the connections were
/// reset: a router under test then gets an answer of a store that it must not reach.
#[tokio::test(flavor = "multi_thread")]
async fn no_byte_passes_after_a_fault_is_set() {
    for fault in [ConnectionFault::Reset, ConnectionFault::DropAll] {
        for round in 0..ROUNDS {
            let listener = TcpListener::bind(LOOPBACK).await.expect("a port is free");
            let address = listener.local_addr().expect("the socket has an address");
            let (proxy, address) = Proxy::start(address).await;
            let mut caller = TcpStream::connect(address).await.unwrap();
            let (mut server, _) = listener.accept().await.unwrap();
            proxy.set_fault(fault);
            // The write fails if the proxy has already closed the connection.
            let _closed = server.write_all(b"answer").await;
            let received = timeout(ARRIVAL_TIME, caller.read(&mut [0; 8])).await;
            let passed = matches!(received, Ok(Ok(1..)));
            assert!(!passed, "round {round}: {fault:?} let a byte pass");
        }
    }
}

/// Guards against "address already in use" for a port that has just been given out: a process that
/// another thread starts holds copies of open sockets until it has loaded its program.
#[test]
fn a_free_port_can_be_bound_while_processes_start() {
    let done = Arc::new(AtomicBool::new(false));
    let starters: Vec<_> = (0..STARTERS)
        .map(|_| {
            let done = Arc::clone(&done);
            thread::spawn(move || {
                while !done.load(Ordering::Relaxed) {
                    let ended = Command::new("true").status();
                    assert!(ended.is_ok(), "the program `true` can be started");
                }
            })
        })
        .collect();
    let taken = (0..PORTS).filter(|_| {
        let address = free_address();
        StdListener::bind(address).is_err() || UdpSocket::bind(address).is_err()
    });
    let taken = taken.count();
    done.store(true, Ordering::Relaxed);
    for starter in starters {
        starter.join().expect("the thread does not panic");
    }
    assert_eq!(taken, 0, "of {PORTS} ports were taken");
}
