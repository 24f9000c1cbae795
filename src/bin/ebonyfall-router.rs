//! Router daemon: routes callers' requests to targets through their agents.

use std::{error::Error, process};

use ebonyfall::{cli::RouterArgs, daemon, exit::ExitCode, router, settings};
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> process::ExitCode {
    daemon::report(run())
}

fn run() -> Result<ExitCode, Box<dyn Error>> {
    let args: RouterArgs = argh::from_env();
    let cfg = settings::router(args.settings)?;
    let common = cfg.common.clone();
    daemon::run(&common, |stop, log| router::run(cfg, stop, log))
}
