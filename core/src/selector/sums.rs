//! Sums over the targets of a service, which a choice among them needs.

use crate::{estimate::Estimate, time::Time};

/// Sums over the targets of a service.
#[derive(Debug, Default)]
pub(super) struct ServiceSums {
    /// Load of the usable targets.
    pub(super) sum: f64,
    /// Number of usable targets and of those in evacuated zones.
    pub(super) counted: f64,
    /// Failure shares of the usable targets.
    pub(super) failures: f64,
    pub(super) usable: u32,
    pub(super) slots: f64,
    /// Load and number of the usable targets that are not under pace.
    warm: (f64, u32),
}

impl ServiceSums {
    pub(super) fn add(&mut self, entry: &Estimate, now: Time) {
        let load = entry.load(now);
        self.sum += load;
        self.counted += 1.0;
        self.failures += entry.failure_share();
        self.usable += 1;
        self.slots += f64::from(entry.slots());
        if !entry.pace.is_active() {
            self.warm.0 += load;
            self.warm.1 += 1;
        }
    }

    /// Mean load of the targets that are not under pace; `None` without any.
    pub(super) fn warm_mean(&self) -> Option<f64> {
        let (load, count) = self.warm;
        (count > 0).then(|| load / f64::from(count))
    }
}
