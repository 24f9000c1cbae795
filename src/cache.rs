//! Idempotency keys, and a cache of answers for retried requests.

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

/// Maximum size of the body of a cached answer, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 << 10;
/// Maximum size of all cached answers, in bytes.
const MAX_CACHE_BYTES: usize = 8 << 20;
/// Estimated memory for an answer in addition to its body, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// Idempotency key of a call, with a hash by which a reuse for another call is detected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedCall {
    /// Identifies the key among those of all teams.
    pub id: KeyId,
    /// Time that the UUIDv7 key contains, in milliseconds since the Unix epoch.
    pub time: u64,
    /// Hash of the team and of the call's method, path, content type and body.
    pub content: Fingerprint,
}

impl KeyedCall {
    /// Parses the idempotency key that a team sent with a call.
    ///
    /// # Errors
    ///
    /// Returns `KeyInvalid` if the key is not a UUIDv7.
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

/// Complete answer, cached for retried requests.
#[derive(Debug, Clone)]
pub struct StoredAnswer {
    /// HTTP status and content type.
    pub head: Head,
    /// Body of the answer, with all its parts.
    pub body: Bytes,
}

/// Cached answers, evicted in the order of their insertion.
#[derive(Debug, Default)]
pub struct AnswerCache {
    by_claim: HashMap<ClaimId, StoredAnswer>,
    insertion_order: VecDeque<ClaimId>,
    bytes: usize,
}

impl AnswerCache {
    /// Adds an answer, and evicts the oldest ones while the cache is too large.
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

    /// Returns the answer for a claim; `None` if it was never added or has been evicted.
    pub fn get(&self, claim: ClaimId) -> Option<StoredAnswer> {
        self.by_claim.get(&claim).cloned()
    }
}

#[cfg(test)]
#[path = "../tests/unit/cache.rs"]
mod tests;
