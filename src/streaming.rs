//! Relays the stream of a target to the caller, and resumes it at another target if it breaks off.

use std::{io, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{
    direct::Failure,
    events::{EventSplitter, StreamFault},
    name::TargetName,
    outcome::End,
    selector::SelectionRefusal,
    timing::{Arrivals, Timing},
};
use futures_util::stream::{self, StreamExt};
use gotham::helpers::http::Body;
use http::header::CONTENT_LENGTH;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use slog::warn;
use tokio::time::timeout;

use crate::{
    carry::{
        ANSWER_GRACE, CallerAnswer, Forwarder, MAX_EVENT_GAP, OpenAnswer, StreamHead, TargetReply,
        mark_idle,
    },
    clock::BootClock,
};

/// Stream that is being relayed to the caller.
pub(crate) struct StreamRelay {
    forwarder: Forwarder,
    /// Head of the answer that the caller gets.
    head: StreamHead,
    /// Target that is sending, `None` after the end of the stream.
    open: Option<OpenAnswer>,
    events: EventSplitter,
    arrivals: Arrivals,
    /// Whether an event has arrived, from any target.
    has_events: bool,
    /// Time spent waiting for the target since its last event. The time that the caller takes to
    /// read does not count, and bytes without an event do not end the wait.
    waited: Duration,
}

/// Stream that broke off before its first part, so that the caller has got nothing.
pub(crate) struct Unstarted {
    pub(crate) forwarder: Forwarder,
    pub(crate) target: TargetName,
    pub(crate) failure: Failure,
}

impl StreamRelay {
    /// Waits for the first part of the stream and returns an answer whose body relays the stream
    /// while the caller reads it.
    ///
    /// # Errors
    ///
    /// Fails with the forwarder when the target sends no first part.
    pub(crate) async fn start(
        forwarder: Forwarder,
        open: OpenAnswer,
    ) -> Result<CallerAnswer, Box<Unstarted>> {
        let mut relay = Self {
            forwarder,
            head: open.head(),
            open: Some(open),
            events: EventSplitter::default(),
            arrivals: Arrivals::default(),
            has_events: false,
            waited: Duration::ZERO,
        };
        let first = match relay.part().await {
            Ok(first) => first,
            Err((target, failure)) => {
                return Err(Box::new(Unstarted {
                    forwarder: relay.forwarder,
                    target,
                    failure,
                }));
            }
        };
        relay.forwarder.attempts.record_answer_begun();
        let attempt_id = relay.forwarder.attempt_id().to_owned();
        let head = relay.head.clone();
        let first = first.map(|bytes| Ok(Frame::data(bytes)));
        let rest = stream::unfold(relay, Self::next);
        let body = Body::new(StreamBody::new(stream::iter(first).chain(rest)));
        Ok(Forwarder::streamed_answer(attempt_id, head, body))
    }

    /// Returns the next part of the body; `None` after the end of the stream.
    async fn next(mut self) -> Option<(io::Result<Frame<Bytes>>, Self)> {
        loop {
            let (target, failure) = match self.part().await {
                Ok(part) => return part.map(|bytes| (Ok(Frame::data(bytes)), self)),
                Err(failed) => failed,
            };
            match self.resume(target, failure).await {
                Ok(open) => self.open = Some(open),
                Err(refusal) => {
                    warn!(self.forwarder.shared.log, "stream broke off and was not resumed";
                        "event" => "cut", "request" => self.forwarder.attempt_id(),
                        "name" => refusal.code.name());
                    let cut = "stream from the target broke off and was not resumed";
                    return Some((Err(io::Error::other(cut)), self));
                }
            }
        }
    }

    /// Reads up to the next event boundary, or to the end of the stream. `None` after the end.
    ///
    /// # Errors
    ///
    /// Fails with the target and the failure when the stream breaks off. The connection to the
    /// target is closed then, which ends the work there before another target resumes the stream.
    async fn part(&mut self) -> Result<Option<Bytes>, (TargetName, Failure)> {
        loop {
            let limit = self.wait_limit();
            let Some(open) = &mut self.open else {
                return Ok(None);
            };
            let wait_start = BootClock.now();
            let frame = timeout(limit, open.body.frame()).await;
            self.waited += BootClock.now().since(wait_start);
            let failure = match frame {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    match self.events.push(&data) {
                        Ok(Some(complete)) => {
                            if complete.has_event {
                                open.reservation.record_answer_begun();
                                self.record_event();
                            }
                            return Ok(Some(complete.bytes));
                        }
                        Ok(None) => continue,
                        Err(fault) => self.count_fault(fault),
                    }
                }
                Ok(None) if self.is_complete() => return Ok(self.finish()),
                Ok(None) => Failure::Broken,
                Ok(Some(Err(_broken))) => Failure::Broken,
                Err(_late) => Failure::TimedOut,
            };
            let Some(open) = self.open.take() else {
                return Ok(None);
            };
            let target = open.reservation.choice.target.name.clone();
            open.reservation.finish(End::Failed(failure), None);
            drop(open.connection);
            self.events.drop_partial();
            return Err((target, failure));
        }
    }

    /// Whether the stream may end here. A target that crashes may close its connection like one that
    /// has sent everything, unless the answer has a length.
    fn is_complete(&self) -> bool {
        let headers = self.open.as_ref().map(|open| &open.headers);
        let has_length = headers.is_some_and(|headers| headers.contains_key(CONTENT_LENGTH));
        has_length || (self.has_events && !self.events.is_inside_event())
    }

    /// Time to wait for more bytes.
    fn wait_limit(&self) -> Duration {
        let attempts = &self.forwarder.attempts;
        let time_left = attempts.deadline().since(BootClock.now()) + ANSWER_GRACE;
        if attempts.has_attempts_left() {
            time_left.min(MAX_EVENT_GAP.saturating_sub(self.waited))
        } else {
            time_left
        }
    }

    /// Ends a complete stream, and returns the bytes after its last event boundary if there are
    /// any.
    fn finish(&mut self) -> Option<Bytes> {
        let mut open = self.open.take()?;
        let connection = mark_idle(open.connection, &open.headers);
        if let Some(mean_gap) = self.arrivals.mean_gap() {
            open.reservation.record_timing(Timing::Events(mean_gap));
        }
        open.reservation.finish(End::Served, Some(connection));
        let partial = self.events.take_partial();
        (!partial.is_empty()).then_some(partial)
    }

    fn record_event(&mut self) {
        self.has_events = true;
        self.waited = Duration::ZERO;
        if let Some(gap) = self.arrivals.record(BootClock.now()) {
            let metrics = &self.forwarder.shared.metrics;
            metrics.entry.observe_stream_gap(gap);
        }
    }

    /// Counts a stream that exceeds a limit; returns how the attempt failed.
    fn count_fault(&self, fault: StreamFault) -> Failure {
        let limit = match fault {
            StreamFault::EventTooLong => "event",
            StreamFault::TooMuchFiller => "filler",
        };
        let metrics = &self.forwarder.shared.metrics;
        metrics.entry.count_limit_exceeded(limit);
        Failure::Oversized
    }

    /// Resumes the stream at another target after its last complete event. The answer of that target
    /// has to be a stream like the one that the caller is reading; bytes of any other would end up
    /// within it.
    ///
    /// # Errors
    ///
    /// Fails when no other target may be tried or continues the stream.
    async fn resume(
        &mut self,
        mut target: TargetName,
        mut failure: Failure,
    ) -> Result<OpenAnswer, SelectionRefusal> {
        loop {
            self.forwarder.prepare_retry(&target, failure)?;
            self.arrivals = Arrivals::default();
            self.waited = Duration::ZERO;
            let last = self.events.last_id().map(str::to_owned);
            let TargetReply::Answer(open) = self.forwarder.send_to_targets(last.as_deref()).await?
            else {
                return Err(self.forwarder.refusal(Failure::Failed.code()));
            };
            if open.continues(&self.head) {
                return Ok(open);
            }
            (target, failure) = (open.reservation.choice.target.name.clone(), Failure::Failed);
            open.reservation.finish(End::Failed(failure), None);
        }
    }
}
