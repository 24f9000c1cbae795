//! Requests of callers to entry routers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

use super::{EntryDeployment, TEAM_KEY};

/// Time limit for connecting to a router.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A router's answer to one request.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Time from sending the request on an open connection to receiving the answer's headers.
    pub time_to_head: Duration,
    /// HTTP headers of the answer.
    pub headers: HeaderMap,
    /// Complete body, or an error when the connection closed within it.
    pub body: Result<String, hyper::Error>,
}

/// A caller's connection to a router, which carries one request after another.
#[derive(Debug)]
pub struct CallerConnection(SendRequest<Full<Bytes>>);

impl CallerConnection {
    /// Connects to a router; `None` when it does not accept the connection.
    pub async fn open(address: SocketAddr) -> Option<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.ok()?.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(Self(sender))
    }

    /// Whether the connection has closed or will not take another request.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Sends a request. Returns `None` when the connection closes before an answer.
    pub async fn call(
        &mut self,
        id: &str,
        request_parts: (&str, &str, &str),
        headers: &[(&str, &str)],
    ) -> Option<Reply> {
        self.send(request(id, request_parts, headers)).await
    }

    async fn send(&mut self, req: Request<Full<Bytes>>) -> Option<Reply> {
        self.0.ready().await.ok()?;
        let sent = Instant::now();
        let res = self.0.send_request(req).await.ok()?;
        let time_to_head = sent.elapsed();
        let (head, body) = res.into_parts();
        let body = body.collect().await;
        Some(Reply {
            status: head.status,
            time_to_head,
            headers: head.headers,
            body: body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned()),
        })
    }
}

impl EntryDeployment {
    /// Sends a request on a new connection to `address`. Returns `None` when the connection fails
    /// or closes before an answer.
    pub async fn call(
        address: SocketAddr,
        id: &str,
        request_parts: (&str, &str, &str),
        headers: &[(&str, &str)],
    ) -> Option<Reply> {
        let mut connection = CallerConnection::open(address).await?;
        connection.call(id, request_parts, headers).await
    }

    /// Sends a request to the first router and closes the connection after `after`.
    ///
    /// # Panics
    ///
    /// Panics when the router does not accept the connection, or answers within `after`.
    pub async fn call_and_disconnect(&self, method: &str, path: &str, after: Duration) {
        let req = request("leaves", (method, path, ""), &[]);
        let stream = TcpStream::connect(self.routers[0].listen).await;
        let stream = stream.expect("the router listens");
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .expect("the connection is new");
        let connection = tokio::spawn(connection);
        let outcome = timeout(after, sender.send_request(req)).await;
        assert!(
            outcome.is_err(),
            "the router answered before the caller disconnected"
        );
        connection.abort();
    }
}

fn request(
    id: &str,
    (method, path, body): (&str, &str, &str),
    headers: &[(&str, &str)],
) -> Request<Full<Bytes>> {
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "spine.example")
        .header("ebonyfall-attempt-id", id);
    let key = format!("Bearer {TEAM_KEY}");
    for (name, value) in [("ebonyfall-deadline-ms", "2000"), ("authorization", &key)] {
        if !headers.iter().any(|(given, _)| *given == name) {
            req = req.header(name, value);
        }
    }
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    req.body(Full::from(body.to_owned()))
        .expect("the parts are valid")
}

pub(super) async fn get(address: SocketAddr, path: &str) -> Option<Reply> {
    let req = Request::builder().uri(path).header("host", "x");
    let mut connection = CallerConnection::open(address).await?;
    connection.send(req.body(Full::from("")).ok()?).await
}
