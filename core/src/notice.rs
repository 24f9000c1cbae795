//! What targets state about themselves in their answers.

use std::time::Duration;

use crate::{limit::StatedLimit, time::Time};

/// Longest pause that a target gets; a longer one is shortened to this.
const MAX_PAUSE: Duration = Duration::from_secs(300);
/// Time for which a target that says it leaves gets no requests. After that, its answers tell
/// whether it still does.
const LEAVING_TTL: Duration = Duration::from_secs(300);

/// A target's wish for no requests from this router for some time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum StatedPause {
    /// No wish.
    #[default]
    None,
    /// No requests for so long.
    For(Duration),
    /// A wish without a usable number of seconds; it changes nothing.
    Malformed,
}

/// What the head of an answer states about its target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Notices {
    /// Limit on the requests of all routers.
    pub limit: StatedLimit,
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// Pause that it wants from this router.
    pub pause: StatedPause,
    /// Whether the slowness that it states with its load is not a usable number.
    pub is_slowness_malformed: bool,
}

/// What one run of a target has stated to this router, besides its limit.
#[derive(Debug, Clone, Default)]
pub(crate) struct TargetNotices {
    leaving_until: Time,
    paused_until: Time,
    is_malformed: bool,
}

impl TargetNotices {
    /// Whether the target may get requests.
    pub(crate) fn accepts_requests(&self, now: Time) -> bool {
        now >= self.leaving_until && now >= self.paused_until
    }

    /// Time until the end of the pause that the target wants; zero without one.
    pub(crate) fn pause(&self, now: Time) -> Duration {
        self.paused_until.since(now)
    }

    /// Records that the target is leaving; returns whether that was not known.
    pub(crate) fn record_leaving(&mut self, now: Time) -> bool {
        let is_new = now >= self.leaving_until;
        self.leaving_until = now + LEAVING_TTL;
        is_new
    }

    /// Records a pause that the target wants. The end of an earlier one is never moved forward.
    pub(crate) fn record_pause(&mut self, pause: Duration, now: Time) {
        self.is_malformed = false;
        self.paused_until = self.paused_until.max(now + pause.min(MAX_PAUSE));
    }

    /// Records a wish that cannot be used; returns whether the one before could be.
    pub(crate) fn record_malformed(&mut self) -> bool {
        !std::mem::replace(&mut self.is_malformed, true)
    }
}
