//! Runs a request with an idempotency key at most once: claims the key in the log, sends the
//! request at most once and records the result in the log.

use std::{io, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{
    answer::AnswerAssembly,
    claim::ClaimRef,
    code::Code,
    id::AttemptId,
    name::TargetName,
    owner::{Action, Event, KeyedRequest, Owner, Reply},
    request::MAX_RESUMES,
};
use ebonyfall_wire::frame::{Head, Submit, ToAgent, ToRouter};
use slog::{debug, warn};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout, timeout_at},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    cache::{KeyedCall, StoredAnswer},
    link::Link,
    picker::Choice,
    receive::ReceiveFault,
    relay::{Answer, Relay, RelayFailure, RelayJob},
};

/// Largest answer, in bytes. Answers are buffered completely, so that a retried request can get
/// the same answer.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Longest wait for an agent's reply when a claim is voided.
const VOID_TIMEOUT: Duration = Duration::from_secs(2);

/// A running request with an idempotency key.
struct AtMostOnceTask {
    relay: Relay,
    job: RelayJob,
    deadline: Instant,
    tried: Vec<TargetName>,
    last_code: Code,
    link: Option<(Link, Choice)>,
    answer: Option<StoredAnswer>,
}

impl Relay {
    /// Runs a request that has an idempotency key and must not run twice. The request
    /// continues when the caller disconnects, so that a retry finds its result.
    ///
    /// # Errors
    ///
    /// Fails with the result code for the caller.
    pub async fn run_at_most_once(
        &self,
        job: RelayJob,
        key: KeyedCall,
    ) -> Result<Answer, RelayFailure> {
        let owner = Owner::new(KeyedRequest {
            key: key.id,
            key_time: key.time,
            content: key.content,
            router: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            id: job.request,
        });
        let task = AtMostOnceTask {
            relay: self.clone(),
            deadline: Instant::now() + job.time_left,
            job,
            tried: Vec::new(),
            last_code: Code::NoTarget,
            link: None,
            answer: None,
        };
        let request = task.job.request;
        let open = self.metrics.open.clone();
        let running = tokio::spawn(async move {
            open.inc();
            let result = task.run(owner).await;
            open.dec();
            result
        });
        let result = tokio::select! {
            biased;
            result = running => result.unwrap_or(Err(Code::Internal)),
            // The claim tells the next router that gets the key whether the request ran.
            () = self.phases.ending() => {
                warn!(self.log, "keyed request not answered before the end of the process";
                    "request" => %request);
                Err(Code::InProgress)
            }
        };
        let stored_answer = result.map_err(|code| RelayFailure {
            code,
            retry_after: Duration::ZERO,
        })?;
        self.metrics.count_result("Ok");
        let (tx, body) = mpsc::channel(1);
        let _receiver_lives = tx.try_send(Ok::<_, io::Error>(stored_answer.body));
        Ok(Answer {
            head: stored_answer.head,
            body,
        })
    }
}

impl AtMostOnceTask {
    async fn run(mut self, mut owner: Owner) -> Result<StoredAnswer, Code> {
        let mut event = Event::Arrived;
        loop {
            let claims = &self.relay.claims;
            let step = claims.advance(owner, event).await?;
            owner = step.owner;
            if let Some(stored_answer) = step.stored_answer {
                return Ok(stored_answer);
            }
            event = match step.action {
                Action::Connect => self.connect().await,
                Action::Void { target, claim } => self.void(&target, claim).await,
                Action::Send(claim) => self.send(owner.attempt(), claim).await,
                // Appends are handled inside `Claims::advance` and never returned here.
                Action::Append(_) => return Err(Code::Internal),
                Action::Done(outcome) => {
                    return match outcome.result {
                        Reply::Answer => self.answer.take().ok_or(Code::Internal),
                        Reply::Recorded(_, code) | Reply::Code(code) => Err(code),
                    };
                }
            };
        }
    }

    async fn connect(&mut self) -> Event {
        loop {
            if Instant::now() >= self.deadline {
                return Event::NoTarget(Code::DeadlinePassed);
            }
            let (pool, chat) = (self.job.pool.clone(), self.job.chat);
            let choice = self
                .relay
                .picker
                .choose(pool, chat, false, self.tried.clone());
            let choice = match choice.await {
                Ok(choice) => choice,
                Err(code) if self.tried.is_empty() => return Event::NoTarget(code),
                Err(_) => return Event::NoTarget(self.last_code),
            };
            self.tried.push(choice.target.clone());
            match Link::dial(&self.relay.identity, choice.agent).await {
                Ok(link) => {
                    let target = choice.target.clone();
                    let agent = link.peer().incarnation;
                    self.link = Some((link, choice));
                    return Event::Connected { target, agent };
                }
                Err(error) => {
                    debug!(self.relay.log, "cannot connect to agent; trying another target";
                        "target" => %choice.target, "error" => %error);
                    self.last_code = Code::EngineUnreachable;
                }
            }
        }
    }

    async fn void(&self, target: &TargetName, claim: ClaimRef) -> Event {
        let exchange = async {
            let agent = self.relay.claims.agent_address(target)?;
            let mut link = Link::dial(&self.relay.identity, agent).await.ok()?;
            link.send(&ToAgent::Void(claim)).await.ok()?;
            match link.receive().await.ok()? {
                ToRouter::Void {
                    claim: found,
                    answer,
                } if found == claim.id => Some(answer),
                _ => None,
            }
        };
        let answer = timeout(VOID_TIMEOUT, exchange).await.ok().flatten();
        answer.map_or(Event::VoidUnanswered, Event::Void)
    }

    /// Sends the request on the connection that was opened before the claim.
    async fn send(&mut self, attempt: AttemptId, claim: ClaimRef) -> Event {
        let Some((mut link, choice)) = self.link.take() else {
            return Event::LinkLost;
        };
        let submit = ToAgent::Submit(Box::new(Submit {
            attempt,
            target: choice.target.clone(),
            version: choice.version.clone(),
            team: self.job.team.clone(),
            chat: self.job.chat,
            priority: self.job.priority,
            idempotency: self.job.idempotency,
            apply_load_bound: choice.apply_load_bound,
            // Plain services keep no chat context, so there is nothing to redirect to.
            follow_pointers: false,
            next_target: None,
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            suspect: None,
            call: self.job.call.clone(),
            claim: Some(claim),
        }));
        if link.send(&submit).await.is_err() {
            return Event::LinkLost;
        }
        let receiving = timeout_at(self.deadline, self.receive(&mut link, &choice, attempt));
        let Ok(received) = receiving.await else {
            return Event::LinkLost;
        };
        match received {
            Ok(stored_answer) => {
                let status = stored_answer.head.status;
                let digest = xxh3_64(&stored_answer.body);
                self.relay
                    .claims
                    .store_answer(claim.id, stored_answer.clone())
                    .await;
                self.answer = Some(stored_answer);
                Event::Answered { status, digest }
            }
            Err(event) => event,
        }
    }

    /// Receives the answer until it is complete.
    async fn receive(
        &self,
        link: &mut Link,
        choice: &Choice,
        expected: AttemptId,
    ) -> Result<StoredAnswer, Event> {
        let mut assembly = AnswerAssembly::new(expected);
        let mut head = None;
        let mut body = self.relay.buffers.start(MAX_ANSWER_BYTES);
        let mut resumes = 0;
        loop {
            let message = match link.receive().await {
                Ok(message) => message,
                Err(_lost) if resumes < MAX_RESUMES => {
                    resumes += 1;
                    let offset = assembly.received();
                    let found = self.relay.reconnect(choice, expected, offset).await;
                    *link = found.ok_or(Event::LinkLost)?;
                    continue;
                }
                Err(_lost) => return Err(Event::LinkLost),
            };
            match message {
                ToRouter::Head {
                    attempt,
                    head: found,
                } if attempt == expected => head = Some(found),
                ToRouter::Part {
                    attempt,
                    offset,
                    data,
                } => {
                    resumes = 0;
                    let len = data.len() as u64;
                    let skip = assembly.accept_part(attempt, offset, len);
                    let skip = skip.map_err(|_mismatch| self.record_mismatch())?;
                    let skip = usize::try_from(skip).unwrap_or(data.len());
                    body.push(&data[skip..])
                        .map_err(|fault| self.record_fault(fault))?;
                }
                ToRouter::Done {
                    attempt,
                    length,
                    load,
                } => {
                    let done = assembly.check_end(attempt, length);
                    done.map_err(|_mismatch| self.record_mismatch())?;
                    self.relay
                        .picker
                        .record_load(choice.target.clone(), load)
                        .await;
                    return stored_answer(head, body.complete()).ok_or(Event::LinkLost);
                }
                // The agent does not know the attempt that is to be resumed.
                ToRouter::Refused {
                    attempt,
                    code: Code::LinkLost,
                    ..
                } if attempt == expected => return Err(Event::LinkLost),
                ToRouter::Refused {
                    attempt,
                    code,
                    load,
                    ..
                } if attempt == expected => {
                    self.relay
                        .picker
                        .record_load(choice.target.clone(), load)
                        .await;
                    return Err(Event::Refused(code));
                }
                _ => return Err(self.record_mismatch()),
            }
        }
    }

    /// Records an answer that is too long to be kept, or does not fit beside others.
    fn record_fault(&self, fault: ReceiveFault) -> Event {
        warn!(self.relay.log, "the answer to a keyed request is not kept";
            "request" => %self.job.request, "error" => %fault);
        if let Some(limit) = fault.limit() {
            self.relay.metrics.entry.count_limit_exceeded(limit);
        }
        Event::Refused(Code::StreamCut)
    }

    fn record_mismatch(&self) -> Event {
        self.relay.metrics.mismatches.inc();
        Event::LinkLost
    }
}

fn stored_answer(head: Option<Head>, body: Bytes) -> Option<StoredAnswer> {
    Some(StoredAnswer { head: head?, body })
}
