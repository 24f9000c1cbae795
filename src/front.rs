//! HTTP interface for callers: authentication, routing to a model or plain service, and error
//! answers.

use std::time::Duration;

use bytes::Bytes;
use ebonyfall_core::{
    chat::{self, ChatIdentity},
    code::Code,
    doc::{Idempotency, KeyHash, Priority, Team},
    id::{ChatId, RequestId},
    memory::Party,
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
    body::RequestBodies,
    cache::KeyedCall,
    callers::AnswerDeadline,
    clock::BootClock,
    relay::{Answer, Relay, RelayFailure, RelayJob},
    view::{Pool, View, Views},
    web::{self, Shared},
};

/// HTTP methods that callers may use.
const ALLOWED_METHODS: [Method; 5] = [
    Method::GET,
    Method::PUT,
    Method::POST,
    Method::DELETE,
    Method::PATCH,
];
/// Path of requests to models; `POST` only.
const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";

/// State shared by all handlers.
#[derive(Debug, Clone)]
struct Frontend {
    views: Views,
    relay: Relay,
    bodies: RequestBodies,
}

/// An error answer: result code, message for the caller and `retry-after` time.
struct ErrorAnswer {
    code: Code,
    message: String,
    retry_after: Duration,
}

impl From<RelayFailure> for ErrorAnswer {
    fn from(failure: RelayFailure) -> Self {
        Self {
            retry_after: failure.retry_after,
            ..failure.code.into()
        }
    }
}

impl From<Code> for ErrorAnswer {
    fn from(code: Code) -> Self {
        Self {
            code,
            message: code.name().to_owned(),
            retry_after: Duration::ZERO,
        }
    }
}

/// Fields of the JSON body that routing uses; the body itself is forwarded unchanged.
#[derive(Deserialize)]
struct ChatRequest {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    messages: Vec<Message>,
}

/// Routing data of a model request.
struct ModelRequest {
    model: ModelName,
    chat: ChatId,
    /// Whether this is the first request of the chat.
    opens_chat: bool,
    streamed: bool,
}

#[derive(Deserialize, serde::Serialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: serde_json::Value,
}

/// Builds the router of the callers' interface, with one handler for all paths.
pub fn routes(views: Views, relay: Relay, bodies: RequestBodies) -> Router {
    let shared = Shared::new(Frontend {
        views,
        relay,
        bodies,
    });
    let pipeline = single_middleware(StateMiddleware::new(shared));
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route
            .request(ALLOWED_METHODS.to_vec(), "/*")
            .to_async(handle);
    })
}

async fn handle(mut state: State) -> HandlerResult {
    let frontend = Shared::<Frontend>::take_from(&mut state).into_inner();
    let request = RequestId::from(rand::random::<u128>());
    let mut res = match frontend.run(&mut state, request).await {
        Ok((answer, deadline)) => {
            let mut res = response(answer);
            res.extensions_mut().insert(deadline);
            res
        }
        Err(error) => {
            frontend.relay.metrics.count_result(error.code.name());
            let mut res = web::error_response(error.code, &error.message, request);
            if let Some(value) = res.headers_mut().get_mut("retry-after") {
                *value = HeaderValue::from(error.retry_after.as_secs().saturating_add(1));
            }
            res
        }
    };
    if let Ok(id) = HeaderValue::from_str(&request.to_string()) {
        res.headers_mut().insert("x-request-id", id);
    }
    Ok((state, res))
}

impl Frontend {
    async fn run(
        &self,
        state: &mut State,
        request: RequestId,
    ) -> Result<(Answer, AnswerDeadline), ErrorAnswer> {
        let view = self.views.borrow().clone().ok_or(Code::NoTarget)?;
        let headers = HeaderMap::borrow_from(state).clone();
        let (team_name, team) = authenticate(&view, &headers)?;
        let method = Method::borrow_from(state).clone();
        let uri = Uri::borrow_from(state).clone();
        let limit = view.document.limits.body_bytes as usize;
        let party = Party::Team(team_name.clone());
        let body = self.bodies.read(state, limit, &party).await?;
        if self.relay.phases.refuses_new() {
            return Err(Code::ShuttingDown.into());
        }
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
        let (pool, chat, opens_chat, idempotency) =
            if uri.path() == CHAT_COMPLETIONS_PATH && method == Method::POST {
                let req = model_request(&view, &team_name, &team, &headers, &call.body)?;
                streamed = req.streamed;
                let default_version = &view.document.models[&req.model].version;
                let version = self
                    .relay
                    .rollouts
                    .version(&req.model, default_version, req.chat);
                let pool = Pool::Model(req.model, version);
                (pool, req.chat, req.opens_chat, Idempotency::Idempotent)
            } else {
                let route = view
                    .route(method.as_str(), uri.path())
                    .ok_or(Code::NoRoute)?;
                // Plain services keep no chat context; a random chat id spreads their calls evenly.
                let chat = ChatId::from(rand::random::<u64>());
                (
                    Pool::Service(route.service.clone()),
                    chat,
                    true,
                    route.idempotency,
                )
            };
        let (priority, time_left) = priority_and_timeout(&headers, &team)?;
        let key = match web::header(&headers, "idempotency-key") {
            Some(text) if idempotency == Idempotency::AtMostOnce => {
                Some(KeyedCall::new(&team_name, text, &call)?)
            }
            _ => None,
        };
        let job = RelayJob {
            request,
            team: team_name,
            pool,
            chat,
            opens_chat,
            streamed,
            priority,
            idempotency,
            time_left,
            call,
            key,
        };
        let deadline = BootClock.now() + job.time_left;
        let answer = self.relay.run(job).await?;
        Ok((answer, AnswerDeadline(deadline)))
    }
}

fn authenticate(view: &View, headers: &HeaderMap) -> Result<(TeamName, Team), ErrorAnswer> {
    let key = web::bearer_token(headers).ok_or(Code::Unauthenticated)?;
    // Only hashes are compared, so that timing reveals nothing about valid keys.
    let hash = KeyHash(Sha256::digest(key.as_bytes()).into());
    let name = view.team(hash).ok_or(Code::Unauthenticated)?;
    Ok((name.clone(), view.document.teams[name].clone()))
}

fn model_request(
    view: &View,
    team_name: &TeamName,
    team: &Team,
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<ModelRequest, ErrorAnswer> {
    let parsed: ChatRequest = serde_json::from_slice(body).map_err(|error| ErrorAnswer {
        code: Code::BadRequest,
        message: format!("the body is not a chat completion request: {error}"),
        retry_after: Duration::ZERO,
    })?;
    let model = ModelName::new(&parsed.model).map_err(|_error| Code::UnknownModel)?;
    if !view.document.models.contains_key(&model) {
        let message = format!("no model {model}");
        return Err(ErrorAnswer {
            code: Code::UnknownModel,
            message,
            retry_after: Duration::ZERO,
        });
    }
    if !team.models.is_empty() && !team.models.contains(&model) {
        return Err(Code::Forbidden.into());
    }
    let chat = match web::header(headers, "x-chat-id") {
        Some(id) => chat::chat_id(team_name, &model, ChatIdentity::Named(id)),
        None => {
            let opening = serde_json::to_vec(&opening(&parsed.messages)).unwrap_or_default();
            chat::chat_id(team_name, &model, ChatIdentity::Opening(&opening))
        }
    };
    let opens_chat = opening(&parsed.messages).len() == parsed.messages.len();
    Ok(ModelRequest {
        model,
        chat,
        opens_chat,
        streamed: parsed.stream,
    })
}

/// Returns the messages up to and including the first user message. Every later request of the chat
/// repeats them, so they identify the chat.
fn opening(messages: &[Message]) -> &[Message] {
    let first = messages.iter().position(|message| message.role == "user");
    &messages[..first.map_or(messages.len(), |index| index + 1)]
}

fn priority_and_timeout(
    headers: &HeaderMap,
    team: &Team,
) -> Result<(Priority, Duration), ErrorAnswer> {
    let bad_request = |message: &str| ErrorAnswer {
        code: Code::BadRequest,
        message: message.to_owned(),
        retry_after: Duration::ZERO,
    };
    let priority = match web::header(headers, "x-priority") {
        None => team.priority,
        Some(text) => text
            .parse()
            .map_err(|_error| bad_request("x-priority: desk, check or overnight"))?,
    };
    let time_left = match web::header(headers, "x-deadline-ms") {
        None => team.deadline,
        Some(text) => {
            let millis = text
                .parse()
                .map_err(|_error| bad_request("x-deadline-ms: milliseconds"))?;
            Duration::from_millis(millis)
        }
    };
    Ok((priority, time_left))
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
