//! Task that records the progress of version moves in the store, where operators read it.
//!
//! Any router may write. Each write is conditional on the stream not having grown since the router
//! read it, so that the first recorded end of a move is final.

use std::{collections::HashMap, time::Duration};

use ebonyfall_core::{
    changeover::{MoveOrder, MoveProgress},
    id::Position,
    moves::MoveState,
    name::ServiceName,
    time::Time,
};
use ebonyfall_platform::{
    moves::{self, RecordedStatus},
    store::Topic,
};
use http::StatusCode;
use slog::{Logger, info, warn};
use tokio::time::{MissedTickBehavior, interval};

use crate::{
    clock::BootClock,
    meters::EntryMetrics,
    selection::{SelectorHandle, Update},
    store::{StoreClient, StoreError},
    supervisor::{Supervisor, TaskName},
};

/// Interval between checks for progress that has to be recorded.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum interval between reads of the progress that other routers have recorded.
const READ_INTERVAL: Duration = Duration::from_millis(1_500);

/// Starts the task, which runs until the process ends.
pub fn start(
    store: StoreClient,
    selector: SelectorHandle,
    meters: EntryMetrics,
    supervisor: &Supervisor,
    log: Logger,
) {
    let task = Task {
        store,
        selector,
        meters,
        log,
        reports: HashMap::new(),
    };
    supervisor.spawn(TaskName::MoveReports, task.run());
}

struct Task {
    store: StoreClient,
    selector: SelectorHandle,
    meters: EntryMetrics,
    log: Logger,
    reports: HashMap<ServiceName, ReportState>,
}

/// Last log line and last read for a service's version move.
#[derive(Default)]
struct ReportState {
    last_logged: Option<(Option<MoveProgress>, bool)>,
    read_at: Time,
}

impl Task {
    async fn run(mut self) {
        let mut ticks = interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let states = self.selector.moves().await;
            let in_force = |service: &ServiceName| {
                let mut orders = states.iter().map(|state| &state.order.service);
                orders.any(|ordered| ordered == service)
            };
            self.reports.retain(|service, _| in_force(service));
            for state in states {
                self.log(&state);
                self.sync(state).await;
            }
        }
    }

    /// Records the progress that is due, or reads what other routers have recorded.
    async fn sync(&mut self, state: MoveState) {
        let order = state.order;
        let known = self.reports.entry(order.service.clone()).or_default();
        let now = BootClock.now();
        let is_over = state.progress.is_some_and(MoveProgress::is_over);
        if state.due.is_none() && (is_over || now.since(known.read_at) < READ_INTERVAL) {
            return;
        }
        known.read_at = now;
        let answer = match state.due {
            Some(progress) => self.report(&order, progress).await,
            None => self.read(&order).await.map(|(status, _)| match status {
                RecordedStatus::Own(progress) => Some(progress),
                RecordedStatus::Missing | RecordedStatus::Later => None,
            }),
        };
        match answer {
            Ok(Some(reported)) => {
                if state.due.is_some() {
                    self.meters.count_move_report(progress_label(reported));
                    info!(self.log, "progress of version move recorded"; "event" => "move_reported",
                        "service" => %order.service, "version" => %order.version,
                        "order" => %order.offset, "state" => %reported,
                        "written" => state.due == Some(reported));
                }
                let update = Update::MoveProgress(order, reported);
                self.selector.update(vec![update]).await;
            }
            // Another router has written meanwhile; the next check reads its record.
            Ok(None) => {}
            Err(error) => {
                self.meters.count_move_report("unreported");
                warn!(self.log, "cannot read or record progress of version move; retrying";
                    "event" => "move_unreported", "service" => %order.service,
                    "due" => state.due.map(|due| due.to_string()), "error" => %error);
            }
        }
    }

    /// Logs changes of the progress, and when the new version starts or stops getting all traffic.
    fn log(&mut self, state: &MoveState) {
        let now = Some((state.progress, state.share >= 1.0));
        let known = self.reports.entry(state.order.service.clone()).or_default();
        if std::mem::replace(&mut known.last_logged, now) == now {
            return;
        }
        info!(self.log, "progress of version move changed";
            "event" => "move", "service" => %state.order.service,
            "version" => %state.order.version, "order" => %state.order.offset,
            "state" => state.progress.map(|progress| progress.to_string()),
            "share" => state.share, "old_answers" => state.old.requests,
            "old_bad" => state.old.failed_or_slow(), "new_answers" => state.new.requests,
            "new_bad" => state.new.failed_or_slow());
    }

    /// Reads the recorded status of the order's service, and the offset of the stream's end.
    async fn read(&self, order: &MoveOrder) -> Result<(RecordedStatus, Position), StoreError> {
        let key = moves::status_key(&order.service);
        let (known, end) = self.store.find(Topic::Status, &key).await?;
        let value = known.and_then(|record| record.value);
        let status = value.map_or(RecordedStatus::Missing, |value| {
            moves::decode_status(order, &value)
        });
        Ok((status, end))
    }

    /// Records the progress unless the move's end is recorded already, or a later order has replaced
    /// this one. Returns the recorded progress; `None` if it is not known.
    ///
    /// The state on which the progress was decided may be old, as the process may have stood still
    /// since then. So the end of a move is recorded only after the order has been looked up again.
    async fn report(
        &self,
        order: &MoveOrder,
        progress: MoveProgress,
    ) -> Result<Option<MoveProgress>, StoreError> {
        let (status, end) = self.read(order).await?;
        match status {
            RecordedStatus::Own(known)
                if known.is_over() || progress == MoveProgress::InProgress =>
            {
                return Ok(Some(known));
            }
            RecordedStatus::Own(_) | RecordedStatus::Missing => {}
            RecordedStatus::Later => {
                self.log_replaced(order, progress);
                return Ok(None);
            }
        }
        if progress.is_over() && self.is_replaced(order).await? {
            self.log_replaced(order, progress);
            return Ok(None);
        }
        let value = match moves::encode_status(order, progress) {
            Ok(value) => value,
            Err(error) => {
                warn!(self.log, "cannot encode progress of version move; not recorded";
                    "event" => "move_unreported", "error" => %error);
                return Ok(None);
            }
        };
        let key = moves::status_key(&order.service);
        match self.store.append_at(Topic::Status, end, &key, &value).await {
            Ok(()) => Ok(Some(progress)),
            Err(StoreError::Refused { status }) if status == StatusCode::PRECONDITION_FAILED => {
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }

    /// Whether the operators' stream has a later record of the order's key: another order, or a
    /// withdrawal.
    async fn is_replaced(&self, order: &MoveOrder) -> Result<bool, StoreError> {
        let key = moves::order_key(&order.service);
        let (own, end) = self.store.find(Topic::Orders, &key).await?;
        if end.era != order.era {
            return Err(StoreError::restored(order.era, end.era));
        }
        Ok(own.map(|record| record.offset) != Some(order.offset))
    }

    fn log_replaced(&self, order: &MoveOrder, progress: MoveProgress) {
        warn!(self.log, "the order was replaced; progress of its version move is not recorded";
            "event" => "move_replaced", "service" => %order.service, "order" => %order.offset,
            "due" => %progress);
    }
}

/// Value of the metric's label for `progress`.
fn progress_label(progress: MoveProgress) -> &'static str {
    match progress {
        MoveProgress::InProgress => "in_progress",
        MoveProgress::Complete => "complete",
        MoveProgress::Reverted => "reverted",
    }
}
