//! Agent daemon: admits routers' requests to the engine or service on its VM.

use std::{error::Error, process};

use ebonyfall::{agent, cli::AgentArgs, daemon, exit::ExitCode, settings};
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> process::ExitCode {
    daemon::report(run())
}

fn run() -> Result<ExitCode, Box<dyn Error>> {
    let args: AgentArgs = argh::from_env();
    let cfg = settings::agent(args.settings)?;
    let common = cfg.common.clone();
    daemon::run(&common, |stop, log| agent::run(cfg, stop, log))
}
