//! Reconnects of a router to the agent that runs an attempt, after their connection has broken.

use std::{io, net::SocketAddr, time::Duration};

use ebonyfall_core::{id::AttemptId, request::RESUME_TIMEOUT};
use ebonyfall_wire::frame::ToAgent;
use tokio::time::{Instant, sleep, timeout};

use crate::link::{Identity, Link, LinkError};

/// Refused connections in a row that show that the agent's process has ended, and with it the attempt.
const MAX_REFUSED: u32 = 3;
/// Shortest and longest pause between two reconnects; it doubles with each.
const PAUSE_RANGE: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(160)];
/// Longest wait for one connection. A new one is faster than the retransmission of a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connects to `agent` again and requests the rest of the attempt's answer, of which `offset` bytes have
/// arrived. Returns `None` when the agent's process has ended, or cannot be reached for as long as it
/// keeps the attempt: until then another target must not get the request, as two would work on it.
/// `on_failure` is called for each connection that cannot be made.
pub async fn reconnect(
    identity: &Identity,
    agent: SocketAddr,
    attempt: AttemptId,
    offset: u64,
    mut on_failure: impl FnMut(&LinkError),
) -> Option<Link> {
    let lost = Instant::now();
    let mut pause = PAUSE_RANGE[0];
    let mut refused = 0;
    loop {
        let left = RESUME_TIMEOUT.saturating_sub(lost.elapsed());
        match dial(identity, agent, left.min(CONNECT_TIMEOUT)).await {
            Ok(mut link) => {
                let resume = ToAgent::Resume { attempt, offset };
                if link.send(&resume).await.is_ok() {
                    return Some(link);
                }
                refused = 0;
            }
            Err(error) => {
                on_failure(&error);
                refused = if is_refused(&error) { refused + 1 } else { 0 };
            }
        }
        if refused >= MAX_REFUSED || lost.elapsed() + pause >= RESUME_TIMEOUT {
            return None;
        }
        sleep(pause).await;
        pause = (pause * 2).min(PAUSE_RANGE[1]);
    }
}

async fn dial(identity: &Identity, agent: SocketAddr, limit: Duration) -> Result<Link, LinkError> {
    timeout(limit, Link::dial(identity, agent))
        .await
        .unwrap_or(Err(LinkError::Timeout))
}

fn is_refused(error: &LinkError) -> bool {
    matches!(error, LinkError::Io { source } if source.kind() == io::ErrorKind::ConnectionRefused)
}
