//! Forwards one request from an entry router to a target over HTTP, or to another target if that
//! fails, and returns the answer to the caller.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{
    code::Code,
    desired::{DesiredRoute, ResponseKind},
    direct::{DirectRequest, Failure, NextStep},
    doc::KeyHash,
    id::{Fingerprint, PartId},
    name::{ServiceName, TargetName, TeamName},
    outcome::End,
    selector::{Choice, SelectionRefusal},
    takeover::{Obstacle, SilenceLimits},
    time::Time,
    timing::Timing,
    wait::ANSWER_GRACE,
};
use ebonyfall_platform::answer;
use gotham::helpers::http::Body;
use http::{HeaderMap, Method, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use slog::{Logger, info};

use crate::{
    clock::{self, BootClock},
    dispatch::{DispatchHandle, Place},
    follow::StoreState,
    logs,
    metrics::Metrics,
    receive::{AnswerBuffers, MAX_ANSWER_BYTES, ReceiveFault},
    reply::{CompleteAnswer, OpenAnswer, StreamHead, TargetReply},
    selection::{Reservation, SelectionRequest, SelectorHandle},
    stop::StopPhases,
    streaming::StreamRelay,
    upstream::TargetConnection,
    usage::{counting::UsageCounter, starts::RequestStart},
    web,
};

mod admit;
mod attempt;
mod takeover;

use attempt::{Attempt, DecodedHead, ErrorAnswer};
pub(crate) use takeover::{Waited, Watch};

/// Delay after which a caller may retry a refused request.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// A caller's request with everything needed to send it to a target.
#[derive(Debug)]
pub struct ForwardJob {
    /// Attempt id from the caller's headers, used in logs and in the answer.
    pub attempt_id: String,
    /// Route that the request's host and path select.
    pub route: Arc<DesiredRoute>,
    /// Service selected among those of the route.
    pub service: ServiceName,
    /// Team that the API key belongs to; `None` on a public route.
    pub team: Option<TeamName>,
    /// Hash of the API key, to check the key again before each attempt; `None` on a public route.
    pub key: Option<KeyHash>,
    /// Priority of the team, or of the route if the team has none; 0 is the most urgent.
    pub priority: u8,
    /// Hashes of the prompt prefixes that other requests may share, the shortest first. Empty if
    /// the route has no cache affinity.
    pub contexts: Vec<u64>,
    /// Hash of team, path and body, which identifies requests that crash targets.
    pub content: Fingerprint,
    /// Shared parts of the request's prompt.
    pub parts: Arc<[PartId]>,
    /// HTTP method, sent to the target unchanged.
    pub method: Method,
    /// Path and query, sent to the target unchanged.
    pub uri: Uri,
    /// Caller's headers that are passed to the target, without those that the router sets itself.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
    /// Time when the router received the request's headers.
    pub arrived: Time,
    /// Version of the desired state by which the request was routed.
    pub version: u64,
}

/// Answer to the caller.
#[derive(Debug)]
pub struct CallerAnswer {
    /// Attempt id from the caller's headers.
    pub attempt_id: String,
    /// Target that answered, with the figures that led to its choice.
    pub choice: Choice,
    /// HTTP status of the target's answer.
    pub status: StatusCode,
    /// Headers of the target's answer, including those of its connection.
    pub headers: HeaderMap,
    /// Body of the answer; a stream is relayed while the caller reads it.
    pub body: Body,
}

/// Handles that all requests of the process share.
#[derive(Debug)]
pub struct Forwarding {
    /// Last received desired state, and the lease that shows whether that state is current.
    pub store_state: StoreState,
    /// Task that chooses targets.
    pub selector: SelectorHandle,
    /// Task that decides when requests are sent.
    pub dispatch: DispatchHandle,
    /// How far a planned stop of the process has come.
    pub phases: StopPhases,
    /// Counts the requests that begin to run; `None` if usage is not reported.
    pub usage: Option<UsageCounter>,
    /// Memory for answers.
    pub buffers: AnswerBuffers,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Logger of this process.
    pub log: Logger,
}

/// Forwards one request. Dropping the forwarder closes the connection to the target, which ends the
/// work there.
#[derive(Debug)]
pub struct Forwarder {
    job: Arc<ForwardJob>,
    pub(crate) attempts: DirectRequest,
    pub(crate) shared: Arc<Forwarding>,
    pub(crate) start: RequestStart,
    pub(crate) charge_retry: bool,
    /// Error answer of a target, returned to the caller if no other target can be tried.
    failure: Option<ErrorAnswer>,
    /// Place of the request among those that the service can take; it is given back when the request
    /// ends.
    place: Option<Place>,
}

impl Forwarding {
    /// Counts an answer that was not read to its end; returns how the attempt failed.
    pub(crate) fn count_receive_fault(&self, fault: ReceiveFault) -> Failure {
        let Some(limit) = fault.limit() else {
            return Failure::Broken;
        };
        self.metrics.entry.count_limit_exceeded(limit);
        Failure::Oversized
    }
}

impl Forwarder {
    /// Creates a forwarder for a request that has not been sent to any target.
    pub fn new(job: ForwardJob, attempts: DirectRequest, shared: Arc<Forwarding>) -> Self {
        let usage = shared.usage.as_ref();
        Self {
            start: RequestStart::new(usage, job.team.as_ref(), &job.route),
            job: Arc::new(job),
            attempts,
            shared,
            charge_retry: false,
            failure: None,
            place: None,
        }
    }

    /// Sends the request to targets until one of them has answered or no attempt is left. A stream
    /// counts as answered when its first event has arrived; the body relays the others.
    ///
    /// # Errors
    ///
    /// Returns the result code for the caller if no target answered.
    pub async fn run(mut self) -> Result<CallerAnswer, SelectionRefusal> {
        self.place = Some(self.admit().await?);
        loop {
            let open = match self.send_to_targets(None).await? {
                TargetReply::Failure(complete) => return Ok(self.caller_answer(*complete)),
                TargetReply::Answer(open) => *open,
            };
            let is_stream = matches!(self.job.route.response, ResponseKind::EventStream { .. });
            if is_stream && open.status.is_success() {
                match StreamRelay::start(self, open).await {
                    Ok(answer) => return Ok(answer),
                    Err(unstarted) => {
                        self = unstarted.forwarder;
                        self.prepare_retry(&unstarted.target, unstarted.failure)?;
                    }
                }
            } else if let Some(caller_answer) = self.read_answer(open).await? {
                return Ok(caller_answer);
            }
        }
    }

    pub(crate) fn caller_answer(&self, complete: CompleteAnswer) -> CallerAnswer {
        CallerAnswer {
            attempt_id: self.job.attempt_id.clone(),
            choice: complete.choice,
            status: complete.status,
            headers: complete.headers,
            body: web::full_body(complete.body),
        }
    }

    /// Returns the answer to the caller whose body is `body`.
    pub(crate) fn streamed_answer(
        attempt_id: String,
        head: StreamHead,
        body: Body,
    ) -> CallerAnswer {
        CallerAnswer {
            attempt_id,
            choice: head.choice,
            status: head.status,
            headers: head.headers,
            body,
        }
    }

    pub(crate) fn attempt_id(&self) -> &str {
        &self.job.attempt_id
    }

    /// Sends the request to one target after another until one replies with an answer, or with an
    /// error that ends the request.
    pub(crate) async fn send_to_targets(
        &mut self,
        last_event: Option<&str>,
    ) -> Result<TargetReply, SelectionRefusal> {
        loop {
            if BootClock.now() >= self.attempts.deadline() {
                self.log_obstacle(Code::DeadlinePassed);
                return Err(self.refusal(Code::DeadlinePassed));
            }
            let requested_at = BootClock.now();
            let (reservation, connection) = match self.choose().await {
                Ok(selected) => {
                    let context = match selected.0.choice.context_source {
                        Some(_) => "fetch",
                        None if self.job.contexts.is_empty() => "none",
                        None => "held",
                    };
                    let waited = BootClock.now().since(requested_at);
                    self.shared.metrics.entry.observe_choice(context, waited);
                    selected
                }
                Err(refusal) => return self.final_failure(refusal).await,
            };
            let target = reservation.choice.target.name.clone();
            self.attempts.record_present(&target);
            let attempt = self.attempt();
            let result = match attempt.connect(&reservation, connection).await {
                Ok(connection) => {
                    // The key may have been revoked while the connection was opened or during an
                    // earlier attempt.
                    if let Err(code) = attempt.check_key() {
                        let refusal = SelectionRefusal {
                            code,
                            after: RETRY_AFTER,
                            part: None,
                        };
                        return self.final_failure(refusal).await;
                    }
                    self.send(reservation, connection, last_event).await
                }
                Err(failure) => {
                    reservation.finish(End::Failed(failure), None);
                    Err((failure, None))
                }
            };
            match result {
                Ok(open) => return Ok(TargetReply::Answer(Box::new(open))),
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
                    // The target's error answer is more specific than a result code of the router.
                    let target_answer = target_answer.or(self.failure.take());
                    let target_answer = self.complete(target_answer).await;
                    return target_answer.ok_or_else(|| self.refusal(code));
                }
            }
        }
    }

    /// Chooses a target; refuses when the process ends before one is found.
    async fn choose(&self) -> Result<(Reservation, Option<TargetConnection>), SelectionRefusal> {
        let selected = tokio::select! {
            biased;
            selected = self.shared.selector.choose(self.selection_request()) => selected,
            () = self.shared.phases.ending() => Err(SelectionRefusal {
                code: Code::ShuttingDown,
                after: RETRY_AFTER,
                part: None,
            }),
        };
        let taken = match &selected {
            Ok(_) => Some(true),
            Err(refusal) => (refusal.code == Code::Overloaded).then_some(false),
        };
        if let Some(taken) = taken.filter(|_| self.charge_retry) {
            self.count_retry(taken);
        }
        selected
    }

    fn count_retry(&self, taken: bool) {
        let metrics = &self.shared.metrics.entry;
        metrics.count_retry(&self.job.service, taken);
    }

    fn attempt(&self) -> Attempt {
        Attempt {
            job: Arc::clone(&self.job),
            shared: Arc::clone(&self.shared),
            deadline: self.attempts.deadline(),
        }
    }

    fn selection_request(&self) -> SelectionRequest {
        SelectionRequest {
            service: self.job.service.clone(),
            contexts: self.job.contexts.clone(),
            tried: self.attempts.tried().to_vec(),
            charge_retry: self.charge_retry,
            only: self.attempts.only_target().cloned(),
            needs_slot: false,
            idempotency: self.attempts.idempotency(),
            content: self.job.content,
            parts: Arc::clone(&self.job.parts),
            team: self.job.team.clone(),
            route: self.job.route.name.clone(),
        }
    }

    pub(crate) fn record_failure(&mut self, target: &TargetName, failure: Failure) -> NextStep {
        let now = BootClock.now();
        let next = self.attempts.on_failure(target, failure, now);
        self.start.record_failure(failure);
        self.shared
            .metrics
            .entry
            .count_target_failure(failure.name());
        info!(self.shared.log, "target failed"; "event" => "attempt", "request" => &self.job.attempt_id,
            "target" => %target, "failure" => failure.name(), "next" => ?next,
            "tried" => self.attempts.tried().len(), "version" => self.job.version,
            "parts" => logs::list(&self.job.parts),
            "after_ms" => clock::millis(now.since(self.job.arrived)));
        next
    }

    pub(crate) fn refusal(&self, code: Code) -> SelectionRefusal {
        SelectionRefusal {
            code: self.attempts.final_code(code),
            after: RETRY_AFTER,
            part: None,
        }
    }

    /// Result if no other target can be tried: an earlier target's error answer if there is one,
    /// since it is more specific than a result code of the router.
    async fn final_failure(
        &mut self,
        mut refusal: SelectionRefusal,
    ) -> Result<TargetReply, SelectionRefusal> {
        self.log_obstacle(refusal.code);
        refusal.code = self.attempts.final_code(refusal.code);
        let target_answer = self.failure.take();
        self.complete(target_answer).await.ok_or(refusal)
    }

    async fn complete(&self, answer: Option<ErrorAnswer>) -> Option<TargetReply> {
        let complete = self.attempt().complete(answer?).await;
        complete.map(TargetReply::failure)
    }

    /// Logs why the request is not sent again after a failed attempt. The code that its caller gets may
    /// be that of the attempt.
    fn log_obstacle(&self, code: Code) {
        if self.attempts.tried().is_empty() {
            return;
        }
        info!(self.shared.log, "no other target takes over the request"; "event" => "not_retried",
            "request" => &self.job.attempt_id, "cause" => %Obstacle::of_refusal(code),
            "code" => code.name(), "tried" => self.attempts.tried().len(),
            "begun" => self.attempts.has_begun());
    }

    /// Sends the request to one target and waits for the headers of an answer, of that target or of one
    /// that has taken over.
    async fn send(
        &mut self,
        reservation: Reservation,
        mut connection: TargetConnection,
        last_event: Option<&str>,
    ) -> Result<OpenAnswer, (Failure, Option<ErrorAnswer>)> {
        let attempt = self.attempt();
        let target = reservation.choice.target.name.clone();
        let now = BootClock.now();
        let limit = attempt.deadline.since(now) + ANSWER_GRACE;
        let req = attempt.request(&reservation, last_event, now);
        self.start.record_sent(now);
        let mut watch = self.watch(&reservation, None);
        let mut failed_head = None;
        let head = async {
            let res = connection.send(req).await?;
            let head = DecodedHead::new(res, &attempt.job.attempt_id);
            match head.failure() {
                None => Ok(head),
                Some(failure) => {
                    failed_head = Some(head);
                    Err(failure)
                }
            }
        };
        let waited = self
            .wait_or_replace(&mut watch, limit, last_event, head)
            .await;
        match waited {
            Waited::Done(Ok(head)) => {
                self.record_progress(&mut watch);
                let open = head.open(reservation, connection, now);
                let round_trip = open.connection.round_trip();
                self.start.record_answer(round_trip, BootClock.now());
                Ok(open)
            }
            Waited::TakenOver(open, failure) => {
                reservation.finish(failure.end(), None);
                self.adopt(&target, failure, &open);
                Ok(*open)
            }
            Waited::Done(Err(failure)) => {
                let place = (reservation, connection);
                let failed = (failed_head, failure, place);
                self.after_failure(&mut watch, failed, last_event).await
            }
        }
    }

    /// Closes the connection to a target that has failed, or keeps its error answer, and waits for the
    /// target that has the request besides.
    async fn after_failure(
        &mut self,
        watch: &mut Watch,
        (head, failure, place): (
            Option<DecodedHead>,
            Failure,
            (Reservation, TargetConnection),
        ),
        last_event: Option<&str>,
    ) -> Result<OpenAnswer, (Failure, Option<ErrorAnswer>)> {
        let attempt = self.attempt();
        let target = place.0.choice.target.name.clone();
        let Some(head) = head else {
            attempt.count_failure(failure);
            let (reservation, connection) = place;
            reservation.finish(failure.end(), None);
            drop(connection);
            let Some(open) = self.await_second(watch, last_event).await else {
                return Err((failure, None));
            };
            self.adopt(&target, failure, &open);
            return Ok(*open);
        };
        if let Some(open) = self.await_second(watch, last_event).await {
            place.0.finish(failure.end(), None);
            self.adopt(&target, failure, &open);
            return Ok(*open);
        }
        let may_ask = self.attempts.may_ask(BootClock.now());
        let answer = attempt.read_failure(head, failure, place, may_ask).await;
        Err((failure, answer))
    }

    /// Watches the target of `reservation`, whose answer has to continue `expected` if another target
    /// takes over.
    pub(crate) fn watch(&self, reservation: &Reservation, expected: Option<StreamHead>) -> Watch {
        Watch::new(
            reservation,
            SilenceLimits::for_route(&self.job.route),
            expected,
        )
    }

    /// Records that another target has taken over, whose answer is `open`.
    pub(crate) fn adopt(&mut self, first: &TargetName, failure: Failure, open: &OpenAnswer) {
        self.record_failure(first, failure);
        let target = &open.reservation.choice.target.name;
        self.attempts.record_present(target);
        self.start.record_sent(open.sent_at);
        let round_trip = open.connection.round_trip();
        self.start.record_answer(round_trip, BootClock.now());
    }

    /// Reads an answer to its end, that of the target or of one that takes over. `None` if the answer was
    /// incomplete and another target may be tried.
    async fn read_answer(
        &mut self,
        mut open: OpenAnswer,
    ) -> Result<Option<CallerAnswer>, SelectionRefusal> {
        loop {
            let mut watch = self.watch(&open.reservation, Some(open.head()));
            let target = open.reservation.choice.target.name.clone();
            match self.read_body(&mut watch, &mut open.body).await {
                Waited::Done(Ok(body)) => {
                    let connection = mark_idle(open.connection, &open.headers);
                    let choice = open.reservation.choice.clone();
                    let took = BootClock.now().since(open.sent_at);
                    open.reservation.record_timing(Timing::Whole(took));
                    open.reservation.finish(End::Served, Some(connection));
                    return Ok(Some(self.caller_answer(CompleteAnswer {
                        choice,
                        status: open.status,
                        headers: open.headers,
                        body,
                    })));
                }
                Waited::TakenOver(second, failure) => {
                    open.reservation.finish(failure.end(), None);
                    self.adopt(&target, failure, &second);
                    open = *second;
                }
                Waited::Done(Err(failure)) => {
                    open.reservation.finish(failure.end(), None);
                    drop((open.connection, open.body));
                    let Some(second) = self.await_second(&mut watch, None).await else {
                        self.prepare_retry(&target, failure)?;
                        return Ok(None);
                    };
                    self.adopt(&target, failure, &second);
                    open = *second;
                }
            }
        }
    }

    /// Reads a body to its end. Each part of it shows that its target goes on.
    async fn read_body(&mut self, watch: &mut Watch, body: &mut Incoming) -> Waited<Bytes> {
        let mut received = match self.shared.buffers.start_body(body, MAX_ANSWER_BYTES) {
            Ok(received) => received,
            Err(fault) => return Waited::Done(Err(self.shared.count_receive_fault(fault))),
        };
        // Bytes that arrive do not move the end.
        let end = self.attempts.deadline() + ANSWER_GRACE;
        loop {
            let limit = end.since(BootClock.now());
            let frame = async {
                let frame = body.frame().await.transpose();
                frame.map_err(|_broken| Failure::Broken)
            };
            let frame = match self.wait_or_replace(watch, limit, None, frame).await {
                Waited::Done(Ok(frame)) => frame,
                Waited::Done(Err(failure)) => return Waited::Done(Err(failure)),
                Waited::TakenOver(open, failure) => return Waited::TakenOver(open, failure),
            };
            self.record_progress(watch);
            let Some(frame) = frame else {
                return Waited::Done(Ok(received.complete()));
            };
            if let Ok(data) = frame.into_data()
                && let Err(fault) = received.push(&data)
            {
                return Waited::Done(Err(self.shared.count_receive_fault(fault)));
            }
        }
    }

    /// Records a failed attempt and prepares the next one.
    ///
    /// # Errors
    ///
    /// Fails with the result code for the caller when no other target may be tried.
    pub(crate) fn prepare_retry(
        &mut self,
        target: &TargetName,
        failure: Failure,
    ) -> Result<(), SelectionRefusal> {
        match self.record_failure(target, failure) {
            NextStep::Again { repeat } => {
                self.charge_retry = repeat;
                Ok(())
            }
            NextStep::GiveUp(code) => Err(self.refusal(code)),
            NextStep::PassOn => Err(self.refusal(failure.code())),
        }
    }
}

pub(crate) fn mark_idle(mut connection: TargetConnection, headers: &HeaderMap) -> TargetConnection {
    connection.mark_idle(answer::keep_alive_timeout(headers), BootClock.now());
    connection
}
