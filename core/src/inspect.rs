//! Snapshot of the routing state of a router, for display to operators.

use std::net::SocketAddr;

use serde::Serialize;
use serde_with::{DisplayFromStr, serde_as};

use crate::{
    budget::{RetryCounts, RetryFigures},
    estimate::Estimate,
    fleet::ShareBasis,
    id::PartId,
    moves::MoveState,
    name::{ServiceName, TargetName, TeamName, ZoneName},
    target::Stage,
    time::Time,
};

/// A router's view of targets, zones and version moves.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RoutingState {
    /// Number of live routers, including this one.
    pub routers: u32,
    /// This router's part in the limits that all routers share.
    pub share: ShareState,
    /// Choices that did not consider a cold target since it was not this router's turn there.
    pub cold_withheld: u64,
    /// Zones that get no new requests.
    pub evacuated: Vec<ZoneName>,
    /// Retry budgets, ordered by service.
    pub retries: Vec<RetryState>,
    /// Number of request contents that are suspected of crashing targets.
    pub suspects: usize,
    /// Prompt parts that are suspected of crashing targets, those with the most crashes first.
    pub parts: Vec<PartState>,
    /// Number of prompt contexts for which the last target is known.
    pub contexts: usize,
    /// The known targets, ordered by name.
    pub targets: Vec<TargetState>,
    /// Version moves, ordered by service.
    pub moves: Vec<MoveSummary>,
}

/// A router's part in the retry budget of one service.
#[derive(Debug, Clone, Serialize)]
pub struct RetryState {
    /// The service to which the retries are sent.
    pub service: ServiceName,
    /// Decisions since the start of the router.
    #[serde(flatten)]
    pub total: RetryCounts,
    /// The figures by which a retry would be allowed or refused now.
    #[serde(flatten)]
    pub figures: RetryFigures,
}

/// A router's part in the limits of the fleet.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ShareState {
    /// Number of routers that share the limits; `None` while the router uses no part of them.
    pub routers: Option<u32>,
    /// Number of routers that precede this one in taking turns.
    pub rank: Option<u32>,
    /// What the part was decided on.
    pub basis: ShareBasis,
    /// Time since the part last changed, in milliseconds.
    pub age_ms: u128,
}

/// Crashes counted against a prompt part.
#[serde_as]
#[derive(Debug, Clone, Serialize)]
pub struct PartState {
    /// The part.
    #[serde_as(as = "DisplayFromStr")]
    pub part: PartId,
    /// Number of crashes in a row.
    pub crashes: u32,
    /// Teams whose requests crashed targets, at most two.
    pub teams: Vec<TeamName>,
    /// Remaining time, in milliseconds, for which requests with the part are refused.
    pub held_ms: u128,
}

/// A router's view of one target.
#[derive(Debug, Clone, Serialize)]
pub struct TargetState {
    /// Name of the target.
    pub name: TargetName,
    /// The service to which the target belongs.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// Version of the target's software.
    pub version: String,
    /// Whether the target is draining and gets no new requests.
    pub draining: bool,
    /// Whether the record of the target has disappeared. The target is still used for a short
    /// grace period.
    pub lapsing: bool,
    /// Estimated number of requests at the target.
    pub load: f64,
    /// Number of open requests of this router.
    pub open: u32,
    /// Number of open requests of other routers.
    pub open_elsewhere: u32,
    /// Share of failures among recent answers, from 0 to 1.
    pub failure_share: f64,
    /// Requests per second that the target takes from all routers together; `None` for no limit.
    pub limit_per_s: Option<f64>,
    /// Remaining time of the cold start, in milliseconds.
    pub cold_ms: u128,
    /// Share of its peers' load that the target may get while it is under pace, from 0 to 1; `None`
    /// if it is not under pace.
    pub pace: Option<f64>,
    /// Estimated time that the target needs for work, as a multiple of the usual time.
    pub slowness: f64,
    /// The same as the target has stated it; `None` without a recent statement.
    pub stated_slowness: Option<f64>,
    /// Remaining time, in milliseconds, for which the target gets no requests because it was
    /// unreachable.
    pub avoided_ms: u128,
}

/// Summary of the state of one version move.
#[derive(Debug, Clone, Serialize)]
pub struct MoveSummary {
    /// The service whose traffic is moved.
    pub service: ServiceName,
    /// The version that gets the traffic.
    pub version: String,
    /// Progress of the move; `None` if it is not known yet.
    pub state: Option<String>,
    /// Share of the traffic that the new version gets, from 0 to 1.
    pub share: f64,
    /// Number of answers of the old version, and the number of failures among them.
    pub old: [u64; 2],
    /// Number of answers of the new version, and the number of failures among them.
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
            lapsing: entry.expires_at.is_some(),
            load: entry.load(now),
            open: entry.outstanding,
            open_elsewhere: entry.outstanding_elsewhere,
            failure_share: entry.failure_share(),
            limit_per_s: entry.limit.rate(now),
            cold_ms: entry.cold_until.since(now).as_millis(),
            pace: entry.pace.is_active().then(|| entry.pace.share()),
            slowness: entry.speed.slowness(now),
            stated_slowness: entry.speed.stated(now),
            avoided_ms: entry.backoff_until.since(now).as_millis(),
        }
    }
}

impl From<MoveState> for MoveSummary {
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
