//! The callers' HTTP interface.

use std::time::Duration;

use bytes::Bytes;
use ebonyfall_core::{
    chat::{self, ChatIdentity},
    code::Code,
    doc::{Idempotency, KeyHash, Priority, Team},
    id::{ChatId, RequestId},
    name::{ModelName, TeamName},
};
use ebonyfall_wire::frame::Call;
use gotham::{
    handler::HandlerResult,
    helpers::http::Body,
    middleware::state::StateMiddleware,
    pipeline::{single_middleware, single_pipeline},
    prelude::{DefineSingleRoute, DrawRoutes, FromState},
    router::{Router, builder::build_router},
    state::State,
};
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, Uri, header::CONTENT_TYPE};
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde::Deserialize;
use sha2::{Digest, Sha256};
use tokio::sync::mpsc;

use crate::{
    held::Keyed,
    relay::{Answer, Failure, Job, Relay},
    view::{Pool, View, Views},
    web::{self, Shared},
};

/// Methods that plain services are called with.
const METHODS: [Method; 5] = [
    Method::GET,
    Method::PUT,
    Method::POST,
    Method::DELETE,
    Method::PATCH,
];
/// Path of model requests.
const CHAT_PATH: &str = "/v1/chat/completions";

/// What a handler needs.
#[derive(Debug, Clone)]
struct Front {
    views: Views,
    relay: Relay,
}

/// A refusal with the text that the caller reads.
struct Refusal {
    code: Code,
    message: String,
    retry_after: Duration,
}

impl From<Failure> for Refusal {
    fn from(failure: Failure) -> Self {
        Self {
            retry_after: failure.retry_after,
            ..failure.code.into()
        }
    }
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Self {
        Self {
            code,
            message: code.name().to_owned(),
            retry_after: Duration::ZERO,
        }
    }
}

/// The parts of a model request that routing needs.
#[derive(Deserialize)]
struct ChatRequest {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    messages: Vec<Message>,
}

/// What routing needs to know of a model request.
struct ModelRequest {
    model: ModelName,
    chat: ChatId,
    /// Whether it opens its chat.
    first: bool,
    streamed: bool,
}

#[derive(Deserialize, serde::Serialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: serde_json::Value,
}

/// Builds the callers' routes.
pub fn routes(views: Views, relay: Relay) -> Router {
    let shared = Shared::new(Front { views, relay });
    let pipeline = single_middleware(StateMiddleware::new(shared));
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route.request(METHODS.to_vec(), "/*").to_async(handle);
    })
}

async fn handle(mut state: State) -> HandlerResult {
    let front = Shared::<Front>::take_from(&mut state).into_inner();
    let request = RequestId::from(rand::random::<u128>());
    let mut res = match front.run(&mut state, request).await {
        Ok(answer) => response(answer),
        Err(refusal) => {
            front.relay.metrics.count_result(refusal.code.name());
            let mut res = web::failure(refusal.code, &refusal.message, request);
            if let Some(value) = res.headers_mut().get_mut("retry-after") {
                *value = HeaderValue::from(refusal.retry_after.as_secs().saturating_add(1));
            }
            res
        }
    };
    if let Ok(id) = HeaderValue::from_str(&request.to_string()) {
        res.headers_mut().insert("x-request-id", id);
    }
    Ok((state, res))
}

impl Front {
    async fn run(&self, state: &mut State, request: RequestId) -> Result<Answer, Refusal> {
        let view = self.views.borrow().clone().ok_or(Code::NoTarget)?;
        let headers = HeaderMap::borrow_from(state).clone();
        let (name, team) = authenticate(&view, &headers)?;
        let method = Method::borrow_from(state).clone();
        let uri = Uri::borrow_from(state).clone();
        let limit = view.document.limits.body_bytes as usize;
        let body = web::body(state, limit).await?;
        let call = Call {
            method: method.to_string(),
            path: uri
                .path_and_query()
                .map_or_else(String::new, ToString::to_string),
            content_type: web::header(&headers, "content-type")
                .unwrap_or_default()
                .to_owned(),
            body,
        };
        let mut streamed = false;
        let (pool, chat, first, repeat) = if uri.path() == CHAT_PATH && method == Method::POST {
            let req = model_request(&view, &name, &team, &headers, &call.body)?;
            streamed = req.streamed;
            let usual = &view.document.models[&req.model].version;
            let version = self.relay.rollouts.version(&req.model, usual, req.chat);
            let pool = Pool::Model(req.model, version);
            (pool, req.chat, req.first, Idempotency::Idempotent)
        } else {
            let route = view
                .route(method.as_str(), uri.path())
                .ok_or(Code::NoRoute)?;
            // Calls of plain services have no context to return to and are spread evenly.
            let chat = ChatId::from(rand::random::<u64>());
            (
                Pool::Service(route.service.clone()),
                chat,
                true,
                route.idempotency,
            )
        };
        let (priority, left) = urgency(&headers, &team)?;
        let key = match web::header(&headers, "idempotency-key") {
            Some(text) if repeat == Idempotency::AtMostOnce => {
                Some(Keyed::new(&name, text, &call)?)
            }
            _ => None,
        };
        let job = Job {
            request,
            team: name,
            pool,
            chat,
            first,
            streamed,
            priority,
            repeat,
            left,
            call,
            key,
        };
        Ok(self.relay.run(job).await?)
    }
}

fn authenticate(view: &View, headers: &HeaderMap) -> Result<(TeamName, Team), Refusal> {
    let key = web::bearer(headers).ok_or(Code::Unauthenticated)?;
    // Only hashes are compared, so that the time taken tells nothing about a key.
    let hash = KeyHash(Sha256::digest(key.as_bytes()).into());
    let name = view.team(hash).ok_or(Code::Unauthenticated)?;
    Ok((name.clone(), view.document.teams[name].clone()))
}

fn model_request(
    view: &View,
    name: &TeamName,
    team: &Team,
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<ModelRequest, Refusal> {
    let parsed: ChatRequest = serde_json::from_slice(body).map_err(|error| Refusal {
        code: Code::BadRequest,
        message: format!("the body is not a chat completion request: {error}"),
        retry_after: Duration::ZERO,
    })?;
    let model = ModelName::new(&parsed.model).map_err(|_error| Code::UnknownModel)?;
    if !view.document.models.contains_key(&model) {
        let message = format!("no model {model}");
        return Err(Refusal {
            code: Code::UnknownModel,
            message,
            retry_after: Duration::ZERO,
        });
    }
    if !team.models.is_empty() && !team.models.contains(&model) {
        return Err(Code::Forbidden.into());
    }
    let chat = match web::header(headers, "x-chat-id") {
        Some(id) => chat::chat_id(name, &model, ChatIdentity::Named(id)),
        None => {
            let opening = serde_json::to_vec(&opening(&parsed.messages)).unwrap_or_default();
            chat::chat_id(name, &model, ChatIdentity::Opening(&opening))
        }
    };
    let first = opening(&parsed.messages).len() == parsed.messages.len();
    Ok(ModelRequest {
        model,
        chat,
        first,
        streamed: parsed.stream,
    })
}

/// The messages up to and including the first user message; every later request repeats them.
fn opening(messages: &[Message]) -> &[Message] {
    let first = messages.iter().position(|message| message.role == "user");
    &messages[..first.map_or(messages.len(), |index| index + 1)]
}

fn urgency(headers: &HeaderMap, team: &Team) -> Result<(Priority, Duration), Refusal> {
    let bad = |message: &str| Refusal {
        code: Code::BadRequest,
        message: message.to_owned(),
        retry_after: Duration::ZERO,
    };
    let priority = match web::header(headers, "x-priority") {
        None => team.priority,
        Some(text) => text
            .parse()
            .map_err(|_error| bad("x-priority: desk, check or overnight"))?,
    };
    let left = match web::header(headers, "x-deadline-ms") {
        None => team.deadline,
        Some(text) => {
            let millis = text
                .parse()
                .map_err(|_error| bad("x-deadline-ms: milliseconds"))?;
            Duration::from_millis(millis)
        }
    };
    Ok((priority, left))
}

fn response(answer: Answer) -> Response<Body> {
    let body = futures_util::stream::unfold(answer.body, next_part);
    let mut res = Response::new(Body::new(StreamBody::new(body)));
    *res.status_mut() = StatusCode::from_u16(answer.head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(kind) = HeaderValue::from_str(&answer.head.content_type) {
        res.headers_mut().insert(CONTENT_TYPE, kind);
    }
    res
}

type Parts = mpsc::Receiver<std::io::Result<Bytes>>;

async fn next_part(mut parts: Parts) -> Option<(std::io::Result<Frame<Bytes>>, Parts)> {
    let part = parts.recv().await?;
    Some((part.map(Frame::data), parts))
}
