//! Entries of the `claims` stream for at-most-once requests, their keys, and the choice of the
//! router that appends them.

use std::time::Duration;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use uuid::Uuid;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::{
    code::{Code, Execution},
    id::{AttemptId, Fingerprint, Incarnation, Offset},
    name::{ProcessName, TargetName, TeamName},
    time::Time,
};

/// Maximum number of routers that append to the `claims` stream. At 10 appends/s each they make
/// 200 appends/s; the log sustains several hundred.
pub const MAX_WRITERS: usize = 20;
/// Maximum time by which a key's timestamp may be ahead of the log's clock.
pub const MAX_KEY_LEAD: Duration = Duration::from_secs(60);
/// Time before the expiry of its records from which a key is refused. It exceeds
/// [`MAX_KEY_LEAD`], so that a key is refused before the record of its earliest possible claim
/// expires.
pub const EXPIRY_MARGIN: Duration = Duration::from_secs(120);

/// A hash of a team and its idempotency key.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into, Serialize, Deserialize,
)]
pub struct KeyId(u128);

impl KeyId {
    /// Hashes a team and its key. The team is part of the hash, so that equal keys of different
    /// teams do not collide.
    pub fn new(team: &TeamName, key: Uuid) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&(team.as_str().len() as u64).to_le_bytes());
        hasher.update(team.as_str().as_bytes());
        hasher.update(key.as_bytes());
        Self(hasher.digest128())
    }
}

/// Position of a claim in the `claims` stream.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{offset}.{index}")]
pub struct ClaimId {
    /// Offset of the batch that contains the claim.
    pub offset: Offset,
    /// Index within the batch, from zero.
    pub index: u16,
}

/// Reference to a claim, with the agent incarnation that the claim names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRef {
    /// Position of the claim.
    pub id: ClaimId,
    /// Incarnation of the only agent that may run the claim.
    pub agent: Incarnation,
}

/// Record that a router is about to run a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the team and the idempotency key.
    pub key: KeyId,
    /// Timestamp in the key, in milliseconds since the Unix epoch.
    pub key_time: u64,
    /// Hash of the team and the content.
    pub content: Fingerprint,
    /// Name of the router that owns the claim.
    pub router: ProcessName,
    /// Incarnation of the router that owns the claim.
    pub incarnation: Incarnation,
    /// ID of the claimed attempt, unique in the fleet.
    pub attempt: AttemptId,
    /// Target that may run the request.
    pub target: TargetName,
    /// Incarnation of the target's agent at the time of the claim.
    pub agent: Incarnation,
    /// Released claim of the same key that this claim replaces, `None` for the first claim.
    pub supersedes: Option<ClaimId>,
}

/// One entry of a batch in the `claims` stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimEntry {
    /// A router is about to run a request.
    Claim(Claim),
    /// The claimed request ended.
    Finished {
        /// Hash of the team and the idempotency key.
        key: KeyId,
        /// Position of the claim that ended.
        claim: ClaimId,
        /// Whether the request ran. Any value but `Ran` means that the outcome is unknown.
        ran: Execution,
        /// HTTP status of the answer, zero without one.
        status: u16,
        /// Hash of the answer's body, zero without an answer.
        digest: u64,
    },
    /// The request definitely never runs under this claim; another claim may supersede it.
    Released {
        /// Hash of the team and the idempotency key.
        key: KeyId,
        /// Position of the released claim.
        claim: ClaimId,
    },
}

/// Parses an idempotency key; returns it with its timestamp in milliseconds since the Unix epoch.
///
/// # Errors
///
/// Fails with `KeyInvalid` when the key is not a UUIDv7.
pub fn parse_key(text: &str) -> Result<(Uuid, u64), Code> {
    let key = Uuid::parse_str(text).map_err(|_malformed| Code::KeyInvalid)?;
    if key.get_version_num() != 7 {
        return Err(Code::KeyInvalid);
    }
    let (seconds, nanos) = key.get_timestamp().ok_or(Code::KeyInvalid)?.to_unix();
    Ok((key, seconds * 1_000 + u64::from(nanos) / 1_000_000))
}

/// Checks a key's timestamp against `now`; all times are in milliseconds since the Unix epoch.
/// Records are kept for `retention`, and those from before `complete_since` are missing (zero if
/// none is missing).
///
/// # Errors
///
/// Fails with `KeyExpired` when a record of the key may be missing, and with `KeyInvalid` when the
/// timestamp is more than [`MAX_KEY_LEAD`] ahead.
pub fn check_time(
    key_time: u64,
    now: u64,
    complete_since: u64,
    retention: Duration,
) -> Result<(), Code> {
    let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    if key_time > now.saturating_add(millis(MAX_KEY_LEAD)) {
        return Err(Code::KeyInvalid);
    }
    let kept = millis(retention.saturating_sub(EXPIRY_MARGIN));
    let complete =
        complete_since == 0 || key_time >= complete_since.saturating_add(millis(EXPIRY_MARGIN));
    if key_time.saturating_add(kept) <= now || !complete {
        return Err(Code::KeyExpired);
    }
    Ok(())
}

/// Router that appends a router's claims.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Writer {
    /// The router appends its claims itself.
    Own,
    /// Another router, to which the claims are forwarded.
    Peer(ProcessName),
}

/// Chooses the router that appends the claims of `own`, by rendezvous hashing over the live
/// routers. Any router may append, so that routers with different membership views need not agree.
pub fn choose_writer(own: &ProcessName, live: &[ProcessName]) -> Writer {
    if live.len() <= MAX_WRITERS {
        return Writer::Own;
    }
    let mut ranked: Vec<_> = live
        .iter()
        .map(|name| (xxh3_64_with_seed(name.as_str().as_bytes(), 0), name))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(MAX_WRITERS);
    if ranked.iter().any(|(_, name)| *name == own) {
        return Writer::Own;
    }
    let seed = xxh3_64_with_seed(own.as_str().as_bytes(), 1);
    let score = |name: &ProcessName| xxh3_64_with_seed(name.as_str().as_bytes(), seed);
    let best = ranked.into_iter().max_by_key(|(_, name)| score(name));
    best.map_or(Writer::Own, |(_, name)| Writer::Peer(name.clone()))
}

/// Rate limiter for the appends of one writer.
#[derive(Debug, Clone)]
pub struct AppendLimiter {
    min_interval: Duration,
    batch_delay: Duration,
    last: Option<Time>,
}

impl AppendLimiter {
    /// Allows one append per `min_interval`. An append after a longer idle time waits only for
    /// `batch_delay`.
    pub fn new(min_interval: Duration, batch_delay: Duration) -> Self {
        Self {
            min_interval,
            batch_delay,
            last: None,
        }
    }

    /// Time at which entries that are queued since `since` may be appended.
    pub fn due(&self, since: Time) -> Time {
        let first = since + self.batch_delay;
        self.last
            .map_or(first, |last| first.max(last + self.min_interval))
    }

    /// Records an append at `now`, from which the next `min_interval` counts.
    pub fn record_append(&mut self, now: Time) {
        self.last = Some(now);
    }
}

#[cfg(test)]
#[path = "../tests/unit/claim.rs"]
mod tests;
