//! Runs a small deployment on loopback until interrupted, for manual use of the API.

use std::{error::Error, fmt::Write, path::PathBuf};

use argh::FromArgs;
use ebonyfall_standin::{
    deploy::{Deployment, OPERATOR_TOKEN, Plan, TEAM_KEY},
    engine::EngineConfig,
};
use tempfile::TempDir;
use tokio::signal::unix::{SignalKind, signal};

use crate::demo;

/// Starts a small deployment on loopback and keeps it running until it is interrupted.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "up")]
pub struct UpArgs {
    /// model engines, 6 by default
    #[argh(option, default = "6")]
    engines: u32,
}

/// A running deployment; dropping it ends its processes.
#[derive(Debug)]
pub struct Up {
    deployment: Deployment,
    _folder: TempDir,
}

impl Up {
    /// Starts the daemons from the folder `programs`, with `engines` model engines.
    ///
    /// # Errors
    ///
    /// Fails when the deployment cannot be started.
    pub async fn start(programs: PathBuf, engines: u32) -> Result<Self, Box<dyn Error>> {
        let folder = tempfile::tempdir()?;
        let plan = Plan {
            engines,
            ..demo::plan(programs, folder.path(), EngineConfig::default())
        };
        Ok(Self {
            deployment: Deployment::start(&plan).await?,
            _folder: folder,
        })
    }

    /// Returns the addresses, keys and an example call as text.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        for router in &self.deployment.routers {
            let _infallible = writeln!(
                text,
                "router {} at http://{}/v1, state at http://{}",
                router.name, router.listen, router.admin
            );
        }
        let _infallible = writeln!(text, "key {TEAM_KEY}, operators' token {OPERATOR_TOKEN}");
        if let Some(router) = self.deployment.routers.first() {
            let _infallible = writeln!(
                text,
                "\ncurl -N http://{}/v1/chat/completions -H 'authorization: Bearer {TEAM_KEY}' \
                 -H 'content-type: application/json' -d '{}'",
                router.listen, EXAMPLE
            );
        }
        text
    }
}

/// JSON body of the example call.
pub const EXAMPLE: &str = r#"{"model":"labels","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"A call number for a book on whales"}]}"#;

/// Runs the deployment until the process receives SIGINT or SIGTERM.
///
/// # Errors
///
/// Fails when the deployment cannot be started.
pub async fn run(args: UpArgs) -> Result<bool, Box<dyn Error>> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let up = Up::start(demo::programs()?, args.engines).await?;
    println!("{}\nend it with Ctrl-C", up.describe());
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(true)
}
