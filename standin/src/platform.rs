//! Simulated HTTP services of the platform: the append-only log and the VM list.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base64::{Engine, prelude::BASE64_STANDARD};
use ebonyfall::{
    clock,
    platform::{Batch, Vm},
    web::{self, Shared},
};
use ebonyfall_core::id::Offset;
use gotham::{
    handler::HandlerResult,
    helpers::http::Body,
    middleware::state::StateMiddleware,
    pipeline::{single_middleware, single_pipeline},
    prelude::{DefineSingleRoute, DrawRoutes, FromState},
    router::{Router, builder::build_router},
    state::State,
};
use http::{Method, Response, StatusCode, Uri};
use serde::Deserialize;
use serde_json::json;
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{
    host::Host,
    log::{Log, LogFaults, LogLimits},
};

/// Largest request body; a larger one is read as empty.
const MAX_BODY_BYTES: usize = 16 << 20;

enum Command {
    Append {
        stream: String,
        data: Vec<u8>,
        reply: oneshot::Sender<Option<Offset>>,
    },
    Read {
        stream: String,
        from: Offset,
        limit: usize,
        reply: oneshot::Sender<Result<Batch, Offset>>,
    },
    SetFaults(LogFaults),
    Truncate(String, Offset),
    Faults(oneshot::Sender<LogFaults>),
    SetVms(Vec<Vm>),
    Vms(oneshot::Sender<Vec<Vm>>),
    Appends(oneshot::Sender<u64>),
}

/// Handle to the simulated platform.
#[derive(Debug, Clone)]
pub struct Platform {
    tx: mpsc::Sender<Command>,
}

impl Platform {
    /// Serves the platform on `address`; must be called within a Tokio runtime.
    pub fn start(address: SocketAddr, limits: LogLimits) -> Self {
        let (tx, rx) = mpsc::channel(1024);
        tokio::spawn(run(limits, rx));
        let platform = Self { tx };
        let shared = platform.clone();
        Host::start(address, move |_, _| routes(shared.clone()));
        platform
    }

    /// Sets the faults that apply to all calls from now on.
    pub async fn set_faults(&self, faults: LogFaults) {
        let _ended = self.tx.send(Command::SetFaults(faults)).await;
    }

    /// Removes the records of a log stream whose offset is `next` or higher, as a log that was
    /// restored from an older state.
    pub async fn truncate(&self, stream: &str, next: Offset) {
        let _ended = self
            .tx
            .send(Command::Truncate(stream.to_owned(), next))
            .await;
    }

    /// Replaces the VM list that `GET /v1/vms` returns.
    pub async fn set_vms(&self, vms: Vec<Vm>) {
        let _ended = self.tx.send(Command::SetVms(vms)).await;
    }

    /// Returns the number of appended records, over all streams.
    pub async fn appends(&self) -> u64 {
        self.call(Command::Appends).await
    }

    async fn call<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> T {
        let (reply, answer) = oneshot::channel();
        let _ended = self.tx.send(command(reply)).await;
        answer.await.expect("the task lives as long as its handles")
    }
}

async fn run(limits: LogLimits, mut rx: mpsc::Receiver<Command>) {
    let mut log = Log::new(limits, Instant::now());
    let mut faults = LogFaults::default();
    let mut vms = Vec::new();
    while let Some(command) = rx.recv().await {
        match command {
            Command::Append {
                stream,
                data,
                reply,
            } => {
                let unix_ms = u64::try_from(clock::unix_time().as_millis()).unwrap_or(u64::MAX);
                let _gone = reply.send(log.append(&stream, data, Instant::now(), unix_ms));
            }
            Command::Read {
                stream,
                from,
                limit,
                reply,
            } => {
                let _gone = reply.send(log.read(&stream, from, limit));
            }
            Command::SetFaults(new) => faults = new,
            Command::Truncate(stream, next) => log.truncate(&stream, next),
            Command::Faults(reply) => {
                let _gone = reply.send(faults);
            }
            Command::SetVms(new) => vms = new,
            Command::Vms(reply) => {
                let _gone = reply.send(vms.clone());
            }
            Command::Appends(reply) => {
                let _gone = reply.send(log.appends);
            }
        }
    }
}

fn routes(platform: Platform) -> Router {
    let pipeline = single_middleware(StateMiddleware::new(Shared::new(platform)));
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route
            .request(vec![Method::GET, Method::POST], "/*")
            .to_async(handle);
    })
}

async fn handle(mut state: State) -> HandlerResult {
    let platform = Shared::<Platform>::take_from(&mut state).into_inner();
    let faults = platform.call(Command::Faults).await;
    time::sleep(Duration::from_millis(faults.delay_ms)).await;
    let uri = Uri::borrow_from(&state).clone();
    let method = Method::borrow_from(&state).clone();
    let parts: Vec<&str> = uri.path().trim_matches('/').split('/').collect();
    let res = match (method.as_str(), parts.as_slice()) {
        ("POST", ["faults"]) => platform.change_faults(&mut state).await,
        _ if faults.down => web::json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
        ("GET", ["v1", "vms"]) => {
            web::json_response(StatusCode::OK, &platform.call(Command::Vms).await)
        }
        ("GET", ["v1", "streams", stream, "records"]) => {
            platform.read(stream, uri.query().unwrap_or_default()).await
        }
        ("POST", ["v1", "streams", stream, "records"]) => {
            let res = platform.append(stream, &mut state).await;
            if faults.lose_replies {
                // The record was appended, but the caller gets 504 instead of its offset.
                web::json_response(StatusCode::GATEWAY_TIMEOUT, &json!({}))
            } else {
                res
            }
        }
        _ => web::json_response(StatusCode::NOT_FOUND, &json!({})),
    };
    Ok((state, res))
}

#[derive(Deserialize)]
struct Append {
    data: String,
}

impl Platform {
    async fn change_faults(&self, state: &mut State) -> Response<Body> {
        let body = web::read_body(state, MAX_BODY_BYTES)
            .await
            .unwrap_or_default();
        let Ok(faults) = serde_json::from_slice(&body) else {
            return bad_request();
        };
        self.set_faults(faults).await;
        web::json_response(StatusCode::OK, &json!({}))
    }

    async fn append(&self, stream: &str, state: &mut State) -> Response<Body> {
        let body = web::read_body(state, MAX_BODY_BYTES)
            .await
            .unwrap_or_default();
        let Ok(Append { data }) = serde_json::from_slice(&body) else {
            return bad_request();
        };
        let Ok(data) = BASE64_STANDARD.decode(data) else {
            return bad_request();
        };
        let stream = stream.to_owned();
        match self
            .call(|reply| Command::Append {
                stream,
                data,
                reply,
            })
            .await
        {
            Some(offset) => web::json_response(StatusCode::CREATED, &json!({ "offset": offset })),
            None => web::json_response(StatusCode::TOO_MANY_REQUESTS, &json!({})),
        }
    }

    async fn read(&self, stream: &str, query: &str) -> Response<Body> {
        let number = |key: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(found, _)| *found == key)
                .find_map(|(_, value)| value.parse().ok())
        };
        let from = Offset::from(number("from").unwrap_or(0));
        let limit = usize::try_from(number("limit").unwrap_or(100)).unwrap_or(100);
        let stream = stream.to_owned();
        match self
            .call(|reply| Command::Read {
                stream,
                from,
                limit,
                reply,
            })
            .await
        {
            Ok(batch) => web::json_response(StatusCode::OK, &batch),
            Err(first) => web::json_response(StatusCode::GONE, &json!({ "first": first })),
        }
    }
}

fn bad_request() -> Response<Body> {
    web::json_response(StatusCode::BAD_REQUEST, &json!({}))
}
