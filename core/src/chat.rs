//! Identification of chats, and pointers to targets that hold chats away from their home.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use xxhash_rust::xxh3::Xxh3;

use crate::{
    id::{ChatId, Fingerprint},
    name::{ModelName, TargetName, TeamName},
    time::Time,
};

/// Time for which a pointer is kept after its chat was last served. Most chats return within
/// minutes; after a longer pause a chat is sent to its home again, which may have to recompute the
/// context.
pub const POINTER_TTL: Duration = Duration::from_secs(300);

/// The part of a request that identifies its chat.
#[derive(Debug, Clone, Copy)]
pub enum ChatIdentity<'a> {
    /// Name of the chat, given by the caller.
    Named(&'a str),
    /// Messages up to and including the first user message, which every later request of the chat
    /// repeats.
    Opening(&'a [u8]),
}

/// Derives the id of a chat as a hash of team, model and identity, so that chats of different teams
/// or models with the same name have different ids.
pub fn chat_id(team: &TeamName, model: &ModelName, identity: ChatIdentity<'_>) -> ChatId {
    let mut hasher = Xxh3::new();
    let (kind, content) = match identity {
        ChatIdentity::Named(name) => (0_u8, name.as_bytes()),
        ChatIdentity::Opening(messages) => (1, messages),
    };
    for part in [
        team.as_str().as_bytes(),
        model.as_str().as_bytes(),
        &[kind],
        content,
    ] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest().into()
}

/// Derives the fingerprint of a request as a hash of its team and content.
pub fn fingerprint(team: &TeamName, content: &[u8]) -> Fingerprint {
    let mut hasher = Xxh3::with_seed(1);
    hasher.update(&(team.as_str().len() as u64).to_le_bytes());
    hasher.update(team.as_str().as_bytes());
    hasher.update(content);
    hasher.digest().into()
}

/// Targets that hold the context of chats away from their home. Pointers expire, and their number
/// is limited.
///
/// A pointer is a hint: a wrong one costs a cache miss or one hop, never a wrong answer.
#[derive(Debug)]
pub struct Pointers {
    capacity: usize,
    ttl: Duration,
    entries: HashMap<ChatId, (TargetName, Time)>,
    /// Chats in the order in which their pointers expire, including stale entries of pointers that
    /// were replaced or removed.
    expiries: VecDeque<(ChatId, Time)>,
}

impl Pointers {
    /// Creates an empty set of at most `capacity` pointers, each of which expires after `ttl`.
    pub fn new(capacity: usize, ttl: Duration) -> Self {
        Self {
            capacity: capacity.max(1),
            ttl,
            entries: HashMap::new(),
            expiries: VecDeque::new(),
        }
    }

    /// Records that `target` holds the context of `chat`. Returns false, without a change, if a
    /// pointer to the same target has more than half of its TTL left. Evicts the oldest pointer if
    /// the set is full.
    pub fn set(&mut self, chat: ChatId, target: &TargetName, now: Time) -> bool {
        if let Some((known, expires)) = self.entries.get(&chat)
            && known == target
            && expires.since(now) > self.ttl / 2
        {
            return false;
        }
        let expires = now + self.ttl;
        self.entries.insert(chat, (target.clone(), expires));
        self.expiries.push_back((chat, expires));
        self.expire(now);
        while self.entries.len() > self.capacity || self.expiries.len() > 2 * self.capacity {
            self.drop_oldest();
        }
        true
    }

    /// The target that holds the context of `chat`, unless the pointer has expired.
    pub fn get(&self, chat: ChatId, now: Time) -> Option<&TargetName> {
        let (target, expires) = self.entries.get(&chat)?;
        (*expires > now).then_some(target)
    }

    /// Removes the pointer of `chat`.
    pub fn clear(&mut self, chat: ChatId) {
        self.entries.remove(&chat);
    }

    /// Records a cache event that `target` no longer holds `chat`. Events may be late or missing,
    /// so an event of a target to which the pointer does not lead is ignored.
    pub fn record_eviction(&mut self, chat: ChatId, target: &TargetName) {
        if self.entries.get(&chat).is_some_and(|(at, _)| at == target) {
            self.entries.remove(&chat);
        }
    }

    /// Removes expired pointers.
    pub fn expire(&mut self, now: Time) {
        while self
            .expiries
            .front()
            .is_some_and(|(_, expires)| *expires <= now)
        {
            self.drop_oldest();
        }
    }

    /// Number of pointers, including expired ones that [`Self::expire`] has not removed yet.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the set has no pointer.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Allocated memory in bytes, without the names of targets.
    pub fn memory_bytes(&self) -> usize {
        // The hash map stores one control byte per entry.
        self.entries.capacity() * (size_of::<(ChatId, (TargetName, Time))>() + 1)
            + self.expiries.capacity() * size_of::<(ChatId, Time)>()
    }

    fn drop_oldest(&mut self) {
        let Some((chat, expires)) = self.expiries.pop_front() else {
            return;
        };
        if self
            .entries
            .get(&chat)
            .is_some_and(|(_, at)| *at == expires)
        {
            self.entries.remove(&chat);
        }
    }
}

/// Estimates whether transferring a chat's KV cache takes less time than recomputing it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CacheTransfer {
    /// Size of the cache in bytes.
    pub bytes: u64,
    /// Measured throughput of the transfer. Zero or NaN if it is not known.
    pub bytes_per_second: f64,
    /// Time from the start of the transfer until the first byte arrives.
    pub setup_time: Duration,
    /// Number of tokens in the cache.
    pub tokens: u64,
    /// Measured speed of prefill. Zero if it is not known.
    pub prefill_tokens_per_second: f64,
}

impl CacheTransfer {
    /// Whether the transfer takes less time than recomputing the cache. False if the throughput is
    /// not known; otherwise true if the speed of prefill is not known.
    #[expect(
        clippy::cast_precision_loss,
        reason = "an estimate needs no exact sizes"
    )]
    pub fn is_faster(&self) -> bool {
        if self.bytes_per_second <= 0.0 || self.bytes_per_second.is_nan() {
            return false;
        }
        let transfer_seconds =
            self.setup_time.as_secs_f64() + self.bytes as f64 / self.bytes_per_second;
        self.prefill_tokens_per_second <= 0.0
            || transfer_seconds < self.tokens as f64 / self.prefill_tokens_per_second
    }
}
