//! The agent's task that owns the table of claims, which ensures that each claim runs at most once.

use ebonyfall_core::{
    claim::{ClaimId, ClaimRef},
    code::{Code, Execution},
    guard::{self, VoidOutcome},
    id::Incarnation,
};
use tokio::sync::{mpsc, oneshot};

use crate::{
    ask::ask,
    supervisor::{Supervisor, TaskName},
};

/// Capacity of the task's command channel.
const QUEUE_LEN: usize = 4096;
/// Claims kept in the table, which takes about 3 MB. At 100 orders/s for one target they cover
/// 10 minutes; a router that was paused for longer need not be able to resolve its claim.
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

/// Handle of the task that ensures that each claim runs at most once.
#[derive(Debug, Clone)]
pub struct GuardHandle(mpsc::Sender<Command>);

impl GuardHandle {
    /// Starts the task for an agent with this incarnation. The task ends when the last handle is
    /// dropped.
    pub fn start(incarnation: Incarnation, supervisor: &Supervisor) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let claims = guard::ClaimGuard::new(incarnation, MAX_CLAIMS);
        supervisor.spawn(TaskName::Guard, run(claims, rx));
        Self(tx)
    }

    /// Records that a request with this claim is about to run; `None` always succeeds.
    ///
    /// # Errors
    ///
    /// Fails with the code of the refusal if the claim may not run, and with `ShuttingDown` if the
    /// task has ended.
    pub async fn start_claim(&self, claim: Option<ClaimRef>) -> Result<(), Code> {
        let Some(claim) = claim else {
            return Ok(());
        };
        let (reply, answer) = oneshot::channel();
        let sent = self.0.send(Command::Start { claim, reply }).await;
        sent.map_err(|_ended| Code::ShuttingDown)?;
        answer.await.map_err(|_ended| Code::ShuttingDown)?
    }

    /// Records whether the request of a started claim was executed; `None` has no effect.
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

    /// Prevents a claim from running, unless it is running or has run. The outcome is `Unknown` if
    /// the task has ended.
    pub async fn void(&self, claim: ClaimRef) -> VoidOutcome {
        ask(&self.0, |reply| Command::Void { claim, reply })
            .await
            .unwrap_or(VoidOutcome::Unknown)
    }
}

async fn run(mut guard: guard::ClaimGuard, mut rx: mpsc::Receiver<Command>) {
    while let Some(command) = rx.recv().await {
        match command {
            Command::Start { claim, reply } => {
                // If the caller no longer waits, the claim still counts as started.
                let _caller_gone = reply.send(guard.start_claim(claim));
            }
            Command::Finish { claim, execution } => guard.finish_claim(claim, execution),
            Command::Void { claim, reply } => {
                let _caller_gone = reply.send(guard.void(claim));
            }
        }
    }
}
