//! Tests of the agent's client against a faulty engine.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use ebonyfall::engine::{Backend, EngineStatus};
use ebonyfall_core::{
    doc::Priority,
    id::{AttemptId, RequestId},
};
use ebonyfall_standin::hostile::{HostileTarget, Step};
use ebonyfall_wire::frame::Call;
use http_body_util::BodyExt;
use socket2::{Domain, Socket, Type};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Requests that are sent one after another.
const REQUESTS: u32 = 20;

/// Answers each request with its path. On a connection that is used again, a second copy of the
/// first answer comes before the answer.
async fn serve(mut stream: TcpStream) {
    let mut first: Option<String> = None;
    let mut buf = vec![0; 4_096];
    while let Ok(len @ 1..) = stream.read(&mut buf).await {
        let req = String::from_utf8_lossy(&buf[..len]).into_owned();
        let path = req.split(' ').nth(1).unwrap_or_default().to_owned();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{path}",
            path.len()
        );
        let sent = first.clone().unwrap_or_default() + &answer;
        first.get_or_insert(answer);
        if stream.write_all(sent.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the socket has an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

/// Guards against a second copy of an earlier answer, late on a connection that is used again, that
/// is passed to the next caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_copy_of_an_answer_reaches_no_other_request() {
    let backend = Backend::new(
        &format!("http://{}", start().await)
            .parse()
            .expect("it is a URL"),
    );
    for number in 0..REQUESTS {
        let path = format!("/chat/{number:04}");
        let call = Call {
            method: "POST".to_owned(),
            path: path.clone(),
            content_type: String::new(),
            body: Bytes::new(),
        };
        let attempt = AttemptId {
            request: RequestId::from(u128::from(number)),
            number: 0,
        };
        let answer = backend.call(attempt, Priority::Desk, true, call).await;
        let answer = answer.expect("the engine answers");
        let body = answer.body.collect().await;
        let body = body.expect("the answer is complete").to_bytes();
        assert_eq!(body, path.as_bytes());
    }
}

/// Guards against an engine that is only silent being taken for one that is down: its running requests
/// would be given up. Connections to it are neither accepted nor refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_engine_is_not_taken_for_down() {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("sockets are left");
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    listener.bind(&loopback.into()).expect("a port is free");
    listener.listen(0).expect("the port is bound");
    let address = listener.local_addr().expect("the port is bound");
    let address = address.as_socket().expect("it is an IP address");
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) =
        timeout(Duration::from_millis(200), TcpStream::connect(address)).await
    {
        queued.push(stream);
    }
    let backend = Backend::new(&format!("http://{address}").parse().expect("it is a URL"));
    for _ in 0..10 {
        assert_eq!(backend.status().await, EngineStatus::Unknown);
    }
    drop((listener, queued));
    assert_eq!(backend.status().await, EngineStatus::Down);
}

/// Guards against an engine in trouble that is taken for one that is down, because it answers with bytes
/// that are no answer: its ramp starts again, and a request that fails then counts as the cause of a
/// crash.
#[tokio::test]
async fn an_engine_without_a_proper_answer_is_not_taken_for_down() {
    let (target, address) = HostileTarget::start().await;
    let backend = Backend::new(&format!("http://{address}").parse().expect("it is a URL"));
    let status = r#"{"incarnation":1,"cold":false}"#;
    let answer = |code: &str| {
        let len = status.len();
        format!("HTTP/1.1 {code} Any\r\nContent-Length: {len}\r\n\r\n{status}")
    };
    let up = EngineStatus::Up {
        incarnation: 1.into(),
        cold: false,
    };
    for (bytes, expected) in [
        (answer("200"), up),
        (answer("000"), EngineStatus::Unknown),
        (answer("099"), EngineStatus::Unknown),
        (answer("2000"), EngineStatus::Unknown),
        (answer("600"), EngineStatus::Unknown),
        (answer("101"), EngineStatus::Unknown),
        (
            "bytes that are no answer\r\n\r\n".to_owned(),
            EngineStatus::Unknown,
        ),
        (answer("102").repeat(200), EngineStatus::Unknown),
        (String::new(), EngineStatus::Down),
        (answer("200")[..20].to_owned(), EngineStatus::Down),
    ] {
        target.set_script([Step::Execute, Step::Send(bytes.clone()), Step::Close]);
        assert_eq!(backend.status().await, expected, "{bytes:?}");
    }
}
