//! Decides which records of a keyed stream a router keeps.
//!
//! Any number of writers may store records of any size. Each rank has room of its own, so that records
//! which the desired state does not refer to never displace those that it needs.

use std::collections::HashMap;

/// Which room a record takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rank {
    /// The desired state, or what it refers to.
    Primary,
    /// Any other record that can be used.
    Secondary,
}

/// Room for new records of one stream, in bytes. Records that are known may grow by half of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomLimits {
    /// For primary records.
    pub primary: usize,
    /// For secondary records.
    pub secondary: usize,
}

/// Memory that each kept record takes besides its key and its value, in bytes.
const RECORD_OVERHEAD: usize = 64;

/// Room that a record takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Share {
    rank: Rank,
    bytes: usize,
}

/// Keys of the records that a router keeps, with the room that they take.
#[derive(Debug, Clone)]
pub struct KeptKeys {
    limits: RoomLimits,
    shares: HashMap<String, Share>,
    used: RoomLimits,
}

impl RoomLimits {
    const ZERO: Self = Self {
        primary: 0,
        secondary: 0,
    };

    const fn of(&self, rank: Rank) -> usize {
        match rank {
            Rank::Primary => self.primary,
            Rank::Secondary => self.secondary,
        }
    }

    const fn of_mut(&mut self, rank: Rank) -> &mut usize {
        match rank {
            Rank::Primary => &mut self.primary,
            Rank::Secondary => &mut self.secondary,
        }
    }
}

impl KeptKeys {
    /// Creates an empty set.
    pub fn new(limits: RoomLimits) -> Self {
        Self {
            limits,
            shares: HashMap::new(),
            used: RoomLimits::ZERO,
        }
    }

    /// Whether a record of this key is kept.
    pub fn contains(&self, key: &str) -> bool {
        self.shares.contains_key(key)
    }

    /// Takes room for a record whose value has `value_bytes`, in place of a known one of the same key.
    /// False if there is none: then no record of the key is kept.
    pub fn take(&mut self, key: &str, rank: Rank, value_bytes: usize) -> bool {
        let is_known = self.contains(key);
        self.release(key);
        let share = Share {
            rank,
            bytes: key.len() + value_bytes + RECORD_OVERHEAD,
        };
        let limit = self.limits.of(rank);
        // What is known must not be lost because its state now has a longer name.
        let limit = if is_known { limit + limit / 2 } else { limit };
        if self.used.of(rank) + share.bytes > limit {
            return false;
        }
        self.insert(key, share);
        true
    }

    /// Keeps a key as `other` does, whatever room is left.
    pub fn adopt(&mut self, key: &str, other: &Self) {
        if let Some(share) = other.shares.get(key) {
            self.release(key);
            self.insert(key, *share);
        }
    }

    /// Frees the room of a key, which is not kept any more.
    pub fn release(&mut self, key: &str) {
        if let Some(Share { rank, bytes }) = self.shares.remove(key) {
            *self.used.of_mut(rank) -= bytes;
        }
    }

    fn insert(&mut self, key: &str, share: Share) {
        *self.used.of_mut(share.rank) += share.bytes;
        self.shares.insert(key.to_owned(), share);
    }
}
