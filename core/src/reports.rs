//! Reports of open requests that routers exchange, and the number of requests that other routers
//! have open at each target.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    name::{ProcessName, ServiceName, TargetName},
    targets::TargetTable,
    time::Time,
};

/// Largest report, so that it fits into a datagram with the sender's own record.
const MAX_REPORT_BYTES: usize = 900;
/// Largest part of a report that lists the demand by service; the rest is for targets.
const MAX_DEMAND_BYTES: usize = 300;
/// Size of a report's number and of the lengths of its lists.
const FIXED_BYTES: usize = 19;
/// Time for which another router's report is valid.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// A router's report of its open requests to the other routers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenReport {
    /// Sequence number, which increases with each report of one incarnation of the router.
    pub number: u64,
    /// Number of open requests by target, as far as they fit.
    pub counts: Vec<(TargetName, u32)>,
    /// Hashes of contexts placed on another target than their home, with that target.
    pub placed: Vec<(u64, TargetName)>,
    /// Number of open and waiting requests by service, as far as they fit. Services without any are
    /// left out.
    pub demand: Vec<(ServiceName, u32)>,
}

impl OpenReport {
    /// An upper bound of the encoded length, in bytes.
    pub fn size(&self) -> usize {
        let counts = self.counts.iter().map(|(name, _)| count_size(name));
        let placed = self.placed.iter().map(|(_, name)| placed_size(name));
        let demand = self.demand.iter().map(|(name, _)| demand_size(name));
        FIXED_BYTES + counts.sum::<usize>() + placed.sum::<usize>() + demand.sum::<usize>()
    }

    /// Adds the services with the most open and waiting requests, at most up to
    /// `MAX_DEMAND_BYTES`.
    pub(crate) fn add_demand(&mut self, demand: &[(ServiceName, u32)]) {
        let mut demand: Vec<_> = demand.iter().filter(|(_, count)| *count > 0).collect();
        demand.sort_by(|(a, more), (b, less)| less.cmp(more).then_with(|| a.cmp(b)));
        let mut room = MAX_DEMAND_BYTES.min(MAX_REPORT_BYTES.saturating_sub(self.size()));
        let fits = demand.into_iter().take_while(|(name, _)| {
            let size = demand_size(name);
            let fits = size <= room;
            room = room.saturating_sub(size);
            fits
        });
        self.demand.extend(fits.cloned());
    }

    /// Adds the targets with the most open requests, as many as fit into a datagram.
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

/// Upper bound of the bytes of a length byte, a name and a count.
fn count_size(name: &TargetName) -> usize {
    name.as_str().len() + 6
}

/// Upper bound of the bytes of a length byte, a service's name and a count.
fn demand_size(name: &ServiceName) -> usize {
    name.as_str().len() + 6
}

/// Upper bound of the bytes of a hash, a length byte and a name.
fn placed_size(name: &TargetName) -> usize {
    name.as_str().len() + 11
}

/// The last report of another router.
#[derive(Debug)]
struct ReceivedReport {
    number: u64,
    counts: Vec<(TargetName, u32)>,
    demand: Vec<(ServiceName, u32)>,
    received: Time,
}

/// The last report of each other router. Their sums are kept in the target table and updated by
/// the difference of two reports, since a fleet has too many routers and targets to add all up.
#[derive(Debug, Default)]
pub(crate) struct RouterReports {
    by_router: HashMap<ProcessName, ReceivedReport>,
    /// Sums of the reported demand by service.
    demand: HashMap<ServiceName, u32>,
    /// When the oldest report expires; `None` if there is none.
    next_expiry: Option<Time>,
}

impl RouterReports {
    /// Records a report; returns false if it is the one recorded last.
    pub(crate) fn record(
        &mut self,
        router: &ProcessName,
        report: &OpenReport,
        targets: &mut TargetTable,
        now: Time,
    ) -> bool {
        let known = self.by_router.get(router);
        if known.is_some_and(|known| known.number == report.number) {
            return false;
        }
        let report = ReceivedReport {
            number: report.number,
            counts: report.counts.clone(),
            demand: report.demand.clone(),
            received: now,
        };
        report.adjust_sums(targets, &mut self.demand, u32::saturating_add);
        if let Some(old) = self.by_router.insert(router.clone(), report) {
            old.adjust_sums(targets, &mut self.demand, u32::saturating_sub);
        }
        self.next_expiry.get_or_insert(now + REPORT_TTL);
        true
    }

    /// Removes reports that are no longer valid.
    pub(crate) fn expire(&mut self, targets: &mut TargetTable, now: Time) {
        if self.next_expiry.is_none_or(|next_expiry| now < next_expiry) {
            return;
        }
        let old = self
            .by_router
            .extract_if(|_, report| now.since(report.received) >= REPORT_TTL);
        old.for_each(|(_, report)| {
            report.adjust_sums(targets, &mut self.demand, u32::saturating_sub);
        });
        self.demand.retain(|_, count| *count > 0);
        let oldest = self.by_router.values().map(|report| report.received).min();
        self.next_expiry = oldest.map(|at| at + REPORT_TTL);
    }

    /// Estimated open and waiting requests of the other routers for a service, given the number of
    /// all live routers. Routers whose reports are missing count as the mean of the others. `None`
    /// if no report is valid.
    pub(crate) fn demand(&self, service: &ServiceName, routers: u32) -> Option<u32> {
        let heard = u32::try_from(self.by_router.len()).unwrap_or(u32::MAX);
        let sum = u64::from(self.demand.get(service).copied().unwrap_or(0));
        let others = routers.saturating_sub(1).max(heard);
        let scaled = (sum * u64::from(others)).checked_div(u64::from(heard))?;
        Some(u32::try_from(scaled).unwrap_or(u32::MAX))
    }

    /// Number of requests that the other routers have open at a target.
    pub(crate) fn open_at(&self, target: &TargetName) -> u32 {
        let counts = self.by_router.values().flat_map(|report| &report.counts);
        let counts = counts.filter(|(name, _)| name == target);
        counts.map(|(_, count)| count).sum()
    }
}

impl ReceivedReport {
    /// Adds the counts of this report to the sums in `targets` and `demand`, or subtracts them.
    fn adjust_sums(
        &self,
        targets: &mut TargetTable,
        demand: &mut HashMap<ServiceName, u32>,
        add_or_subtract: impl Fn(u32, u32) -> u32,
    ) {
        for (service, count) in &self.demand {
            let sum = demand.entry(service.clone()).or_default();
            *sum = add_or_subtract(*sum, *count);
        }
        for (name, count) in &self.counts {
            if let Some(entry) = targets.get_mut(name) {
                entry.outstanding_elsewhere = add_or_subtract(entry.outstanding_elsewhere, *count);
            }
        }
    }
}
