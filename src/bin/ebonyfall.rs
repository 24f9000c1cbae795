//! The operators' command line.

use std::{error::Error, fs, path::Path, process};

use ebonyfall::{
    cli::{Command, OperatorArgs},
    daemon,
    exit::ExitCode,
    operate::{self, Request},
    platform::Platform,
};
use ebonyfall_core::doc::Document;
use tokio::runtime::Builder;

fn main() -> process::ExitCode {
    daemon::report(run())
}

fn run() -> Result<ExitCode, Box<dyn Error>> {
    let args: OperatorArgs = argh::from_env();
    match args.command {
        Command::Check(args) => {
            let Some(document) = load(&args.file)? else {
                return Ok(ExitCode::Usage);
            };
            println!(
                "{}: no faults, {} targets",
                args.file.display(),
                document.targets.len()
            );
        }
        Command::Publish(args) => {
            let Some(document) = load(&args.file)? else {
                return Ok(ExitCode::Usage);
            };
            let platform = Platform::new(args.platform);
            let runtime = Builder::new_current_thread().enable_all().build()?;
            let file = args.file.display().to_string();
            let req = Request {
                file: &file,
                text: &document.text,
                author: "operator".parse()?,
                base: None,
                initial: false,
            };
            println!("{:?}", runtime.block_on(operate::publish(&platform, req))?);
        }
        Command::Dump(_) => return Ok(ExitCode::Usage),
    }
    Ok(ExitCode::Success)
}

fn load(path: &Path) -> Result<Option<Document>, Box<dyn Error>> {
    let text = fs::read_to_string(path)
        .map_err(|error| format!("cannot read {}: {error}", path.display()))?;
    match Document::parse(&path.display().to_string(), &text) {
        Ok(document) => Ok(Some(document)),
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            Ok(None)
        }
    }
}
