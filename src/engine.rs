//! HTTP client of the agent for the engine or service on its VM.

use std::{io, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{
    answer::is_final_status,
    code::Code,
    direct::Failure,
    doc::Priority,
    id::{AttemptId, Incarnation, Offset},
    order::{Event, ModelStatus, ModelVersion},
};
use ebonyfall_wire::frame::{Call, Head};
use http::{
    Method, Request, Response, StatusCode, Uri,
    header::{CONTENT_TYPE, HOST},
    request,
    uri::Authority,
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{
    clock::BootClock,
    upstream::{ReadBuffer, TargetConnection},
};

/// Timeout of a status request to the engine.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a model status request or load order; the engine answers before it has loaded.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before the next order if the weight store limits the engine's rate.
const RATE_LIMIT_PAUSE: Duration = Duration::from_secs(1);
/// Port of a back end whose URL names none.
const HTTP_PORT: u16 = 80;
/// Read buffer of a connection, and so the largest head of an answer.
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
    /// The engine did not answer in time, or its answer could not be decoded, or was none.
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
///
/// Each call has a connection of its own. Answers of a back end need not name their request: on a
/// connection that is used again, a second copy of an earlier answer would be taken for the answer to
/// the next request, and after one that the back end has just closed it would be unknown whether the
/// call was run.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Host and port, as the `host` header states them.
    authority: String,
    /// Host and port to connect to.
    address: String,
    /// Path of the base URL, without a trailing slash.
    base_path: String,
}

/// An answer whose body has not been read. Dropping it closes the connection, which cancels the call.
#[derive(Debug)]
pub struct BackendAnswer {
    /// Status and content type, which are passed to the caller.
    pub head: Head,
    /// The body.
    pub body: Incoming,
    _connection: TargetConnection,
}

impl Backend {
    /// Creates a client of the back end with the base URL `base`.
    pub fn new(base: &Uri) -> Self {
        let host = base.host().unwrap_or_default();
        Self {
            authority: base.authority().map_or("", Authority::as_str).to_owned(),
            address: format!("{host}:{}", base.port_u16().unwrap_or(HTTP_PORT)),
            base_path: base.path().trim_end_matches('/').to_owned(),
        }
    }

    fn request(&self, method: &str, path: &str) -> request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base_path))
            .header(HOST, &self.authority)
    }

    /// Sends a request on a new connection, and returns when the head of the answer has arrived.
    ///
    /// # Errors
    ///
    /// Fails with `NotSent` when the back end refuses the connection, and with `TimedOut` when it does
    /// not react to it; nothing was sent then either. Fails with `Failed` when the bytes that it sends
    /// are no answer, or one without a final status.
    async fn send(
        &self,
        req: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, TargetConnection), Failure> {
        let now = BootClock.now();
        let buffer = ReadBuffer::Exact(READ_BUFFER_BYTES);
        let connecting = TargetConnection::connect(&*self.address, buffer, now);
        let mut connection = connecting.await.map_err(|error| match error.kind() {
            io::ErrorKind::TimedOut => Failure::TimedOut,
            _ => Failure::NotSent,
        })?;
        let sent = connection.send(req).await;
        let res = sent.map_err(|failure| match failure {
            Failure::Broken if connection.is_malformed() => Failure::Failed,
            failure => failure,
        })?;
        if !is_final_status(res.status().as_u16()) {
            return Err(Failure::Failed);
        }
        Ok((res, connection))
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
    /// Fails with `Unknown` on a timeout, and when the engine sends bytes that are no answer. Other
    /// failures of the call give `Down`, such as a refused or broken connection.
    async fn control_call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), EngineStatus> {
        let req = self
            .request(method.as_str(), path)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|_error| EngineStatus::Unknown)?;
        let answer = async {
            let sent = self.send(req).await;
            let (res, _connection) = sent.map_err(|failure| match failure {
                Failure::TimedOut | Failure::Failed | Failure::Oversized => EngineStatus::Unknown,
                _ => EngineStatus::Down,
            })?;
            let status = res.status();
            let body = Limited::new(res.into_body(), MAX_CONTROL_ANSWER_BYTES).collect();
            let body = body.await.map_err(|_broken| EngineStatus::Down)?;
            Ok((status, body.to_bytes()))
        };
        let answer = timeout(limit, answer).await;
        answer.unwrap_or(Err(EngineStatus::Unknown))
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
    ) -> Result<BackendAnswer, Code> {
        let req = self
            .request(&call.method, &call.path)
            .header("x-attempt-id", attempt.to_string())
            .header("x-priority", priority.to_string())
            .header(CONTENT_TYPE, call.content_type)
            .body(Full::new(call.body))
            .map_err(|_error| Code::BadRequest)?;
        let (res, connection) = self.send(req).await.map_err(|failure| match failure {
            Failure::NotSent | Failure::TimedOut => Code::EngineUnreachable,
            _ => Code::EngineFailed,
        })?;
        // An engine answers 503 only before it adds a request to a batch, so the request has not
        // run. A plain service may answer 503 at any time; its answer is passed to the caller.
        if is_engine && res.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err(Code::EngineRefused);
        }
        let head = answer_head(&res);
        Ok(BackendAnswer {
            head,
            body: res.into_body(),
            _connection: connection,
        })
    }
}

fn answer_head(res: &Response<Incoming>) -> Head {
    let kind = res
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|kind| kind.to_str().ok());
    Head {
        status: res.status().as_u16(),
        content_type: kind.unwrap_or_default().to_owned(),
    }
}
