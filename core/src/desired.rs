//! The desired state of a deployment whose targets register themselves: one version of its routes,
//! services, teams and limits.

use std::{collections::HashMap, sync::Arc, time::Duration};

use derive_more::Display;

use crate::{
    code::Code,
    doc::{Idempotency, KeyHash},
    name::{RouteName, ServiceName, TeamName},
};

/// Largest size of request headers that routers accept, in bytes. Each connection holds so much memory
/// from its start, and a router has room for hundreds.
pub const MAX_HEADER_BYTES: usize = 256 << 10;

/// Kind of response that callers expect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// A single response body.
    Single,
    /// A stream of events, each of which is forwarded as it arrives.
    EventStream {
        /// Whether another target can continue the stream after the last forwarded event.
        resumable: bool,
    },
}

/// A service with its share of the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service that gets this share of the requests.
    pub service: ServiceName,
    /// Weight relative to the other services of the route; 0 means no requests.
    pub weight: u32,
}

/// How requests to one host and path prefix are handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredRoute {
    /// Name of the route, as given by the operator.
    pub name: RouteName,
    /// Host name in requests, in lower case.
    pub host: Arc<str>,
    /// Path prefix. [`DesiredState::faults`] reports one that does not start and end with a slash.
    pub path_prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Kind of response that callers expect.
    pub response: ResponseKind,
    /// Maximum time that a caller waits for the response.
    pub timeout: Duration,
    /// Latency target for responses, in the sense of a service-level objective.
    pub latency_objective: Duration,
    /// Longest time between two events of a stream for which its response is on time; `None` if not
    /// stated.
    pub max_event_gap: Option<Duration>,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services among which the requests are divided by weight.
    pub shares: Vec<WeightedService>,
    /// Maximum number of targets to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Whether requests carry prefix hashes of their prompt, by which they are routed to targets
    /// that have the prompt in their cache.
    pub cache_affinity: bool,
}

impl DesiredRoute {
    /// Selects a service by weight. `random` is uniform from 0 to 1. `None` if no service has a
    /// weight above zero.
    pub fn select_service(&self, random: f64) -> Option<&ServiceName> {
        let weights = self.shares.iter().map(|share| f64::from(share.weight));
        let mut remaining = random.clamp(0.0, 1.0) * weights.sum::<f64>();
        for share in &self.shares {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        let weighted = self.shares.iter().rev().find(|share| share.weight > 0);
        weighted.map(|share| &share.service)
    }
}

/// Settings of a service that apply to each of its targets.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Maximum number of connections that one target accepts in total.
    pub max_connections: u32,
    /// Requests per second that a target can handle during cold start; 0 if targets need no
    /// warm-up.
    pub cold_requests_per_second: f64,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of the request headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time from the first byte of the request headers to their end; `None` if not stated.
    pub header_timeout: Option<Duration>,
    /// Maximum time for which a caller keeps a connection open without a request.
    pub idle_timeout: Duration,
}

impl CallerLimits {
    /// Size of request headers that routers accept, in bytes.
    pub fn header_bytes(&self) -> usize {
        self.max_header_bytes.min(MAX_HEADER_BYTES)
    }
}

/// A team as listed in the desired state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredTeam {
    /// Name of the team, as given by the operator.
    pub name: TeamName,
    /// Priority of the requests of the team, which overrides that of the route; `None` if the
    /// priority of the route applies.
    pub priority: Option<u8>,
}

/// An error in a desired state that could be decoded but prevents requests from being served.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum DesiredFault {
    /// A route names a service that is not defined, so the limits of its targets are unknown.
    #[display("route {_0}: service {_1} is not defined; add it or correct the name")]
    UnknownService(RouteName, ServiceName),
    /// No service of the route has a weight above zero.
    #[display("route {_0}: no service has a weight above zero; name a service or raise a weight")]
    NoService(RouteName),
    /// Two routes match the same requests, so one of them never gets any.
    #[display("route {_0}: {_1} has the same host and path prefix; change or remove one of them")]
    DuplicateAddress(RouteName, RouteName),
    /// The path prefix matches unintended paths, or none.
    #[display("route {_0}: path prefix {_1:?} has to begin and end with a slash")]
    MalformedPrefix(RouteName, Arc<str>),
    /// The timeout is zero, so every request fails.
    #[display("route {_0}: the timeout is zero; raise it")]
    ZeroTimeout(RouteName),
    /// The maximum number of attempts is zero, so no request is sent to a target.
    #[display("route {_0}: the maximum number of attempts is zero; allow at least one")]
    ZeroAttempts(RouteName),
    /// Request headers may be larger than routers accept.
    #[display(
        "max_header_bytes is {_0}; requests with more than {MAX_HEADER_BYTES} bytes are refused; lower it"
    )]
    LargeHeaders(usize),
    /// The route requires a key, but no team has one.
    #[display(
        "route {_0}: a key is required, but no team has one; add a team or make the route public"
    )]
    NoTeamKey(RouteName),
}

/// One version of the desired state.
#[derive(Debug, Clone, PartialEq)]
pub struct DesiredState {
    /// Version number, which increases with every change.
    pub version: u64,
    routes_by_host: HashMap<Arc<str>, Vec<Arc<DesiredRoute>>>,
    /// Settings of the services, by name.
    pub services: HashMap<ServiceName, Service>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// Teams by the hash of their keys; `None` if no route requires a key.
    pub keys: Option<HashMap<KeyHash, Arc<DesiredTeam>>>,
}

impl DesiredState {
    /// Creates a desired state and sorts its routes for lookup.
    pub fn new(
        version: u64,
        routes: impl IntoIterator<Item = DesiredRoute>,
        services: HashMap<ServiceName, Service>,
        limits: CallerLimits,
        keys: Option<HashMap<KeyHash, Arc<DesiredTeam>>>,
    ) -> Self {
        let mut routes_by_host: HashMap<Arc<str>, Vec<Arc<DesiredRoute>>> = HashMap::new();
        for route in routes {
            let list = routes_by_host.entry(Arc::clone(&route.host)).or_default();
            list.push(Arc::new(route));
        }
        for list in routes_by_host.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self {
            version,
            routes_by_host,
            services,
            limits,
            keys,
        }
    }

    /// The route of `host` with the longest prefix of `path`; `None` if no route matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<DesiredRoute>> {
        let routes = self.routes_by_host.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Looks up the team that owns `key`; `None` if `route` does not require a key.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Unauthenticated`] if the route requires a key and `key` is not valid.
    pub fn authenticate(
        &self,
        route: &DesiredRoute,
        key: Option<&KeyHash>,
    ) -> Result<Option<&Arc<DesiredTeam>>, Code> {
        let Some(keys) = self.keys.as_ref().filter(|_| !route.public) else {
            return Ok(None);
        };
        let team = key.and_then(|key| keys.get(key));
        team.map(Some).ok_or(Code::Unauthenticated)
    }

    /// The total number of routes of all hosts.
    pub fn route_count(&self) -> usize {
        self.routes_by_host.values().map(Vec::len).sum()
    }

    /// Lists the errors that prevent requests from being served, ordered by route name.
    pub fn faults(&self) -> Vec<DesiredFault> {
        let mut routes: Vec<_> = self.routes_by_host.values().flatten().collect();
        routes.sort_by(|a, b| a.name.cmp(&b.name));
        let mut addresses = HashMap::new();
        let mut faults = Vec::new();
        if self.limits.max_header_bytes > MAX_HEADER_BYTES {
            faults.push(DesiredFault::LargeHeaders(self.limits.max_header_bytes));
        }
        for route in routes {
            let name = || route.name.clone();
            let address = (&route.host, &route.path_prefix);
            if let Some(other) = addresses.insert(address, name()) {
                faults.push(DesiredFault::DuplicateAddress(name(), other));
            }
            if !(route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/')) {
                faults.push(DesiredFault::MalformedPrefix(
                    name(),
                    Arc::clone(&route.path_prefix),
                ));
            }
            if route.shares.iter().all(|share| share.weight == 0) {
                faults.push(DesiredFault::NoService(name()));
            }
            let unknown = route.shares.iter().map(|share| &share.service);
            let unknown = unknown.filter(|service| !self.services.contains_key(*service));
            faults.extend(
                unknown.map(|service| DesiredFault::UnknownService(name(), service.clone())),
            );
            if route.timeout.is_zero() {
                faults.push(DesiredFault::ZeroTimeout(name()));
            }
            if route.max_attempts == 0 {
                faults.push(DesiredFault::ZeroAttempts(name()));
            }
            if !route.public && self.keys.as_ref().is_none_or(HashMap::is_empty) {
                faults.push(DesiredFault::NoTeamKey(name()));
            }
        }
        faults
    }
}
