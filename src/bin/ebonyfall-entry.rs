//! Router daemon of an entry VM: routes callers' requests to targets that register themselves.

use std::{env, error::Error, path::PathBuf, process};

use ebonyfall::{
    cli::EntryArgs,
    daemon, entry,
    exit::ExitCode,
    logs::{self, Format},
    settings,
};

/// Environment variable with the path of the settings file, read if `--settings` is not given.
const SETTINGS_VARIABLE: &str = "EBONYFALL_CONFIG";

fn main() -> process::ExitCode {
    daemon::report(run())
}

fn run() -> Result<ExitCode, Box<dyn Error>> {
    let args: EntryArgs = argh::from_env();
    let path = args
        .settings
        .or_else(|| env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or("no settings file; give --settings FILE or set EBONYFALL_CONFIG")?;
    let cfg = settings::entry(&path)?;
    if args.check {
        return Ok(ExitCode::Success);
    }
    let log = logs::logger(Format::Json, cfg.log_levels.clone());
    daemon::run_single_threaded(log, |stop, log| entry::run(cfg, path, stop, log))
}
