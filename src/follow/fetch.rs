//! What the task that follows the orders is doing, and the lines that say why the orders are late.

use std::{sync::Arc, time::Duration};

use derive_more::Display;
use ebonyfall_core::{
    lateness::{Lateness, LatenessReport},
    lease::Lease,
    time::Time,
};
use slog::{Logger, info, warn};
use tokio::{sync::watch, time};

use crate::clock::{self, BootClock};

/// Interval between checks of the age of the orders.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Step in which the task that follows the orders is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub(super) enum Step {
    /// Lists the newest records of the store.
    #[default]
    #[display("list")]
    List,
    /// Reads the store's stream.
    #[display("stream")]
    Stream,
    /// Reads from the reader of its zone.
    #[display("reader")]
    Reader,
    /// Reads from any other router, since a call of the store has failed.
    #[display("router")]
    Router,
    /// Pauses after a failure.
    #[display("pause")]
    Pause,
}

/// State of the fetches of orders.
#[derive(Debug, Clone, Default)]
pub(super) struct Fetch {
    step: Step,
    since: Time,
    /// Records that the last answer of the store left to be read.
    left: u64,
    /// Error of the last failed call of the store since the last answer.
    error: Option<Arc<str>>,
    /// Failed calls of the store since the last answer.
    failures: u32,
}

/// Handle with which the task that follows the orders tells its state.
#[derive(Debug, Default)]
pub(super) struct FetchState(watch::Sender<Fetch>);

impl FetchState {
    pub(super) fn begin(&self, step: Step, now: Time) {
        self.0.send_modify(|fetch| {
            fetch.step = step;
            fetch.since = now;
        });
    }

    /// Records an answer of the store, which left `left` records to be read.
    pub(super) fn record_answer(&self, left: u64) {
        self.0.send_modify(|fetch| {
            fetch.left = left;
            fetch.error = None;
            fetch.failures = 0;
        });
    }

    pub(super) fn record_failure(&self, error: &impl ToString) {
        self.0.send_modify(|fetch| {
            fetch.error = Some(error.to_string().into());
            fetch.failures = fetch.failures.saturating_add(1);
        });
    }

    /// Returns the task that logs while the orders are not confirmed within `bound`, and why.
    pub(super) fn report_lateness(
        &self,
        lease: watch::Receiver<Lease>,
        bound: Duration,
        log: Logger,
    ) -> impl Future<Output = ()> + Send + use<> {
        let fetch = self.0.subscribe();
        async move {
            let mut lateness = Lateness::new(bound, BootClock.now());
            let mut ticks = time::interval(CHECK_INTERVAL);
            ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
            while lease.has_changed().is_ok() {
                ticks.tick().await;
                let confirmed = lease.borrow().confirmed_at();
                let now = BootClock.now();
                if let Some(report) = lateness.check(confirmed, now) {
                    log_report(report, &fetch.borrow(), now, &log);
                }
            }
        }
    }
}

fn log_report(report: LatenessReport, fetch: &Fetch, now: Time, log: &Logger) {
    match report {
        LatenessReport::Late(age) => {
            warn!(log, "the orders are older than they may be"; "event" => "orders_late",
                "age_ms" => age.map(clock::millis), "step" => %fetch.step,
                "step_ms" => clock::millis(now.since(fetch.since)), "left" => fetch.left,
                "failures" => fetch.failures, "error" => fetch.error.as_deref());
        }
        LatenessReport::Recovered(late_for) => {
            info!(log, "the orders are recent again"; "event" => "orders_recovered",
                "late_ms" => clock::millis(late_for));
        }
    }
}
