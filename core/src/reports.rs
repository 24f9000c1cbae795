//! What other routers have open at targets.

use std::{collections::HashMap, time::Duration};

use crate::{
    name::{ProcessName, TargetName},
    roster::Roster,
    time::Time,
};

/// Time for which another router's report of its open requests counts.
const OPEN_LIFE: Duration = Duration::from_secs(2);

/// What another router has open.
#[derive(Debug)]
struct Open {
    number: u64,
    counts: Vec<(TargetName, u32)>,
    at: Time,
}

/// The last report of each other router. The sums of them stand in the roster and change by the
/// difference between two reports, since a fleet has many routers and targets.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    open: HashMap<ProcessName, Open>,
    /// When the oldest of these reports ceases to count.
    until: Option<Time>,
}

impl Reports {
    /// Takes a report; `number` grows with each one of a router.
    pub(crate) fn learn(
        &mut self,
        router: &ProcessName,
        number: u64,
        counts: &[(TargetName, u32)],
        targets: &mut Roster,
        now: Time,
    ) {
        let known = self.open.get(router);
        if known.is_some_and(|open| open.number == number) {
            return;
        }
        let open = Open {
            number,
            counts: counts.to_vec(),
            at: now,
        };
        open.change(targets, u32::saturating_add);
        if let Some(old) = self.open.insert(router.clone(), open) {
            old.change(targets, u32::saturating_sub);
        }
        self.until.get_or_insert(now + OPEN_LIFE);
    }

    /// Drops reports that are too old to count.
    pub(crate) fn expire(&mut self, targets: &mut Roster, now: Time) {
        if self.until.is_none_or(|until| now < until) {
            return;
        }
        let old = self
            .open
            .extract_if(|_, open| now.since(open.at) >= OPEN_LIFE);
        old.for_each(|(_, open)| open.change(targets, u32::saturating_sub));
        let oldest = self.open.values().map(|open| open.at).min();
        self.until = oldest.map(|at| at + OPEN_LIFE);
    }

    /// What the other routers have open at a target.
    pub(crate) fn at(&self, target: &TargetName) -> u32 {
        let counts = self.open.values().flat_map(|open| &open.counts);
        let counts = counts.filter(|(name, _)| name == target);
        counts.map(|(_, count)| count).sum()
    }
}

impl Open {
    /// Changes the sums by this report.
    fn change(&self, targets: &mut Roster, change: impl Fn(u32, u32) -> u32) {
        for (name, count) in &self.counts {
            if let Some(entry) = targets.get_mut(name) {
                entry.elsewhere = change(entry.elsewhere, *count);
            }
        }
    }
}
