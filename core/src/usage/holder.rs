//! Lease on the duty to report usage, decided by conditional appends to one stream of the store.
//!
//! Each append is on the condition that the stream ends where its writer has read it, so that a
//! write of a holder succeeds only if no other router has claimed the lease since. Times are of a
//! clock that runs while the process or its machine is suspended.

use std::{mem, net::IpAddr, time::Duration};

use super::{
    records::{FenceToken, HolderId, HolderRecord, StoreAnswer, UsageRecord},
    window::WindowId,
};
use crate::{id::Offset, time::Time};

/// Timeout of one call to the platform. A call that began within the lease has ended by then.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time by which the holder stops early and a candidate waits longer, for differences between the
/// rates of clocks and for delays between a check of the lease and the call.
pub const LEASE_MARGIN: Duration = Duration::from_millis(250);
/// Interval between reads of the first candidate.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between reads of further routers, multiplied by their rank. They take over when the
/// routers before them are alive but cannot reach the store.
const STANDBY_INTERVAL: Duration = Duration::from_secs(4);
/// Number of routers, in the order of ranks, that read the stream.
const STANDBY_RANKS: usize = 6;
/// Pause before a call of the store that follows a failed one; doubles with each further failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Most doublings of that pause.
const MAX_RETRY_DOUBLINGS: u32 = 3;
/// Time between two steps from which the process is taken to have been paused.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);
/// Shortest time between two records of the holder that only update its own description.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// What the router does next about the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderStep {
    /// Nothing for now.
    Idle,
    /// Read the newest record of each key.
    Newest,
    /// Read the records from this offset on.
    Read(Offset),
    /// Append a claim, renewal or release at the offset.
    Append(Offset, HolderRecord),
    /// This router holds the lease and may append a decision or counts at the offset.
    Free(Offset, FenceToken),
}

/// Permission to call the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Token of the holder.
    pub token: FenceToken,
    /// When calls may begin no more.
    until: Time,
    /// Last step of the holder. A process that was paused since then has to read the stream and
    /// write again first.
    granted_at: Time,
}

impl Permit {
    /// Whether a call may begin at `now`.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.until && now.since(self.granted_at) <= PAUSE_LIMIT
    }
}

/// Change that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderEvent {
    /// The lease was claimed with this token.
    Claimed(FenceToken),
    /// A claim failed, since another router has written.
    ClaimConflict,
    /// It is unknown whether a claim took effect.
    ClaimUnknown,
    /// The lease is held again with the same token after it was suspended.
    Resumed(FenceToken),
    /// The holder stops acting until it has read the stream and written again.
    Suspended(SuspendCause),
    /// Another router holds the lease.
    Lost(FenceToken),
    /// The release of the lease was sent; the router does not act any more.
    Released(FenceToken),
}

/// Why a holder stops acting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspendCause {
    /// The lease ended without a confirmed write.
    Expired,
    /// The process was paused.
    Paused,
}

/// What the router knows of itself at a step.
#[derive(Debug, Clone, Copy)]
pub struct Standing {
    /// Place among the live routers; `None` while the membership is not fresh.
    pub rank: Option<usize>,
    /// Whether the process is stopping.
    pub stopping: bool,
    /// Whether a call to the platform is under way. The lease is not released before it ends, since
    /// the next holder may act at once.
    pub calling: bool,
    /// First window that is reported, if none has been recorded yet.
    pub first: WindowId,
    /// Newest window up to which all recorded decisions were acknowledged.
    pub acknowledged: Option<WindowId>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    Follower,
    /// The last claim is this router's, but it must read and write before it acts.
    Suspended(FenceToken),
    Holding {
        token: FenceToken,
        until: Time,
    },
}

/// Known part of the stream.
#[derive(Debug, Clone)]
struct StreamView {
    end: Offset,
    /// When this end was first known from an answer.
    end_since: Time,
    /// When the last answer that confirmed this end arrived.
    read_at: Time,
    /// Whether the end may have changed by an own append.
    synced: bool,
    holder: Option<HolderRecord>,
}

/// Append in flight that concerns the lease itself.
#[derive(Debug, Clone)]
enum Pending {
    Other,
    Holder(HolderRecord),
}

/// State of one router.
#[derive(Debug)]
pub struct DutyHolder {
    id: HolderId,
    lease: Duration,
    role: Role,
    view: Option<StreamView>,
    pending: Option<Pending>,
    /// Last claim of this process that was confirmed, and when.
    claimed: Option<(FenceToken, Time)>,
    /// When the lease was suspended last.
    suspended_at: Time,
    /// Whether the holder waits for a call to end before it releases the lease.
    closing: bool,
    /// Consecutive calls of the store without an answer.
    failures: u32,
    /// When the last confirmed write was sent.
    written_at: Time,
    /// Last time of a read as a candidate.
    polled_at: Option<Time>,
    retry_at: Time,
    stepped_at: Option<Time>,
    unranked_since: Option<Time>,
    events: Vec<HolderEvent>,
}

impl DutyHolder {
    /// Creates the state of a router that knows nothing of the stream.
    pub fn new(id: HolderId, lease: Duration) -> Self {
        Self {
            id,
            lease,
            role: Role::Follower,
            view: None,
            pending: None,
            claimed: None,
            suspended_at: Time::ZERO,
            closing: false,
            failures: 0,
            written_at: Time::ZERO,
            polled_at: None,
            retry_at: Time::ZERO,
            stepped_at: None,
            unranked_since: None,
            events: Vec::new(),
        }
    }

    /// The permission to act. It has to be checked directly before each call to the platform.
    pub fn permit(&self) -> Option<Permit> {
        match self.role {
            Role::Holding { token, until } if !self.closing => Some(Permit {
                token,
                until,
                granted_at: self.stepped_at?,
            }),
            Role::Holding { .. } | Role::Suspended(_) | Role::Follower => None,
        }
    }

    /// The token under which the router may act at `now`.
    pub fn may_act(&self, now: Time) -> Option<FenceToken> {
        let permit = self.permit().filter(|permit| permit.is_valid(now));
        permit.map(|permit| permit.token)
    }

    /// When the lease ends, unless it is renewed; `None` if this router does not hold it.
    pub fn held_until(&self) -> Option<Time> {
        match self.role {
            Role::Holding { until, .. } => Some(until),
            Role::Suspended(_) | Role::Follower => None,
        }
    }

    /// The last known claim, renewal or release.
    pub fn last_record(&self) -> Option<&HolderRecord> {
        self.view.as_ref()?.holder.as_ref()
    }

    /// Takes the changes since the last call, for the log.
    pub fn take_events(&mut self) -> Vec<HolderEvent> {
        mem::take(&mut self.events)
    }

    /// Decides the next step. The caller makes no second call of the store before the answer to
    /// the first one was given to [`Self::on_answer`].
    pub fn next(&mut self, now: Time, standing: Standing) -> HolderStep {
        self.check_lease(now);
        if self.pending.is_some() {
            return HolderStep::Idle;
        }
        match standing.rank {
            Some(_) => self.unranked_since = None,
            None => {
                self.unranked_since.get_or_insert(now);
            }
        }
        match self.role {
            Role::Follower | Role::Suspended(_) if standing.stopping => HolderStep::Idle,
            Role::Follower => self.follow(now, standing),
            Role::Suspended(token) => self.resume(now, token, standing),
            Role::Holding { token, .. } => self.hold(now, token, standing),
        }
    }

    /// Suspends the lease if it has ended or the process was paused.
    fn check_lease(&mut self, now: Time) {
        let paused = self
            .stepped_at
            .is_some_and(|last| now.since(last) > PAUSE_LIMIT);
        self.stepped_at = Some(now);
        if let Role::Holding { token, until } = self.role {
            let cause = if now >= until {
                SuspendCause::Expired
            } else if paused {
                SuspendCause::Paused
            } else {
                return;
            };
            self.suspend(now, token, cause);
        }
    }

    fn suspend(&mut self, now: Time, token: FenceToken, cause: SuspendCause) {
        self.role = Role::Suspended(token);
        self.suspended_at = now;
        self.desync();
        self.events.push(HolderEvent::Suspended(cause));
    }

    fn desync(&mut self) {
        if let Some(view) = &mut self.view {
            view.synced = false;
        }
    }

    fn follow(&mut self, now: Time, standing: Standing) -> HolderStep {
        let Some(interval) = self.poll_interval(standing.rank) else {
            return HolderStep::Idle;
        };
        if let Some(view) = &self.view
            && view.synced
            && now.since(view.read_at) < POLL_INTERVAL
            && now >= self.retry_at
            && self.is_free(view)
        {
            return self.claim(standing);
        }
        let expiry = self.lease + LEASE_MARGIN;
        let due = self.view.as_ref().is_none_or(|view| {
            let expired = now.since(view.end_since) >= expiry;
            !view.synced || (expired && view.read_at.since(view.end_since) < expiry)
        });
        let due = self
            .polled_at
            .is_none_or(|last| now.since(last) >= interval)
            || (due && interval == POLL_INTERVAL);
        if !due || now < self.retry_at {
            return HolderStep::Idle;
        }
        self.polled_at = Some(now);
        self.read()
    }

    fn read(&mut self) -> HolderStep {
        self.pending = Some(Pending::Other);
        match &self.view {
            None => HolderStep::Newest,
            Some(view) => HolderStep::Read(view.end),
        }
    }

    /// Interval between reads of a router that does not hold the lease; `None` if it does not read.
    fn poll_interval(&self, rank: Option<usize>) -> Option<Duration> {
        let holder = self.last_record();
        match rank? {
            0 => Some(POLL_INTERVAL),
            1 if holder.is_none_or(|holder| holder.rank == Some(0)) => Some(POLL_INTERVAL),
            rank if rank < STANDBY_RANKS => {
                Some(STANDBY_INTERVAL * u32::try_from(rank).unwrap_or(u32::MAX))
            }
            _ => None,
        }
    }

    /// Whether the last read showed that the lease may be claimed.
    fn is_free(&self, view: &StreamView) -> bool {
        let expired = view.read_at.since(view.end_since) >= self.lease + LEASE_MARGIN;
        match &view.holder {
            None => view.end == Offset::default() || expired,
            Some(last) if last.released && !last.previous.contains(&self.id.address) => true,
            Some(_) => expired,
        }
    }

    fn claim(&mut self, standing: Standing) -> HolderStep {
        let Some(view) = &self.view else {
            return HolderStep::Idle;
        };
        let mut previous: Vec<IpAddr> = Vec::new();
        if let Some(last) = &view.holder {
            previous.clone_from(&last.previous);
            previous.push(last.holder.address);
        }
        previous.retain(|address| *address != self.id.address);
        previous.sort_unstable();
        previous.dedup();
        let at = view.end;
        let record = HolderRecord {
            holder: self.id.clone(),
            token: FenceToken::of_claim(at),
            released: false,
            rank: standing.rank,
            previous,
            first: standing.first,
            acknowledged: standing.acknowledged,
        };
        self.append(at, record)
    }

    fn append(&mut self, at: Offset, record: HolderRecord) -> HolderStep {
        self.pending = Some(Pending::Holder(record.clone()));
        HolderStep::Append(at, record)
    }

    fn resume(&mut self, now: Time, token: FenceToken, standing: Standing) -> HolderStep {
        if now < self.retry_at {
            return HolderStep::Idle;
        }
        match &self.view {
            Some(view) if view.synced => {
                let at = view.end;
                let record = self.own_record(now, token, standing, false);
                self.append(at, record)
            }
            _ => self.read(),
        }
    }

    fn hold(&mut self, now: Time, token: FenceToken, standing: Standing) -> HolderStep {
        let Some(view) = &self.view else {
            return self.read();
        };
        if !view.synced {
            return if now < self.retry_at {
                HolderStep::Idle
            } else {
                self.read()
            };
        }
        let at = view.end;
        // Without other routers the counts are not known; a router that sees them reports instead.
        let isolated = self
            .unranked_since
            .is_some_and(|since| now.since(since) >= self.lease);
        self.closing = standing.stopping || isolated;
        if self.closing && standing.calling {
            return HolderStep::Idle;
        }
        if self.closing {
            let record = self.own_record(now, token, standing, true);
            // From the first attempt of a release on, another router may hold the lease.
            self.role = Role::Follower;
            self.closing = false;
            self.events.push(HolderEvent::Released(token));
            return self.append(at, record);
        }
        let record = self.own_record(now, token, standing, false);
        let known = view.holder.as_ref();
        let changed = known
            .is_none_or(|known| known.rank != record.rank || known.previous != record.previous);
        let since = now.since(self.written_at);
        if since >= self.lease / 3 || (changed && since >= UPDATE_INTERVAL) {
            return self.append(at, record);
        }
        HolderStep::Free(at, token)
    }

    /// The record of a renewal or release.
    fn own_record(
        &self,
        now: Time,
        token: FenceToken,
        standing: Standing,
        released: bool,
    ) -> HolderRecord {
        // Holders before the claim acted last before it was confirmed.
        let forget = self.claimed.is_some_and(|(claimed, at)| {
            claimed == token && now.since(at) >= self.lease + LEASE_MARGIN
        });
        let previous = self.last_record().filter(|_| !forget);
        HolderRecord {
            holder: self.id.clone(),
            token,
            released,
            rank: standing.rank,
            previous: previous.map_or_else(Vec::new, |last| last.previous.clone()),
            first: standing.first,
            acknowledged: standing.acknowledged,
        }
    }

    /// Notes that the caller uses a [`HolderStep::Free`] for an append of its own.
    pub fn on_free_append(&mut self) {
        self.pending = Some(Pending::Other);
    }

    /// Takes the answer to the call of the last step, sent at `sent`.
    pub fn on_answer(&mut self, sent: Time, now: Time, answer: &StoreAnswer) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        // The lease may have ended while the call was under way.
        self.check_lease(now);
        if *answer != StoreAnswer::Lost {
            self.failures = 0;
        }
        match answer {
            StoreAnswer::Records { records, next, end } => {
                let mut holders = records.iter().filter_map(|record| match record {
                    UsageRecord::Holder(holder) => Some(holder),
                    UsageRecord::Decision(_) | UsageRecord::Counts(_) => None,
                });
                self.on_records(now, holders.next_back().cloned(), *next, *end);
            }
            StoreAnswer::Appended(offset) => self.on_appended(sent, now, pending, *offset),
            StoreAnswer::Conflict => {
                if self.is_claim(&pending) {
                    self.events.push(HolderEvent::ClaimConflict);
                }
                self.desync();
            }
            StoreAnswer::Expired => self.view = None,
            StoreAnswer::Lost => {
                if self.is_claim(&pending) {
                    self.events.push(HolderEvent::ClaimUnknown);
                }
                self.desync();
                self.retry_at = now + RETRY_PAUSE * (1 << self.failures.min(MAX_RETRY_DOUBLINGS));
                self.failures += 1;
            }
        }
    }

    fn is_claim(&self, pending: &Pending) -> bool {
        match pending {
            Pending::Holder(record) => !record.released && self.role == Role::Follower,
            Pending::Other => false,
        }
    }

    fn on_records(&mut self, now: Time, holder: Option<HolderRecord>, next: Offset, end: Offset) {
        let view = self.view.get_or_insert(StreamView {
            end: next,
            end_since: now,
            read_at: now,
            synced: false,
            holder: None,
        });
        if end < view.end {
            self.view = None;
            return;
        }
        if next != view.end {
            view.end = next;
            view.end_since = now;
        }
        view.read_at = now;
        view.synced = next == end;
        if let Some(holder) = holder {
            view.holder = Some(holder);
        }
        let own = view.holder.as_ref().filter(|last| last.holder == self.id);
        let own = own.filter(|last| !last.released).map(|last| last.token);
        match (self.role, own) {
            (Role::Follower, Some(token)) => self.role = Role::Suspended(token),
            (Role::Suspended(token) | Role::Holding { token, .. }, own) if own != Some(token) => {
                self.role = own.map_or(Role::Follower, Role::Suspended);
                self.events.push(HolderEvent::Lost(token));
            }
            (Role::Follower | Role::Suspended(_) | Role::Holding { .. }, _) => {}
        }
    }

    fn on_appended(&mut self, sent: Time, now: Time, pending: Pending, offset: Offset) {
        let Some(view) = &mut self.view else {
            return;
        };
        if offset != view.end {
            self.view = None;
            return;
        }
        view.end = offset.next();
        view.end_since = now;
        view.read_at = now;
        view.synced = true;
        self.written_at = sent;
        // The last moment at which a call may begin, so that it has ended when others may claim.
        let until = sent + self.lease.saturating_sub(CALL_TIMEOUT + LEASE_MARGIN);
        let mut released = false;
        let mut written = None;
        if let Pending::Holder(record) = pending {
            released = record.released;
            written = Some(record.token);
            view.holder = Some(record);
        }
        let token = match (self.role, written) {
            (Role::Follower, Some(token)) if !released => {
                self.events.push(HolderEvent::Claimed(token));
                token
            }
            (Role::Follower, _) => return,
            // The stream has to be read and written after the pause or expiry.
            (Role::Suspended(_), _) if sent < self.suspended_at => {
                view.synced = false;
                return;
            }
            (Role::Suspended(token), _) => {
                self.events.push(HolderEvent::Resumed(token));
                token
            }
            (Role::Holding { token, .. }, _) => token,
        };
        if self.claimed.is_none_or(|(claimed, _)| claimed != token) {
            self.claimed = Some((token, now));
        }
        if now < until {
            self.role = Role::Holding { token, until };
        } else {
            self.suspend(now, token, SuspendCause::Expired);
        }
    }
}
