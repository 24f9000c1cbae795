//! Decides with which routers a router shares the limits that apply to the whole fleet.
//!
//! Every router uses one part in N of a limit. The sum over all routers stays within the limit as long as
//! each N counts all that use a part. So a router that is silent counts, since it may still send, and a
//! router that starts uses no part before it knows the others and they have heard of it. It reads the
//! others from the roster, the list of routers in the platform's store.

use std::{
    collections::{HashMap, HashSet},
    num::NonZeroU32,
    time::Duration,
};

use derive_more::Display;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::{membership::KnownRouter, name::ProcessName, time::Time};

/// Time after which the others have heard of a router whose record is in the roster, by gossip.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);
/// Time after which the first router of a roster reads it again. Those that start with it still wait
/// then, and gossip may not have reached it yet.
const FIRST_SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time after its start from which the first router of a fleet uses no part until it has read the roster
/// again. The others begin to use theirs [`SETTLE_TIME`] after their records are written, and a part that
/// has ended may be in use for 300 ms more.
const FIRST_USE_TIME: Duration = Duration::from_millis(2_200);
/// Time of gossip after which the membership table counts as complete, if the roster cannot be written
/// or read once more.
const GOSSIP_SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time for which a router counts that has announced that it leaves and no longer runs. It may be
/// starting again.
const LEFT_RETENTION: Duration = Duration::from_secs(300);
/// Largest age of a roster record that counts.
const MAX_RECORD_AGE: Duration = Duration::from_hours(24);
/// Time after which a running router counts by its membership table alone. The table keeps a silent
/// router for as long.
const ROSTER_TIME: Duration = Duration::from_mins(15);
/// Interval at which a running router writes its roster record again. Two writes may fail before the
/// record no longer counts.
pub const REWRITE_INTERVAL: Duration = Duration::from_hours(8);

/// What a router knows of those with which it shares the limits of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetShare {
    /// Number of routers that may use the limits, this one included.
    pub routers: NonZeroU32,
    /// When this run of the router started.
    pub started_at: Time,
    /// Time from the start of this router's run before to that of this one; `None` if it has not run
    /// before. Zero if that is not known, or if a run after this one could not know of it.
    pub earlier_run: Option<Duration>,
}

impl FleetShare {
    /// The part of a router that has run for long among `routers` routers; zero counts as one.
    pub fn settled(routers: u32) -> Self {
        Self {
            routers: NonZeroU32::new(routers).unwrap_or(NonZeroU32::MIN),
            started_at: Time::ZERO,
            earlier_run: None,
        }
    }
}

/// What a router's part in the limits of the fleet was decided on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ShareBasis {
    /// Nothing yet: the router waits until it and the others know each other.
    #[default]
    Waiting,
    /// The roster and the membership table.
    Roster,
    /// The membership table.
    Membership,
    /// A number that was set, for a router without membership.
    Fixed,
}

/// A router's part in the limits of the fleet, and its place among those with which it shares them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetPart {
    /// The part; `None` while it is not known.
    pub share: Option<FleetShare>,
    /// Number of routers that precede this one in taking turns; `None` if there is no order of them.
    pub rank: Option<u32>,
    /// What the part was decided on.
    pub basis: ShareBasis,
}

impl FleetPart {
    /// The part of a router that has run for long among `routers` routers without an order.
    pub fn fixed(routers: u32) -> Self {
        Self {
            share: Some(FleetShare::settled(routers)),
            rank: None,
            basis: ShareBasis::Fixed,
        }
    }

    /// Whether the number of routers, the rank and the basis are those of `other`.
    pub fn is_like(&self, other: &Self) -> bool {
        (self.routers(), self.rank, self.basis) == (other.routers(), other.rank, other.basis)
    }

    /// Number of routers that share the limits; `None` while it is not known.
    pub fn routers(&self) -> Option<u32> {
        self.share.map(|share| share.routers.get())
    }
}

/// A router's record in the roster, with times since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterEntry {
    /// Name of the router.
    pub name: ProcessName,
    /// When the run started that wrote the record.
    pub started: Duration,
    /// When the record was written.
    pub written: Duration,
}

/// What the first list of the roster shows of a router that starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// No router has run before it.
    First,
    /// It has run so recently that all others still count it.
    Returning,
    /// The others may not know it.
    New,
}

/// The routers with which a router shares the limits of the fleet, as far as it knows.
#[derive(Debug)]
pub struct Fleet {
    own: ProcessName,
    started_at: Time,
    /// The same as time since the Unix epoch.
    started: Duration,
    /// `None` until the roster has been read.
    origin: Option<Origin>,
    earlier_run: Option<Duration>,
    /// Names of other routers in the roster.
    roster: HashSet<ProcessName>,
    /// Other routers in the membership table, with the time since which one is known to have left.
    members: HashMap<ProcessName, Option<Time>>,
    /// Since when gossip of others has been arriving without a pause.
    fresh_since: Option<Time>,
    /// Whether the record of this run is in the roster.
    is_recorded: bool,
    /// Whether the roster has been read again.
    has_later_list: bool,
    /// Whether the others are known and count this router.
    is_settled: bool,
}

impl Fleet {
    /// Creates the state of the router `own`, which starts at `started_at` and knows no other one.
    /// `started` is the same as time since the Unix epoch.
    pub fn new(own: ProcessName, started_at: Time, started: Duration) -> Self {
        Self {
            own,
            started_at,
            started,
            origin: None,
            earlier_run: None,
            roster: HashSet::new(),
            members: HashMap::new(),
            fresh_since: None,
            is_recorded: false,
            has_later_list: false,
            is_settled: false,
        }
    }

    /// Records the roster as it was before this run wrote its record. `is_first` tells that no router
    /// has ever used it. Returns after which time the roster has to be read again, counted from the
    /// moment at which the own record is written; `None` if it does not.
    pub fn record_first_list(&mut self, list: &[RosterEntry], is_first: bool) -> Option<Duration> {
        self.add_to_roster(list, self.started);
        let own = list.iter().find(|entry| entry.name == self.own);
        // A record from the future shows that a clock is wrong, not how long ago the run was.
        let since_start = own.map(|entry| self.started.checked_sub(entry.started));
        self.earlier_run = since_start.map(Option::unwrap_or_default);
        let origin = match since_start {
            // An earlier run that left did so after its start.
            Some(Some(earlier)) if earlier < LEFT_RETENTION => Origin::Returning,
            None if is_first => Origin::First,
            _ => Origin::New,
        };
        self.origin = Some(origin);
        match origin {
            Origin::Returning => None,
            Origin::First => Some(FIRST_SETTLE_TIME),
            Origin::New => Some(SETTLE_TIME),
        }
    }

    /// Records the roster as it is after the time that [`Self::record_first_list`] returned. `unix` is
    /// the time since the Unix epoch.
    pub fn record_later_list(&mut self, list: &[RosterEntry], unix: Duration) {
        self.add_to_roster(list, unix);
        self.has_later_list = true;
    }

    /// Records that the record of this run is in the roster.
    pub fn record_written(&mut self) {
        self.is_recorded = true;
    }

    /// Records the routers in the membership table. `is_fresh` is false until gossip has arrived after
    /// a start or pause.
    pub fn record_members(&mut self, routers: &[KnownRouter], is_fresh: bool, now: Time) {
        let others = routers.iter().filter(|router| router.name != self.own);
        let members = others.map(|router| {
            let known = self.members.get(&router.name).copied().flatten();
            let left_since = router.has_left.then(|| known.unwrap_or(now));
            (router.name.clone(), left_since)
        });
        self.members = members.collect();
        // An empty table counts as fresh, but shows nothing of the others.
        let hears_others = is_fresh && !self.members.is_empty();
        self.fresh_since = hears_others.then(|| self.fresh_since.unwrap_or(now));
    }

    /// The router's part now.
    pub fn part(&mut self, now: Time) -> FleetPart {
        if !self.is_settled(now) {
            return FleetPart::default();
        }
        let uses_roster = now.since(self.started_at) < ROSTER_TIME;
        let members = self.members.iter();
        let members = members.filter(|(_, left)| !has_lapsed(**left, now));
        let members = members.map(|(name, _)| name);
        let roster = self.roster.iter();
        let roster = roster.filter(|name| uses_roster && !self.members.contains_key(*name));
        let own = turn_order(&self.own);
        let (mut routers, mut rank) = (NonZeroU32::MIN, 0);
        for name in members.chain(roster) {
            routers = routers.saturating_add(1);
            rank += u32::from(turn_order(name) < own);
        }
        FleetPart {
            share: Some(FleetShare {
                routers,
                started_at: self.started_at,
                earlier_run: if self.is_recorded {
                    self.earlier_run
                } else {
                    Some(Duration::ZERO)
                },
            }),
            rank: Some(rank),
            basis: if uses_roster {
                ShareBasis::Roster
            } else {
                ShareBasis::Membership
            },
        }
    }

    /// Whether the router may take requests of callers: it uses its part, or has run before, so that the
    /// callers should not have to wait for it.
    pub fn is_ready(&mut self, now: Time) -> bool {
        self.earlier_run.is_some() || self.is_settled(now)
    }

    fn is_settled(&mut self, now: Time) -> bool {
        let gossips_for = |least| {
            self.fresh_since
                .is_some_and(|since| now.since(since) >= least)
        };
        self.is_settled |= match self.origin {
            None => false,
            Some(Origin::Returning) => true,
            Some(Origin::First | Origin::New) => {
                self.has_later_list || gossips_for(GOSSIP_SETTLE_TIME)
            }
        };
        let is_alone =
            self.origin == Some(Origin::First) && now.since(self.started_at) < FIRST_USE_TIME;
        self.is_settled || is_alone
    }

    fn add_to_roster(&mut self, list: &[RosterEntry], unix: Duration) {
        let counted = list.iter().filter(|entry| {
            entry.name != self.own && unix.saturating_sub(entry.written) < MAX_RECORD_AGE
        });
        self.roster.extend(counted.map(|entry| entry.name.clone()));
    }
}

fn has_lapsed(left_since: Option<Time>, now: Time) -> bool {
    left_since.is_some_and(|since| now.since(since) >= LEFT_RETENTION)
}

/// Key by which routers take turns. Routers of a zone, which have similar names, are not next to each
/// other: while they hear later of a change than others do, the turns of both orders overlap little.
fn turn_order(name: &ProcessName) -> (u64, &ProcessName) {
    (xxh3_64(name.as_str().as_bytes()), name)
}
