//! Callers' requests on an entry VM: routing, keys, and the answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{code::Code, passage::DirectRequest, steer::Refusal, time::Time};
use ebonyfall_platform::{
    answer, desired,
    request::{self, CallerHeaders},
};
use gotham::{handler::HandlerResult, helpers::http::Body, prelude::FromState, state::State};
use http::{HeaderMap, Method, Response, StatusCode, Uri, header::HOST};
use slog::{Logger, info, warn};
use tokio::sync::watch;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    carry::{Carrier, Given, Job},
    clock::{self, BootClock},
    follow::Beliefs,
    metrics::Metrics,
    steering::Steering,
    web,
};

/// Time after which callers come back while a router has no fresh knowledge; another router is
/// likely to answer then.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time that a caller is taken to wait where it does not say.
const DEFAULT_LEFT: Duration = Duration::from_secs(30);
/// Largest body before the desired state names a limit, in bytes.
const DEFAULT_BODY: usize = 4 << 20;
/// One of this many successes is logged; every failure is.
const SAMPLE: u64 = 16;

/// What handlers need.
#[derive(Debug, Clone)]
pub struct Intake {
    /// What is known of the desired state.
    pub beliefs: Arc<Beliefs>,
    /// Whether it is too late for new requests before the process ends.
    pub closing: watch::Receiver<bool>,
    /// Chooses targets.
    pub steering: Steering,
    /// Counters.
    pub metrics: Metrics,
    /// The process's log.
    pub log: Logger,
}

impl Intake {
    /// Answers one request.
    ///
    /// # Errors
    ///
    /// Never fails; gotham's signature asks for a result.
    pub async fn handle(self, mut state: State) -> HandlerResult {
        let arrived = BootClock.now();
        let method = Method::borrow_from(&state).clone();
        let uri = Uri::borrow_from(&state).clone();
        let headers = HeaderMap::borrow_from(&state).clone();
        let host = host(&headers);
        let inbound = request::decode(headers);
        let id = inbound.attempt_id.clone();
        let limit = {
            let desired = self.beliefs.desired.borrow();
            desired.as_ref().map(|known| known.limits.max_body_bytes)
        };
        // The body is read also where the request is refused: a connection that is closed with
        // unread bytes loses the answer.
        let body = web::body(&mut state, limit.unwrap_or(DEFAULT_BODY)).await;
        let job = body.and_then(|body| self.route(inbound, &host, method, uri, body, arrived));
        let res = match job {
            Ok((job, passage)) => self.carry(job, passage).await,
            Err(code) => self.refuse(
                &id,
                Refusal {
                    code,
                    after: RETRY_AFTER,
                },
            ),
        };
        Ok((state, res))
    }

    fn route(
        &self,
        inbound: CallerHeaders,
        host: &str,
        method: Method,
        uri: Uri,
        body: Bytes,
        arrived: Time,
    ) -> Result<(Job, DirectRequest), Code> {
        if *self.closing.borrow() {
            return Err(Code::ShuttingDown);
        }
        let desired = self.beliefs.desired.borrow().clone();
        let desired = desired.ok_or(Code::NoTarget)?;
        let fresh = self.beliefs.lease.borrow().is_valid(BootClock.now());
        let stale = |code| if fresh { code } else { Code::StaleState };
        let route = desired.route(host, uri.path()).ok_or(Code::NoRoute);
        let route = route.map_err(stale)?;
        let key = inbound.key.as_deref().map(desired::key_hash);
        let team = desired
            .authenticate(route, key.as_ref())
            .map_err(stale)?
            .cloned();
        if team.is_some() && !fresh {
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
        let left = inbound.time_left.unwrap_or(DEFAULT_LEFT);
        let passage = DirectRequest::start(route, left, arrived);
        let job = Job {
            id: inbound.attempt_id,
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
            method,
            uri,
            headers: inbound.headers,
            body,
            arrived,
            version: desired.version,
        };
        Ok((job, passage))
    }

    async fn carry(&self, job: Job, passage: DirectRequest) -> Response<Body> {
        let id = job.id.clone();
        let (arrived, version) = (job.arrived, job.version);
        let carrier = Carrier::new(
            job,
            passage,
            Arc::clone(&self.beliefs),
            self.steering.clone(),
            self.metrics.clone(),
            self.log.clone(),
        );
        match carrier.run().await {
            Ok(given) => {
                self.metrics.count_result("Ok");
                let after = BootClock.now().since(arrived);
                self.metrics.entry.observe_answer_time(after);
                self.give(given, version, after)
            }
            Err(refusal) => self.refuse(&id, refusal),
        }
    }

    fn give(&self, given: Given, version: u64, after: Duration) -> Response<Body> {
        if rand::random::<u64>().is_multiple_of(SAMPLE) {
            let choice = &given.choice;
            let age = choice.load_age.map(clock::millis);
            info!(self.log, "answered"; "event" => "answer", "request" => &given.id,
                "target" => %choice.target.name, "status" => given.status.as_u16(),
                "after_ms" => clock::millis(after), "version" => version,
                "load" => choice.load, "mean" => choice.mean, "load_age_ms" => age,
                "fetch" => choice.context_source.is_some(), "sample" => SAMPLE);
        }
        let mut res = Response::new(given.body);
        *res.status_mut() = given.status;
        *res.headers_mut() = answer::strip_connection_headers(given.headers);
        res
    }

    fn refuse(&self, id: &str, refusal: Refusal) -> Response<Body> {
        let code = refusal.code;
        self.metrics.count_result(code.name());
        let lease = *self.beliefs.lease.borrow();
        let age = lease
            .confirmed_at()
            .map(|confirmed| clock::millis(BootClock.now().since(confirmed)));
        warn!(self.log, "no answer"; "event" => "refusal", "request" => id,
            "code" => code.number(), "name" => code.name(), "state_age_ms" => age);
        let status = answer::status(code);
        let mut res = Response::new(web::full(code.name()));
        *res.status_mut() = status;
        let comes_back =
            status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
        *res.headers_mut() = answer::refusal_headers(id, comes_back.then_some(refusal.after));
        res
    }
}

/// The host that a request names, without its port.
fn host(headers: &HeaderMap) -> String {
    let host = headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = host.unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
    name.to_ascii_lowercase()
}
