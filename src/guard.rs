//! The agent's task that owns the at-most-once guard.

use ebonyfall_core::{
    claim::{ClaimId, ClaimRef},
    code::{Code, Execution},
    guard::{self, VoidOutcome},
    id::Incarnation,
};
use tokio::sync::{mpsc, oneshot};

/// Messages that may wait for the task.
const QUEUE_LEN: usize = 4096;
/// Claims remembered. At 100 orders/s for one target this covers 10 minutes, longer than a pause
/// of an owner that is worth resolving; it takes about 3 MB.
const MAX_CLAIMS: usize = 65_536;

#[derive(Debug)]
enum Command {
    Start {
        claim: ClaimRef,
        reply: oneshot::Sender<Result<(), Code>>,
    },
    Finish {
        claim: ClaimId,
        execution: Execution,
    },
    Void {
        claim: ClaimRef,
        reply: oneshot::Sender<VoidOutcome>,
    },
}

/// Runs each claim at most once.
#[derive(Debug, Clone)]
pub struct GuardTask(mpsc::Sender<Command>);

impl GuardTask {
    /// Starts the task of an agent of this incarnation; it ends when the last handle is dropped.
    pub fn start(incarnation: Incarnation) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        tokio::spawn(run(guard::ClaimGuard::new(incarnation, MAX_CLAIMS), rx));
        Self(tx)
    }

    /// Takes a claim that is about to run; requests without one always pass.
    ///
    /// # Errors
    ///
    /// Fails with the code of the refusal.
    pub async fn start_claim(&self, claim: Option<ClaimRef>) -> Result<(), Code> {
        let Some(claim) = claim else {
            return Ok(());
        };
        let (reply, answer) = oneshot::channel();
        let sent = self.0.send(Command::Start { claim, reply }).await;
        sent.map_err(|_ended| Code::ShuttingDown)?;
        answer.await.map_err(|_ended| Code::ShuttingDown)?
    }

    /// Records the end of a claim that was taken.
    pub async fn finish_claim(&self, claim: Option<ClaimRef>, execution: Execution) {
        if let Some(claim) = claim {
            let _ended = self
                .0
                .send(Command::Finish {
                    claim: claim.id,
                    execution,
                })
                .await;
        }
    }

    /// Makes sure that a claim never runs, unless it did or does.
    pub async fn void(&self, claim: ClaimRef) -> VoidOutcome {
        let (reply, answer) = oneshot::channel();
        let _ended = self.0.send(Command::Void { claim, reply }).await;
        answer.await.unwrap_or(VoidOutcome::Unknown)
    }
}

async fn run(mut guard: guard::ClaimGuard, mut rx: mpsc::Receiver<Command>) {
    while let Some(command) = rx.recv().await {
        match command {
            Command::Start { claim, reply } => {
                // The asker waits for the answer; if it is gone, the claim counts as taken.
                let _caller_gone = reply.send(guard.start_claim(claim));
            }
            Command::Finish { claim, execution } => guard.finish_claim(claim, execution),
            Command::Void { claim, reply } => {
                let _caller_gone = reply.send(guard.void(claim));
            }
        }
    }
}
