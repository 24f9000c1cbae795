//! Matches the parts of an answer to the attempt that asked for it.

use snafu::Snafu;

use crate::id::AttemptId;

/// A part or end of an answer that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum AnswerError {
    /// It belongs to another attempt.
    #[snafu(display("answer for attempt {found} arrived while {expected} was running"))]
    Mismatch {
        /// The attempt that is running.
        expected: AttemptId,
        /// The attempt that the answer names.
        found: AttemptId,
    },
    /// Bytes are missing before it.
    #[snafu(display("answer continues at byte {found}, {expected} bytes have arrived"))]
    Gap {
        /// Bytes received so far.
        expected: u64,
        /// The offset that the part names.
        found: u64,
    },
}

/// Collects one answer in order.
#[derive(Debug, Clone)]
pub struct AnswerAssembly {
    attempt: AttemptId,
    received: u64,
}

impl AnswerAssembly {
    /// Starts an empty answer of `attempt`.
    pub fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            received: 0,
        }
    }

    /// Bytes received so far.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Checks a part of `len` bytes at `offset`; returns how many of its first bytes to skip
    /// because they arrived before.
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

    /// Checks the end of the answer, which states the whole `length`.
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
