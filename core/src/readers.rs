//! Decides which routers read the store's streams themselves, and which follow those.
//!
//! Calls of the store would otherwise grow with the number of routers. A few routers of each zone
//! read the store, and the others read from these. Every router derives its part from the
//! membership alone. Routers that disagree for a moment cost a call more or a step more; how old a
//! router's state may be is checked by the router that uses the state.

use std::{net::SocketAddr, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::{name::ProcessName, time::Time};

/// Routers of each zone that read the store. Two, so that the others have one left when one is
/// replaced.
pub const ZONE_READERS: usize = 2;
/// Shortest time for which a router reads the store itself after a read from another router failed.
const MIN_FALLBACK: Duration = Duration::from_secs(2);
/// Random part of that time, so that routers do not return to a reader together.
const FALLBACK_SPREAD: Duration = Duration::from_secs(2);

/// Bounds on the age of the operators' orders in a router that reaches the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderBounds {
    /// Time after which a changed order must be in force.
    pub apply: Duration,
    /// Time after which a revoked key must be refused.
    pub revocation: Duration,
}

/// Times with which routers of a zone read the operators' orders from one another.
///
/// A change may come right after the last confirmation of a reader that then loses the store. Its
/// followers have the change after `max_age`, a read of the reader that gets no answer, and a read of
/// the store. The sum has to stay below [`OrderBounds::apply`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowTimes {
    /// Age of the orders from which a router reads them from the store instead of a reader.
    pub max_age: Duration,
    /// Longest wait for a record in a call of the store by a router that no other one follows. It bounds
    /// the time until a connection without any answer is found.
    pub store_wait: Duration,
    /// Longest wait for a record in a reader's call of the store.
    pub reader_wait: Duration,
    /// Longest wait for a record in a follower's read.
    pub follow_wait: Duration,
}

impl FollowTimes {
    /// Maximum age as a percentage of the time within which a change must be in force. More than half
    /// is left for reads that fail or transfer a long state.
    const AGE_PERCENT_OF_APPLY: u32 = 45;
    /// The same of the time within which a revoked key must be refused.
    const AGE_PERCENT_OF_REVOCATION: u32 = 48;
    /// Longest wait of a reader, as a percentage of the maximum age: a follower must not leave a reader
    /// that is about to confirm its orders.
    const READER_WAIT_PERCENT: u32 = 67;
    /// Longest wait of a follower, in the same unit.
    const FOLLOW_WAIT_PERCENT: u32 = 37;
    /// Upper limit of the wait of a router that no other one follows.
    const MAX_STORE_WAIT: Duration = Duration::from_millis(1_800);
    /// Upper limit of a reader's wait.
    const MAX_READER_WAIT: Duration = Duration::from_millis(900);
    /// Upper limit of a follower's wait.
    const MAX_FOLLOW_WAIT: Duration = Duration::from_millis(500);

    /// Derives the times from the bounds on the age of the orders.
    pub fn new(bounds: OrderBounds) -> Self {
        let max_age = (bounds.apply * Self::AGE_PERCENT_OF_APPLY / 100)
            .min(bounds.revocation * Self::AGE_PERCENT_OF_REVOCATION / 100);
        let reader_wait = max_age * Self::READER_WAIT_PERCENT / 100;
        let follow_wait = max_age * Self::FOLLOW_WAIT_PERCENT / 100;
        Self {
            max_age,
            store_wait: max_age.min(Self::MAX_STORE_WAIT),
            reader_wait: reader_wait.min(Self::MAX_READER_WAIT),
            follow_wait: follow_wait.min(Self::MAX_FOLLOW_WAIT),
        }
    }
}

/// A router among those of its zone or of the fleet. The order of routers is the same in every process and does not
/// follow their names, so that routers that are started in turn are not readers in turn.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneRouter {
    rank: u64,
    /// Name of the router.
    pub name: ProcessName,
    /// Address at which the router serves reads of its copies of the streams.
    pub address: SocketAddr,
}

impl ZoneRouter {
    /// Creates the entry of the router `name`.
    pub fn new(name: ProcessName, address: SocketAddr) -> Self {
        Self {
            rank: xxh3_64(name.as_str().as_bytes()),
            name,
            address,
        }
    }
}

/// Where a router reads a stream next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// The reader at this address.
    Reader(SocketAddr),
}

/// Whether the router `own` reads the store for others. `routers` are the routers of its zone,
/// sorted.
pub fn has_followers(own: &ProcessName, routers: &[ZoneRouter]) -> bool {
    let is_reader = routers
        .iter()
        .take(ZONE_READERS)
        .any(|router| router.name == *own);
    is_reader && routers.len() > ZONE_READERS
}

/// Chooses the source of one stream for one router.
#[derive(Debug, Clone)]
pub struct SourceChoice {
    max_age: Duration,
    store_until: Time,
}

impl SourceChoice {
    /// Creates a choice that prefers the store once the state is `max_age` old.
    pub fn new(max_age: Duration) -> Self {
        Self {
            max_age,
            store_until: Time::ZERO,
        }
    }

    /// Returns the source of the next read of the router `own`. `routers` are the routers of its
    /// zone, sorted, and empty while they are not known. `confirmed` is when the router's state was
    /// last known to be current.
    pub fn source(
        &self,
        own: &ProcessName,
        routers: &[ZoneRouter],
        confirmed: Option<Time>,
        now: Time,
    ) -> Source {
        let readers = &routers[..routers.len().min(ZONE_READERS)];
        let is_known = routers.iter().any(|router| router.name == *own);
        let is_reader = readers.iter().any(|reader| reader.name == *own);
        if !is_known || is_reader || now < self.store_until || !self.is_recent(confirmed, now) {
            return Source::Store;
        }
        let turn = xxh3_64(own.as_str().as_bytes()) >> 32;
        let index = usize::try_from(turn).unwrap_or(0) % readers.len();
        Source::Reader(readers[index].address)
    }

    /// Whether a state that was confirmed at `confirmed` may still be used without asking the
    /// store.
    pub fn is_recent(&self, confirmed: Option<Time>, now: Time) -> bool {
        confirmed.is_some_and(|confirmed| now.since(confirmed) < self.max_age)
    }

    /// Returns how long a read from a reader may wait for a record: up to `longest`, and no longer than
    /// until a state that was confirmed at `confirmed` is too old to go on without the store.
    pub fn follow_wait(&self, longest: Duration, confirmed: Option<Time>, now: Time) -> Duration {
        let age = confirmed.map_or(self.max_age, |confirmed| now.since(confirmed));
        longest.min(self.max_age.saturating_sub(age))
    }

    /// Records that a reader did not answer, or with a state that was too old. The store is read
    /// for some seconds then. `random` is uniform from 0 to 1.
    pub fn record_failure(&mut self, random: f64, now: Time) {
        self.store_until = now + MIN_FALLBACK + FALLBACK_SPREAD.mul_f64(random.clamp(0.0, 1.0));
    }
}
