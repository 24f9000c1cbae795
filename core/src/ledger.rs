//! Evaluates the `claims` stream in log order; every reader comes to the same result.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    mem,
    time::Duration,
};

use crate::{
    claim::{Claim, ClaimId, Entry, KeyId, check_time},
    code::{Code, Execution},
    id::{AttemptId, Fingerprint, Incarnation, Offset},
    name::TargetName,
};

/// What is known of a claimed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fate {
    /// It may be running, and may run later.
    Open,
    /// It certainly never runs under this claim.
    Released,
    /// It ended.
    Finished(Execution),
}

/// The present claim of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Present {
    /// Its position.
    pub id: ClaimId,
    /// Hash of team and content.
    pub content: Fingerprint,
    /// The attempt that is claimed.
    pub attempt: AttemptId,
    /// The target that may run it.
    pub target: TargetName,
    /// Incarnation of the target's agent.
    pub agent: Incarnation,
    /// When the log took it, in milliseconds since the Unix epoch.
    pub time: u64,
    /// What is known of the request.
    pub fate: Fate,
}

/// Present claims by key.
#[derive(Debug, Clone)]
pub struct Ledger {
    retention: Duration,
    next: Offset,
    since: u64,
    time: u64,
    claims: HashMap<KeyId, Present>,
    expiry: VecDeque<(u64, KeyId)>,
    targets: HashSet<TargetName>,
}

impl Ledger {
    /// An empty ledger of a stream that keeps records for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            next: Offset::default(),
            since: 0,
            time: 0,
            claims: HashMap::new(),
            expiry: VecDeque::new(),
            targets: HashSet::new(),
        }
    }

    /// The offset that is applied next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Number of keys held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Bytes of memory held, without the targets' names, which are shared.
    pub fn bytes(&self) -> usize {
        let slot = mem::size_of::<(KeyId, Present)>() + 1;
        // The standard table keeps one slot in eight free.
        self.claims.capacity() * 8 / 7 * slot
            + self.expiry.capacity() * mem::size_of::<(u64, KeyId)>()
    }

    /// Starts over after the log dropped records that were not applied; `time` is that of the
    /// first record kept, in milliseconds since the Unix epoch.
    pub fn restart(&mut self, first: Offset, time: u64) {
        *self = Self::new(self.retention);
        self.next = first;
        self.since = time;
    }

    /// Whether a claim of a key of this time can be judged at `now`, both in milliseconds since
    /// the Unix epoch.
    ///
    /// # Errors
    ///
    /// Fails with `KeyExpired` or `KeyInvalid`.
    pub fn check_time(&self, key_time: u64, now: u64) -> Result<(), Code> {
        check_time(key_time, now.max(self.time), self.since, self.retention)
    }

    /// The present claim of a key.
    pub fn get(&self, key: KeyId) -> Option<&Present> {
        self.claims.get(&key)
    }

    /// Applies the batch at `offset`, which the log took at `time`, in milliseconds since the Unix
    /// epoch. A batch that was applied before changes nothing.
    pub fn apply(&mut self, offset: Offset, time: u64, entries: &[Entry]) {
        if offset < self.next {
            return;
        }
        self.next = offset.next();
        // The log's clock may step back; expiry only moves forward.
        self.time = self.time.max(time);
        self.expire();
        for (index, entry) in entries.iter().enumerate() {
            // A batch with more entries than an index can name is not written by any router.
            let Ok(index) = u16::try_from(index) else {
                return;
            };
            match entry {
                Entry::Claim(claim) => self.claim(ClaimId { offset, index }, claim),
                Entry::Finished {
                    key, claim, ran, ..
                } => self.settle(*key, *claim, Fate::Finished(*ran)),
                Entry::Released { key, claim } => self.settle(*key, *claim, Fate::Released),
            }
        }
    }

    fn claim(&mut self, id: ClaimId, claim: &Claim) {
        // Both ends of the key's time are checked by the log's clock, so that all readers agree.
        // `since` differs between readers and only guards a reader's own new claims.
        if check_time(claim.key_time, self.time, 0, self.retention).is_err() {
            return;
        }
        let valid = match self.claims.get(&claim.key) {
            None => claim.supersedes.is_none(),
            Some(present) => {
                claim.supersedes == Some(present.id)
                    && present.fate == Fate::Released
                    && present.content == claim.content
            }
        };
        if !valid {
            return;
        }
        let target = self.intern(&claim.target);
        self.expiry.push_back((self.time, claim.key));
        self.claims.insert(
            claim.key,
            Present {
                id,
                content: claim.content,
                attempt: claim.attempt,
                target,
                agent: claim.agent,
                time: self.time,
                fate: Fate::Open,
            },
        );
    }

    fn settle(&mut self, key: KeyId, claim: ClaimId, fate: Fate) {
        if let Some(present) = self.claims.get_mut(&key)
            && present.id == claim
            && present.fate == Fate::Open
        {
            present.fate = fate;
        }
    }

    fn expire(&mut self) {
        let span = u64::try_from(self.retention.as_millis()).unwrap_or(u64::MAX);
        while let Some((time, key)) = self.expiry.front().copied()
            && time.saturating_add(span) <= self.time
        {
            self.expiry.pop_front();
            // A key that was claimed again has a later place in the queue.
            if self
                .claims
                .get(&key)
                .is_some_and(|present| present.time == time)
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
