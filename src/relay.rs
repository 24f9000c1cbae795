//! Carries one request to a target and its answer back.

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
    sync::{mpsc, oneshot},
    time::{self, Instant},
};

use crate::{
    claims::Claims,
    clock::Clock,
    held::Keyed,
    link::{Identity, Link},
    links::Links,
    metrics::Metrics,
    picker::{Choice, Picker},
    progress::Progress,
    retrier::{self, Advice, Retrier},
    rollouts::{FinishedRequest, Rollouts},
    view::{Pool, Views},
};

/// Lowest HTTP status by which an engine says that it failed.
const SERVER_ERROR: u16 = 500;
/// Parts of an answer that wait for a slow caller before the agent is slowed.
const PARTS_IN_FLIGHT: usize = 8;
/// Tries to replace a broken connection, and the pause between them.
const DIALS: u32 = 3;
const DIAL_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for an agent to close a connection on which its work was cancelled.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(400);

/// A request as the callers' front end understood it.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request's id.
    pub request: RequestId,
    /// The team that asks.
    pub team: TeamName,
    /// The targets that can serve it.
    pub pool: Pool,
    /// The chat that it belongs to.
    pub chat: ChatId,
    /// Whether it is the first request of its chat.
    pub first: bool,
    /// Whether its answer is streamed.
    pub streamed: bool,
    /// How urgent it is.
    pub priority: Priority,
    /// Whether it may run again.
    pub repeat: Idempotency,
    /// Time until its deadline.
    pub left: Duration,
    /// What to send to the back end.
    pub call: Call,
    /// The idempotency key of a request that runs at most once.
    pub key: Option<Keyed>,
}

/// An answer whose body is still arriving; an error in the body means that it was cut.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: Head,
    /// The body's parts.
    pub body: mpsc::Receiver<io::Result<Bytes>>,
}

/// Why a request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// The code that the caller gets.
    pub code: Code,
    /// When the target expects to have room.
    pub retry_after: Duration,
}

/// What a request needs on its way.
#[derive(Debug, Clone)]
pub struct Relay {
    /// This process.
    pub identity: Identity,
    /// Claims requests that run at most once.
    pub claims: Claims,
    /// The document in force.
    pub views: Views,
    /// Chooses targets.
    pub picker: Picker,
    /// Lends connections.
    pub links: Links,
    /// Says what to avoid and whether to retry.
    pub retrier: Retrier,
    /// Follows version moves.
    pub rollouts: Rollouts,
    /// Counts results.
    pub metrics: Metrics,
    /// Keeps the time.
    pub clock: Clock,
    /// Where to log.
    pub log: Logger,
}

impl Relay {
    /// Runs a request and returns when its answer starts.
    ///
    /// # Errors
    ///
    /// Fails with the code that the caller gets.
    pub async fn run(&self, job: Job) -> Result<Answer, Failure> {
        if let Some(key) = job.key.clone() {
            return self.run_once(job, key).await;
        }
        let (tx, answer) = oneshot::channel();
        let exchange = Exchange {
            fingerprint: chat::fingerprint(&job.team, &job.call.body),
            relay: self.clone(),
            deadline: Instant::now() + job.left,
            job,
            link: None,
            choice: None,
            head: None,
            data: Bytes::new(),
            load: Load::default(),
            crash: None,
            retry_after: Duration::ZERO,
            progress: Progress::new(Instant::now()),
        };
        // A task of its own outlives the caller for long enough to cancel the back end's work.
        let open = self.metrics.open.clone();
        tokio::spawn(async move {
            open.inc();
            exchange.drive(Output::Waiting(tx)).await;
            open.dec();
        });
        answer.await.unwrap_or(Err(Failure {
            code: Code::Internal,
            retry_after: Duration::ZERO,
        }))
    }

    /// Tells the agents that other routers ask for a model's chat that another target holds its
    /// context now. The answer does not wait for it, and a lost notice costs one cache miss.
    fn note_moved(&self, job: &Job, target: TargetName) {
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
            for agent in relay.picker.served(pool, chat, target).await {
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

/// Where the answer goes.
enum Output {
    /// Nothing was given yet.
    Waiting(oneshot::Sender<Result<Answer, Failure>>),
    /// The answer has started.
    Streaming(mpsc::Sender<io::Result<Bytes>>),
    /// The caller went away.
    Gone,
}

impl Output {
    async fn closed(&mut self) {
        match self {
            Self::Waiting(tx) => tx.closed().await,
            Self::Streaming(tx) => tx.closed().await,
            Self::Gone => {}
        }
    }

    /// Starts the answer if need be and gives `data`; false when the caller went away.
    async fn give(&mut self, head: Option<&Head>, data: Bytes) -> bool {
        if let Self::Waiting(_) = self
            && let Some(head) = head
            && let Self::Waiting(waiting) = std::mem::replace(self, Self::Gone)
        {
            let (tx, body) = mpsc::channel(PARTS_IN_FLIGHT);
            let head = head.clone();
            if waiting.send(Ok(Answer { head, body })).is_err() {
                return false;
            }
            *self = Self::Streaming(tx);
        }
        match self {
            Self::Streaming(tx) if data.is_empty() => !tx.is_closed(),
            Self::Streaming(tx) => tx.send(Ok(data)).await.is_ok(),
            Self::Waiting(_) | Self::Gone => false,
        }
    }
}

/// One request on its way, with the connection that it uses.
struct Exchange {
    relay: Relay,
    job: Job,
    fingerprint: Fingerprint,
    deadline: Instant,
    link: Option<Link>,
    choice: Option<Choice>,
    head: Option<Head>,
    data: Bytes,
    load: Load,
    crash: Option<Crash>,
    retry_after: Duration,
    progress: Progress,
}

impl Exchange {
    async fn drive(mut self, mut output: Output) {
        let now = self.relay.clock.now();
        let deadline = now + self.job.left;
        let (mut flow, mut action) =
            RelayedRequest::start(self.job.request, self.job.repeat, deadline);
        loop {
            let event = match action {
                Action::Finish => return self.finish(output).await,
                Action::Cancel(attempt) => return self.cancel(attempt).await,
                Action::Fail(code) => return self.fail(code, output).await,
                Action::Deliver { skip } => {
                    let skip = usize::try_from(skip).unwrap_or(usize::MAX);
                    let data = self.data.split_off(skip.min(self.data.len()));
                    let given = output.give(self.head.as_ref(), data);
                    match time::timeout_at(self.deadline, given).await {
                        Ok(true) => {
                            // Nothing is submitted again after the first part.
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
                    tokio::select! {
                        event = self.perform(action, &flow) => event,
                        () = output.closed() => Event::CallerGone,
                        () = time::sleep_until(deadline) => Event::Expired,
                    }
                }
            };
            if let Event::Refused { code, .. } = event {
                debug!(self.relay.log, "attempt failed"; "request" => %self.job.request, "code" => code.name());
                self.failed(code).await;
            }
            action = flow.on_event(event, rand::random(), self.relay.clock.now());
        }
    }

    async fn perform(&mut self, action: Action, flow: &RelayedRequest) -> Event {
        match action {
            Action::Choose => self.choose(flow).await,
            Action::Submit(attempt) => self.submit(attempt).await,
            Action::Pause { after, free } => {
                if !free && !self.relay.retrier.take().await {
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
            // The other actions end the exchange or need the output.
            _ => self.receive().await,
        }
    }

    async fn choose(&mut self, flow: &RelayedRequest) -> Event {
        let first = flow.tried().is_empty();
        let zones = flow.zones_last().to_vec();
        let (pool, chat) = (self.job.pool.clone(), self.job.chat);
        let advice = self
            .relay
            .retrier
            .advise(first, self.fingerprint, pool.clone(), zones)
            .await;
        let Advice { avoid, suspect } = match advice {
            Ok(advice) => advice,
            Err(code) => return Event::NoTarget(code),
        };
        let tried = flow.tried().to_vec();
        let all: Vec<_> = tried.iter().cloned().chain(avoid).collect();
        let picker = &self.relay.picker;
        let mut choice = picker
            .choose(pool.clone(), chat, self.job.first, all.clone())
            .await;
        if choice.is_err() && all.len() > tried.len() {
            choice = picker.choose(pool, chat, self.job.first, tried).await;
        }
        let choice = match choice {
            Ok(choice) => choice,
            Err(code) => return Event::NoTarget(code),
        };
        let Some(zone) = self.zone(&choice) else {
            return Event::NoTarget(Code::NoTarget);
        };
        let target = choice.target.clone();
        self.head = None;
        self.choice = Some(choice);
        self.link = None;
        self.crash = suspect;
        self.progress = Progress::new(Instant::now());
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
            self.failed(Code::EngineUnreachable).await;
            return Event::Unreachable;
        };
        let submit = ToAgent::Submit(Box::new(Submit {
            attempt,
            target: choice.target,
            version: choice.version,
            team: self.job.team.clone(),
            chat: self.job.chat,
            apply_load_bound: choice.bounded,
            follow_pointers: choice.follow,
            next_target: choice.second,
            priority: self.job.priority,
            repeat: self.job.repeat,
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            suspect: self.crash.clone(),
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

    /// A connection to the chosen agent. A request that runs at most once gets a fresh one, since
    /// an idle one that just closed would leave its fate unknown.
    async fn connect(&self, choice: &Choice) -> Option<Link> {
        if self.job.repeat == Idempotency::Idempotent
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
                self.relay.picker.link_failed(&choice.target);
                debug!(self.relay.log, "cannot connect"; "target" => %choice.target, "error" => %error);
                None
            }
        }
    }

    async fn resume(&mut self, attempt: AttemptId, offset: u64) -> Event {
        self.link = None;
        let Some(choice) = self.choice.clone() else {
            return Event::ResumeFailed;
        };
        for _ in 0..DIALS {
            if let Some(mut link) = self.dial(&choice).await
                && link
                    .send(&ToAgent::Resume { attempt, offset })
                    .await
                    .is_ok()
            {
                self.link = Some(link);
                return self.receive().await;
            }
            time::sleep(DIAL_PAUSE).await;
        }
        self.failed(Code::LinkLost).await;
        Event::ResumeFailed
    }

    async fn receive(&mut self) -> Event {
        let Some(link) = &mut self.link else {
            return Event::ConnectionLost;
        };
        match link.receive().await {
            // Agents answer a void only on the connection that asked for it.
            Err(_) | Ok(ToRouter::Void { .. }) => Event::ConnectionLost,
            Ok(ToRouter::Head { attempt, head }) => {
                // The notice leaves with the first part, since a caller may return at once after the
                // last one.
                if self.head.is_none()
                    && let Some(choice) = &self.choice
                {
                    self.relay.note_moved(&self.job, choice.target.clone());
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
                self.progress.part(Instant::now());
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
                    self.relay.picker.hint(pool, chat, target).await;
                }
                self.retry_after = Duration::from_millis(retry_after_ms.into());
                Event::Refused { attempt, code }
            }
        }
    }

    /// Reports a failed attempt, and gives its connection back if the target itself refused.
    async fn failed(&mut self, code: Code) {
        let Some(choice) = &self.choice else {
            return;
        };
        let failure = retrier::Failure {
            target: choice.target.clone(),
            code,
            team: self.job.team.clone(),
            fingerprint: self.fingerprint,
        };
        self.relay.retrier.failed(failure).await;
        if matches!(
            code,
            Code::EngineFailed | Code::EngineCrashed | Code::EngineTimeout | Code::StreamCut
        ) {
            self.observe(true, code != Code::EngineTimeout);
        }
        if let Some(link) = self.link.take() {
            let target = choice.target.clone();
            self.relay.picker.heard(target, self.load).await;
            self.relay.links.put(choice.agent, link).await;
        }
    }

    /// Reports the attempt to the task that judges versions.
    fn observe(&self, failed: bool, crashed: bool) {
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
            sample: self.progress.sample(failed, Instant::now()),
            crashed,
        });
    }

    async fn finish(mut self, mut output: Output) {
        let error = self
            .head
            .as_ref()
            .is_some_and(|head| head.status >= SERVER_ERROR);
        self.observe(error, false);
        // An empty answer has not started yet.
        output.give(self.head.as_ref(), Bytes::new()).await;
        self.relay.metrics.count_result("Ok");
        if self.crash.is_some() {
            self.relay.retrier.survived(self.fingerprint).await;
        }
        if let (Some(choice), Some(link)) = (self.choice.take(), self.link.take()) {
            self.relay.picker.heard(choice.target, self.load).await;
            self.relay.links.put(choice.agent, link).await;
        }
    }

    async fn cancel(mut self, attempt: AttemptId) {
        self.relay.metrics.count_result("CallerGone");
        if let Some(link) = &mut self.link {
            // Should it not arrive, the agent cancels a little later by itself.
            let cancel = ToAgent::Cancel { attempt };
            let _sent = time::timeout(DIAL_PAUSE, link.send(&cancel)).await;
            // A connection that is closed with parts of the answer unread is reset, and the agent
            // may find it broken before it reads the cancellation.
            let closed = async { while link.receive::<ToRouter>().await.is_ok() {} };
            let _closed = time::timeout(CANCEL_TIMEOUT, closed).await;
        }
    }

    async fn fail(self, code: Code, output: Output) {
        match output {
            Output::Waiting(tx) => {
                let retry_after = self.retry_after;
                let _caller_gone = tx.send(Err(Failure { code, retry_after }));
            }
            Output::Streaming(tx) => {
                self.relay.metrics.count_result(code.name());
                let _caller_gone = tx.send(Err(io::Error::other(code.name()))).await;
            }
            Output::Gone => {}
        }
    }
}
