//! State of the append-only log: streams, rate limit, retention and faults.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use ebonyfall::platform::{Batch, Record};
use ebonyfall_core::id::Offset;
use serde::{Deserialize, Serialize};

/// How the log misbehaves.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LogFaults {
    /// Every call fails and nothing takes effect.
    pub down: bool,
    /// Appends take effect, their replies are lost.
    pub lose_replies: bool,
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
}

/// Limits of the log.
#[derive(Debug, Clone, Copy)]
pub struct LogLimits {
    /// Appends a second over all streams.
    pub appends_per_second: u32,
    /// Records kept in each stream.
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
    records: Vec<Record>,
}

/// The log itself.
#[derive(Debug)]
pub struct Log {
    limits: LogLimits,
    streams: HashMap<String, Stream>,
    window_start: Instant,
    window_appends: u32,
    /// Appends that took effect.
    pub appends: u64,
}

impl Log {
    /// An empty log.
    pub fn new(limits: LogLimits, now: Instant) -> Self {
        Self {
            limits,
            streams: HashMap::new(),
            window_start: now,
            window_appends: 0,
            appends: 0,
        }
    }

    /// Appends a record, unless the rate limit is reached.
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
        stream.records.push(Record {
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

    /// Sets a stream back to an older state, so that `next` is the offset of the next append.
    pub fn truncate(&mut self, stream: &str, next: Offset) {
        if let Some(stream) = self.streams.get_mut(stream) {
            stream.records.retain(|record| record.offset < next);
        }
    }

    /// Reads records, or tells the first offset that is kept.
    ///
    /// # Errors
    ///
    /// Fails with the first kept offset when `from` lies before it.
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
