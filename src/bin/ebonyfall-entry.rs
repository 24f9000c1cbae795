//! The router daemon of an entry VM whose targets register themselves.

use std::{env, error::Error, path::PathBuf, process};

use ebonyfall::{
    cli::EntryArgs,
    daemon, entry,
    exit::ExitCode,
    logs::{self, Format},
    settings,
};

/// Names the settings file where the command line does not.
const SETTINGS_VARIABLE: &str = "EBONYFALL_CONFIG";

fn main() -> process::ExitCode {
    daemon::report(run())
}

fn run() -> Result<ExitCode, Box<dyn Error>> {
    let args: EntryArgs = argh::from_env();
    let path = args
        .settings
        .or_else(|| env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or("give --settings FILE or set EBONYFALL_CONFIG")?;
    let cfg = settings::entry(&path)?;
    if args.check {
        return Ok(ExitCode::Success);
    }
    let log = logs::logger(Format::Json, cfg.log_levels.clone());
    daemon::run_single_threaded(log, |stop, log| entry::run(cfg, path, stop, log))
}
