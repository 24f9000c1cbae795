//! The desired state of a deployment whose targets register themselves: routes, services, teams
//! and limits, as one version of it holds them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use derive_more::Display;

use crate::{
    code::Code,
    doc::{Idempotency, KeyHash},
    name::{RouteName, ServiceName, TeamName},
};

/// What callers expect of an answer's form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// One body.
    Single,
    /// A series of events, each of which is passed on as it arrives.
    EventStream {
        /// Whether another target may go on after the last event that was passed on.
        resumable: bool,
    },
}

/// A share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service that gets the share.
    pub service: ServiceName,
    /// Its weight against the other shares of the route.
    pub weight: u32,
}

/// Where requests to one host and path prefix go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: RouteName,
    /// The host that callers name.
    pub host: Arc<str>,
    /// The prefix of the path; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// The form of the answers.
    pub response: ResponseKind,
    /// Longest time a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub latency_objective: Duration,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Services that the requests go to.
    pub shares: Vec<WeightedService>,
    /// Targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether requests name the parts of their prompt.
    pub cache_affinity: bool,
}

impl Route {
    /// The service for a request; `random` is uniform in 0..1.
    pub fn service(&self, random: f64) -> Option<&ServiceName> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = random.clamp(0.0, 1.0) * f64::from(total);
        for share in &self.shares {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        let weighted = self.shares.iter().rev().find(|share| share.weight > 0);
        weighted.map(|share| &share.service)
    }
}

/// What is known of a service besides its targets.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// Requests a second that a cold target bears; 0 where targets are never cold.
    pub cold_requests_per_second: f64,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Largest request header, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for which callers leave a connection idle.
    pub idle_timeout: Duration,
}

/// A team's entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// The team's name.
    pub name: TeamName,
    /// Urgency of its requests, before that of the route.
    pub priority: Option<u8>,
}

/// What keeps requests from being served although the state can be read.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum DesiredFault {
    /// A service has no entry, so that the bounds of its targets are not known.
    #[display("route {_0}: service {_1} is not described; add it or correct the name")]
    UnknownService(RouteName, ServiceName),
    /// No service gets any request.
    #[display("route {_0}: no service has a weight above zero; name a service or raise a weight")]
    NoService(RouteName),
    /// Two routes take the same requests, of which one gets none.
    #[display("route {_0}: {_1} has the same host and path prefix; change or remove one of them")]
    DuplicateAddress(RouteName, RouteName),
    /// The prefix takes requests of other paths, or none.
    #[display("route {_0}: path prefix {_1:?} has to begin and end with a slash")]
    MalformedPrefix(RouteName, Arc<str>),
    /// Requests have no time at all.
    #[display("route {_0}: the longest wait is zero; raise it")]
    ZeroTimeout(RouteName),
    /// No target may be asked.
    #[display("route {_0}: no attempt is allowed; allow one at least")]
    ZeroAttempts(RouteName),
    /// Nobody can use the route.
    #[display(
        "route {_0}: it takes a key, but no team has one; add a team or make the route public"
    )]
    NoTeamKey(RouteName),
}

/// One version of the desired state.
#[derive(Debug, Clone, PartialEq)]
pub struct DesiredState {
    /// The version; later ones are higher.
    pub version: u64,
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Limits on callers.
    pub limits: Limits,
    /// Teams by the hash of their keys; `None` where no route asks for a key.
    pub keys: Option<HashMap<KeyHash, Arc<Team>>>,
}

impl DesiredState {
    /// Orders the routes for lookups.
    pub fn new(
        version: u64,
        routes: impl IntoIterator<Item = Route>,
        services: HashMap<ServiceName, Service>,
        limits: Limits,
        keys: Option<HashMap<KeyHash, Arc<Team>>>,
    ) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let list = hosts.entry(Arc::clone(&route.host)).or_default();
            list.push(Arc::new(route));
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            hosts,
            services,
            limits,
            keys,
        }
    }

    /// The route of the host with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The team that a request on `route` belongs to by its key; none where it needs no key.
    ///
    /// # Errors
    ///
    /// Fails with the code that the caller gets when it has no valid key.
    pub fn team(&self, route: &Route, key: Option<&KeyHash>) -> Result<Option<&Arc<Team>>, Code> {
        let Some(keys) = self.keys.as_ref().filter(|_| !route.public) else {
            return Ok(None);
        };
        let team = key.and_then(|key| keys.get(key));
        team.map(Some).ok_or(Code::Unauthenticated)
    }

    /// Number of routes.
    pub fn routes(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Everything that keeps requests from being served, by the names of the routes.
    pub fn faults(&self) -> Vec<DesiredFault> {
        let mut routes: Vec<_> = self.hosts.values().flatten().collect();
        routes.sort_by(|a, b| a.name.cmp(&b.name));
        let mut addresses = HashMap::new();
        let mut faults = Vec::new();
        for route in routes {
            let name = || route.name.clone();
            let address = (&route.host, &route.prefix);
            if let Some(other) = addresses.insert(address, name()) {
                faults.push(DesiredFault::DuplicateAddress(name(), other));
            }
            if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
                faults.push(DesiredFault::MalformedPrefix(
                    name(),
                    Arc::clone(&route.prefix),
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
