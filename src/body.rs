//! Reads the bodies of callers' requests, within limits on their size, time and memory.

use std::{net::Ipv4Addr, time::Duration};

use bytes::{Bytes, BytesMut};
use ebonyfall_core::{
    code::Code,
    memory::{Party, SMALL_BODY_BYTES, Taker},
};
use gotham::{
    helpers::http::Body,
    prelude::FromState,
    state::{State, client_addr},
};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use tokio::time::{Instant, timeout_at};

use crate::{
    memory::{MemoryBudget, MemoryShare},
    settings::CallerConfig,
    stop::StopPhases,
};

/// Memory for the bodies of requests.
#[derive(Debug, Clone)]
pub struct RequestBodies {
    budget: MemoryBudget,
    copies: usize,
    config: CallerConfig,
    phases: StopPhases,
}

/// A body that is being read.
struct Incomplete {
    bytes: BytesMut,
    share: MemoryShare,
    copies: usize,
    limit: usize,
    config: CallerConfig,
}

impl RequestBodies {
    /// Takes the memory of bodies from `budget`. The process holds up to `copies` copies of each body
    /// at once, which all count.
    pub fn new(
        budget: MemoryBudget,
        copies: usize,
        config: CallerConfig,
        phases: StopPhases,
    ) -> Self {
        Self {
            budget,
            copies,
            config,
            phases,
        }
    }

    /// Reads the body of a request, of at most `limit` bytes, from gotham's state. The bytes hold
    /// their share of the memory until their last copy is dropped.
    ///
    /// # Errors
    ///
    /// Fails with `TooLarge` above the limit, with `Overloaded` when the memory for bodies is used up,
    /// with `SlowRequest` when the body takes too long, with `ShuttingDown` when the process ends before
    /// its end has arrived, and with `BadRequest` when it is incomplete or malformed. A declared body that
    /// is too large or does not fit is not read at all.
    pub async fn read(
        &self,
        state: &mut State,
        limit: usize,
        party: &Party,
    ) -> Result<Bytes, Code> {
        let mut body = Body::take_from(state);
        let declared = body.size_hint().lower();
        let declared = usize::try_from(declared).unwrap_or(usize::MAX);
        if declared > limit {
            return Err(Code::TooLarge);
        }
        let mut incomplete = Incomplete {
            bytes: BytesMut::new(),
            share: self.budget.share(Taker::Bodies, Some(party)),
            copies: self.copies,
            limit,
            config: self.config,
        };
        incomplete.reserve(declared)?;
        let start = Instant::now();
        loop {
            let frame = tokio::select! {
                biased;
                frame = timeout_at(incomplete.deadline(start), body.frame()) => frame,
                () = self.phases.ending() => return Err(Code::ShuttingDown),
            };
            let Some(frame) = frame.map_err(|_late| Code::SlowRequest)? else {
                break;
            };
            if let Ok(data) = frame.map_err(|_broken| Code::BadRequest)?.into_data() {
                incomplete.push(&data)?;
            }
        }
        Ok(incomplete.share.attach(incomplete.bytes.freeze()))
    }
}

impl Incomplete {
    /// Time by which the next part has to arrive.
    fn deadline(&self, start: Instant) -> Instant {
        let earned = Duration::from_secs(self.bytes.len() as u64 / self.config.body_rate);
        let longest = self.config.body_time;
        start + longest.min(longest / 2 + earned)
    }

    fn push(&mut self, data: &[u8]) -> Result<(), Code> {
        let len = self.bytes.len() + data.len();
        if len > self.limit {
            return Err(Code::TooLarge);
        }
        if len > self.bytes.capacity() {
            let step = (2 * self.bytes.capacity()).max(SMALL_BODY_BYTES / self.copies);
            self.reserve(step.max(len).min(self.limit))?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Takes memory for `len` bytes in all, then reserves them.
    fn reserve(&mut self, len: usize) -> Result<(), Code> {
        let more = len
            .saturating_mul(self.copies)
            .saturating_sub(self.share.len());
        self.share
            .grow(more)
            .map_err(|_does_not_fit| Code::Overloaded)?;
        self.bytes.reserve(len - self.bytes.len());
        Ok(())
    }
}

/// Who sends a request without a known team.
pub fn address(state: &State) -> Party {
    let address = client_addr(state).map(|address| address.ip());
    Party::Address(address.unwrap_or(Ipv4Addr::UNSPECIFIED.into()))
}
