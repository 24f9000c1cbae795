//! Idle connections to targets, and probes of targets whose connections broke.

use std::{io, net::SocketAddr};

use ebonyfall_core::{id::Incarnation, name::TargetName, outcome::Probe, target::TargetRecord};

use super::{Command, Task};
use crate::upstream::{ReadBuffer, TargetConnection};

/// Maximum number of idle connections kept for each target.
const MAX_IDLE_PER_TARGET: usize = 32;

/// A run of a target, and the address at which it is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TargetRun {
    incarnation: Incarnation,
    address: SocketAddr,
}

impl TargetRun {
    pub(super) fn of(target: &TargetRecord) -> Self {
        Self {
            incarnation: target.incarnation,
            address: target.address,
        }
    }
}

/// Idle connections to one run of a target.
pub(super) struct IdleConnections {
    run: TargetRun,
    pub(super) connections: Vec<TargetConnection>,
}

impl IdleConnections {
    pub(super) fn new(run: TargetRun) -> Self {
        Self {
            run,
            connections: Vec::new(),
        }
    }

    /// Closes the connections to an earlier run.
    pub(super) fn enter(&mut self, run: TargetRun) {
        if self.run != run {
            self.run = run;
            self.connections.clear();
        }
    }
}

impl Task {
    /// Keeps a connection to this run of the target, unless another run has replaced it.
    pub(super) fn keep_idle(
        &mut self,
        target: &TargetName,
        run: TargetRun,
        connection: Option<TargetConnection>,
    ) {
        if let Some(connection) = connection
            && let Some(idle) = self.idle.get_mut(target)
            && idle.run == run
            && idle.connections.len() < MAX_IDLE_PER_TARGET
        {
            idle.connections.push(connection);
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
            let (probe, connection) =
                match TargetConnection::connect(target.address, ReadBuffer::Adaptive, now).await {
                    Ok(connection) => (Probe::Accepted, Some(connection)),
                    Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                        (Probe::Refused, None)
                    }
                    Err(_timeout_or_cut) => (Probe::Unknown, None),
                };
            let command = Command::Probed(Box::new(target), probe, connection);
            let _ended = queue.send(command).await;
        });
    }
}
