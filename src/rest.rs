//! HTTP calls to services of the platform, with limits on time and size.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use snafu::Snafu;
use tokio::time::timeout;

/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// A call got no answer, so that it may have taken effect.
#[derive(Debug, Snafu)]
#[snafu(display("no answer: {reason}"))]
pub struct NoAnswer {
    /// What happened instead.
    pub reason: String,
}

/// Calls one service.
#[derive(Debug, Clone)]
pub struct Rest {
    base: String,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Rest {
    /// Makes a client of the service at the URL `base`.
    pub fn new(base: impl Into<String>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // A call that is sent again by the library could take effect twice.
        let http = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            base: base.into(),
            http,
        }
    }

    /// Makes a call and waits for the whole answer, `limit` at most.
    ///
    /// # Errors
    ///
    /// Fails when there is no whole answer in time. The connection is then not used again.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), NoAnswer> {
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
            let status = res.status();
            let body = Limited::new(res.into_body(), MAX_ANSWER).collect().await;
            let body = body.map_err(|error| no_answer(error.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        let Ok(answer) = timeout(limit, exchange).await else {
            return Err(no_answer("timeout".to_owned()));
        };
        answer
    }
}
