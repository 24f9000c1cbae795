//! Orders to a target: which version it shall load, fenced by offsets of the platform's log.
//!
//! Only the agent beside a target gives it orders. The agent appends its intent to the log first;
//! the record's offset is the fencing token. Some engines refuse an older token, others ignore it,
//! so that the agent reads back what the engine runs before and after each order, and drops its
//! order when a newer one is known.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    id::{Incarnation, Offset},
    name::{ModelName, VersionName},
    time::Time,
};

/// Time after which a step without a reply counts as lost.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// First pause after a failed step; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Longest pause after a failed step.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// What a target shall run.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{model}@{version}")]
pub struct ModelVersion {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: VersionName,
}

/// What an engine says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelStatus {
    /// What it runs, none while nothing is loaded.
    pub runs: Option<ModelVersion>,
    /// What it is loading.
    pub loading: Option<ModelVersion>,
    /// The highest fencing token that it remembers, zero if it keeps none.
    pub token: Offset,
    /// The engine's incarnation.
    pub incarnation: Incarnation,
}

/// An intent on the log, as every reader of the target's orders sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Offset of the configuration that asks for the goal.
    pub configuration: Offset,
    /// What the target shall run.
    pub goal: ModelVersion,
    /// The agent that gives the order.
    pub agent: Incarnation,
}

/// What the agent does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ask the engine what it runs.
    Read,
    /// Append the intent to the log and read the target's intents up to it.
    Append(Intent),
    /// Send the order with its fencing token.
    Send {
        /// What to load.
        goal: ModelVersion,
        /// The fencing token.
        token: Offset,
    },
    /// Nothing until the given time.
    Wait(Time),
    /// The engine runs what it shall.
    Settled,
}

/// How an action ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The engine said what it runs.
    Read(ModelStatus),
    /// The intent is on the log; `newer` is the newest other intent after it, if there is one.
    Appended {
        /// Offset of the intent.
        offset: Offset,
        /// A newer intent by another agent.
        newer: Option<Offset>,
    },
    /// The engine took the order.
    Accepted,
    /// The engine refused an old fencing token.
    Fenced,
    /// The engine asks to wait, since the weight store limits its rate.
    Busy {
        /// How long to wait.
        pause: Duration,
    },
    /// The step failed or its reply was lost; whether it took effect is not known.
    Lost,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// What the engine runs must be read.
    Reading,
    /// The goal needs an order and the intent is not on the log.
    Unfenced,
    /// The intent is on the log.
    Fenced(Offset),
    /// The order was sent and must be read back.
    Sent(Offset),
    /// Another agent has a newer intent; this one gives no order until the goal changes.
    Superseded,
    /// The engine runs the goal.
    Settled,
}

/// The orders of one agent to its target.
#[derive(Debug, Clone)]
pub struct Orders {
    agent: Incarnation,
    configuration: Offset,
    goal: ModelVersion,
    stage: Stage,
    requested_at: Option<Time>,
    /// When the stage was stage_since; a stage that is old by a pause of the process is not acted on.
    stage_since: Time,
    not_before: Time,
    backoff: Duration,
}

impl Orders {
    /// Starts with what the configuration at `configuration` asks for.
    pub fn new(agent: Incarnation, configuration: Offset, goal: ModelVersion) -> Self {
        Self {
            agent,
            configuration,
            goal,
            stage: Stage::Reading,
            requested_at: None,
            stage_since: Time::ZERO,
            not_before: Time::ZERO,
            backoff: MIN_BACKOFF,
        }
    }

    /// Takes a newer configuration; an older one is ignored.
    pub fn set_goal(&mut self, configuration: Offset, goal: ModelVersion) {
        if configuration <= self.configuration {
            return;
        }
        self.configuration = configuration;
        if goal != self.goal {
            self.goal = goal;
            self.restart();
        }
    }

    /// The version that the target shall run.
    pub fn goal(&self) -> &ModelVersion {
        &self.goal
    }

    /// What to do at `now`; the same action is given again only after its reply is overdue.
    pub fn next_action(&mut self, now: Time) -> Action {
        if now < self.not_before {
            return Action::Wait(self.not_before);
        }
        if let Some(requested_at) = self.requested_at {
            if now.since(requested_at) < REPLY_TIMEOUT {
                return Action::Wait(requested_at + REPLY_TIMEOUT);
            }
            self.restart();
        }
        // The process may have been paused before it acted, and another agent may have given a
        // newer order meanwhile.
        let is_write = matches!(self.stage, Stage::Unfenced | Stage::Fenced(_));
        if is_write && now.since(self.stage_since) >= REPLY_TIMEOUT {
            self.restart();
        }
        let action = match &self.stage {
            Stage::Settled => return Action::Settled,
            Stage::Superseded => return Action::Wait(now + MAX_BACKOFF),
            Stage::Reading | Stage::Sent(_) => Action::Read,
            Stage::Unfenced => Action::Append(Intent {
                configuration: self.configuration,
                goal: self.goal.clone(),
                agent: self.agent,
            }),
            Stage::Fenced(token) => Action::Send {
                goal: self.goal.clone(),
                token: *token,
            },
        };
        self.requested_at = Some(now);
        action
    }

    /// Takes the end of the last action.
    pub fn on_event(&mut self, event: Event, now: Time) {
        let Some(requested_at) = self.requested_at.take() else {
            return;
        };
        self.stage_since = now;
        if now.since(requested_at) >= REPLY_TIMEOUT {
            // A reply that comes after a pause may be older than what happened meanwhile.
            self.restart();
            return;
        }
        match (self.stage.clone(), event) {
            (_, Event::Lost) => self.back_off(now),
            (_, Event::Busy { pause }) => {
                self.restart();
                self.not_before = now + pause.min(MAX_BACKOFF);
            }
            (Stage::Reading, Event::Read(status)) => self.on_status(&status, None, now),
            (Stage::Sent(token), Event::Read(status)) => self.on_status(&status, Some(token), now),
            (Stage::Unfenced, Event::Appended { offset, newer }) => {
                self.stage = if newer.is_some() {
                    Stage::Superseded
                } else {
                    Stage::Fenced(offset)
                };
            }
            (Stage::Fenced(token), Event::Accepted) => self.stage = Stage::Sent(token),
            (Stage::Fenced(_), Event::Fenced) => self.stage = Stage::Superseded,
            // A reply that does not belong to the stage is one that was overtaken.
            _ => self.restart(),
        }
    }

    /// Looks at the engine anew, for example after it restarted or a while has passed.
    pub fn recheck(&mut self) {
        if self.stage == Stage::Settled {
            self.restart();
        }
    }

    fn on_status(&mut self, status: &ModelStatus, sent: Option<Offset>, now: Time) {
        self.backoff = MIN_BACKOFF;
        let loading = status.loading.as_ref() == Some(&self.goal);
        if status.loading.is_none() && status.runs.as_ref() == Some(&self.goal) {
            self.stage = Stage::Settled;
        } else if loading {
            self.stage = Stage::Reading;
            self.not_before = now + MIN_BACKOFF;
        } else if sent.is_some_and(|token| status.token > token) {
            self.stage = Stage::Superseded;
        } else {
            self.stage = Stage::Unfenced;
        }
    }

    fn back_off(&mut self, now: Time) {
        self.restart();
        self.not_before = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    fn restart(&mut self) {
        self.stage = Stage::Reading;
        self.requested_at = None;
    }
}

/// The latest time, in seconds since the Unix epoch, at which a target must start to load so that
/// all `targets` of a move are ready at `due`, when the weight store lets `max_concurrent` of them load
/// for `load` each. Targets load in the order of `position`.
pub fn load_start(
    due: u64,
    load_time: Duration,
    targets: u32,
    max_concurrent: u32,
    position: u32,
) -> u64 {
    let rounds = targets.div_ceil(max_concurrent.max(1));
    let round = position / max_concurrent.max(1);
    let rounds_left = u64::from(rounds.saturating_sub(round));
    due.saturating_sub(rounds_left * load_time.as_secs())
}
