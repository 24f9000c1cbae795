//! Lists of the followed streams, which are read on after a failed call.

use std::time::Duration;

use ebonyfall_core::{id::Position, time::Time};
use ebonyfall_platform::store::{KeyedRecord, Topic};
use tokio::sync::watch;

use super::filter::{ListedRecords, RecordFilter};
use crate::{
    listing::ListCursor,
    mirror::Mirror,
    store::{StoreClient, StoreError},
};

/// Age from which on a list is begun anew after a failed call. Changes since its first page have to be read
/// from the stream, which keeps them for a limited time.
const MAX_LIST_AGE: Duration = Duration::from_secs(15);

/// A list that is being read.
pub(super) struct StreamList {
    cursor: ListCursor,
    listed: ListedRecords,
    started_at: Time,
}

impl StreamList {
    pub(super) fn new(topic: Topic, now: Time) -> Self {
        Self {
            cursor: ListCursor::new(topic),
            listed: RecordFilter::start_list(),
            started_at: now,
        }
    }

    /// Time of which the list has the state.
    pub(super) fn started_at(&self) -> Time {
        self.started_at
    }

    pub(super) fn is_complete(&self) -> bool {
        self.cursor.is_complete()
    }

    /// Whether any record is used.
    pub(super) fn has_records(&self) -> bool {
        !self.listed.records.is_empty()
    }

    /// Bytes that have been read.
    pub(super) fn bytes(&self) -> u64 {
        self.cursor.bytes()
    }

    /// Reads the next page, and returns those of its records that are used. `mirror` has what is known.
    ///
    /// # Errors
    ///
    /// Fails like [`StoreClient::next_page`].
    pub(super) async fn read_page(
        &mut self,
        store: &StoreClient,
        failures: u32,
        filter: &mut RecordFilter,
        mirror: &watch::Sender<Mirror>,
    ) -> Result<&[KeyedRecord], StoreError> {
        let page = store.next_page(&mut self.cursor, failures).await?;
        let before = self.listed.records.len();
        let listed = &mut self.listed;
        filter.add_page(listed, page.records, page.unreadable, &mirror.borrow());
        Ok(&listed.records[before..])
    }

    /// The list, to be read on after `error`; `None` if it has to begin anew.
    pub(super) fn after_failure(self, error: &StoreError, now: Time) -> Option<Self> {
        let is_recent = now.since(self.started_at) < MAX_LIST_AGE;
        let has_begun = self.cursor.end().is_some();
        (is_recent && has_begun && error.is_passing()).then_some(self)
    }

    /// The records of a complete list, and the position from which to read later ones.
    pub(super) fn finish(self) -> (ListedRecords, Position) {
        (self.listed, self.cursor.end().unwrap_or_default())
    }
}
