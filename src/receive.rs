//! Reads the bodies of targets' answers into memory, within limits for each answer and for the
//! process.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use snafu::Snafu;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Largest body of an answer that is not a stream, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Largest body of an error answer, in bytes.
pub const MAX_ERROR_BYTES: usize = 64 << 10;
/// Most bytes of answers that a process holds at once.
pub const MAX_BUFFERED_BYTES: usize = 24 << 20;

/// Bytes of an incomplete event that take no share of the limit above, so that streams with ordinary
/// events go on while other answers fill it.
pub const FREE_EVENT_BYTES: usize = 4 << 10;

/// Why the body of an answer was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ReceiveFault {
    /// The connection failed within the body.
    #[snafu(display("the connection failed within the body"))]
    Broken,
    /// The body is longer than the limit on one answer.
    #[snafu(display("the body is too long"))]
    TooLong,
    /// The process already holds as many bytes of answers as it may.
    #[snafu(display("the process holds {MAX_BUFFERED_BYTES} bytes of answers"))]
    BuffersFull,
}

impl ReceiveFault {
    /// Name of the limit that was exceeded, in metrics; `None` if the connection failed.
    pub fn limit(self) -> Option<&'static str> {
        match self {
            Self::Broken => None,
            Self::TooLong => Some("body"),
            Self::BuffersFull => Some("buffers"),
        }
    }
}

/// Share of memory for answers that are being read or sent to callers. Clones share it.
#[derive(Debug, Clone)]
pub struct AnswerBuffers(Arc<Semaphore>);

impl Default for AnswerBuffers {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_BUFFERED_BYTES)))
    }
}

/// Body that is being received, with its share of the process's memory.
#[derive(Debug)]
pub struct ReceivedBody {
    buffers: AnswerBuffers,
    limit: usize,
    bytes: BytesMut,
    share: Option<OwnedSemaphorePermit>,
}

impl ReceivedBody {
    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// Fails when the body is longer than its limit, or the process holds too many bytes.
    pub fn push(&mut self, data: &[u8]) -> Result<(), ReceiveFault> {
        if self.bytes.len() + data.len() > self.limit {
            return Err(ReceiveFault::TooLong);
        }
        let more = self.buffers.reserve(data.len())?;
        match &mut self.share {
            Some(share) => share.merge(more),
            None => self.share = Some(more),
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the complete body. Its share of the process's memory is returned when the last copy
    /// of the bytes is dropped.
    pub fn complete(self) -> Bytes {
        Bytes::from_owner(SharedBytes {
            bytes: self.bytes.freeze(),
            _share: self.share,
        })
    }
}

/// Share of the process's memory that the incomplete event of a stream takes.
#[derive(Debug)]
pub struct EventShare {
    buffers: AnswerBuffers,
    share: Option<OwnedSemaphorePermit>,
}

impl EventShare {
    /// Returns the share, as the stream holds no incomplete event any more.
    pub fn release(&mut self) {
        self.share = None;
    }

    /// Adapts the share to an incomplete event of `bytes` bytes. The first [`FREE_EVENT_BYTES`] take
    /// none.
    ///
    /// # Errors
    ///
    /// Fails when the process already holds too many bytes.
    pub fn resize(&mut self, bytes: usize) -> Result<(), ReceiveFault> {
        let wanted = bytes.saturating_sub(FREE_EVENT_BYTES);
        if wanted == 0 {
            self.release();
            return Ok(());
        }
        let held = self
            .share
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits);
        if wanted > held {
            let more = self.buffers.reserve(wanted - held)?;
            match &mut self.share {
                Some(share) => share.merge(more),
                None => self.share = Some(more),
            }
        }
        Ok(())
    }
}

/// Owner of a complete body's bytes.
struct SharedBytes {
    bytes: Bytes,
    _share: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for SharedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AnswerBuffers {
    /// Starts an empty body of at most `limit` bytes.
    pub fn start(&self, limit: usize) -> ReceivedBody {
        ReceivedBody {
            buffers: self.clone(),
            limit,
            bytes: BytesMut::new(),
            share: None,
        }
    }

    /// Starts the share of a stream, which takes no memory yet.
    pub fn event_share(&self) -> EventShare {
        EventShare {
            buffers: self.clone(),
            share: None,
        }
    }

    /// Reads `body` to its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the body is longer than `limit` bytes, and when the
    /// process holds too many bytes of other answers.
    pub async fn read(&self, mut body: Incoming, limit: usize) -> Result<Bytes, ReceiveFault> {
        if body.size_hint().lower() > limit as u64 {
            return Err(ReceiveFault::TooLong);
        }
        let mut received = self.start(limit);
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.map_err(|_broken| ReceiveFault::Broken)?.into_data() {
                received.push(&data)?;
            }
        }
        Ok(received.complete())
    }

    /// Takes a share of the process's memory for `bytes` bytes, until it is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the process already holds too many bytes.
    fn reserve(&self, bytes: usize) -> Result<OwnedSemaphorePermit, ReceiveFault> {
        let bytes = u32::try_from(bytes).map_err(|_too_many| ReceiveFault::TooLong)?;
        let share = Arc::clone(&self.0).try_acquire_many_owned(bytes);
        share.map_err(|_used_up| ReceiveFault::BuffersFull)
    }
}
