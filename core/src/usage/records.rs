//! Records of the stream that holds the reporting lease and the decided reports.

use std::{collections::BTreeMap, net::IpAddr};

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use super::window::{CountChange, WindowId};
use crate::{
    id::{Incarnation, Offset},
    name::{ProcessName, TeamName},
};

/// Fencing token of a holder; later holders have greater ones.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
pub struct FenceToken(u64);

impl FenceToken {
    /// The token of a claim that is appended at `at`. It is known before the append, since the
    /// append succeeds only at this offset.
    pub fn of_claim(at: Offset) -> Self {
        Self(at.next().into())
    }
}

/// One run of a router that may hold the lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderId {
    /// Name of the router.
    pub name: ProcessName,
    /// Address of its machine, by which the platform identifies holders.
    pub address: IpAddr,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// Record of a claim, a renewal or a release of the lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// Holder that wrote the record.
    pub holder: HolderId,
    /// Token of the holder.
    pub token: FenceToken,
    /// Whether the holder has given up the lease.
    pub released: bool,
    /// Place of the holder among the live routers, from which others derive who is the candidate.
    pub rank: Option<usize>,
    /// Machines that held the lease before and may have acted within one lease time.
    pub previous: Vec<IpAddr>,
    /// First window that is reported, if none has been recorded yet.
    pub first: WindowId,
    /// Newest window up to which the platform has acknowledged all recorded decisions.
    pub acknowledged: Option<WindowId>,
}

/// Report of one window, recorded before it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Window that is reported.
    pub window: WindowId,
    /// Number of requests of each team.
    pub counts: BTreeMap<TeamName, u64>,
    /// Token of the holder that recorded the decision.
    pub token: FenceToken,
    /// Newest window up to which the platform has acknowledged all recorded decisions.
    pub acknowledged: Option<WindowId>,
}

/// Content of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UsageRecord {
    /// Claim, renewal or release of the lease.
    Holder(HolderRecord),
    /// Decided report.
    Decision(Decision),
    /// Counts that have changed since the last such record.
    Counts(Vec<CountChange>),
}

/// Call of the store that the holder or a candidate makes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Read the newest record of each key, and the end of the stream.
    Newest,
    /// Read the records from this offset on.
    Read(Offset),
    /// Append the record if the stream ends at the offset.
    Append(Offset, UsageRecord),
}

/// Outcome of a [`StoreCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAnswer {
    /// Records in the order of their offsets, up to `next`; the stream ends at `end`.
    Records {
        /// The records that could be decoded.
        records: Vec<UsageRecord>,
        /// Offset after the last record that was read.
        next: Offset,
        /// Offset that the next record of the stream will get.
        end: Offset,
    },
    /// The record was appended at this offset.
    Appended(Offset),
    /// The stream ends elsewhere; nothing was appended.
    Conflict,
    /// The records to be read have expired.
    Expired,
    /// The store refused the call, or no answer came; an append may take effect later.
    Lost,
}
