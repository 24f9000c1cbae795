//! Reads the bodies of targets' answers into memory, within limits for each answer and for the
//! process.

use std::{convert::Infallible, sync::Arc};

use bytes::{Bytes, BytesMut};
use gotham::helpers::http::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use snafu::Snafu;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Largest body of an answer that is not a stream, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Largest body of an error answer, in bytes.
pub const MAX_ERROR_BYTES: usize = 64 << 10;
/// Most bytes of answers that a process holds at once.
pub const MAX_BUFFERED_BYTES: usize = 24 << 20;

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

/// Share of memory for answers that are being read or sent to callers. Clones share it.
#[derive(Debug, Clone)]
pub struct AnswerBuffers(Arc<Semaphore>);

impl Default for AnswerBuffers {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_BUFFERED_BYTES)))
    }
}

/// A complete body. Its share of the process's memory is returned when it is dropped.
#[derive(Debug)]
pub struct BufferedBody {
    bytes: Bytes,
    share: Option<OwnedSemaphorePermit>,
}

impl From<BufferedBody> for Body {
    fn from(BufferedBody { bytes, share }: BufferedBody) -> Self {
        let body = Full::new(bytes).map_err(|never: Infallible| match never {});
        Self::new(body.map_frame(move |frame| {
            // The frame's bytes stay in memory until the body has been sent.
            let _held = &share;
            frame
        }))
    }
}

impl AnswerBuffers {
    /// Reads `body` to its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the body is longer than `limit` bytes, and when the
    /// process holds too many bytes of other answers.
    pub async fn read(
        &self,
        mut body: Incoming,
        limit: usize,
    ) -> Result<BufferedBody, ReceiveFault> {
        if body.size_hint().lower() > limit as u64 {
            return Err(ReceiveFault::TooLong);
        }
        let mut buf = BytesMut::new();
        let mut share: Option<OwnedSemaphorePermit> = None;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_broken| ReceiveFault::Broken)?.into_data() else {
                continue;
            };
            if buf.len() + data.len() > limit {
                return Err(ReceiveFault::TooLong);
            }
            let more = self.reserve(data.len())?;
            match &mut share {
                Some(share) => share.merge(more),
                None => share = Some(more),
            }
            buf.extend_from_slice(&data);
        }
        Ok(BufferedBody {
            bytes: buf.freeze(),
            share,
        })
    }

    fn reserve(&self, bytes: usize) -> Result<OwnedSemaphorePermit, ReceiveFault> {
        let bytes = u32::try_from(bytes).map_err(|_too_many| ReceiveFault::TooLong)?;
        let share = Arc::clone(&self.0).try_acquire_many_owned(bytes);
        share.map_err(|_used_up| ReceiveFault::BuffersFull)
    }
}
