//! Demo, load tool and measurements.

use std::{error::Error, process::ExitCode};

use argh::FromArgs;
use ebonyfall_bench::{demo, gossip};
use tokio::runtime::Builder;

/// Measures an ebonyfall fleet.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(demo::DemoArgs),
    Gossip(gossip::GossipArgs),
}

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<ExitCode, Box<dyn Error>> {
    let args: Args = argh::from_env();
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    let held = match args.command {
        Command::Demo(args) => runtime.block_on(demo::run(args))?,
        Command::Gossip(args) => runtime.block_on(gossip::run(args))?,
    };
    Ok(if held {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
