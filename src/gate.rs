//! The agent's task that owns admission.

use std::time::Duration;

use ebonyfall_core::{
    admit::{Admission, Capacity},
    code::Code,
};
use ebonyfall_wire::frame::Load;
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;

/// Messages that may wait for the task.
const QUEUE_LEN: usize = 4096;

#[derive(Debug)]
enum Ask {
    Enter {
        left: Duration,
        reply: oneshot::Sender<Result<(), Code>>,
    },
    Leave {
        success: bool,
    },
    Load {
        reply: oneshot::Sender<Load>,
    },
}

/// Admits requests to the target.
#[derive(Debug, Clone)]
pub struct Gate(mpsc::Sender<Ask>);

impl Gate {
    /// Starts the task; it ends when the last handle is dropped.
    pub fn start(capacity: Capacity, clock: Clock) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        tokio::spawn(run(Admission::new(capacity), clock, rx));
        Self(tx)
    }

    /// Asks for one request to be admitted.
    ///
    /// # Errors
    ///
    /// Fails with the code of the refusal.
    pub async fn enter(&self, left: Duration) -> Result<(), Code> {
        let (reply, answer) = oneshot::channel();
        let sent = self.0.send(Ask::Enter { left, reply }).await;
        sent.map_err(|_ended| Code::ShuttingDown)?;
        answer.await.map_err(|_ended| Code::ShuttingDown)?
    }

    /// Reports the end of an admitted request.
    pub async fn leave(&self, success: bool) {
        let _ended = self.0.send(Ask::Leave { success }).await;
    }

    /// The target's load.
    pub async fn load(&self) -> Load {
        let (reply, answer) = oneshot::channel();
        let _ended = self.0.send(Ask::Load { reply }).await;
        answer.await.unwrap_or_default()
    }
}

async fn run(mut admission: Admission, clock: Clock, mut rx: mpsc::Receiver<Ask>) {
    while let Some(ask) = rx.recv().await {
        match ask {
            Ask::Enter { left, reply } => {
                let decision = admission.enter(left, clock.now());
                let admitted = decision.is_ok();
                // A caller that went away while it waited will not report the end.
                if reply.send(decision).is_err() && admitted {
                    admission.leave(false, clock.now());
                }
            }
            Ask::Leave { success } => admission.leave(success, clock.now()),
            Ask::Load { reply } => {
                let load = Load {
                    running: admission.running(),
                    waiting: 0,
                    limit: admission.limit(),
                };
                let _caller_gone = reply.send(load);
            }
        }
    }
}
