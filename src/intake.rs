//! HTTP handler of an entry router for callers' requests: authenticates and routes each request,
//! has it forwarded and answers the caller.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{
    code::Code, direct::DirectRequest, memory::Party, name::TeamName, selector::SelectionRefusal,
    time::Time,
};
use ebonyfall_platform::{
    answer, desired,
    request::{self, CallerHeaders},
};
use gotham::{handler::HandlerResult, helpers::http::Body, prelude::FromState, state::State};
use http::{HeaderMap, Method, Response, StatusCode, Uri, header::HOST};
use slog::{info, warn};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    body::{self, RequestBodies},
    callers::AnswerDeadline,
    carry::{CallerAnswer, ForwardJob, Forwarder, Forwarding},
    clock::{self, BootClock},
    web,
};

/// `retry-after` time of requests that are refused before a target is chosen, such as while the
/// router's state is stale; the retry is likely to reach another router.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time limit of requests whose caller sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit on request bodies, in bytes, until a desired state with a limit has been received.
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
/// On average, one in this many successful requests is logged. Refusals are always logged.
const LOG_SAMPLE_INTERVAL: u64 = 16;

/// Handles that every request uses; cloning shares them.
#[derive(Debug, Clone)]
pub struct Intake {
    /// Handles that forwarding a request needs, too.
    pub shared: Arc<Forwarding>,
    /// Memory for the bodies of requests.
    pub bodies: RequestBodies,
}

impl Intake {
    /// Handles one request from its headers to its answer.
    ///
    /// # Errors
    ///
    /// Never fails; the `Result` is required by gotham's handler signature.
    pub async fn handle(self, mut state: State) -> HandlerResult {
        let arrived = BootClock.now();
        let method = Method::borrow_from(&state).clone();
        let uri = Uri::borrow_from(&state).clone();
        let headers = HeaderMap::borrow_from(&state).clone();
        let host = host(&headers);
        let inbound = request::decode(headers);
        let attempt_id = inbound.attempt_id.clone();
        let limit = {
            let desired = self.shared.store_state.desired.borrow();
            desired.as_ref().map(|state| state.limits.max_body_bytes)
        };
        let limit = limit.unwrap_or(DEFAULT_MAX_BODY_BYTES);
        let party = self.team(&inbound, &host, &uri).map(Party::Team);
        let party = party.unwrap_or_else(|| body::address(&state));
        // The body is read even if no route takes the request: a body that is not read costs the
        // caller its connection.
        let body = match self.bodies.read(&mut state, limit, &party).await {
            Ok(body) => body,
            Err(code) => return Ok((state, self.refuse(&attempt_id, refusal(code)))),
        };
        let job = self.route(inbound, &host, method, uri, body, arrived);
        let res = match job {
            Ok((job, direct)) => self.forward(job, direct).await,
            Err(code) => self.refuse(&attempt_id, refusal(code)),
        };
        Ok((state, res))
    }

    /// Team whose request this is, as far as headers and path tell.
    fn team(&self, inbound: &CallerHeaders, host: &str, uri: &Uri) -> Option<TeamName> {
        let desired = self.shared.store_state.desired.borrow();
        let desired = desired.as_ref()?;
        let route = desired.route(host, uri.path())?;
        let key = inbound.key.as_deref().map(desired::key_hash);
        let team = desired.authenticate(route, key.as_ref()).ok()??;
        Some(team.name.clone())
    }

    fn route(
        &self,
        inbound: CallerHeaders,
        host: &str,
        method: Method,
        uri: Uri,
        body: Bytes,
        arrived: Time,
    ) -> Result<(ForwardJob, DirectRequest), Code> {
        if self.shared.phases.refuses_new() {
            return Err(Code::ShuttingDown);
        }
        let desired = self.shared.store_state.desired.borrow().clone();
        let desired = desired.ok_or(Code::NoTarget)?;
        let lease_valid = self
            .shared
            .store_state
            .lease
            .borrow()
            .is_valid(BootClock.now());
        let unless_stale = |code| if lease_valid { code } else { Code::StaleState };
        let route = desired.route(host, uri.path()).ok_or(Code::NoRoute);
        let route = route.map_err(unless_stale)?;
        let key = inbound.key.as_deref().map(desired::key_hash);
        let team = desired
            .authenticate(route, key.as_ref())
            .map_err(unless_stale)?
            .cloned();
        if team.is_some() && !lease_valid {
            return Err(Code::StaleState);
        }
        let service = route.select_service(rand::random()).ok_or(Code::NoTarget)?;
        let key = key.filter(|_| team.is_some());
        let priority = team.as_ref().and_then(|team| team.priority);
        let team = team.map(|team| team.name.clone());
        let mut hash = Xxh3::new();
        hash.update(team.as_ref().map_or(&[], |team| team.as_str().as_bytes()));
        hash.update(uri.path().as_bytes());
        hash.update(&body);
        let time_left = inbound.time_left.unwrap_or(DEFAULT_TIMEOUT);
        let direct = DirectRequest::start(route, time_left, arrived);
        let job = ForwardJob {
            attempt_id: inbound.attempt_id,
            route: Arc::clone(route),
            service: service.clone(),
            team,
            key,
            priority: priority.unwrap_or(route.priority),
            contexts: if route.cache_affinity {
                inbound.prefix_hashes
            } else {
                Vec::new()
            },
            content: hash.digest().into(),
            parts: inbound.parts.into(),
            method,
            uri,
            headers: inbound.headers,
            body,
            arrived,
            version: desired.version,
        };
        Ok((job, direct))
    }

    async fn forward(&self, job: ForwardJob, direct: DirectRequest) -> Response<Body> {
        let attempt_id = job.attempt_id.clone();
        let (arrived, version) = (job.arrived, job.version);
        let deadline = AnswerDeadline(direct.deadline());
        let forwarder = Forwarder::new(job, direct, Arc::clone(&self.shared));
        match forwarder.run().await {
            Ok(given) => {
                self.shared.metrics.count_result("Ok");
                let after = BootClock.now().since(arrived);
                self.shared.metrics.entry.observe_answer_time(after);
                let mut res = self.respond(given, version, after);
                res.extensions_mut().insert(deadline);
                res
            }
            Err(refusal) => self.refuse(&attempt_id, refusal),
        }
    }

    fn respond(&self, given: CallerAnswer, version: u64, after: Duration) -> Response<Body> {
        if rand::random::<u64>().is_multiple_of(LOG_SAMPLE_INTERVAL) {
            let choice = &given.choice;
            let age = choice.load_age.map(clock::millis);
            info!(self.shared.log, "request answered"; "event" => "answer", "request" => &given.attempt_id,
                "target" => %choice.target.name, "status" => given.status.as_u16(),
                "after_ms" => clock::millis(after), "version" => version,
                "load" => choice.load, "mean" => choice.mean, "load_age_ms" => age,
                "fetch" => choice.context_source.is_some(), "sample" => LOG_SAMPLE_INTERVAL);
        }
        let mut res = Response::new(given.body);
        *res.status_mut() = given.status;
        *res.headers_mut() = answer::strip_connection_headers(given.headers);
        res
    }

    fn refuse(&self, attempt_id: &str, refusal: SelectionRefusal) -> Response<Body> {
        let code = refusal.code;
        self.shared.metrics.count_result(code.name());
        let lease = *self.shared.store_state.lease.borrow();
        let age = lease
            .confirmed_at()
            .map(|confirmed| clock::millis(BootClock.now().since(confirmed)));
        warn!(self.shared.log, "request refused"; "event" => "refusal", "request" => attempt_id,
            "code" => code.number(), "name" => code.name(), "state_age_ms" => age,
            "part" => refusal.part.map(|part| part.to_string()));
        let status = answer::status(code);
        let mut res = Response::new(web::full_body(code.name()));
        *res.status_mut() = status;
        let retryable =
            status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
        *res.headers_mut() =
            answer::refusal_headers(attempt_id, retryable.then_some(refusal.after));
        res
    }
}

/// Refusal of a request before a target is chosen.
const fn refusal(code: Code) -> SelectionRefusal {
    SelectionRefusal {
        code,
        after: RETRY_AFTER,
        part: None,
    }
}

/// Returns the `host` header in lower case and without the port; empty when there is none.
fn host(headers: &HeaderMap) -> String {
    let host = headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = host.unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
    name.to_ascii_lowercase()
}
