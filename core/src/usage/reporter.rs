//! Which window the holder decides, records, sends and sends again.
//!
//! A window is sent only as its recorded decision says, whoever recorded it. Windows are decided in
//! order, so that the newest recorded one tells where to go on.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    records::{Decision, FenceToken, UsageRecord},
    window::{WindowId, WindowLength},
};
use crate::{
    name::{ProcessName, TeamName},
    time::Time,
};

/// Number of windows for which counts and decisions are kept.
pub const KEPT_WINDOWS: u64 = 32;
/// Part of the lateness, in tenths, after which a complete window is decided.
const DECIDE_TENTHS: u32 = 4;
/// Part of the lateness, in tenths, after which an incomplete window is decided.
const DECIDE_INCOMPLETE_TENTHS: u32 = 7;
/// Pause after the first failed call to the platform; doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between calls to the platform.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Settings of the reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportTimes {
    /// Length of a window.
    pub window: WindowLength,
    /// Time after the end of a window at which its report is due.
    pub lateness: Duration,
    /// Shortest time between two calls to the platform.
    pub call_interval: Duration,
}

/// What is counted of one window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowState {
    /// Window that is counted.
    pub window: WindowId,
    /// Number of requests of each team.
    pub counts: BTreeMap<TeamName, u64>,
    /// Live routers whose counts do not reach the window's end.
    pub missing: Vec<ProcessName>,
}

/// Answer of the platform to a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The platform has the report.
    Accepted,
    /// The platform will not take this report, however often it is sent.
    Rejected,
    /// The platform took nothing for now, or no answer came.
    Failed,
}

/// Change that is logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportEvent {
    /// A window was decided; its record is appended next.
    Decided {
        /// The window.
        window: WindowId,
        /// Sum of its counts.
        requests: u64,
        /// Routers whose counts are not complete.
        missing: Vec<ProcessName>,
    },
    /// The windows from the first to the last were given up.
    GivenUp {
        /// First window.
        first: WindowId,
        /// Last window.
        last: WindowId,
        /// Why they are not reported.
        cause: GiveUpCause,
    },
    /// A report was acknowledged.
    Sent {
        /// The window.
        window: WindowId,
        /// Whether that was after the report was due.
        late: bool,
    },
}

/// Why a window is not reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUpCause {
    /// Counts are kept no longer.
    TooOld,
    /// The window ended before the holder started, and no router or record has counts of it.
    CountsUnknown,
    /// The platform rejected the report.
    Rejected,
}

/// Numbers for operators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportTotals {
    /// Windows decided by this process.
    pub decided: u64,
    /// Reports acknowledged to this process.
    pub sent: u64,
    /// Reports acknowledged after they were due.
    pub late: u64,
    /// Windows given up.
    pub given_up: u64,
}

/// Decisions and what became of them.
#[derive(Debug)]
pub struct Reporter {
    times: ReportTimes,
    /// Window in which this process started.
    started: WindowId,
    /// First window that is reported, if none has been recorded: that in which the first holder
    /// started, even if it has ended before it recorded a decision.
    first: WindowId,
    recorded: BTreeMap<WindowId, Decision>,
    /// Newest window that needs no decision any more.
    settled: Option<WindowId>,
    /// Decision whose append was attempted. Its content is final, since the append may take effect
    /// late.
    attempted: Option<Decision>,
    acknowledged: Option<WindowId>,
    /// Recorded windows that need no more calls, newer than `acknowledged`.
    done: BTreeSet<WindowId>,
    next_call: Time,
    failures: u32,
    totals: ReportTotals,
    events: Vec<ReportEvent>,
}

impl Reporter {
    /// Creates the state of a process that started at the true time `unix`.
    pub fn new(times: ReportTimes, unix: Duration) -> Self {
        Self {
            times,
            started: times.window.window_at(unix),
            first: times.window.window_at(unix),
            recorded: BTreeMap::new(),
            settled: None,
            attempted: None,
            acknowledged: None,
            done: BTreeSet::new(),
            next_call: Time::ZERO,
            failures: 0,
            totals: ReportTotals::default(),
            events: Vec::new(),
        }
    }

    /// First window that is reported, if none has been recorded yet.
    pub fn first(&self) -> WindowId {
        self.first
    }

    /// Newest window up to which all recorded decisions were acknowledged.
    pub fn acknowledged(&self) -> Option<WindowId> {
        self.acknowledged
    }

    /// Newest window that is recorded or given up.
    pub fn settled(&self) -> Option<WindowId> {
        self.settled
    }

    /// Numbers for operators.
    pub fn totals(&self) -> ReportTotals {
        self.totals
    }

    /// Recorded windows that the platform has not yet acknowledged.
    pub fn unsent_windows(&self) -> Vec<WindowId> {
        let windows = self.recorded.keys().copied();
        windows.filter(|window| !self.is_done(*window)).collect()
    }

    /// Recorded decisions of the last windows, in order.
    pub fn recorded(&self) -> impl Iterator<Item = &Decision> {
        self.recorded.values()
    }

    /// Number of windows that have ended at the true time `unix` and are neither recorded nor given
    /// up.
    pub fn open_windows(&self, unix: Duration) -> u64 {
        let next = self.settled.map_or(self.first, WindowId::next);
        let present = self.times.window.window_at(unix);
        u64::from(present).saturating_sub(next.into())
    }

    /// Takes the changes since the last call, for the log.
    pub fn take_events(&mut self) -> Vec<ReportEvent> {
        std::mem::take(&mut self.events)
    }

    /// Takes a record that this router has appended. Decisions that it pushes out of the kept ones
    /// before the platform has acknowledged them are given up.
    pub fn on_appended(&mut self, record: &UsageRecord) {
        let before = self.unsent_windows();
        self.on_record(record);
        for window in before {
            if !self.recorded.contains_key(&window) {
                self.give_up(window, window, GiveUpCause::TooOld);
            }
        }
    }

    /// Takes a record that was read.
    pub fn on_record(&mut self, record: &UsageRecord) {
        match record {
            UsageRecord::Holder(holder) => {
                self.first = self.first.min(holder.first);
                self.on_acknowledged(holder.acknowledged);
            }
            UsageRecord::Decision(decision) => {
                self.on_acknowledged(decision.acknowledged);
                self.on_decision(decision);
            }
            UsageRecord::Counts(_) => {}
        }
    }

    fn on_decision(&mut self, decision: &Decision) {
        let window = decision.window;
        self.settled = self.settled.max(Some(window));
        self.recorded.insert(window, decision.clone());
        if self
            .attempted
            .as_ref()
            .is_some_and(|attempted| attempted.window <= window)
        {
            self.attempted = None;
        }
        let oldest = u64::from(window).saturating_sub(KEPT_WINDOWS - 1);
        self.recorded = self.recorded.split_off(&oldest.into());
        self.done = self.done.split_off(&oldest.into());
    }

    fn on_acknowledged(&mut self, window: Option<WindowId>) {
        self.acknowledged = self.acknowledged.max(window);
    }

    fn is_done(&self, window: WindowId) -> bool {
        Some(window) <= self.acknowledged || self.done.contains(&window)
    }

    /// The window to be decided at the true time `unix`, whose counts [`Self::decide`] needs; gives
    /// up windows that are too old.
    pub fn due(&mut self, unix: Duration) -> Option<WindowId> {
        let mut window = self.settled.map_or(self.first, WindowId::next);
        let present = u64::from(self.times.window.window_at(unix));
        let oldest = WindowId::from(present.saturating_sub(KEPT_WINDOWS - 1));
        let attempted = self.attempted.as_ref().map(|attempted| attempted.window);
        if window < oldest {
            let last = WindowId::from(u64::from(oldest).saturating_sub(1));
            self.give_up(window, last, GiveUpCause::TooOld);
            window = oldest;
            self.attempted = self.attempted.take().filter(|kept| kept.window >= oldest);
        }
        let due = self.times.window.end(window) + self.times.lateness * DECIDE_TENTHS / 10;
        (attempted == Some(window) || unix >= due).then_some(window)
    }

    fn give_up(&mut self, first: WindowId, last: WindowId, cause: GiveUpCause) {
        self.settled = self.settled.max(Some(last));
        self.totals.given_up += u64::from(last) - u64::from(first) + 1;
        self.events
            .push(ReportEvent::GivenUp { first, last, cause });
    }

    /// Decides the window that [`Self::due`] returned. The decision is to be appended with `token`.
    pub fn decide(
        &mut self,
        state: WindowState,
        unix: Duration,
        token: FenceToken,
    ) -> Option<Decision> {
        if let Some(attempted) = &mut self.attempted
            && attempted.window == state.window
        {
            attempted.token = token;
            attempted.acknowledged = self.acknowledged;
            return Some(attempted.clone());
        }
        let WindowState {
            window,
            counts,
            missing,
        } = state;
        if Some(window) <= self.settled {
            return None;
        }
        let end = self.times.window.end(window);
        let waits = unix < end + self.times.lateness * DECIDE_INCOMPLETE_TENTHS / 10;
        if !missing.is_empty() && waits {
            return None;
        }
        if counts.is_empty() && window < self.started {
            self.give_up(window, window, GiveUpCause::CountsUnknown);
            return None;
        }
        let decision = Decision {
            window,
            counts,
            token,
            acknowledged: self.acknowledged,
        };
        self.totals.decided += 1;
        self.events.push(ReportEvent::Decided {
            window,
            requests: decision.counts.values().sum(),
            missing,
        });
        self.attempted = Some(decision.clone());
        Some(decision)
    }

    /// The report to be sent next at `now`; `None` if there is none, or after a failure or call too
    /// recent.
    pub fn next_report(&self, now: Time) -> Option<&Decision> {
        if now < self.next_call {
            return None;
        }
        let mut unsent = self.recorded.iter();
        let (_, decision) = unsent.find(|(window, _)| !self.is_done(**window))?;
        Some(decision)
    }

    /// Takes the outcome of a call, at `now` and the true time `unix`.
    pub fn on_outcome(
        &mut self,
        window: WindowId,
        outcome: SendOutcome,
        now: Time,
        unix: Duration,
    ) {
        self.next_call = now + self.times.call_interval;
        match outcome {
            SendOutcome::Accepted => {
                let late = unix > self.times.window.end(window) + self.times.lateness;
                self.totals.sent += 1;
                self.totals.late += u64::from(late);
                self.events.push(ReportEvent::Sent { window, late });
            }
            SendOutcome::Rejected => {
                let cause = GiveUpCause::Rejected;
                self.give_up(window, window, cause);
            }
            SendOutcome::Failed => {
                let pause = RETRY_PAUSE * (1 << self.failures.min(3));
                self.failures += 1;
                self.next_call = now + pause.min(MAX_RETRY_PAUSE).max(self.times.call_interval);
                return;
            }
        }
        self.failures = 0;
        self.done.insert(window);
        while let Some(first) = self
            .recorded
            .keys()
            .find(|window| !self.is_acknowledged(**window))
            && self.done.remove(first)
        {
            self.acknowledged = Some(*first);
        }
    }

    fn is_acknowledged(&self, window: WindowId) -> bool {
        Some(window) <= self.acknowledged
    }
}
