//! Runs one request of a router: sends it to a target's agent over an authenticated connection,
//! retries failed attempts and streams the answer back to the caller.

use std::{io, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{
    chat,
    code::Code,
    crash::Crash,
    doc::{Idempotency, Priority},
    id::{AttemptId, ChatId, Fingerprint, RequestId},
    name::{TargetName, TeamName, ZoneName},
    request::{Action, Event, RelayedRequest},
    tally::Lane,
};
use ebonyfall_wire::frame::{Call, Head, Load, Submit, ToAgent, ToRouter};
use slog::{Logger, debug};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{self, Instant},
};

use crate::{
    cache::KeyedCall,
    cancel,
    claims::Claims,
    clock::Clock,
    link::{Identity, Link, LinkError},
    metrics::Metrics,
    picker::{Choice, Picker},
    pool::LinkPool,
    progress::AnswerTimes,
    receive::AnswerBuffers,
    resume,
    retrier::{self, Advice, Retrier},
    rollouts::{FinishedRequest, Rollouts},
    sink::AnswerSink,
    stop::StopPhases,
    view::{Pool, Views},
};

/// Lowest HTTP status that counts as a failure of the engine.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// A caller's request after authentication and routing.
#[derive(Debug, Clone)]
pub struct RelayJob {
    /// Unique id of the request, which the caller gets as `x-request-id`.
    pub request: RequestId,
    /// Team that the caller's API key belongs to.
    pub team: TeamName,
    /// Model version or plain service whose targets can serve the request.
    pub pool: Pool,
    /// Chat that the request belongs to; random for calls of plain services.
    pub chat: ChatId,
    /// Whether this is the first request of its chat.
    pub opens_chat: bool,
    /// Whether the caller requested a streamed answer.
    pub streamed: bool,
    /// Priority from the caller's header, or else that of its team.
    pub priority: Priority,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Time left until the deadline when [`Relay::run`] is called.
    pub time_left: Duration,
    /// The HTTP call that the agent makes to the engine or service.
    pub call: Call,
    /// Idempotency key under which the request is claimed and runs at most once; `None` when the
    /// caller sent none or the request may run more than once.
    pub key: Option<KeyedCall>,
}

/// An answer whose body is still arriving. An error in the body means that it is truncated.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status and content type.
    pub head: Head,
    /// Parts of the body, in order; the channel closes at the end of the answer.
    pub body: mpsc::Receiver<io::Result<Bytes>>,
}

/// Why a request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayFailure {
    /// Result code for the caller.
    pub code: Code,
    /// Time after which the target expects free capacity; zero when unknown.
    pub retry_after: Duration,
}

/// Handles that every relayed request uses; cloning shares them.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Name, incarnation and keys of this router.
    pub identity: Identity,
    /// Task that claims requests with an idempotency key in the log.
    pub claims: Claims,
    /// Configuration in force; `None` until the first one is known.
    pub views: Views,
    /// How far a planned stop of the process has come.
    pub phases: StopPhases,
    /// Turns true when the time for a stop is over and the process ends.
    pub ended: watch::Receiver<bool>,
    /// Task that chooses targets.
    pub picker: Picker,
    /// Pool of idle connections to agents.
    pub links: LinkPool,
    /// Memory for answers to requests with an idempotency key, which are received completely.
    pub buffers: AnswerBuffers,
    /// Task that owns the retry budget, the suspect requests and the targets to avoid.
    pub retrier: Retrier,
    /// Task that follows the rollouts of model versions.
    pub rollouts: Rollouts,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Clock of the request's state machine, [`RelayedRequest`].
    pub clock: Clock,
    /// Logger of this process.
    pub log: Logger,
}

impl Relay {
    /// Runs a request and returns when the first part of its answer has arrived, or the complete
    /// answer if the request has an idempotency key.
    ///
    /// # Errors
    ///
    /// Fails with the result code for the caller when no answer starts.
    pub async fn run(&self, job: RelayJob) -> Result<Answer, RelayFailure> {
        if let Some(key) = job.key.clone() {
            return self.run_at_most_once(job, key).await;
        }
        let (tx, answer) = oneshot::channel();
        let task = RelayTask {
            fingerprint: chat::fingerprint(&job.team, &job.call.body),
            relay: self.clone(),
            deadline: Instant::now() + job.time_left,
            job,
            link: None,
            is_disconnected: false,
            choice: None,
            head: None,
            data: Bytes::new(),
            load: Load::default(),
            suspect: None,
            retry_after: Duration::ZERO,
            answer_times: AnswerTimes::new(Instant::now()),
        };
        // The request runs in a task of its own, which outlives the caller's connection and can
        // still cancel the work at the target.
        let open = self.metrics.open.clone();
        tokio::spawn(async move {
            open.inc();
            task.run(AnswerSink::Pending(tx)).await;
            open.dec();
        });
        answer.await.unwrap_or(Err(RelayFailure {
            code: Code::Internal,
            retry_after: Duration::ZERO,
        }))
    }

    /// Connects again to the agent that runs an attempt, and requests its answer from `offset` on.
    pub(crate) async fn reconnect(
        &self,
        choice: &Choice,
        attempt: AttemptId,
        offset: u64,
    ) -> Option<Link> {
        let on_failure = |error: &LinkError| self.record_connection_failure(choice, error);
        resume::reconnect(&self.identity, choice.agent, attempt, offset, on_failure).await
    }

    fn record_connection_failure(&self, choice: &Choice, error: &LinkError) {
        self.picker.record_connection_failure(&choice.target);
        debug!(self.log, "cannot connect to agent";
            "target" => %choice.target, "error" => %error);
    }

    /// Notifies the agents where other routers look for this chat that its context has moved to
    /// `target`. The notices are sent in the background; a lost one costs one cache miss.
    fn notify_moved(&self, job: &RelayJob, target: TargetName) {
        let (pool, chat) = (job.pool.clone(), job.chat);
        if matches!(pool, Pool::Service(_)) {
            return;
        }
        let relay = self.clone();
        tokio::spawn(async move {
            let notice = ToAgent::Moved {
                chat,
                target: target.clone(),
            };
            for agent in relay.picker.record_served(pool, chat, target).await {
                let link = match relay.links.take(agent).await {
                    Some(link) => Ok(link),
                    None => Link::dial(&relay.identity, agent).await,
                };
                let Ok(mut link) = link else { continue };
                if link.send(&notice).await.is_ok() {
                    relay.links.put(agent, link).await;
                }
            }
        });
    }
}

/// A running request and the connection of its current attempt.
struct RelayTask {
    relay: Relay,
    job: RelayJob,
    fingerprint: Fingerprint,
    deadline: Instant,
    link: Option<Link>,
    /// Whether the agent may run the attempt although there is no connection to it.
    is_disconnected: bool,
    choice: Option<Choice>,
    head: Option<Head>,
    data: Bytes,
    load: Load,
    suspect: Option<Crash>,
    retry_after: Duration,
    answer_times: AnswerTimes,
}

impl RelayTask {
    async fn run(mut self, mut sink: AnswerSink) {
        let now = self.relay.clock.now();
        let deadline = now + self.job.time_left;
        let (mut relayed, mut action) =
            RelayedRequest::start(self.job.request, self.job.idempotency, deadline);
        loop {
            let event = match action {
                Action::Finish => return self.finish(sink).await,
                Action::Cancel(attempt) => {
                    self.relay.metrics.count_result("CallerGone");
                    return self.cancel(attempt).await;
                }
                Action::Fail(code) => return self.fail(code, sink).await,
                Action::Abandon { attempt, code } => {
                    self.fail(code, sink).await;
                    return self.cancel(attempt).await;
                }
                Action::Deliver { skip } => {
                    let skip = usize::try_from(skip).unwrap_or(usize::MAX);
                    let data = self.data.split_off(skip.min(self.data.len()));
                    let sending = sink.send(self.head.as_ref(), data);
                    match time::timeout_at(self.deadline, sending).await {
                        Ok(true) => {
                            // After the first part the request is never submitted again, so the
                            // body can be freed.
                            self.job.call.body = Bytes::new();
                            action = Action::Receive;
                            continue;
                        }
                        Ok(false) => Event::CallerGone,
                        Err(_) => Event::Expired,
                    }
                }
                action => {
                    let deadline = self.deadline;
                    let phases = self.relay.phases.clone();
                    let mut ended = self.relay.ended.clone();
                    tokio::select! {
                        event = self.perform(action, &relayed) => event,
                        () = sink.closed() => Event::CallerGone,
                        () = time::sleep_until(deadline) => Event::Expired,
                        () = phases.ending(), if !relayed.has_begun() => Event::Stopping,
                        Ok(_) = ended.wait_for(|ended| *ended) => Event::Stopping,
                    }
                }
            };
            if let Event::Refused { code, .. } = event {
                debug!(self.relay.log, "target refused the attempt or failed";
                    "request" => %self.job.request, "code" => code.name());
                self.report_failure(code).await;
            }
            action = relayed.on_event(event, rand::random(), self.relay.clock.now());
        }
    }

    async fn perform(&mut self, action: Action, relayed: &RelayedRequest) -> Event {
        match action {
            Action::Choose => self.choose(relayed).await,
            Action::Submit(attempt) => self.submit(attempt).await,
            Action::Pause { after, free } => {
                if !free && !self.relay.retrier.try_take_retry().await {
                    return Event::RetryDenied;
                }
                self.relay.metrics.retries.inc();
                time::sleep(after).await;
                Event::PauseEnded
            }
            Action::Resume { attempt, offset } => self.resume(attempt, offset).await,
            Action::Drop => {
                self.relay.metrics.mismatches.inc();
                self.receive().await
            }
            // `run` handles the other actions itself.
            _ => self.receive().await,
        }
    }

    async fn choose(&mut self, relayed: &RelayedRequest) -> Event {
        let first_attempt = relayed.tried().is_empty();
        let zones = relayed.zones_last().to_vec();
        let (pool, chat) = (self.job.pool.clone(), self.job.chat);
        let advice = self
            .relay
            .retrier
            .advise(first_attempt, self.fingerprint, pool.clone(), zones)
            .await;
        let Advice { avoid, suspect } = match advice {
            Ok(advice) => advice,
            Err(code) => return Event::NoTarget(code),
        };
        let tried = relayed.excluded();
        let excluded: Vec<_> = tried.iter().cloned().chain(avoid).collect();
        let picker = &self.relay.picker;
        let mut choice = picker
            .choose(pool.clone(), chat, self.job.opens_chat, excluded.clone())
            .await;
        if choice.is_err() && excluded.len() > tried.len() {
            choice = picker.choose(pool, chat, self.job.opens_chat, tried).await;
        }
        let mut choice = match choice {
            Ok(choice) => choice,
            Err(code) => return Event::NoTarget(code),
        };
        if relayed.ignores_redirects() {
            choice.follow_pointers = false;
            choice.apply_load_bound = false;
        }
        let Some(zone) = self.zone(&choice) else {
            return Event::NoTarget(Code::NoTarget);
        };
        let target = choice.target.clone();
        self.head = None;
        self.choice = Some(choice);
        self.link = None;
        self.suspect = suspect;
        self.answer_times = AnswerTimes::new(Instant::now());
        Event::TargetChosen { target, zone }
    }

    fn zone(&self, choice: &Choice) -> Option<ZoneName> {
        let view = self.relay.views.borrow();
        let target = view.as_ref()?.document.targets.get(&choice.target)?;
        Some(target.zone.clone())
    }

    async fn submit(&mut self, attempt: AttemptId) -> Event {
        let Some(choice) = self.choice.clone() else {
            return Event::Unreachable;
        };
        let Some(mut link) = self.connect(&choice).await else {
            self.report_failure(Code::EngineUnreachable).await;
            return Event::Unreachable;
        };
        let submit = ToAgent::Submit(Box::new(Submit {
            attempt,
            target: choice.target,
            version: choice.version,
            team: self.job.team.clone(),
            chat: self.job.chat,
            apply_load_bound: choice.apply_load_bound,
            follow_pointers: choice.follow_pointers,
            next_target: choice.next_target,
            priority: self.job.priority,
            idempotency: self.job.idempotency,
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            suspect: self.suspect.clone(),
            call: self.job.call.clone(),
            claim: None,
        }));
        let sent = link.send(&submit).await;
        self.link = Some(link);
        if sent.is_err() {
            return Event::ConnectionLost;
        }
        self.receive().await
    }

    /// Returns a connection to the chosen agent. Only idempotent requests reuse an idle connection:
    /// if it has just been closed, it is unknown whether the request ran.
    async fn connect(&self, choice: &Choice) -> Option<Link> {
        if self.job.idempotency == Idempotency::Idempotent
            && let Some(link) = self.relay.links.take(choice.agent).await
        {
            return Some(link);
        }
        self.dial(choice).await
    }

    async fn dial(&self, choice: &Choice) -> Option<Link> {
        match Link::dial(&self.relay.identity, choice.agent).await {
            Ok(link) => Some(link),
            Err(error) => {
                self.relay.record_connection_failure(choice, &error);
                None
            }
        }
    }

    async fn resume(&mut self, attempt: AttemptId, offset: u64) -> Event {
        self.link = None;
        let Some(choice) = self.choice.clone() else {
            return Event::ResumeFailed;
        };
        self.is_disconnected = true;
        if let Some(link) = self.relay.reconnect(&choice, attempt, offset).await {
            self.is_disconnected = false;
            self.link = Some(link);
            return self.receive().await;
        }
        self.is_disconnected = false;
        self.report_failure(Code::LinkLost).await;
        Event::ResumeFailed
    }

    async fn receive(&mut self) -> Event {
        let Some(link) = &mut self.link else {
            return Event::ConnectionLost;
        };
        match link.receive().await {
            // Replies to a void arrive only on the connection that requested it.
            Err(_) | Ok(ToRouter::Void { .. }) => Event::ConnectionLost,
            Ok(ToRouter::Head { attempt, head }) => {
                // Sent at the start of the answer, because the caller may send the chat's next
                // request right after the last part.
                if self.head.is_none()
                    && let Some(choice) = &self.choice
                {
                    self.relay.notify_moved(&self.job, choice.target.clone());
                }
                self.head.get_or_insert(head);
                Event::AnswerStarted(attempt)
            }
            Ok(ToRouter::Part {
                attempt,
                offset,
                data,
            }) => {
                let len = data.len() as u64;
                self.answer_times.record_part(Instant::now());
                self.data = data;
                Event::Part {
                    attempt,
                    offset,
                    len,
                }
            }
            Ok(ToRouter::Done {
                attempt,
                length,
                load,
            }) => {
                self.load = load;
                Event::AnswerEnded { attempt, length }
            }
            Ok(ToRouter::Refused {
                attempt,
                code,
                retry_after_ms,
                load,
                hint,
            }) => {
                self.load = load;
                if let Some(target) = hint {
                    let (pool, chat) = (self.job.pool.clone(), self.job.chat);
                    self.relay.picker.record_hint(pool, chat, target).await;
                }
                self.retry_after = Duration::from_millis(retry_after_ms.into());
                Event::Refused { attempt, code }
            }
        }
    }

    /// Reports a failed attempt. If the connection is still open, since the target itself refused,
    /// records the reported load and returns the connection to the pool.
    async fn report_failure(&mut self, code: Code) {
        let Some(choice) = &self.choice else {
            return;
        };
        let failure = retrier::FailureReport {
            target: choice.target.clone(),
            code,
            team: self.job.team.clone(),
            fingerprint: self.fingerprint,
        };
        self.relay.retrier.record_failure(failure).await;
        if matches!(
            code,
            Code::EngineFailed | Code::EngineCrashed | Code::EngineTimeout | Code::StreamCut
        ) {
            self.report_sample(true, code != Code::EngineTimeout);
        }
        if let Some(link) = self.link.take() {
            let target = choice.target.clone();
            self.relay.picker.record_load(target, self.load).await;
            self.relay.links.put(choice.agent, link).await;
        }
    }

    /// Reports the result and the times of the attempt to the task that compares model versions.
    fn report_sample(&self, failed: bool, crashed: bool) {
        let Some(choice) = &self.choice else { return };
        let Pool::Model(model, version) = &self.job.pool else {
            return;
        };
        let lane = Lane {
            priority: self.job.priority,
            streamed: self.job.streamed,
        };
        self.relay.rollouts.observe(FinishedRequest {
            model: model.clone(),
            version: version.clone(),
            target: choice.target.clone(),
            lane,
            sample: self.answer_times.sample(failed, Instant::now()),
            crashed,
        });
    }

    async fn finish(mut self, mut sink: AnswerSink) {
        let failed = self
            .head
            .as_ref()
            .is_some_and(|head| head.status >= MIN_SERVER_ERROR_STATUS);
        self.report_sample(failed, false);
        // Starts the answer if its body is empty.
        sink.send(self.head.as_ref(), Bytes::new()).await;
        self.relay.metrics.count_result("Ok");
        if self.suspect.is_some() {
            self.relay.retrier.record_survival(self.fingerprint).await;
        }
        if let (Some(choice), Some(link)) = (self.choice.take(), self.link.take()) {
            self.relay
                .picker
                .record_load(choice.target, self.load)
                .await;
            self.relay.links.put(choice.agent, link).await;
        }
    }

    async fn cancel(mut self, attempt: AttemptId) {
        let link = match (self.link.take(), &self.choice) {
            (Some(link), _) => Some(link),
            // The request has ended while no connection could be made; the agent still runs the attempt.
            // The offset does not matter: the agent also ends an attempt that it cannot replay from there.
            (None, Some(choice)) if self.is_disconnected => {
                self.relay.reconnect(choice, attempt, 0).await
            }
            (None, _) => None,
        };
        if let Some(link) = link {
            cancel::cancel(link, attempt).await;
        }
    }

    async fn fail(&self, code: Code, sink: AnswerSink) {
        match sink {
            AnswerSink::Pending(tx) => {
                let retry_after = self.retry_after;
                let _caller_gone = tx.send(Err(RelayFailure { code, retry_after }));
            }
            AnswerSink::Streaming(tx) => {
                self.relay.metrics.count_result(code.name());
                let _caller_gone = tx.send(Err(io::Error::other(code.name()))).await;
            }
            AnswerSink::Closed => {}
        }
    }
}
