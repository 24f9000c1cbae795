//! One attempt at a target: the connection, the request, and the head of the answer.

use std::{fmt, pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{
    code::Code,
    desired::ResponseKind,
    direct::{AnswerHead, AnswerKind, Failure},
    outcome::End,
    time::Time,
    wait::ANSWER_GRACE,
};
use ebonyfall_platform::{
    answer,
    request::{self, TargetHeaders},
};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::{ForwardJob, Forwarding, mark_idle};
use crate::{
    clock::BootClock,
    receive::{MAX_ERROR_BYTES, ReceiveFault},
    reply::{CompleteAnswer, OpenAnswer},
    selection::Reservation,
    upstream::{ReadBuffer, TargetConnection},
};

/// Longest wait for the body of an error answer that is not passed on; it is read only so that the
/// connection can be used again.
const UNUSED_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for the body of an error answer before another target is tried, in percent of the objective, and
/// for streams.
const ERROR_BODY_PERCENT: u32 = 60;
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Body of an error answer that is being read.
type ErrorBody =
    Pin<Box<dyn Future<Output = (Result<Bytes, ReceiveFault>, TargetConnection)> + Send + Sync>>;

/// Error answer of a target, for the caller if no other target answers.
pub(crate) enum ErrorAnswer {
    Complete(CompleteAnswer),
    /// Its body is still on its way.
    Reading(CompleteAnswer, ErrorBody),
}

impl fmt::Debug for ErrorAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Self::Complete(answer) | Self::Reading(answer, _)) = self;
        answer.fmt(f)
    }
}

/// Head of an answer, with what it says.
pub(crate) struct DecodedHead {
    pub(crate) res: Response<Incoming>,
    head: AnswerHead,
}

impl DecodedHead {
    pub(crate) fn new(res: Response<Incoming>, attempt_id: &str) -> Self {
        let head = answer::decode(res.status(), res.headers(), attempt_id);
        Self { res, head }
    }

    /// Why the attempt failed; `None` if this is an answer for the caller.
    pub(crate) fn failure(&self) -> Option<Failure> {
        match self.head.kind() {
            AnswerKind::Answer => None,
            AnswerKind::Failed => Some(Failure::Failed),
            AnswerKind::Declined => Some(Failure::Declined),
            AnswerKind::WrongTarget => Some(Failure::WrongTarget),
            AnswerKind::Unrelated => Some(Failure::Broken),
        }
    }

    /// Records what the target states about itself, and returns the answer, whose body has not been
    /// read.
    pub(crate) fn open(
        self,
        reservation: Reservation,
        connection: TargetConnection,
        sent_at: Time,
    ) -> OpenAnswer {
        if let Some(load) = self.head.load {
            reservation.record_load(load);
        }
        if self.head.matches == Some(true) {
            reservation.record_notices(self.head.notices);
        }
        let (head, body) = self.res.into_parts();
        OpenAnswer {
            reservation,
            connection,
            status: head.status,
            headers: head.headers,
            body,
            sent_at,
        }
    }

    /// Whether this is an error answer that its caller may get.
    pub(crate) fn may_pass_on(&self) -> bool {
        self.head.may_pass_on()
    }
}

/// A request with what each attempt needs; cloning shares it.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) job: Arc<ForwardJob>,
    pub(crate) shared: Arc<Forwarding>,
    pub(crate) deadline: Time,
}

impl Attempt {
    /// Checks that the API key is still valid, by a desired state that is recent enough.
    pub(crate) fn check_key(&self) -> Result<(), Code> {
        let Some(key) = &self.job.key else {
            return Ok(());
        };
        let desired = self.shared.store_state.desired.borrow();
        let desired = desired.as_ref().ok_or(Code::StaleState)?;
        let lease = self.shared.store_state.lease.borrow();
        lease.authorize(desired, key, BootClock.now())
    }

    /// Returns the idle connection that came with the selection, or opens a new one.
    pub(crate) async fn connect(
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

    /// The request as it is sent to a target at `now`.
    pub(crate) fn request(
        &self,
        reservation: &Reservation,
        last_event: Option<&str>,
        now: Time,
    ) -> Request<Full<Bytes>> {
        let target_headers = TargetHeaders {
            target: &reservation.choice.target.name,
            time_left: self.deadline.since(now),
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

    /// Counts a limit on the head of an answer that a target has exceeded.
    pub(crate) fn count_failure(&self, failure: Failure) {
        if failure == Failure::Oversized {
            self.shared.metrics.entry.count_limit_exceeded("head");
        }
    }

    /// Reads the body of an error answer, so that the connection can be reused. Returns the answer if it may
    /// be passed on; if `may_ask` is set, the rest of its body may still be on its way.
    pub(crate) async fn read_failure(
        &self,
        head: DecodedHead,
        failure: Failure,
        (reservation, connection): (Reservation, TargetConnection),
        may_ask: bool,
    ) -> Option<ErrorAnswer> {
        let keep = head.may_pass_on();
        let open = head.open(reservation, connection, BootClock.now());
        if failure == Failure::Broken {
            open.reservation.finish(failure.end(), None);
            return None;
        }
        let limit = if keep {
            self.error_body_timeout(may_ask)
        } else {
            UNUSED_BODY_TIMEOUT
        };
        let answer = CompleteAnswer {
            choice: open.reservation.choice.clone(),
            status: open.status,
            headers: open.headers,
            body: Bytes::new(),
        };
        let (buffers, body, connection) = (self.shared.buffers.clone(), open.body, open.connection);
        let mut reading: ErrorBody =
            Box::pin(async move { (buffers.read(body, MAX_ERROR_BYTES).await, connection) });
        let read = tokio::select! {
            biased;
            read = timeout(limit, &mut reading) => read.ok(),
            () = self.shared.phases.ending() => None,
        };
        let end = End::Failed(failure);
        match read {
            Some((Ok(body), connection)) => {
                let connection = mark_idle(connection, &answer.headers);
                open.reservation.finish(end, Some(connection));
                keep.then_some(ErrorAnswer::Complete(CompleteAnswer { body, ..answer }))
            }
            Some((Err(fault), _connection)) => {
                self.shared.count_receive_fault(fault);
                open.reservation.finish(end, None);
                None
            }
            None => {
                open.reservation.finish(end, None);
                keep.then_some(ErrorAnswer::Reading(answer, reading))
            }
        }
    }

    /// Waits for the rest of an error answer, until the deadline. `None` if it does not arrive.
    pub(crate) async fn complete(&self, answer: ErrorAnswer) -> Option<CompleteAnswer> {
        let (answer, reading) = match answer {
            ErrorAnswer::Complete(complete) => return Some(complete),
            ErrorAnswer::Reading(answer, reading) => (answer, reading),
        };
        let limit = self.deadline.since(BootClock.now()) + ANSWER_GRACE;
        let (read, _connection) = tokio::select! {
            biased;
            read = timeout(limit, reading) => read.ok()?,
            () = self.shared.phases.ending() => return None,
        };
        let body = read.ok()?;
        Some(CompleteAnswer { body, ..answer })
    }

    fn error_body_timeout(&self, may_ask: bool) -> Duration {
        let left = self.deadline.since(BootClock.now()) + ANSWER_GRACE;
        if !may_ask {
            return left;
        }
        let route = &self.job.route;
        let wait = match route.response {
            ResponseKind::Single => route.latency_objective * ERROR_BODY_PERCENT / 100,
            ResponseKind::EventStream { .. } => ERROR_BODY_TIMEOUT,
        };
        wait.min(left)
    }
}
