//! Counts a request once, when it begins to run at a target.

use std::time::Duration;

use ebonyfall_core::{
    desired::{DesiredRoute, ResponseKind},
    direct::Failure,
    name::{RouteName, TeamName},
    time::Time,
};

use super::counting::UsageCounter;

/// A request that has not begun to run yet, as far as the router knows. Dropping it when its caller
/// has gone counts it like a connection that broke.
#[derive(Debug)]
pub(crate) struct RequestStart {
    /// `None` if the request is not to be counted, or was counted.
    pending: Option<Pending>,
}

#[derive(Debug)]
struct Pending {
    counter: UsageCounter,
    team: TeamName,
    route: RouteName,
    is_stream: bool,
    /// When the present attempt was sent; `None` if no attempt may have reached a target.
    sent_at: Option<Time>,
}

impl RequestStart {
    /// Creates the start of a request, which counts only with a counter and a team.
    pub(crate) fn new(
        counter: Option<&UsageCounter>,
        team: Option<&TeamName>,
        route: &DesiredRoute,
    ) -> Self {
        let pending = counter.zip(team).map(|(counter, team)| Pending {
            counter: counter.clone(),
            team: team.clone(),
            route: route.name.clone(),
            is_stream: matches!(route.response, ResponseKind::EventStream { .. }),
            sent_at: None,
        });
        Self { pending }
    }

    /// Records that an attempt is being sent.
    pub(crate) fn record_sent(&mut self, now: Time) {
        if let Some(pending) = &mut self.pending {
            pending.sent_at = Some(now);
        }
    }

    /// Counts a request other than a stream whose answer, which has arrived now, shows that it ran.
    /// `round_trip` is that to the target.
    pub(crate) fn record_answer(&mut self, round_trip: Duration, now: Time) {
        if let Some(pending) = self.pending.take_if(|pending| !pending.is_stream) {
            let sent_at = pending.sent_at.unwrap_or(now);
            let answered_at = now.before(round_trip / 2).max(sent_at);
            pending
                .counter
                .count_answer(&pending.team, &pending.route, sent_at, answered_at);
        }
    }

    /// Counts a stream, one of whose events has arrived now. `round_trip` is that to the target.
    pub(crate) fn record_event(&mut self, round_trip: Duration, now: Time) {
        if let Some(pending) = self.pending.take() {
            let sent_at = pending.sent_at.unwrap_or(now);
            let began_at = now.before(round_trip / 2).max(sent_at);
            pending.counter.count(&pending.team, began_at);
        }
    }

    /// Records that an attempt failed. A request other than a stream that may have run counts.
    pub(crate) fn record_failure(&mut self, failure: Failure) {
        match failure {
            Failure::NotSent | Failure::Declined | Failure::WrongTarget => {
                if let Some(pending) = &mut self.pending {
                    pending.sent_at = None;
                }
            }
            Failure::Broken
            | Failure::Oversized
            | Failure::TimedOut
            | Failure::Failed
            | Failure::Stopping => self.count_sent(),
        }
    }

    /// Counts a request other than a stream that was sent, since its target has most probably run
    /// it.
    fn count_sent(&mut self) {
        let was_sent = |pending: &mut Pending| !pending.is_stream && pending.sent_at.is_some();
        if let Some(pending) = self.pending.take_if(was_sent)
            && let Some(sent_at) = pending.sent_at
        {
            pending.counter.count(&pending.team, sent_at);
        }
    }
}

impl Drop for RequestStart {
    fn drop(&mut self) {
        self.count_sent();
    }
}

#[cfg(test)]
#[path = "../../tests/unit/starts.rs"]
mod tests;
