//! Idempotency keys, and answers that are held for repeats.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use ebonyfall_core::{
    chat,
    claim::{self, ClaimId, KeyId},
    code::Code,
    id::Fingerprint,
    name::TeamName,
};
use ebonyfall_wire::frame::{Call, Head};

/// Largest answer that is held, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 << 10;
/// Bytes of all answers held.
const MAX_CACHE_BYTES: usize = 8 << 20;
/// Bytes that an answer takes beside its body.
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// An idempotency key with what it stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedCall {
    /// Team and key.
    pub id: KeyId,
    /// The key's time, in milliseconds since the Unix epoch.
    pub time: u64,
    /// Hash of team and content.
    pub content: Fingerprint,
}

impl KeyedCall {
    /// Reads the key that a team sent with a call.
    ///
    /// # Errors
    ///
    /// Fails with `KeyInvalid` when it is not a UUIDv7.
    pub fn new(team: &TeamName, text: &str, call: &Call) -> Result<Self, Code> {
        let (key, time) = claim::parse_key(text)?;
        let mut content = Vec::with_capacity(call.body.len() + 256);
        for part in [&call.method, &call.path, &call.content_type] {
            content.extend_from_slice(part.as_bytes());
            content.push(0);
        }
        content.extend_from_slice(&call.body);
        Ok(Self {
            id: KeyId::new(team, key),
            time,
            content: chat::fingerprint(team, &content),
        })
    }
}

/// An answer that is held for repeats.
#[derive(Debug, Clone)]
pub struct StoredAnswer {
    /// Status and headers.
    pub head: Head,
    /// The whole body.
    pub body: Bytes,
}

/// Answers held, oldest first.
#[derive(Debug, Default)]
pub struct AnswerCache {
    by_claim: HashMap<ClaimId, StoredAnswer>,
    insertion_order: VecDeque<ClaimId>,
    bytes: usize,
}

impl AnswerCache {
    /// Holds an answer; the oldest ones are dropped when the total grows too large.
    pub fn insert(&mut self, claim: ClaimId, answer: StoredAnswer) {
        self.bytes += answer.body.len() + ENTRY_OVERHEAD_BYTES;
        if self.by_claim.insert(claim, answer).is_none() {
            self.insertion_order.push_back(claim);
        }
        while self.bytes > MAX_CACHE_BYTES
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            let dropped = self.by_claim.remove(&oldest);
            self.bytes -= dropped.map_or(0, |answer| answer.body.len() + ENTRY_OVERHEAD_BYTES);
        }
    }

    /// The answer to a claim's request.
    pub fn get(&self, claim: ClaimId) -> Option<StoredAnswer> {
        self.by_claim.get(&claim).cloned()
    }
}

#[cfg(test)]
#[path = "../tests/unit/held.rs"]
mod tests;
