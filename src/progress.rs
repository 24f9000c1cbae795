//! Times of an answer, by which versions are judged.

use ebonyfall_core::tally::Sample;
use tokio::time::Instant;

/// The times of an attempt's answer.
#[derive(Debug, Clone, Copy)]
pub struct AnswerTimes {
    start: Instant,
    first: Option<Instant>,
    parts: u32,
}

impl AnswerTimes {
    /// Starts with the attempt.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            first: None,
            parts: 0,
        }
    }

    /// Notes a part of the answer.
    pub fn record_part(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        self.parts += 1;
    }

    /// What a version is judged by; the time of a total answer stands for that of its tokens where
    /// it came in one piece.
    pub fn sample(&self, failed: bool, now: Instant) -> Sample {
        let first = self.first.unwrap_or(now);
        let total = now.duration_since(self.start);
        let between_parts = match self.parts {
            0 | 1 => total,
            parts => now.duration_since(first) / (parts - 1),
        };
        Sample {
            failed,
            first_token: first.duration_since(self.start),
            between_tokens: between_parts,
        }
    }
}
