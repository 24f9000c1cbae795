//! HTTP connections from an entry router to targets.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{direct::Failure, time::Time};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

/// Longest wait for a new connection. When a SYN packet is lost, trying another target is faster
/// than waiting for the retransmission.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that sent data may stay unacknowledged before the kernel closes a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest idle time of a connection that is used again, unless the target announces its own idle
/// time-out.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Time before the target's idle time-out from which a connection is not used again.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Aborts a connection's task when it is dropped, which closes the socket.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to a target. Dropping it closes the connection, which cancels the target's work.
#[derive(Debug)]
pub struct TargetConnection {
    sender: SendRequest<Full<Bytes>>,
    _task: ConnectionTask,
    idle_since: Time,
    idle_limit: Duration,
}

impl TargetConnection {
    /// Connects to the target at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the connection is refused or takes longer than `CONNECT_TIMEOUT`.
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
            // The error is also returned by the request that uses the connection.
            let _failed = connection.await.is_err();
        });
        Ok(Self {
            sender,
            _task: ConnectionTask(task.abort_handle()),
            idle_since: now,
            idle_limit: DEFAULT_IDLE_LIMIT,
        })
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails with `NotSent` when the target cannot have received any byte of the request, and with
    /// `Broken` otherwise.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, Failure> {
        match self.sender.try_send_request(req).await {
            Ok(res) => Ok(res),
            Err(mut error) => match error.take_message() {
                Some(_unsent) => Err(Failure::NotSent),
                None => Err(Failure::Broken),
            },
        }
    }

    /// Marks the connection as idle from `now` on. `limit` is the idle time-out that the target has
    /// announced; `None` keeps the last one.
    pub fn mark_idle(&mut self, limit: Option<Duration>, now: Time) {
        self.idle_since = now;
        if let Some(limit) = limit {
            self.idle_limit = limit.saturating_sub(IDLE_MARGIN);
        }
    }

    /// Whether the connection is open and has not been idle for too long. The target may still have
    /// closed it.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.sender.is_closed() && self.idle_for(now) < self.idle_limit
    }

    /// Time since [`mark_idle`](Self::mark_idle) was last called, or else since the connection was
    /// made.
    pub fn idle_for(&self, now: Time) -> Duration {
        now.since(self.idle_since)
    }
}
