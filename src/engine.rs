//! The agent's HTTP client of its engine or service.

use bytes::Bytes;
use ebonyfall_core::{
    code::Code,
    doc::{Priority, Repeat},
    id::AttemptId,
};
use ebonyfall_wire::frame::{Call, Head};
use http::{Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

/// Speaks HTTP with the back end on the same VM.
#[derive(Debug, Clone)]
pub struct Backend {
    base: String,
    pooled: Client<HttpConnector, Full<Bytes>>,
    fresh: Client<HttpConnector, Full<Bytes>>,
}

impl Backend {
    /// Makes a client of the back end at `base`.
    pub fn new(base: impl Into<String>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        // The library must never send a request twice by itself.
        builder.retry_canceled_requests(false);
        let pooled = builder.build(connector.clone());
        // A call that runs at most once gets a fresh connection, since an idle one that just
        // closed would leave its fate unknown.
        builder.pool_max_idle_per_host(0);
        Self {
            base: base.into(),
            pooled,
            fresh: builder.build(connector),
        }
    }

    /// Sends a call once and returns when the answer starts.
    ///
    /// # Errors
    ///
    /// Fails with the code that the caller gets.
    pub async fn call(
        &self,
        attempt: AttemptId,
        priority: Priority,
        repeat: Repeat,
        call: Call,
    ) -> Result<Response<Incoming>, Code> {
        let req = Request::builder()
            .method(call.method.as_str())
            .uri(format!("{}{}", self.base, call.path))
            .header("x-attempt-id", attempt.to_string())
            .header("x-priority", priority.to_string())
            .header(CONTENT_TYPE, call.content_type)
            .body(Full::new(call.body))
            .map_err(|_error| Code::BadRequest)?;
        let client = match repeat {
            Repeat::Idempotent => &self.pooled,
            Repeat::AtMostOnce => &self.fresh,
        };
        let res = client.request(req).await.map_err(|error| {
            if error.is_connect() {
                Code::EngineUnreachable
            } else {
                Code::EngineFailed
            }
        })?;
        // Engines answer 503 before they take a request into a batch. A plain service may answer
        // 503 after it has run a part of a call, so that its answer goes to the caller as it is.
        if repeat == Repeat::Idempotent && res.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err(Code::EngineRefused);
        }
        Ok(res)
    }
}

/// What the caller sees of an answer's status line and headers.
pub fn head(res: &Response<Incoming>) -> Head {
    let kind = res
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|kind| kind.to_str().ok());
    Head {
        status: res.status().as_u16(),
        content_type: kind.unwrap_or_default().to_owned(),
    }
}
