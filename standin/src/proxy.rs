//! A loopback proxy that harms connections.

use std::{net::SocketAddr, time::Duration};

use ebonyfall::web;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::sleep,
};

use crate::keyed::LOOPBACK;

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// What happens to the bytes of every connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionFault {
    /// They pass.
    None,
    /// They pass late.
    Delay(Duration),
    /// Connections are closed, new ones too.
    Reset,
    /// Bytes to the server are lost; the others pass.
    DropToServer,
    /// Bytes to the caller are lost; the others pass.
    DropToCaller,
    /// No byte passes.
    DropAll,
}

/// Steers the proxy.
#[derive(Debug)]
pub struct Proxy(watch::Sender<ConnectionFault>);

impl Proxy {
    /// Passes connections to a free loopback port, which it returns, on to `server`.
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

    /// Changes what happens from now on.
    pub fn set_fault(&self, fault: ConnectionFault) {
        self.0.send_replace(fault);
    }
}

async fn relay(caller: TcpStream, server: SocketAddr, fault: watch::Receiver<ConnectionFault>) {
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

/// Ends when the source does, which ends the whole connection.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: watch::Receiver<ConnectionFault>,
    direction: ConnectionFault,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    while let Ok(len) = from.read(&mut buf).await {
        if len == 0 {
            return;
        }
        let fault = *fault.borrow();
        if fault == ConnectionFault::DropAll || fault == direction {
            // What is lost leaves the connection open without an end.
            return std::future::pending().await;
        }
        if let ConnectionFault::Delay(pause) = fault {
            sleep(pause).await;
        }
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
