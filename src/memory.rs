//! Budget of the bytes that a process holds for callers and targets.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use ebonyfall_core::memory::{BodyUse, MemoryParts, MemoryRefusal, Party, Taker, admit_body};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::{callers::CallerMetrics, settings::MachineLimits};

/// Number of counters for parties. Parties with the same hash have one share together, so that the
/// table stays small whatever callers send.
const PARTY_COUNTERS: usize = 1_024;

/// Bytes that the process may hold for others. Clones share them.
#[derive(Debug, Clone)]
pub struct MemoryBudget(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    parts: MemoryParts,
    heads: Arc<Semaphore>,
    bodies: Arc<Semaphore>,
    answers: Arc<Semaphore>,
    parties: Vec<AtomicUsize>,
    metrics: CallerMetrics,
}

/// Bytes taken from the budget, which are given back on drop.
#[derive(Debug)]
pub struct MemoryShare {
    budget: MemoryBudget,
    taker: Taker,
    /// Counter of the party that sends a body.
    party: Option<usize>,
    permit: Option<OwnedSemaphorePermit>,
}

/// Bytes with the share of memory that they take.
struct SharedBytes {
    bytes: Bytes,
    _share: MemoryShare,
}

impl AsRef<[u8]> for SharedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Default for MemoryBudget {
    fn default() -> Self {
        Self::new(MachineLimits::default().memory, CallerMetrics::default())
    }
}

impl MemoryBudget {
    /// Creates the budget of a process that has `memory` bytes.
    pub fn new(memory: usize, metrics: CallerMetrics) -> Self {
        let parts = MemoryParts::of(memory);
        let semaphore = |bytes| Arc::new(Semaphore::new(bytes));
        Self(Arc::new(Inner {
            parts,
            heads: semaphore(parts.heads),
            bodies: semaphore(parts.bodies),
            answers: semaphore(parts.answers),
            parties: std::iter::repeat_with(AtomicUsize::default)
                .take(PARTY_COUNTERS)
                .collect(),
            metrics,
        }))
    }

    /// Division of the budget, in bytes.
    pub fn parts(&self) -> MemoryParts {
        self.0.parts
    }

    /// Starts a share that holds nothing yet. Shares of bodies belong to a party.
    pub fn share(&self, taker: Taker, party: Option<&Party>) -> MemoryShare {
        let party = party.map(|party| {
            let mut hasher = DefaultHasher::new();
            party.hash(&mut hasher);
            let counters = PARTY_COUNTERS as u64;
            usize::try_from(hasher.finish() % counters).unwrap_or_default()
        });
        MemoryShare {
            budget: self.clone(),
            taker,
            party,
            permit: None,
        }
    }

    /// Takes a share of `bytes` bytes.
    ///
    /// # Errors
    ///
    /// Fails with the reason when it does not fit.
    pub fn take(&self, taker: Taker, bytes: usize) -> Result<MemoryShare, MemoryRefusal> {
        let mut share = self.share(taker, None);
        share.grow(bytes)?;
        Ok(share)
    }

    /// Bytes that `taker` can still take.
    pub fn free(&self, taker: Taker) -> usize {
        self.part(taker).available_permits()
    }

    fn part(&self, taker: Taker) -> &Arc<Semaphore> {
        match taker {
            Taker::Heads => &self.0.heads,
            Taker::Bodies => &self.0.bodies,
            Taker::Answers | Taker::Streams | Taker::Peers => &self.0.answers,
        }
    }

    /// Decides whether a share may grow. Two bodies that are decided at once may pass their party's
    /// share by one of them; the part as a whole is never passed.
    fn admit(&self, share: &MemoryShare, more: usize) -> Result<(), MemoryRefusal> {
        let Some(party) = share.party else {
            return Ok(());
        };
        let all = self.0.parts.bodies - self.0.bodies.available_permits();
        let held = BodyUse {
            body: share.len(),
            party: self.0.parties[party].load(Ordering::Relaxed),
            all,
        };
        admit_body(self.0.parts.bodies, held, more)
    }
}

impl MemoryShare {
    /// Bytes that the share holds.
    pub fn len(&self) -> usize {
        self.permit
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits)
    }

    /// Whether the share holds nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes `more` bytes.
    ///
    /// # Errors
    ///
    /// Fails with the reason when they do not fit; the share keeps what it has.
    pub fn grow(&mut self, more: usize) -> Result<(), MemoryRefusal> {
        if more == 0 {
            return Ok(());
        }
        let grown = self.try_grow(more);
        let metrics = &self.budget.0.metrics;
        match grown {
            Ok(()) => metrics.add_memory(self.taker, more),
            Err(refusal) => metrics.count_memory_refusal(self.taker, refusal),
        }
        grown
    }

    fn try_grow(&mut self, more: usize) -> Result<(), MemoryRefusal> {
        self.budget.admit(self, more)?;
        let count = u32::try_from(more).map_err(|_too_many| MemoryRefusal::Full)?;
        let part = Arc::clone(self.budget.part(self.taker));
        let permit = part.try_acquire_many_owned(count);
        let permit = permit.map_err(|_used_up| MemoryRefusal::Full)?;
        match &mut self.permit {
            Some(held) => held.merge(permit),
            None => self.permit = Some(permit),
        }
        if let Some(party) = self.party {
            self.budget.0.parties[party].fetch_add(more, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Attaches the share to `bytes`: it is given back when the last copy of them is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if self.is_empty() {
            return bytes;
        }
        Bytes::from_owner(SharedBytes {
            bytes,
            _share: self,
        })
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        let held = self.len();
        if let Some(party) = self.party {
            self.budget.0.parties[party].fetch_sub(held, Ordering::Relaxed);
        }
        self.budget.0.metrics.remove_memory(self.taker, held);
    }
}
