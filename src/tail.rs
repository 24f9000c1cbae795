//! Reads configuration records from the platform's log into a chain.

use ebonyfall_core::{
    config::{Applied, Chain, RejectReason},
    id::Offset,
};
use ebonyfall_wire::record;

use crate::platform::{Batch, Platform, PlatformError};

/// Stream of the platform's log that holds the configuration.
pub const CONFIG_STREAM: &str = "config";
/// Records read at once.
const READ_BATCH_RECORDS: u32 = 256;
/// Records before the end of the log that a starting reader looks at first. Several snapshots are
/// among them unless most records are losers; otherwise all retained records are read.
const INITIAL_READ_RECORDS: u64 = 4 * ebonyfall_core::config::DELTAS_PER_SNAPSHOT as u64;

/// Records that were found invalid, by cause.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RejectCounts {
    /// Another record came first.
    pub parent: u64,
    /// The record cannot be decoded, or its digest does not fit.
    pub digest: u64,
    /// The document has faults.
    pub document: u64,
    /// The record differs from what a peer gave for its offset.
    pub contradiction: u64,
}

/// A reader's place in the log.
#[derive(Debug)]
pub struct ConfigReader {
    platform: Platform,
    chain: Chain,
    started: bool,
    /// Whether the reading began at the first retained record.
    complete: bool,
    reset: bool,
    rejects: RejectCounts,
    recoveries: u64,
}

impl ConfigReader {
    /// Makes a reader that has read nothing.
    pub fn new(platform: Platform) -> Self {
        Self {
            platform,
            chain: Chain::new(),
            started: false,
            complete: true,
            reset: false,
            rejects: RejectCounts::default(),
            recoveries: 0,
        }
    }

    /// What was found.
    pub fn chain(&self) -> &Chain {
        &self.chain
    }

    /// What was found, to offer it a peer's records.
    pub fn chain_mut(&mut self) -> &mut Chain {
        &mut self.chain
    }

    /// Whether the log ends before records that were read from it.
    pub fn reset(&self) -> bool {
        self.reset
    }

    /// How often the chain of a log that was set back was taken up; offsets count anew after it.
    pub fn recoveries(&self) -> u64 {
        self.recoveries
    }

    /// Records that were found invalid.
    pub fn rejects(&self) -> RejectCounts {
        self.rejects
    }

    /// Reads to the end of the log.
    ///
    /// # Errors
    ///
    /// Fails when the platform does.
    pub async fn advance(&mut self) -> Result<(), PlatformError> {
        if !self.started {
            self.start_near_end().await?;
        }
        self.read_to_end().await?;
        if self.reset {
            return self.recover_from_reset().await;
        }
        if !self.chain.on_caught_up(self.complete) && !self.complete {
            self.restart_from_first().await?;
        }
        Ok(())
    }

    /// Reads every retained record, however many there are.
    ///
    /// # Errors
    ///
    /// Fails when the platform does.
    pub async fn advance_from_first(&mut self) -> Result<(), PlatformError> {
        self.started = true;
        self.restart_from_first().await
    }

    async fn start_near_end(&mut self) -> Result<(), PlatformError> {
        let batch = self.batch(Offset::default(), 1).await?;
        let (first, next) = (u64::from(batch.first), u64::from(batch.next));
        let from = first.max(next.saturating_sub(INITIAL_READ_RECORDS));
        self.complete = from == first;
        self.chain.skip_to(Offset::from(from));
        self.started = true;
        Ok(())
    }

    async fn restart_from_first(&mut self) -> Result<(), PlatformError> {
        let first = self.batch(Offset::default(), 1).await?.first;
        let old = std::mem::take(&mut self.chain);
        self.complete = true;
        self.chain.skip_to(first);
        let read = self.read_to_end().await;
        self.chain.on_caught_up(true);
        if let Some(snapshot) = old.snapshot() {
            // What a peer gave stays, unless the log holds something newer.
            let _older = self.chain.offer_snapshot(snapshot);
        }
        read
    }

    /// Takes up the chain of a log that was set back, if it holds the document in force again.
    async fn recover_from_reset(&mut self) -> Result<(), PlatformError> {
        let mut other = Self::new(self.platform.clone());
        other.restart_from_first().await?;
        let digest = |chain: &Chain| chain.tip().map(|tip| tip.digest);
        if digest(&other.chain).is_some() && digest(&other.chain) == digest(&self.chain) {
            self.chain = other.chain;
            self.started = true;
            self.complete = true;
            self.reset = false;
            self.recoveries += 1;
        }
        Ok(())
    }

    async fn read_to_end(&mut self) -> Result<(), PlatformError> {
        loop {
            let from = self.chain.next_offset();
            // A peer read its records from the log, which must reach as far.
            let tip = self.chain.tip();
            let known = tip.map_or(from, |tip| from.max(tip.offset.next()));
            let batch = self.batch(from, READ_BATCH_RECORDS).await?;
            if batch.first > from {
                self.complete = true;
                self.chain.skip_to(batch.first);
            }
            self.reset = batch.next < known;
            if self.reset {
                return Ok(());
            }
            for item in batch.records {
                let decoded = record::decode(&item.data).ok();
                let applied = self.chain.apply(item.offset, decoded);
                self.count_reject(applied);
            }
            if self.chain.next_offset() >= batch.next {
                return Ok(());
            }
        }
    }

    fn count_reject(&mut self, applied: Applied) {
        match applied {
            Applied::Valid | Applied::Pending | Applied::Old => {}
            Applied::Contradiction => self.rejects.contradiction += 1,
            Applied::Rejected(RejectReason::Parent) => self.rejects.parent += 1,
            Applied::Rejected(RejectReason::Digest) => self.rejects.digest += 1,
            Applied::Rejected(RejectReason::Document) => self.rejects.document += 1,
        }
    }

    async fn batch(&self, from: Offset, limit: u32) -> Result<Batch, PlatformError> {
        match self.platform.read(CONFIG_STREAM, from, limit).await {
            Err(PlatformError::Expired { first }) => {
                self.platform.read(CONFIG_STREAM, first, limit).await
            }
            other => other,
        }
    }
}
