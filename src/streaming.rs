//! Relays the stream of a target to the caller, and resumes it at another target if it breaks off.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use ebonyfall_core::{
    direct::Failure,
    events::{CompleteEvents, EventSplitter, StreamFault},
    name::TargetName,
    outcome::End,
    selector::SelectionRefusal,
    timing::{Arrivals, Timing},
    wait::StreamWait,
};
use futures_util::stream::{self, StreamExt};
use gotham::helpers::http::Body;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use slog::{info, warn};

use crate::{
    carry::{CallerAnswer, Forwarder, Waited, Watch, mark_idle},
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
    /// Whether the present target has sent an event.
    has_events: bool,
    /// Whether the present target continues the stream of another one. It may have nothing left to send.
    is_resumed: bool,
    wait: StreamWait,
    /// Present target, and what is done while it is silent.
    watch: Watch,
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
            watch: forwarder.watch(&open.reservation, Some(open.head())),
            share: forwarder.shared.buffers.event_share(),
            forwarder,
            head: open.head(),
            open: Some(open),
            events: EventSplitter::default(),
            arrivals: Arrivals::default(),
            has_events: false,
            is_resumed: false,
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
                Ok(open) => self.open(open),
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

    /// Reads up to the next event boundary, or to the end of the stream. `None` after the end. Another target
    /// may take over meanwhile.
    ///
    /// # Errors
    ///
    /// Fails with the target and the failure when the stream breaks off. The connection to the
    /// target is closed then, which ends the work there before another target resumes the stream.
    async fn part(&mut self) -> Result<Option<Bytes>, (TargetName, Failure)> {
        let mut filler = BytesMut::new();
        loop {
            let failure = match self.receive().await {
                Ok(Received::Data(data)) => match self.push(&data) {
                    Ok(Some(complete)) => {
                        let is_pending = !complete.has_event && self.watch.has_second();
                        if !is_pending && filler.is_empty() {
                            return Ok(Some(complete.bytes));
                        }
                        // The caller may read slowly, but the second target must be given up in time.
                        filler.extend_from_slice(&complete.bytes);
                        if !is_pending {
                            return Ok(Some(filler.freeze()));
                        }
                        continue;
                    }
                    Ok(None) => continue,
                    Err(failure) => failure,
                },
                Ok(Received::TakenOver) => {
                    filler.clear();
                    continue;
                }
                Ok(Received::End) => {
                    filler.extend_from_slice(&self.finish());
                    return Ok((!filler.is_empty()).then(|| filler.freeze()));
                }
                Err(failure) => failure,
            };
            let Some(target) = self.close(failure) else {
                return Ok(None);
            };
            let last_event = self.events.last_id().map(str::to_owned);
            let last_event = last_event.as_deref();
            let second = self
                .forwarder
                .await_second(&mut self.watch, last_event)
                .await;
            let Some(second) = second else {
                if failure == Failure::TimedOut {
                    self.log_stall(&target);
                }
                return Err((target, failure));
            };
            filler.clear();
            self.take_over(*second, &target, failure);
        }
    }

    /// Receives the next bytes of the target, or has another one take over.
    async fn receive(&mut self) -> Result<Received, Failure> {
        let is_complete = self.is_complete();
        let Some(open) = &mut self.open else {
            return Ok(Received::End);
        };
        let start = BootClock.now();
        let limit = self.wait.limit(start);
        let last_event = self.events.last_id().map(str::to_owned);
        let frame = async {
            match open.body.frame().await {
                Some(Ok(frame)) => Ok(Some(frame)),
                None if is_complete => Ok(None),
                Some(Err(_)) | None => Err(Failure::Broken),
            }
        };
        let last_event = last_event.as_deref();
        let waited = self
            .forwarder
            .wait_or_replace(&mut self.watch, limit, last_event, frame)
            .await;
        let frame = match waited {
            Waited::Done(frame) => frame,
            Waited::TakenOver(second, failure) => {
                self.wait.record(0, start, BootClock.now());
                if let Some(target) = self.close(failure) {
                    self.take_over(*second, &target, failure);
                }
                return Ok(Received::TakenOver);
            }
        };
        let len = frame.as_ref().map_or(0, |frame| frame_len(frame.as_ref()));
        self.wait.record(len, start, BootClock.now());
        let Some(frame) = frame? else {
            return Ok(Received::End);
        };
        Ok(Received::Data(frame.into_data().unwrap_or_default()))
    }

    /// Adds received bytes, and returns the events that are complete now.
    fn push(&mut self, data: &[u8]) -> Result<Option<CompleteEvents>, Failure> {
        let pushed = self.events.push(data);
        let fits = self.share.resize(self.events.pending_len());
        let complete = match (pushed, fits) {
            (Ok(Some(complete)), _) => complete,
            (Ok(None), Ok(())) => return Ok(None),
            (Ok(None), Err(fault)) => return Err(self.forwarder.shared.count_receive_fault(fault)),
            (Err(fault), _) => return Err(self.count_fault(fault)),
        };
        if complete.has_event
            && let Some(open) = &mut self.open
        {
            open.reservation.record_answer_begun();
            let round_trip = open.connection.round_trip();
            self.record_event(round_trip);
        }
        Ok(Some(complete))
    }

    /// Continues with another target, which has accepted the request after the last complete event.
    fn take_over(&mut self, second: OpenAnswer, first: &TargetName, failure: Failure) {
        if !self.forwarder.attempts.has_begun() {
            self.head = second.head();
        }
        let head = Some(self.head.clone());
        self.watch = self.forwarder.watch(&second.reservation, head);
        self.forwarder.adopt(first, failure, &second);
        self.open(second);
    }

    fn open(&mut self, open: OpenAnswer) {
        self.is_resumed |= self.forwarder.attempts.has_begun();
        self.has_events = false;
        self.open = Some(open);
    }

    /// Closes the connection to the target, and returns the target.
    fn close(&mut self, failure: Failure) -> Option<TargetName> {
        let open = self.open.take()?;
        let target = open.reservation.choice.target.name.clone();
        open.reservation.finish(failure.end(), None);
        self.events.drop_partial();
        self.share.release();
        self.arrivals = Arrivals::default();
        Some(target)
    }

    /// Whether the stream may end here. A target that crashes may close its connection like one that
    /// has sent everything, unless its answer states where it ends.
    fn is_complete(&self) -> bool {
        let headers = self.open.as_ref().map(|open| &open.headers);
        let has = |name| headers.is_some_and(|headers| headers.contains_key(name));
        let has_end = has(CONTENT_LENGTH) || (self.is_resumed && has(TRANSFER_ENCODING));
        has_end || (self.has_events && !self.events.is_inside_event())
    }

    /// Ends a complete stream, and returns the bytes after its last event boundary.
    fn finish(&mut self) -> Bytes {
        self.forwarder.record_progress(&mut self.watch);
        let Some(mut open) = self.open.take() else {
            return Bytes::new();
        };
        let connection = mark_idle(open.connection, &open.headers);
        if let Some(mean_gap) = self.arrivals.mean_gap() {
            open.reservation.record_timing(Timing::Events(mean_gap));
        }
        open.reservation.finish(End::Served, Some(connection));
        self.events.take_partial()
    }

    fn record_event(&mut self, round_trip: Duration) {
        self.has_events = true;
        let start = &mut self.forwarder.start;
        start.record_event(round_trip, BootClock.now());
        self.forwarder.record_progress(&mut self.watch);
        if let Some(gap) = self.arrivals.record(BootClock.now()) {
            let metrics = &self.forwarder.shared.metrics;
            metrics.entry.observe_stream_gap(gap);
        }
    }

    fn log_stall(&self, target: &TargetName) {
        let (late, late_bytes) = self.wait.late();
        info!(self.forwarder.shared.log, "no event in time; closing the stream from the target";
            "event" => "stalled", "request" => self.forwarder.attempt_id(), "target" => %target,
            "gap_ms" => clock::millis(self.watch.silence()), "late_ms" => clock::millis(late),
            "late_bytes" => late_bytes);
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
            let last = self.events.last_id().map(str::to_owned);
            let TargetReply::Answer(open) = self.forwarder.send_to_targets(last.as_deref()).await?
            else {
                return Err(self.forwarder.refusal(Failure::Failed.code()));
            };
            if open.continues(&self.head) {
                let head = Some(self.head.clone());
                self.watch = self.forwarder.watch(&open.reservation, head);
                return Ok(*open);
            }
            (target, failure) = (open.reservation.choice.target.name.clone(), Failure::Failed);
            open.reservation.finish(End::Failed(failure), None);
        }
    }
}

/// What a wait for a stream has brought.
enum Received {
    Data(Bytes),
    /// Another target has taken over.
    TakenOver,
    End,
}

fn frame_len(frame: Option<&Frame<Bytes>>) -> usize {
    let data = frame.and_then(Frame::data_ref);
    data.map_or(0, Bytes::len)
}
