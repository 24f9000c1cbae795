//! Demo that sends returning chats and orders to a small deployment on loopback.

use std::{
    error::Error,
    path::{Path, PathBuf},
    sync::Arc,
};

use argh::FromArgs;
use ebonyfall_standin::{
    deploy::{Deployment, Plan},
    engine::EngineConfig,
    log::LogLimits,
};
use serde::Serialize;
use tokio::{sync::mpsc, task::JoinSet};
use uuid::Uuid;

use crate::client::{Caller, Outcome, messages};

/// Tokens of each answer.
const ANSWER_TOKENS: u32 = 12;

/// Starts a small deployment on loopback, serves chats and orders, and checks every answer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArgs {
    /// chats, 200 by default
    #[argh(option, default = "200")]
    chats: u64,
    /// turns of each chat, 4 by default
    #[argh(option, default = "4")]
    turns: u32,
    /// orders, 50 by default
    #[argh(option, default = "50")]
    orders: u32,
    /// callers at once, 32 by default
    #[argh(option, default = "32")]
    callers: u64,
}

/// The printed counts.
#[derive(Debug, Default, Serialize)]
struct Report {
    requests: u64,
    whole_answers: u64,
    wrong_answers: u64,
    cut_streams: u64,
    refused: u64,
    /// Chat turns after the first.
    returning: u64,
    returning_cached: u64,
    orders: u64,
    /// Orders that ran more than once.
    doubled: u64,
    /// Orders that no service ran.
    lost_orders: u64,
}

/// Plan of two routers, six model engines and two plain services in three zones.
pub fn plan(programs: PathBuf, folder: &Path, engine: EngineConfig) -> Plan {
    Plan {
        new_engines: (0, engine.clone()),
        programs,
        folder: folder.to_owned(),
        zones: ["hobart-a", "glenorchy-b", "kingston-c"]
            .map(str::to_owned)
            .to_vec(),
        engines: 6,
        services: 2,
        routers: 2,
        engine,
        log: LogLimits::default(),
        document: String::new(),
        router_settings: String::new(),
    }
}

/// Runs the demo and prints its report as JSON; returns false if an answer was wrong or
/// interrupted, or if an order was lost or ran more than once.
///
/// # Errors
///
/// Fails when the deployment cannot be started.
pub async fn run(args: DemoArgs) -> Result<bool, Box<dyn Error>> {
    let folder = tempfile::tempdir()?;
    let plan = plan(programs()?, folder.path(), EngineConfig::default());
    let deployment = Deployment::start(&plan).await?;
    let routers: Arc<[_]> = deployment
        .routers
        .iter()
        .map(|router| Caller::new(router.listen))
        .collect();
    let (tx, mut rx) = mpsc::channel(1024);
    let mut tasks = JoinSet::new();
    for caller in 0..args.callers {
        let (routers, tx) = (Arc::clone(&routers), tx.clone());
        let chats = (0..args.chats).filter(move |chat| chat % args.callers == caller);
        tasks.spawn(async move {
            for chat in chats {
                for turn in 0..args.turns {
                    // Each turn uses the next router, as behind the platform's load balancer.
                    let index = usize::try_from(chat + u64::from(turn)).unwrap_or(0);
                    let router = &routers[index % routers.len()];
                    let messages = messages(chat, turn, ANSWER_TOKENS);
                    let (outcome, _) = router.chat(&messages, ANSWER_TOKENS, chat % 2 == 0).await;
                    let _receiver_lives = tx.send((outcome, turn > 0)).await;
                }
            }
        });
    }
    drop(tx);
    let mut report = Report::default();
    while let Some((outcome, returning)) = rx.recv().await {
        report.count(outcome, returning);
    }
    for order in 0..args.orders {
        let router = &routers[order as usize % routers.len()];
        let key = Uuid::now_v7().to_string();
        let outcome = router.order(&format!("item-{order}"), Some(&key)).await;
        report.count(outcome, false);
    }
    report.orders = u64::from(args.orders);
    let mut ran = 0;
    for (service, _) in &deployment.services {
        for count in service.orders().await.into_values() {
            ran += 1;
            report.doubled += u64::from(count > 1);
        }
    }
    report.lost_orders = report.orders.saturating_sub(ran);
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(report.wrong_answers + report.cut_streams + report.doubled + report.lost_orders == 0)
}

impl Report {
    fn count(&mut self, outcome: Outcome, returning: bool) {
        self.requests += 1;
        self.returning += u64::from(returning);
        match outcome {
            Outcome::Completed { cached } => {
                self.whole_answers += 1;
                self.returning_cached += u64::from(returning && cached);
            }
            Outcome::WrongAnswer => self.wrong_answers += 1,
            Outcome::Interrupted => self.cut_streams += 1,
            Outcome::Refused(_) | Outcome::NotConnected => self.refused += 1,
        }
    }
}

/// Folder of this executable, which also contains the daemons' executables.
///
/// # Errors
///
/// Fails when the path of the running executable is unavailable.
pub fn programs() -> Result<PathBuf, Box<dyn Error>> {
    let own = std::env::current_exe()?;
    Ok(own
        .parent()
        .ok_or("the path of the running executable has no parent folder")?
        .to_owned())
}
