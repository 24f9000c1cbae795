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
const CHUNK: usize = 16 << 10;

/// What happens to the bytes of every connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    /// They pass.
    None,
    /// They pass late.
    Delay(Duration),
    /// Connections are closed, new ones too.
    Reset,
    /// Bytes to the server are lost; the others pass.
    CutUp,
    /// Bytes to the caller are lost; the others pass.
    CutDown,
    /// No byte passes.
    Silence,
}

/// Steers the proxy.
#[derive(Debug)]
pub struct Proxy(watch::Sender<Harm>);

impl Proxy {
    /// Passes connections to a free loopback port, which it returns, on to `server`.
    ///
    /// # Panics
    ///
    /// Panics when no port is free.
    pub async fn start(server: SocketAddr) -> (Self, SocketAddr) {
        let listener = web::bind(LOOPBACK).await.expect("a port is free");
        let address = listener.local_addr().expect("the socket has an address");
        let (tx, harm) = watch::channel(Harm::None);
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(pass(caller, server, harm.clone()));
            }
        });
        (Self(tx), address)
    }

    /// Changes what happens from now on.
    pub fn set(&self, harm: Harm) {
        self.0.send_replace(harm);
    }
}

async fn pass(caller: TcpStream, server: SocketAddr, harm: watch::Receiver<Harm>) {
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let mut reset = harm.clone();
    tokio::select! {
        () = copy(from_caller, to_server, harm.clone(), Harm::CutUp) => {}
        () = copy(from_server, to_caller, harm, Harm::CutDown) => {}
        _ = reset.wait_for(|harm| *harm == Harm::Reset) => {}
    }
}

/// Ends when the source does, which ends the whole connection.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    harm: watch::Receiver<Harm>,
    cut: Harm,
) {
    let mut buf = vec![0; CHUNK];
    while let Ok(len) = from.read(&mut buf).await {
        if len == 0 {
            return;
        }
        let harm = *harm.borrow();
        if harm == Harm::Silence || harm == cut {
            // What is lost leaves the connection open without an end.
            return std::future::pending().await;
        }
        if let Harm::Delay(pause) = harm {
            sleep(pause).await;
        }
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
