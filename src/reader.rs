//! Reads configuration records from the platform's log and validates them as a chain.

use ebonyfall_core::{
    config::{Applied, Chain, RejectReason},
    id::Offset,
};
use ebonyfall_wire::record;

use crate::platform::{Batch, Platform, PlatformError};

/// Stream of the platform's log that holds the configuration.
pub const CONFIG_STREAM: &str = "config";
/// Largest number of records per read of the log.
const READ_BATCH_RECORDS: u32 = 256;
/// Number of records before the end of the log at which a new reader starts. They contain several
/// snapshots unless most of them lost to a concurrent record; otherwise the reader starts again at
/// the first retained record.
const INITIAL_READ_RECORDS: u64 = 4 * ebonyfall_core::config::DELTAS_PER_SNAPSHOT as u64;

/// Numbers of invalid records found, by cause.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RejectCounts {
    /// Records whose parent is not the tip: a concurrent record was appended first.
    pub parent: u64,
    /// Records that could not be decoded or whose digest does not match their content.
    pub digest: u64,
    /// Records whose configuration document is invalid.
    pub document: u64,
    /// Records that differ from the record that a peer offered for the same offset.
    pub contradiction: u64,
}

/// Reader that follows the configuration stream of the log.
#[derive(Debug)]
pub struct ConfigReader {
    platform: Platform,
    chain: Chain,
    started: bool,
    /// Whether the chain was read from the first retained record on.
    complete: bool,
    reset: bool,
    rejects: RejectCounts,
    recoveries: u64,
}

impl ConfigReader {
    /// Creates a reader that has not read any record.
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

    /// Chain of the records read so far.
    pub fn chain(&self) -> &Chain {
        &self.chain
    }

    /// The chain, so that a peer's records can be offered to it.
    pub fn chain_mut(&mut self) -> &mut Chain {
        &mut self.chain
    }

    /// Whether the log lost records, since it ends before records that were read from it.
    pub fn reset(&self) -> bool {
        self.reset
    }

    /// Number of times that the chain was rebuilt from a log that had lost records. Offsets before
    /// and after a rebuild are not comparable.
    pub fn recoveries(&self) -> u64 {
        self.recoveries
    }

    /// Numbers of invalid records found so far.
    pub fn rejects(&self) -> RejectCounts {
        self.rejects
    }

    /// Reads the log to its end. If the log has lost records, the chain stays as it is until the
    /// log contains the document in force again.
    ///
    /// # Errors
    ///
    /// Fails if the platform's log cannot be read.
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

    /// Rebuilds the chain from all retained records. The previous tip stays unless the log has a
    /// newer record.
    ///
    /// # Errors
    ///
    /// Fails if the platform's log cannot be read.
    pub async fn advance_from_first(&mut self) -> Result<(), PlatformError> {
        self.started = true;
        self.restart_from_first().await
    }

    async fn start_near_end(&mut self) -> Result<(), PlatformError> {
        let batch = self.read_batch(Offset::default(), 1).await?;
        let (first, next) = (u64::from(batch.first), u64::from(batch.next));
        let from = first.max(next.saturating_sub(INITIAL_READ_RECORDS));
        self.complete = from == first;
        self.chain.skip_to(Offset::from(from));
        self.started = true;
        Ok(())
    }

    async fn restart_from_first(&mut self) -> Result<(), PlatformError> {
        let first = self.read_batch(Offset::default(), 1).await?.first;
        let previous = std::mem::take(&mut self.chain);
        self.complete = true;
        self.chain.skip_to(first);
        let read = self.read_to_end().await;
        self.chain.on_caught_up(true);
        if let Some(snapshot) = previous.snapshot() {
            // The previous tip may come from a peer, and stays unless the log has a newer record.
            let _older = self.chain.offer_snapshot(snapshot);
        }
        read
    }

    /// Adopts the chain of a log that lost records, if its tip is again the document in force.
    async fn recover_from_reset(&mut self) -> Result<(), PlatformError> {
        let mut rebuilt = Self::new(self.platform.clone());
        rebuilt.restart_from_first().await?;
        let digest = |chain: &Chain| chain.tip().map(|tip| tip.digest);
        if digest(&rebuilt.chain).is_some() && digest(&rebuilt.chain) == digest(&self.chain) {
            self.chain = rebuilt.chain;
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
            // A tip that a peer offered was read from the log, so the log must reach that far.
            let tip = self.chain.tip();
            let min_end = tip.map_or(from, |tip| from.max(tip.offset.next()));
            let batch = self.read_batch(from, READ_BATCH_RECORDS).await?;
            if batch.first > from {
                self.complete = true;
                self.chain.skip_to(batch.first);
            }
            self.reset = batch.next < min_end;
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

    async fn read_batch(&self, from: Offset, limit: u32) -> Result<Batch, PlatformError> {
        match self.platform.read(CONFIG_STREAM, from, limit).await {
            Err(PlatformError::Expired { first }) => {
                self.platform.read(CONFIG_STREAM, first, limit).await
            }
            other => other,
        }
    }
}
