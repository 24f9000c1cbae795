//! What routers tell each other of their requests, and what other routers have open at targets.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    name::{ProcessName, TargetName},
    roster::TargetTable,
    time::Time,
};

/// Bytes that a report may take, so that it fits into a datagram with the sender's own record.
const MAX_REPORT_BYTES: usize = 900;
/// Bytes of a report's number and of the lengths of its lists.
const FIXED_BYTES: usize = 16;
/// Time for which another router's report of its open requests counts.
const REPORT_TTL: Duration = Duration::from_secs(2);

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
        FIXED_BYTES + counts.sum::<usize>() + placed.sum::<usize>()
    }

    /// Adds the targets with most requests, as many as a datagram has room for.
    pub(crate) fn add_busiest(&mut self, mut counts: Vec<(TargetName, u32)>) {
        counts.sort_by(|(a, more), (b, less)| less.cmp(more).then_with(|| a.cmp(b)));
        let mut room = MAX_REPORT_BYTES.saturating_sub(self.size());
        let fits = counts.into_iter().take_while(|(name, _)| {
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
struct ReceivedReport {
    number: u64,
    counts: Vec<(TargetName, u32)>,
    received: Time,
}

/// The last report of each other router. The sums of them stand in the roster and change by the
/// difference between two reports, since a fleet has many routers and targets.
#[derive(Debug, Default)]
pub(crate) struct RouterReports {
    by_router: HashMap<ProcessName, ReceivedReport>,
    /// When the oldest of these reports ceases to count.
    next_expiry: Option<Time>,
}

impl RouterReports {
    /// Takes a report; false when it was taken before.
    pub(crate) fn record(
        &mut self,
        router: &ProcessName,
        report: &OpenReport,
        targets: &mut TargetTable,
        now: Time,
    ) -> bool {
        let known = self.by_router.get(router);
        if known.is_some_and(|open| open.number == report.number) {
            return false;
        }
        let open = ReceivedReport {
            number: report.number,
            counts: report.counts.clone(),
            received: now,
        };
        open.adjust_sums(targets, u32::saturating_add);
        if let Some(old) = self.by_router.insert(router.clone(), open) {
            old.adjust_sums(targets, u32::saturating_sub);
        }
        self.next_expiry.get_or_insert(now + REPORT_TTL);
        true
    }

    /// Drops reports that are too old to count.
    pub(crate) fn expire(&mut self, targets: &mut TargetTable, now: Time) {
        if self.next_expiry.is_none_or(|next_expiry| now < next_expiry) {
            return;
        }
        let old = self
            .by_router
            .extract_if(|_, open| now.since(open.received) >= REPORT_TTL);
        old.for_each(|(_, open)| open.adjust_sums(targets, u32::saturating_sub));
        let oldest = self.by_router.values().map(|open| open.received).min();
        self.next_expiry = oldest.map(|at| at + REPORT_TTL);
    }

    /// What the other routers have open at a target.
    pub(crate) fn open_at(&self, target: &TargetName) -> u32 {
        let counts = self.by_router.values().flat_map(|open| &open.counts);
        let counts = counts.filter(|(name, _)| name == target);
        counts.map(|(_, count)| count).sum()
    }
}

impl ReceivedReport {
    /// Changes the sums by this report.
    fn adjust_sums(&self, targets: &mut TargetTable, add_or_subtract: impl Fn(u32, u32) -> u32) {
        for (name, count) in &self.counts {
            if let Some(entry) = targets.get_mut(name) {
                entry.elsewhere = add_or_subtract(entry.elsewhere, *count);
            }
        }
    }
}
