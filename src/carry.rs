//! Forwards one request from an entry router to a target over HTTP, or to another target if that
//! fails, and returns the answer to the caller.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{
    code::Code,
    desired::{DesiredRoute, ResponseKind},
    direct::{AnswerKind, DirectRequest, Failure, NextStep},
    doc::KeyHash,
    id::{Fingerprint, PartId},
    name::{ServiceName, TargetName, TeamName},
    outcome::End,
    selector::{Choice, SelectionRefusal},
    takeover::Obstacle,
    time::Time,
    timing::Timing,
    wait::{ANSWER_GRACE, MAX_EVENT_GAP},
};
use ebonyfall_platform::{
    answer,
    request::{self, TargetHeaders},
};
use gotham::helpers::http::Body;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use slog::{Logger, info};
use tokio::time::timeout;

use crate::{
    clock::{self, BootClock},
    dispatch::{DispatchHandle, Place},
    follow::StoreState,
    logs,
    metrics::Metrics,
    receive::{AnswerBuffers, MAX_ANSWER_BYTES, MAX_ERROR_BYTES, ReceiveFault},
    reply::{CompleteAnswer, OpenAnswer, StreamHead, TargetReply},
    selection::{Reservation, SelectionRequest, SelectorHandle},
    stop::StopPhases,
    streaming::StreamRelay,
    upstream::{ReadBuffer, TargetConnection},
    usage::{counting::UsageCounter, starts::RequestStart},
    web,
};

mod admit;

/// Percentage of the latency objective after which an idempotent request is retried at another
/// target if the first one has not answered.
const RETRY_PERCENT: u32 = 60;
/// Longest wait for the body of an error answer that is not passed on; it is read only so that the
/// connection can be used again.
const UNUSED_BODY_TIMEOUT: Duration = Duration::from_millis(100);
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
    job: ForwardJob,
    pub(crate) attempts: DirectRequest,
    pub(crate) shared: Arc<Forwarding>,
    pub(crate) start: RequestStart,
    pub(crate) charge_retry: bool,
    /// Error answer of a target, returned to the caller if no other target can be tried.
    failure: Option<CompleteAnswer>,
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
            job,
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
                Err(refusal) => return self.final_failure(refusal),
            };
            let target = reservation.choice.target.name.clone();
            let result = match self.connect(&reservation, connection).await {
                Ok(connection) => {
                    // The key may have been revoked while the connection was opened or during an
                    // earlier attempt.
                    if let Err(code) = self.check_key() {
                        return self.final_failure(SelectionRefusal {
                            code,
                            after: RETRY_AFTER,
                            part: None,
                        });
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
                    let target_answer = target_answer.map(TargetReply::failure);
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
            let metrics = &self.shared.metrics.entry;
            metrics.count_retry(&self.job.service, taken);
        }
        selected
    }

    /// Waits for a target, at most `limit` and only as long as the process may hold a request that
    /// has no answer.
    async fn wait<T>(&self, limit: Duration, work: impl Future<Output = T>) -> Result<T, Failure> {
        tokio::select! {
            biased;
            done = timeout(limit, work) => done.map_err(|_late| Failure::TimedOut),
            () = self.shared.phases.ending() => Err(Failure::Stopping),
        }
    }

    fn selection_request(&self) -> SelectionRequest {
        SelectionRequest {
            service: self.job.service.clone(),
            contexts: self.job.contexts.clone(),
            tried: self.attempts.tried().to_vec(),
            charge_retry: self.charge_retry,
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
    fn final_failure(
        &mut self,
        mut refusal: SelectionRefusal,
    ) -> Result<TargetReply, SelectionRefusal> {
        self.log_obstacle(refusal.code);
        refusal.code = self.attempts.final_code(refusal.code);
        let target_answer = self.failure.take().map(TargetReply::failure);
        target_answer.ok_or(refusal)
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

    /// Checks that the API key is still valid, by a desired state that is recent enough.
    fn check_key(&self) -> Result<(), Code> {
        let Some(key) = &self.job.key else {
            return Ok(());
        };
        let desired = self.shared.store_state.desired.borrow();
        let desired = desired.as_ref().ok_or(Code::StaleState)?;
        let lease = self.shared.store_state.lease.borrow();
        lease.authorize(desired, key, BootClock.now())
    }

    /// Returns the idle connection that came with the selection, or opens a new one.
    async fn connect(
        &self,
        reservation: &Reservation,
        connection: Option<TargetConnection>,
    ) -> Result<TargetConnection, Failure> {
        match connection {
            Some(connection) => Ok(connection),
            None => TargetConnection::connect(
                reservation.choice.target.address,
                ReadBuffer::Adaptive,
                BootClock.now(),
            )
            .await
            .map_err(|_unreachable| Failure::NotSent),
        }
    }

    /// Sends the request to one target and waits for the headers of its answer.
    async fn send(
        &mut self,
        reservation: Reservation,
        mut connection: TargetConnection,
        last_event: Option<&str>,
    ) -> Result<OpenAnswer, (Failure, Option<CompleteAnswer>)> {
        let fail = |reservation: Reservation, failure: Failure| {
            reservation.finish(failure.end(), None);
            (failure, None)
        };
        let now = BootClock.now();
        let time_left = self.attempts.deadline().since(now);
        let limit = self.answer_timeout(time_left);
        let req = self.target_request(&reservation, time_left, last_event);
        self.start.record_sent(now);
        let res = match self.wait(limit, connection.send(req)).await {
            Ok(Ok(res)) => res,
            Ok(Err(failure)) => {
                if failure == Failure::Oversized {
                    self.shared.metrics.entry.count_limit_exceeded("head");
                }
                return Err(fail(reservation, failure));
            }
            Err(failure) => return Err(fail(reservation, failure)),
        };
        let (head, body) = res.into_parts();
        let decoded = answer::decode(head.status, &head.headers, &self.job.attempt_id);
        if let Some(load) = decoded.load {
            reservation.record_load(load);
        }
        if decoded.matches == Some(true) {
            reservation.record_notices(decoded.notices);
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
            AnswerKind::Answer => {
                let round_trip = open.connection.round_trip();
                self.start.record_answer(round_trip, BootClock.now());
                return Ok(open);
            }
            AnswerKind::Failed => Failure::Failed,
            AnswerKind::Declined => Failure::Declined,
            AnswerKind::WrongTarget => Failure::WrongTarget,
            AnswerKind::Unrelated => return Err(fail(open.reservation, Failure::Broken)),
        };
        let keep = decoded.may_pass_on();
        Err((failure, self.read_failure(open, failure, keep).await))
    }

    /// Reads the body of an error answer, so that the connection can be reused. Returns the answer
    /// if `keep` is set and the body was complete.
    async fn read_failure(
        &self,
        open: OpenAnswer,
        failure: Failure,
        keep: bool,
    ) -> Option<CompleteAnswer> {
        let limit = if keep {
            self.answer_timeout(self.attempts.deadline().since(BootClock.now()))
        } else {
            UNUSED_BODY_TIMEOUT
        };
        let choice = open.reservation.choice.clone();
        let body = self.shared.buffers.read(open.body, MAX_ERROR_BYTES);
        let body = match self.wait(limit, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(fault)) => {
                self.shared.count_receive_fault(fault);
                open.reservation.finish(End::Failed(failure), None);
                return None;
            }
            Err(_late) => {
                open.reservation.finish(End::Failed(failure), None);
                return None;
            }
        };
        let connection = mark_idle(open.connection, &open.headers);
        open.reservation
            .finish(End::Failed(failure), Some(connection));
        keep.then_some(CompleteAnswer {
            choice,
            status: open.status,
            headers: open.headers,
            body,
        })
    }

    fn target_request(
        &self,
        reservation: &Reservation,
        time_left: Duration,
        last_event: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let target_headers = TargetHeaders {
            target: &reservation.choice.target.name,
            time_left,
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

    /// Time to wait for the headers of an answer, or for the rest of one that is not a stream.
    fn answer_timeout(&self, time_left: Duration) -> Duration {
        if !self.attempts.has_attempts_left() {
            return time_left + ANSWER_GRACE;
        }
        let wait = match self.job.route.response {
            ResponseKind::Single => self.job.route.latency_objective * RETRY_PERCENT / 100,
            ResponseKind::EventStream { .. } => MAX_EVENT_GAP,
        };
        wait.min(time_left + ANSWER_GRACE)
    }

    /// Reads an answer to its end. `None` if the answer was incomplete and another target may be
    /// tried.
    async fn read_answer(
        &mut self,
        mut open: OpenAnswer,
    ) -> Result<Option<CallerAnswer>, SelectionRefusal> {
        let time_left = self.attempts.deadline().since(BootClock.now());
        let target = open.reservation.choice.target.name.clone();
        let body = self.shared.buffers.read(open.body, MAX_ANSWER_BYTES);
        let failure = match self.wait(self.answer_timeout(time_left), body).await {
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
                    body,
                })));
            }
            Ok(Err(fault)) => self.shared.count_receive_fault(fault),
            Err(failure) => failure,
        };
        open.reservation.finish(failure.end(), None);
        self.prepare_retry(&target, failure)?;
        Ok(None)
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
