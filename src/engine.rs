//! HTTP client of the agent for the engine or service on its VM.

use std::{error::Error, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{
    code::Code,
    doc::Priority,
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

/// Timeout of a status request to the engine.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a model status request or load order; the engine answers before it has loaded.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before the next order if the weight store limits the engine's rate.
const RATE_LIMIT_PAUSE: Duration = Duration::from_secs(1);
/// Read buffer of a connection; with the library's default, buffers grow with each open stream.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// Largest accepted body of a control answer.
const MAX_CONTROL_ANSWER_BYTES: usize = 64 << 10;

/// Result of a status request to the engine; the engine may have changed its state since.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineStatus {
    /// The engine answered the status request.
    Up {
        /// Incarnation number of the engine, which changes with every restart.
        incarnation: Incarnation,
        /// Whether the engine is in cold start, when it serves fewer requests at once.
        cold: bool,
    },
    /// The engine refused or broke the connection.
    Down,
    /// The engine did not answer in time, or its answer could not be decoded.
    Unknown,
}

/// Result of a request for the engine's model status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ModelAnswer {
    /// The engine accepts load orders, and its model status is this.
    Status(ModelStatus),
    /// The engine does not support load orders.
    Unmanaged,
    /// There was no usable answer.
    Unavailable,
}

/// Body of a load order.
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

/// Client of the back end on the agent's VM, which is an engine or a plain service.
#[derive(Debug, Clone)]
pub struct Backend {
    base: String,
    /// Client of control calls, which keeps connections.
    control: Client<HttpConnector, Full<Bytes>>,
    /// Client of callers' requests, with a connection for each.
    requests: Client<HttpConnector, Full<Bytes>>,
}

impl Backend {
    /// Creates a client of the back end with the base URL `base`.
    pub fn new(base: impl Into<String>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        // The library must not resend requests, since some may run at most once.
        builder.retry_canceled_requests(false);
        builder.http1_read_buf_exact_size(READ_BUFFER_BYTES);
        let control = builder.build(connector.clone());
        // Answers of a back end need not name their request. On a connection that is used again, a
        // second copy of an earlier answer would be taken for the answer to the next request; and
        // after one that the back end has just closed, it would be unknown whether the call was run.
        builder.pool_max_idle_per_host(0);
        Self {
            base: base.into(),
            control,
            requests: builder.build(connector),
        }
    }

    /// Requests the engine's status.
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

    /// Requests the engine's model status.
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

    /// Orders the engine to load a model; `token` is the order's fencing token.
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

    /// Makes a control call to the engine.
    ///
    /// # Errors
    ///
    /// Fails with `Unknown` on a timeout. Other failures of the call give `Down`, such as a refused
    /// or broken connection.
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
            let res = self.control.request(req).await?;
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

    /// Sends a call once, on a new connection, and returns when the head of the answer has arrived.
    ///
    /// # Errors
    ///
    /// Fails with the result code of the attempt.
    pub async fn call(
        &self,
        attempt: AttemptId,
        priority: Priority,
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
        let res = self.requests.request(req).await.map_err(|error| {
            if error.is_connect() {
                Code::EngineUnreachable
            } else {
                Code::EngineFailed
            }
        })?;
        // An engine answers 503 only before it adds a request to a batch, so the request has not
        // run. A plain service may answer 503 at any time; its answer is passed to the caller.
        if is_engine && res.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err(Code::EngineRefused);
        }
        Ok(res)
    }
}

/// Returns the status and content type of an answer, which are passed to the caller.
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
