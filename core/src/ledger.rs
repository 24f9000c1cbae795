//! Table of current claims, built from the `claims` stream in log order; every reader that applies
//! the same records gets the same table.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    mem,
    time::Duration,
};

use crate::{
    claim::{Claim, ClaimEntry, ClaimId, KeyId, check_time},
    code::{Code, Execution},
    id::{AttemptId, Fingerprint, Incarnation, Offset},
    name::TargetName,
};

/// State of a claim according to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimState {
    /// The request may be running or may run later.
    Open,
    /// The request definitely never runs under this claim.
    Released,
    /// The request ended; the value says whether it ran.
    Finished(Execution),
}

/// Latest valid claim of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CurrentClaim {
    /// Position of the claim in the stream.
    pub id: ClaimId,
    /// Hash of the team and the content.
    pub content: Fingerprint,
    /// ID of the claimed attempt.
    pub attempt: AttemptId,
    /// Target that may run the request.
    pub target: TargetName,
    /// Incarnation of the target's agent that the claim names.
    pub agent: Incarnation,
    /// Time at which the log appended the claim, in milliseconds since the Unix epoch.
    pub time: u64,
    /// State of the claim; only an open claim changes it.
    pub state: ClaimState,
}

/// Current claims by key, up to a position in the log.
#[derive(Debug, Clone)]
pub struct Ledger {
    retention: Duration,
    next: Offset,
    complete_since: u64,
    log_time: u64,
    claims: HashMap<KeyId, CurrentClaim>,
    expiry: VecDeque<(u64, KeyId)>,
    targets: HashSet<TargetName>,
}

impl Ledger {
    /// Creates an empty ledger for a stream that keeps records for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            next: Offset::default(),
            complete_since: 0,
            log_time: 0,
            claims: HashMap::new(),
            expiry: VecDeque::new(),
            targets: HashSet::new(),
        }
    }

    /// Offset of the next batch to apply.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Number of keys with a current claim.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no key has a current claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Estimated memory in bytes, without the target names, which are shared.
    pub fn bytes(&self) -> usize {
        let slot = mem::size_of::<(KeyId, CurrentClaim)>() + 1;
        // The standard hash table keeps one slot in eight free.
        self.claims.capacity() * 8 / 7 * slot
            + self.expiry.capacity() * mem::size_of::<(u64, KeyId)>()
    }

    /// Clears the ledger after the log dropped records that had not been applied. `first` and
    /// `time` (milliseconds since the Unix epoch) are those of the oldest remaining record.
    pub fn reset(&mut self, first: Offset, time: u64) {
        *self = Self::new(self.retention);
        self.next = first;
        self.complete_since = time;
    }

    /// Checks that this ledger holds every claim that a key with timestamp `key_time` may have at
    /// `now`, both in milliseconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Fails with `KeyExpired` or `KeyInvalid`, as [`check_time`] does.
    pub fn check_time(&self, key_time: u64, now: u64) -> Result<(), Code> {
        check_time(
            key_time,
            now.max(self.log_time),
            self.complete_since,
            self.retention,
        )
    }

    /// The current claim of a key, `None` if there is none or it has expired.
    pub fn get(&self, key: KeyId) -> Option<&CurrentClaim> {
        self.claims.get(&key)
    }

    /// Applies the batch at `offset`, which the log appended at `time`, in milliseconds since the
    /// Unix epoch. A batch that was applied before is ignored.
    pub fn apply(&mut self, offset: Offset, time: u64, entries: &[ClaimEntry]) {
        if offset < self.next {
            return;
        }
        self.next = offset.next();
        // The log's clock may step back; expiry must not.
        self.log_time = self.log_time.max(time);
        self.expire();
        for (index, entry) in entries.iter().enumerate() {
            // No router writes a batch with more entries than fit the index type.
            let Ok(index) = u16::try_from(index) else {
                return;
            };
            match entry {
                ClaimEntry::Claim(claim) => self.apply_claim(ClaimId { offset, index }, claim),
                ClaimEntry::Finished {
                    key, claim, ran, ..
                } => self.close(*key, *claim, ClaimState::Finished(*ran)),
                ClaimEntry::Released { key, claim } => {
                    self.close(*key, *claim, ClaimState::Released);
                }
            }
        }
    }

    fn apply_claim(&mut self, id: ClaimId, claim: &Claim) {
        // Both limits of the key's timestamp are checked by the log's clock, so that all readers
        // agree. `complete_since` differs between readers and only applies to a reader's own new
        // claims.
        if check_time(claim.key_time, self.log_time, 0, self.retention).is_err() {
            return;
        }
        let valid = match self.claims.get(&claim.key) {
            None => claim.supersedes.is_none(),
            Some(current) => {
                claim.supersedes == Some(current.id)
                    && current.state == ClaimState::Released
                    && current.content == claim.content
            }
        };
        if !valid {
            return;
        }
        let target = self.intern(&claim.target);
        self.expiry.push_back((self.log_time, claim.key));
        self.claims.insert(
            claim.key,
            CurrentClaim {
                id,
                content: claim.content,
                attempt: claim.attempt,
                target,
                agent: claim.agent,
                time: self.log_time,
                state: ClaimState::Open,
            },
        );
    }

    fn close(&mut self, key: KeyId, claim: ClaimId, state: ClaimState) {
        if let Some(current) = self.claims.get_mut(&key)
            && current.id == claim
            && current.state == ClaimState::Open
        {
            current.state = state;
        }
    }

    fn expire(&mut self) {
        let retention_ms = u64::try_from(self.retention.as_millis()).unwrap_or(u64::MAX);
        while let Some((time, key)) = self.expiry.front().copied()
            && time.saturating_add(retention_ms) <= self.log_time
        {
            self.expiry.pop_front();
            // A key that was claimed again has a later entry in the queue.
            if self
                .claims
                .get(&key)
                .is_some_and(|current| current.time == time)
            {
                self.claims.remove(&key);
            }
        }
    }

    fn intern(&mut self, name: &TargetName) -> TargetName {
        if let Some(shared) = self.targets.get(name) {
            return shared.clone();
        }
        self.targets.insert(name.clone());
        name.clone()
    }
}
