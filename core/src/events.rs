//! Whole events of an event stream.
//!
//! Events are passed on byte for byte. A parser that decodes them would drop the fields that it
//! does not know, so that only the ends of events and their ids are looked for.

use bytes::{Bytes, BytesMut};

/// Longest event that is held back until it is complete, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Cuts a byte stream at the ends of its events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    searched_len: usize,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds received bytes and returns the events that are complete now, `None` when there are none.
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

    /// Id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Drops the bytes of an event that will not become complete.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
        self.searched_len = 0;
    }

    /// Bytes of an event that is not complete.
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
