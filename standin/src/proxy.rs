//! Loopback TCP proxy that injects faults into connections.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use ebonyfall::web;
use tokio::{
    io::AsyncReadExt,
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
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
    /// Open connections are closed, and new ones right after they are accepted.
    Reset,
    /// Bytes to the server are dropped; those to the caller are forwarded.
    DropToServer,
    /// Bytes to the caller are dropped; those to the server are forwarded.
    DropToCaller,
    /// Bytes are dropped in both directions; the connection stays open.
    DropAll,
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
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(relay(caller, server, fault.clone()));
            }
        });
        (Self(tx), address)
    }

    /// Sets the fault for open and new connections.
    pub fn set_fault(&self, fault: ConnectionFault) {
        self.0.send_replace(fault);
    }
}

async fn relay(caller: TcpStream, server: SocketAddr, fault: watch::Receiver<ConnectionFault>) {
    if *fault.borrow() == ConnectionFault::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let mut reset = fault.clone();
    tokio::select! {
        () = copy(from_caller, to_server, fault.clone(), ConnectionFault::DropToServer) => {}
        () = copy(from_server, to_caller, fault, ConnectionFault::DropToCaller) => {}
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

/// Forwards one direction, and drops its bytes under `drop_fault`. Returns when either side closes,
/// which closes the whole connection.
async fn copy(
    mut from: OwnedReadHalf,
    to: OwnedWriteHalf,
    fault: watch::Receiver<ConnectionFault>,
    drop_fault: ConnectionFault,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    while let Ok(len) = from.read(&mut buf).await {
        if len == 0 {
            return;
        }
        let pause = match *fault.borrow() {
            ConnectionFault::Delay(pause) => Some(pause),
            _ => None,
        };
        if let Some(pause) = pause {
            sleep(pause).await;
        }
        match forward(&to, &buf[..len], &fault, drop_fault).await {
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
    to: &OwnedWriteHalf,
    mut bytes: &[u8],
    fault: &watch::Receiver<ConnectionFault>,
    drop_fault: ConnectionFault,
) -> Forwarded {
    while !bytes.is_empty() {
        if to.writable().await.is_err() {
            return Forwarded::Closed;
        }
        let fault = fault.borrow();
        if *fault == ConnectionFault::Reset {
            return Forwarded::Closed;
        }
        if *fault == ConnectionFault::DropAll || *fault == drop_fault {
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
