//! Carries one request to a target and its answer back.

use std::{io, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{
    answer::Assembly,
    code::{Code, Ran},
    doc::{Priority, Repeat},
    id::{AttemptId, ChatId, RequestId},
    name::TeamName,
};
use ebonyfall_wire::frame::{Call, Head, Submit, ToAgent, ToRouter};
use slog::{Logger, debug};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout_at},
};

use crate::{
    link::{Identity, Link},
    links::Links,
    metrics::Metrics,
    picker::{Choice, Picker},
    view::Pool,
};

/// Parts of an answer that wait for a slow caller before the agent is slowed.
const PARTS_IN_FLIGHT: usize = 8;
/// Attempts for one request.
const MAX_ATTEMPTS: u32 = 4;

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
    /// How urgent it is.
    pub priority: Priority,
    /// Whether it may run again.
    pub repeat: Repeat,
    /// Time until its deadline.
    pub left: Duration,
    /// What to send to the back end.
    pub call: Call,
}

/// An answer whose body is still arriving; an error in the body means that it was cut.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: Head,
    /// The body's parts.
    pub body: mpsc::Receiver<io::Result<Bytes>>,
}

/// What a request needs on its way.
#[derive(Debug, Clone)]
pub struct Relay {
    /// This process.
    pub identity: Identity,
    /// Chooses targets.
    pub picker: Picker,
    /// Lends connections.
    pub links: Links,
    /// Counts results.
    pub metrics: Metrics,
    /// Where to log.
    pub log: Logger,
}

/// An attempt that has its first frame.
struct Started {
    link: Link,
    choice: Choice,
    answer: Assembly,
    head: Head,
}

impl Relay {
    /// Runs a request and returns when its answer starts.
    ///
    /// # Errors
    ///
    /// Fails with the code that the caller gets.
    pub async fn run(&self, job: Job) -> Result<Answer, Code> {
        let deadline = Instant::now() + job.left;
        let mut tried = Vec::new();
        let mut last = Code::NoTarget;
        for number in 0..MAX_ATTEMPTS {
            let choice = match self
                .picker
                .choose(job.pool.clone(), job.chat, tried.clone())
                .await
            {
                Ok(choice) => choice,
                Err(_) if !tried.is_empty() => return Err(last),
                Err(code) => return Err(code),
            };
            if number > 0 {
                self.metrics.retries.inc();
            }
            tried.push(choice.target.clone());
            let attempt = AttemptId {
                request: job.request,
                number,
            };
            match self.attempt(&job, attempt, choice, deadline).await {
                Ok(started) => return Ok(self.stream(started, deadline)),
                Err(code) => {
                    debug!(self.log, "attempt failed"; "attempt" => %attempt, "code" => code.name());
                    last = code;
                }
            }
            let may_repeat = last.ran() == Ran::NotRun || job.repeat == Repeat::Idempotent;
            if !may_repeat || last == Code::DeadlinePassed {
                break;
            }
        }
        Err(last)
    }

    async fn attempt(
        &self,
        job: &Job,
        attempt: AttemptId,
        choice: Choice,
        deadline: Instant,
    ) -> Result<Started, Code> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Code::DeadlinePassed);
        }
        let submit = ToAgent::Submit(Box::new(Submit {
            attempt,
            target: choice.target.clone(),
            version: choice.version.clone(),
            team: job.team.clone(),
            chat: job.chat,
            priority: job.priority,
            repeat: job.repeat,
            left,
            call: job.call.clone(),
        }));
        let mut link = self.link(job, &choice).await?;
        if link.send(&submit).await.is_err() {
            return Err(Code::LinkLost);
        }
        let first = timeout_at(deadline, link.receive()).await;
        let Ok(first) = first else {
            return Err(Code::EngineTimeout);
        };
        match first {
            Ok(ToRouter::Head {
                attempt: found,
                head,
            }) if found == attempt => Ok(Started {
                link,
                choice,
                answer: Assembly::new(attempt),
                head,
            }),
            Ok(ToRouter::Refused {
                attempt: found,
                code,
                load,
            }) if found == attempt => {
                self.picker.heard(choice.target.clone(), load).await;
                self.links.put(choice.agent, link).await;
                Err(code)
            }
            Ok(_) => {
                self.metrics.mismatches.inc();
                Err(Code::AnswerMismatch)
            }
            Err(_) => Err(Code::LinkLost),
        }
    }

    /// A connection to the chosen agent. A request that runs at most once gets a fresh one, since
    /// an idle one that just closed would leave its fate unknown.
    async fn link(&self, job: &Job, choice: &Choice) -> Result<Link, Code> {
        if job.repeat == Repeat::Idempotent
            && let Some(link) = self.links.take(choice.agent).await
        {
            return Ok(link);
        }
        let link = Link::dial(&self.identity, choice.agent).await;
        link.map_err(|error| {
            debug!(self.log, "cannot connect"; "target" => %choice.target, "error" => %error);
            self.picker.link_failed(&choice.target);
            Code::EngineUnreachable
        })
    }

    /// Passes the body on in a task of its own, which owns the connection.
    fn stream(&self, started: Started, deadline: Instant) -> Answer {
        let (tx, body) = mpsc::channel(PARTS_IN_FLIGHT);
        let head = started.head.clone();
        let relay = self.clone();
        tokio::spawn(async move {
            let outcome = match timeout_at(deadline, relay.pump(started, &tx)).await {
                Ok(outcome) => outcome,
                Err(_) => Err(Code::StreamCut),
            };
            let Err(code) = outcome else {
                return relay.metrics.result("Ok");
            };
            relay.metrics.result(code.name());
            let _caller_gone = tx.send(Err(io::Error::other(code.name()))).await;
        });
        Answer { head, body }
    }

    async fn pump(
        &self,
        started: Started,
        tx: &mpsc::Sender<io::Result<Bytes>>,
    ) -> Result<(), Code> {
        let Started {
            mut link,
            choice,
            mut answer,
            ..
        } = started;
        loop {
            let message = tokio::select! {
                message = link.receive() => message.map_err(|_lost| Code::StreamCut)?,
                // Dropping the connection tells the agent to cancel the back end's work.
                () = tx.closed() => return Err(Code::StreamCut),
            };
            match message {
                ToRouter::Part {
                    attempt,
                    offset,
                    mut data,
                } => {
                    let len = data.len() as u64;
                    let skip = answer
                        .part(attempt, offset, len)
                        .map_err(|error| self.mismatch(&error))?;
                    let skip = usize::try_from(skip).unwrap_or(data.len());
                    let fresh = data.split_off(skip);
                    if !fresh.is_empty() {
                        tx.send(Ok(fresh)).await.map_err(|_gone| Code::StreamCut)?;
                    }
                }
                ToRouter::Done {
                    attempt,
                    length,
                    load,
                } => {
                    answer
                        .done(attempt, length)
                        .map_err(|error| self.mismatch(&error))?;
                    self.picker.heard(choice.target, load).await;
                    self.links.put(choice.agent, link).await;
                    return Ok(());
                }
                ToRouter::Refused { load, .. } => {
                    self.picker.heard(choice.target, load).await;
                    return Err(Code::StreamCut);
                }
                ToRouter::Head { .. } => return Err(Code::AnswerMismatch),
            }
        }
    }

    fn mismatch(&self, error: &ebonyfall_core::answer::AnswerError) -> Code {
        debug!(self.log, "answer dropped"; "error" => %error);
        self.metrics.mismatches.inc();
        Code::AnswerMismatch
    }
}
