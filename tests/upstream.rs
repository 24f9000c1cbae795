//! Tests of connections to targets.

use std::{
    io::{self, ErrorKind},
    time::Duration,
};

use bytes::Bytes;
use ebonyfall::{
    clock::BootClock,
    upstream::{ReadBuffer, TargetConnection},
};
use ebonyfall_core::direct::Failure;
use http::{Request, header::HOST};
use http_body_util::{BodyExt, Full};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Larger than the buffers of both sockets, so that a part of the body has not been sent.
const BODY_BYTES: usize = 32 << 20;
/// Time within which the answers of the tests below are taken or refused.
const ANSWER_TIME: Duration = Duration::from_secs(10);
/// Time for which a router waits for the answer before it gives the request up.
const PATIENCE: Duration = Duration::from_millis(100);

fn request(body: Vec<u8>) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::from(body));
    req.headers_mut()
        .insert(HOST, "host.example".parse().expect("a header value"));
    req
}

async fn connected() -> io::Result<(TargetConnection, TcpStream)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let connecting = TargetConnection::connect(address, ReadBuffer::Adaptive, BootClock.now());
    let (connection, accepted) = tokio::join!(connecting, listener.accept());
    Ok((connection?, accepted?.0))
}

/// Reads all that a connection still delivers; returns how it ended.
async fn end_of(mut stream: TcpStream) -> io::Result<usize> {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await
}

/// Guards against requests that arrive at a target after the router has given them up: the kernel
/// goes on sending what an orderly close leaves behind, which reached targets seconds later, when
/// the cut of a link ended and they had left.
#[tokio::test]
async fn a_request_that_was_given_up_is_not_delivered() {
    let (mut connection, stream) = connected().await.expect("a connection");
    let answer = timeout(PATIENCE, connection.send(request(vec![b'x'; BODY_BYTES]))).await;
    assert!(answer.is_err(), "the target answers nothing");
    drop(connection);
    let end = timeout(Duration::from_secs(10), end_of(stream)).await;
    let end = end.expect("the connection is closed");
    assert_eq!(
        end.map_err(|error| error.kind()),
        Err(ErrorKind::ConnectionReset)
    );
}

/// Guards against resets of connections whose request has been answered.
#[tokio::test]
async fn a_connection_without_an_open_request_is_closed_in_order() {
    let (mut connection, mut stream) = connected().await.expect("a connection");
    let target = tokio::spawn(async move {
        let mut head = [0; 4_096];
        let read = stream.read(&mut head).await?;
        assert!(read > 0, "a request arrives");
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
            .await?;
        end_of(stream).await
    });
    let res = connection.send(request(Vec::new())).await;
    let res = res.expect("an answer");
    let body = res.into_body().collect().await.expect("a body");
    assert_eq!(body.to_bytes(), "ok");
    connection.mark_idle(None, BootClock.now());
    drop(connection);
    let end = target.await.expect("the target does not panic");
    assert_eq!(end.map_err(|error| error.kind()), Ok(0));
}

/// Sends a request, and these bytes as the answer to it. Returns how the connection takes it.
async fn answered_with(bytes: String) -> Result<u16, Failure> {
    let (mut connection, mut stream) = connected().await.expect("a connection");
    let target = tokio::spawn(async move {
        let sent = stream.write_all(bytes.as_bytes()).await;
        // The answer alone decides, so the connection stays open.
        let _closed = end_of(stream).await;
        sent
    });
    let sent = timeout(ANSWER_TIME, connection.send(request(Vec::new()))).await;
    let sent = sent.expect("an answer or a failure in time");
    drop(connection);
    let _sent = target.await.expect("the target does not panic");
    sent.map(|res| res.status().as_u16())
}

/// Guards against interim answers that keep a connection busy as long as their bytes allow: each is
/// parsed, and 64 of such answers took a router 0.4 s of processor time.
#[tokio::test]
async fn too_many_interim_answers_are_no_answer() {
    let interim = "HTTP/1.1 102 Processing\r\n\r\n";
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let few = format!("{}{answer}", interim.repeat(100));
    assert_eq!(answered_with(few).await, Ok(200));
    let endless = interim.repeat(101);
    assert_eq!(answered_with(endless).await, Err(Failure::Oversized));
}

/// Guards against a head with more fields than an answer may have, and against a lower limit.
#[tokio::test]
async fn a_head_has_at_most_100_fields() {
    let head = |fields: usize| format!("HTTP/1.1 200 OK\r\n{}\r\n", "a: b\r\n".repeat(fields));
    assert_eq!(answered_with(head(100)).await, Ok(200));
    assert_eq!(answered_with(head(101)).await, Err(Failure::Broken));
}
