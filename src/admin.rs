//! The administrators' HTTP interface of routers and agents.

use std::{collections::BTreeMap, io, net::SocketAddr, pin::Pin, sync::Arc, time::Instant};

use ebonyfall_core::{
    code::Code,
    doc::KeyHash,
    id::{Incarnation, Offset, RequestId},
    name::{OperatorName, TeamName},
};
use gotham::{
    handler::HandlerResult,
    helpers::http::Body,
    middleware::state::StateMiddleware,
    pipeline::{single_middleware, single_pipeline},
    prelude::{DefineSingleRoute, DrawRoutes, FromState},
    router::{Router, builder::build_router},
    state::State,
};
use http::{HeaderMap, Method, Response, StatusCode, Uri};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use slog::Logger;
use subtle::{Choice, ConstantTimeEq};
use tokio::sync::watch;

use crate::{
    clock,
    metrics::Metrics,
    operate::{self, OperateError, Request},
    platform::Platform,
    settings::Common,
    status,
    view::{Config, ConfigState, View},
    web::{self, Shared},
};

/// Largest document, in bytes.
const MAX_BODY: usize = 16 << 20;
/// Tries of a team's change while others publish.
const TEAM_TRIES: u32 = 5;

/// The state of a process, as `/dump` gives it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Dump {
    /// The program's version.
    pub build: String,
    /// `router` or `agent`.
    pub role: String,
    /// The process's name.
    pub name: String,
    /// The process's zone.
    pub zone: String,
    /// The process's incarnation.
    pub incarnation: Incarnation,
    /// Time since the start, in milliseconds.
    pub uptime_ms: u64,
    /// The configuration in force here.
    pub configuration: ConfigState,
    /// The state of each task, by the task's name.
    pub tasks: BTreeMap<String, Value>,
}

type Part = Arc<dyn Fn() -> Pin<Box<dyn Future<Output = Value> + Send>> + Send + Sync>;

/// The admin interface of a process.
#[derive(Clone)]
pub struct Admin {
    role: &'static str,
    name: String,
    zone: String,
    incarnation: Incarnation,
    started: Instant,
    tokens: Vec<KeyHash>,
    config: Config,
    metrics: Metrics,
    api: Option<Api>,
    parts: Vec<(&'static str, Part)>,
}

impl std::fmt::Debug for Admin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Admin")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// What the configuration API needs.
#[derive(Debug, Clone)]
struct Api {
    platform: Platform,
    processes: Vec<SocketAddr>,
}

/// Who sent a request.
enum Caller {
    Operator,
    Team(TeamName),
}

/// A refusal with the text that the caller reads.
struct Refusal(Code, String);

impl From<Code> for Refusal {
    fn from(code: Code) -> Self {
        Self(code, code.name().to_owned())
    }
}

impl From<OperateError> for Refusal {
    fn from(error: OperateError) -> Self {
        let code = match &error {
            OperateError::Faults { .. }
            | OperateError::Desired { .. }
            | OperateError::DesiredFaults { .. } => Code::InvalidDocument,
            OperateError::Conflict { .. } => Code::Conflict,
            OperateError::Log { .. } | OperateError::Lost | OperateError::Nothing => {
                Code::LogUnavailable
            }
            OperateError::Unconfirmed { .. }
            | OperateError::Encode { .. }
            | OperateError::Invalid { .. } => Code::Internal,
        };
        Self(code, error.to_string())
    }
}

/// What a team may change about itself.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct TeamChange {
    keys: Option<String>,
    priority: Option<String>,
    deadline: Option<String>,
}

impl Admin {
    /// Prepares the interface of a process.
    pub fn new(
        role: &'static str,
        common: &Common,
        incarnation: Incarnation,
        config: Config,
        metrics: Metrics,
    ) -> Self {
        Self {
            role,
            name: common.name.to_string(),
            zone: common.zone.to_string(),
            incarnation,
            started: Instant::now(),
            tokens: common.operator_tokens.clone(),
            config,
            metrics,
            api: None,
            parts: Vec::new(),
        }
    }

    /// Adds the state of a task to the dump.
    #[must_use]
    pub fn with_part<F, T>(
        mut self,
        name: &'static str,
        state: impl Fn() -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = T> + Send + 'static,
        T: Serialize,
    {
        let part: Part = Arc::new(move || {
            let state = state();
            Box::pin(async move { serde_json::to_value(state.await).unwrap_or_default() })
        });
        self.parts.push((name, part));
        self
    }

    /// Adds the configuration API, which reports on `processes`.
    #[must_use]
    pub fn with_api(mut self, platform: Platform, processes: Vec<SocketAddr>) -> Self {
        self.api = Some(Api {
            platform,
            processes,
        });
        self
    }

    /// Serves the interface on `address` until `stop` turns true.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be used.
    pub async fn start(
        self,
        address: SocketAddr,
        stop: watch::Receiver<bool>,
        log: Logger,
    ) -> io::Result<()> {
        let listener = web::bind(address).await?;
        tokio::spawn(web::serve(
            listener,
            self.routes(),
            web::ConnectionLimits::default,
            stop,
            log,
        ));
        Ok(())
    }

    fn routes(self) -> Router {
        let pipeline = single_middleware(StateMiddleware::new(Shared::new(self)));
        let (chain, pipelines) = single_pipeline(pipeline);
        build_router(chain, pipelines, |route| {
            route
                .request(vec![Method::GET, Method::POST], "/*")
                .to_async(handle);
        })
    }

    /// The state of the process.
    pub async fn dump(&self) -> Dump {
        let mut tasks = BTreeMap::new();
        for (name, part) in &self.parts {
            tasks.insert((*name).to_owned(), part().await);
        }
        Dump {
            build: env!("CARGO_PKG_VERSION").to_owned(),
            role: self.role.to_owned(),
            name: self.name.clone(),
            zone: self.zone.clone(),
            incarnation: self.incarnation,
            uptime_ms: u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX),
            configuration: self.config.state().await,
            tasks,
        }
    }

    fn view(&self) -> Option<Arc<View>> {
        self.config.views().borrow().clone()
    }

    /// Finds out who sent the request; only hashes are compared, and each with the same effort.
    fn authorize(&self, headers: &HeaderMap) -> Result<Caller, Refusal> {
        let token = web::bearer(headers).ok_or(Code::Unauthenticated)?;
        let hash: [u8; 32] = Sha256::digest(token.as_bytes()).into();
        let same = |known: &[KeyHash]| {
            let equal = known.iter().map(|known| known.0.ct_eq(&hash));
            bool::from(equal.fold(Choice::from(0), |any, equal| any | equal))
        };
        if same(&self.tokens) {
            return Ok(Caller::Operator);
        }
        let view = self.view().ok_or(Code::Unauthenticated)?;
        let teams = view.document.teams.iter();
        // Every team is compared, so that the time taken tells nothing about which one matched.
        let found = teams.fold(None, |found, (name, team)| {
            if same(&team.admin_tokens) {
                Some(name)
            } else {
                found
            }
        });
        let name = found.ok_or(Code::Unauthenticated)?;
        Ok(Caller::Team(name.clone()))
    }

    async fn run(&self, state: &mut State) -> Result<Response<Body>, Refusal> {
        let uri = Uri::borrow_from(state).clone();
        let method = Method::borrow_from(state).clone();
        if (method.as_str(), uri.path()) == ("GET", "/healthz") {
            let ready = self.view().is_some();
            let status = if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            return Ok(web::json(status, &json!({ "configuration": ready })));
        }
        let caller = self.authorize(HeaderMap::borrow_from(state))?;
        match (caller, method.as_str(), uri.path()) {
            (Caller::Operator, "GET", "/metrics") => {
                let mut res = Response::new(web::full(self.metrics.encode()));
                let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
                let kind = http::HeaderValue::from_static(kind);
                res.headers_mut().insert(http::header::CONTENT_TYPE, kind);
                Ok(res)
            }
            (Caller::Operator, "GET", "/dump") => Ok(ok(&self.dump().await)),
            (caller, method, path) => {
                let api = self.api.as_ref().ok_or(Code::NoRoute)?;
                let body = web::body(state, MAX_BODY).await?;
                let text = std::str::from_utf8(&body)
                    .map_err(|error| Refusal(Code::BadRequest, error.to_string()))?;
                match caller {
                    Caller::Operator => {
                        let token = web::bearer(HeaderMap::borrow_from(state)).unwrap_or_default();
                        let query = uri.query().unwrap_or_default();
                        self.operator(api, method, path, query, text, token).await
                    }
                    Caller::Team(name) => self.team(api, &name, method, path, text).await,
                }
            }
        }
    }

    async fn operator(
        &self,
        api: &Api,
        method: &str,
        path: &str,
        query: &str,
        text: &str,
        token: &str,
    ) -> Result<Response<Body>, Refusal> {
        match (method, path) {
            ("GET", "/v1/config") => {
                let view = self.view().ok_or(OperateError::Nothing)?;
                Ok(ok(&json!({
                    "offset": view.offset,
                    "digest": view.digest.to_string(),
                    "author": view.author,
                    "time": view.published_ms,
                    "text": &*view.document.text,
                })))
            }
            ("GET", "/v1/config/history") => Ok(ok(&operate::history(&api.platform).await?)),
            ("GET", "/v1/status") => {
                let now = clock::unix_time();
                Ok(ok(&status::collect(
                    &api.platform,
                    &api.processes,
                    token,
                    now,
                )
                .await))
            }
            ("POST", "/v1/config/check") => {
                let checked = operate::check("document", text)?;
                Ok(ok(&json!({ "sections": checked.titles().count() })))
            }
            ("POST", "/v1/config/diff") => {
                let (base, differences) = operate::diff(&api.platform, "document", text).await?;
                Ok(ok(&json!({ "base": base, "differences": differences })))
            }
            ("POST", "/v1/config/publish") => {
                let author = parameter(query, "operator");
                let author = author.and_then(|name| OperatorName::new(name).ok());
                let author = author.ok_or_else(|| {
                    let text = "add ?operator=NAME, the name to record with the change";
                    Refusal(Code::BadRequest, text.to_owned())
                })?;
                let base = match parameter(query, "base") {
                    None => None,
                    Some(text) => {
                        let offset = text.parse::<u64>();
                        let offset = offset
                            .map_err(|error| Refusal(Code::BadRequest, format!("base: {error}")))?;
                        Some(Offset::from(offset))
                    }
                };
                let req = Request {
                    file: "document",
                    text,
                    author,
                    base,
                    initial: false,
                };
                let published = operate::publish(&api.platform, req).await?;
                self.config.poll_now().await;
                Ok(ok(&published))
            }
            _ => Err(Code::NoRoute.into()),
        }
    }

    async fn team(
        &self,
        api: &Api,
        name: &TeamName,
        method: &str,
        path: &str,
        text: &str,
    ) -> Result<Response<Body>, Refusal> {
        match (method, path) {
            ("GET", "/v1/team") => {
                let view = self.view().ok_or(OperateError::Nothing)?;
                let team = view.document.teams.get(name).ok_or(Code::Forbidden)?;
                Ok(ok(&json!({
                    "team": name,
                    "keys": team.keys.len(),
                    "weight": team.weight,
                    "priority": team.priority,
                    "deadline": humantime::format_duration(team.deadline).to_string(),
                    "models": team.models,
                })))
            }
            ("POST", "/v1/team") => {
                let change: TeamChange = serde_json::from_str(text).map_err(|error| {
                    let text = format!("{error}; a team may change keys, priority and deadline");
                    Refusal(Code::Forbidden, text)
                })?;
                let published = change_team(&api.platform, name, &change).await?;
                self.config.poll_now().await;
                Ok(ok(&published))
            }
            _ => Err(Code::Forbidden.into()),
        }
    }
}

/// Publishes a change of one team's section; other operators' changes in between are kept.
async fn change_team(
    platform: &Platform,
    name: &TeamName,
    change: &TeamChange,
) -> Result<operate::Published, Refusal> {
    let title = format!("team {name}");
    let author =
        OperatorName::new(format!("team-{name}")).or_else(|_long| OperatorName::new(name.as_str()));
    let author = author.map_err(|error| Refusal(Code::Internal, error.to_string()))?;
    let mut tries = 0;
    loop {
        let tip = operate::current(platform)
            .await?
            .ok_or(OperateError::Nothing)?;
        let mut sections = operate::sections(Some(&tip));
        let mut body = sections.get(&title).ok_or(Code::Forbidden)?.clone();
        let values = [
            ("keys", &change.keys),
            ("priority", &change.priority),
            ("deadline", &change.deadline),
        ];
        for (key, value) in values {
            if let Some(value) = value {
                // A line break would start another key or section.
                if value.contains(['\n', '\r']) {
                    return Err(Refusal(Code::Forbidden, format!("{key}: a line break")));
                }
                body.insert(key.to_owned(), value.clone());
            }
        }
        sections.put(&title, body);
        let text = sections.render();
        let req = Request {
            file: "document",
            text: &text,
            author: author.clone(),
            base: Some(tip.offset),
            initial: false,
        };
        match operate::publish(platform, req).await {
            Err(OperateError::Conflict { .. }) if tries < TEAM_TRIES => tries += 1,
            other => return Ok(other?),
        }
    }
}

fn parameter<'q>(query: &'q str, key: &str) -> Option<&'q str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find_map(|(found, value)| (found == key).then_some(value))
}

fn ok(value: &impl Serialize) -> Response<Body> {
    web::json(StatusCode::OK, value)
}

async fn handle(mut state: State) -> HandlerResult {
    let admin = Shared::<Admin>::take_from(&mut state).into_inner();
    let res = match admin.run(&mut state).await {
        Ok(res) => res,
        Err(Refusal(code, message)) => {
            web::failure(code, &message, RequestId::from(rand::random::<u128>()))
        }
    };
    Ok((state, res))
}
