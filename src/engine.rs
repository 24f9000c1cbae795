//! The agent's HTTP client of its engine or service.

use std::{error::Error, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{
    code::Code,
    doc::{Idempotency, Priority},
    id::{AttemptId, Incarnation, Offset},
    order::{Event, ModelStatus, ModelVersion},
};
use ebonyfall_wire::frame::{Call, Head};
use http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

/// Longest wait for the engine's report of itself.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for the answer to an order, in which loading has only begun.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause where the engine's weight store limits its rate.
const RATE_LIMIT_PAUSE: Duration = Duration::from_secs(1);
/// Size of a connection's read buffer, in bytes; the library's own grows with each open stream.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// Largest report, in bytes.
const MAX_CONTROL_ANSWER_BYTES: usize = 64 << 10;

/// What the engine reports of itself; it lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineStatus {
    /// It answers.
    Up {
        /// The engine's incarnation.
        incarnation: Incarnation,
        /// Whether it is in cold start.
        cold: bool,
    },
    /// It takes no connection or breaks it.
    Down,
    /// It takes too long, or answers something else.
    Unknown,
}

/// What the engine says of the model that it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ModelAnswer {
    /// It takes orders, and runs this.
    Status(ModelStatus),
    /// It takes no orders.
    Unmanaged,
    /// It gives no answer that can be used.
    Unavailable,
}

/// An order as the engine gets it.
#[derive(Serialize)]
struct LoadOrder<'g> {
    #[serde(flatten)]
    goal: &'g ModelVersion,
    token: Offset,
}

#[derive(Deserialize)]
struct StatusAnswer {
    incarnation: u64,
    cold: bool,
}

/// Speaks HTTP with the back end on the same VM.
#[derive(Debug, Clone)]
pub struct Backend {
    base: String,
    pooled: Client<HttpConnector, Full<Bytes>>,
    unpooled: Client<HttpConnector, Full<Bytes>>,
}

impl Backend {
    /// Makes a client of the back end at `base`.
    pub fn new(base: impl Into<String>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        // The library must never send a request twice by itself.
        builder.retry_canceled_requests(false);
        builder.http1_read_buf_exact_size(READ_BUFFER_BYTES);
        let pooled = builder.build(connector.clone());
        // A call that runs at most once gets a unpooled connection, since an idle one that just
        // closed would leave its fate unknown.
        builder.pool_max_idle_per_host(0);
        Self {
            base: base.into(),
            pooled,
            unpooled: builder.build(connector),
        }
    }

    /// Asks the engine for its report of itself.
    pub async fn status(&self) -> EngineStatus {
        let answer = self.control_call(Method::GET, "/status", Bytes::new(), STATUS_TIMEOUT);
        match answer.await.map(|(_, body)| serde_json::from_slice(&body)) {
            Ok(Ok(StatusAnswer { incarnation, cold })) => EngineStatus::Up {
                incarnation: incarnation.into(),
                cold,
            },
            Ok(Err(_other)) => EngineStatus::Unknown,
            Err(status) => status,
        }
    }

    /// Asks the engine which model it runs.
    pub async fn model(&self) -> ModelAnswer {
        let answer = self.control_call(Method::GET, "/model", Bytes::new(), CONTROL_TIMEOUT);
        match answer.await {
            Ok((StatusCode::OK, body)) => {
                serde_json::from_slice(&body).map_or(ModelAnswer::Unavailable, ModelAnswer::Status)
            }
            Ok((StatusCode::NOT_FOUND, _)) => ModelAnswer::Unmanaged,
            _ => ModelAnswer::Unavailable,
        }
    }

    /// Has the engine load a model; `token` is the order's fencing token.
    pub async fn load(&self, goal: &ModelVersion, token: Offset) -> Event {
        let Ok(body) = serde_json::to_vec(&LoadOrder { goal, token }) else {
            return Event::Lost;
        };
        let answer = self.control_call(Method::POST, "/load", body.into(), CONTROL_TIMEOUT);
        match answer.await {
            Ok((status, _)) if status.is_success() => Event::Accepted,
            Ok((StatusCode::CONFLICT, _)) => Event::Fenced,
            Ok((StatusCode::TOO_MANY_REQUESTS, _)) => Event::Busy {
                pause: RATE_LIMIT_PAUSE,
            },
            _ => Event::Lost,
        }
    }

    /// Makes a short call; without an answer, says whether the engine is down or silent.
    async fn control_call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), EngineStatus> {
        let req = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|_error| EngineStatus::Unknown)?;
        let answer = async {
            let res = self.pooled.request(req).await?;
            let status = res.status();
            let body = Limited::new(res.into_body(), MAX_CONTROL_ANSWER_BYTES)
                .collect()
                .await?;
            Ok::<_, Box<dyn Error + Send + Sync>>((status, body.to_bytes()))
        };
        match timeout(limit, answer).await {
            Ok(answer) => answer.map_err(|_broken| EngineStatus::Down),
            Err(_) => Err(EngineStatus::Unknown),
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
        idempotency: Idempotency,
        is_engine: bool,
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
        let client = match idempotency {
            Idempotency::Idempotent => &self.pooled,
            Idempotency::AtMostOnce => &self.unpooled,
        };
        let res = client.request(req).await.map_err(|error| {
            if error.is_connect() {
                Code::EngineUnreachable
            } else {
                Code::EngineFailed
            }
        })?;
        // Engines answer 503 before they take a request into a batch. A plain service may answer it
        // at any time, so that its 503 is passed on as an answer.
        if is_engine && res.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err(Code::EngineRefused);
        }
        Ok(res)
    }
}

/// What the caller sees of an answer's status line and headers.
pub fn answer_head(res: &Response<Incoming>) -> Head {
    let kind = res
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|kind| kind.to_str().ok());
    Head {
        status: res.status().as_u16(),
        content_type: kind.unwrap_or_default().to_owned(),
    }
}
