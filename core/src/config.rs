//! Validity of configuration records by the order of the log.
//!
//! A record names the offset of its parent and is valid only if the parent is the last valid
//! record before it. Every reader evaluates the same records alike, so that of two racing
//! operators exactly one wins without a compare-and-set in the log.
//!
//! Publishers name only records that they found valid. A reader that does not know the beginning
//! of the log builds on that: a record that a later one names as its parent is valid.

use std::{
    collections::{HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

pub use crate::record::{Change, Digest, Entry, Record, RejectReason, Snapshot};
use crate::{doc::Document, id::Offset, name::OperatorName, record::build, sections::Sections};

/// Deltas after which a publisher writes a snapshot; it bounds the work of a starting reader.
pub const DELTAS_PER_SNAPSHOT: u32 = 64;
/// Valid records kept for peers that lag behind.
const MAX_RECENT: usize = 256;
/// Bytes of valid records kept for peers that lag behind; the newest is kept at any size.
const MAX_RECENT_BYTES: usize = 4 << 20;
/// Records held by a reader that searches for its start.
const MAX_SEARCH: usize = 1 << 16;

/// What became of a record that was read from the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// It is the tip now.
    Valid,
    /// It is invalid for every reader.
    Rejected(RejectReason),
    /// It is judged when the reader has found its start.
    Pending,
    /// It was known before, or lies before a snapshot that a peer gave.
    Old,
    /// It has another digest than the snapshot that a peer gave for this offset.
    Contradiction,
}

/// Why a peer's snapshot or records were not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferError {
    /// They are not newer than what is in force.
    NotNewer,
    /// The log was read up to there and says otherwise.
    Contradiction,
    /// They do not continue the tip, so that a snapshot is needed.
    Gap,
    /// The digest does not fit, or the document has faults.
    Content(RejectReason),
}

/// The newest valid record and its document.
#[derive(Debug, Clone)]
pub struct Tip {
    /// The record's offset.
    pub offset: Offset,
    /// Digest of the document.
    pub digest: Digest,
    /// The operator, or the process that renewed.
    pub author: OperatorName,
    /// When the record was published, in milliseconds since the Unix epoch.
    pub time: u64,
    /// When the last snapshot was published, in milliseconds since the Unix epoch.
    pub snapshot_time: u64,
    /// Deltas since the last snapshot.
    pub deltas: u32,
    /// The document.
    pub document: Arc<Document>,
}

/// Where a reader began that does not know the records before.
#[derive(Debug, Clone, Copy)]
struct Root {
    parent: Option<Offset>,
    floor: Offset,
}

#[derive(Debug)]
enum State {
    /// The tip is the last valid record before `next`.
    Following,
    /// The records from `floor` on are held until the start is found.
    Searching { floor: Offset, held: Vec<Entry> },
}

/// Evaluates configuration records; the tip only moves forward.
#[derive(Debug)]
pub struct Chain {
    tip: Option<Tip>,
    state: State,
    root: Option<Root>,
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
    /// A chain that begins with the log's first record.
    pub fn new() -> Self {
        Self {
            tip: None,
            state: State::Following,
            root: None,
            next: Offset::default(),
            recent: VecDeque::new(),
            recent_bytes: 0,
        }
    }

    /// Continues at `from`. Where that leaves out records, the chain searches for its start again;
    /// an offset below the next one is ignored.
    pub fn skip_to(&mut self, from: Offset) {
        let behind = self.tip.as_ref().is_none_or(|tip| tip.offset.next() < from);
        if from > self.next && behind {
            self.state = State::Searching {
                floor: from,
                held: Vec::new(),
            };
        }
        self.next = self.next.max(from);
    }

    /// Offset of the next record to be read.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// The newest valid record, absent until one was found.
    pub fn tip(&self) -> Option<&Tip> {
        self.tip.as_ref()
    }

    /// Whether the chain still searches for its start.
    pub fn is_searching(&self) -> bool {
        matches!(self.state, State::Searching { .. })
    }

    /// Takes the record at `offset`; `None` stands for one that cannot be decoded.
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
        if let State::Searching { floor, held } = &mut self.state {
            held.push(entry);
            // Dropping the oldest is the same as a start at a later offset.
            if held.len() > MAX_SEARCH {
                held.drain(..MAX_SEARCH / 2);
                *floor = held[0].offset;
            }
            return Applied::Pending;
        }
        self.follow(entry)
    }

    fn follow(&mut self, entry: Entry) -> Applied {
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
            return match build(base.as_deref(), &entry.record) {
                Ok(document) => {
                    self.accept(entry, document);
                    Applied::Valid
                }
                Err(reject) => Applied::Rejected(reject),
            };
        }
        // The record names a valid one that is newer than the root's parent and was not seen, so
        // that the root was a loser.
        if let Some(root) = self.root
            && parent > root.parent
            && parent < Some(root.floor)
        {
            self.state = State::Searching {
                floor: root.floor,
                held: vec![entry],
            };
            return Applied::Pending;
        }
        Applied::Rejected(RejectReason::Parent)
    }

    fn accept(&mut self, entry: Entry, document: Document) {
        let record = &entry.record;
        let whole = record.change.text().is_some();
        let last = self.tip.take();
        let (snapshot_time, deltas) = match last {
            Some(tip) if !whole => (tip.snapshot_time, tip.deltas.saturating_add(1)),
            _ => (record.time, 0),
        };
        self.tip = Some(Tip {
            offset: entry.offset,
            digest: record.digest,
            author: record.author.clone(),
            time: record.time,
            snapshot_time,
            deltas,
            document: Arc::new(document),
        });
        self.recent_bytes += record.change.size();
        self.recent.push_back(entry);
        while self.recent.len() > MAX_RECENT
            || (self.recent_bytes > MAX_RECENT_BYTES && self.recent.len() > 1)
        {
            if let Some(oldest) = self.recent.pop_front() {
                self.recent_bytes -= oldest.record.change.size();
            }
        }
    }

    /// Says that the log was read to its end; a chain that searches looks for its start.
    ///
    /// `complete` says that the reading began at the first record that the log keeps, so that
    /// while the log keeps a valid snapshot, one is among the records read. Otherwise the start
    /// must be confirmed by a later record, and false tells the caller to read from further back.
    pub fn on_caught_up(&mut self, complete: bool) -> bool {
        let State::Searching { floor, held } = &self.state else {
            return true;
        };
        let Some((root, index, document)) = self.find_start(*floor, held, complete) else {
            return false;
        };
        let State::Searching { mut held, .. } =
            std::mem::replace(&mut self.state, State::Following)
        else {
            return true;
        };
        let later = held.split_off(index + 1);
        self.root = Some(root);
        // The records in between are not known, so that peers get a snapshot instead.
        self.recent.clear();
        self.recent_bytes = 0;
        if let Some(entry) = held.pop() {
            self.accept(entry, document);
        }
        for entry in later {
            let _judged = self.follow(entry);
        }
        true
    }

    /// The first record whose document can be built on the way from the last valid record before
    /// `floor`.
    fn find_start(
        &self,
        floor: Offset,
        held: &[Entry],
        complete: bool,
    ) -> Option<(Root, usize, Document)> {
        let before = held.iter().map(|entry| entry.record.parent);
        let parent = before.filter(|parent| *parent < Some(floor)).max()?;
        let own = self.tip.as_ref();
        if own.is_some_and(|tip| parent < Some(tip.offset)) {
            return None;
        }
        let root = Root { parent, floor };
        let base = own.filter(|tip| parent == Some(tip.offset));
        let base = base.map(|tip| &*tip.document.text);
        let named: HashSet<_> = held
            .iter()
            .filter_map(|entry| entry.record.parent)
            .collect();
        let mut current = parent;
        loop {
            let children = held.iter().enumerate();
            let children = children.filter(|(_, entry)| entry.record.parent == current);
            let children: Vec<_> = children.collect();
            let proven = children
                .iter()
                .find(|(_, entry)| named.contains(&entry.offset));
            let candidates = proven.map_or(&*children, std::slice::from_ref);
            let mut unjudged = false;
            let built = candidates.iter().find_map(|(index, entry)| {
                let base = base.filter(|_| current == parent);
                if base.is_none() && entry.record.change.text().is_none() {
                    unjudged = true;
                    return None;
                }
                let document = build(base, &entry.record).ok()?;
                Some((*index, document))
            });
            // A delta without its base cannot be judged. If it was valid, no later record could
            // follow, and the log would keep no valid snapshot. Below the floor there may be
            // earlier children of the root's parent.
            let confirmed = complete || proven.is_some() || (current != parent && !unjudged);
            match (built, proven) {
                (Some((index, document)), _) if confirmed => return Some((root, index, document)),
                (None, Some((_, entry))) if Some(entry.offset) > current => {
                    current = Some(entry.offset);
                }
                _ => return None,
            }
        }
    }

    /// The document in force, for a peer.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let tip = self.tip.as_ref()?;
        Some(Snapshot {
            offset: tip.offset,
            digest: tip.digest,
            author: tip.author.clone(),
            time: tip.time,
            snapshot_time: tip.snapshot_time,
            deltas: tip.deltas,
            text: Arc::clone(&tip.document.text),
        })
    }

    /// The valid records after the valid record at `offset`, for a peer; `None` when they are no
    /// longer held, so that the peer needs a snapshot.
    pub fn records_after(&self, offset: Offset) -> Option<Vec<Entry>> {
        if self.tip.as_ref().is_some_and(|tip| tip.offset == offset) {
            return Some(Vec::new());
        }
        let mut recent = self.recent.iter();
        let first = recent.position(|entry| entry.record.parent == Some(offset))?;
        Some(self.recent.iter().skip(first).cloned().collect())
    }

    /// The valid records that are still held, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &Entry> {
        self.recent.iter()
    }

    /// Takes a document from a peer, if it is newer and does not contradict the log as read.
    ///
    /// # Errors
    ///
    /// Says why it was not taken.
    pub fn offer_snapshot(&mut self, offered: Snapshot) -> Result<(), OfferError> {
        let offset = offered.offset;
        // The same document under a higher offset comes from a peer that knew the log before it was
        // set back; the offset that this chain read from the log stays.
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
        if let State::Searching { floor, held } = &self.state
            && (*floor..self.next).contains(&offset)
        {
            let read = held.iter().find(|entry| entry.offset == offset);
            if read.is_none_or(|entry| entry.record.digest != offered.digest) {
                return Err(OfferError::Contradiction);
            }
        }
        let document = Document::parse("peer", &offered.text)
            .map_err(|_faults| OfferError::Content(RejectReason::Document))?;
        self.tip = Some(Tip {
            offset,
            digest: offered.digest,
            author: offered.author,
            time: offered.time,
            snapshot_time: offered.snapshot_time,
            deltas: offered.deltas,
            document: Arc::new(document),
        });
        self.recent.clear();
        self.recent_bytes = 0;
        self.root = None;
        if let State::Searching { floor, .. } = &self.state
            && offset.next() >= *floor
            && let State::Searching { held, .. } =
                std::mem::replace(&mut self.state, State::Following)
        {
            for entry in held {
                let _judged = self.follow(entry);
            }
        }
        Ok(())
    }

    /// Takes valid records from a peer; returns how many moved the tip.
    ///
    /// # Errors
    ///
    /// Says why the first one that does not fit was not taken.
    pub fn offer_records(&mut self, offered: Vec<Entry>) -> Result<usize, OfferError> {
        let mut taken = 0;
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
            let document =
                build(Some(&tip.document.text), &entry.record).map_err(OfferError::Content)?;
            self.accept(entry, document);
            taken += 1;
        }
        // A gap behind the log's floor may be closed now.
        if taken > 0
            && let State::Searching { floor, .. } = &self.state
            && self
                .tip
                .as_ref()
                .is_some_and(|tip| tip.offset.next() >= *floor)
            && let State::Searching { held, .. } =
                std::mem::replace(&mut self.state, State::Following)
        {
            for entry in held {
                let _judged = self.follow(entry);
            }
        }
        Ok(taken)
    }

    /// When this process renews the configuration, in milliseconds since the Unix epoch.
    ///
    /// `random` spreads the processes over an eighth of the retention, so that the first renewal
    /// is seen by nearly all others before their own is due.
    pub fn renewal_due_ms(&self, random: u64) -> Option<u64> {
        let tip = self.tip.as_ref()?;
        let retention = millis(tip.document.limits.retention);
        let delay = u128::from(random) * u128::from(retention / 8) / (u128::from(u64::MAX) + 1);
        let delay = u64::try_from(delay).unwrap_or(u64::MAX);
        Some(
            tip.snapshot_time
                .saturating_add(retention / 2)
                .saturating_add(delay),
        )
    }

    /// The record that leads from the tip to `document`: a delta, or a snapshot where there is no
    /// tip, that is smaller, or many deltas have gathered.
    pub fn propose(
        &self,
        document: &Sections,
        id: u128,
        author: OperatorName,
        time: u64,
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
            time,
            digest,
            change: delta.unwrap_or_else(|| Change::Snapshot(Arc::from(text))),
        }
    }

    /// The record that renews the tip.
    pub fn propose_renewal(&self, id: u128, author: OperatorName, time: u64) -> Option<Record> {
        let tip = self.tip.as_ref()?;
        Some(Record {
            id,
            parent: Some(tip.offset),
            author,
            time,
            digest: tip.digest,
            change: Change::Renew(Arc::clone(&tip.document.text)),
        })
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
