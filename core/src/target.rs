//! Records that targets register with the store, and loads that they report with answers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    id::Incarnation,
    name::{ServiceName, TargetName, ZoneName},
};

/// Stage of a target's lifetime, as stated in its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The target accepts new requests.
    Ready,
    /// The target finishes its running requests, accepts no new ones and then leaves.
    Draining,
}

/// Entry of a target in the list of targets, written by the target itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// Name of the target, unique among all services; a restarted target may keep it.
    pub name: TargetName,
    /// Service that the target runs.
    pub service: ServiceName,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Availability zone in which the target runs.
    pub zone: ZoneName,
    /// Version of the target's software; version moves shift traffic between versions.
    pub version: Arc<str>,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub stage: Stage,
    /// Time from the arrival of the record for which the target is cold and gets a limited rate of
    /// requests. Zero if it is warm.
    pub cold: Duration,
    /// Identifies one run of the target; it changes with a restart under the same name.
    pub incarnation: Incarnation,
}

/// Load that a target reports with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReportedLoad {
    /// Requests that the target is running.
    pub running: u32,
    /// Requests that wait at the target for a free slot.
    pub waiting: u32,
    /// Requests that the target runs concurrently; `None` if it states none.
    pub slots: Option<u32>,
    /// How long work takes at this moment, as a multiple of the usual time, from 0.2 to 20; `None`
    /// if the target states nothing usable.
    pub slowness: Option<f64>,
}
