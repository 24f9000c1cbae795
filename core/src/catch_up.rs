//! Decides how a router that is behind a keyed stream of the store goes on.
//!
//! Only the newest record of a key counts. A router that has missed many records of few keys has what
//! counts sooner from a list, whose size does not depend on what was missed.

use std::time::Duration;

use crate::{id::Position, time::Time};

/// Largest size of records of unknown keys that a list is taken to have. Beyond it, the records that are
/// left are more likely renewals of fewer keys.
const MAX_UNKNOWN_BYTES: u64 = 64 << 20;

/// What one answer to a read of a stream brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadProgress {
    /// Number of records.
    pub records: u64,
    /// Their size.
    pub bytes: u64,
    /// Size of those that the router does not use. A list has records of their keys, too.
    pub unused_bytes: u64,
    /// Number of later records that the stream has.
    pub left: u64,
}

/// How the router goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CatchUp {
    /// It has every record that the stream had when the answer was given.
    UpToDate,
    /// It reads the records that are left.
    ReadOn,
    /// It lists the newest record of each key.
    List,
}

impl CatchUp {
    /// Decides after an answer. `known_bytes` is the size of the newest records of all keys that the
    /// router knows of, by which the size of a list is estimated. Records that the router does not use
    /// may each have a key that it does not know of; the part of them that the answer has stands for
    /// what is left.
    pub fn after(read: ReadProgress, known_bytes: u64) -> Self {
        if read.left == 0 {
            return Self::UpToDate;
        }
        let Some(mean_bytes) = read.bytes.checked_div(read.records) else {
            return Self::List;
        };
        let left_bytes = mean_bytes.saturating_mul(read.left);
        let unused = left_bytes.saturating_mul(read.unused_bytes) / read.bytes.max(1);
        let listed_bytes = known_bytes.saturating_add(unused.min(MAX_UNKNOWN_BYTES));
        // Values of a list are in base64.
        if left_bytes <= listed_bytes.saturating_mul(4) / 3 {
            Self::ReadOn
        } else {
            Self::List
        }
    }
}

/// Tells for which moment a router knows all records of a stream that others write all the time.
///
/// An answer that leaves records does not confirm the router's state. Once the router has read as far as
/// the stream reached at an earlier read, it has the state of that moment.
#[derive(Debug, Default)]
pub struct Confirmation {
    awaited: Option<Awaited>,
}

/// End of the stream at some time.
#[derive(Debug, Clone, Copy)]
struct Awaited {
    end: Position,
    at: Time,
}

/// Positions of one answer to a read of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Where the read began.
    pub from: Position,
    /// Where the next read begins.
    pub next: Position,
    /// End of the stream when the store answered.
    pub end: Position,
}

impl Span {
    /// Whether there was no record, not even one that cannot be decoded, so that the store has waited as
    /// long as it was asked to.
    pub fn is_empty(&self) -> bool {
        self.next == self.from && self.end == self.from
    }
}

impl Confirmation {
    /// Records an answer that was requested at `requested_at`, with up to `wait` for a record. Returns the
    /// latest time of which the router has the state, if that is known now.
    pub fn record(&mut self, span: Span, requested_at: Time, wait: Duration) -> Option<Time> {
        let Span { next, end, .. } = span;
        if next >= end {
            self.awaited = None;
            let waited = if span.is_empty() {
                wait
            } else {
                Duration::ZERO
            };
            return Some(requested_at + waited);
        }
        let awaited = Awaited {
            end,
            at: requested_at,
        };
        let earlier = *self.awaited.get_or_insert(awaited);
        if next < earlier.end {
            return None;
        }
        self.awaited = Some(awaited);
        Some(earlier.at)
    }
}
