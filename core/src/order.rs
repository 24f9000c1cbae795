//! Load orders from an agent to its target's engine, fenced by offsets of the platform's log.
//!
//! Only the agent beside a target sends it load orders. The agent first appends its intent to the
//! log; the record's offset is the fencing token. Some engines refuse an older token, others ignore
//! tokens. The agent therefore reads the engine's status before and after each order, and drops an
//! order when the log has a newer one.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    id::{Incarnation, Offset},
    name::{ModelName, VersionName},
    time::Time,
};

/// Time-out of an action; without a result by then, the sequence restarts with a read.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Initial backoff after a failed action; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum backoff after a failed action.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// A model in a version, as a target runs it or is to run it.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{model}@{version}")]
pub struct ModelVersion {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
}

/// Model status as an engine reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelStatus {
    /// Model that is loaded, `None` if there is none.
    pub runs: Option<ModelVersion>,
    /// Model that is being loaded, `None` if there is none.
    pub loading: Option<ModelVersion>,
    /// Highest fencing token that the engine has accepted, zero if it does not store tokens.
    pub token: Offset,
    /// Incarnation of the engine; a restart changes it.
    pub incarnation: Incarnation,
}

/// Record in the target's order log, appended before the order is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Offset of the configuration that specifies the goal.
    pub configuration: Offset,
    /// Model and version that the target is to run.
    pub goal: ModelVersion,
    /// Incarnation of the agent that sends the order.
    pub agent: Incarnation,
}

/// Next action of the agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Request the engine's model status.
    Read,
    /// Append the intent to the log, then read the target's intents at least up to it.
    Append(Intent),
    /// Send the order with its fencing token.
    Send {
        /// Model and version to load.
        goal: ModelVersion,
        /// Fencing token: the offset of the order's intent.
        token: Offset,
    },
    /// Do nothing until the given time.
    Wait(Time),
    /// Do nothing; the engine runs the goal.
    Settled,
}

/// Result of an action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The engine reported its model status.
    Read(ModelStatus),
    /// The intent was appended to the log.
    Appended {
        /// Offset of the appended intent.
        offset: Offset,
        /// Offset of the newest intent of another agent for a newer configuration, if there is one.
        newer: Option<Offset>,
    },
    /// The engine accepted the order.
    Accepted,
    /// The engine refused the order because it knows a higher fencing token.
    Fenced,
    /// The engine postponed the order because the weight store limits its rate.
    Busy {
        /// Time to wait before the next action.
        pause: Duration,
    },
    /// The action failed or its reply was lost; whether it took effect is unknown.
    Lost,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum OrderStage {
    /// The engine's status must be read.
    Reading,
    /// An order is needed, and its intent is not on the log yet.
    Unfenced,
    /// The intent is on the log at this offset, and the order can be sent.
    Fenced(Offset),
    /// The order was sent with this token; the engine's status must be read to confirm it.
    Sent(Offset),
    /// Another agent has a newer intent; this agent sends no order until its goal changes.
    Superseded,
    /// The engine runs the goal.
    Settled,
}

/// State machine that brings one target to its goal.
#[derive(Debug, Clone)]
pub struct Orders {
    agent: Incarnation,
    configuration: Offset,
    goal: ModelVersion,
    stage: OrderStage,
    requested_at: Option<Time>,
    /// Time at which the stage was entered. A stage that became stale while the process was paused
    /// is not acted on.
    stage_since: Time,
    not_before: Time,
    backoff: Duration,
}

impl Orders {
    /// Starts with the goal of the configuration at offset `configuration`.
    pub fn new(agent: Incarnation, configuration: Offset, goal: ModelVersion) -> Self {
        Self {
            agent,
            configuration,
            goal,
            stage: OrderStage::Reading,
            requested_at: None,
            stage_since: Time::ZERO,
            not_before: Time::ZERO,
            backoff: MIN_BACKOFF,
        }
    }

    /// Sets the goal of a newer configuration; an older configuration is ignored.
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

    /// Model and version that the target is to run.
    pub fn goal(&self) -> &ModelVersion {
        &self.goal
    }

    /// Returns the action to start at `now`. While an action is pending, this is `Wait` until its
    /// time-out.
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
        // If the process was paused before this action, another agent may have sent a newer order
        // in the meantime.
        let is_write = matches!(self.stage, OrderStage::Unfenced | OrderStage::Fenced(_));
        if is_write && now.since(self.stage_since) >= REPLY_TIMEOUT {
            self.restart();
        }
        let action = match &self.stage {
            OrderStage::Settled => return Action::Settled,
            OrderStage::Superseded => return Action::Wait(now + MAX_BACKOFF),
            OrderStage::Reading | OrderStage::Sent(_) => Action::Read,
            OrderStage::Unfenced => Action::Append(Intent {
                configuration: self.configuration,
                goal: self.goal.clone(),
                agent: self.agent,
            }),
            OrderStage::Fenced(token) => Action::Send {
                goal: self.goal.clone(),
                token: *token,
            },
        };
        self.requested_at = Some(now);
        action
    }

    /// Handles the result of the pending action; without a pending action it is ignored.
    pub fn on_event(&mut self, event: Event, now: Time) {
        let Some(requested_at) = self.requested_at.take() else {
            return;
        };
        self.stage_since = now;
        if now.since(requested_at) >= REPLY_TIMEOUT {
            // A reply that is handled only after a pause of the process may be out of date.
            self.restart();
            return;
        }
        match (self.stage.clone(), event) {
            (_, Event::Lost) => self.back_off(now),
            (_, Event::Busy { pause }) => {
                self.restart();
                self.not_before = now + pause.min(MAX_BACKOFF);
            }
            (OrderStage::Reading, Event::Read(status)) => self.on_status(&status, None, now),
            (OrderStage::Sent(token), Event::Read(status)) => {
                self.on_status(&status, Some(token), now);
            }
            (OrderStage::Unfenced, Event::Appended { offset, newer }) => {
                self.stage = if newer.is_some() {
                    OrderStage::Superseded
                } else {
                    OrderStage::Fenced(offset)
                };
            }
            (OrderStage::Fenced(token), Event::Accepted) => self.stage = OrderStage::Sent(token),
            (OrderStage::Fenced(_), Event::Fenced) => self.stage = OrderStage::Superseded,
            // A reply that does not fit the stage belongs to an earlier one.
            _ => self.restart(),
        }
    }

    /// Reads the engine's status again if it was settled. The agent calls this periodically, since
    /// the engine may have restarted.
    pub fn recheck(&mut self) {
        if self.stage == OrderStage::Settled {
            self.restart();
        }
    }

    fn on_status(&mut self, status: &ModelStatus, sent: Option<Offset>, now: Time) {
        self.backoff = MIN_BACKOFF;
        let loading = status.loading.as_ref() == Some(&self.goal);
        if status.loading.is_none() && status.runs.as_ref() == Some(&self.goal) {
            self.stage = OrderStage::Settled;
        } else if loading {
            self.stage = OrderStage::Reading;
            self.not_before = now + MIN_BACKOFF;
        } else if sent.is_some_and(|token| status.token > token) {
            self.stage = OrderStage::Superseded;
        } else {
            self.stage = OrderStage::Unfenced;
        }
    }

    fn back_off(&mut self, now: Time) {
        self.restart();
        self.not_before = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    fn restart(&mut self) {
        self.stage = OrderStage::Reading;
        self.requested_at = None;
    }
}

/// Latest time, in seconds since the Unix epoch, at which a target must start to load so that all
/// `targets` of a move are ready at `due`. The weight store allows `max_concurrent` loads at a
/// time, each of which takes `load_time`; targets load in the order of `position`.
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
