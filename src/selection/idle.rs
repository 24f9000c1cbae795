//! Idle connections to targets, and probes of targets whose connections broke.

use std::{io, time::Duration};

use ebonyfall_core::{id::Incarnation, name::TargetName, outcome::Probe, target::TargetRecord};
use tokio::{sync::oneshot, time::timeout};

use super::{Command, Task};
use crate::upstream::{ReadBuffer, TargetConnection};

/// Maximum number of idle connections kept for each target.
const MAX_IDLE_PER_TARGET: usize = 32;
/// Longest wait for a connection by which it is checked whether a target can be reached. Shorter than the
/// time for which two targets may have a request.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Idle connections to one run of a target.
pub(super) struct IdleConnections {
    pub(super) incarnation: Incarnation,
    pub(super) connections: Vec<TargetConnection>,
}

impl Task {
    pub(super) fn keep_idle(&mut self, target: &TargetName, connection: Option<TargetConnection>) {
        if let Some(connection) = connection
            && let Some(idle) = self.idle.get_mut(target)
            && idle.connections.len() < MAX_IDLE_PER_TARGET
        {
            idle.connections.push(connection);
        }
    }

    /// Checks whether a target accepts connections. One check at a time is open for each target.
    pub(super) fn check(&mut self, target: TargetRecord, reply: oneshot::Sender<Probe>) {
        let waiting = self.checks.entry(target.name.clone()).or_default();
        waiting.push(reply);
        if waiting.len() == 1 {
            self.probe(target);
        }
    }

    pub(super) fn answer_checks(&mut self, target: &TargetName, probe: Probe) {
        for reply in self.checks.remove(target).unwrap_or_default() {
            let _request_ended = reply.send(probe);
        }
    }

    /// Opens a connection to a target after a request to it broke, so that a crash is noticed before
    /// further requests are sent there. A connection that is established is kept for one of them.
    pub(super) fn probe(&self, target: TargetRecord) {
        let Some(queue) = self.probes.upgrade() else {
            return;
        };
        let now = self.clock.now();
        tokio::spawn(async move {
            let connect = TargetConnection::connect(target.address, ReadBuffer::Adaptive, now);
            let (probe, connection) = match timeout(CHECK_TIMEOUT, connect).await {
                Ok(Ok(connection)) => (Probe::Accepted, Some(connection)),
                Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    (Probe::Refused, None)
                }
                Ok(Err(_)) | Err(_) => (Probe::Unknown, None),
            };
            let command = Command::Probed(Box::new(target), probe, connection);
            let _ended = queue.send(command).await;
        });
    }
}
