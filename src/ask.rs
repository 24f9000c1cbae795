//! Questions to tasks.

use tokio::sync::{mpsc, oneshot};

/// Sends a task a command that holds the sender of its answer, and waits for the answer. `None` if the task
/// has ended.
pub(crate) async fn ask<C, T>(
    tx: &mpsc::Sender<C>,
    command: impl FnOnce(oneshot::Sender<T>) -> C,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    // A command that was not sent must not outlive this line: the answer would be awaited for ever.
    tx.send(command(reply)).await.ok()?;
    answer.await.ok()
}
