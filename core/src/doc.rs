//! The configuration document written by operators: targets, zones, teams, limits and version
//! moves.

use std::{collections::BTreeMap, fmt, net::SocketAddr, sync::Arc, time::Duration};

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use crate::name::{
    EnvironmentName, ModelName, MoveName, RegionName, RouteName, ServiceName, TargetName, TeamName,
    VersionName, VmName, ZoneName,
};

/// Priority class of a request; lower values are more urgent.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Interactive request: a person waits for the answer.
    #[display("desk")]
    Desk,
    /// Short check that holds up a person's next step.
    #[display("check")]
    Check,
    /// Batch work that can wait.
    #[display("overnight")]
    Overnight,
}

impl Priority {
    /// All priorities, most urgent first.
    pub const ALL: [Self; 3] = [Self::Desk, Self::Check, Self::Overnight];
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Idempotency {
    /// Repeated execution has the same effect as a single one.
    Idempotent,
    /// The request must be executed at most once.
    AtMostOnce,
}

/// Whether a zone accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize)]
pub enum ZoneState {
    /// The zone accepts work.
    #[display("in")]
    In,
    /// The zone gets no new work.
    #[display("out")]
    Out,
}

/// An availability zone, as a `[zone]` section describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// The region that contains the zone.
    pub region: RegionName,
    /// Whether the zone accepts work; `In` unless the document says otherwise.
    pub state: ZoneState,
}

/// SHA-256 hash of a bearer key or token.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Parses 64 hex digits; `None` for any other text.
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let mut hash = [0; 32];
        for (index, byte) in hash.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(Self(hash))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

/// A team with its credentials and permissions.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Hashes of the accepted keys: the current one first, then those being rotated out.
    pub keys: Vec<KeyHash>,
    /// Hashes of the tokens that authorise changes of the team's own settings.
    pub admin_tokens: Vec<KeyHash>,
    /// Weight of the team's share of capacity under contention, relative to other teams.
    pub weight: u32,
    /// Default priority, for requests that do not state one.
    pub priority: Priority,
    /// Default deadline, for requests that do not state one.
    pub deadline: Duration,
    /// Models that the team may use; an empty list allows all.
    pub models: Vec<ModelName>,
}

/// A model and the version that serves it unless a version move is in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// The version that serves requests outside of version moves.
    pub version: VersionName,
}

/// The software that a target runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Workload {
    /// A model engine that serves one version of one model.
    Engine {
        /// Name of the model, as in a `[model]` section.
        model: ModelName,
        /// Version of the model that the engine has loaded.
        version: VersionName,
    },
    /// A plain service with this name.
    Service(ServiceName),
}

/// A model engine or plain service behind its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The VM that the target runs on.
    pub vm: VmName,
    /// The VM's zone.
    pub zone: ZoneName,
    /// Address on which the agent next to the target listens.
    pub agent: SocketAddr,
    /// The software that the target runs.
    pub workload: Workload,
    /// Maximum number of concurrent requests when the target is warm.
    pub slots: u32,
    /// Maximum number of concurrent requests during cold start; an eighth of `slots` by default.
    pub cold_slots: u32,
}

/// Assignment of a path and method to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The HTTP method in upper case: `GET`, `PUT`, `POST`, `DELETE` or `PATCH`.
    pub method: String,
    /// The path, which has to match exactly.
    pub path: String,
    /// The service that handles the requests.
    pub service: ServiceName,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
}

/// A version move: the gradual shift of the traffic of a model from one version to another.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionMove {
    /// The model whose traffic is moved.
    pub model: ModelName,
    /// The version that serves the traffic before the move.
    pub from: VersionName,
    /// The version that serves the traffic after the move.
    pub to: VersionName,
    /// Time by which all traffic must have moved, in seconds since the Unix epoch.
    pub due: u64,
    /// Share of the traffic that the new version gets, from 0 to 1, until enough of its answers
    /// have been evaluated.
    pub start_share: f64,
    /// How the operator wants the move to proceed.
    pub intent: MoveIntent,
}

/// How the operator wants a version move to proceed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr, Serialize, Deserialize)]
pub enum MoveIntent {
    /// Continue the move.
    #[display("go")]
    Go,
    /// Pause: keep the present share of the new version.
    #[display("hold")]
    Hold,
    /// Roll back: return all traffic to the old version.
    #[display("back")]
    Back,
}

/// Limits that apply to the whole environment.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Upper bound of the load of an engine, as a multiple of the mean load.
    pub load_multiple: f64,
    /// Upper bound of the number of retries, as a share of first attempts, from 0 to 1.
    pub retry_budget: f64,
    /// Maximum number of requests that wait in the queue of one agent.
    pub queue_capacity: u32,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u32,
    /// Time from cold start to full load if all goes well. The value is checked but has no effect:
    /// the concurrency limit of a cold target rises with its finished requests, see
    /// [`crate::ramp`].
    pub warmup: Duration,
    /// Time in which a zone that returns to service ramps up to its full share.
    pub zone_ramp: Duration,
    /// How long a request that crashed several targets is refused.
    pub quarantine: Duration,
    /// How long the log keeps records before they expire.
    pub retention: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            load_multiple: 1.25,
            retry_budget: 0.1,
            queue_capacity: 256,
            body_bytes: 4 << 20,
            warmup: Duration::from_secs(30),
            zone_ramp: Duration::from_secs(60),
            quarantine: Duration::from_secs(3600),
            retention: Duration::from_secs(24 * 3600),
        }
    }
}

/// A configuration document that has been parsed and checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    /// Name of the environment that the document describes, such as `production`.
    pub environment: EnvironmentName,
    /// Limits of the environment; defaults apply to keys that are absent.
    pub limits: Limits,
    /// The `[zone]` sections, by zone name.
    pub zones: BTreeMap<ZoneName, Zone>,
    /// The `[team]` sections, by team name.
    pub teams: BTreeMap<TeamName, Team>,
    /// The `[model]` sections, by model name.
    pub models: BTreeMap<ModelName, Model>,
    /// The `[target]` sections, by target name.
    pub targets: BTreeMap<TargetName, Target>,
    /// The `[route]` sections, by route name.
    pub routes: BTreeMap<RouteName, Route>,
    /// The `[move]` sections, by the name of the version move.
    pub moves: BTreeMap<MoveName, VersionMove>,
    /// The text from which the document was parsed.
    pub text: Arc<str>,
}

impl Document {
    /// The version moves that concern `model`.
    pub fn moves_of(&self, model: &ModelName) -> impl Iterator<Item = (&MoveName, &VersionMove)> {
        self.moves
            .iter()
            .filter(move |(_, version_move)| version_move.model == *model)
    }
}

#[cfg(test)]
#[path = "../tests/unit/doc.rs"]
mod tests;
