//! State of the simulated append-only log: streams, rate limit and retention.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use ebonyfall::platform::{Batch, LogRecord};
use ebonyfall_core::id::Offset;
use serde::{Deserialize, Serialize};

/// Faults that the platform injects into calls.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LogFaults {
    /// Every call is answered with status 503 and has no effect.
    pub down: bool,
    /// Appends take effect, but are answered with status 504.
    pub lose_replies: bool,
    /// Delay before every call is processed, in milliseconds.
    pub delay_ms: u64,
}

/// Rate limit and retention of the log.
#[derive(Debug, Clone, Copy)]
pub struct LogLimits {
    /// Appends accepted per second, over all streams.
    pub appends_per_second: u32,
    /// Records retained in each stream; the oldest are dropped first.
    pub max_stream_records: usize,
}

impl Default for LogLimits {
    fn default() -> Self {
        Self {
            appends_per_second: 300,
            max_stream_records: 100_000,
        }
    }
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: Vec<LogRecord>,
}

/// Log with any number of streams, which are created by their first append.
#[derive(Debug)]
pub struct Log {
    limits: LogLimits,
    streams: HashMap<String, Stream>,
    window_start: Instant,
    window_appends: u32,
    /// Number of appended records, over all streams.
    pub appends: u64,
}

impl Log {
    /// Creates a log without streams, whose first rate-limit window starts at `now`.
    pub fn new(limits: LogLimits, now: Instant) -> Self {
        Self {
            limits,
            streams: HashMap::new(),
            window_start: now,
            window_appends: 0,
            appends: 0,
        }
    }

    /// Appends a record and returns its offset, or `None` when the rate limit is exceeded.
    pub fn append(
        &mut self,
        stream: &str,
        data: Vec<u8>,
        now: Instant,
        unix_ms: u64,
    ) -> Option<Offset> {
        if now.duration_since(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.window_appends = 0;
        }
        if self.window_appends >= self.limits.appends_per_second {
            return None;
        }
        self.window_appends += 1;
        self.appends += 1;
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = Offset::from(stream.first + stream.records.len() as u64);
        stream.records.push(LogRecord {
            offset,
            time: unix_ms,
            data,
        });
        let excess = stream
            .records
            .len()
            .saturating_sub(self.limits.max_stream_records);
        stream.records.drain(..excess);
        stream.first += excess as u64;
        Some(offset)
    }

    /// Removes the records with offset `next` or higher, so that `next` is the offset of the next
    /// append.
    pub fn truncate(&mut self, stream: &str, next: Offset) {
        if let Some(stream) = self.streams.get_mut(stream) {
            stream.records.retain(|record| record.offset < next);
        }
    }

    /// Reads up to `limit` records of a stream, starting at `from`.
    ///
    /// # Errors
    ///
    /// Fails with the first retained offset when `from` is lower.
    pub fn read(&self, stream: &str, from: Offset, limit: usize) -> Result<Batch, Offset> {
        let empty = Stream::default();
        let stream = self.streams.get(stream).unwrap_or(&empty);
        let first = Offset::from(stream.first);
        if from < first {
            return Err(first);
        }
        let skip = usize::try_from(u64::from(from) - stream.first).unwrap_or(usize::MAX);
        let records = stream
            .records
            .iter()
            .skip(skip)
            .take(limit)
            .cloned()
            .collect();
        let next = Offset::from(stream.first + stream.records.len() as u64);
        Ok(Batch {
            first,
            next,
            records,
        })
    }
}
