//! What routers tell each other of their requests, and what other routers have open at targets.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    name::{ProcessName, TargetName},
    roster::Roster,
    time::Time,
};

/// Bytes that a report may take, so that it fits into a datagram with the sender's own record.
const MAX_SIZE: usize = 900;
/// Bytes of a report's number and of the lengths of its lists.
const NUMBERS: usize = 16;
/// Time for which another router's report of its open requests counts.
const OPEN_LIFE: Duration = Duration::from_secs(2);

/// What a router tells the others of its requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenReport {
    /// Grows with each report of a router's start.
    pub number: u64,
    /// Targets with open requests, and how many.
    pub counts: Vec<(TargetName, u32)>,
    /// Contexts that were given to another target than their home, and that target.
    pub placed: Vec<(u64, TargetName)>,
}

impl OpenReport {
    /// An upper bound of the encoded length, in bytes.
    pub fn size(&self) -> usize {
        let counts = self.counts.iter().map(|(name, _)| count_size(name));
        let placed = self.placed.iter().map(|(_, name)| placed_size(name));
        NUMBERS + counts.sum::<usize>() + placed.sum::<usize>()
    }

    /// Adds the targets with most requests, as many as a datagram has room for.
    pub(crate) fn fill(&mut self, mut open: Vec<(TargetName, u32)>) {
        open.sort_by(|(a, more), (b, less)| less.cmp(more).then_with(|| a.cmp(b)));
        let mut room = MAX_SIZE.saturating_sub(self.size());
        let fits = open.into_iter().take_while(|(name, _)| {
            let size = count_size(name);
            let fits = size <= room;
            room = room.saturating_sub(size);
            fits
        });
        self.counts.extend(fits);
    }
}

/// Bytes of a length byte, a name and a count.
fn count_size(name: &TargetName) -> usize {
    name.as_str().len() + 6
}

/// Bytes of a hash, a length byte and a name.
fn placed_size(name: &TargetName) -> usize {
    name.as_str().len() + 11
}

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
    /// Takes a report; false when it was taken before.
    pub(crate) fn learn(
        &mut self,
        router: &ProcessName,
        report: &OpenReport,
        targets: &mut Roster,
        now: Time,
    ) -> bool {
        let known = self.open.get(router);
        if known.is_some_and(|open| open.number == report.number) {
            return false;
        }
        let open = Open {
            number: report.number,
            counts: report.counts.clone(),
            at: now,
        };
        open.change(targets, u32::saturating_add);
        if let Some(old) = self.open.insert(router.clone(), open) {
            old.change(targets, u32::saturating_sub);
        }
        self.until.get_or_insert(now + OPEN_LIFE);
        true
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
                entry.outstanding_elsewhere = change(entry.outstanding_elsewhere, *count);
            }
        }
    }
}
