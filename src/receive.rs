//! Reads the bodies of targets' answers into memory, within limits for each answer and for the
//! process.

use bytes::{Bytes, BytesMut};
use ebonyfall_core::memory::{MemoryRefusal, Taker};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use snafu::Snafu;

use crate::memory::{MemoryBudget, MemoryShare};

/// Largest body of an answer that is not a stream, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Largest body of an error answer, in bytes.
pub const MAX_ERROR_BYTES: usize = 64 << 10;
/// Most bytes of answers that a process with the default memory holds at once.
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
    #[snafu(display("the process's memory for answers is used up"))]
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

/// Memory for answers that are being read or sent to callers. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct AnswerBuffers(MemoryBudget);

/// Body that is being received, with its share of the process's memory.
#[derive(Debug)]
pub struct ReceivedBody {
    limit: usize,
    bytes: BytesMut,
    share: MemoryShare,
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
        self.share.grow(data.len())?;
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the complete body. Its share of the process's memory is returned when the last copy
    /// of the bytes is dropped.
    pub fn complete(self) -> Bytes {
        self.share.attach(self.bytes.freeze())
    }
}

/// Share of the process's memory that the incomplete event of a stream takes.
#[derive(Debug)]
pub struct EventShare {
    buffers: AnswerBuffers,
    share: Option<MemoryShare>,
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
        let taker = Taker::Streams;
        let share = self
            .share
            .get_or_insert_with(|| self.buffers.0.share(taker, None));
        share.grow(wanted.saturating_sub(share.len()))?;
        Ok(())
    }
}

impl From<MemoryRefusal> for ReceiveFault {
    fn from(_refusal: MemoryRefusal) -> Self {
        Self::BuffersFull
    }
}

impl AnswerBuffers {
    /// Takes the memory for answers from `budget`.
    pub fn new(budget: MemoryBudget) -> Self {
        Self(budget)
    }

    /// Starts an empty body of at most `limit` bytes.
    pub fn start(&self, limit: usize) -> ReceivedBody {
        ReceivedBody {
            limit,
            bytes: BytesMut::new(),
            share: self.0.share(Taker::Answers, None),
        }
    }

    /// Starts to receive `body`.
    ///
    /// # Errors
    ///
    /// Fails when the body states that it is longer than `limit` bytes.
    pub fn start_body(&self, body: &Incoming, limit: usize) -> Result<ReceivedBody, ReceiveFault> {
        if body.size_hint().lower() > limit as u64 {
            return Err(ReceiveFault::TooLong);
        }
        Ok(self.start(limit))
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
        let mut received = self.start_body(&body, limit)?;
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.map_err(|_broken| ReceiveFault::Broken)?.into_data() {
                received.push(&data)?;
            }
        }
        Ok(received.complete())
    }
}
