//! The agent's task that has the engine on its VM load what the document says.
//!
//! An intent on the target's stream of the platform's log comes before each order, and its offset is
//! the order's fencing token. An engine that takes no orders is left alone.

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
    platform::{Platform, PlatformError, Record},
    view::Views,
};

/// Time between two looks at an engine that runs what it shall.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two looks at an engine that takes no orders.
const UNMANAGED_RECHECK_INTERVAL: Duration = Duration::from_secs(30);
/// Records of a stream that are read at once.
const READ_BATCH_RECORDS: u32 = 500;

/// An intent is not known to be on the log.
#[derive(Debug, Snafu)]
enum IntentError {
    /// It cannot be encoded.
    #[snafu(display("{source}"))]
    Encode {
        /// What is wrong.
        source: FormatError,
    },
    /// The log does not answer.
    #[snafu(display("{source}; the order is given when the log is back"))]
    Log {
        /// The platform's error.
        source: PlatformError,
    },
}

/// What the engine is known to run, none for one that takes no orders.
#[derive(Debug, Clone)]
pub struct LoadedModel(watch::Receiver<Option<ModelStatus>>);

impl LoadedModel {
    /// Whether requests for this version may go to the engine.
    pub fn can_serve(&self, version: &VersionName) -> bool {
        let status = self.0.borrow();
        let Some(status) = &*status else {
            return true;
        };
        let runs = status.runs.as_ref();
        status.loading.is_none() && runs.is_some_and(|runs| runs.version == *version)
    }
}

/// What the task needs.
#[derive(Debug)]
pub struct ModelLoader {
    /// The target.
    pub target: TargetName,
    /// The agent's own life.
    pub agent: Incarnation,
    /// The engine.
    pub backend: Backend,
    /// Where the intents lie.
    pub platform: Platform,
    /// The document in force.
    pub views: Views,
    /// The process's clock.
    pub clock: Clock,
    /// The process's log.
    pub log: Logger,
}

impl ModelLoader {
    /// Starts the task; it ends with the views.
    pub fn start(self) -> LoadedModel {
        let (tx, rx) = watch::channel(None);
        tokio::spawn(self.run(tx));
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

    /// What the document in force has the target run.
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

    /// Waits, at most until the document changes; false when the process ends.
    async fn wait_for_change(&mut self, longest: Duration) -> bool {
        let changed = timeout(longest, self.views.changed()).await;
        changed.is_err() || changed.is_ok_and(|changed| changed.is_ok())
    }

    async fn append_intent(&self, intent: &Intent) -> Event {
        match self.append_and_compare(intent).await {
            Ok((offset, newer)) => {
                if let Some(newer) = newer {
                    warn!(self.log, "order dropped for a newer one"; "event" => "order_overtaken",
                        "target" => %self.target, "token" => %offset, "newer" => %newer);
                }
                Event::Appended { offset, newer }
            }
            Err(error) => {
                warn!(self.log, "order not on the log"; "event" => "order_unfenced",
                    "target" => %self.target, "error" => %error);
                Event::Lost
            }
        }
    }

    /// Appends the intent; returns its offset and the newest one of another agent for a newer
    /// configuration.
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

    fn is_newer(&self, record: &Record, intent: &Intent) -> bool {
        match order::decode(&record.data) {
            Ok(other) => other.agent != intent.agent && other.configuration > intent.configuration,
            Err(error) => {
                warn!(self.log, "order on the log ignored"; "event" => "order_bad",
                    "target" => %self.target, "offset" => %record.offset, "error" => %error);
                false
            }
        }
    }

    async fn send(&self, goal: &ModelVersion, token: Offset) -> Event {
        let event = self.backend.load(goal, token).await;
        info!(self.log, "order given"; "event" => "order", "target" => %self.target,
            "goal" => %goal, "token" => %token, "outcome" => ?event);
        event
    }
}
