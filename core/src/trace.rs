//! Changes in a router's beliefs about targets and requests, for the log.

use std::{sync::Arc, time::Duration};

use derive_more::Display;

use crate::{
    budget::{RetryCounts, RetryFigures},
    fleet::FleetPart,
    id::{Fingerprint, PartId},
    name::{ServiceName, TargetName, TeamName},
    outcome::Probe,
    pace::PaceChange,
};

/// A statement that contains a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "lowercase")]
pub enum Notice {
    /// Limit on the requests of all routers.
    Limit,
    /// Pause that the target wants from this router.
    Pause,
    /// How long work takes at the target.
    Slowness,
}

/// Why the mark of a prompt part changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "lowercase")]
pub enum PartCause {
    /// A target crashed while it ran requests of this router.
    Crash,
    /// The answer to a request with the part began.
    Answer,
    /// Another router reported the mark.
    Report,
}

/// A change that the target selector made, with the inputs that decided it.
#[derive(Debug, Clone, PartialEq)]
pub enum TraceEvent {
    /// A target crashed, and a request that had been running there is suspected.
    Crash {
        /// The target that crashed.
        target: TargetName,
        /// Hash of the request's team and content.
        content: Fingerprint,
        /// Shared parts of the request's prompt.
        parts: Arc<[PartId]>,
        /// Time between the break of the request's connection and the detection of the crash.
        broken_for: Duration,
    },
    /// The router's part in the limits of the fleet changed.
    FleetShare {
        /// The part from now on.
        part: FleetPart,
        /// The part until now.
        before: FleetPart,
        /// Time for which the part before was in use.
        held: Duration,
    },
    /// A target stated another limit on its requests than before, or none any more.
    Limit {
        /// The target.
        target: TargetName,
        /// Requests per second that it takes from all routers together; `None` for no limit.
        rate: Option<f64>,
        /// Time since the statement was heard, by this or another router.
        age: Duration,
    },
    /// A target stated that it is leaving.
    Leaving {
        /// The target.
        target: TargetName,
    },
    /// A target refused a request and wants none from this router for some time.
    Pause {
        /// The target.
        target: TargetName,
        /// Time until the end of the pause.
        pause: Duration,
    },
    /// The entry of a target returned, and what the target stated before still holds.
    Restored {
        /// The target.
        target: TargetName,
        /// Time until the end of the pause that it wants; zero without one.
        pause: Duration,
        /// Requests per second that it takes from all routers together; `None` for no limit.
        rate: Option<f64>,
    },
    /// A target's statement cannot be used.
    MalformedNotice {
        /// The target.
        target: TargetName,
        /// What it states.
        notice: Notice,
    },
    /// A connection to a target was opened because a request to it had broken.
    Probe {
        /// The target.
        target: TargetName,
        /// The result.
        result: Probe,
    },
    /// The pace of a target started, was halved or ended.
    Pace {
        /// The target.
        target: TargetName,
        /// What changed.
        change: PaceChange,
        /// Share of its peers' load that the target may get, from 0 to 1.
        share: f64,
        /// Remaining time of its cold start.
        cold: Duration,
    },
    /// The fleet's retry budget allowed or refused retries since the last such event.
    Retries {
        /// The service to which the retries are sent.
        service: ServiceName,
        /// The decisions.
        counts: RetryCounts,
        /// The figures after the last decision.
        figures: RetryFigures,
    },
    /// The crashes that are counted against a prompt part have changed.
    Part {
        /// The part.
        part: PartId,
        /// Why they changed.
        cause: PartCause,
        /// Number of crashes in a row.
        crashes: u32,
        /// Teams whose requests crashed targets, at most two.
        teams: Vec<TeamName>,
    },
}

impl TraceEvent {
    /// Whether requests of this router changed what counts against a prompt part.
    pub fn is_own_suspicion(&self) -> bool {
        matches!(self, Self::Part { cause, .. } if *cause != PartCause::Report)
    }
}
