//! HTTP client of the platform's log store.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use ebonyfall_core::id::Offset;
use ebonyfall_platform::store::{self, KeyedRecord, ReadBatch, StoreDecodeError, Topic};
use http::{Method, StatusCode};
use snafu::{ResultExt, Snafu};
use tokio::time;

use crate::{
    clock::BootClock,
    meters::EntryMetrics,
    rest::{NoAnswer, Rest},
};

/// Timeout of a call, in addition to the time for which the store may wait for records. A
/// slow store answers within it; a connection without an answer is closed and replaced.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum size of an answer, in bytes. The store returns at most 1 MiB of records in a call, a third
/// more in a list, where values are in base64.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Largest list of newest records, in bytes of keys and values; several times the entries and the
/// desired state of the target size.
pub const MAX_LIST_BYTES: usize = 32 << 20;
/// Largest number of times that the timeout doubles after consecutive failures.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;
/// Mean pause before the first retry of a page of a list, doubled with each further retry.
const PAGE_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Largest mean pause between retries; the retry after it is the last one.
const MAX_PAGE_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Error of a call to the store.
#[derive(Debug, Snafu)]
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
    /// A list goes on after a key at which a page has ended before.
    #[snafu(display("a list of the store does not advance after the key {key:?}"))]
    NoProgress {
        /// Last key of the page.
        key: String,
    },
    /// A list is longer than a router reads.
    #[snafu(display("a list of the store has more than {MAX_LIST_BYTES} bytes"))]
    TooLong,
    /// The answer cannot be decoded.
    #[snafu(display("{source}"))]
    Decode {
        /// The decoder's error.
        source: StoreDecodeError,
    },
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

    /// Returns the newest record of each key, and the offset from which to read later records. The
    /// timeout grows with the number of preceding `failures`, since a fleet that starts all at once
    /// may request more than the store can send within the normal timeout.
    ///
    /// # Errors
    ///
    /// Fails if the store refuses a call or does not answer.
    pub async fn newest(
        &self,
        topic: Topic,
        failures: u32,
    ) -> Result<(Vec<KeyedRecord>, Offset), StoreError> {
        let wait = CALL_TIMEOUT * ((1 << failures.min(MAX_TIMEOUT_DOUBLINGS)) - 1);
        let mut records = Vec::new();
        let mut after: Option<String> = None;
        let mut end = None;
        let mut bytes = 0;
        loop {
            let path = store::newest_path(topic, after.as_deref());
            let body = match after {
                None => self.call(Method::GET, &path, Vec::new(), wait).await?,
                Some(_) => self.later_page(&path, wait).await?,
            };
            let page = store::decode_newest(&body).context(DecodeSnafu)?;
            bytes += page.records.iter().map(record_len).sum::<usize>();
            if bytes > MAX_LIST_BYTES {
                return TooLongSnafu.fail();
            }
            records.extend(page.records);
            // Pages are not one snapshot, so changes after the first page must be read again.
            let end = *end.get_or_insert(page.end);
            let Some(next) = page.next_page_after else {
                return Ok((records, end));
            };
            if after.as_ref() == Some(&next) {
                return NoProgressSnafu { key: next }.fail();
            }
            after = Some(next);
        }
    }

    /// Requests a page after the first one, with retries, so that one failed call does not discard
    /// the preceding pages.
    async fn later_page(&self, path: &str, wait: Duration) -> Result<Bytes, StoreError> {
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

    /// Reads records from offset `from`; the store waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Fails if the store refuses the call or does not answer, or the records have expired.
    pub async fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
    ) -> Result<ReadBatch, StoreError> {
        let path = store::read_path(topic, from, wait);
        let body = self.call(Method::GET, &path, Vec::new(), wait).await?;
        store::decode_read(from, body).context(DecodeSnafu)
    }

    /// Appends one keyed record if the next offset of the stream is `at`.
    ///
    /// # Errors
    ///
    /// Fails with `Refused` if the stream has grown in the meantime or the store refuses the call.
    /// Without an answer, the record may have been appended.
    pub async fn append_at(
        &self,
        topic: Topic,
        at: Offset,
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
        at: Offset,
        key: &str,
        value: &[u8],
    ) -> Result<Offset, StoreError> {
        let body = self.post_append(topic, at, key, value).await?;
        store::decode_appended(&body).context(DecodeSnafu)
    }

    async fn post_append(
        &self,
        topic: Topic,
        at: Offset,
        key: &str,
        value: &[u8],
    ) -> Result<Bytes, StoreError> {
        let path = store::append_path(topic, at);
        let body = store::append_body(key, value);
        self.call(Method::POST, &path, body, Duration::ZERO).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        wait: Duration,
    ) -> Result<Bytes, StoreError> {
        let start = BootClock.now();
        let answer = self
            .rest
            .call(method, path, body, wait + CALL_TIMEOUT)
            .await;
        self.meters.observe_store_call(BootClock.now().since(start));
        let (status, body) = answer.context(CallSnafu)?;
        match status {
            StatusCode::GONE => ExpiredSnafu.fail(),
            status if status.is_success() => Ok(body),
            status => RefusedSnafu { status }.fail(),
        }
    }
}

fn record_len(record: &KeyedRecord) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Bytes::len)
}
