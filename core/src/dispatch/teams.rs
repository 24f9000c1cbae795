//! Recent arrivals of the teams of a service.
//!
//! Handles one team that sends many times its usual load: where a router has a place or two, a quiet
//! team would wait for as long as the noisy one, so it may use a place in reserve.

use std::{collections::HashMap, time::Duration};

use crate::{name::TeamName, time::Time};

/// Time constant of the counts. It is long, since a team may have one request per second at a router.
const WINDOW: Duration = Duration::from_secs(10);
/// Largest arrivals of a quiet team, as a share of the mean of the teams in use.
const QUIET_SHARE: f64 = 0.5;
/// Count below which a team is forgotten.
const MIN_COUNT: f64 = 0.05;
/// Number of teams from which on those without recent arrivals are forgotten.
const MAX_IDLE_TEAMS: usize = 256;

/// Decayed counts of arrivals by team.
#[derive(Debug, Default)]
pub(super) struct TeamArrivals {
    counts: HashMap<TeamName, (f64, Time)>,
}

fn decayed((count, at): (f64, Time), now: Time) -> f64 {
    count * (-now.since(at).as_secs_f64() / WINDOW.as_secs_f64()).exp()
}

impl TeamArrivals {
    /// Records the arrival of a request of `team`.
    pub(super) fn record(&mut self, team: &TeamName, now: Time) {
        if self.counts.len() >= MAX_IDLE_TEAMS && !self.counts.contains_key(team) {
            self.counts
                .retain(|_, count| decayed(*count, now) >= MIN_COUNT);
        }
        let count = self.counts.entry(team.clone()).or_insert((0.0, now));
        *count = (decayed(*count, now) + 1.0, now);
    }

    /// Whether the team sends much less than the mean of the teams in use.
    pub(super) fn is_quiet(&self, team: &TeamName, now: Time) -> bool {
        let counts = self.counts.values().map(|count| decayed(*count, now));
        let in_use = counts.filter(|count| *count >= MIN_COUNT);
        let (sum, teams) =
            in_use.fold((0.0, 0.0), |(sum, teams), count| (sum + count, teams + 1.0));
        let own = self.counts.get(team);
        let own = own.map_or(0.0, |count| decayed(*count, now));
        own * teams < QUIET_SHARE * sum
    }
}
