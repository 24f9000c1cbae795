//! Splits an event stream at event boundaries.
//!
//! Events are forwarded byte for byte. Only boundaries and ids are parsed, as decoding and encoding
//! whole events would drop fields that the parser does not know.

use bytes::{Bytes, BytesMut};

/// Maximum size of a buffered event; a longer one is forwarded in parts.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers a byte stream and releases it up to the end of the last complete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Length of the prefix of `pending` that is known to contain no event boundary.
    searched_len: usize,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds received bytes and returns the events that are complete now, or `None` if there are
    /// none.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(bytes);
        let from = self.searched_len.saturating_sub(1);
        let end = self.pending[from..]
            .windows(2)
            .rposition(|pair| pair == b"\n\n")
            .map(|at| from + at + 2);
        let end = match end {
            Some(end) => end,
            None if self.pending.len() > MAX_EVENT_BYTES => self.pending.len(),
            None => {
                self.searched_len = self.pending.len();
                return None;
            }
        };
        self.searched_len = 0;
        let complete = self.pending.split_to(end).freeze();
        if let Some(id) = last_event_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Id of the last complete event that had one, for resuming the stream after it.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Discards the buffered bytes of an event whose remainder will not arrive.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
        self.searched_len = 0;
    }

    /// Removes and returns the buffered bytes of an incomplete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.searched_len = 0;
        self.pending.split().freeze()
    }
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let id = id.trim_ascii();
    std::str::from_utf8(id).ok().map(str::to_owned)
}
