//! Decides which connections of callers are closed: those that wait for too long, and, when there
//! is no room for new ones, the one that has waited the longest without a running request.

use std::time::Duration;

use crate::time::Time;

/// Time for which a connection that receives a body is not closed in favour of a new one.
const BODY_PATIENCE: Duration = Duration::from_secs(1);

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No byte of a request has arrived since the connection was opened or the last answer ended.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// A head has arrived, and a part of the body at most. Nobody works on the request.
    Body,
    /// A request runs, or its answer is being sent.
    Running,
}

/// State of a connection that decides when it is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionState {
    /// What the connection is doing.
    pub phase: Phase,
    /// Start of the phase.
    pub since: Time,
    /// Time since which the caller has taken no byte of what waits for it.
    pub stalled_since: Option<Time>,
    /// Deadline of the request whose answer is being sent.
    pub deadline: Option<Time>,
}

/// Longest waits for a caller. Bytes that arrive meanwhile do not renew them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerDeadlines {
    /// From the end of an answer, or from opening the connection, to the first byte of a head.
    pub idle: Duration,
    /// From the first byte of a head to its end.
    pub head: Duration,
    /// For a caller that takes no byte of an answer.
    pub stall: Duration,
    /// From the deadline of a request to the end of its answer.
    pub answer_grace: Duration,
}

/// Why a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CloseCause {
    /// No request came.
    Idle,
    /// The head of a request was not complete in time.
    SlowHead,
    /// The caller did not read.
    Stalled,
    /// The answer had not been read when the request's deadline and the grace had passed.
    Deadline,
    /// It had waited the longest, and a new connection needed room.
    Evicted,
    /// The others had running requests or held too little, so that a new connection was refused.
    Refused,
}

impl CloseCause {
    /// Name in metrics and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::SlowHead => "slow_head",
            Self::Stalled => "stalled",
            Self::Deadline => "deadline",
            Self::Evicted => "evicted",
            Self::Refused => "refused",
        }
    }
}

impl ConnectionState {
    /// Whether the connection waits for its caller to begin a request.
    pub fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Idle | Phase::Head)
    }

    /// Whether the connection may be closed at `now` in favour of a new one. One that receives a body may
    /// only after some time, as ordinary callers need little.
    fn may_give_way(&self, now: Time) -> bool {
        match self.phase {
            Phase::Idle | Phase::Head => true,
            Phase::Body => now.since(self.since) >= BODY_PATIENCE,
            Phase::Running => false,
        }
    }

    /// Returns why the connection is to be closed now, if it is.
    pub fn overdue(&self, deadlines: &CallerDeadlines, now: Time) -> Option<CloseCause> {
        let is_over = |since: Time, limit: Duration| now.since(since) > limit;
        match self.phase {
            Phase::Idle => is_over(self.since, deadlines.idle).then_some(CloseCause::Idle),
            Phase::Head => is_over(self.since, deadlines.head).then_some(CloseCause::SlowHead),
            Phase::Body | Phase::Running => {
                let stalled = self.stalled_since;
                let late = self.deadline;
                if stalled.is_some_and(|since| is_over(since, deadlines.stall)) {
                    Some(CloseCause::Stalled)
                } else if late.is_some_and(|late| is_over(late, deadlines.answer_grace)) {
                    Some(CloseCause::Deadline)
                } else {
                    None
                }
            }
        }
    }
}

/// Room for the connections of a listener, before a new one is added.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// Open connections.
    pub open: usize,
    /// Most connections at once.
    pub max_open: usize,
    /// Bytes that are free for further connections.
    pub free_bytes: usize,
}

impl Room {
    /// Whether a connection that takes `bytes` fits.
    pub const fn fits(&self, bytes: usize) -> bool {
        self.open < self.max_open && bytes <= self.free_bytes
    }

    const fn without(self, bytes: usize) -> Self {
        Self {
            open: self.open.saturating_sub(1),
            free_bytes: self.free_bytes.saturating_add(bytes),
            ..self
        }
    }
}

/// Returns the connections that have to be closed at `now` so that a new one fits that takes `bytes`: those
/// that have waited the longest for a request, then those that have received a body for the longest time.
/// Each comes with its state and the bytes that it holds. `None` if closing all of them is not enough; then
/// none is to be closed.
pub fn choose_evictions<K>(
    connections: impl IntoIterator<Item = (K, ConnectionState, usize)>,
    mut room: Room,
    bytes: usize,
    now: Time,
) -> Option<Vec<K>> {
    let waiting = connections.into_iter();
    let mut waiting: Vec<_> = waiting
        .filter(|(_, state, _)| state.may_give_way(now))
        .collect();
    waiting.sort_by_key(|(_, state, _)| (!state.is_waiting(), state.since));
    let mut chosen = Vec::new();
    for (key, _, held) in waiting {
        if room.fits(bytes) {
            break;
        }
        room = room.without(held);
        chosen.push(key);
    }
    room.fits(bytes).then_some(chosen)
}
