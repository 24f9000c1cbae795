//! Records of requests that run at most once, their keys, and the choice of a writer.

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

/// Routers that append to the `claims` stream at the same time. With 10 appends/s each they stay
/// at 200 appends/s, below the several hundred that the log takes.
pub const MAX_WRITERS: usize = 20;
/// How far a key's time may lie ahead of the log's clock.
pub const MAX_AHEAD: Duration = Duration::from_secs(60);
/// Keys are refused this long before their record can expire. It exceeds [`MAX_AHEAD`], so that a
/// key is refused before the record of its earliest possible claim is gone.
pub const MARGIN: Duration = Duration::from_secs(120);

/// A hash of a team and its idempotency key.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into, Serialize, Deserialize,
)]
pub struct KeyId(u128);

impl KeyId {
    /// Hashes a team and the key that it sent; keys of different teams are never the same.
    pub fn new(team: &TeamName, key: Uuid) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&(team.as_str().len() as u64).to_le_bytes());
        hasher.update(team.as_str().as_bytes());
        hasher.update(key.as_bytes());
        Self(hasher.digest128())
    }
}

/// The position of a claim: its record's offset, and its place in the record's batch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{offset}.{index}")]
pub struct ClaimId {
    /// Offset of the batch.
    pub offset: Offset,
    /// Place in the batch, from zero.
    pub index: u16,
}

/// A claim together with the agent's incarnation that it names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRef {
    /// The claim.
    pub id: ClaimId,
    /// Incarnation of the agent that may run it.
    pub agent: Incarnation,
}

/// A router's announcement that it is about to run a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Team and key.
    pub key: KeyId,
    /// Milliseconds since the Unix epoch, from the key.
    pub key_time: u64,
    /// Hash of team and content.
    pub content: Fingerprint,
    /// Name of the router that owns the claim.
    pub router: ProcessName,
    /// Incarnation of the router that owns the claim.
    pub incarnation: Incarnation,
    /// The attempt that is claimed, unique in the fleet.
    pub attempt: AttemptId,
    /// The target that may run it.
    pub target: TargetName,
    /// Incarnation of the target's agent.
    pub agent: Incarnation,
    /// The claim of the same key that is replaced.
    pub supersedes: Option<ClaimId>,
}

/// One entry of a batch in the `claims` stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A router is about to run a request.
    Claim(Claim),
    /// The claimed request ended; unless it ran, its fate is not known.
    Finished {
        /// Team and key.
        key: KeyId,
        /// The claim.
        claim: ClaimId,
        /// Whether it ran.
        ran: Execution,
        /// HTTP status of the answer, zero if there was none.
        status: u16,
        /// Hash of the answer's body.
        digest: u64,
    },
    /// The claimed request certainly never runs under this claim.
    Released {
        /// Team and key.
        key: KeyId,
        /// The claim.
        claim: ClaimId,
    },
}

/// Reads the time, in milliseconds since the Unix epoch, from an idempotency key.
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

/// Checks a key's time against `now`, both in milliseconds since the Unix epoch. Records are kept
/// for `retention`, and none from before `since` are known.
///
/// # Errors
///
/// Fails with `KeyExpired` when a record of the key may be gone, and with `KeyInvalid` when the
/// key's time lies too far ahead.
pub fn check_time(key_time: u64, now: u64, since: u64, retention: Duration) -> Result<(), Code> {
    let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    if key_time > now.saturating_add(millis(MAX_AHEAD)) {
        return Err(Code::KeyInvalid);
    }
    let kept = millis(retention.saturating_sub(MARGIN));
    let complete = since == 0 || key_time >= since.saturating_add(millis(MARGIN));
    if key_time.saturating_add(kept) <= now || !complete {
        return Err(Code::KeyExpired);
    }
    Ok(())
}

/// Who appends a router's claims.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Writer {
    /// The router itself.
    Own,
    /// Another router.
    Peer(ProcessName),
}

/// Chooses the router that appends the claims of `own`, by rendezvous hashing over the live
/// routers. Any router may append, so that routers with different views need no agreement.
pub fn writer(own: &ProcessName, live: &[ProcessName]) -> Writer {
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

/// Limits the appends of one writer.
#[derive(Debug, Clone)]
pub struct Pace {
    gap: Duration,
    first_delay: Duration,
    last: Option<Time>,
}

impl Pace {
    /// Allows one append in each `gap`; an append after a longer rest waits only `first_delay`.
    pub fn new(gap: Duration, first_delay: Duration) -> Self {
        Self {
            gap,
            first_delay,
            last: None,
        }
    }

    /// When entries that began to wait at `since` are due.
    pub fn due(&self, since: Time) -> Time {
        let first = since + self.first_delay;
        self.last.map_or(first, |last| first.max(last + self.gap))
    }

    /// Records an append.
    pub fn appended(&mut self, now: Time) {
        self.last = Some(now);
    }
}

#[cfg(test)]
#[path = "../tests/unit/claim.rs"]
mod tests;
