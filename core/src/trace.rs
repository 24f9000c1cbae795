//! Changes in a router's beliefs about targets and requests, for the log.

use std::{sync::Arc, time::Duration};

use crate::{
    id::{Fingerprint, PartId},
    name::TargetName,
};

/// A change that the target selector made, with the inputs that decided it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TraceEvent {
    /// A target crashed, and a request that had been running there is suspected.
    Crash {
        /// The target that crashed.
        target: TargetName,
        /// Hash of the request's team and content.
        content: Fingerprint,
        /// Shared parts of the request's prompt.
        parts: Arc<[PartId]>,
        /// Time between the break of the request's connection and the detection of the crash.
        broken_for: Duration,
    },
}
