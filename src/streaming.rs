//! Relays the stream of a target to the caller, and resumes it at another target if it breaks off.

use std::{io, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{
    direct::{Failure, NextStep},
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
use tokio::time::timeout;

use crate::{
    carry::{
        ANSWER_GRACE, CallerAnswer, CompleteAnswer, Forwarder, MAX_EVENT_GAP, OpenAnswer,
        TargetReply, mark_idle,
    },
    clock::BootClock,
};

/// Stream that is being relayed to the caller.
pub(crate) struct StreamRelay {
    forwarder: Forwarder,
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

/// Why a stream ends before its last event.
enum BrokenStream {
    Refused(SelectionRefusal),
    /// Error answer of the target that was to resume the stream.
    Failed(Box<CompleteAnswer>),
}

impl StreamRelay {
    /// Waits for the first part of the stream and returns an answer whose body relays the stream
    /// while the caller reads it. Until then the caller has got nothing, so a stream that breaks
    /// off can still end with a result code.
    ///
    /// # Errors
    ///
    /// Fails with the result code for the caller when no target sends a first part.
    pub(crate) async fn start(
        forwarder: Forwarder,
        open: OpenAnswer,
    ) -> Result<CallerAnswer, SelectionRefusal> {
        let mut head = open.head();
        let mut relay = Self {
            forwarder,
            open: Some(open),
            events: EventSplitter::default(),
            arrivals: Arrivals::default(),
            has_events: false,
            waited: Duration::ZERO,
        };
        let first = loop {
            match relay.part().await {
                Ok(first) => break first,
                Err((target, failure)) => match relay.resume(&target, failure).await {
                    Ok(open) => {
                        head = open.head();
                        relay.open = Some(open);
                    }
                    Err(BrokenStream::Failed(complete)) => {
                        return Ok(relay.forwarder.caller_answer(*complete));
                    }
                    Err(BrokenStream::Refused(refusal)) => return Err(refusal),
                },
            }
        };
        relay.forwarder.attempts.record_answer_begun();
        let attempt_id = relay.forwarder.attempt_id().to_owned();
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
            let Ok(open) = self.resume(&target, failure).await else {
                let cut = io::Error::other("stream from the target broke off and was not resumed");
                return Some((Err(cut), self));
            };
            self.open = Some(open);
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

    /// Resumes the stream at another target after its last complete event.
    ///
    /// # Errors
    ///
    /// Fails when no other target may be tried or accepts the request.
    async fn resume(
        &mut self,
        target: &TargetName,
        failure: Failure,
    ) -> Result<OpenAnswer, BrokenStream> {
        match self.forwarder.record_failure(target, failure) {
            NextStep::Again { repeat } => self.forwarder.charge_retry = repeat,
            NextStep::GiveUp(code) => {
                let refusal = self.forwarder.refusal(code);
                return Err(BrokenStream::Refused(refusal));
            }
            NextStep::PassOn => {
                let refusal = self.forwarder.refusal(failure.code());
                return Err(BrokenStream::Refused(refusal));
            }
        }
        self.arrivals = Arrivals::default();
        self.waited = Duration::ZERO;
        let last = self.events.last_id().map(str::to_owned);
        match self.forwarder.send_to_targets(last.as_deref()).await {
            Ok(TargetReply::Answer(open)) => Ok(open),
            Ok(TargetReply::Failure(complete)) => Err(BrokenStream::Failed(Box::new(complete))),
            Err(refusal) => Err(BrokenStream::Refused(refusal)),
        }
    }
}
