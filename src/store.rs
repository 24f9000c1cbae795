//! HTTP client of the platform's log store.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{
    catch_up::{ReadProgress, Span},
    id::{Era, Offset, Position},
    transfer::TransferLimits,
};
use ebonyfall_platform::store::{self, KeyedRecord, StoreDecodeError, Topic, Unreadable};
use http::{Method, StatusCode};
use snafu::{ResultExt, Snafu, ensure};
use tokio::time;

use crate::{
    clock::BootClock,
    listing::{ListCursor, ListPage},
    meters::EntryMetrics,
    rest::{Answer, NoAnswer, Rest},
};

/// Time until an answer begins, in addition to the time for which the store may wait for records, and
/// longest time without progress of it. A connection without progress is closed and replaced.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum size of an answer, in bytes. The store returns at most 1 MiB of records in a call, a third
/// more in a list, where values are in base64.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Size of the records in the answer to a read, in KiB; a longer record comes alone. A router that is
/// behind learns from it how far, before it reads what a list would spare it.
const FIRST_READ_KB: u32 = 128;
/// The same for reads that go on.
const LATER_READ_KB: u32 = 1_024;
/// Room for the records of a list that are kept, in bytes of keys and values; several times the records
/// of all routers of the target size.
const MAX_KEPT_BYTES: usize = 2 << 20;
/// Largest number of times that the timeout doubles after consecutive failures.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;
/// Mean pause before the first retry of a page of a list, doubled with each further retry.
const PAGE_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Largest mean pause between retries; the retry after it is the last one.
const MAX_PAGE_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Error of a call to the store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The store did not answer; a write may have taken effect.
    #[snafu(display("{source}; check the store's address and state"))]
    Call {
        /// Why there was no answer.
        source: NoAnswer,
    },
    /// The store refused the call, which had no effect.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused {
        /// HTTP status of the refusal.
        status: StatusCode,
    },
    /// The requested records have expired.
    #[snafu(display("the requested records have expired from the store"))]
    Expired,
    /// The store has come back from an older copy, so that offsets of before mean other records. An
    /// append may have taken effect.
    #[snafu(display("the store has come back from an older copy: era {era}, {known} before"))]
    Restored {
        /// Era of the offset in the call.
        known: Era,
        /// Era of the answer.
        era: Era,
    },
    /// A list goes on after a key at which a page has ended before.
    #[snafu(display("a list of the store does not advance after the key {key:?}"))]
    NoProgress {
        /// Last key of the page.
        key: String,
    },
    /// A list is longer than any store's.
    #[snafu(display("a list of the store has more than {max_bytes} bytes"))]
    TooLong {
        /// The limit.
        max_bytes: u64,
    },
    /// The answer cannot be decoded.
    #[snafu(display("{source}"))]
    Decode {
        /// The decoder's error.
        source: StoreDecodeError,
    },
}

impl StoreError {
    /// The error of an answer of `era` where `known` was expected.
    pub fn restored(known: Era, era: Era) -> Self {
        Self::Restored { known, era }
    }

    /// Whether the same call may succeed later.
    pub(crate) fn is_passing(&self) -> bool {
        matches!(self, Self::Call { .. } | Self::Refused { .. })
    }

    /// Whether the stream has to be listed before it can be read on.
    pub fn needs_list(&self) -> bool {
        match self {
            Self::Expired => true,
            Self::Restored { known, era } => era > known,
            _ => false,
        }
    }
}

/// The newest records of a stream that are used.
#[derive(Debug)]
pub struct Listing {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// Number of other records, and of those for which there was no room.
    pub left_out: u64,
    /// Position from which to read later records.
    pub end: Position,
}

/// Which read of those that follow each other until no record is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadPart {
    /// The first one, which tells how many records are left.
    First,
    /// A later one, which gets more records at once.
    Later,
}

/// Consecutive records of a stream.
#[derive(Debug)]
pub struct Batch {
    /// The records that could be decoded; others are omitted.
    pub records: Vec<KeyedRecord>,
    /// Records that are omitted.
    pub unreadable: Unreadable,
    /// Position that follows the last record of the batch.
    pub next: Position,
    /// Position that the next record of the stream will get.
    pub end: Position,
}

impl Batch {
    /// Positions of the batch, which was read from `from` on.
    pub fn span(&self, from: Position) -> Span {
        Span {
            from,
            next: self.next,
            end: self.end,
        }
    }

    /// What the batch brought before its records are sorted, and how many records the stream had after it.
    pub fn progress(&self) -> ReadProgress {
        let (next, end) = (u64::from(self.next.offset), u64::from(self.end.offset));
        let bytes: usize = self.records.iter().map(KeyedRecord::size).sum();
        ReadProgress {
            records: self.records.len() as u64 + self.unreadable.records,
            bytes: bytes as u64 + self.unreadable.bytes,
            unused_bytes: 0,
            left: end.saturating_sub(next),
        }
    }
}

/// Body of a successful answer, and the era of the store that gave it.
struct StoreAnswer {
    era: Era,
    body: Bytes,
}

impl StoreAnswer {
    /// Takes a successful answer.
    fn new(answer: Answer) -> Result<Self, StoreError> {
        match answer.status {
            StatusCode::GONE => ExpiredSnafu.fail(),
            status if status.is_success() => Ok(Self {
                era: store::decode_era(&answer.headers),
                body: answer.body,
            }),
            status => RefusedSnafu { status }.fail(),
        }
    }
}

/// Client of the log store; clones share its connections and metrics.
#[derive(Debug, Clone)]
pub struct StoreClient {
    rest: Rest,
    meters: EntryMetrics,
}

impl StoreClient {
    /// Creates a client of the store at `address`, which records call times in `meters`.
    pub fn new(address: SocketAddr, meters: EntryMetrics) -> Self {
        let rest = Rest::new(format!("http://{address}"), MAX_ANSWER_BYTES);
        Self { rest, meters }
    }

    /// Returns the newest record of each key that `is_used` accepts, whatever other records there are. Those
    /// for which there is no room are left out.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::next_page`].
    pub async fn newest(
        &self,
        topic: Topic,
        mut is_used: impl FnMut(&KeyedRecord) -> bool,
    ) -> Result<Listing, StoreError> {
        let mut cursor = ListCursor::new(topic);
        let mut records = Vec::new();
        let (mut bytes, mut unusable, mut no_room) = (0, 0, 0);
        while !cursor.is_complete() {
            let page = self.next_page(&mut cursor, 0).await?;
            unusable += page.unreadable.records;
            for record in page.records {
                if !is_used(&record) {
                    unusable += 1;
                } else if bytes + record.size() > MAX_KEPT_BYTES {
                    no_room += 1;
                } else {
                    bytes += record.size();
                    records.push(record);
                }
            }
        }
        self.meters
            .count_left_out(topic.label(), "unusable", unusable);
        self.meters
            .count_left_out(topic.label(), "no_room", no_room);
        Ok(Listing {
            records,
            left_out: unusable + no_room,
            end: cursor.end().unwrap_or_default(),
        })
    }

    /// Returns the newest record of one key, and the position from which to read later records.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::next_page`].
    pub async fn find(
        &self,
        topic: Topic,
        key: &str,
    ) -> Result<(Option<KeyedRecord>, Position), StoreError> {
        let mut cursor = ListCursor::new(topic);
        let mut found = None;
        while !cursor.is_complete() {
            let page = self.next_page(&mut cursor, 0).await?;
            let records = page.records.into_iter();
            found = records.filter(|record| record.key == key).last().or(found);
        }
        Ok((found, cursor.end().unwrap_or_default()))
    }

    /// Reads the next page of a list. The timeout grows with the number of preceding `failures`, since a fleet that starts all
    /// at once may request more than the store can send within the normal timeout.
    ///
    /// # Errors
    ///
    /// Fails if the store refuses a call, does not answer, or comes back from an older copy meanwhile, and if
    /// the list does not end. After a call without an answer, the list can be read on.
    pub async fn next_page(
        &self,
        cursor: &mut ListCursor,
        failures: u32,
    ) -> Result<ListPage, StoreError> {
        let wait = CALL_TIMEOUT * ((1 << failures.min(MAX_TIMEOUT_DOUBLINGS)) - 1);
        let path = store::newest_path(cursor.topic(), cursor.after());
        let answer = match cursor.after() {
            None => self.call(Method::GET, &path, Vec::new(), wait).await?,
            Some(_) => self.later_page(&path, wait).await?,
        };
        let page = store::decode_newest(&answer.body).context(DecodeSnafu)?;
        let end = Position {
            era: answer.era,
            offset: page.end,
        };
        cursor.record(page, end)
    }

    /// Requests a page after the first one, with retries, so that one failed call does not discard
    /// the preceding pages.
    async fn later_page(&self, path: &str, wait: Duration) -> Result<StoreAnswer, StoreError> {
        let mut pause = PAGE_RETRY_PAUSE;
        loop {
            let answer = self.call(Method::GET, path, Vec::new(), wait).await;
            if answer.is_ok() || pause > MAX_PAGE_RETRY_PAUSE {
                return answer;
            }
            time::sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
            pause *= 2;
        }
    }

    /// Reads records from position `from`; the store waits up to `wait` for the first one. The records
    /// that arrived before an answer stalled are returned, so that the next read goes on after them.
    ///
    /// # Errors
    ///
    /// Fails if the store refuses the call or does not answer, the records have expired, or the store
    /// has come back from an older copy.
    pub async fn read(
        &self,
        topic: Topic,
        from: Position,
        wait: Duration,
        part: ReadPart,
    ) -> Result<Batch, StoreError> {
        let max_kb = match part {
            ReadPart::First => FIRST_READ_KB,
            ReadPart::Later => LATER_READ_KB,
        };
        let path = store::read_path(topic, from.offset, wait, max_kb);
        match self.call(Method::GET, &path, Vec::new(), wait).await {
            Ok(answer) => decode_batch(from, answer),
            Err(StoreError::Call { mut source }) => {
                let batch = source.partial.take().map(|partial| {
                    let answer = StoreAnswer::new(*partial)?;
                    decode_batch(from, answer)
                });
                match batch {
                    Some(Ok(batch)) if batch.next > from => Ok(batch),
                    _ => Err(StoreError::Call { source }),
                }
            }
            Err(error) => Err(error),
        }
    }

    /// Appends one keyed record, wherever the stream ends.
    ///
    /// # Errors
    ///
    /// Fails with `Refused` if the store refuses the call. Without an answer, the record may have been
    /// appended.
    pub async fn append(&self, topic: Topic, key: &str, value: &[u8]) -> Result<(), StoreError> {
        let path = store::append_path(topic);
        let body = store::append_body(key, value);
        self.call(Method::POST, &path, body, Duration::ZERO).await?;
        Ok(())
    }

    /// Appends one keyed record if the next position of the stream is `at`.
    ///
    /// # Errors
    ///
    /// Fails with `Refused` if the stream has grown in the meantime or the store refuses the call.
    /// Without an answer, or with `Restored`, the record may have been appended.
    pub async fn append_at(
        &self,
        topic: Topic,
        at: Position,
        key: &str,
        value: &[u8],
    ) -> Result<(), StoreError> {
        self.post_append(topic, at, key, value).await?;
        Ok(())
    }

    /// Like [`Self::append_at`], and returns the offset that the record got.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::append_at`], and if the answer does not state the offset.
    pub async fn append_confirmed(
        &self,
        topic: Topic,
        at: Position,
        key: &str,
        value: &[u8],
    ) -> Result<Offset, StoreError> {
        let body = self.post_append(topic, at, key, value).await?;
        store::decode_appended(&body).context(DecodeSnafu)
    }

    async fn post_append(
        &self,
        topic: Topic,
        at: Position,
        key: &str,
        value: &[u8],
    ) -> Result<Bytes, StoreError> {
        let path = store::append_at_path(topic, at.offset);
        let body = store::append_body(key, value);
        self.call_in(at.era, Method::POST, &path, body, Duration::ZERO)
            .await
    }

    /// Makes a call whose offset is of the era `known`, and returns the body of the answer.
    async fn call_in(
        &self,
        known: Era,
        method: Method,
        path: &str,
        body: Vec<u8>,
        wait: Duration,
    ) -> Result<Bytes, StoreError> {
        let answer = self.call(method, path, body, wait).await?;
        check_era(known, answer.era)?;
        Ok(answer.body)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        wait: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        let start = BootClock.now();
        let limits = TransferLimits::new(wait, CALL_TIMEOUT);
        let answer = self.rest.call(method, path, body, limits).await;
        self.meters.observe_store_call(BootClock.now().since(start));
        StoreAnswer::new(answer.context(CallSnafu)?)
    }
}

/// Decodes the answer to a read from `from` on.
fn decode_batch(from: Position, answer: StoreAnswer) -> Result<Batch, StoreError> {
    check_era(from.era, answer.era)?;
    let batch = store::decode_read(from.offset, answer.body).context(DecodeSnafu)?;
    let position = |offset| Position {
        era: from.era,
        offset,
    };
    Ok(Batch {
        records: batch.records,
        unreadable: batch.unreadable,
        next: position(batch.next),
        end: position(batch.end),
    })
}

/// Checks that an answer of `era` is of the era `known`, to which the offset in the call belongs.
pub(crate) fn check_era(known: Era, era: Era) -> Result<(), StoreError> {
    ensure!(era == known, RestoredSnafu { known, era });
    Ok(())
}
