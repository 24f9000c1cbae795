//! Connections to targets.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{passage::Failure, time::Time};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

/// Longest wait for a new connection; in lossy networks another target answers sooner than a
/// repeated opening packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without an acknowledgement after which the system gives a connection up.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which an idle connection is used again where the target does not say how long it
/// keeps one.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Time before the end of a target's own limit at which an idle connection is not used any more.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Ends a connection's task when it is dropped, which closes the socket.
#[derive(Debug)]
struct Task(AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to a target; dropping it closes the connection and so ends the target's work.
#[derive(Debug)]
pub struct TargetConnection {
    sender: SendRequest<Full<Bytes>>,
    _task: Task,
    idle_since: Time,
    idle_limit: Duration,
}

impl TargetConnection {
    /// Connects to a target.
    ///
    /// # Errors
    ///
    /// Fails when there is no connection in time.
    pub async fn connect(address: SocketAddr, now: Time) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_late| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // The request on the connection learns of its failure by itself.
            let _failed = connection.await.is_err();
        });
        Ok(Self {
            sender,
            _task: Task(task.abort_handle()),
            idle_since: now,
            idle_limit: DEFAULT_IDLE,
        })
    }

    /// Sends a request and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// Fails with `NotSent` when the target cannot have received any of it.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, Failure> {
        match self.sender.try_send_request(req).await {
            Ok(res) => Ok(res),
            Err(mut error) => match error.take_message() {
                Some(_unsent) => Err(Failure::NotSent),
                None => Err(Failure::Broken),
            },
        }
    }

    /// Notes that the connection is idle from `now` on, and how long the target keeps it.
    pub fn mark_idle(&mut self, limit: Option<Duration>, now: Time) {
        self.idle_since = now;
        if let Some(limit) = limit {
            self.idle_limit = limit.saturating_sub(IDLE_MARGIN);
        }
    }

    /// Whether the target still takes requests on the connection, as far as known.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.sender.is_closed() && self.idle_for(now) < self.idle_limit
    }

    /// Time for which the connection has been idle.
    pub fn idle_for(&self, now: Time) -> Duration {
        now.since(self.idle_since)
    }
}
