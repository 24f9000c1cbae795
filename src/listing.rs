//! Reads the newest record of each key of a stream, page by page.

use ebonyfall_core::id::Position;
use ebonyfall_platform::store::{KeyedRecord, NewestPage, Topic, Unreadable};
use snafu::ensure;

use crate::store::{NoProgressSnafu, StoreError, TooLongSnafu, check_era};

/// Largest list, in bytes of keys and values that are read; more than a store holds.
const MAX_LIST_BYTES: u64 = 1 << 30;

/// One page of a list.
#[derive(Debug)]
pub struct ListPage {
    /// The newest records of the keys on this page.
    pub records: Vec<KeyedRecord>,
    /// Entries of the page that are omitted.
    pub unreadable: Unreadable,
}

/// How far a list has been read. After a failed call it goes on with the page that failed.
#[derive(Debug)]
pub struct ListCursor {
    topic: Topic,
    /// Last key of the page before; `None` for the first page.
    after: Option<String>,
    /// End of the stream at the first page. Pages are not one snapshot, so changes after it have to be
    /// read from the stream.
    end: Option<Position>,
    is_complete: bool,
    bytes: u64,
    max_bytes: u64,
    /// A former last key, the number of pages since, and after how many it is replaced. Pages that repeat
    /// come back to it.
    mark: Option<String>,
    pages: u64,
    mark_pages: u64,
}

impl ListCursor {
    /// Starts a list of `topic`.
    pub fn new(topic: Topic) -> Self {
        Self::limited(topic, MAX_LIST_BYTES)
    }

    /// Starts a list of `topic` that fails after `max_bytes`.
    pub fn limited(topic: Topic, max_bytes: u64) -> Self {
        Self {
            topic,
            after: None,
            end: None,
            is_complete: false,
            bytes: 0,
            max_bytes,
            mark: None,
            pages: 0,
            mark_pages: 1,
        }
    }

    /// Stream that is listed.
    pub fn topic(&self) -> Topic {
        self.topic
    }

    /// Key after which the next page starts.
    pub fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// Position from which to read later records; `None` before the first page.
    pub fn end(&self) -> Option<Position> {
        self.end
    }

    /// Whether the last page has been read.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Bytes of keys and values that have been read, with those of records that nobody uses.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Records a page, which was read when the stream ended at `end`.
    ///
    /// # Errors
    ///
    /// Fails if the store has come back from an older copy since the first page, if the pages do not
    /// advance, or if the list is too long.
    pub(crate) fn record(
        &mut self,
        page: NewestPage,
        end: Position,
    ) -> Result<ListPage, StoreError> {
        let first_end = *self.end.get_or_insert(end);
        check_era(first_end.era, end.era)?;
        let size: usize = page.records.iter().map(KeyedRecord::size).sum();
        self.bytes += size as u64 + page.unreadable.bytes;
        ensure!(
            self.bytes <= self.max_bytes,
            TooLongSnafu {
                max_bytes: self.max_bytes
            }
        );
        match page.next_page_after {
            None => self.is_complete = true,
            Some(next) => self.advance(next)?,
        }
        Ok(ListPage {
            records: page.records,
            unreadable: page.unreadable,
        })
    }

    fn advance(&mut self, next: String) -> Result<(), StoreError> {
        ensure!(
            self.mark.as_ref() != Some(&next),
            NoProgressSnafu { key: next }
        );
        self.pages += 1;
        if self.pages == self.mark_pages {
            self.mark = Some(next.clone());
            self.pages = 0;
            self.mark_pages *= 2;
        }
        self.after = Some(next);
        Ok(())
    }
}
