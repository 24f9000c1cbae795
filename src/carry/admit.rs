//! Admission of a request before its first attempt.

use std::time::Duration;

use ebonyfall_core::{
    code::Code,
    dispatch::{DispatchRequest, Verdict},
    name::TeamName,
    selector::SelectionRefusal,
};
use slog::info;

use super::{Forwarder, RETRY_AFTER};
use crate::{
    clock::{self, BootClock},
    dispatch::Place,
};

/// Wait for capacity above which it is logged.
const LOGGED_WAIT: Duration = Duration::from_millis(50);

impl Forwarder {
    /// Waits until the request may be sent. Later attempts keep the place. Refuses when there will be
    /// no capacity in time, or when the process ends.
    pub(super) async fn admit(&self) -> Result<Place, SelectionRefusal> {
        let refusal = |code, after| SelectionRefusal {
            code,
            after,
            part: None,
        };
        let request = self.dispatch_request();
        let (class, team) = (request.priority, request.team.clone());
        let (place, verdict, figures) = tokio::select! {
            biased;
            decided = self.shared.dispatch.admit(request) => decided,
            () = self.shared.phases.ending() => {
                return Err(refusal(Code::ShuttingDown, RETRY_AFTER));
            }
        };
        let outcome = match verdict {
            Verdict::Admitted => "admitted",
            Verdict::Refused { cause, .. } => cause.name(),
        };
        let metrics = &self.shared.metrics.entry.dispatch;
        metrics.observe(outcome, class, figures.waited);
        if verdict != Verdict::Admitted || figures.waited > LOGGED_WAIT {
            info!(self.shared.log, "request waited for capacity or was refused"; "event" => "dispatch",
                "request" => &self.job.attempt_id, "outcome" => outcome, "class" => class,
                "team" => %team, "predicted_ms" => figures.predicted.map(clock::millis),
                "wait_ms" => clock::millis(figures.waited), "limit" => figures.limit,
                "capacity" => figures.capacity, "waiting" => figures.waiting, "level" => figures.level,
                "age_ms" => figures.capacity_age.map(clock::millis));
        }
        match verdict {
            Verdict::Admitted => Ok(place),
            Verdict::Refused { after, .. } => Err(refusal(Code::Overloaded, after)),
        }
    }

    fn dispatch_request(&self) -> DispatchRequest {
        let public = || TeamName::new("public").expect("the literal is a name");
        DispatchRequest {
            service: self.job.service.clone(),
            team: self.job.team.clone().unwrap_or_else(public),
            priority: self.job.priority,
            content: self.job.content,
            idempotency: self.attempts.idempotency(),
            objective: self.job.route.latency_objective,
            timeout: self.job.route.timeout,
            arrived: BootClock.now(),
            deadline: self.attempts.deadline(),
            bytes: self.job.body.len(),
        }
    }
}
