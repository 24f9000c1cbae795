//! Loopback TCP proxy that injects faults into connections.

use std::{io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration};

use ebonyfall::web;
use tokio::{
    io::AsyncReadExt,
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{Mutex, watch},
    time::sleep,
};

use crate::keyed::LOOPBACK;

/// Most bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Fault that the proxy injects into every connection.
///
/// A direction that has dropped bytes forwards nothing more until the connection ends, even after
/// the fault is cleared. Once a fault that stops bytes is set, no byte is forwarded any more, not
/// even one that the proxy has already read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionFault {
    /// Bytes are forwarded in both directions.
    None,
    /// Each chunk of bytes is forwarded after this delay.
    Delay(Duration),
    /// All connections share a link that forwards this many bytes a second in each direction.
    Rate(u32),
    /// Open connections are closed, and new ones right after they are accepted.
    Reset,
    /// Bytes to the server are dropped; those to the caller are forwarded.
    DropToServer,
    /// Bytes to the caller are dropped; those to the server are forwarded.
    DropToCaller,
    /// Bytes are dropped in both directions; the connection stays open.
    DropAll,
}

/// Link that the connections of a proxy share. A direction is locked while a chunk is on its way.
#[derive(Debug, Clone, Default)]
struct SharedLink {
    to_server: Arc<Mutex<()>>,
    to_caller: Arc<Mutex<()>>,
}

/// Handle that sets the fault of a proxy.
#[derive(Debug)]
pub struct Proxy(watch::Sender<ConnectionFault>);

impl Proxy {
    /// Starts a proxy to `server` on a free loopback port and returns its address.
    ///
    /// # Panics
    ///
    /// Panics when no port is free.
    pub async fn start(server: SocketAddr) -> (Self, SocketAddr) {
        let listener = web::bind(LOOPBACK).await.expect("a port is free");
        let address = listener.local_addr().expect("the socket has an address");
        let (tx, fault) = watch::channel(ConnectionFault::None);
        let link = SharedLink::default();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(relay(caller, server, fault.clone(), link.clone()));
            }
        });
        (Self(tx), address)
    }

    /// Sets the fault for open and new connections.
    pub fn set_fault(&self, fault: ConnectionFault) {
        self.0.send_replace(fault);
    }
}

async fn relay(
    caller: TcpStream,
    server: SocketAddr,
    fault: watch::Receiver<ConnectionFault>,
    link: SharedLink,
) {
    if *fault.borrow() == ConnectionFault::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let mut reset = fault.clone();
    let to_server = Direction {
        to: to_server,
        link: link.to_server,
        drop_fault: ConnectionFault::DropToServer,
    };
    let to_caller = Direction {
        to: to_caller,
        link: link.to_caller,
        drop_fault: ConnectionFault::DropToCaller,
    };
    tokio::select! {
        () = copy(from_caller, to_server, fault.clone()) => {}
        () = copy(from_server, to_caller, fault) => {}
        _ = reset.wait_for(|fault| *fault == ConnectionFault::Reset) => {}
    }
}

/// Result of forwarding one chunk of bytes.
enum Forwarded {
    Whole,
    /// The fault drops the bytes and all later ones of this direction.
    Dropped,
    /// The connection has to be closed.
    Closed,
}

/// Where the bytes of one direction go.
struct Direction {
    to: OwnedWriteHalf,
    link: Arc<Mutex<()>>,
    /// Fault under which the bytes are dropped.
    drop_fault: ConnectionFault,
}

/// Forwards one direction. Returns when either side closes, which closes the whole connection.
async fn copy(
    mut from: OwnedReadHalf,
    direction: Direction,
    fault: watch::Receiver<ConnectionFault>,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    while let Ok(len) = from.read(&mut buf).await {
        if len == 0 {
            return;
        }
        let current = *fault.borrow();
        match current {
            ConnectionFault::Delay(pause) => sleep(pause).await,
            ConnectionFault::Rate(bytes_per_s) => {
                let _turn = direction.link.lock().await;
                let len = u32::try_from(len).unwrap_or(u32::MAX);
                sleep(Duration::from_secs(1) * len / bytes_per_s.max(1)).await;
            }
            _ => {}
        }
        match forward(&direction, &buf[..len], &fault).await {
            Forwarded::Whole => {}
            // Bytes are dropped without closing the connection, so the copy must not return.
            Forwarded::Dropped => return std::future::pending().await,
            Forwarded::Closed => return,
        }
    }
}

/// Writes `bytes` unless the fault forbids it. The fault is read-locked during each write, so that
/// no byte is written after [`Proxy::set_fault`] has returned.
async fn forward(
    direction: &Direction,
    mut bytes: &[u8],
    fault: &watch::Receiver<ConnectionFault>,
) -> Forwarded {
    let Direction { to, drop_fault, .. } = direction;
    while !bytes.is_empty() {
        if to.writable().await.is_err() {
            return Forwarded::Closed;
        }
        let fault = fault.borrow();
        if *fault == ConnectionFault::Reset {
            return Forwarded::Closed;
        }
        if *fault == ConnectionFault::DropAll || *fault == *drop_fault {
            return Forwarded::Dropped;
        }
        match to.try_write(bytes) {
            Ok(len) => bytes = &bytes[len..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return Forwarded::Closed,
        }
    }
    Forwarded::Whole
}
