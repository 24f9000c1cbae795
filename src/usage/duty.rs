//! Task that takes part in the reporting lease and, while this router holds it, reports usage.
//!
//! The task owns the state of the lease and of the reports. Calls of the store and of the platform
//! run beside it, at most one each, and give their outcome back by messages.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use ebonyfall_core::{
    id::{Era, Offset, Position},
    name::ProcessName,
    usage::{
        counts::WindowCounts,
        duty::{Duty, DutyInput, UsageReport},
        holder::{HolderEvent, Permit, SuspendCause},
        records::{HolderId, StoreAnswer, StoreCall, UsageRecord},
        reporter::{GiveUpCause, ReportEvent, ReportTimes, SendOutcome, WindowState},
        window::{WindowId, WindowLength},
    },
};
use ebonyfall_platform::{
    store::{KeyedRecord, Topic},
    usage,
};
use http::StatusCode;
use slog::{Logger, info, warn};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

use super::{
    counting::UsageCounter,
    inspect::{HolderDump, UsageDump, WindowDump},
    sender::{Sender, Sent, outcome_label},
};
use crate::{
    clock::{self, BootClock},
    meters::EntryMetrics,
    store::{Listing, ReadPart, StoreClient, StoreError},
    supervisor::{Supervisor, TaskName},
    view,
};

/// Interval between steps. It bounds the delay of a decision, and the pause of the process that goes
/// unnoticed.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Dump requests that may wait.
const DUMP_QUEUE: usize = 4;
/// Part of the platform's limit on calls that the holder uses, so that the calls of two successive
/// holders stay below it.
const CALL_SHARE: u32 = 2;

/// Settings of usage reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageConfig {
    /// Address of the platform's usage call.
    pub platform: SocketAddr,
    /// Length of a window.
    pub window: WindowLength,
    /// Time for which a write of the holder gives it the lease.
    pub lease: Duration,
    /// Time after the end of a window at which its report is due.
    pub lateness: Duration,
    /// Most calls in a second that the platform takes from all routers.
    pub calls_per_s: u32,
}

/// Configuration and dependencies of the task.
#[derive(Debug)]
pub struct DutyTask {
    /// Name of this process.
    pub name: ProcessName,
    /// Address of this machine, by which holders are told apart.
    pub address: IpAddr,
    /// Settings of usage reports.
    pub config: UsageConfig,
    /// Store that decides who holds the lease.
    pub store: StoreClient,
    /// Counts of requests.
    pub counter: UsageCounter,
    /// Metrics of this process.
    pub meters: EntryMetrics,
    /// Watches the tasks that are started.
    pub supervisor: Supervisor,
    /// Logger of this process.
    pub log: Logger,
}

/// Handle to the task.
#[derive(Debug, Clone)]
pub struct DutyHandle(mpsc::Sender<oneshot::Sender<UsageDump>>);

impl DutyHandle {
    /// Returns the state of the task; `None` if it has ended.
    pub async fn dump(&self) -> Option<UsageDump> {
        let (reply, dump) = oneshot::channel();
        self.0.send(reply).await.ok()?;
        dump.await.ok()
    }
}

/// Starts the task, which runs until the process ends. When `stop` becomes true, it releases the
/// lease.
pub fn start(task: DutyTask, stop: watch::Receiver<bool>) -> DutyHandle {
    let (tx, dumps) = mpsc::channel(DUMP_QUEUE);
    let supervisor = task.supervisor.clone();
    supervisor.spawn(TaskName::UsageDuty, Task::new(task).run(stop, dumps));
    DutyHandle(tx)
}

struct Task {
    name: ProcessName,
    window: WindowLength,
    store: StoreClient,
    counter: UsageCounter,
    meters: EntryMetrics,
    supervisor: Supervisor,
    log: Logger,
    duty: Duty,
    /// Revision of the counts up to which changes were taken for records.
    revision: u64,
    holding: bool,
    late: u64,
    permit: watch::Sender<Option<Permit>>,
    reports: mpsc::Sender<UsageReport>,
    sent: mpsc::Receiver<Sent>,
    /// Era of the offsets that are known of the usage stream.
    era: Era,
    answer_tx: mpsc::Sender<EraAnswer>,
    answers: mpsc::Receiver<EraAnswer>,
}

impl Task {
    fn new(task: DutyTask) -> Self {
        let DutyTask {
            name,
            address,
            config,
            store,
            counter,
            meters,
            supervisor,
            log,
        } = task;
        let incarnation = view::incarnation(clock::unix_time());
        let id = HolderId {
            name: name.clone(),
            address,
            incarnation,
        };
        let times = ReportTimes {
            window: config.window,
            lateness: config.lateness,
            call_interval: Duration::from_secs(1) * CALL_SHARE / config.calls_per_s.max(1),
        };
        let duty = Duty::new(id, config.lease, times, counter.unix_time());
        let (permit, permits) = watch::channel(None);
        let (reports, report_rx) = mpsc::channel(1);
        let (sent_tx, sent) = mpsc::channel(1);
        let (answer_tx, answers) = mpsc::channel(1);
        let sender = Sender {
            name: name.clone(),
            platform: config.platform,
            permit: permits,
            log: log.clone(),
        };
        supervisor.spawn(TaskName::UsageSender, sender.run(report_rx, sent_tx));
        Self {
            name,
            window: config.window,
            store,
            counter,
            meters,
            supervisor,
            log,
            duty,
            revision: 0,
            holding: false,
            late: 0,
            permit,
            reports,
            sent,
            era: Era::default(),
            answer_tx,
            answers,
        }
    }

    async fn run(
        mut self,
        mut stop: watch::Receiver<bool>,
        mut dumps: mpsc::Receiver<oneshot::Sender<UsageDump>>,
    ) {
        let mut ticks = interval(STEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stopping = false;
        loop {
            let mut answer = None;
            tokio::select! {
                _ = ticks.tick() => {}
                Some(received) = self.answers.recv() => answer = Some(received),
                Some(sent) = self.sent.recv() => self.on_sent(&sent),
                () = stopped(&mut stop), if !stopping => stopping = true,
                Some(reply) = dumps.recv() => {
                    let _caller_gone = reply.send(self.dump());
                    continue;
                }
            }
            if let Some(answer) = answer {
                self.on_answer(answer).await;
            }
            self.step(stopping).await;
        }
    }

    async fn step(&mut self, stopping: bool) {
        let (now, unix) = (BootClock.now(), self.counter.unix_time());
        if self.duty.wants_changes(now) {
            let (changes, revision) = self.counter.changes_since(self.revision).await;
            self.revision = revision;
            self.duty.add_changes(changes);
        }
        let window = match self.duty.due_window(now, unix) {
            Some(window) => Some(self.window_state(window).await),
            None => None,
        };
        let call = self.duty.next_call(DutyInput {
            now,
            unix,
            rank: self.counter.rank(),
            stopping,
            window,
        });
        if let Some(call) = call {
            let (store, tx, log) = (self.store.clone(), self.answer_tx.clone(), self.log.clone());
            let era = self.era;
            self.supervisor.spawn_job(TaskName::UsageDuty, async move {
                let answer = call_store(&store, call, era, &log).await;
                let _ended = tx.send(answer).await;
            });
        }
        self.publish();
        if let Some(report) = self.duty.next_report(now) {
            let window = report.window;
            if self.reports.try_send(report).is_err() {
                self.duty.on_outcome(window, SendOutcome::Failed, now, unix);
            }
        }
        self.log_events();
    }

    async fn window_state(&self, window: WindowId) -> WindowState {
        let WindowCounts { counts, missing } = self.counter.window(window).await;
        WindowState {
            window,
            counts,
            missing,
        }
    }

    /// Publishes the permission to call the platform, and whether this router holds the lease.
    fn publish(&mut self) {
        self.permit.send_replace(self.duty.holder().permit());
        let holding = self.duty.holder().held_until().is_some();
        if holding != self.holding {
            self.holding = holding;
            self.meters.usage.set_holding(holding);
            self.counter.set_holding(holding);
        }
    }

    async fn on_answer(&mut self, EraAnswer { answer, era }: EraAnswer) {
        self.era = era;
        let counts = self.duty.on_answer(BootClock.now(), answer);
        if !counts.is_empty() {
            self.counter.merge(counts).await;
        }
    }

    fn on_sent(&mut self, sent: &Sent) {
        let (now, unix) = (BootClock.now(), self.counter.unix_time());
        self.duty.on_outcome(sent.window, sent.outcome, now, unix);
        self.meters.usage.count_report(outcome_label(sent.outcome));
    }

    fn log_events(&mut self) {
        for event in self.duty.holder().take_events() {
            self.log_holder(event);
        }
        for event in self.duty.reporter().take_events() {
            self.log_report(event);
        }
        let late = self.duty.reporter().totals().late;
        self.meters.usage.add_late(late - self.late);
        self.late = late;
    }

    fn log_holder(&self, event: HolderEvent) {
        let log = &self.log;
        let claim = |outcome: &'static str| self.meters.usage.count_claim(outcome);
        match event {
            HolderEvent::Claimed(token) => {
                claim("claimed");
                info!(log, "reporting lease claimed"; "event" => "usage_claim",
                    "outcome" => "claimed", "token" => %token, "holder" => %self.name);
            }
            HolderEvent::ClaimConflict => {
                claim("conflict");
                info!(log, "reporting lease not claimed, since another router has written";
                    "event" => "usage_claim", "outcome" => "conflict");
            }
            HolderEvent::ClaimUnknown => {
                claim("unknown");
                warn!(log, "no answer to the claim of the reporting lease; reading the stream";
                    "event" => "usage_claim", "outcome" => "unknown");
            }
            HolderEvent::Resumed(token) => {
                claim("resumed");
                info!(log, "reporting lease confirmed again"; "event" => "usage_claim",
                    "outcome" => "resumed", "token" => %token);
            }
            HolderEvent::Suspended(cause) => {
                let cause = match cause {
                    SuspendCause::Expired => "expired",
                    SuspendCause::Paused => "paused",
                };
                warn!(log, "reporting lease not usable until it is read and written again";
                    "event" => "usage_lost", "cause" => cause);
            }
            HolderEvent::Lost(token) => {
                warn!(log, "another router holds the reporting lease";
                    "event" => "usage_lost", "cause" => "claimed", "token" => %token);
            }
            HolderEvent::Released(token) => {
                info!(log, "reporting lease released"; "event" => "usage_release",
                    "token" => %token);
            }
        }
    }

    fn log_report(&self, event: ReportEvent) {
        let log = &self.log;
        match event {
            ReportEvent::Decided {
                window,
                requests,
                missing,
            } => {
                let missing: Vec<_> = missing.iter().map(ProcessName::as_str).collect();
                info!(log, "usage window decided"; "event" => "usage_decided",
                    "window" => %window, "requests" => requests, "missing" => missing.join(","));
            }
            ReportEvent::GivenUp { first, last, cause } => {
                let cause = match cause {
                    GiveUpCause::TooOld => "too_old",
                    GiveUpCause::CountsUnknown => "counts_unknown",
                    GiveUpCause::Rejected => "rejected",
                };
                warn!(log, "usage windows given up; see docs/OPERATIONS.md";
                    "event" => "usage_given_up", "window" => %first, "last" => %last,
                    "cause" => cause);
            }
            ReportEvent::Sent { window, late } => {
                if late {
                    warn!(log, "usage report acknowledged after it was due";
                        "event" => "usage_late", "window" => %window);
                }
            }
        }
    }

    fn dump(&mut self) -> UsageDump {
        let (now, unix) = (BootClock.now(), self.counter.unix_time());
        let held_until = self.duty.holder().held_until();
        let holder = self.duty.holder().last_record().map(|last| HolderDump {
            name: last.holder.name.clone(),
            address: last.holder.address,
            token: last.token.into(),
            released: last.released,
        });
        let window_length = self.window;
        let reporter = self.duty.reporter();
        let (totals, unsent) = (reporter.totals(), reporter.unsent_windows());
        let windows = reporter.recorded().map(|decision| WindowDump {
            window: decision.window.into(),
            end_unix_ms: clock::millis(window_length.end(decision.window)),
            token: decision.token.into(),
            acknowledged: !unsent.contains(&decision.window),
            counts: decision.counts.clone(),
        });
        UsageDump {
            holder,
            holding: held_until.is_some(),
            held_for_ms: held_until.map(|until| clock::millis(until.since(now))),
            rank: self.counter.rank(),
            open: reporter.open_windows(unix),
            unsent: unsent.len(),
            decided: totals.decided,
            sent: totals.sent,
            late: totals.late,
            given_up: totals.given_up,
            windows: windows.collect(),
        }
    }
}

/// Waits for the stop of the process. Its sender lives as long as the process.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _sender_gone = stop.wait_for(|stop| *stop).await.is_err();
}

/// Answer to a call of the store, and the era of its offsets.
struct EraAnswer {
    answer: StoreAnswer,
    era: Era,
}

/// Makes a call whose offsets are of `era`.
async fn call_store(store: &StoreClient, call: StoreCall, era: Era, log: &Logger) -> EraAnswer {
    let position = |offset| Position { era, offset };
    let answered = match call {
        StoreCall::Newest => read_newest(store, log).await,
        StoreCall::Read(from) => read_from(store, position(from), log).await,
        StoreCall::Append(at, record) => append(store, position(at), &record).await,
    };
    answered.unwrap_or_else(|error| {
        warn!(log, "call of the store for the usage stream failed";
            "event" => "usage_store", "error" => %error);
        let answer = StoreAnswer::Lost;
        EraAnswer { answer, era }
    })
}

/// Whether the error says that the stream has no record yet.
fn is_missing(error: &StoreError) -> bool {
    let StoreError::Refused { status } = error else {
        return false;
    };
    let passing = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::PRECONDITION_FAILED,
    ];
    status.is_client_error() && !passing.contains(status)
}

fn empty(era: Era) -> EraAnswer {
    let answer = StoreAnswer::Records {
        records: Vec::new(),
        next: Offset::default(),
        end: Offset::default(),
    };
    EraAnswer { answer, era }
}

async fn read_newest(store: &StoreClient, log: &Logger) -> Result<EraAnswer, StoreError> {
    let listed = store.newest(Topic::Usage, is_used).await;
    let Listing {
        mut records,
        left_out,
        end,
    } = match listed {
        Err(error) if is_missing(&error) => return Ok(empty(Era::default())),
        answer => answer?,
    };
    if left_out > 0 {
        warn!(log, "undecodable records of the usage stream skipped";
            "event" => "usage_store", "left_out" => left_out);
    }
    let Position { era, offset: end } = end;
    records.sort_by_key(|record| record.offset);
    // Records after the end of the first page are read again.
    records.retain(|record| record.offset < end);
    let (records, _) = decode(records, log);
    let next = end;
    let answer = StoreAnswer::Records { records, next, end };
    Ok(EraAnswer { answer, era })
}

async fn read_from(
    store: &StoreClient,
    from: Position,
    log: &Logger,
) -> Result<EraAnswer, StoreError> {
    let era = from.era;
    let expired = EraAnswer {
        answer: StoreAnswer::Expired,
        era,
    };
    let read = store.read(Topic::Usage, from, Duration::ZERO, ReadPart::First);
    let batch = match read.await {
        Err(error) if is_missing(&error) && from.offset == Offset::default() => {
            return Ok(empty(era));
        }
        Err(error) if error.needs_list() => return Ok(expired),
        answer => answer?,
    };
    let (next, end) = (batch.next.offset, batch.end.offset);
    let (records, complete) = decode(batch.records, log);
    // A record that cannot be read may be a claim of another version of the software.
    if !complete {
        return Ok(expired);
    }
    let answer = StoreAnswer::Records { records, next, end };
    Ok(EraAnswer { answer, era })
}

/// Whether a record can be decoded.
fn is_used(record: &KeyedRecord) -> bool {
    usage::decode_record(&record.key, record.value.as_deref()).is_ok()
}

/// Decodes records; false if one could not be decoded.
fn decode(records: Vec<KeyedRecord>, log: &Logger) -> (Vec<UsageRecord>, bool) {
    let count = records.len();
    let decoded = records.into_iter().filter_map(|record| {
        let decoded = usage::decode_record(&record.key, record.value.as_deref());
        decoded
            .inspect_err(|error| {
                warn!(log, "undecodable record of the usage stream skipped";
                    "event" => "usage_store", "offset" => %record.offset, "error" => %error);
            })
            .ok()
    });
    let decoded: Vec<_> = decoded.collect();
    let complete = decoded.len() == count;
    (decoded, complete)
}

async fn append(
    store: &StoreClient,
    at: Position,
    record: &UsageRecord,
) -> Result<EraAnswer, StoreError> {
    let era = at.era;
    let key = usage::record_key(record, at.offset);
    let Ok(value) = usage::encode_record(record) else {
        let answer = StoreAnswer::Lost;
        return Ok(EraAnswer { answer, era });
    };
    let answer = match store.append_confirmed(Topic::Usage, at, &key, &value).await {
        Ok(offset) => StoreAnswer::Appended(offset),
        Err(StoreError::Refused { status }) if status == StatusCode::PRECONDITION_FAILED => {
            StoreAnswer::Conflict
        }
        Err(error) => return Err(error),
    };
    Ok(EraAnswer { answer, era })
}
