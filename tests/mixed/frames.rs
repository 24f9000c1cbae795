//! Messages between routers, and between routers and agents, that are cut off.

use std::{net::SocketAddr, time::Duration};

use ebonyfall::link::{Identity, Link};
use ebonyfall_core::name::ProcessName;
use ebonyfall_wire::auth::{Key, Keys};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, copy},
    net::{TcpListener, TcpStream},
};

/// Messages that the responder sends on each connection.
const MESSAGES: [&str; 2] = ["the first message", "the second message"];

/// How a connection ends.
#[derive(Debug, Clone, Copy)]
enum End {
    Close,
    Reset,
}

fn identity(name: &str) -> Identity {
    Identity {
        name: ProcessName::new(name).expect("a valid name"),
        incarnation: 1.into(),
        keys: Keys::new(Key::new([5; 16]), None),
    }
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("the socket has an address");
    (listener, address)
}

/// Accepts one connection, sends the messages, and waits until it is closed.
async fn respond(listener: TcpListener) {
    let (stream, _) = listener.accept().await.expect("a connection");
    let Ok(mut link) = Link::accept(&identity("responder"), stream).await else {
        return;
    };
    for message in MESSAGES {
        if link.send(&message).await.is_err() {
            return;
        }
    }
    let _closed = link.receive::<String>().await;
}

/// Forwards one connection to `server`, but only the first `bytes` bytes of the way back.
async fn forward(listener: TcpListener, server: SocketAddr, bytes: u64, end: End) {
    let (stream, _) = listener.accept().await.expect("a connection");
    let server = TcpStream::connect(server).await.expect("the responder");
    let (mut from_caller, mut to_caller) = stream.into_split();
    let (from_server, mut to_server) = server.into_split();
    let there = tokio::spawn(async move { copy(&mut from_caller, &mut to_server).await });
    let _ended = copy(&mut from_server.take(bytes), &mut to_caller).await;
    if matches!(end, End::Reset) {
        let _set = SockRef::from(to_caller.as_ref()).set_linger(Some(Duration::ZERO));
    }
    there.abort();
    let _ended = there.await;
}

/// Guards against a message of another router or of an agent that counts although it was cut off.
#[tokio::test]
async fn a_message_that_is_cut_off_is_none() {
    for end in [End::Close, End::Reset] {
        let mut whole = Vec::new();
        for bytes in 0.. {
            let (responder, server) = bind().await;
            let (relay, address) = bind().await;
            let responder = tokio::spawn(respond(responder));
            let relay = tokio::spawn(forward(relay, server, bytes, end));
            let mut received = Vec::new();
            if let Ok(mut link) = Link::dial(&identity("initiator"), address).await {
                while received.len() < MESSAGES.len()
                    && let Ok(message) = link.receive::<String>().await
                {
                    received.push(message);
                }
            }
            assert_eq!(received, MESSAGES[..received.len()], "{bytes} {end:?}");
            whole.push(received.len());
            responder.abort();
            relay.await.expect("the relay ends");
            if received.len() == MESSAGES.len() {
                break;
            }
        }
        // The second message takes more than a byte, each of which was missing once.
        let partial = whole.iter().filter(|count| **count == 1).count();
        assert!(partial > MESSAGES[1].len(), "{end:?}: {whole:?}");
    }
}
