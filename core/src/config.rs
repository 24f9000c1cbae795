//! Validates configuration records by their order in the log.
//!
//! Each record holds the offset of its parent and is valid only if the parent is the last valid
//! record before it. All readers apply the same rule to the same records, so exactly one of two
//! concurrent operators wins without a compare-and-set operation in the log.
//!
//! A publisher only uses a record as parent that it found valid. A reader that does not have the
//! beginning of the log relies on this: any record that is the parent of a later one is valid.

use std::{
    collections::{HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

pub use crate::record::{Change, Digest, Entry, Record, RejectReason, Snapshot};
use crate::{
    doc::Document, id::Offset, name::OperatorName, record::build_document, sections::Sections,
};

/// Number of deltas after which a publisher writes a snapshot. Bounds the records that a starting
/// reader has to apply.
pub const DELTAS_PER_SNAPSHOT: u32 = 64;
/// Maximum number of valid records kept for peers that lag behind.
const MAX_RECENT_RECORDS: usize = 256;
/// Maximum total size, in bytes, of the valid records kept for peers that lag behind. The newest
/// record is kept whatever its size.
const MAX_RECENT_BYTES: usize = 4 << 20;
/// Maximum number of records that a reader buffers until it finds a valid starting record.
const MAX_BUFFERED_RECORDS: usize = 1 << 16;

/// Result of evaluating a record that was read from the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The record is valid and is the new tip.
    Valid,
    /// The record is invalid, for this reason, for every reader.
    Rejected(RejectReason),
    /// The record is buffered and evaluated once the reader has found a valid starting record.
    Pending,
    /// The record was read before, or precedes a snapshot that was received from a peer.
    Old,
    /// The digest differs from that of the snapshot received from a peer for the same offset.
    Contradiction,
}

/// Why a snapshot or records received from a peer were rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferError {
    /// The peer's data is not newer than the configuration in force.
    NotNewer,
    /// The log has been read past this offset, and its content differs.
    Contradiction,
    /// The first record is not a child of the tip, so a snapshot is needed.
    Gap,
    /// The digest does not match, or the document has errors.
    Content(RejectReason),
}

/// The newest valid record and its document.
#[derive(Debug, Clone)]
pub struct Tip {
    /// Offset of the record in the log.
    pub offset: Offset,
    /// Digest of the document.
    pub digest: Digest,
    /// The operator who published the record, or the process that renewed the configuration.
    pub author: OperatorName,
    /// Time of publication, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// Publication time of the last snapshot or renewal, in milliseconds since the Unix epoch.
    pub snapshot_published_ms: u64,
    /// Number of deltas since the last snapshot or renewal.
    pub deltas: u32,
    /// The document that results from the record.
    pub document: Arc<Document>,
}

/// Where a reader started that has not seen the earlier records.
#[derive(Debug, Clone, Copy)]
struct ReadStart {
    /// Parent of the starting record.
    parent: Option<Offset>,
    /// Offset of the first record that was read.
    first_read: Offset,
}

#[derive(Debug)]
enum State {
    /// The tip is the last valid record before the next offset.
    Following,
    /// The records from `first_read` on are buffered until a valid starting record is found.
    Searching {
        first_read: Offset,
        buffered: Vec<Entry>,
    },
}

/// The chain of valid configuration records. The tip never moves to a lower offset.
#[derive(Debug)]
pub struct Chain {
    tip: Option<Tip>,
    state: State,
    read_start: Option<ReadStart>,
    next: Offset,
    recent: VecDeque<Entry>,
    recent_bytes: usize,
}

impl Default for Chain {
    fn default() -> Self {
        Self::new()
    }
}

impl Chain {
    /// Creates a chain that starts with the first record ever written to the log.
    pub fn new() -> Self {
        Self {
            tip: None,
            state: State::Following,
            read_start: None,
            next: Offset::default(),
            recent: VecDeque::new(),
            recent_bytes: 0,
        }
    }

    /// Continues reading at `from`. If this skips records that may follow the tip, the chain has to
    /// find a valid starting record again. An offset below the next one is ignored.
    pub fn skip_to(&mut self, from: Offset) {
        let behind = self.tip.as_ref().is_none_or(|tip| tip.offset.next() < from);
        if from > self.next && behind {
            self.state = State::Searching {
                first_read: from,
                buffered: Vec::new(),
            };
        }
        self.next = self.next.max(from);
    }

    /// Offset of the next record to be read.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// The newest valid record; `None` until one has been found.
    pub fn tip(&self) -> Option<&Tip> {
        self.tip.as_ref()
    }

    /// Whether the chain has not yet found a valid starting record.
    pub fn is_searching(&self) -> bool {
        matches!(self.state, State::Searching { .. })
    }

    /// Evaluates the record at `offset`; `None` stands for a record that cannot be decoded.
    pub fn apply(&mut self, offset: Offset, record: Option<Record>) -> Applied {
        if offset < self.next {
            return Applied::Old;
        }
        self.next = offset.next();
        let Some(record) = record else {
            return Applied::Rejected(RejectReason::Digest);
        };
        let entry = Entry {
            offset,
            record: Arc::new(record),
        };
        if let State::Searching {
            first_read,
            buffered,
        } = &mut self.state
        {
            buffered.push(entry);
            // Dropping the oldest records is equivalent to starting at a later offset.
            if buffered.len() > MAX_BUFFERED_RECORDS {
                buffered.drain(..MAX_BUFFERED_RECORDS / 2);
                *first_read = buffered[0].offset;
            }
            return Applied::Pending;
        }
        self.evaluate(entry)
    }

    fn evaluate(&mut self, entry: Entry) -> Applied {
        let offset = self.tip.as_ref().map(|tip| tip.offset);
        if offset >= Some(entry.offset) {
            let same = self.tip.as_ref().map(|tip| tip.digest) == Some(entry.record.digest);
            return if offset == Some(entry.offset) && !same {
                Applied::Contradiction
            } else {
                Applied::Old
            };
        }
        let parent = entry.record.parent;
        if parent == offset {
            let base = self.tip.as_ref().map(|tip| Arc::clone(&tip.document.text));
            return match build_document(base.as_deref(), &entry.record) {
                Ok(document) => {
                    self.advance_tip(entry, document);
                    Applied::Valid
                }
                Err(reject) => Applied::Rejected(reject),
            };
        }
        // The parent is valid, was not read and is newer than the parent of the starting record.
        // The starting record therefore lost a race, and the search has to be repeated.
        if let Some(read_start) = self.read_start
            && parent > read_start.parent
            && parent < Some(read_start.first_read)
        {
            self.state = State::Searching {
                first_read: read_start.first_read,
                buffered: vec![entry],
            };
            return Applied::Pending;
        }
        Applied::Rejected(RejectReason::Parent)
    }

    fn advance_tip(&mut self, entry: Entry, document: Document) {
        let record = &entry.record;
        let is_full_document = record.change.text().is_some();
        let previous_tip = self.tip.take();
        let (snapshot_published_ms, deltas) = match previous_tip {
            Some(tip) if !is_full_document => {
                (tip.snapshot_published_ms, tip.deltas.saturating_add(1))
            }
            _ => (record.published_ms, 0),
        };
        self.tip = Some(Tip {
            offset: entry.offset,
            digest: record.digest,
            author: record.author.clone(),
            published_ms: record.published_ms,
            snapshot_published_ms,
            deltas,
            document: Arc::new(document),
        });
        self.recent_bytes += record.change.size();
        self.recent.push_back(entry);
        while self.recent.len() > MAX_RECENT_RECORDS
            || (self.recent_bytes > MAX_RECENT_BYTES && self.recent.len() > 1)
        {
            if let Some(oldest) = self.recent.pop_front() {
                self.recent_bytes -= oldest.record.change.size();
            }
        }
    }

    /// Must be called when the log has been read to its end. A chain without a valid starting
    /// record looks for one among the buffered records and returns false if there is none.
    ///
    /// `from_log_start` means that the first record that the log still keeps was read. The records
    /// read then include a valid snapshot if the log keeps one. Otherwise the starting record must
    /// be confirmed by a later record, and on false the caller has to read from further back.
    pub fn on_caught_up(&mut self, from_log_start: bool) -> bool {
        let State::Searching {
            first_read,
            buffered,
        } = &self.state
        else {
            return true;
        };
        let Some((read_start, index, document)) =
            self.find_start(*first_read, buffered, from_log_start)
        else {
            return false;
        };
        let State::Searching { mut buffered, .. } =
            std::mem::replace(&mut self.state, State::Following)
        else {
            return true;
        };
        let later = buffered.split_off(index + 1);
        self.read_start = Some(read_start);
        // The records in between are not known, so lagging peers have to get a snapshot.
        self.recent.clear();
        self.recent_bytes = 0;
        if let Some(entry) = buffered.pop() {
            self.advance_tip(entry, document);
        }
        for entry in later {
            let _applied = self.evaluate(entry);
        }
        true
    }

    /// Follows the chain from the last valid record before `first_read` to the first record whose
    /// document can be built. Returns its index in `buffered` and that document.
    fn find_start(
        &self,
        first_read: Offset,
        buffered: &[Entry],
        from_log_start: bool,
    ) -> Option<(ReadStart, usize, Document)> {
        let parents = buffered.iter().map(|entry| entry.record.parent);
        let parent = parents.filter(|parent| *parent < Some(first_read)).max()?;
        let tip = self.tip.as_ref();
        if tip.is_some_and(|tip| parent < Some(tip.offset)) {
            return None;
        }
        let read_start = ReadStart { parent, first_read };
        let base = tip.filter(|tip| parent == Some(tip.offset));
        let base = base.map(|tip| &*tip.document.text);
        let known_parents: HashSet<_> = buffered
            .iter()
            .filter_map(|entry| entry.record.parent)
            .collect();
        let mut current = parent;
        loop {
            let children = buffered.iter().enumerate();
            let children = children.filter(|(_, entry)| entry.record.parent == current);
            let children: Vec<_> = children.collect();
            let confirmed_child = children
                .iter()
                .find(|(_, entry)| known_parents.contains(&entry.offset));
            let candidates = confirmed_child.map_or(&*children, std::slice::from_ref);
            let mut undecidable = false;
            let built = candidates.iter().find_map(|(index, entry)| {
                let base = base.filter(|_| current == parent);
                if base.is_none() && entry.record.change.text().is_none() {
                    undecidable = true;
                    return None;
                }
                let document = build_document(base, &entry.record).ok()?;
                Some((*index, document))
            });
            // A delta without its base cannot be evaluated. If it were valid, it would be the last
            // valid record, and the log would keep no valid snapshot; a reader of everything that
            // the log keeps can therefore skip it. Other readers need a confirmation, since the
            // parent of the starting record may have earlier children before `first_read`.
            let confirmed =
                from_log_start || confirmed_child.is_some() || (current != parent && !undecidable);
            match (built, confirmed_child) {
                (Some((index, document)), _) if confirmed => {
                    return Some((read_start, index, document));
                }
                (None, Some((_, entry))) if Some(entry.offset) > current => {
                    current = Some(entry.offset);
                }
                _ => return None,
            }
        }
    }

    /// The document in force, in the form in which it is sent to a peer.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let tip = self.tip.as_ref()?;
        Some(Snapshot {
            offset: tip.offset,
            digest: tip.digest,
            author: tip.author.clone(),
            published_ms: tip.published_ms,
            snapshot_published_ms: tip.snapshot_published_ms,
            deltas: tip.deltas,
            text: Arc::clone(&tip.document.text),
        })
    }

    /// The valid records after the valid record at `offset`, to be sent to a peer. `None` if they
    /// are no longer kept, so that the peer needs a snapshot.
    pub fn records_after(&self, offset: Offset) -> Option<Vec<Entry>> {
        if self.tip.as_ref().is_some_and(|tip| tip.offset == offset) {
            return Some(Vec::new());
        }
        let mut recent = self.recent.iter();
        let first = recent.position(|entry| entry.record.parent == Some(offset))?;
        Some(self.recent.iter().skip(first).cloned().collect())
    }

    /// The valid records that are kept for peers, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &Entry> {
        self.recent.iter()
    }

    /// Adopts a document from a peer if it is newer and does not contradict the log as read.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the document is rejected; the chain is then unchanged.
    pub fn offer_snapshot(&mut self, offered: Snapshot) -> Result<(), OfferError> {
        let offset = offered.offset;
        // The same document at a higher offset comes from a peer that read the log before it was
        // reset to an earlier state. This chain keeps the offset that it read from the log.
        let same =
            |tip: &Tip| tip.digest == offered.digest && matches!(self.state, State::Following);
        if self
            .tip
            .as_ref()
            .is_some_and(|tip| tip.offset >= offset || (same(tip) && offset >= self.next))
        {
            return Err(OfferError::NotNewer);
        }
        if Digest::of(&offered.text) != offered.digest {
            return Err(OfferError::Content(RejectReason::Digest));
        }
        if let State::Following = self.state
            && offset < self.next
        {
            return Err(OfferError::Contradiction);
        }
        if let State::Searching {
            first_read,
            buffered,
        } = &self.state
            && (*first_read..self.next).contains(&offset)
        {
            let read = buffered.iter().find(|entry| entry.offset == offset);
            if read.is_none_or(|entry| entry.record.digest != offered.digest) {
                return Err(OfferError::Contradiction);
            }
        }
        let document = Document::parse("peer", &offered.text)
            .map_err(|_diagnostics| OfferError::Content(RejectReason::Document))?;
        self.tip = Some(Tip {
            offset,
            digest: offered.digest,
            author: offered.author,
            published_ms: offered.published_ms,
            snapshot_published_ms: offered.snapshot_published_ms,
            deltas: offered.deltas,
            document: Arc::new(document),
        });
        self.recent.clear();
        self.recent_bytes = 0;
        self.read_start = None;
        if let State::Searching { first_read, .. } = &self.state
            && offset.next() >= *first_read
            && let State::Searching { buffered, .. } =
                std::mem::replace(&mut self.state, State::Following)
        {
            for entry in buffered {
                let _applied = self.evaluate(entry);
            }
        }
        Ok(())
    }

    /// Applies valid records from a peer. Returns the number of records that advanced the tip.
    ///
    /// # Errors
    ///
    /// Fails with the reason for the first record that is rejected. Earlier records stay applied.
    pub fn offer_records(&mut self, offered: Vec<Entry>) -> Result<usize, OfferError> {
        let mut applied = 0;
        for entry in offered {
            let tip = self.tip.as_ref().ok_or(OfferError::Gap)?;
            if entry.offset <= tip.offset {
                continue;
            }
            if entry.record.parent != Some(tip.offset) {
                return Err(OfferError::Gap);
            }
            if matches!(self.state, State::Following) && entry.offset < self.next {
                return Err(OfferError::Contradiction);
            }
            let document = build_document(Some(&tip.document.text), &entry.record)
                .map_err(OfferError::Content)?;
            self.advance_tip(entry, document);
            applied += 1;
        }
        // The records may have closed the gap before the first record that was read from the log.
        if applied > 0
            && let State::Searching { first_read, .. } = &self.state
            && self
                .tip
                .as_ref()
                .is_some_and(|tip| tip.offset.next() >= *first_read)
            && let State::Searching { buffered, .. } =
                std::mem::replace(&mut self.state, State::Following)
        {
            for entry in buffered {
                let _applied = self.evaluate(entry);
            }
        }
        Ok(applied)
    }

    /// When this process has to renew the configuration, in milliseconds since the Unix epoch;
    /// `None` without a tip. Renewals repeat the document before the log's retention expires.
    ///
    /// `random` spreads the processes over an eighth of the retention time, so that nearly all of
    /// them read the first renewal before their own is due.
    pub fn renewal_due_ms(&self, random: u64) -> Option<u64> {
        let tip = self.tip.as_ref()?;
        let retention = millis(tip.document.limits.retention);
        let delay = u128::from(random) * u128::from(retention / 8) / (u128::from(u64::MAX) + 1);
        let delay = u64::try_from(delay).unwrap_or(u64::MAX);
        Some(
            tip.snapshot_published_ms
                .saturating_add(retention / 2)
                .saturating_add(delay),
        )
    }

    /// Builds the record that turns the document of the tip into `document`. The record is a
    /// snapshot if there is no tip, if a snapshot is not larger than the delta, or if
    /// [`DELTAS_PER_SNAPSHOT`] deltas have followed the last snapshot; otherwise it is a delta.
    pub fn propose(
        &self,
        document: &Sections,
        id: u128,
        author: OperatorName,
        published_ms: u64,
    ) -> Record {
        let text = document.render();
        let digest = Digest::of(&text);
        let delta = self.tip.as_ref().and_then(|tip| {
            let edits = Sections::parse("log", &tip.document.text)
                .ok()?
                .edits(document);
            let delta = Change::Delta(edits);
            (delta.size() < text.len() && tip.deltas < DELTAS_PER_SNAPSHOT).then_some(delta)
        });
        Record {
            id,
            parent: self.tip.as_ref().map(|tip| tip.offset),
            author,
            published_ms,
            digest,
            change: delta.unwrap_or_else(|| Change::Snapshot(Arc::from(text))),
        }
    }

    /// Builds a record that repeats the document of the tip; `None` without a tip.
    pub fn propose_renewal(
        &self,
        id: u128,
        author: OperatorName,
        published_ms: u64,
    ) -> Option<Record> {
        let tip = self.tip.as_ref()?;
        Some(Record {
            id,
            parent: Some(tip.offset),
            author,
            published_ms,
            digest: tip.digest,
            change: Change::Renew(Arc::clone(&tip.document.text)),
        })
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
