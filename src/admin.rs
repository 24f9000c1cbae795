//! Administrative HTTP interface of routers and agents: health, metrics, state dump and the
//! configuration API.

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

use crate::{
    callers::CallerGuard,
    clock,
    memory::MemoryBudget,
    metrics::Metrics,
    operate::{self, OperateError, PublishRequest},
    platform::Platform,
    settings::CommonConfig,
    status,
    supervisor::{Supervisor, TaskName},
    view::{Config, ConfigState, View},
    web::{self, Shared},
};

/// Maximum size of a request body, and so of a published document, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Retries of a team's change after conflicts with concurrent publishers.
const MAX_CONFLICT_RETRIES: u32 = 5;

/// State of a process, as served at `/dump`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Dump {
    /// Package version that the program was built from.
    pub build: String,
    /// Kind of process: `router` or `agent`.
    pub role: String,
    /// Name of the process, from its settings.
    pub name: String,
    /// Availability zone of the process, from its settings.
    pub zone: String,
    /// Incarnation of the process, which increases with every restart.
    pub incarnation: Incarnation,
    /// Time since the process started, in milliseconds.
    pub uptime_ms: u64,
    /// Configuration that this process applies, and the state of its log reader.
    pub configuration: ConfigState,
    /// State of each registered task as JSON, by task name.
    pub tasks: BTreeMap<String, Value>,
}

/// Collects the state of one task as JSON.
type TaskDump = Arc<dyn Fn() -> Pin<Box<dyn Future<Output = Value> + Send>> + Send + Sync>;

/// Request handler of a process's admin interface.
#[derive(Clone)]
pub struct Admin {
    role: &'static str,
    name: String,
    zone: String,
    incarnation: Incarnation,
    started: Instant,
    operator_tokens: Vec<KeyHash>,
    config: Config,
    metrics: Metrics,
    api: Option<ConfigApi>,
    task_dumps: Vec<(&'static str, TaskDump)>,
    guard: CallerGuard,
}

impl std::fmt::Debug for Admin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Admin")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// Dependencies of the configuration API.
#[derive(Debug, Clone)]
struct ConfigApi {
    platform: Platform,
    processes: Vec<SocketAddr>,
}

/// Authenticated sender of a request.
enum Caller {
    Operator,
    Team(TeamName),
}

/// Result code of a failed request, with the message returned to the caller.
struct ApiError(Code, String);

impl From<Code> for ApiError {
    fn from(code: Code) -> Self {
        Self(code, code.name().to_owned())
    }
}

impl From<OperateError> for ApiError {
    fn from(error: OperateError) -> Self {
        let code = match &error {
            OperateError::Faults { .. }
            | OperateError::DesiredUnreadable { .. }
            | OperateError::DesiredFaults { .. } => Code::InvalidDocument,
            OperateError::Conflict { .. } => Code::Conflict,
            OperateError::Log { .. }
            | OperateError::ConfigurationDropped
            | OperateError::NoConfiguration => Code::LogUnavailable,
            OperateError::Unconfirmed { .. }
            | OperateError::Encode { .. }
            | OperateError::Invalid { .. } => Code::Internal,
        };
        Self(code, error.to_string())
    }
}

/// Body of `POST /v1/team`: the keys of its own section that a team may change.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct TeamChange {
    keys: Option<String>,
    priority: Option<String>,
    deadline: Option<String>,
}

impl Admin {
    /// Creates the admin interface of a process, without the configuration API.
    pub fn new(
        role: &'static str,
        common: &CommonConfig,
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
            operator_tokens: common.operator_tokens.clone(),
            config,
            guard: CallerGuard {
                memory: MemoryBudget::default(),
                metrics: metrics.callers.clone(),
            },
            metrics,
            api: None,
            task_dumps: Vec::new(),
        }
    }

    /// Takes the memory for connections from the budget of the process.
    #[must_use]
    pub fn with_guard(mut self, guard: CallerGuard) -> Self {
        self.guard = guard;
        self
    }

    /// Adds a task to `/dump` under `name`; `state` is called for each dump.
    #[must_use]
    pub fn with_task_dump<F, T>(
        mut self,
        name: &'static str,
        state: impl Fn() -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = T> + Send + 'static,
        T: Serialize,
    {
        let task_dump: TaskDump = Arc::new(move || {
            let state = state();
            Box::pin(async move { serde_json::to_value(state.await).unwrap_or_default() })
        });
        self.task_dumps.push((name, task_dump));
        self
    }

    /// Enables the configuration API; `/v1/status` queries the admin addresses in `processes`.
    #[must_use]
    pub fn with_config_api(mut self, platform: Platform, processes: Vec<SocketAddr>) -> Self {
        self.api = Some(ConfigApi {
            platform,
            processes,
        });
        self
    }

    /// Binds `address` and serves the interface in a background task until `stop` becomes true.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        self,
        address: SocketAddr,
        supervisor: &Supervisor,
        log: Logger,
    ) -> io::Result<()> {
        let listener = web::bind(address).await?;
        let guard = self.guard.clone();
        let serving = web::serve(
            listener,
            self.routes(),
            web::ConnectionLimits::small,
            guard,
            supervisor.stop(),
            log,
        );
        supervisor.spawn(TaskName::Admin, serving);
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

    /// Collects the state of the process and of every registered task.
    pub async fn dump(&self) -> Dump {
        let mut tasks = BTreeMap::new();
        for (name, task_dump) in &self.task_dumps {
            tasks.insert((*name).to_owned(), task_dump().await);
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

    /// Authenticates the bearer token. Only hashes are compared, each in constant time.
    fn authorize(&self, headers: &HeaderMap) -> Result<Caller, ApiError> {
        let token = web::bearer_token(headers).ok_or(Code::Unauthenticated)?;
        let hash: [u8; 32] = Sha256::digest(token.as_bytes()).into();
        let matches_any = |known: &[KeyHash]| {
            let equal = known.iter().map(|known| known.0.ct_eq(&hash));
            bool::from(equal.fold(Choice::from(0), |any, equal| any | equal))
        };
        if matches_any(&self.operator_tokens) {
            return Ok(Caller::Operator);
        }
        let view = self.view().ok_or(Code::Unauthenticated)?;
        let teams = view.document.teams.iter();
        // No early exit: the response time must not reveal which team matched.
        let found = teams.fold(None, |found, (name, team)| {
            if matches_any(&team.admin_tokens) {
                Some(name)
            } else {
                found
            }
        });
        let name = found.ok_or(Code::Unauthenticated)?;
        Ok(Caller::Team(name.clone()))
    }

    async fn respond(&self, state: &mut State) -> Result<Response<Body>, ApiError> {
        let uri = Uri::borrow_from(state).clone();
        let method = Method::borrow_from(state).clone();
        if (method.as_str(), uri.path()) == ("GET", "/healthz") {
            let ready = self.view().is_some();
            let status = if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            return Ok(web::json_response(
                status,
                &json!({ "configuration": ready }),
            ));
        }
        let caller = self.authorize(HeaderMap::borrow_from(state))?;
        match (caller, method.as_str(), uri.path()) {
            (Caller::Operator, "GET", "/metrics") => {
                let mut res = Response::new(web::full_body(self.metrics.encode()));
                let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
                let content_type = http::HeaderValue::from_static(content_type);
                res.headers_mut()
                    .insert(http::header::CONTENT_TYPE, content_type);
                Ok(res)
            }
            (Caller::Operator, "GET", "/dump") => Ok(ok(&self.dump().await)),
            (caller, method, path) => {
                let api = self.api.as_ref().ok_or(Code::NoRoute)?;
                let body = web::read_body(state, MAX_BODY_BYTES).await?;
                let text = std::str::from_utf8(&body)
                    .map_err(|error| ApiError(Code::BadRequest, error.to_string()))?;
                match caller {
                    Caller::Operator => {
                        let token =
                            web::bearer_token(HeaderMap::borrow_from(state)).unwrap_or_default();
                        let query = uri.query().unwrap_or_default();
                        self.respond_to_operator(api, method, path, query, text, token)
                            .await
                    }
                    Caller::Team(name) => {
                        self.respond_to_team(api, &name, method, path, text).await
                    }
                }
            }
        }
    }

    async fn respond_to_operator(
        &self,
        api: &ConfigApi,
        method: &str,
        path: &str,
        query: &str,
        text: &str,
        token: &str,
    ) -> Result<Response<Body>, ApiError> {
        match (method, path) {
            ("GET", "/v1/config") => {
                let view = self.view().ok_or(OperateError::NoConfiguration)?;
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
                let author = query_parameter(query, "operator");
                let author = author.and_then(|name| OperatorName::new(name).ok());
                let author = author.ok_or_else(|| {
                    let text = "add ?operator=NAME, the name to record with the change";
                    ApiError(Code::BadRequest, text.to_owned())
                })?;
                let base = match query_parameter(query, "base") {
                    None => None,
                    Some(text) => {
                        let offset = text.parse::<u64>();
                        let offset = offset.map_err(|error| {
                            ApiError(Code::BadRequest, format!("base: {error}"))
                        })?;
                        Some(Offset::from(offset))
                    }
                };
                let req = PublishRequest {
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

    async fn respond_to_team(
        &self,
        api: &ConfigApi,
        name: &TeamName,
        method: &str,
        path: &str,
        text: &str,
    ) -> Result<Response<Body>, ApiError> {
        match (method, path) {
            ("GET", "/v1/team") => {
                let view = self.view().ok_or(OperateError::NoConfiguration)?;
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
                    ApiError(Code::Forbidden, text)
                })?;
                let published = change_team(&api.platform, name, &change).await?;
                self.config.poll_now().await;
                Ok(ok(&published))
            }
            _ => Err(Code::Forbidden.into()),
        }
    }
}

/// Publishes a change to one team's section. After a conflict, the change is applied again to the
/// newest document, so that concurrent changes to other sections and keys are kept.
async fn change_team(
    platform: &Platform,
    name: &TeamName,
    change: &TeamChange,
) -> Result<operate::PublishOutcome, ApiError> {
    let title = format!("team {name}");
    let author =
        OperatorName::new(format!("team-{name}")).or_else(|_long| OperatorName::new(name.as_str()));
    let author = author.map_err(|error| ApiError(Code::Internal, error.to_string()))?;
    let mut retries = 0;
    loop {
        let tip = operate::current_tip(platform)
            .await?
            .ok_or(OperateError::NoConfiguration)?;
        let mut sections = operate::sections(Some(&tip));
        let mut body = sections.get(&title).ok_or(Code::Forbidden)?.clone();
        let values = [
            ("keys", &change.keys),
            ("priority", &change.priority),
            ("deadline", &change.deadline),
        ];
        for (key, value) in values {
            if let Some(value) = value {
                // A line break in a value could add another key or section to the document.
                if value.contains(['\n', '\r']) {
                    return Err(ApiError(Code::Forbidden, format!("{key}: a line break")));
                }
                body.insert(key.to_owned(), value.clone());
            }
        }
        sections.put(&title, body);
        let text = sections.render();
        let req = PublishRequest {
            file: "document",
            text: &text,
            author: author.clone(),
            base: Some(tip.offset),
            initial: false,
        };
        match operate::publish(platform, req).await {
            Err(OperateError::Conflict { .. }) if retries < MAX_CONFLICT_RETRIES => retries += 1,
            other => return Ok(other?),
        }
    }
}

fn query_parameter<'q>(query: &'q str, key: &str) -> Option<&'q str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find_map(|(found, value)| (found == key).then_some(value))
}

fn ok(value: &impl Serialize) -> Response<Body> {
    web::json_response(StatusCode::OK, value)
}

async fn handle(mut state: State) -> HandlerResult {
    let admin = Shared::<Admin>::take_from(&mut state).into_inner();
    let res = match admin.respond(&mut state).await {
        Ok(res) => res,
        Err(ApiError(code, message)) => {
            web::error_response(code, &message, RequestId::from(rand::random::<u128>()))
        }
    };
    Ok((state, res))
}
