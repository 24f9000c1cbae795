//! Planned stops of a router: when it refuses new requests, and when all open ones get their answer.

use std::time::Duration;

use slog::{Logger, info};
use tokio::{sync::watch, time};

use crate::supervisor::{Supervisor, TaskName};

/// Time reserved at the end of a stop for sending the last answers.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// Phase of a process, in the order in which a stop goes through them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Requests are accepted, before the stop signal and for some time after it.
    Serving,
    /// New requests are refused; open ones continue.
    Closing,
    /// Requests without an answer get one at once.
    Ending,
}

/// Times of a stop, counted from the stop signal.
#[derive(Debug, Clone, Copy)]
pub struct StopTimes {
    /// When new requests are refused.
    pub refuse_after: Duration,
    /// When the process ends.
    pub end_after: Duration,
}

/// Tells requests how far a stop has come; cloning shares it.
#[derive(Debug, Clone)]
pub struct StopPhases(watch::Receiver<Phase>);

impl StopPhases {
    /// Starts the task that follows the stop signal.
    pub fn start(
        mut stop: watch::Receiver<bool>,
        times: StopTimes,
        supervisor: &Supervisor,
        log: Logger,
    ) -> Self {
        let answer_after = times.end_after.saturating_sub(ANSWER_MARGIN);
        let refuse_after = times.refuse_after.min(answer_after);
        let (tx, phases) = watch::channel(Phase::Serving);
        supervisor.spawn(TaskName::StopPhases, async move {
            if stop.wait_for(|stop| *stop).await.is_ok() {
                time::sleep(refuse_after).await;
                info!(log, "refusing new requests"; "event" => "stop_closing");
                tx.send_replace(Phase::Closing);
                time::sleep(answer_after.saturating_sub(refuse_after)).await;
                info!(log, "ending the requests that have no answer"; "event" => "stop_ending");
                tx.send_replace(Phase::Ending);
            }
            // Keeps the sender alive, so that receivers do not see the channel close.
            std::future::pending::<()>().await;
        });
        Self(phases)
    }

    /// Whether new requests have to be refused.
    pub fn refuses_new(&self) -> bool {
        *self.0.borrow() >= Phase::Closing
    }

    /// Waits until requests without an answer have to end.
    pub async fn ending(&self) {
        let mut phases = self.0.clone();
        if phases
            .wait_for(|phase| *phase == Phase::Ending)
            .await
            .is_err()
        {
            // The task has ended with the runtime, and the process with it.
            std::future::pending::<()>().await;
        }
    }
}
