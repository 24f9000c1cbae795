//! The task that owns placement and the loads learnt from answers.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use ebonyfall_core::{
    code::Code,
    doc::Runs,
    id::ChatId,
    member::Observation,
    name::{TargetName, VersionName},
    place::{Candidate, Table},
    standing::Standing,
};
use ebonyfall_wire::frame::Load;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    gossip::Gossip,
    view::{Pool, View, Views},
};

/// Messages that may wait for the task.
const QUEUE_LEN: usize = 4096;

/// The target chosen for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetName,
    /// Where its agent listens.
    pub agent: SocketAddr,
    /// The version that it runs, for engines.
    pub version: Option<VersionName>,
}

/// State of the task, for the dump.
#[derive(Debug, Default, Serialize)]
pub struct PickerDump {
    /// Offset of the configuration in force.
    pub configuration: u64,
    /// Running requests by target, as last heard.
    pub running: BTreeMap<String, u32>,
}

#[derive(Debug)]
enum Ask {
    Choose {
        pool: Pool,
        chat: ChatId,
        tried: Vec<TargetName>,
        reply: oneshot::Sender<Result<Choice, Code>>,
    },
    Heard {
        target: TargetName,
        load: Load,
    },
    Dump {
        reply: oneshot::Sender<PickerDump>,
    },
}

/// Chooses targets.
#[derive(Debug, Clone)]
pub struct Picker {
    tx: mpsc::Sender<Ask>,
    gossip: Gossip,
}

impl Picker {
    /// Starts the task; it ends when the last handle is dropped.
    pub fn start(views: Views, gossip: Gossip) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let state = State {
            views,
            standing: gossip.standing(),
            tables: HashMap::new(),
            view: None,
            loads: HashMap::new(),
        };
        tokio::spawn(run(state, rx));
        Self { tx, gossip }
    }

    /// Chooses a target of `pool` for `chat` that is not among `tried`.
    ///
    /// # Errors
    ///
    /// Fails with the code that the caller gets.
    pub async fn choose(
        &self,
        pool: Pool,
        chat: ChatId,
        tried: Vec<TargetName>,
    ) -> Result<Choice, Code> {
        let (reply, answer) = oneshot::channel();
        let ask = Ask::Choose {
            pool,
            chat,
            tried,
            reply,
        };
        self.tx
            .send(ask)
            .await
            .map_err(|_ended| Code::ShuttingDown)?;
        answer.await.map_err(|_ended| Code::ShuttingDown)?
    }

    /// Reports the load that came with an answer.
    pub async fn heard(&self, target: TargetName, load: Load) {
        self.gossip.observe(&target, Observation::Answered);
        let _ended = self.tx.send(Ask::Heard { target, load }).await;
    }

    /// Reports that a connection to the target's agent failed.
    pub fn link_failed(&self, target: &TargetName) {
        self.gossip.observe(target, Observation::LinkFailed);
    }

    /// The task's state.
    pub async fn dump(&self) -> PickerDump {
        let (reply, answer) = oneshot::channel();
        let _ended = self.tx.send(Ask::Dump { reply }).await;
        answer.await.unwrap_or_default()
    }
}

struct State {
    views: Views,
    standing: watch::Receiver<Arc<Standing>>,
    view: Option<Arc<View>>,
    tables: HashMap<Pool, Table>,
    loads: HashMap<TargetName, Load>,
}

async fn run(mut state: State, mut rx: mpsc::Receiver<Ask>) {
    while let Some(ask) = rx.recv().await {
        state.refresh();
        match ask {
            Ask::Choose {
                pool,
                chat,
                tried,
                reply,
            } => {
                let _caller_gone = reply.send(state.choose(&pool, chat, &tried));
            }
            Ask::Heard { target, load } => {
                state.loads.insert(target, load);
            }
            Ask::Dump { reply } => {
                let _caller_gone = reply.send(state.dump());
            }
        }
    }
}

impl State {
    fn refresh(&mut self) {
        if self.view.is_none() || self.views.has_changed().unwrap_or(false) {
            self.view.clone_from(&self.views.borrow_and_update());
            self.tables.clear();
        }
    }

    fn choose(&mut self, pool: &Pool, chat: ChatId, tried: &[TargetName]) -> Result<Choice, Code> {
        let Some(view) = &self.view else {
            return Err(Code::NoTarget);
        };
        let table = self
            .tables
            .entry(pool.clone())
            .or_insert_with(|| table(view, pool));
        let ranked = table.rank(chat);
        let fresh = ranked.into_iter().filter(|name| !tried.contains(name));
        let name = self.standing.borrow().prefer(fresh);
        let name = name.ok_or(if tried.is_empty() {
            Code::NoTarget
        } else {
            Code::Overloaded
        })?;
        let target = &view.document.targets[name];
        let version = match &target.runs {
            Runs::Engine { version, .. } => Some(version.clone()),
            Runs::Service(_) => None,
        };
        Ok(Choice {
            target: name.clone(),
            agent: target.agent,
            version,
        })
    }

    fn dump(&self) -> PickerDump {
        let running = self.loads.iter();
        PickerDump {
            configuration: self.view.as_ref().map_or(0, |view| view.offset.into()),
            running: running
                .map(|(name, load)| (name.to_string(), load.running))
                .collect(),
        }
    }
}

fn table(view: &View, pool: &Pool) -> Table {
    let targets = view.document.targets.iter();
    Table::new(
        targets
            .filter(|(_, target)| pool.contains(&target.runs))
            .map(|(name, target)| Candidate {
                name: name.clone(),
                weight: f64::from(target.slots),
            }),
    )
}
