//! Log lines for changes in the target selector.

use std::{num::NonZeroU32, time::Duration};

use ebonyfall_core::{
    budget::{RetryCounts, RetryFigures},
    name::{ServiceName, TargetName},
    pace::PaceChange,
    parts::CRASHES_TO_HOLD,
    trace::TraceEvent,
};
use slog::{Logger, info, warn};

use crate::{clock, logs};

/// Writes the log line of a change.
pub fn log(log: &Logger, event: &TraceEvent) {
    match event {
        TraceEvent::FleetShare { part, before, held } => {
            info!(log, "this router's part in the limits of the fleet changed";
                "event" => "fleet_share", "routers" => part.routers(), "rank" => part.rank,
                "basis" => %part.basis, "before" => before.routers(),
                "before_ms" => clock::millis(*held));
        }
        TraceEvent::Crash {
            target,
            content,
            parts,
            broken_for,
        } => {
            info!(log, "target crashed while it ran a request"; "event" => "crash",
                    "target" => %target, "content" => %content, "parts" => logs::list(parts),
                    "broken_ms" => clock::millis(*broken_for));
        }
        TraceEvent::Limit { target, rate, age } => {
            info!(log, "a target states another limit on its requests"; "event" => "limit",
                "target" => %target, "per_s" => rate, "age_ms" => clock::millis(*age));
        }
        TraceEvent::Leaving { target } => {
            info!(log, "a target states that it is leaving; it gets no new requests";
                "event" => "leaving", "target" => %target);
        }
        TraceEvent::Pause { target, pause } => {
            info!(log, "a target wants no requests from this router for some time";
                "event" => "pause", "target" => %target, "pause_ms" => clock::millis(*pause));
        }
        TraceEvent::Restored {
            target,
            pause,
            rate,
        } => {
            info!(log, "a target's entry returned; what the target stated before still holds";
                "event" => "restored", "target" => %target,
                "pause_ms" => clock::millis(*pause), "per_s" => rate);
        }
        TraceEvent::MalformedNotice { target, notice } => {
            warn!(log, "a target states something that is not a usable number; ignored";
                "event" => "notice_bad", "target" => %target, "notice" => %notice);
        }
        TraceEvent::Probe { target, result } => {
            info!(log, "opened a connection to a target because a request to it broke";
                    "event" => "probe", "target" => %target, "result" => %result);
        }
        TraceEvent::Pace {
            target,
            change,
            share,
            cold,
        } => log_pace(log, target, *change, *share, *cold),
        TraceEvent::Retries {
            service,
            counts,
            figures,
        } => log_retries(log, service, *counts, figures),
        TraceEvent::Part {
            part,
            cause,
            crashes,
            teams,
        } => {
            info!(log, "crashes counted against a prompt part"; "event" => "part",
                    "part" => %part, "cause" => %cause, "crashes" => crashes,
                    "teams" => logs::list(teams), "held" => *crashes >= CRASHES_TO_HOLD);
        }
    }
}

fn log_retries(log: &Logger, service: &ServiceName, counts: RetryCounts, figures: &RetryFigures) {
    info!(log, "retries allowed and refused by the fleet's budget"; "event" => "retries",
        "service" => %service, "taken" => counts.taken, "refused" => counts.refused,
        "first" => figures.first, "first_before" => figures.first_before,
        "retries" => figures.retries,
        "routers" => figures.routers.map(NonZeroU32::get), "slack" => figures.slack,
        "allowed" => figures.allowed);
}

fn log_pace(log: &Logger, target: &TargetName, change: PaceChange, share: f64, cold: Duration) {
    let cold_ms = clock::millis(cold);
    match change {
        PaceChange::Started(cause) => {
            info!(log, "a target gets a growing share of its peers' load"; "event" => "pace_start",
                "target" => %target, "cause" => %cause, "share" => share, "cold_ms" => cold_ms);
        }
        PaceChange::Halved => {
            info!(log, "a slow or refused answer halved a target's share of its peers' load";
                "event" => "pace_halved", "target" => %target, "share" => share,
                "cold_ms" => cold_ms);
        }
        PaceChange::Ended => {
            info!(log, "a target gets the same load as its peers again"; "event" => "pace_end",
                "target" => %target);
        }
    }
}
