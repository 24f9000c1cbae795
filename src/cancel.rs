//! Cancellation of an attempt for which nobody waits any more.

use std::time::Duration;

use ebonyfall_core::id::AttemptId;
use ebonyfall_wire::frame::{ToAgent, ToRouter};
use tokio::time::timeout;

use crate::link::Link;

/// Longest wait for a cancellation to be sent.
const SEND_TIMEOUT: Duration = Duration::from_millis(20);
/// Longest wait for the agent to close the connection after a cancellation.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Cancels the attempt that runs on this connection. If the message is lost, the agent cancels when its
/// wait for a reconnect ends.
pub async fn cancel(mut link: Link, attempt: AttemptId) {
    let cancel = ToAgent::Cancel { attempt };
    let _sent = timeout(SEND_TIMEOUT, link.send(&cancel)).await;
    // Closing a socket with unread data resets it, and the agent could see the reset before it reads the
    // cancellation. So the rest of the answer is read first.
    let closed = async { while link.receive::<ToRouter>().await.is_ok() {} };
    let _closed = timeout(CLOSE_TIMEOUT, closed).await;
}
