//! The agent's task that orders the engine on its VM to load the configured model version.
//!
//! Before each order, the agent appends an intent to the target's stream of the platform's log; the
//! intent's offset is the order's fencing token. An engine that does not support load orders gets
//! none.

use std::{sync::Arc, time::Duration};

use ebonyfall_core::{
    doc::Workload,
    id::{Incarnation, Offset},
    name::{TargetName, VersionName},
    order::{Action, Event, Intent, ModelStatus, ModelVersion, Orders},
};
use ebonyfall_wire::{form::FormatError, order};
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::{sync::watch, time::timeout};

use crate::{
    clock::Clock,
    engine::{Backend, ModelAnswer},
    platform::{LogRecord, Platform, PlatformError},
    supervisor::{Supervisor, TaskName},
    view::Views,
};

/// Time between model status requests to an engine that runs the configured version.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time between model status requests to an engine that does not support load orders.
const UNMANAGED_RECHECK_INTERVAL: Duration = Duration::from_secs(30);
/// Largest number of records per read of the log.
const READ_BATCH_RECORDS: u32 = 500;

/// Error after which it is unknown whether an intent is on the log, or whether it is superseded.
#[derive(Debug, Snafu)]
enum IntentError {
    /// The intent could not be encoded.
    #[snafu(display("{source}"))]
    Encode {
        /// Why the encoder rejected the intent.
        source: FormatError,
    },
    /// The log refused the request or did not answer.
    #[snafu(display("{source}; the order is sent once the log is available"))]
    Log {
        /// Error of the append, or of the read that follows it.
        source: PlatformError,
    },
}

/// The engine's last known model status. `None` until the first status, and for an engine that does
/// not support load orders.
#[derive(Debug, Clone)]
pub struct LoadedModel(watch::Receiver<Option<ModelStatus>>);

impl LoadedModel {
    /// Whether the engine can serve requests for this version. True while the model status is
    /// `None`.
    pub fn can_serve(&self, version: &VersionName) -> bool {
        let status = self.0.borrow();
        let Some(status) = &*status else {
            return true;
        };
        let runs = status.runs.as_ref();
        status.loading.is_none() && runs.is_some_and(|runs| runs.version == *version)
    }
}

/// Task that brings the engine to the configured model version.
#[derive(Debug)]
pub struct ModelLoader {
    /// Name of the target, which selects the log stream and the document's section.
    pub target: TargetName,
    /// Incarnation of this agent process, which its intents carry.
    pub agent: Incarnation,
    /// Client of the engine.
    pub backend: Backend,
    /// Client of the platform's log, which holds the intents.
    pub platform: Platform,
    /// The configuration document in force; the task ends when its sender is dropped.
    pub views: Views,
    /// Clock that times retries and pauses.
    pub clock: Clock,
    /// Watches the task.
    pub supervisor: Supervisor,
    /// Logger of the process.
    pub log: Logger,
}

impl ModelLoader {
    /// Starts the task; the returned handle follows the engine's model status.
    pub fn start(self) -> LoadedModel {
        let (tx, rx) = watch::channel(None);
        let supervisor = self.supervisor.clone();
        supervisor.spawn(TaskName::ModelOrders, self.run(tx));
        LoadedModel(rx)
    }

    async fn run(mut self, loaded: watch::Sender<Option<ModelStatus>>) {
        let mut orders: Option<Orders> = None;
        loop {
            let Some((configuration, goal)) = self.desired_model() else {
                if self.views.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let orders = match &mut orders {
                Some(orders) => {
                    orders.set_goal(configuration, goal);
                    orders
                }
                None => orders.insert(Orders::new(self.agent, configuration, goal)),
            };
            let event = match orders.next_action(self.clock.now()) {
                Action::Wait(until) => {
                    if !self.wait_for_change(until.since(self.clock.now())).await {
                        return;
                    }
                    continue;
                }
                Action::Settled => {
                    if !self.wait_for_change(RECHECK_INTERVAL).await {
                        return;
                    }
                    orders.recheck();
                    continue;
                }
                Action::Read => match self.backend.model().await {
                    ModelAnswer::Status(status) => {
                        loaded.send_replace(Some(status.clone()));
                        Event::Read(status)
                    }
                    ModelAnswer::Unmanaged => {
                        loaded.send_replace(None);
                        if !self.wait_for_change(UNMANAGED_RECHECK_INTERVAL).await {
                            return;
                        }
                        Event::Lost
                    }
                    ModelAnswer::Unavailable => Event::Lost,
                },
                Action::Append(intent) => self.append_intent(&intent).await,
                Action::Send { goal, token } => self.send(&goal, token).await,
            };
            orders.on_event(event, self.clock.now());
        }
    }

    /// Returns the model version that the document in force sets for the target, and the document's
    /// offset. `None` without a document, and for a target that is a plain service or not listed.
    fn desired_model(&mut self) -> Option<(Offset, ModelVersion)> {
        let view: Arc<_> = self.views.borrow_and_update().clone()?;
        match &view.document.targets.get(&self.target)?.workload {
            Workload::Engine { model, version } => {
                let goal = ModelVersion {
                    model: model.clone(),
                    version: version.clone(),
                };
                Some((view.offset, goal))
            }
            Workload::Service(_) => None,
        }
    }

    /// Waits until the document changes, at most `longest`; false when the process is ending.
    async fn wait_for_change(&mut self, longest: Duration) -> bool {
        let changed = timeout(longest, self.views.changed()).await;
        changed.is_err() || changed.is_ok_and(|changed| changed.is_ok())
    }

    async fn append_intent(&self, intent: &Intent) -> Event {
        match self.append_and_compare(intent).await {
            Ok((offset, newer)) => {
                if let Some(newer) = newer {
                    warn!(self.log, "load order dropped: another agent has a newer intent";
                        "event" => "order_overtaken",
                        "target" => %self.target, "token" => %offset, "newer" => %newer);
                }
                Event::Appended { offset, newer }
            }
            Err(error) => {
                warn!(self.log, "load order postponed: its intent could not be logged";
                    "event" => "order_unfenced",
                    "target" => %self.target, "error" => %error);
                Event::Lost
            }
        }
    }

    /// Appends the intent and reads the stream. Returns the intent's offset, and the offset of the
    /// newest intent of another agent for a newer configuration, if there is one.
    async fn append_and_compare(
        &self,
        intent: &Intent,
    ) -> Result<(Offset, Option<Offset>), IntentError> {
        let stream = format!("orders-{}", self.target);
        let data = order::encode(intent).context(EncodeSnafu)?;
        let offset = self
            .platform
            .append(&stream, &data)
            .await
            .context(LogSnafu)?;
        let mut newer = None;
        let mut from = Offset::from(0);
        loop {
            let batch = match self.platform.read(&stream, from, READ_BATCH_RECORDS).await {
                Err(PlatformError::Expired { first }) => {
                    from = first;
                    continue;
                }
                batch => batch.context(LogSnafu)?,
            };
            let found = batch
                .records
                .iter()
                .filter(|record| self.is_newer(record, intent));
            newer = found.map(|record| record.offset).next_back().or(newer);
            from = batch.records.last().map_or(from, |last| last.offset.next());
            if from >= batch.next || batch.records.is_empty() {
                return Ok((offset, newer));
            }
        }
    }

    fn is_newer(&self, record: &LogRecord, intent: &Intent) -> bool {
        match order::decode(&record.data) {
            Ok(other) => other.agent != intent.agent && other.configuration > intent.configuration,
            Err(error) => {
                warn!(self.log, "undecodable intent on the log ignored"; "event" => "order_bad",
                    "target" => %self.target, "offset" => %record.offset, "error" => %error);
                false
            }
        }
    }

    async fn send(&self, goal: &ModelVersion, token: Offset) -> Event {
        let event = self.backend.load(goal, token).await;
        info!(self.log, "load order sent"; "event" => "order", "target" => %self.target,
            "goal" => %goal, "token" => %token, "outcome" => ?event);
        event
    }
}
