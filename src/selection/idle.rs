//! Idle connections to targets.

use std::net::SocketAddr;

use ebonyfall_core::{id::Incarnation, name::TargetName, target::TargetRecord};

use super::Task;
use crate::upstream::TargetConnection;

/// Maximum number of idle connections kept for each target.
const MAX_IDLE_PER_TARGET: usize = 32;

/// A run of a target, and the address at which it is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
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
}
