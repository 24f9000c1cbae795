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
    wait::StreamWait,
};
use futures_util::stream::{self, StreamExt};
use gotham::helpers::http::Body;
use http::header::CONTENT_LENGTH;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use slog::{info, warn};
use tokio::time::timeout;

use crate::{
    carry::{CallerAnswer, Forwarder, mark_idle},
    clock::{self, BootClock},
    receive::EventShare,
    reply::{OpenAnswer, StreamHead, TargetReply},
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
    wait: StreamWait,
    /// Memory that the incomplete event takes.
    share: EventShare,
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
            wait: StreamWait::new(forwarder.attempts.deadline()),
            share: forwarder.shared.buffers.event_share(),
            forwarder,
            head: open.head(),
            open: Some(open),
            events: EventSplitter::default(),
            arrivals: Arrivals::default(),
            has_events: false,
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
            let may_resume = self.forwarder.attempts.has_attempts_left();
            let Some(open) = &mut self.open else {
                return Ok(None);
            };
            let start = BootClock.now();
            let limit = self.wait.limit(may_resume, start);
            let phases = &self.forwarder.shared.phases;
            let frame = tokio::select! {
                biased;
                frame = receive(&mut open.body, limit) => frame,
                () = phases.ending(), if !self.forwarder.attempts.has_begun() => {
                    Err(Failure::Stopping)
                }
            };
            self.wait.record(frame_len(&frame), start, BootClock.now());
            let failure = match frame {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let pushed = self.events.push(&data);
                    let fits = self.share.resize(self.events.pending_len());
                    match (pushed, fits) {
                        (Ok(Some(complete)), _) => {
                            if complete.has_event {
                                open.reservation.record_answer_begun();
                                let round_trip = open.connection.round_trip();
                                self.record_event(round_trip);
                            }
                            return Ok(Some(complete.bytes));
                        }
                        (Ok(None), Ok(())) => continue,
                        (Ok(None), Err(fault)) => self.forwarder.shared.count_receive_fault(fault),
                        (Err(fault), _) => self.count_fault(fault),
                    }
                }
                Ok(None) if self.is_complete() => return Ok(self.finish()),
                Ok(None) => Failure::Broken,
                Ok(Some(Err(_broken))) => Failure::Broken,
                Err(failure) => failure,
            };
            let Some(open) = self.open.take() else {
                return Ok(None);
            };
            let target = open.reservation.choice.target.name.clone();
            if failure == Failure::TimedOut {
                self.log_stall(&target, BootClock.now().since(start + limit));
            }
            open.reservation.finish(failure.end(), None);
            drop(open.connection);
            self.events.drop_partial();
            self.share.release();
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

    fn record_event(&mut self, round_trip: Duration) {
        self.has_events = true;
        let start = &mut self.forwarder.start;
        start.record_event(round_trip, BootClock.now());
        self.wait.restart_gap();
        if let Some(gap) = self.arrivals.record(BootClock.now()) {
            let metrics = &self.forwarder.shared.metrics;
            metrics.entry.observe_stream_gap(gap);
        }
    }

    /// Logs a stream that is given up. `overslept` is the delay of the timer that ended the wait; it is
    /// long if the process itself stood still.
    fn log_stall(&self, target: &TargetName, overslept: Duration) {
        let (late, late_bytes) = self.wait.late();
        info!(self.forwarder.shared.log, "no event in time; closing the stream from the target";
            "event" => "stalled", "request" => self.forwarder.attempt_id(), "target" => %target,
            "gap_ms" => clock::millis(self.wait.gap()), "late_ms" => clock::millis(late),
            "late_bytes" => late_bytes, "overslept_ms" => clock::millis(overslept));
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
            self.wait.restart_gap();
            let last = self.events.last_id().map(str::to_owned);
            let TargetReply::Answer(open) = self.forwarder.send_to_targets(last.as_deref()).await?
            else {
                return Err(self.forwarder.refusal(Failure::Failed.code()));
            };
            if open.continues(&self.head) {
                return Ok(*open);
            }
            (target, failure) = (open.reservation.choice.target.name.clone(), Failure::Failed);
            open.reservation.finish(End::Failed(failure), None);
        }
    }
}

type BodyFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// Reads the next frame of a body. Without any time left, not even one that is ready is read.
async fn receive(body: &mut Incoming, limit: Duration) -> Result<BodyFrame, Failure> {
    if limit.is_zero() {
        return Err(Failure::TimedOut);
    }
    let frame = timeout(limit, body.frame()).await;
    frame.map_err(|_late| Failure::TimedOut)
}

fn frame_len(frame: &Result<BodyFrame, Failure>) -> usize {
    let Ok(Some(Ok(frame))) = frame else {
        return 0;
    };
    frame.data_ref().map_or(0, Bytes::len)
}
