//! Whole events of an event stream.
//!
//! Events are passed on byte for byte. A parser that decodes them would drop the fields that it
//! does not know, so that only the ends of events and their ids are looked for.

use bytes::{Bytes, BytesMut};

/// Longest event that is held back until it is whole, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// Cuts a byte stream at the ends of its events.
#[derive(Debug, Default)]
pub struct Events {
    rest: BytesMut,
    searched: usize,
    last_id: Option<String>,
}

impl Events {
    /// Adds received bytes and returns the events that are whole now, `None` when there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.rest.extend_from_slice(bytes);
        let from = self.searched.saturating_sub(1);
        let end = self.rest[from..]
            .windows(2)
            .rposition(|pair| pair == b"\n\n")
            .map(|at| from + at + 2);
        let end = match end {
            Some(end) => end,
            None if self.rest.len() > MAX_EVENT => self.rest.len(),
            None => {
                self.searched = self.rest.len();
                return None;
            }
        };
        self.searched = 0;
        let whole = self.rest.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Id of the last whole event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Drops the bytes of an event that will not become whole.
    pub fn drop_partial(&mut self) {
        self.rest.clear();
        self.searched = 0;
    }

    /// Bytes of an event that is not whole.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.rest.split().freeze()
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let id = id.trim_ascii();
    std::str::from_utf8(id).ok().map(str::to_owned)
}
