//! Simulated model engine: chat completions, a bounded prefix cache, cold start, model loading
//! and crashes.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use ebonyfall::web::{self, Shared};
use ebonyfall_core::{
    id::Offset,
    order::{ModelStatus, ModelVersion},
};
use futures_util::stream;
use gotham::{
    handler::HandlerResult,
    helpers::http::Body,
    middleware::state::StateMiddleware,
    pipeline::{single_middleware, single_pipeline},
    prelude::{DefineSingleRoute, DrawRoutes, FromState},
    router::{Router, builder::build_router},
    state::State,
};
use http::{HeaderValue, Method, Response, StatusCode, Uri, header::CONTENT_TYPE};
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::host::Host;

/// Largest request body; a larger one is read as empty.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Message content that makes the engine crash when a chat request contains it.
pub const CRASH_MESSAGE: &str = "\u{1}crash-engine";

/// How an engine that accepts load orders switches models.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ModelLoading {
    /// Model and version that the engine serves after each start.
    pub runs: ModelVersion,
    /// Time that loading a model takes, in milliseconds; no model is served meanwhile.
    pub load_ms: u64,
    /// Whether the engine rejects orders whose fencing token is lower than the last accepted one.
    pub fenced: bool,
}

/// Capacity, speed and faults of a simulated engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineConfig {
    /// Concurrent requests served at full speed; more of them slow down the generation of all.
    pub slots: u32,
    /// Concurrent requests that a cold engine survives; one more crashes it.
    pub cold_slots: u32,
    /// Requests that the engine has to complete after a start before it is warm.
    pub warm_after: u32,
    /// Capacity of the prefix cache, in prompts.
    pub cache: usize,
    /// Prefill time of an uncached prompt, in microseconds per started kilobyte.
    pub prefill_us_per_kb: u64,
    /// Time to generate one token at full speed, in microseconds.
    pub token_us: u64,
    /// Time from a crash to the next start, in milliseconds.
    pub down_ms: u64,
    /// Requests out of every thousand that are answered with status 500.
    pub fail_per_mille: u32,
    /// Model loading; `None` makes the engine answer load orders and `GET /model` with 404.
    pub loads: Option<ModelLoading>,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            slots: 32,
            cold_slots: 4,
            warm_after: 8,
            cache: 1024,
            prefill_us_per_kb: 2_000,
            token_us: 500,
            down_ms: 500,
            fail_per_mille: 0,
            loads: None,
        }
    }
}

/// Body of the answer to `GET /status`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Number of the current start, counted from zero; a crash increases it.
    pub incarnation: u64,
    /// Requests being processed.
    pub running: u32,
    /// Highest number of concurrent requests since the last start.
    #[serde(rename = "most")]
    pub max_running: u32,
    /// Whether fewer than [`EngineConfig::warm_after`] requests have completed since the start.
    pub cold: bool,
    /// Requests received since the last start.
    pub requests: u64,
    /// Requests whose prefix was found in the cache.
    pub cache_hits: u64,
    /// Requests that ended before the answer was complete: disconnected callers and injected
    /// failures.
    pub cancelled: u64,
}

enum Command {
    StartRequest {
        prefix: u64,
        prompt: u64,
        reply: oneshot::Sender<RequestStarted>,
    },
    EndRequest {
        completed: bool,
    },
    Status(oneshot::Sender<EngineStatus>),
    Model(oneshot::Sender<Option<ModelStatus>>),
    Load {
        order: LoadOrder,
        reply: oneshot::Sender<StatusCode>,
    },
}

/// Body of `POST /load`; the token is the order's fencing token.
#[derive(Debug, Deserialize)]
struct LoadOrder {
    #[serde(flatten)]
    model: ModelVersion,
    token: Offset,
}

/// Served and loading model of an engine that accepts load orders.
#[derive(Debug)]
struct ModelState {
    cfg: ModelLoading,
    model_status: ModelStatus,
    /// Time at which the loading model is served.
    loaded_at: Instant,
}

impl ModelState {
    fn new(cfg: ModelLoading, incarnation: u64) -> Self {
        let model_status = ModelStatus {
            runs: Some(cfg.runs.clone()),
            loading: None,
            token: Offset::from(0),
            incarnation: incarnation.into(),
        };
        Self {
            cfg,
            model_status,
            loaded_at: Instant::now(),
        }
    }

    fn update(&mut self) -> ModelStatus {
        if self.model_status.loading.is_some() && Instant::now() >= self.loaded_at {
            self.model_status.runs = self.model_status.loading.take();
        }
        self.model_status.clone()
    }

    fn load(&mut self, order: LoadOrder) -> StatusCode {
        self.update();
        if self.cfg.fenced {
            if order.token < self.model_status.token {
                return StatusCode::CONFLICT;
            }
            self.model_status.token = order.token;
        }
        self.model_status.runs = None;
        self.model_status.loading = Some(order.model);
        self.loaded_at = Instant::now() + Duration::from_millis(self.cfg.load_ms);
        StatusCode::ACCEPTED
    }
}

/// Outcome of registering a request with the engine's task.
#[derive(Debug, Clone, Copy)]
struct RequestStarted {
    cached: bool,
    token_time: Duration,
    fails: bool,
}

#[derive(Debug, Clone)]
struct Engine {
    tx: mpsc::Sender<Command>,
    host: Host,
    cfg: EngineConfig,
}

/// Starts an engine that serves HTTP on `address` in a thread of its own.
pub fn start(address: SocketAddr, cfg: EngineConfig) -> Host {
    Host::start(address, move |host, incarnation| {
        let (tx, rx) = mpsc::channel(4096);
        tokio::spawn(run(cfg.clone(), host.clone(), incarnation, rx));
        routes(Engine {
            tx,
            host,
            cfg: cfg.clone(),
        })
    })
}

async fn run(cfg: EngineConfig, host: Host, incarnation: u64, mut rx: mpsc::Receiver<Command>) {
    let mut status = EngineStatus {
        incarnation,
        cold: true,
        ..EngineStatus::default()
    };
    let mut completed_requests = 0;
    let mut cache: VecDeque<u64> = VecDeque::new();
    let loads = cfg.loads.clone();
    let mut model_state = loads.map(|cfg| ModelState::new(cfg, incarnation));
    while let Some(command) = rx.recv().await {
        match command {
            Command::StartRequest {
                prefix,
                prompt,
                reply,
            } => {
                status.requests += 1;
                status.running += 1;
                status.max_running = status.max_running.max(status.running);
                if status.cold && status.running > cfg.cold_slots {
                    host.crash(Duration::from_millis(cfg.down_ms));
                }
                let cached = cache.iter().position(|entry| *entry == prefix);
                if let Some(index) = cached {
                    cache.remove(index);
                    status.cache_hits += 1;
                }
                cache.push_back(prompt);
                let excess = cache.len().saturating_sub(cfg.cache);
                cache.drain(..excess);
                let slowdown = status.running.div_ceil(cfg.slots.max(1));
                let token_time = Duration::from_micros(cfg.token_us * u64::from(slowdown));
                let fails = status.requests % 1000 < u64::from(cfg.fail_per_mille);
                let _gone = reply.send(RequestStarted {
                    cached: cached.is_some(),
                    token_time,
                    fails,
                });
            }
            Command::EndRequest { completed } => {
                status.running = status.running.saturating_sub(1);
                if completed {
                    completed_requests += 1;
                    status.cold = completed_requests < cfg.warm_after;
                } else {
                    status.cancelled += 1;
                }
            }
            Command::Status(reply) => {
                let _gone = reply.send(status.clone());
            }
            Command::Model(reply) => {
                let _gone = reply.send(model_state.as_mut().map(ModelState::update));
            }
            Command::Load { order, reply } => {
                let result = model_state
                    .as_mut()
                    .map(|model_state| model_state.load(order));
                let _gone = reply.send(result.unwrap_or(StatusCode::NOT_FOUND));
            }
        }
    }
}

fn routes(engine: Engine) -> Router {
    let pipeline = single_middleware(StateMiddleware::new(Shared::new(engine)));
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route
            .request(vec![Method::GET, Method::POST], "/*")
            .to_async(handle);
    })
}

async fn handle(mut state: State) -> HandlerResult {
    let engine = Shared::<Engine>::take_from(&mut state).into_inner();
    let path = Uri::borrow_from(&state).path().to_owned();
    let method = Method::borrow_from(&state).clone();
    let res = match (method.as_str(), path.as_str()) {
        ("GET", "/status") => {
            web::json_response(StatusCode::OK, &engine.call(Command::Status).await)
        }
        ("GET", "/model") => match engine.call(Command::Model).await {
            Some(model_status) => web::json_response(StatusCode::OK, &model_status),
            None => web::json_response(StatusCode::NOT_FOUND, &json!({})),
        },
        ("POST", "/load") => {
            let body = web::read_body(&mut state, MAX_BODY_BYTES)
                .await
                .unwrap_or_default();
            let status = match serde_json::from_slice(&body) {
                Ok(order) => engine.call(|reply| Command::Load { order, reply }).await,
                Err(_) => StatusCode::BAD_REQUEST,
            };
            web::json_response(status, &json!({}))
        }
        ("POST", "/crash") => {
            engine.crash();
            web::json_response(StatusCode::OK, &json!({}))
        }
        ("POST", "/v1/chat/completions") => {
            let body = web::read_body(&mut state, MAX_BODY_BYTES)
                .await
                .unwrap_or_default();
            engine.complete_chat(&body).await
        }
        _ => web::json_response(StatusCode::NOT_FOUND, &json!({})),
    };
    Ok((state, res))
}

/// Id of every answer; callers distinguish answers by their text.
const ANSWER_ID: &str = "chatcmpl-0";

#[derive(Deserialize)]
struct ChatRequest {
    #[serde(default)]
    model: String,
    messages: Vec<Value>,
    #[serde(default)]
    stream: bool,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
}

/// Returns the text that an engine generates at position `index` for these messages. It depends
/// on nothing else, so that callers can verify their answers.
pub fn token(messages: &[Value], index: u32) -> String {
    let content = serde_json::to_vec(messages).unwrap_or_default();
    format!("{:016x}-{index} ", xxh3_64(&content))
}

/// Returns the complete text of an answer with `tokens` tokens.
pub fn answer(messages: &[Value], tokens: u32) -> String {
    (0..tokens).map(|index| token(messages, index)).collect()
}

/// A running request; dropping it before `completed` is set counts it as cancelled.
struct RunningRequest {
    tx: mpsc::Sender<Command>,
    completed: bool,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let _full = self.tx.try_send(Command::EndRequest {
            completed: self.completed,
        });
    }
}

impl Engine {
    async fn call<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> T {
        let (reply, answer) = oneshot::channel();
        let _ended = self.tx.send(command(reply)).await;
        answer.await.expect("the task lives as long as its handles")
    }

    fn crash(&self) {
        self.host.crash(Duration::from_millis(self.cfg.down_ms));
    }

    async fn complete_chat(&self, body: &[u8]) -> Response<Body> {
        let Ok(req) = serde_json::from_slice::<ChatRequest>(body) else {
            return web::json_response(StatusCode::BAD_REQUEST, &json!({}));
        };
        let content = serde_json::to_vec(&req.messages).unwrap_or_default();
        if req
            .messages
            .iter()
            .any(|message| message["content"] == CRASH_MESSAGE)
        {
            self.crash();
        }
        // The next request of a chat repeats all messages of the previous one and adds one answer
        // and one question.
        let repeated = &req.messages[..req.messages.len().saturating_sub(2)];
        let prefix = xxh3_64(&serde_json::to_vec(repeated).unwrap_or_default());
        let prompt = xxh3_64(&content);
        let started = self
            .call(|reply| Command::StartRequest {
                prefix,
                prompt,
                reply,
            })
            .await;
        let mut running = RunningRequest {
            tx: self.tx.clone(),
            completed: false,
        };
        if started.fails {
            return web::json_response(StatusCode::INTERNAL_SERVER_ERROR, &json!({}));
        }
        let kilobytes = if started.cached {
            0
        } else {
            content.len().div_ceil(1024) as u64
        };
        sleep_unless_zero(Duration::from_micros(
            self.cfg.prefill_us_per_kb * kilobytes,
        ))
        .await;
        let tokens = req.max_tokens.unwrap_or(16);
        if req.stream {
            return stream_answer(running, req, tokens, started);
        }
        sleep_unless_zero(started.token_time * tokens).await;
        running.completed = true;
        let message = json!({ "role": "assistant", "content": answer(&req.messages, tokens) });
        web::json_response(
            StatusCode::OK,
            &json!({
                "id": ANSWER_ID,
                "object": "chat.completion",
                "created": 0,
                "model": req.model,
                "choices": [{ "index": 0, "message": message, "finish_reason": "stop" }],
                "usage": {
                    "prompt_tokens": 0, "completion_tokens": tokens, "total_tokens": tokens,
                    "cached": started.cached,
                },
            }),
        )
    }
}

/// Sleeps unless `time` is zero, which a timer rounds up to one tick of a millisecond.
async fn sleep_unless_zero(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

fn stream_answer(
    running: RunningRequest,
    req: ChatRequest,
    tokens: u32,
    started: RequestStarted,
) -> Response<Body> {
    // Each part is due at a fixed time after the start, so that the timer's rounding errors do
    // not accumulate.
    let start = Instant::now();
    let parts = stream::unfold((running, 0), move |(mut running, index)| {
        let text = if index < tokens {
            let delta = json!({ "content": token(&req.messages, index) });
            let model = &req.model;
            let choice = json!({ "index": 0, "delta": delta });
            format!(
                "data: {}\n\n",
                json!({
                    "id": ANSWER_ID, "object": "chat.completion.chunk", "created": 0,
                    "model": model, "choices": [choice], "cached": started.cached,
                })
            )
        } else {
            "data: [DONE]\n\n".to_owned()
        };
        async move {
            if index > tokens {
                return None;
            }
            let due = started.token_time * index;
            sleep_unless_zero(due.saturating_sub(start.elapsed())).await;
            running.completed = index == tokens;
            Some((
                Ok::<_, io::Error>(Frame::data(Bytes::from(text))),
                (running, index + 1),
            ))
        }
    });
    let mut res = Response::new(Body::new(StreamBody::new(parts)));
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    res
}
