//! Messages between the task that owns the target selector and those that follow the store and the
//! other routers.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use ebonyfall_core::{
    changeover::{MoveOrder, MoveProgress, RouterRun},
    dissemination::MoveDecision,
    fleet::FleetPart,
    id::{Fingerprint, Incarnation, PartId},
    limit::LimitReport,
    moves::{MoveVerdict, VersionCounts},
    name::{MoveName, ProcessName, ServiceName, TargetName, TeamName, ZoneName},
    parts::PartMark,
    reports::OpenReport,
    target::TargetRecord,
};

/// Change in the state of targets, operators' orders, other routers or the store.
#[derive(Debug)]
pub enum Update {
    /// A target's record is new or has changed.
    PutTarget(TargetRecord),
    /// A target's record was deleted from the store.
    RemoveTarget(TargetName),
    /// Complete list of registered targets; all others are removed.
    RetainTargets(HashSet<TargetName>),
    /// Complete list of evacuated zones, whose targets get no new requests.
    EvacuatedZones(HashSet<ZoneName>),
    /// Maximum requests per second to a cold target, by service.
    ColdRates(HashMap<ServiceName, f64>),
    /// Number of live routers with this one, and this router's rank: the number of routers whose names
    /// sort before its own.
    Routers(u32, u32),
    /// This router's part in the limits that all routers share.
    Fleet(FleetPart),
    /// Complete list of orders for version moves.
    Moves(Vec<MoveOrder>),
    /// Progress of a version move as recorded in the store.
    MoveProgress(MoveOrder, MoveProgress),
    /// Verdict of another router on a version move.
    MoveVerdict(MoveName, MoveDecision),
    /// Request counts of another run of a router for a version move.
    Evidence(RouterRun, VersionCounts),
    /// A call to the store failed, so that targets may be unable to renew their records.
    StoreFailed,
    /// Another router's report of its open requests.
    OpenReport(ProcessName, OpenReport),
    /// Crash attributed to a request by another router, with the time since the crash.
    Crash(CrashAttribution, Duration),
    /// Crashes that another router counts against a prompt part.
    Part(PartReport),
    /// What another router has heard a target state about the requests that it takes.
    Limit(TargetName, Incarnation, LimitReport),
    /// Time of day at the epoch of this process's times.
    UnixOffset(Duration),
}

/// Crash of a target that is attributed to a request.
#[derive(Debug, Clone)]
pub struct CrashAttribution {
    /// Hash of team, path and body of the request.
    pub content: Fingerprint,
    /// Target that crashed.
    pub target: TargetName,
    /// Team that sent the request; `public` on a public route.
    pub team: TeamName,
}

/// Crashes counted against a prompt part, for other routers.
#[derive(Debug, Clone)]
pub struct PartReport {
    /// The part.
    pub part: PartId,
    /// The crashes.
    pub mark: PartMark,
    /// Time since their last change.
    pub age: Duration,
}

/// Report of this router to the other routers.
#[derive(Debug, Default)]
pub struct RouterReport {
    /// Open requests by target, and recently placed contexts.
    pub open: OpenReport,
    /// Crashes attributed to requests, with the time since each crash.
    pub crashes: Vec<(CrashAttribution, Duration)>,
    /// Crashes counted against prompt parts.
    pub parts: Vec<PartReport>,
    /// Limits that targets state.
    pub limits: Vec<(TargetName, Incarnation, LimitReport)>,
    /// Request counts for version moves in progress.
    pub evidence: Vec<VersionCounts>,
    /// Verdicts on version moves, to be sent to other routers.
    pub verdicts: Vec<MoveVerdict>,
}
