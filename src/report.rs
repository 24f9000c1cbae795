//! The task that reports the state of version moves where operators read it.
//!
//! Any router may write. Each write holds only if nobody has written since the router has read, so
//! that the first end that is reported stands.

use std::{collections::HashMap, time::Duration};

use ebonyfall_core::{
    changeover::{MoveOrder, MoveProgress},
    id::Offset,
    moves::MoveState,
    name::ServiceName,
    time::Time,
};
use ebonyfall_platform::{moves, store::Topic};
use http::StatusCode;
use slog::{Logger, info, warn};
use tokio::time::{MissedTickBehavior, interval};

use crate::{
    clock::BootClock,
    meters::Meters,
    steering::{Steering, Update},
    store::{Store, StoreError},
};

/// Time between two looks at what has to be reported.
const INTERVAL: Duration = Duration::from_millis(300);
/// Time between two looks at what other routers have reported.
const READ_INTERVAL: Duration = Duration::from_millis(1_500);

/// Starts the task.
pub fn start(store: Store, steering: Steering, meters: Meters, log: Logger) {
    let task = Task {
        store,
        steering,
        meters,
        log,
        known: HashMap::new(),
    };
    tokio::spawn(task.run());
}

struct Task {
    store: Store,
    steering: Steering,
    meters: Meters,
    log: Logger,
    known: HashMap<ServiceName, Known>,
}

/// What has been logged and read of a service's move.
#[derive(Default)]
struct Known {
    logged: Option<(Option<MoveProgress>, bool)>,
    read: Time,
}

impl Task {
    async fn run(mut self) {
        let mut ticks = interval(INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let states = self.steering.moves().await;
            let in_force = |service: &ServiceName| {
                let mut orders = states.iter().map(|state| &state.order.service);
                orders.any(|ordered| ordered == service)
            };
            self.known.retain(|service, _| in_force(service));
            for state in states {
                self.log(&state);
                self.follow(state).await;
            }
        }
    }

    /// Reports what is due, or reads what others have reported.
    async fn follow(&mut self, state: MoveState) {
        let order = state.order;
        let known = self.known.entry(order.service.clone()).or_default();
        let now = BootClock.now();
        let is_over = state.progress.is_some_and(MoveProgress::is_over);
        if state.due.is_none() && (is_over || now.since(known.read) < READ_INTERVAL) {
            return;
        }
        known.read = now;
        let answer = match state.due {
            Some(progress) => self.report(&order, progress).await,
            None => self.read(&order).await.map(|(known, _)| known),
        };
        match answer {
            Ok(Some(known)) => {
                if state.due.is_some() {
                    self.meters.move_report(name(known));
                    info!(self.log, "version move reported"; "event" => "move_reported",
                        "service" => %order.service, "version" => %order.version,
                        "order" => %order.offset, "state" => %known,
                        "written" => state.due == Some(known));
                }
                let update = Update::MoveReported(order, known);
                self.steering.update(vec![update]).await;
            }
            // Another router has written meanwhile; the next look reads that.
            Ok(None) => {}
            Err(error) => {
                self.meters.move_report("unreported");
                warn!(self.log, "state of a version move neither read nor written";
                    "event" => "move_unreported", "service" => %order.service,
                    "due" => state.due.map(|due| due.to_string()), "error" => %error);
            }
        }
    }

    /// Logs when the state has changed, or whether any traffic or all of it goes to the new version.
    fn log(&mut self, state: &MoveState) {
        let now = Some((state.progress, state.share >= 1.0));
        let known = self.known.entry(state.order.service.clone()).or_default();
        if std::mem::replace(&mut known.logged, now) == now {
            return;
        }
        info!(self.log, "version move"; "event" => "move", "service" => %state.order.service,
            "version" => %state.order.version, "order" => %state.order.offset,
            "state" => state.progress.map(|progress| progress.to_string()),
            "share" => state.share, "old_answers" => state.old.requests,
            "old_bad" => state.old.failed_or_slow(), "new_answers" => state.new.requests,
            "new_bad" => state.new.failed_or_slow());
    }

    /// What operators read of the order, and where the next record of the stream will lie.
    async fn read(&self, order: &MoveOrder) -> Result<(Option<MoveProgress>, Offset), StoreError> {
        let key = moves::status_key(&order.service);
        let (records, end) = self.store.newest(Topic::Status, 0).await?;
        let known = records.into_iter().find(|record| record.key == key);
        let known = known.and_then(|record| moves::decode_progress(order, &record.value?));
        Ok((known, end))
    }

    /// Reports the state unless the move's end is reported already; returns what operators read.
    async fn report(
        &self,
        order: &MoveOrder,
        progress: MoveProgress,
    ) -> Result<Option<MoveProgress>, StoreError> {
        let (known, end) = self.read(order).await?;
        if let Some(known) = known
            && (known != MoveProgress::InProgress || progress == MoveProgress::InProgress)
        {
            return Ok(Some(known));
        }
        let value = match moves::encode_status(order, progress) {
            Ok(value) => value,
            Err(error) => {
                warn!(self.log, "state of a version move not encoded";
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
}

/// The state as a metric's label.
fn name(progress: MoveProgress) -> &'static str {
    match progress {
        MoveProgress::InProgress => "in_progress",
        MoveProgress::Complete => "complete",
        MoveProgress::Reverted => "reverted",
    }
}
