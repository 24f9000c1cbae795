//! What a target says of itself.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    id::Incarnation,
    name::{ServiceName, TargetName, ZoneName},
};

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// An entry of the list of targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// The target.
    pub name: TargetName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Version of its software.
    pub version: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub stage: Stage,
    /// Time for which it stays cold after the record was written.
    pub cold: Duration,
    /// Its life; a restarted target has another one, also under the same name.
    pub incarnation: Incarnation,
}

/// Load that a target names in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
}
