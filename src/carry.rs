//! Carries one request to targets and its answer back.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{
    code::Code,
    desired::{ResponseKind, Route},
    doc::KeyHash,
    events::EventSplitter,
    id::Fingerprint,
    name::{ServiceName, TargetName, TeamName},
    outcome::End,
    pace::{Arrivals, Timing},
    passage::{AnswerKind, DirectRequest, Failure, NextStep},
    steer::{Choice, Refusal},
    time::Time,
};
use ebonyfall_platform::{
    answer,
    request::{self, TargetHeaders},
};
use gotham::helpers::http::Body;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use slog::{Logger, info};
use tokio::time::timeout;

use crate::{
    clock::{self, BootClock},
    follow::StoreState,
    metrics::Metrics,
    steering::{Reservation, SelectionRequest, SelectorHandle},
    upstream::Line,
    web,
};

/// Part of the objective, in percent, after which a request that may run again is sent to
/// another target while the first one is silent.
const RETRY_OBJECTIVE_PERCENT: u32 = 60;
/// Time without an event after which a stream is resumed at another target.
const MAX_EVENT_GAP: Duration = Duration::from_millis(1_200);
/// Time for which an answer is waited for beyond the time that a target was given, so that the
/// target's own final answer still arrives.
const ANSWER_GRACE: Duration = Duration::from_millis(60);
/// Pause after which a caller may come back when a request was refused.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// A caller's request with all that sending it takes.
#[derive(Debug)]
pub struct Job {
    /// The caller's id.
    pub id: String,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: ServiceName,
    /// The team that its key belongs to.
    pub team: Option<TeamName>,
    /// The hash of that key, where the route takes one.
    pub key: Option<KeyHash>,
    /// Urgency of the team, or else of the route.
    pub priority: u8,
    /// Hashes of the prompt parts that it shares with others, the shortest first.
    pub contexts: Vec<u64>,
    /// Hash of team and content.
    pub content: Fingerprint,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers for the target.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When it arrived.
    pub arrived: Time,
    /// Version of the desired state that routed it.
    pub version: u64,
}

/// An answer for the caller.
#[derive(Debug)]
pub struct CallerAnswer {
    /// The caller's id.
    pub id: String,
    /// The target that answered, and what decided its choice.
    pub choice: Choice,
    /// The status.
    pub status: StatusCode,
    /// The target's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Body,
}

/// Carries one request; dropping it ends the work at the target.
#[derive(Debug)]
pub struct Forwarder {
    job: Job,
    direct_request: DirectRequest,
    store_state: Arc<StoreState>,
    selector: SelectorHandle,
    metrics: Metrics,
    log: Logger,
    charge_retry: bool,
    /// A target's own failure, which the caller gets when there is no other target.
    failure: Option<CompleteAnswer>,
}

/// A target's answer whose body has not been read.
#[derive(Debug)]
struct OpenAnswer {
    reservation: Reservation,
    connection: Line,
    status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
    sent_at: Time,
}

/// A complete answer of a target.
#[derive(Debug)]
struct CompleteAnswer {
    choice: Choice,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// What sending the request to one target led to.
enum TargetReply {
    Answer(OpenAnswer),
    /// The target's own failure.
    Failure(CompleteAnswer),
}

impl Forwarder {
    /// Starts without a target.
    pub fn new(
        job: Job,
        direct_request: DirectRequest,
        store_state: Arc<StoreState>,
        selector: SelectorHandle,
        metrics: Metrics,
        log: Logger,
    ) -> Self {
        Self {
            job,
            direct_request,
            store_state,
            selector,
            metrics,
            log,
            charge_retry: false,
            failure: None,
        }
    }

    /// Carries the request until there is an answer to begin with.
    ///
    /// # Errors
    ///
    /// Fails with what the caller is told.
    pub async fn run(mut self) -> Result<CallerAnswer, Refusal> {
        loop {
            let open = match self.send_to_targets(None).await? {
                TargetReply::Failure(complete) => return Ok(self.caller_answer(complete)),
                TargetReply::Answer(open) => open,
            };
            if matches!(self.job.route.response, ResponseKind::EventStream { .. }) {
                return Ok(self.relay_stream(open));
            }
            if let Some(caller_answer) = self.read_answer(open).await? {
                return Ok(caller_answer);
            }
        }
    }

    fn caller_answer(&self, complete: CompleteAnswer) -> CallerAnswer {
        CallerAnswer {
            id: self.job.id.clone(),
            choice: complete.choice,
            status: complete.status,
            headers: complete.headers,
            body: web::full(complete.body),
        }
    }

    /// Sends the request to targets until one answers.
    async fn send_to_targets(&mut self, last_event: Option<&str>) -> Result<TargetReply, Refusal> {
        loop {
            if BootClock.now() >= self.direct_request.deadline() {
                return Err(self.refusal(Code::DeadlinePassed, RETRY_AFTER));
            }
            let asked = BootClock.now();
            let (reservation, connection) =
                match self.selector.choose(self.selection_request()).await {
                    Ok(selected) => {
                        let context = match selected.0.choice.context_source {
                            Some(_) => "fetch",
                            None if self.job.contexts.is_empty() => "none",
                            None => "held",
                        };
                        let waited = BootClock.now().since(asked);
                        self.metrics.entry.chosen(context, waited);
                        selected
                    }
                    Err(Refusal { code, after }) => return self.final_failure(code, after),
                };
            let target = reservation.choice.target.name.clone();
            let result = match self.connect(&reservation, connection).await {
                Ok(connection) => {
                    // The key may have been taken away while a connection was made or another
                    // target worked.
                    if let Err(code) = self.check_key() {
                        return self.final_failure(code, RETRY_AFTER);
                    }
                    self.send(reservation, connection, last_event).await
                }
                Err(failure) => {
                    reservation.finish(End::Failed(failure), None);
                    Err((failure, None))
                }
            };
            match result {
                Ok(open) => return Ok(TargetReply::Answer(open)),
                Err((failure, target_answer)) => {
                    let code = match self.record_failure(&target, failure) {
                        NextStep::Again { repeat } => {
                            self.charge_retry = repeat;
                            self.failure = target_answer.or(self.failure.take());
                            continue;
                        }
                        NextStep::PassOn => failure.code(),
                        NextStep::GiveUp(code) => code,
                    };
                    // The target's own answer says more than a code of the router.
                    let target_answer = target_answer.map(TargetReply::Failure);
                    return target_answer.ok_or_else(|| self.refusal(code, RETRY_AFTER));
                }
            }
        }
    }

    fn selection_request(&self) -> SelectionRequest {
        SelectionRequest {
            service: self.job.service.clone(),
            contexts: self.job.contexts.clone(),
            tried: self.direct_request.tried().to_vec(),
            charge_retry: self.charge_retry,
            repeat: self.direct_request.repeat(),
            content: self.job.content,
            team: self.job.team.clone(),
            route: self.job.route.name.clone(),
        }
    }

    fn record_failure(&mut self, target: &TargetName, failure: Failure) -> NextStep {
        let now = BootClock.now();
        let next = self.direct_request.on_failure(target, failure, now);
        self.metrics.entry.target_failure(failure.name());
        info!(self.log, "target failed"; "event" => "attempt", "request" => &self.job.id,
            "target" => %target, "failure" => failure.name(), "next" => ?next,
            "tried" => self.direct_request.tried().len(), "version" => self.job.version,
            "after_ms" => clock::millis(now.since(self.job.arrived)));
        next
    }

    fn refusal(&self, code: Code, after: Duration) -> Refusal {
        let code = self.direct_request.final_code(code);
        Refusal { code, after }
    }

    /// The end where no other target gets the request: a target's own failure says more than a
    /// code of the router.
    fn final_failure(&mut self, code: Code, after: Duration) -> Result<TargetReply, Refusal> {
        let target_answer = self.failure.take().map(TargetReply::Failure);
        target_answer.ok_or_else(|| self.refusal(code, after))
    }

    /// Whether the request may still be handed to a target.
    fn check_key(&self) -> Result<(), Code> {
        let Some(key) = &self.job.key else {
            return Ok(());
        };
        let desired = self.store_state.desired.borrow();
        let desired = desired.as_ref().ok_or(Code::StaleState)?;
        let lease = self.store_state.lease.borrow();
        lease.authorize(desired, key, BootClock.now())
    }

    /// The connection that came with the choice, or else a new one.
    async fn connect(
        &self,
        reservation: &Reservation,
        connection: Option<Line>,
    ) -> Result<Line, Failure> {
        match connection {
            Some(connection) => Ok(connection),
            None => Line::open(reservation.choice.target.address, BootClock.now())
                .await
                .map_err(|_unreachable| Failure::NotSent),
        }
    }

    /// Sends the request to one target and waits for the head of its answer.
    async fn send(
        &mut self,
        reservation: Reservation,
        mut connection: Line,
        last_event: Option<&str>,
    ) -> Result<OpenAnswer, (Failure, Option<CompleteAnswer>)> {
        let fail = |reservation: Reservation, failure| {
            reservation.finish(End::Failed(failure), None);
            (failure, None)
        };
        let now = BootClock.now();
        let left = self.direct_request.deadline().since(now);
        let limit = self.answer_timeout(left);
        let req = self.target_request(&reservation, left, last_event);
        let res = match timeout(limit, connection.send(req)).await {
            Ok(Ok(res)) => res,
            Ok(Err(failure)) => return Err(fail(reservation, failure)),
            Err(_late) => return Err(fail(reservation, Failure::TimedOut)),
        };
        let (head, body) = res.into_parts();
        let decoded = answer::decode(head.status, &head.headers, &self.job.id);
        if let Some(load) = decoded.load {
            reservation.record_load(load);
        }
        let open = OpenAnswer {
            reservation,
            connection,
            status: head.status,
            headers: head.headers,
            body,
            sent_at: now,
        };
        let failure = match decoded.kind() {
            AnswerKind::Answer => return Ok(open),
            AnswerKind::Failed => Failure::Failed,
            AnswerKind::Declined => Failure::Declined,
            AnswerKind::WrongTarget => Failure::WrongTarget,
            AnswerKind::Unrelated => return Err(fail(open.reservation, Failure::Broken)),
        };
        // Only a sealed failure is the target's own answer to this caller.
        let keep = decoded.sealed && failure == Failure::Failed;
        Err((failure, self.read_failure(open, failure, keep).await))
    }

    /// Reads a failure's body, so that the connection can be used again.
    async fn read_failure(
        &self,
        open: OpenAnswer,
        failure: Failure,
        keep: bool,
    ) -> Option<CompleteAnswer> {
        let left = self.direct_request.deadline().since(BootClock.now()) + ANSWER_GRACE;
        let choice = open.reservation.choice.clone();
        let body = timeout(left, open.body.collect()).await;
        let Ok(Ok(body)) = body else {
            open.reservation.finish(End::Failed(failure), None);
            return None;
        };
        let connection = mark_idle(open.connection, &open.headers);
        open.reservation
            .finish(End::Failed(failure), Some(connection));
        keep.then(|| CompleteAnswer {
            choice,
            status: open.status,
            headers: open.headers,
            body: body.to_bytes(),
        })
    }

    fn target_request(
        &self,
        reservation: &Reservation,
        left: Duration,
        last_event: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let target_headers = TargetHeaders {
            target: &reservation.choice.target.name,
            time_left: left,
            team: self.job.team.as_ref(),
            priority: self.job.route.cache_affinity.then_some(self.job.priority),
            last_event,
            cache_source: reservation.choice.context_source,
        };
        let mut req = Request::new(Full::new(self.job.body.clone()));
        *req.method_mut() = self.job.method.clone();
        *req.uri_mut() = self.job.uri.clone();
        *req.headers_mut() = request::encode(&self.job.headers, &target_headers);
        req
    }

    /// How long the head of an answer is waited for.
    fn answer_timeout(&self, left: Duration) -> Duration {
        if !self.direct_request.has_attempts_left() {
            return left + ANSWER_GRACE;
        }
        let wait = match self.job.route.response {
            ResponseKind::Single => {
                self.job.route.latency_objective * RETRY_OBJECTIVE_PERCENT / 100
            }
            ResponseKind::EventStream { .. } => MAX_EVENT_GAP,
        };
        wait.min(left + ANSWER_GRACE)
    }

    /// Reads a complete answer; `None` when it broke and the request goes to another target.
    async fn read_answer(&mut self, mut open: OpenAnswer) -> Result<Option<CallerAnswer>, Refusal> {
        let left = self.direct_request.deadline().since(BootClock.now());
        let target = open.reservation.choice.target.name.clone();
        let failure = match timeout(self.answer_timeout(left), open.body.collect()).await {
            Ok(Ok(body)) => {
                let connection = mark_idle(open.connection, &open.headers);
                let choice = open.reservation.choice.clone();
                let took = BootClock.now().since(open.sent_at);
                open.reservation.record_timing(Timing::Whole(took));
                open.reservation.finish(End::Served, Some(connection));
                return Ok(Some(self.caller_answer(CompleteAnswer {
                    choice,
                    status: open.status,
                    headers: open.headers,
                    body: body.to_bytes(),
                })));
            }
            Ok(Err(_broken)) => Failure::Broken,
            Err(_late) => Failure::TimedOut,
        };
        open.reservation.finish(End::Failed(failure), None);
        match self.record_failure(&target, failure) {
            NextStep::Again { repeat } => {
                self.charge_retry = repeat;
                Ok(None)
            }
            NextStep::GiveUp(code) => Err(self.refusal(code, RETRY_AFTER)),
            NextStep::PassOn => Err(self.refusal(failure.code(), RETRY_AFTER)),
        }
    }

    /// Passes a stream on as it arrives.
    fn relay_stream(mut self, open: OpenAnswer) -> CallerAnswer {
        self.direct_request.record_answer_begun();
        let id = self.job.id.clone();
        let choice = open.reservation.choice.clone();
        let (status, headers) = (open.status, open.headers.clone());
        let relay = StreamRelay {
            forwarder: self,
            open: Some(open),
            events: EventSplitter::default(),
            arrivals: Arrivals::default(),
        };
        let body = futures_util::stream::unfold(relay, StreamRelay::next);
        CallerAnswer {
            id,
            choice,
            status,
            headers,
            body: Body::new(StreamBody::new(body)),
        }
    }
}

/// A stream on its way to the caller.
struct StreamRelay {
    forwarder: Forwarder,
    open: Option<OpenAnswer>,
    events: EventSplitter,
    arrivals: Arrivals,
}

type FrameResult = io::Result<Frame<Bytes>>;

impl StreamRelay {
    async fn next(mut self) -> Option<(FrameResult, Self)> {
        loop {
            let open = self.open.as_mut()?;
            let resumable = self.forwarder.direct_request.has_attempts_left();
            let left = self
                .forwarder
                .direct_request
                .deadline()
                .since(BootClock.now())
                + ANSWER_GRACE;
            let limit = if resumable {
                left.min(MAX_EVENT_GAP)
            } else {
                left
            };
            let failure = match timeout(limit, open.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if let Some(gap) = self.arrivals.record(BootClock.now()) {
                        self.forwarder.metrics.entry.gap(gap);
                    }
                    match self.events.push(&data) {
                        Some(complete) => return Some((Ok(Frame::data(complete)), self)),
                        None => continue,
                    }
                }
                Ok(None) => {
                    let mut open = self.open.take()?;
                    let connection = mark_idle(open.connection, &open.headers);
                    if let Some(mean_gap) = self.arrivals.mean_gap() {
                        open.reservation.record_timing(Timing::Events(mean_gap));
                    }
                    open.reservation.finish(End::Served, Some(connection));
                    let partial = self.events.take_partial();
                    if partial.is_empty() {
                        return None;
                    }
                    return Some((Ok(Frame::data(partial)), self));
                }
                Ok(Some(Err(_broken))) => Failure::Broken,
                Err(_late) => Failure::TimedOut,
            };
            let open = self.open.take()?;
            let target = open.reservation.choice.target.name.clone();
            open.reservation.finish(End::Failed(failure), None);
            // Ends the work at the target before another one goes on.
            drop(open.connection);
            self.events.drop_partial();
            if !self.resume(&target, failure).await {
                let cut = io::Error::other("the answer was cut");
                return Some((Err(cut), self));
            }
        }
    }

    /// Goes on at another target; false when there is none.
    async fn resume(&mut self, target: &TargetName, failure: Failure) -> bool {
        let NextStep::Again { repeat } = self.forwarder.record_failure(target, failure) else {
            return false;
        };
        self.forwarder.charge_retry = repeat;
        self.arrivals = Arrivals::default();
        let last = self.events.last_id().map(str::to_owned);
        match self.forwarder.send_to_targets(last.as_deref()).await {
            Ok(TargetReply::Answer(open)) => {
                self.open = Some(open);
                true
            }
            Ok(TargetReply::Failure(_)) | Err(_) => false,
        }
    }
}

fn mark_idle(mut connection: Line, headers: &HeaderMap) -> Line {
    connection.rest(answer::keep_alive_timeout(headers), BootClock.now());
    connection
}
