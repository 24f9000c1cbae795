//! The holder's lease and the reports together: which call of the store or of the platform is next.

use std::{collections::BTreeMap, time::Duration};

use super::{
    holder::{DutyHolder, HolderStep, Standing},
    records::{FenceToken, HolderId, StoreAnswer, StoreCall, UsageRecord},
    reporter::{ReportTimes, Reporter, SendOutcome, WindowState},
    window::{CountChange, CountSource, WindowId},
};
use crate::{name::TeamName, time::Time};

/// Shortest time between two records of changed counts.
const COUNTS_INTERVAL: Duration = Duration::from_millis(250);
/// Most changes in one record, which stay far below the largest record that the store takes.
const MAX_CHANGES: usize = 2_000;

/// What the router knows at a step.
#[derive(Debug, Clone)]
pub struct DutyInput {
    /// Present time of a clock that runs while the machine is suspended.
    pub now: Time,
    /// True time since the Unix epoch.
    pub unix: Duration,
    /// Place among the live routers; `None` while the membership is not fresh.
    pub rank: Option<usize>,
    /// Whether the process is stopping.
    pub stopping: bool,
    /// Counts of the window that [`Duty::due_window`] has named.
    pub window: Option<WindowState>,
}

/// Report with the token under which it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// Token of the sender's lease.
    pub token: FenceToken,
    /// Window that is reported.
    pub window: WindowId,
    /// Number of requests of each team.
    pub counts: BTreeMap<TeamName, u64>,
}

type ChangeKey = (CountSource, WindowId, TeamName);

/// State of one router.
#[derive(Debug)]
pub struct Duty {
    holder: DutyHolder,
    reporter: Reporter,
    /// Changed counts that are not yet recorded.
    changes: BTreeMap<ChangeKey, u64>,
    changes_at: Time,
    /// Call of the store without an answer so far, and when it was made.
    call: Option<(Time, StoreCall)>,
    /// Whether a call to the platform is under way.
    calling: bool,
}

impl Duty {
    /// Creates the state of a process that started at the true time `unix`.
    pub fn new(id: HolderId, lease: Duration, times: ReportTimes, unix: Duration) -> Self {
        Self {
            holder: DutyHolder::new(id, lease),
            reporter: Reporter::new(times, unix),
            changes: BTreeMap::new(),
            changes_at: Time::ZERO,
            call: None,
            calling: false,
        }
    }

    /// The lease.
    pub fn holder(&mut self) -> &mut DutyHolder {
        &mut self.holder
    }

    /// The reports.
    pub fn reporter(&mut self) -> &mut Reporter {
        &mut self.reporter
    }

    /// The window whose counts the next [`Self::next_call`] needs; `None` if none is due or this
    /// router does not hold the lease.
    pub fn due_window(&mut self, now: Time, unix: Duration) -> Option<WindowId> {
        self.holder.may_act(now)?;
        self.reporter.due(unix)
    }

    /// Whether the holder records changed counts now.
    pub fn wants_changes(&self, now: Time) -> bool {
        self.call.is_none()
            && self.holder.may_act(now).is_some()
            && now.since(self.changes_at) >= COUNTS_INTERVAL
    }

    /// Adds changed counts to the next record. Those of settled windows are not needed any more.
    pub fn add_changes(&mut self, changes: Vec<CountChange>) {
        let settled = self.reporter.settled();
        for change in changes {
            if Some(change.window) > settled {
                let key = (change.source, change.window, change.team);
                let count = self.changes.entry(key).or_default();
                *count = change.count.max(*count);
            }
        }
    }

    /// Decides the next call of the store; `None` while a call has no answer, or if none is due.
    pub fn next_call(&mut self, input: DutyInput) -> Option<StoreCall> {
        let now = input.now;
        let standing = Standing {
            rank: input.rank,
            stopping: input.stopping,
            calling: self.calling,
            first: self.reporter.first(),
            acknowledged: self.reporter.acknowledged(),
        };
        let step = self.holder.next(now, standing);
        if self.call.is_some() {
            return None;
        }
        let call = match step {
            HolderStep::Idle => return None,
            HolderStep::Newest => StoreCall::Newest,
            HolderStep::Read(from) => StoreCall::Read(from),
            HolderStep::Append(at, record) => StoreCall::Append(at, UsageRecord::Holder(record)),
            HolderStep::Free(at, token) => {
                let record = self.free_record(token, input)?;
                self.holder.on_free_append();
                StoreCall::Append(at, record)
            }
        };
        self.call = Some((now, call.clone()));
        Some(call)
    }

    /// Takes the answer to the last call of the store, and returns the counts that were read.
    pub fn on_answer(&mut self, now: Time, answer: StoreAnswer) -> Vec<CountChange> {
        let Some((sent, call)) = self.call.take() else {
            return Vec::new();
        };
        self.holder.on_answer(sent, now, &answer);
        match (answer, call) {
            (StoreAnswer::Records { records, .. }, _) => self.on_records(records),
            (StoreAnswer::Appended(_), StoreCall::Append(_, record)) => {
                self.reporter.on_appended(&record);
                if let UsageRecord::Counts(changes) = record {
                    self.forget_changes(changes);
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn on_records(&mut self, records: Vec<UsageRecord>) -> Vec<CountChange> {
        let mut read = Vec::new();
        for record in records {
            self.reporter.on_record(&record);
            if let UsageRecord::Counts(changes) = record {
                read.extend(changes);
            }
        }
        read
    }

    /// Removes recorded counts, unless they have grown meanwhile, and those of settled windows.
    fn forget_changes(&mut self, recorded: Vec<CountChange>) {
        for change in recorded {
            let key = (change.source, change.window, change.team);
            if self.changes.get(&key) == Some(&change.count) {
                self.changes.remove(&key);
            }
        }
        let settled = self.reporter.settled();
        self.changes
            .retain(|(_, window, _), _| Some(*window) > settled);
    }

    /// The report to be sent at `now`; `None` without the lease, while a call has no answer, or if
    /// none is due. Directly before the call, the caller checks the lease again with
    /// [`DutyHolder::may_act`].
    pub fn next_report(&mut self, now: Time) -> Option<UsageReport> {
        if self.calling {
            return None;
        }
        let token = self.holder.may_act(now)?;
        let decision = self.reporter.next_report(now)?;
        self.calling = true;
        Some(UsageReport {
            token,
            window: decision.window,
            counts: decision.counts.clone(),
        })
    }

    /// Takes the outcome of the last call to the platform, at `now` and the true time `unix`.
    pub fn on_outcome(
        &mut self,
        window: WindowId,
        outcome: SendOutcome,
        now: Time,
        unix: Duration,
    ) {
        self.calling = false;
        self.reporter.on_outcome(window, outcome, now, unix);
    }

    fn free_record(&mut self, token: FenceToken, input: DutyInput) -> Option<UsageRecord> {
        let decision = input
            .window
            .and_then(|state| self.reporter.decide(state, input.unix, token));
        if let Some(decision) = decision {
            return Some(UsageRecord::Decision(decision));
        }
        if self.changes.is_empty() || input.now.since(self.changes_at) < COUNTS_INTERVAL {
            return None;
        }
        self.changes_at = input.now;
        let changes = self.changes.iter().take(MAX_CHANGES);
        let changes = changes.map(|((source, window, team), count)| CountChange {
            source: source.clone(),
            window: *window,
            team: team.clone(),
            count: *count,
        });
        Some(UsageRecord::Counts(changes.collect()))
    }
}
