//! Gossip items: the state that processes share besides membership.
//!
//! The merge of items is commutative, associative and idempotent, so that lost, late, repeated and
//! reordered datagrams all lead to the same state. Features only put items and read them.

use std::{cmp::Ordering, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    doc::ZoneState,
    id::{DeclarationHash, Fingerprint, Incarnation, Offset, PartId},
    limit::LIMIT_TTL,
    name::{ModelName, MoveName, ProcessName, RouteName, TargetName, TeamName, ZoneName},
    parts::PartMark,
    peer::MemberRecord,
    reports::OpenReport,
};

mod store;

pub use store::ItemStore;

/// Time after which load figures expire, in seconds.
const LOAD_TTL_SECONDS: u64 = 30;
/// Time for which a crash makes requests of the same content suspect, in seconds.
const CRASH_TTL_SECONDS: u64 = 60;
/// Time after which counters that have stopped growing expire, in seconds.
const EVIDENCE_TTL_SECONDS: u64 = 3_600;

/// The decision on a version move. When two processes decide differently, the later variant wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MoveDecision {
    /// The new version may take all traffic.
    Good,
    /// All traffic returns to the old version.
    Faulty,
}

/// The version of a move that a counter belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Arm {
    /// The version that the move replaces.
    Old,
    /// The version that the move introduces.
    New,
}

/// Counters of one version on one route. They never decrease within an incarnation of the agent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Finished requests, including failed and slow ones.
    pub requests: u64,
    /// Requests that failed, among the finished ones.
    pub failures: u64,
    /// Requests whose first token came too late.
    pub slow_first: u64,
    /// Requests with too long a gap between two tokens.
    pub slow_between: u64,
}

impl RequestCounts {
    /// The sum of both, counter by counter.
    #[must_use]
    pub fn plus(self, other: &Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            failures: self.failures.saturating_add(other.failures),
            slow_first: self.slow_first.saturating_add(other.slow_first),
            slow_between: self.slow_between.saturating_add(other.slow_between),
        }
    }

    /// Requests that failed or were slow, at most the number of all requests.
    pub fn failed_or_slow(&self) -> u64 {
        let slow = self.slow_first.saturating_add(self.slow_between);
        self.failures.saturating_add(slow).min(self.requests)
    }
}

/// Identifies an item; items with the same key merge. Keys are ordered by urgency, most urgent
/// first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKey {
    /// The verdict on a move of these versions.
    Verdict(MoveName, DeclarationHash),
    /// The quarantine of requests of this content.
    Quarantine(Fingerprint),
    /// Whether a zone takes work.
    Zone(ZoneName),
    /// The newest configuration record.
    Tip,
    /// Request counters of an agent for one move, version and route.
    Evidence {
        /// The agent that counts.
        agent: ProcessName,
        /// The agent's incarnation; a restart begins new counters.
        incarnation: Incarnation,
        /// Name of the version move whose versions are compared.
        #[serde(rename = "step")]
        move_name: MoveName,
        /// Whether the old or the new version served the requests.
        arm: Arm,
        /// The route of the requests.
        route: RouteName,
    },
    /// Load of a model in a zone.
    ZoneLoad(ModelName, ZoneName),
    /// Load of a model at one agent; sent within the agent's zone only.
    AgentLoad(ModelName, ProcessName),
    /// Requests that a router has open at targets without an agent. Each router sends this item to
    /// the others itself.
    RouterLoad(ProcessName),
    /// A crash of a target while it ran a request of this content.
    Crash(Fingerprint, TargetName),
    /// Crashes of targets that began to answer requests with this prompt part.
    Part(PartId),
    /// The limit that a target states on its requests.
    Limit(TargetName),
}

/// The content of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// The decision on a move; it is never withdrawn.
    Verdict(MoveDecision),
    /// A quarantine is in force when it began after the last clearing and has not run out. All
    /// times are in seconds since the Unix epoch.
    Quarantine {
        /// Start of the latest quarantine.
        since: u64,
        /// End of the latest quarantine.
        until: u64,
        /// Last time when an operator cleared the quarantine, zero for never.
        cleared: u64,
    },
    /// Whether a zone takes work.
    Zone {
        /// Version of the state, raised by each change; the highest one wins.
        version: u64,
        /// The state; at equal versions `Out` wins.
        state: ZoneState,
    },
    /// Offset of the newest valid configuration record and the start of its digest.
    Tip {
        /// Offset of the record in the configuration log.
        offset: Offset,
        /// The first 8 bytes of the record's digest.
        digest: u64,
    },
    /// Request counters of an agent.
    Evidence {
        /// Counters since the start of the agent.
        counts: RequestCounts,
        /// Last growth of a counter, in seconds since the Unix epoch.
        stamp: u64,
    },
    /// Load of a model at an agent or in a zone.
    Load {
        /// When the load was measured, in seconds since the Unix epoch.
        stamp: u64,
        /// Number of requests that run at the agent or in the zone.
        running: u32,
        /// Requests that can run at once.
        capacity: u32,
    },
    /// Open requests of a router by target.
    Open {
        /// The router's incarnation.
        incarnation: Incarnation,
        /// When the report was made, in seconds since the Unix epoch.
        stamp: u64,
        /// The report; within an incarnation the one with the highest number wins.
        report: OpenReport,
    },
    /// A crash of a target while it ran a request.
    Crash {
        /// When the target crashed, in seconds since the Unix epoch.
        stamp: u64,
        /// The team that sent the request.
        team: TeamName,
    },
    /// Crashes counted against a prompt part.
    Part {
        /// Last change of the mark, in seconds since the Unix epoch.
        stamp: u64,
        /// The crashes.
        mark: PartMark,
    },
    /// The limit that a target states on the requests of all routers.
    Limit(HeardLimit),
}

/// What a target states about the requests that it takes. Of two statements the one of the later
/// incarnation holds, then the one that was heard later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HeardLimit {
    /// The target's incarnation.
    pub incarnation: Incarnation,
    /// When the statement was heard, in milliseconds since the Unix epoch.
    pub stamp_ms: u64,
    /// Requests in 1,000 s; `None` for no limit any more.
    pub per_1000_s: Option<u64>,
}

/// A key and its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The subject of the item.
    pub key: ItemKey,
    /// The content, of the kind that belongs to the key.
    pub value: Value,
}

impl ItemKey {
    /// Whether a change is sent at once rather than in the next round.
    pub fn is_urgent(&self) -> bool {
        match self {
            Self::Verdict(..)
            | Self::Quarantine(_)
            | Self::Zone(_)
            | Self::Tip
            | Self::Crash(..)
            | Self::Part(_) => true,
            Self::Evidence { .. }
            | Self::ZoneLoad(..)
            | Self::AgentLoad(..)
            | Self::RouterLoad(_)
            | Self::Limit(_) => false,
        }
    }

    /// Limit of stored items of this kind.
    fn limit(&self) -> usize {
        match self {
            Self::Verdict(..) => 256,
            Self::Quarantine(_) | Self::ZoneLoad(..) | Self::RouterLoad(_) | Self::Part(_) => 1_024,
            Self::Zone(_) => 128,
            Self::Tip => 1,
            Self::Evidence { .. } => 8_192,
            Self::Crash(..) | Self::Limit(_) => 4_096,
            Self::AgentLoad(..) => 2_048,
        }
    }

    fn kind(&self) -> usize {
        match self {
            Self::Verdict(..) => 0,
            Self::Quarantine(_) => 1,
            Self::Zone(_) => 2,
            Self::Tip => 3,
            Self::Evidence { .. } => 4,
            Self::ZoneLoad(..) => 5,
            Self::AgentLoad(..) => 6,
            Self::RouterLoad(_) => 7,
            Self::Crash(..) => 8,
            Self::Part(_) => 9,
            Self::Limit(_) => 10,
        }
    }

    fn size(&self) -> usize {
        let text = match self {
            Self::Verdict(name, _) => name.as_str().len(),
            Self::Quarantine(_) | Self::Tip | Self::Part(_) => 0,
            Self::Zone(name) => name.as_str().len(),
            Self::Evidence {
                agent,
                move_name,
                route,
                ..
            } => agent.as_str().len() + move_name.as_str().len() + route.as_str().len(),
            Self::ZoneLoad(model, zone) => model.as_str().len() + zone.as_str().len(),
            Self::AgentLoad(model, agent) => model.as_str().len() + agent.as_str().len(),
            Self::RouterLoad(router) => router.as_str().len(),
            Self::Crash(_, target) | Self::Limit(target) => target.as_str().len(),
        };
        // Bytes: kind 1, three lengths 3, incarnation or offset 10, arm 1.
        text + 15
    }
}

impl Value {
    /// Merges `other` into this value; returns whether the value changed. A value of another kind
    /// is ignored.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        match (&mut *self, other) {
            (Self::Verdict(own), Self::Verdict(new)) => *own = (*own).max(*new),
            (
                Self::Quarantine {
                    since,
                    until,
                    cleared,
                },
                Self::Quarantine {
                    since: new_since,
                    until: new_until,
                    cleared: new_cleared,
                },
            ) => {
                *since = (*since).max(*new_since);
                *until = (*until).max(*new_until);
                *cleared = (*cleared).max(*new_cleared);
            }
            (
                Self::Zone { version, state },
                Self::Zone {
                    version: new_version,
                    state: new_state,
                },
            ) => {
                let rank = |state: ZoneState| state == ZoneState::Out;
                if (*new_version, rank(*new_state)) > (*version, rank(*state)) {
                    (*version, *state) = (*new_version, *new_state);
                }
            }
            (
                Self::Tip { offset, digest },
                Self::Tip {
                    offset: new_offset,
                    digest: new_digest,
                },
            ) => (*offset, *digest) = (*offset, *digest).max((*new_offset, *new_digest)),
            (
                Self::Evidence { counts, stamp },
                Self::Evidence {
                    counts: new,
                    stamp: new_stamp,
                },
            ) => {
                counts.requests = counts.requests.max(new.requests);
                counts.failures = counts.failures.max(new.failures);
                counts.slow_first = counts.slow_first.max(new.slow_first);
                counts.slow_between = counts.slow_between.max(new.slow_between);
                *stamp = (*stamp).max(*new_stamp);
            }
            (
                Self::Load {
                    stamp,
                    running,
                    capacity,
                },
                Self::Load {
                    stamp: new_stamp,
                    running: new_running,
                    capacity: new_capacity,
                },
            ) => {
                (*stamp, *running, *capacity) =
                    (*stamp, *running, *capacity).max((*new_stamp, *new_running, *new_capacity));
            }
            (
                Self::Open {
                    incarnation,
                    report,
                    ..
                },
                Self::Open {
                    incarnation: new_incarnation,
                    report: new,
                    ..
                },
            ) if (*new_incarnation, new.number) > (*incarnation, report.number) => {
                *self = other.clone();
            }
            (
                Self::Crash { stamp, .. },
                Self::Crash {
                    stamp: new_stamp, ..
                },
            ) => *stamp = (*stamp).max(*new_stamp),
            (
                Self::Part { stamp, mark },
                Self::Part {
                    stamp: new_stamp,
                    mark: new,
                },
            ) => merge_part((stamp, mark), (*new_stamp, new)),
            (Self::Limit(own), Self::Limit(new)) => *own = (*own).max(*new),
            _ => {}
        }
        *self != before
    }

    /// Whether the value has expired at `unix` seconds since the Unix epoch.
    pub fn is_expired(&self, unix: u64) -> bool {
        match self {
            Self::Verdict(_) | Self::Zone { .. } | Self::Tip { .. } => false,
            Self::Quarantine { until, .. } => *until <= unix,
            Self::Evidence { stamp, .. } => stamp.saturating_add(EVIDENCE_TTL_SECONDS) <= unix,
            Self::Load { stamp, .. } | Self::Open { stamp, .. } => {
                stamp.saturating_add(LOAD_TTL_SECONDS) <= unix
            }
            Self::Crash { stamp, .. } => stamp.saturating_add(CRASH_TTL_SECONDS) <= unix,
            Self::Part { stamp, mark } => stamp.saturating_add(mark.retention().as_secs()) <= unix,
            Self::Limit(heard) => {
                (heard.stamp_ms / 1_000).saturating_add(LIMIT_TTL.as_secs()) <= unix
            }
        }
    }

    fn matches_key(&self, key: &ItemKey) -> bool {
        matches!(
            (key, self),
            (ItemKey::Verdict(..), Self::Verdict(_))
                | (ItemKey::Quarantine(_), Self::Quarantine { .. })
                | (ItemKey::Zone(_), Self::Zone { .. })
                | (ItemKey::Tip, Self::Tip { .. })
                | (ItemKey::Evidence { .. }, Self::Evidence { .. })
                | (
                    ItemKey::ZoneLoad(..) | ItemKey::AgentLoad(..),
                    Self::Load { .. }
                )
                | (ItemKey::Crash(..), Self::Crash { .. })
                | (ItemKey::RouterLoad(_), Self::Open { .. })
                | (ItemKey::Part(_), Self::Part { .. })
                | (ItemKey::Limit(_), Self::Limit(_))
        )
    }

    fn size(&self) -> usize {
        1 + match self {
            Self::Verdict(_) => 1,
            Self::Zone { .. } => 14,
            Self::Quarantine { .. } => 30,
            Self::Tip { .. } | Self::Load { .. } => 20,
            Self::Evidence { .. } => 50,
            Self::Crash { team, .. } => 11 + team.as_str().len(),
            Self::Open { report, .. } => 35 + report.size(),
            Self::Part { mark, .. } => 11 + mark.size(),
            Self::Limit(_) => 31,
        }
    }
}

/// Merges a mark of a prompt part and the time of its last change.
fn merge_part((stamp, mark): (&mut u64, &mut PartMark), (new_stamp, new): (u64, &PartMark)) {
    let rank = |mark: &PartMark| (mark.epoch, mark.crashes);
    match rank(new).cmp(&rank(mark)) {
        Ordering::Less => {}
        Ordering::Equal => *stamp = (*stamp).max(new_stamp),
        Ordering::Greater => *stamp = new_stamp,
    }
    mark.merge(new);
}

impl Item {
    /// An upper bound of the encoded length, in bytes.
    pub fn size(&self) -> usize {
        self.key.size() + self.value.size()
    }
}

/// The purpose of a packet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PacketKind {
    /// Changes of a round, or a probe; the receiver answers with an `Ack` of the same number.
    Push(u32),
    /// Urgent changes; not answered.
    Urgent,
    /// Answer to the `Push` with this number.
    Ack(u32),
    /// Request to probe a third process.
    Ask {
        /// Number of the probe, which the answer repeats.
        probe: u32,
        /// Where the third process receives datagrams.
        address: SocketAddr,
    },
    /// Answer to the `Ask` with this number: the third process answered the probe.
    Relayed(u32),
}

/// The content of one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The purpose of the packet.
    pub kind: PacketKind,
    /// The sender's own record.
    pub from: MemberRecord,
    /// Records of other processes.
    pub records: Vec<MemberRecord>,
    /// Gossip items that the sender passes on.
    pub items: Vec<Item>,
}

/// Largest datagram, in bytes. It is below the smallest known MTU of links between zones.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Largest packet in a datagram, in bytes. The rest holds the keyed hash, wire versions,
/// incarnation and counter.
pub const MAX_PACKET_BYTES: usize = MAX_DATAGRAM_BYTES - 48;

impl Packet {
    /// An upper bound of the encoded length of a packet without records and items, in bytes.
    pub fn head_size(from: &MemberRecord) -> usize {
        // Bytes: kind with number and IPv6 address 26, two lengths 4.
        from.size() + 30
    }
}
