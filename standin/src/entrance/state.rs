//! Desired states and target entries that a deployment for entry routers writes to its store.

use std::{net::SocketAddr, time::Duration};

use ebonyfall::clock;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::EntryDeployment;

/// Limit on bodies, unless a test sets another one, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Slots of a target, unless a test sets another number.
const DEFAULT_SLOTS: u32 = 8;
/// Timeout of all routes, unless a test sets another one.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a target tolerates few requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdPeriod {
    /// Index of the target.
    pub target: usize,
    /// When the target's entry stated it.
    pub start: Instant,
    /// When the target is warm.
    pub end: Instant,
}

impl EntryDeployment {
    /// Writes a desired state in which the team `desk` has these API keys.
    pub async fn put_desired_state(&self, version: u64, keys: &[&str]) {
        self.put_desired_state_with_timeout(version, keys, ROUTE_TIMEOUT)
            .await;
    }

    /// Like [`Self::put_desired_state`], with this timeout of all routes.
    pub async fn put_desired_state_with_timeout(
        &self,
        version: u64,
        keys: &[&str],
        timeout: Duration,
    ) {
        self.put_desired_state_with(version, keys, timeout, MAX_BODY_BYTES)
            .await;
    }

    /// Like [`Self::put_desired_state`], with this timeout of all routes and this limit on bodies.
    pub async fn put_desired_state_with(
        &self,
        version: u64,
        keys: &[&str],
        timeout: Duration,
        max_body_bytes: usize,
    ) {
        let state = self.desired_state(version, keys, timeout, max_body_bytes);
        self.store.put("keyed.op", "config", Some(&state)).await;
    }

    /// Like [`Self::put_desired_state`], with the value at a JSON pointer replaced.
    ///
    /// # Panics
    ///
    /// Panics when the state has nothing at `pointer`.
    pub async fn put_changed_state(
        &self,
        version: u64,
        keys: &[&str],
        (pointer, value): (&str, Value),
    ) {
        let mut state = self.desired_state(version, keys, ROUTE_TIMEOUT, MAX_BODY_BYTES);
        *state.pointer_mut(pointer).expect("the state has the field") = value;
        self.store.put("keyed.op", "config", Some(&state)).await;
    }

    /// Like [`Self::put_desired_state`], with so many further routes that the state has at least `bytes`.
    pub async fn put_long_desired_state(&self, version: u64, keys: &[&str], bytes: usize) {
        let mut state = self.desired_state(version, keys, ROUTE_TIMEOUT, MAX_BODY_BYTES);
        let route = state["routes"][0].clone();
        let count = bytes / route.to_string().len() + 1;
        let further = (0..count).map(|number| {
            let mut route = route.clone();
            route["name"] = json!(format!("further-{number}"));
            route["path_prefix"] = json!(format!("/further-{number}/"));
            route
        });
        if let Some(routes) = state["routes"].as_array_mut() {
            routes.extend(further);
        }
        self.store.put("keyed.op", "config", Some(&state)).await;
    }

    fn desired_state(
        &self,
        version: u64,
        keys: &[&str],
        timeout: Duration,
        max_body_bytes: usize,
    ) -> Value {
        let timeout_ms = timeout.as_millis();
        let route = |name: &str, kind: &str, attempts: u32, resumable: bool| {
            json!({
                "name": name, "host": "spine.example", "path_prefix": format!("/{name}/"),
                "type": kind, "timeout_ms": timeout_ms, "slo_ms": 500, "priority": 0,
                "service": "plain", "max_attempts": attempts, "public": false, "sticky": kind == "stream",
                "resumable": resumable,
            })
        };
        json!({
            "version": version,
            "routes": [
                route("status", "safe", 2, false),
                route("order", "unsafe", 1, false),
                route("suggest", "stream", 2, true),
                route("draft", "stream", 1, false),
            ],
            "services": [{ "name": "plain", "max_conns": 100, "warmup_per_s": self.cold_rate }],
            "limits": {
                "max_header_bytes": 16_384, "max_body_bytes": max_body_bytes,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
            },
            "tenants": [{ "name": "desk", "api_keys": keys }],
        })
    }

    /// Writes a target's entry in the store, with version `v1` of its software.
    pub async fn register(&self, target: usize, state: &str) {
        self.register_version(target, state, "v1").await;
    }

    /// Writes a target's entry in the store, with this version of its software.
    pub async fn register_version(&self, target: usize, state: &str, version: &str) {
        let registered = &self.targets[target];
        let entry = json!({
            "service": "plain", "addr": self.target_addresses[target], "zone": format!("z{target}"),
            "version": version, "slots": 8, "state": state, "seq": 1,
            "warmup_left_ms": registered.cold_time().as_millis(), "born": registered.start_time(),
        });
        let key = format!("t-{target}");
        self.store.put("keyed.servers", &key, Some(&entry)).await;
    }

    /// Writes the entry of a target that has just started again and is cold for `time`.
    pub async fn register_cold(&self, target: usize, time: Duration) -> ColdPeriod {
        let born = u64::try_from(clock::unix_time().as_millis()).unwrap_or(u64::MAX);
        self.targets[target].set_start_time(born);
        self.turn_cold(target, time).await
    }

    /// Writes the entry of a target that turns cold for `time` while it runs.
    pub async fn turn_cold(&self, target: usize, time: Duration) -> ColdPeriod {
        let start = Instant::now();
        let end = start + time;
        self.targets[target].set_cold_until(end);
        self.register(target, "ready").await;
        ColdPeriod { target, start, end }
    }

    /// Removes the entry of a target, as when it has left.
    pub async fn unregister(&self, target: usize) {
        let key = format!("t-{target}");
        self.store.put("keyed.servers", &key, None).await;
    }

    /// Writes an entry for a target of the service that this deployment did not start.
    pub async fn register_address(&self, name: &str, address: SocketAddr) {
        self.register_slots(name, address, DEFAULT_SLOTS).await;
    }

    /// Like [`Self::register_address`], for a target with this many slots.
    pub async fn register_slots(&self, name: &str, address: SocketAddr, slots: u32) {
        let entry = json!({
            "service": "plain", "addr": address, "zone": "z0", "version": "v1", "slots": slots,
            "state": "ready", "warmup_left_ms": 0, "seq": 1, "born": 1,
        });
        self.store.put("keyed.servers", name, Some(&entry)).await;
    }
}
