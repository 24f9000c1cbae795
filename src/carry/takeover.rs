//! Waits for a target, and has another one take over its request if it is silent. The target is kept until
//! the other one has accepted the request.

use std::{pin::Pin, time::Duration};

use derive_more::Display;
use ebonyfall_core::{
    direct::Failure,
    name::TargetName,
    outcome::Probe,
    selector::SelectionRefusal,
    takeover::{MIN_ASK_AFTER, Obstacle, Reach, Silence, SilenceLimits, Step},
    target::TargetRecord,
    time::Time,
    wait::ANSWER_GRACE,
};
use slog::info;
use tokio::time::sleep;

use super::{Attempt, Forwarder, attempt::DecodedHead};
use crate::{
    clock::{self, BootClock},
    reply::{OpenAnswer, StreamHead},
    selection::{Reservation, SelectionRequest},
    upstream::TargetConnection,
};

type Pending<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// The target that has a request, and what is done while it is silent.
pub(crate) struct Watch {
    target: TargetRecord,
    silence: Silence,
    /// Check whether the target can be reached.
    check: Option<Pending<Option<Probe>>>,
    second: Option<Second>,
    /// Head that the answer of another target has to continue; `None` before the first one.
    expected: Option<StreamHead>,
    /// Obstacles that were logged.
    logged: Vec<Obstacle>,
}

/// Another target that is to take over.
enum Second {
    /// It is being chosen and connected to.
    Asked(Pending<Result<Ready, Unready>>),
    /// It has the request.
    Sent {
        target: TargetName,
        sent_at: Time,
        answer: Pending<Result<OpenAnswer, Failure>>,
    },
}

/// A place at another target, with a connection to it.
struct Ready {
    reservation: Reservation,
    connection: TargetConnection,
}

/// Why a request was not sent to another target.
enum Unready {
    Obstacle(Obstacle),
    NotSent(TargetName),
}

enum SecondEvent {
    Ready(Ready),
    Unready(Unready),
    Answered(Result<OpenAnswer, Failure>),
}

/// End of a wait for a target.
pub(crate) enum Waited<T> {
    /// The target went on or failed. Another one may still have the request if it failed; once the
    /// connection to the first one is closed, [`Forwarder::await_second`] waits for it.
    Done(Result<T, Failure>),
    /// Another target has accepted the request. The first one has failed in this way.
    TakenOver(Box<OpenAnswer>, Failure),
}

/// How the attempt at another target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "lowercase")]
pub(crate) enum Outcome {
    /// It has taken over.
    Taken,
    /// The first target went on, or the request has ended.
    Withdrawn,
    /// It did not accept in time.
    Late,
    /// It failed, or did not get the request.
    Failed,
}

impl Watch {
    /// Watches a target that gets a request now, or has just accepted it.
    pub(crate) fn new(
        reservation: &Reservation,
        limits: SilenceLimits,
        expected: Option<StreamHead>,
    ) -> Self {
        Self {
            target: reservation.choice.target.clone(),
            silence: Silence::new(limits),
            check: None,
            second: None,
            expected,
            logged: Vec::new(),
        }
    }

    /// Whether another target is asked or has the request.
    pub(crate) fn has_second(&self) -> bool {
        self.second.is_some()
    }

    /// Time spent waiting for the target since it went on last.
    pub(crate) fn silence(&self) -> Duration {
        self.silence.time(BootClock.now())
    }
}

impl Forwarder {
    /// Waits for `work` of the target, `limit` at most. While the target is silent, another one is asked to
    /// resume after `last_event`. Unless the answer has begun, the wait ends with the process.
    pub(crate) async fn wait_or_replace<T>(
        &mut self,
        watch: &mut Watch,
        limit: Duration,
        last_event: Option<&str>,
        work: impl Future<Output = Result<T, Failure>>,
    ) -> Waited<T> {
        let start = BootClock.now();
        if limit.is_zero() {
            return Waited::Done(Err(Failure::TimedOut));
        }
        watch.silence.begin_wait(start);
        let waited = self
            .wait_until(watch, start + limit, last_event, work)
            .await;
        watch.silence.end_wait(BootClock.now());
        waited
    }

    async fn wait_until<T>(
        &mut self,
        watch: &mut Watch,
        end: Time,
        last_event: Option<&str>,
        work: impl Future<Output = Result<T, Failure>>,
    ) -> Waited<T> {
        tokio::pin!(work);
        let phases = self.shared.phases.clone();
        loop {
            let now = BootClock.now();
            let mut pause = end.since(now);
            match watch.silence.step(self.attempts.may_ask(now), now) {
                Step::Wait(time) => pause = pause.min(time),
                Step::Check => {
                    self.start_check(watch);
                    continue;
                }
                Step::Ask => {
                    self.ask(watch);
                    continue;
                }
                Step::EndOverlap { keep_first: true } => {
                    self.end_second(watch, Outcome::Late);
                    continue;
                }
                Step::EndOverlap { keep_first: false } | Step::End => {
                    return Waited::Done(Err(Failure::TimedOut));
                }
            }
            tokio::select! {
                biased;
                done = &mut work => return Waited::Done(done),
                () = phases.ending(), if !self.attempts.has_begun() => {
                    return Waited::Done(Err(Failure::Stopping));
                }
                event = next_event(&mut watch.second) => {
                    if let Some(open) = self.on_second(watch, event, last_event) {
                        return Waited::TakenOver(open, Failure::TimedOut);
                    }
                }
                result = checked(&mut watch.check) => {
                    watch.check = None;
                    watch.silence.record_check(result, BootClock.now());
                }
                () = sleep(pause) => {
                    if BootClock.now() >= end {
                        return Waited::Done(Err(Failure::TimedOut));
                    }
                }
            }
        }
    }

    /// Waits for the second target after the first one has failed and its connection is closed. Returns its
    /// answer if it takes over.
    pub(crate) async fn await_second(
        &mut self,
        watch: &mut Watch,
        last_event: Option<&str>,
    ) -> Option<Box<OpenAnswer>> {
        let phases = self.shared.phases.clone();
        let end = self.attempts.deadline() + ANSWER_GRACE;
        let limit = end.since(BootClock.now()).min(MIN_ASK_AFTER);
        let until = sleep(limit);
        tokio::pin!(until);
        while watch.has_second() {
            tokio::select! {
                biased;
                event = next_event(&mut watch.second) => {
                    if let Some(open) = self.on_second(watch, event, last_event) {
                        return Some(open);
                    }
                }
                () = phases.ending(), if !self.attempts.has_begun() => {
                    self.end_second(watch, Outcome::Withdrawn);
                }
                () = &mut until => self.end_second(watch, Outcome::Late),
            }
        }
        None
    }

    /// Records that the target went on; a second one is given up.
    pub(crate) fn record_progress(&mut self, watch: &mut Watch) {
        self.end_second(watch, Outcome::Withdrawn);
        watch.check = None;
        watch.silence.record_progress(BootClock.now());
    }

    fn start_check(&self, watch: &mut Watch) {
        let (selector, target) = (self.shared.selector.clone(), watch.target.clone());
        watch.check = Some(Box::pin(async move { selector.check(target).await }));
    }

    /// Starts to choose another target and to connect to it.
    fn ask(&self, watch: &mut Watch) {
        let mut request = self.selection_request();
        request.tried.push(watch.target.name.clone());
        request.charge_retry = true;
        // A target that can be reached is left only for one that may begin at once.
        request.needs_slot = !matches!(watch.silence.reach(), Reach::Unreachable { .. });
        let attempt = self.attempt();
        watch.second = Some(Second::Asked(Box::pin(prepare(attempt, request))));
    }

    /// Handles what became of the second target. Returns its answer if it takes over.
    fn on_second(
        &mut self,
        watch: &mut Watch,
        event: SecondEvent,
        last_event: Option<&str>,
    ) -> Option<Box<OpenAnswer>> {
        match event {
            SecondEvent::Ready(ready) => {
                self.count_retry(true);
                self.send_to_second(watch, ready, last_event);
                None
            }
            SecondEvent::Unready(Unready::Obstacle(obstacle)) => {
                if obstacle == Obstacle::Budget {
                    self.count_retry(false);
                }
                self.log_refused(watch, obstacle);
                watch.second = None;
                watch.silence.record_refused(BootClock.now());
                None
            }
            SecondEvent::Unready(Unready::NotSent(target)) => {
                self.count_retry(true);
                self.record_second_failure(watch, &target, Failure::NotSent);
                None
            }
            SecondEvent::Answered(Err(failure)) => {
                if let Some(Second::Sent { target, .. }) = &watch.second {
                    let target = target.clone();
                    self.record_second_failure(watch, &target, failure);
                }
                None
            }
            SecondEvent::Answered(Ok(open)) => self.accept(watch, open),
        }
    }

    /// Takes the answer of the second target if it continues that of the first one.
    fn accept(&mut self, watch: &mut Watch, open: OpenAnswer) -> Option<Box<OpenAnswer>> {
        let expected = watch.expected.as_ref();
        if expected.is_some_and(|head| !open.continues(head)) {
            let target = open.reservation.choice.target.name.clone();
            open.reservation.finish(Failure::Failed.end(), None);
            self.record_second_failure(watch, &target, Failure::Failed);
            return None;
        }
        self.log_second(
            watch,
            &open.reservation.choice.target.name,
            Outcome::Taken,
            None,
        );
        watch.second = None;
        Some(Box::new(open))
    }

    fn send_to_second(&self, watch: &mut Watch, ready: Ready, last_event: Option<&str>) {
        let now = BootClock.now();
        let attempt = self.attempt();
        let req = attempt.request(&ready.reservation, last_event, now);
        watch.second = Some(Second::Sent {
            target: ready.reservation.choice.target.name.clone(),
            sent_at: now,
            answer: Box::pin(async move {
                let Ready {
                    reservation,
                    mut connection,
                } = ready;
                let sent = connection.send(req).await;
                let head = sent.map(|res| DecodedHead::new(res, &attempt.job.attempt_id));
                let failure = match &head {
                    Ok(head) => head.failure(),
                    Err(failure) => Some(*failure),
                };
                match (head, failure) {
                    (Ok(head), None) => Ok(head.open(reservation, connection, now)),
                    (Ok(head), Some(failure)) => {
                        let place = (reservation, connection);
                        attempt.read_failure(head, failure, place, true).await;
                        Err(failure)
                    }
                    (Err(failure), _) => {
                        attempt.count_failure(failure);
                        reservation.finish(failure.end(), None);
                        Err(failure)
                    }
                }
            }),
        });
        watch.silence.record_sent(now);
    }

    /// Ends the request at the second target if there is one.
    pub(crate) fn end_second(&mut self, watch: &mut Watch, outcome: Outcome) {
        if let Some(Second::Sent { target, .. }) = &watch.second {
            let target = target.clone();
            self.log_second(watch, &target, outcome, None);
            self.attempts.record_withdrawn(&target);
        }
        watch.second = None;
        watch.silence.record_refused(BootClock.now());
    }

    fn record_second_failure(&mut self, watch: &mut Watch, target: &TargetName, failure: Failure) {
        self.log_second(watch, target, Outcome::Failed, Some(failure));
        self.shared
            .metrics
            .entry
            .count_target_failure(failure.name());
        self.attempts.record_second_failure(target, failure);
        watch.second = None;
        watch.silence.record_refused(BootClock.now());
    }

    fn log_second(
        &self,
        watch: &Watch,
        second: &TargetName,
        outcome: Outcome,
        failure: Option<Failure>,
    ) {
        let now = BootClock.now();
        let overlap = match &watch.second {
            Some(Second::Sent { sent_at, .. }) => Some(clock::millis(now.since(*sent_at))),
            _ => None,
        };
        self.shared.metrics.entry.count_takeover(outcome);
        info!(self.shared.log, "another target was asked to take over a request"; "event" => "takeover",
            "request" => self.attempt_id(), "outcome" => %outcome, "target" => %watch.target.name,
            "second" => %second, "failure" => failure.map(Failure::name),
            "silent_ms" => clock::millis(watch.silence.time(now)), "overlap_ms" => overlap,
            "reach" => %watch.silence.reach(), "begun" => self.attempts.has_begun());
    }

    /// Logs why no other target is asked, once for each cause.
    fn log_refused(&self, watch: &mut Watch, obstacle: Obstacle) {
        if watch.logged.contains(&obstacle) {
            return;
        }
        watch.logged.push(obstacle);
        let now = BootClock.now();
        info!(self.shared.log, "no other target takes over the request; its target is kept";
            "event" => "not_taken_over", "request" => self.attempt_id(),
            "target" => %watch.target.name, "cause" => %obstacle,
            "silent_ms" => clock::millis(watch.silence.time(now)),
            "reach" => %watch.silence.reach(), "begun" => self.attempts.has_begun());
    }
}

/// Chooses another target and connects to it.
async fn prepare(attempt: Attempt, request: SelectionRequest) -> Result<Ready, Unready> {
    let shared = &attempt.shared;
    let selected = tokio::select! {
        biased;
        selected = shared.selector.choose(request) => selected,
        () = shared.phases.ending() => return Err(Unready::Obstacle(Obstacle::Stopping)),
    };
    let obstacle =
        |refusal: SelectionRefusal| Unready::Obstacle(Obstacle::of_refusal(refusal.code));
    let (reservation, connection) = selected.map_err(obstacle)?;
    let connection = match attempt.connect(&reservation, connection).await {
        Ok(connection) => connection,
        Err(failure) => {
            let target = reservation.choice.target.name.clone();
            reservation.finish(failure.end(), None);
            return Err(Unready::NotSent(target));
        }
    };
    let checked = attempt.check_key();
    checked.map_err(|code| Unready::Obstacle(Obstacle::of_refusal(code)))?;
    Ok(Ready {
        reservation,
        connection,
    })
}

/// Waits for what becomes of the second target; for ever if there is none.
async fn next_event(second: &mut Option<Second>) -> SecondEvent {
    match second {
        None => std::future::pending().await,
        Some(Second::Asked(ready)) => match ready.await {
            Ok(ready) => SecondEvent::Ready(ready),
            Err(unready) => SecondEvent::Unready(unready),
        },
        Some(Second::Sent { answer, .. }) => SecondEvent::Answered(answer.await),
    }
}

/// Waits for the result of a check; for ever if there is none.
async fn checked(check: &mut Option<Pending<Option<Probe>>>) -> Option<Probe> {
    match check {
        None => std::future::pending().await,
        Some(check) => check.await,
    }
}
