//! Times of an answer's parts, from which the latency of model versions is compared.

use ebonyfall_core::tally::Sample;
use tokio::time::Instant;

/// Times at which the parts of an attempt's answer arrived.
#[derive(Debug, Clone, Copy)]
pub struct AnswerTimes {
    start: Instant,
    first_part: Option<Instant>,
    parts: u32,
}

impl AnswerTimes {
    /// Creates the times of an attempt that started at `start`.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            first_part: None,
            parts: 0,
        }
    }

    /// Records that a part of the answer arrived.
    pub fn record_part(&mut self, now: Instant) {
        self.first_part.get_or_insert(now);
        self.parts += 1;
    }

    /// Returns the times to the first token and between tokens. For an answer that arrived in one
    /// part, the total time takes the place of the time between tokens.
    pub fn sample(&self, failed: bool, now: Instant) -> Sample {
        let first_part = self.first_part.unwrap_or(now);
        let total = now.duration_since(self.start);
        let between_parts = match self.parts {
            0 | 1 => total,
            parts => now.duration_since(first_part) / (parts - 1),
        };
        Sample {
            failed,
            first_token: first_part.duration_since(self.start),
            between_tokens: between_parts,
        }
    }
}
