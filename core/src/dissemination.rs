//! What travels between processes besides membership: items that merge in any order.
//!
//! Each item's merge is commutative, associative and idempotent, so that lost, late, repeated and
//! reordered datagrams all lead to the same state. Owners of a feature only put and read items.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    ops::Bound::{Excluded, Unbounded},
};

use serde::{Deserialize, Serialize};

use crate::{
    doc::ZoneState,
    id::{Declaration, Fingerprint, Incarnation, Offset},
    name::{ModelName, MoveName, ProcessName, RouteName, TargetName, TeamName, ZoneName},
    peer::MemberRecord,
    reports::OpenReport,
};

/// Time after which load figures say nothing any more, in seconds.
const LOAD_TTL_SECONDS: u64 = 30;
/// Time after which a crash counts against no request any more, in seconds.
const CRASH_TTL_SECONDS: u64 = 60;
/// Time after which counters that no longer grow are dropped, in seconds.
const EVIDENCE_TTL_SECONDS: u64 = 3_600;

/// The decision on a version move; the later one in this order wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The new version may take all traffic.
    Good,
    /// All traffic returns to the old version.
    Faulty,
}

/// Which version of a move a counter belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Arm {
    /// The version that is replaced.
    Old,
    /// The version that replaces it.
    New,
}

/// Counters of one version on one route; each only grows within an incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Finished requests.
    pub requests: u64,
    /// Failed requests.
    pub failures: u64,
    /// Requests whose first token was late.
    pub slow_first: u64,
    /// Requests with a long gap between tokens.
    pub slow_between: u64,
}

impl Counts {
    /// Both together.
    #[must_use]
    pub fn plus(self, other: &Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            failures: self.failures.saturating_add(other.failures),
            slow_first: self.slow_first.saturating_add(other.slow_first),
            slow_between: self.slow_between.saturating_add(other.slow_between),
        }
    }

    /// Requests that failed or were slow.
    pub fn failed_or_slow(&self) -> u64 {
        let slow = self.slow_first.saturating_add(self.slow_between);
        self.failures.saturating_add(slow).min(self.requests)
    }
}

/// Identifies an item; items of one key merge. The order is that of urgency.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKey {
    /// The verdict on a move of these versions.
    Verdict(MoveName, Declaration),
    /// A quarantined request.
    Quarantine(Fingerprint),
    /// Whether a zone takes work.
    Zone(ZoneName),
    /// The newest configuration.
    Tip,
    /// Counters of an agent.
    Evidence {
        /// The agent.
        agent: ProcessName,
        /// Its start.
        incarnation: Incarnation,
        /// The move.
        step: MoveName,
        /// The version.
        arm: Arm,
        /// The route.
        route: RouteName,
    },
    /// Load of a model in a zone.
    ZoneLoad(ModelName, ZoneName),
    /// Load of one agent; travels within its zone only.
    AgentLoad(ModelName, ProcessName),
    /// Requests that a router has open at targets without an agent; each router tells the others
    /// itself.
    RouterLoad(ProcessName),
    /// A crash of a target while it ran a request of this content.
    Crash(Fingerprint, TargetName),
}

/// What an item says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// The decision; it is never withdrawn.
    Verdict(Verdict),
    /// A quarantine is in force when it began after the last clearing and has not run out. All
    /// times are in seconds since the Unix epoch.
    Quarantine {
        /// When it began.
        since: u64,
        /// When it ends.
        until: u64,
        /// When an operator last cleared it, zero for never.
        cleared: u64,
    },
    /// State of a zone.
    Zone {
        /// Grows with each change.
        version: u64,
        /// The state.
        state: ZoneState,
    },
    /// Offset of the newest valid configuration record and the start of its digest.
    Tip {
        /// The offset.
        offset: Offset,
        /// The first 8 bytes of the digest.
        digest: u64,
    },
    /// Counters, with the time of the last change in seconds since the Unix epoch.
    Evidence {
        /// The counters.
        counts: Counts,
        /// When they last grew.
        stamp: u64,
    },
    /// Load, with the time of the reading in seconds since the Unix epoch.
    Load {
        /// When it was read.
        stamp: u64,
        /// Requests running.
        running: u32,
        /// Requests that can run at once.
        capacity: u32,
    },
    /// Open requests by target.
    Open {
        /// The router's start.
        incarnation: Incarnation,
        /// When it was made, in seconds since the Unix epoch.
        stamp: u64,
        /// The requests.
        report: OpenReport,
    },
    /// A crash, with its time in seconds since the Unix epoch and the team that sent the request.
    Crash {
        /// When the target crashed.
        stamp: u64,
        /// The team.
        team: TeamName,
    },
}

/// A key with what is known of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// What the item is about.
    pub key: ItemKey,
    /// What it says.
    pub value: Value,
}

impl ItemKey {
    /// Whether a change is sent at once instead of with the next round.
    pub fn is_urgent(&self) -> bool {
        match self {
            Self::Verdict(..)
            | Self::Quarantine(_)
            | Self::Zone(_)
            | Self::Tip
            | Self::Crash(..) => true,
            Self::Evidence { .. }
            | Self::ZoneLoad(..)
            | Self::AgentLoad(..)
            | Self::RouterLoad(_) => false,
        }
    }

    /// Most items of this kind that are kept.
    fn limit(&self) -> usize {
        match self {
            Self::Verdict(..) => 256,
            Self::Quarantine(_) | Self::ZoneLoad(..) | Self::RouterLoad(_) => 1_024,
            Self::Zone(_) => 128,
            Self::Tip => 1,
            Self::Evidence { .. } => 8_192,
            Self::Crash(..) => 4_096,
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
        }
    }

    fn size(&self) -> usize {
        let text = match self {
            Self::Verdict(name, _) => name.as_str().len(),
            Self::Quarantine(_) | Self::Tip => 0,
            Self::Zone(name) => name.as_str().len(),
            Self::Evidence {
                agent, step, route, ..
            } => agent.as_str().len() + step.as_str().len() + route.as_str().len(),
            Self::ZoneLoad(model, zone) => model.as_str().len() + zone.as_str().len(),
            Self::AgentLoad(model, agent) => model.as_str().len() + agent.as_str().len(),
            Self::RouterLoad(router) => router.as_str().len(),
            Self::Crash(_, target) => target.as_str().len(),
        };
        // Kind 1, three lengths 3, incarnation or offset 10, arm 1.
        text + 15
    }
}

impl Value {
    /// Takes over what `other` knows better; true when that changed anything. Values of different
    /// kinds under one key are ignored.
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
            _ => {}
        }
        *self != before
    }

    /// Whether the value says nothing any more at `unix` seconds since the Unix epoch.
    pub fn is_expired(&self, unix: u64) -> bool {
        match self {
            Self::Verdict(_) | Self::Zone { .. } | Self::Tip { .. } => false,
            Self::Quarantine { until, .. } => *until <= unix,
            Self::Evidence { stamp, .. } => stamp.saturating_add(EVIDENCE_TTL_SECONDS) <= unix,
            Self::Load { stamp, .. } | Self::Open { stamp, .. } => {
                stamp.saturating_add(LOAD_TTL_SECONDS) <= unix
            }
            Self::Crash { stamp, .. } => stamp.saturating_add(CRASH_TTL_SECONDS) <= unix,
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
        }
    }
}

impl Item {
    /// An upper bound of the encoded length, in bytes.
    pub fn size(&self) -> usize {
        self.key.size() + self.value.size()
    }
}

/// Items known to a process, a bounded number of each kind.
#[derive(Debug, Clone, Default)]
pub struct ItemStore {
    items: BTreeMap<ItemKey, Value>,
    counts: [usize; 9],
}

impl ItemStore {
    /// Merges an item; true when it changed the store. An item that does not fit its key, has
    /// expired, or is beyond the limit of its kind is refused.
    pub fn merge(&mut self, item: &Item, unix: u64) -> bool {
        if !item.value.matches_key(&item.key) || item.value.is_expired(unix) {
            return false;
        }
        if let Some(value) = self.items.get_mut(&item.key) {
            return value.merge(&item.value);
        }
        let kind = item.key.kind();
        if self.counts[kind] >= item.key.limit() {
            return false;
        }
        self.counts[kind] += 1;
        self.items.insert(item.key.clone(), item.value.clone());
        true
    }

    /// Drops expired items.
    pub fn expire(&mut self, unix: u64) {
        let counts = &mut self.counts;
        self.items.retain(|key, value| {
            let keep = !value.is_expired(unix);
            counts[key.kind()] -= usize::from(!keep);
            keep
        });
    }

    /// What is known of `key`.
    pub fn get(&self, key: &ItemKey) -> Option<&Value> {
        self.items.get(key)
    }

    /// Every item, most urgent kinds first.
    pub fn iter(&self) -> impl Iterator<Item = (&ItemKey, &Value)> {
        self.items.iter()
    }

    /// Items after `key`, in order.
    pub fn after<'s>(
        &'s self,
        key: Option<&ItemKey>,
    ) -> impl Iterator<Item = (&'s ItemKey, &'s Value)> + use<'s> {
        match key {
            Some(key) => self.items.range((Excluded(key.clone()), Unbounded)),
            None => self.items.range::<ItemKey, _>(..),
        }
    }

    /// The number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Whether a request is quarantined at `unix` seconds since the Unix epoch.
    pub fn is_quarantined(&self, fingerprint: Fingerprint, unix: u64) -> bool {
        match self.get(&ItemKey::Quarantine(fingerprint)) {
            Some(Value::Quarantine {
                since,
                until,
                cleared,
            }) => since > cleared && unix < *until,
            _ => false,
        }
    }

    /// Requests that are quarantined at `unix` seconds since the Unix epoch.
    pub fn quarantined(&self, unix: u64) -> impl Iterator<Item = Fingerprint> {
        let keys = self.items.keys().filter_map(|key| match key {
            ItemKey::Quarantine(fingerprint) => Some(*fingerprint),
            _ => None,
        });
        keys.filter(move |fingerprint| self.is_quarantined(*fingerprint, unix))
    }

    /// Running requests and capacity of `model` over all zones, from the zones' sums.
    pub fn load(&self, model: &ModelName) -> (u64, u64) {
        let sums = self
            .items
            .iter()
            .filter_map(|(key, value)| match (key, value) {
                (
                    ItemKey::ZoneLoad(found, _),
                    Value::Load {
                        running, capacity, ..
                    },
                ) if found == model => Some((u64::from(*running), u64::from(*capacity))),
                _ => None,
            });
        sums.fold((0, 0), |sum, (running, capacity)| {
            (sum.0 + running, sum.1 + capacity)
        })
    }
}

/// Why a packet is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PacketKind {
    /// Changes; the receiver answers with an `Ack` of the same number.
    Push(u32),
    /// Changes that cannot wait; not answered.
    Urgent,
    /// The answer to a `Push`.
    Ack(u32),
    /// Asks the receiver to probe a third process.
    Ask {
        /// Number that the answer repeats.
        probe: u32,
        /// Where the third process takes datagrams.
        address: SocketAddr,
    },
    /// The third process answered.
    Relayed(u32),
}

/// The content of one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Why it is sent.
    pub kind: PacketKind,
    /// The sender.
    pub from: MemberRecord,
    /// What the sender knows of processes.
    pub records: Vec<MemberRecord>,
    /// What else it knows.
    pub items: Vec<Item>,
}

/// Largest datagram, in bytes: below the smallest MTU that links between zones are known to have.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Room for a packet in a datagram: the rest is the keyed hash, versions, incarnation and counter.
pub const MAX_PACKET_BYTES: usize = MAX_DATAGRAM_BYTES - 48;

impl Packet {
    /// An upper bound of the encoded length of a packet without records and items, in bytes.
    pub fn head_size(from: &MemberRecord) -> usize {
        // Kind with number and IPv6 address 26, two lengths 4.
        from.size() + 30
    }
}
