//! HTTP client for the platform's services, such as its log, with limits on the time and size of
//! answers.

use std::{fmt::Display, pin::pin};

use bytes::{Bytes, BytesMut};
use ebonyfall_core::{
    answer::is_final_status,
    transfer::{Transfer, TransferLimits},
};
use http::{HeaderMap, Method, Request, StatusCode, response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use snafu::Snafu;
use tokio::time::timeout;

use crate::clock::BootClock;

/// A call got no complete answer, but may have taken effect.
#[derive(Debug, Snafu)]
#[snafu(display("no answer: {reason}"))]
pub struct NoAnswer {
    /// Cause, such as a connection error or `timeout`.
    pub reason: String,
    /// Whether there was an answer, which is longer than the client reads.
    pub is_too_long: bool,
    /// The part of the answer that arrived before the call ended, with its head.
    pub partial: Option<Box<Answer>>,
}

impl NoAnswer {
    fn new(reason: impl Display) -> Self {
        Self {
            reason: reason.to_string(),
            is_too_long: false,
            partial: None,
        }
    }

    fn too_long() -> Self {
        Self {
            is_too_long: true,
            ..Self::new("the answer is too long")
        }
    }
}

/// An answer.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Client of one service; clones share its connections.
#[derive(Debug, Clone)]
pub struct Rest {
    base: String,
    max_answer_bytes: usize,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Rest {
    /// Creates a client of the service at the URL `base`, to which paths are appended. The body of
    /// an answer may have up to `max_answer_bytes`.
    pub fn new(base: impl Into<String>, max_answer_bytes: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // A call that the library sends again could take effect twice.
        let http = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            base: base.into(),
            max_answer_bytes,
            http,
        }
    }

    /// Sends a request and waits for the complete answer, as long as it advances within `limits`.
    ///
    /// # Errors
    ///
    /// Fails when no complete answer with a final status and within the size limit arrives in time. The
    /// connection is then not reused.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limits: TransferLimits,
    ) -> Result<Answer, NoAnswer> {
        let limits = limits.with_body(body.len());
        let req = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header("content-type", "application/json")
            .body(Full::from(body))
            .map_err(NoAnswer::new)?;
        let mut transfer = Transfer::new(limits, BootClock.now());
        let Some(res) = advance(&mut transfer, self.http.request(req)).await else {
            return Err(NoAnswer::new("timeout"));
        };
        let (head, body) = res.map_err(NoAnswer::new)?.into_parts();
        if !is_final_status(head.status.as_u16()) {
            return Err(NoAnswer::new(format!("status {}", head.status)));
        }
        transfer.record(0, BootClock.now());
        self.receive(head, body, transfer).await
    }

    async fn receive(
        &self,
        head: response::Parts,
        mut body: Incoming,
        mut transfer: Transfer,
    ) -> Result<Answer, NoAnswer> {
        let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if declared > self.max_answer_bytes {
            return Err(NoAnswer::too_long());
        }
        let mut buf = BytesMut::new();
        let reason = loop {
            let Some(frame) = advance(&mut transfer, body.frame()).await else {
                break format!("timeout after {} bytes of the answer", buf.len());
            };
            let frame = match frame {
                None => return Ok(answer(head, buf)),
                Some(Ok(frame)) => frame,
                Some(Err(error)) => break error.to_string(),
            };
            let data = frame.into_data().unwrap_or_default();
            if buf.len() + data.len() > self.max_answer_bytes {
                return Err(NoAnswer::too_long());
            }
            buf.extend_from_slice(&data);
            transfer.record(buf.len(), BootClock.now());
        };
        Err(NoAnswer {
            reason,
            is_too_long: false,
            partial: Some(Box::new(answer(head, buf))),
        })
    }
}

fn answer(head: response::Parts, body: BytesMut) -> Answer {
    Answer {
        status: head.status,
        headers: head.headers,
        body: body.freeze(),
    }
}

/// Waits for the next step of an answer; `None` if the transfer stalls.
async fn advance<T>(transfer: &mut Transfer, step: impl Future<Output = T>) -> Option<T> {
    let mut step = pin!(step);
    loop {
        let left = transfer.deadline().since(BootClock.now());
        if let Ok(done) = timeout(left, &mut step).await {
            return Some(done);
        }
        if transfer.is_stalled(BootClock.now()) {
            return None;
        }
    }
}
