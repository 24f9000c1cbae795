//! Placement policies, scenarios and results of the placement simulation.

use ebonyfall_core::{
    name::{TargetName, ZoneName},
    place::Candidate,
};
use serde::Serialize;

/// Placement candidate number `number`; its zone is one of three in turn.
///
/// # Panics
///
/// Never: the names are valid.
pub fn candidate(number: usize) -> Candidate {
    Candidate {
        name: TargetName::new(format!("engine-{number}")).expect("the name is valid"),
        zone: ZoneName::new(format!("zone-{}", number % 3)).expect("the name is valid"),
        weight: 1.0,
    }
}

/// A placement policy to compare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// A single router with exact knowledge of all caches and loads.
    AllKnowing,
    /// The fleet's own policy: slot table, load bound, pointers and zones.
    Product,
    /// Consistent hashing with bounded loads, where loads are known exactly.
    BoundedRing,
    /// Plain consistent hashing.
    Ring,
    /// A uniformly random target.
    Random,
    /// Each target in turn.
    RoundRobin,
    /// The target with the least load, known exactly.
    LeastLoaded,
    /// The less loaded of two random targets, loads known exactly.
    TwoChoices,
}

impl PlacementPolicy {
    /// All policies; the first is the baseline for the others.
    pub const ALL: [Self; 8] = [
        Self::AllKnowing,
        Self::Product,
        Self::BoundedRing,
        Self::Ring,
        Self::Random,
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::TwoChoices,
    ];
}

/// The scenario of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Case {
    /// No changes.
    Steady,
    /// A tenth of the targets is replaced in up to 40 batches from 9 s to 29 s.
    Churn,
    /// A fiftieth of the targets leaves and rejoins every two seconds.
    Flapping,
    /// A zone is out of service from 10 s to 18 s.
    Zone,
    /// A team with a twentieth of the traffic sends ten times as much from 12 s to 20 s.
    Surge,
    /// Churn, while every second router's view is three seconds late.
    Disagreement,
}

impl Case {
    /// All scenarios.
    pub const ALL: [Self; 6] = [
        Self::Steady,
        Self::Churn,
        Self::Flapping,
        Self::Zone,
        Self::Surge,
        Self::Disagreement,
    ];
}

/// Results of a run.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct SimulationResult {
    /// Prefix tokens found in a cache, as a share of all prefix tokens.
    pub reuse: f64,
    /// Highest load of an active target, divided by the mean.
    pub max_over_mean: f64,
    /// Highest excess over the rounded-up bound, in requests.
    pub excess: i64,
    /// Longest time for which a target was above the rounded-up bound, in milliseconds.
    pub longest_above_ms: u64,
    /// Share of load samples above the rounded-up bound.
    pub above_bound: f64,
    /// Returning requests routed to a target other than the chat's last one.
    pub moved: u64,
    /// Moved requests whose last target was no longer active.
    pub forced: u64,
    /// Requests of chats that were served before.
    pub returning: u64,
    /// Requests that their first target refused, as a share of all requests.
    pub second_hops: f64,
    /// Requests for which no target was found.
    pub refused: u64,
}

/// A change of the set of active targets.
#[derive(Debug, Clone, Copy)]
pub(crate) enum FleetChange {
    Leave(usize),
    Join(usize),
    ZoneOut,
    ZoneIn,
}

/// Returns the changes of a scenario, ordered by their time in milliseconds.
pub(crate) fn fleet_changes(case: Case, count: usize) -> Vec<(u64, FleetChange)> {
    let mut events = Vec::new();
    match case {
        Case::Steady | Case::Surge => {}
        Case::Churn | Case::Disagreement => {
            // Up to 40 batches between 9 s and 29 s.
            let replaced = (count / 10).max(1);
            for number in 0..replaced {
                let batch = (number * 40 / replaced) as u64;
                let at = 9_000 + batch * 500;
                // Consecutive numbers are in different zones.
                events.push((at, FleetChange::Leave(number)));
                events.push((at + 200, FleetChange::Join(count + number)));
            }
        }
        Case::Flapping => {
            for at in (10_000..28_000).step_by(2_000) {
                for number in 0..(count / 50).max(1) {
                    events.push((at, FleetChange::Leave(number)));
                    events.push((at + 1_000, FleetChange::Join(number)));
                }
            }
        }
        Case::Zone => {
            events.push((10_000, FleetChange::ZoneOut));
            events.push((18_000, FleetChange::ZoneIn));
        }
    }
    events.sort_by_key(|(at, _)| *at);
    events
}
