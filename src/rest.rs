//! HTTP client for the platform's services, such as its log, with limits on the time and size of
//! answers.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use snafu::Snafu;
use tokio::time::timeout;

/// A call got no complete answer, but may have taken effect.
#[derive(Debug, Snafu)]
#[snafu(display("no answer: {reason}"))]
pub struct NoAnswer {
    /// Cause, such as a connection error or `timeout`.
    pub reason: String,
}

/// A complete answer.
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

    /// Sends a request and waits up to `limit` for the complete answer.
    ///
    /// # Errors
    ///
    /// Fails when no complete answer within the size limit arrives in time. The connection is then
    /// not reused.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Answer, NoAnswer> {
        let no_answer = |reason: String| NoAnswer { reason };
        let req = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header("content-type", "application/json")
            .body(Full::from(body))
            .map_err(|error| no_answer(error.to_string()))?;
        let exchange = async {
            let res = self
                .http
                .request(req)
                .await
                .map_err(|error| no_answer(error.to_string()))?;
            let (head, body) = res.into_parts();
            let body = Limited::new(body, self.max_answer_bytes).collect().await;
            let body = body.map_err(|error| no_answer(error.to_string()))?;
            Ok(Answer {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            })
        };
        let Ok(answer) = timeout(limit, exchange).await else {
            return Err(no_answer("timeout".to_owned()));
        };
        answer
    }
}
