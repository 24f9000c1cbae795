//! The agent's task that owns admission.

use std::time::Duration;

use ebonyfall_core::{
    admit::{Admission, Capacity},
    code::Code,
    load::{OwnBound, PoolLoad},
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
        bounded: bool,
        reply: oneshot::Sender<Result<(), Code>>,
    },
    Leave {
        success: bool,
    },
    HeardPool {
        load: PoolLoad,
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
    pub fn start(capacity: Capacity, own: OwnBound, clock: Clock) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        tokio::spawn(run(Admission::new(capacity), own, clock, rx));
        Self(tx)
    }

    /// Asks for one request to be admitted, within the load bound where it is `bounded`.
    ///
    /// # Errors
    ///
    /// Fails with the code of the refusal.
    pub async fn enter(&self, left: Duration, bounded: bool) -> Result<(), Code> {
        let (reply, answer) = oneshot::channel();
        let sent = self
            .0
            .send(Ask::Enter {
                left,
                bounded,
                reply,
            })
            .await;
        sent.map_err(|_ended| Code::ShuttingDown)?;
        answer.await.map_err(|_ended| Code::ShuttingDown)?
    }

    /// Reports the sums over the target's pool that came by gossip.
    pub async fn heard_pool(&self, load: PoolLoad) {
        let _ended = self.0.send(Ask::HeardPool { load }).await;
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

async fn run(
    mut admission: Admission,
    mut own: OwnBound,
    clock: Clock,
    mut rx: mpsc::Receiver<Ask>,
) {
    while let Some(ask) = rx.recv().await {
        match ask {
            Ask::Enter {
                left,
                bounded,
                reply,
            } => {
                let now = clock.now();
                let decision = if bounded && !own.admits(admission.running(), now) {
                    Err(Code::OverBound)
                } else {
                    admission.enter(left, now)
                };
                let admitted = decision.is_ok();
                // A caller that went away while it waited will not report the end.
                if reply.send(decision).is_err() && admitted {
                    admission.leave(false, clock.now());
                }
            }
            Ask::Leave { success } => admission.leave(success, clock.now()),
            Ask::HeardPool { load } => own.heard(load, clock.now()),
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
