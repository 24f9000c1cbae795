//! Splits an event stream at event boundaries, and limits what a target may send between events.
//!
//! Events are forwarded byte for byte. Only boundaries and ids are parsed, as decoding and encoding
//! whole events would drop fields that the parser does not know.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// Largest event that is buffered, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 << 10;
/// Most bytes of comments and blank lines between two events.
pub const MAX_FILLER_BYTES: usize = 64 << 10;

/// Why a stream is not forwarded any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum StreamFault {
    /// An event does not end within [`MAX_EVENT_BYTES`].
    #[snafu(display("an event is longer than {MAX_EVENT_BYTES} bytes"))]
    EventTooLong,
    /// Comments and blank lines do not end within [`MAX_FILLER_BYTES`].
    #[snafu(display("more than {MAX_FILLER_BYTES} bytes of comments came without an event"))]
    TooMuchFiller,
}

/// Part of a stream that ends with an event boundary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The bytes, as received.
    pub bytes: Bytes,
    /// Whether they have an event, and not only comments and blank lines.
    pub has_event: bool,
}

/// Buffers a byte stream and releases it up to the end of the last complete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Length of the prefix of `pending` that is known to contain no event boundary.
    searched_len: usize,
    /// Bytes of comments and blank lines since the last event.
    filler_len: usize,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds received bytes and returns the events that are complete now, or `None` if there are
    /// none.
    ///
    /// # Errors
    ///
    /// Fails when an event, or what stands between two events, is longer than the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<CompleteEvents>, StreamFault> {
        self.pending.extend_from_slice(bytes);
        let Some(end) = self.boundary() else {
            self.searched_len = self.pending.len();
            let is_too_long = self.pending.len() > MAX_EVENT_BYTES;
            return if is_too_long {
                Err(StreamFault::EventTooLong)
            } else {
                Ok(None)
            };
        };
        self.searched_len = 0;
        let complete = self.pending.split_to(end).freeze();
        let has_event = has_event(&complete);
        if has_event {
            self.filler_len = 0;
        } else {
            self.filler_len += complete.len();
            if self.filler_len > MAX_FILLER_BYTES {
                return Err(StreamFault::TooMuchFiller);
            }
        }
        if let Some(id) = last_event_id(&complete) {
            self.last_id = Some(id);
        }
        Ok(Some(CompleteEvents {
            bytes: complete,
            has_event,
        }))
    }

    /// Number of buffered bytes, which belong to an event that is not complete.
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// End of the last event boundary in the pending bytes: an empty line, where lines end with LF,
    /// CR or both.
    fn boundary(&self) -> Option<usize> {
        let from = self.searched_len.saturating_sub(2);
        let ends_boundary = |at: usize| {
            matches!(
                &self.pending[at.saturating_sub(2)..=at],
                [.., b'\n', b'\n'] | [.., b'\r', b'\r'] | [b'\n', b'\r', b'\n']
            )
        };
        let last = (from..self.pending.len()).rfind(|at| ends_boundary(*at))?;
        Some(last + 1)
    }

    /// Id of the last complete event that had one, for resuming the stream after it.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether a stream that ended now would break off inside an event. Comments and blank lines may
    /// remain.
    pub fn is_inside_event(&self) -> bool {
        has_event(&self.pending)
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

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Whether any line is neither blank nor a comment.
fn has_event(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| is_line_end(*byte));
    lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| is_line_end(*byte));
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let id = id.trim_ascii();
    std::str::from_utf8(id).ok().map(str::to_owned)
}
