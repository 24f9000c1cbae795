//! What the simulation of placement compares, and what happens meanwhile.

use ebonyfall_core::{
    name::{TargetName, ZoneName},
    place::Candidate,
};
use serde::Serialize;

/// The name and zone of target `number`.
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

/// A way of placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    /// One router that knows all caches and loads.
    AllKnowing,
    /// The product: slot table, load bound, pointers, zones.
    Product,
    /// A consistent-hash ring with the load bound on exact loads.
    BoundedRing,
    /// Plain consistent hashing.
    Ring,
    /// Any target.
    Random,
    /// Each target in turn.
    RoundRobin,
    /// The target with the least load, known exactly.
    LeastLoaded,
    /// The less loaded of two random targets, loads known exactly.
    TwoChoices,
}

impl Way {
    /// Every way; the first is the measure of the others.
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

/// What happens during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Case {
    /// Nothing.
    Steady,
    /// A tenth of the targets is replaced, one by one.
    Churn,
    /// A fiftieth of the targets leaves and joins every two seconds.
    Flapping,
    /// A zone goes out at 10 s and returns at 18 s.
    Zone,
    /// A team of a twentieth of the traffic sends ten times as much, from 12 s to 20 s.
    Surge,
    /// Churn, with every other router's view three seconds late.
    Disagreement,
}

impl Case {
    /// Every case.
    pub const ALL: [Self; 6] = [
        Self::Steady,
        Self::Churn,
        Self::Flapping,
        Self::Zone,
        Self::Surge,
        Self::Disagreement,
    ];
}

/// What a run found.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Found {
    /// Tokens of prefixes found in a cache, as a share of all.
    pub reuse: f64,
    /// Highest load of a target that takes work, over the mean.
    pub max_over_mean: f64,
    /// Highest excess over the rounded-up bound, in requests.
    pub excess: i64,
    /// Longest time that a target was above the rounded-up bound, in milliseconds.
    pub longest_above_ms: u64,
    /// Share of samples of a target above the rounded-up bound.
    pub above_bound: f64,
    /// Returning requests that went to another target than the chat's last one.
    pub moved: u64,
    /// Those of them whose last target took no work any more.
    pub forced: u64,
    /// Returning requests.
    pub returning: u64,
    /// Requests that a first target refused, as a share of all.
    pub second_hops: f64,
    /// Requests that ended without a target.
    pub refused: u64,
}

/// A change of the fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Event {
    Leave(usize),
    Join(usize),
    ZoneOut,
    ZoneIn,
}

/// The changes of a run, with their times in milliseconds.
pub(crate) fn events(case: Case, count: usize) -> Vec<(u64, Event)> {
    let mut events = Vec::new();
    match case {
        Case::Steady | Case::Surge => {}
        Case::Churn | Case::Disagreement => {
            // Up to 40 batches between 9 s and 29 s.
            let replaced = (count / 10).max(1);
            for number in 0..replaced {
                let batch = (number * 40 / replaced) as u64;
                let at = 9_000 + batch * 500;
                // Neighbouring numbers are in different zones.
                events.push((at, Event::Leave(number)));
                events.push((at + 200, Event::Join(count + number)));
            }
        }
        Case::Flapping => {
            for at in (10_000..28_000).step_by(2_000) {
                for number in 0..(count / 50).max(1) {
                    events.push((at, Event::Leave(number)));
                    events.push((at + 1_000, Event::Join(number)));
                }
            }
        }
        Case::Zone => {
            events.push((10_000, Event::ZoneOut));
            events.push((18_000, Event::ZoneIn));
        }
    }
    events.sort_by_key(|(at, _)| *at);
    events
}
