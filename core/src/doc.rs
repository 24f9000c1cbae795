//! The operators' document: engines, services, zones, teams, limits and version moves.

use std::{collections::BTreeMap, fmt, net::SocketAddr, sync::Arc, time::Duration};

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use crate::name::{
    EnvironmentName, ModelName, MoveName, RegionName, RouteName, ServiceName, TargetName, TeamName,
    VersionName, VmName, ZoneName,
};

/// How urgent a request is.
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
    /// A person waits for the answer.
    #[display("desk")]
    Desk,
    /// A short check that holds up a person's next step.
    #[display("check")]
    Check,
    /// Patient bulk work.
    #[display("overnight")]
    Overnight,
}

impl Priority {
    /// Every priority, most urgent first.
    pub const ALL: [Self; 3] = [Self::Desk, Self::Check, Self::Overnight];
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Idempotency {
    /// Running it again does no harm.
    Idempotent,
    /// It must run at most once.
    AtMostOnce,
}

/// Whether a zone takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize)]
pub enum ZoneState {
    /// In service.
    #[display("in")]
    In,
    /// Taken out: no new work.
    #[display("out")]
    Out,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// The region that the zone lies in.
    pub region: RegionName,
    /// Whether the zone takes work.
    pub state: ZoneState,
}

/// SHA-256 of a bearer key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Parses 64 hex digits.
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

/// A team and what it may do.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Hashes of the accepted keys: the current one first, then those being rotated out.
    pub keys: Vec<KeyHash>,
    /// Hashes of the tokens with which the team changes its own settings.
    pub admin_tokens: Vec<KeyHash>,
    /// Share under contention, relative to other teams.
    pub weight: u32,
    /// Priority of requests that state none.
    pub priority: Priority,
    /// Deadline of requests that state none.
    pub deadline: Duration,
    /// Models that the team may use; empty means all.
    pub models: Vec<ModelName>,
}

/// A model and the version that serves it outside of moves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// The version in service.
    pub version: VersionName,
}

/// What a target runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Workload {
    /// A model engine with one version of one model.
    Engine {
        /// The model.
        model: ModelName,
        /// The version.
        version: VersionName,
    },
    /// A plain service.
    Service(ServiceName),
}

/// A model engine or plain service behind its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The VM that the target runs on.
    pub vm: VmName,
    /// The VM's zone.
    pub zone: ZoneName,
    /// Where the agent beside the target listens.
    pub agent: SocketAddr,
    /// What the target runs.
    pub workload: Workload,
    /// Requests that the target bears at once when warm.
    pub slots: u32,
    /// Requests that the target bears at once in cold start.
    pub cold_slots: u32,
}

/// A path and method that lead to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The HTTP method.
    pub method: String,
    /// The exact path.
    pub path: String,
    /// The service that answers.
    pub service: ServiceName,
    /// Whether a call may be repeated.
    pub idempotency: Idempotency,
}

/// A declared move of a model between versions.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// The model that moves.
    pub model: ModelName,
    /// The version that serves now.
    pub from: VersionName,
    /// The version that shall serve.
    pub to: VersionName,
    /// When all traffic must have moved, in seconds since the Unix epoch.
    pub due: u64,
    /// Share of the traffic until there is enough evidence, from 0 to 1.
    pub start_share: f64,
    /// What the operator wants done.
    pub intent: Intent,
}

/// What the operator wants done with a version move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr, Serialize, Deserialize)]
pub enum Intent {
    /// Carry on.
    #[display("go")]
    Go,
    /// Keep the share as it is.
    #[display("hold")]
    Hold,
    /// Return all traffic to the old version.
    #[display("back")]
    Back,
}

/// Limits that hold for the whole environment.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Highest load of an engine as a multiple of the mean.
    pub load_multiple: f64,
    /// Retries as a share of first attempts.
    pub retry_budget: f64,
    /// Requests that may wait at one agent.
    pub queue: u32,
    /// Largest request body, in bytes.
    pub body_bytes: u32,
    /// Time from cold start to full load when all goes well.
    pub warmup: Duration,
    /// Time over which a returning zone takes its full share again.
    pub zone_ramp: Duration,
    /// Time that a held crashing request stays held.
    pub hold: Duration,
    /// How long the log keeps records.
    pub retention: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            load_multiple: 1.25,
            retry_budget: 0.1,
            queue: 256,
            body_bytes: 4 << 20,
            warmup: Duration::from_secs(30),
            zone_ramp: Duration::from_secs(60),
            hold: Duration::from_secs(3600),
            retention: Duration::from_secs(24 * 3600),
        }
    }
}

/// A checked document.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    /// The environment that the document describes.
    pub environment: EnvironmentName,
    /// Limits of the environment.
    pub limits: Limits,
    /// Zones by name.
    pub zones: BTreeMap<ZoneName, Zone>,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, Team>,
    /// Models by name.
    pub models: BTreeMap<ModelName, Model>,
    /// Targets by name.
    pub targets: BTreeMap<TargetName, Target>,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, Route>,
    /// Version moves by name.
    pub moves: BTreeMap<MoveName, Move>,
    /// The text that was parsed.
    pub text: Arc<str>,
}

impl Document {
    /// The version moves of `model`.
    pub fn moves_of(&self, model: &ModelName) -> impl Iterator<Item = (&MoveName, &Move)> {
        self.moves
            .iter()
            .filter(move |(_, step)| step.model == *model)
    }
}

#[cfg(test)]
#[path = "../tests/unit/doc.rs"]
mod tests;
