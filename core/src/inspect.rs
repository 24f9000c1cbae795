//! The steering state as people read it.

use std::net::SocketAddr;

use serde::Serialize;

use crate::{
    estimate::Estimate,
    moves::MoveState,
    name::{ServiceName, TargetName, ZoneName},
    target::Stage,
    time::Time,
};

/// What a router believes of targets, zones and version moves. Times are in milliseconds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SteerState {
    /// Live routers, this one included.
    pub routers: u32,
    /// Zones that get no work.
    pub evacuated: Vec<ZoneName>,
    /// Contents that are suspected of crashing targets.
    pub suspects: usize,
    /// Contexts whose last targets are remembered.
    pub contexts: usize,
    /// The targets, by name.
    pub targets: Vec<TargetState>,
    /// Version moves, by service.
    pub moves: Vec<MoveLine>,
}

/// The belief about one target.
#[derive(Debug, Clone, Serialize)]
pub struct TargetState {
    /// The target.
    pub name: TargetName,
    /// Its service.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Version of its software.
    pub version: String,
    /// Whether it leaves.
    pub draining: bool,
    /// Whether its entry is gone and it is used for a short time still.
    pub lapsing: bool,
    /// Estimated load, in requests.
    pub load: f64,
    /// Requests that this router has open.
    pub open: u32,
    /// Requests that other routers have open.
    pub open_elsewhere: u32,
    /// Share of its recent answers that were failures, from 0 to 1.
    pub failure_share: f64,
    /// Time for which it stays cold.
    pub cold_ms: u128,
    /// Time for which it is left alone because it was unreachable.
    pub avoided_ms: u128,
}

/// The state of one version move.
#[derive(Debug, Clone, Serialize)]
pub struct MoveLine {
    /// The service.
    pub service: ServiceName,
    /// The version that is to get the traffic.
    pub version: String,
    /// What is known of its state.
    pub state: Option<String>,
    /// Share of the new version, from 0 to 1.
    pub share: f64,
    /// Answers of the old version, and bad ones among them.
    pub old: [u64; 2],
    /// Answers of the new version, and bad ones among them.
    pub new: [u64; 2],
}

impl TargetState {
    pub(crate) fn new(entry: &Estimate, now: Time) -> Self {
        let record = &entry.record;
        Self {
            name: record.name.clone(),
            service: record.service.clone(),
            address: record.address,
            zone: record.zone.clone(),
            version: record.version.to_string(),
            draining: record.stage == Stage::Draining,
            lapsing: entry.lapses.is_some(),
            load: entry.load(now),
            open: entry.outstanding,
            open_elsewhere: entry.elsewhere,
            failure_share: entry.failure_share(),
            cold_ms: entry.cold_until.since(now).as_millis(),
            avoided_ms: entry.avoid_until.since(now).as_millis(),
        }
    }
}

impl From<MoveState> for MoveLine {
    fn from(state: MoveState) -> Self {
        Self {
            service: state.order.service,
            version: state.order.version.to_string(),
            state: state.progress.map(|progress| progress.to_string()),
            share: state.share,
            old: [state.old.requests, state.old.failed_or_slow()],
            new: [state.new.requests, state.new.failed_or_slow()],
        }
    }
}
