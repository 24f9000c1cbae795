//! Identity of a chat, and pointers to chats whose context has moved.

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

/// Time that a pointer lasts after its chat was last served. Most chats return within minutes; one
/// that pauses for longer comes home, where its context may be computed again.
pub const POINTER_LIFE: Duration = Duration::from_secs(300);

/// What identifies the chat of a request.
#[derive(Debug, Clone, Copy)]
pub enum ChatIdentity<'a> {
    /// The caller named the chat.
    Named(&'a str),
    /// The messages up to and including the first user message, which every later request of the
    /// chat repeats.
    Opening(&'a [u8]),
}

/// Derives the identity of a chat; chats of different teams or models never share one by name.
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

/// Derives the fingerprint of a request from its team and content.
pub fn fingerprint(team: &TeamName, content: &[u8]) -> Fingerprint {
    let mut hasher = Xxh3::with_seed(1);
    hasher.update(&(team.as_str().len() as u64).to_le_bytes());
    hasher.update(team.as_str().as_bytes());
    hasher.update(content);
    hasher.digest().into()
}

/// Which target holds the context of chats that are not at their home: bounded and expiring.
///
/// A pointer is a hint. A wrong one costs a cache miss or one hop, never a wrong answer.
#[derive(Debug)]
pub struct Pointers {
    capacity: usize,
    life: Duration,
    entries: HashMap<ChatId, (TargetName, Time)>,
    /// Chats in the order in which their pointers expire; holds stale entries for chats whose
    /// pointer was replaced or dropped.
    expiries: VecDeque<(ChatId, Time)>,
}

impl Pointers {
    /// Makes room for `capacity` pointers that last for `life`.
    pub fn new(capacity: usize, life: Duration) -> Self {
        Self {
            capacity: capacity.max(1),
            life,
            entries: HashMap::new(),
            expiries: VecDeque::new(),
        }
    }

    /// Notes that `target` holds the context of `chat`; returns whether that is news or prolongs a
    /// pointer past half of its life. The oldest pointer makes room.
    pub fn set(&mut self, chat: ChatId, target: &TargetName, now: Time) -> bool {
        if let Some((known, expires)) = self.entries.get(&chat)
            && known == target
            && expires.since(now) > self.life / 2
        {
            return false;
        }
        let expires = now + self.life;
        self.entries.insert(chat, (target.clone(), expires));
        self.expiries.push_back((chat, expires));
        self.expire(now);
        while self.entries.len() > self.capacity || self.expiries.len() > 2 * self.capacity {
            self.drop_oldest();
        }
        true
    }

    /// The target that holds the context of `chat`.
    pub fn get(&self, chat: ChatId, now: Time) -> Option<&TargetName> {
        let (target, expires) = self.entries.get(&chat)?;
        (*expires > now).then_some(target)
    }

    /// Drops the pointer of `chat`.
    pub fn clear(&mut self, chat: ChatId) {
        self.entries.remove(&chat);
    }

    /// Takes a cache event that says that `target` no longer holds `chat`. Events come late and
    /// with gaps, so that one about another target changes nothing.
    pub fn record_eviction(&mut self, chat: ChatId, target: &TargetName) {
        if self.entries.get(&chat).is_some_and(|(at, _)| at == target) {
            self.entries.remove(&chat);
        }
    }

    /// Drops pointers that have expired.
    pub fn expire(&mut self, now: Time) {
        while self
            .expiries
            .front()
            .is_some_and(|(_, expires)| *expires <= now)
        {
            self.drop_oldest();
        }
    }

    /// Number of pointers kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no pointer is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Memory held, in bytes, names excluded.
    pub fn memory_bytes(&self) -> usize {
        // The map keeps one control byte for each entry.
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

/// What moving a chat's KV cache costs, against computing it again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CacheTransfer {
    /// Size of the cache, in bytes.
    pub bytes: u64,
    /// Measured speed of the transfer, in bytes per second.
    pub bytes_per_second: f64,
    /// Time until the first byte arrives.
    pub setup_time: Duration,
    /// Tokens that the cache stands for.
    pub tokens: u64,
    /// Measured speed of prefill, in tokens per second.
    pub prefill_tokens_per_second: f64,
}

impl CacheTransfer {
    /// Whether moving the cache takes less time than computing it again. Without a measured
    /// bandwidth it is computed again.
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
