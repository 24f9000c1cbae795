//! Carries one request to targets and its answer back.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{
    code::Code,
    desired::{DesiredRoute, ResponseKind},
    direct::{AnswerKind, DirectRequest, Failure, NextStep},
    doc::KeyHash,
    events::EventSplitter,
    id::Fingerprint,
    name::{ServiceName, TargetName, TeamName},
    outcome::End,
    selector::{Choice, SelectionRefusal},
    time::Time,
    timing::{Arrivals, Timing},
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
    follow::Beliefs,
    metrics::Metrics,
    steering::{Order, Steering, Ticket},
    upstream::TargetConnection,
    web,
};

/// Part of the objective, in percent, after which a request that may run again is sent to
/// another target while the first one is silent.
const RETRY_PERCENT: u32 = 60;
/// Time without an event after which a stream is resumed at another target.
const EVENT_GAP: Duration = Duration::from_millis(1_200);
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
    pub route: Arc<DesiredRoute>,
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
pub struct Given {
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
pub struct Carrier {
    job: Job,
    passage: DirectRequest,
    beliefs: Arc<Beliefs>,
    steering: Steering,
    metrics: Metrics,
    log: Logger,
    again: bool,
    /// A target's own failure, which the caller gets when there is no other target.
    failure: Option<Whole>,
}

/// A target's answer whose body has not been read.
#[derive(Debug)]
struct Open {
    ticket: Ticket,
    line: TargetConnection,
    status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
    sent: Time,
}

/// A whole answer of a target.
#[derive(Debug)]
struct Whole {
    choice: Choice,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// What sending the request to one target led to.
enum Sent {
    Answer(Open),
    /// The target's own failure.
    Failure(Whole),
}

impl Carrier {
    /// Starts without a target.
    pub fn new(
        job: Job,
        passage: DirectRequest,
        beliefs: Arc<Beliefs>,
        steering: Steering,
        metrics: Metrics,
        log: Logger,
    ) -> Self {
        Self {
            job,
            passage,
            beliefs,
            steering,
            metrics,
            log,
            again: false,
            failure: None,
        }
    }

    /// Carries the request until there is an answer to begin with.
    ///
    /// # Errors
    ///
    /// Fails with what the caller is told.
    pub async fn run(mut self) -> Result<Given, SelectionRefusal> {
        loop {
            let open = match self.open(None).await? {
                Sent::Failure(whole) => return Ok(self.give(whole)),
                Sent::Answer(open) => open,
            };
            if matches!(self.job.route.response, ResponseKind::EventStream { .. }) {
                return Ok(self.relay(open));
            }
            if let Some(given) = self.collect(open).await? {
                return Ok(given);
            }
        }
    }

    fn give(&self, whole: Whole) -> Given {
        Given {
            id: self.job.id.clone(),
            choice: whole.choice,
            status: whole.status,
            headers: whole.headers,
            body: web::full_body(whole.body),
        }
    }

    /// Sends the request to targets until one answers.
    async fn open(&mut self, last_event: Option<&str>) -> Result<Sent, SelectionRefusal> {
        loop {
            if BootClock.now() >= self.passage.deadline() {
                return Err(self.refusal(Code::DeadlinePassed, RETRY_AFTER));
            }
            let asked = BootClock.now();
            let (ticket, line) = match self.steering.choose(self.order()).await {
                Ok(granted) => {
                    let context = match granted.0.choice.context_source {
                        Some(_) => "fetch",
                        None if self.job.contexts.is_empty() => "none",
                        None => "held",
                    };
                    let waited = BootClock.now().since(asked);
                    self.metrics.entry.chosen(context, waited);
                    granted
                }
                Err(SelectionRefusal { code, after }) => return self.no_other(code, after),
            };
            let target = ticket.choice.target.name.clone();
            let sent = match self.line(&ticket, line).await {
                Ok(line) => {
                    // The key may have been taken away while a connection was made or another
                    // target worked.
                    if let Err(code) = self.permit() {
                        return self.no_other(code, RETRY_AFTER);
                    }
                    self.send(ticket, line, last_event).await
                }
                Err(failure) => {
                    ticket.finish(End::Failed(failure), None);
                    Err((failure, None))
                }
            };
            match sent {
                Ok(sent) => return Ok(Sent::Answer(sent)),
                Err((failure, own)) => {
                    let code = match self.failed(&target, failure) {
                        NextStep::Again { is_retry } => {
                            self.again = is_retry;
                            self.failure = own.or(self.failure.take());
                            continue;
                        }
                        NextStep::PassOn => failure.code(),
                        NextStep::GiveUp(code) => code,
                    };
                    // The target's own answer says more than a code of the router.
                    let own = own.map(Sent::Failure);
                    return own.ok_or_else(|| self.refusal(code, RETRY_AFTER));
                }
            }
        }
    }

    fn order(&self) -> Order {
        Order {
            service: self.job.service.clone(),
            contexts: self.job.contexts.clone(),
            tried: self.passage.tried().to_vec(),
            again: self.again,
            repeat: self.passage.idempotency(),
            content: self.job.content,
            team: self.job.team.clone(),
            route: self.job.route.name.clone(),
        }
    }

    fn failed(&mut self, target: &TargetName, failure: Failure) -> NextStep {
        let now = BootClock.now();
        let next = self.passage.on_failure(target, failure, now);
        self.metrics.entry.target_failure(failure.name());
        info!(self.log, "target failed"; "event" => "attempt", "request" => &self.job.id,
            "target" => %target, "failure" => failure.name(), "next" => ?next,
            "tried" => self.passage.tried().len(), "version" => self.job.version,
            "after_ms" => clock::millis(now.since(self.job.arrived)));
        next
    }

    fn refusal(&self, code: Code, after: Duration) -> SelectionRefusal {
        let code = self.passage.final_code(code);
        SelectionRefusal { code, after }
    }

    /// The end where no other target gets the request: a target's own failure says more than a
    /// code of the router.
    fn no_other(&mut self, code: Code, after: Duration) -> Result<Sent, SelectionRefusal> {
        let own = self.failure.take().map(Sent::Failure);
        own.ok_or_else(|| self.refusal(code, after))
    }

    /// Whether the request may still be handed to a target.
    fn permit(&self) -> Result<(), Code> {
        let Some(key) = &self.job.key else {
            return Ok(());
        };
        let desired = self.beliefs.desired.borrow();
        let desired = desired.as_ref().ok_or(Code::StaleState)?;
        let lease = self.beliefs.lease.borrow();
        lease.authorize(desired, key, BootClock.now())
    }

    /// The connection that came with the choice, or else a new one.
    async fn line(
        &self,
        ticket: &Ticket,
        line: Option<TargetConnection>,
    ) -> Result<TargetConnection, Failure> {
        match line {
            Some(line) => Ok(line),
            None => TargetConnection::connect(ticket.choice.target.address, BootClock.now())
                .await
                .map_err(|_unreachable| Failure::NotSent),
        }
    }

    /// Sends the request to one target and waits for the head of its answer.
    async fn send(
        &mut self,
        ticket: Ticket,
        mut line: TargetConnection,
        last_event: Option<&str>,
    ) -> Result<Open, (Failure, Option<Whole>)> {
        let fail = |ticket: Ticket, failure| {
            ticket.finish(End::Failed(failure), None);
            (failure, None)
        };
        let now = BootClock.now();
        let left = self.passage.deadline().since(now);
        let limit = self.limit(left);
        let req = self.request(&ticket, left, last_event);
        let res = match timeout(limit, line.send(req)).await {
            Ok(Ok(res)) => res,
            Ok(Err(failure)) => return Err(fail(ticket, failure)),
            Err(_late) => return Err(fail(ticket, Failure::TimedOut)),
        };
        let (head, body) = res.into_parts();
        let decoded = answer::decode(head.status, &head.headers, &self.job.id);
        if let Some(load) = decoded.load {
            ticket.named(load);
        }
        let open = Open {
            ticket,
            line,
            status: head.status,
            headers: head.headers,
            body,
            sent: now,
        };
        let failure = match decoded.kind() {
            AnswerKind::Answer => return Ok(open),
            AnswerKind::Failed => Failure::Failed,
            AnswerKind::Declined => Failure::Declined,
            AnswerKind::WrongTarget => Failure::WrongTarget,
            AnswerKind::Unrelated => return Err(fail(open.ticket, Failure::Broken)),
        };
        // Only a sealed failure is the target's own answer to this caller.
        let own = decoded.sealed && failure == Failure::Failed;
        Err((failure, self.failure_body(open, failure, own).await))
    }

    /// Reads a failure's body, so that the connection can be used again.
    async fn failure_body(&self, open: Open, failure: Failure, own: bool) -> Option<Whole> {
        let left = self.passage.deadline().since(BootClock.now()) + ANSWER_GRACE;
        let choice = open.ticket.choice.clone();
        let body = timeout(left, open.body.collect()).await;
        let Ok(Ok(body)) = body else {
            open.ticket.finish(End::Failed(failure), None);
            return None;
        };
        let line = rested(open.line, &open.headers);
        open.ticket.finish(End::Failed(failure), Some(line));
        own.then(|| Whole {
            choice,
            status: open.status,
            headers: open.headers,
            body: body.to_bytes(),
        })
    }

    fn request(
        &self,
        ticket: &Ticket,
        left: Duration,
        last_event: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let out = TargetHeaders {
            target: &ticket.choice.target.name,
            time_left: left,
            team: self.job.team.as_ref(),
            priority: self.job.route.cache_affinity.then_some(self.job.priority),
            last_event,
            cache_source: ticket.choice.context_source,
        };
        let mut req = Request::new(Full::new(self.job.body.clone()));
        *req.method_mut() = self.job.method.clone();
        *req.uri_mut() = self.job.uri.clone();
        *req.headers_mut() = request::encode(&self.job.headers, &out);
        req
    }

    /// How long the head of an answer is waited for.
    fn limit(&self, left: Duration) -> Duration {
        if !self.passage.has_attempts_left() {
            return left + ANSWER_GRACE;
        }
        let wait = match self.job.route.response {
            ResponseKind::Single => self.job.route.latency_objective * RETRY_PERCENT / 100,
            ResponseKind::EventStream { .. } => EVENT_GAP,
        };
        wait.min(left + ANSWER_GRACE)
    }

    /// Reads a whole answer; `None` when it broke and the request goes to another target.
    async fn collect(&mut self, mut open: Open) -> Result<Option<Given>, SelectionRefusal> {
        let left = self.passage.deadline().since(BootClock.now());
        let target = open.ticket.choice.target.name.clone();
        let failure = match timeout(self.limit(left), open.body.collect()).await {
            Ok(Ok(body)) => {
                let line = rested(open.line, &open.headers);
                let choice = open.ticket.choice.clone();
                let took = BootClock.now().since(open.sent);
                open.ticket.timed(Timing::Whole(took));
                open.ticket.finish(End::Served, Some(line));
                return Ok(Some(self.give(Whole {
                    choice,
                    status: open.status,
                    headers: open.headers,
                    body: body.to_bytes(),
                })));
            }
            Ok(Err(_broken)) => Failure::Broken,
            Err(_late) => Failure::TimedOut,
        };
        open.ticket.finish(End::Failed(failure), None);
        match self.failed(&target, failure) {
            NextStep::Again { is_retry } => {
                self.again = is_retry;
                Ok(None)
            }
            NextStep::GiveUp(code) => Err(self.refusal(code, RETRY_AFTER)),
            NextStep::PassOn => Err(self.refusal(failure.code(), RETRY_AFTER)),
        }
    }

    /// Passes a stream on as it arrives.
    fn relay(mut self, open: Open) -> Given {
        self.passage.record_answer_begun();
        let id = self.job.id.clone();
        let choice = open.ticket.choice.clone();
        let (status, headers) = (open.status, open.headers.clone());
        let relay = Relay {
            carrier: self,
            open: Some(open),
            events: EventSplitter::default(),
            arrivals: Arrivals::default(),
        };
        let body = futures_util::stream::unfold(relay, Relay::next);
        Given {
            id,
            choice,
            status,
            headers,
            body: Body::new(StreamBody::new(body)),
        }
    }
}

/// A stream on its way to the caller.
struct Relay {
    carrier: Carrier,
    open: Option<Open>,
    events: EventSplitter,
    arrivals: Arrivals,
}

type Part = io::Result<Frame<Bytes>>;

impl Relay {
    async fn next(mut self) -> Option<(Part, Self)> {
        loop {
            let open = self.open.as_mut()?;
            let resumable = self.carrier.passage.has_attempts_left();
            let left = self.carrier.passage.deadline().since(BootClock.now()) + ANSWER_GRACE;
            let limit = if resumable { left.min(EVENT_GAP) } else { left };
            let failure = match timeout(limit, open.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if let Some(gap) = self.arrivals.record(BootClock.now()) {
                        self.carrier.metrics.entry.gap(gap);
                    }
                    match self.events.push(&data) {
                        Some(whole) => return Some((Ok(Frame::data(whole)), self)),
                        None => continue,
                    }
                }
                Ok(None) => {
                    let mut open = self.open.take()?;
                    let line = rested(open.line, &open.headers);
                    if let Some(between) = self.arrivals.mean_gap() {
                        open.ticket.timed(Timing::Events(between));
                    }
                    open.ticket.finish(End::Served, Some(line));
                    let rest = self.events.take_partial();
                    if rest.is_empty() {
                        return None;
                    }
                    return Some((Ok(Frame::data(rest)), self));
                }
                Ok(Some(Err(_broken))) => Failure::Broken,
                Err(_late) => Failure::TimedOut,
            };
            let open = self.open.take()?;
            let target = open.ticket.choice.target.name.clone();
            open.ticket.finish(End::Failed(failure), None);
            // Ends the work at the target before another one goes on.
            drop(open.line);
            self.events.drop_partial();
            if !self.resume(&target, failure).await {
                let cut = io::Error::other("the answer was cut");
                return Some((Err(cut), self));
            }
        }
    }

    /// Goes on at another target; false when there is none.
    async fn resume(&mut self, target: &TargetName, failure: Failure) -> bool {
        let NextStep::Again { is_retry } = self.carrier.failed(target, failure) else {
            return false;
        };
        self.carrier.again = is_retry;
        self.arrivals = Arrivals::default();
        let last = self.events.last_id().map(str::to_owned);
        match self.carrier.open(last.as_deref()).await {
            Ok(Sent::Answer(open)) => {
                self.open = Some(open);
                true
            }
            Ok(Sent::Failure(_)) | Err(_) => false,
        }
    }
}

fn rested(mut line: TargetConnection, headers: &HeaderMap) -> TargetConnection {
    line.mark_idle(answer::keep_alive_timeout(headers), BootClock.now());
    line
}
