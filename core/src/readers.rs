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

    /// Records that a reader did not answer, or with a state that was too old. The store is read
    /// for some seconds then. `random` is uniform from 0 to 1.
    pub fn record_failure(&mut self, random: f64, now: Time) {
        self.store_until = now + MIN_FALLBACK + FALLBACK_SPREAD.mul_f64(random.clamp(0.0, 1.0));
    }
}
