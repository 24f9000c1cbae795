//! Checks that an answer has the status of one, and that its parts belong to the running attempt and
//! arrive without gaps.

use snafu::Snafu;

use crate::id::AttemptId;

/// Whether a server may end a request with this HTTP status. Statuses below 200 announce a final
/// answer, or another protocol that was never asked for; RFC 9110, section 15, calls those of 600 and
/// above invalid. Nothing is known about a request that was answered with one of these.
pub const fn is_final_status(status: u16) -> bool {
    matches!(status, 200..600)
}

/// Error for a part or end of an answer that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum AnswerError {
    /// The part or end belongs to another attempt.
    #[snafu(display("answer for attempt {found} arrived while {expected} was running"))]
    Mismatch {
        /// Attempt that is running.
        expected: AttemptId,
        /// Attempt that the part or end belongs to.
        found: AttemptId,
    },
    /// Bytes are missing before the part or end.
    #[snafu(display("answer continues at byte {found}, {expected} bytes have arrived"))]
    Gap {
        /// Number of bytes received so far.
        expected: u64,
        /// Offset of the part, or length of the whole answer, in bytes.
        found: u64,
    },
}

/// Tracks how much of one attempt's answer has been received. The bytes are kept elsewhere.
#[derive(Debug, Clone)]
pub struct AnswerAssembly {
    attempt: AttemptId,
    received: u64,
}

impl AnswerAssembly {
    /// Starts the answer of `attempt` with no bytes received.
    pub fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            received: 0,
        }
    }

    /// Number of bytes received so far, repeated ones counted once.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Accepts a part of `len` bytes at `offset`. Returns the number of its first bytes to skip, as
    /// they were received before.
    ///
    /// # Errors
    ///
    /// Fails when the part belongs to another attempt or leaves a gap.
    pub fn accept_part(
        &mut self,
        attempt: AttemptId,
        offset: u64,
        len: u64,
    ) -> Result<u64, AnswerError> {
        self.check_attempt(attempt)?;
        if offset > self.received {
            return GapSnafu {
                expected: self.received,
                found: offset,
            }
            .fail();
        }
        let skip = (self.received - offset).min(len);
        self.received += len - skip;
        Ok(skip)
    }

    /// Checks that all bytes have been received when the answer ends; `length` is its total length.
    ///
    /// # Errors
    ///
    /// Fails when the end belongs to another attempt or parts are missing.
    pub fn check_end(&self, attempt: AttemptId, length: u64) -> Result<(), AnswerError> {
        self.check_attempt(attempt)?;
        if length == self.received {
            return Ok(());
        }
        GapSnafu {
            expected: self.received,
            found: length,
        }
        .fail()
    }

    fn check_attempt(&self, found: AttemptId) -> Result<(), AnswerError> {
        if found == self.attempt {
            return Ok(());
        }
        MismatchSnafu {
            expected: self.attempt,
            found,
        }
        .fail()
    }
}

#[cfg(test)]
#[path = "../tests/unit/answer.rs"]
mod tests;
