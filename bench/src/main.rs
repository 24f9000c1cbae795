//! Command line of the demo, load tool, soak test and measurements.

use std::{error::Error, process::ExitCode};

use argh::FromArgs;
use ebonyfall_bench::{
    admit, claims, config, demo, entry, fit, gossip, load, moves, place, soak, steer, up,
};
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
    Claims(claims::ClaimsArgs),
    Config(config::ConfigArgs),
    Demo(demo::DemoArgs),
    Entry(entry::EntryArgs),
    Gossip(gossip::GossipArgs),
    Fit(fit::FitArgs),
    Moves(moves::MovesArgs),
    Place(place::PlaceArgs),
    Admit(admit::AdmitArgs),
    Load(load::LoadArgs),
    Soak(soak::SoakArgs),
    Steer(steer::SteerArgs),
    Up(up::UpArgs),
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
    let passed = match args.command {
        Command::Claims(args) => runtime.block_on(claims::run(args))?,
        Command::Config(args) => runtime.block_on(config::run(args))?,
        Command::Demo(args) => runtime.block_on(demo::run(args))?,
        Command::Entry(args) => runtime.block_on(entry::run(args))?,
        Command::Gossip(args) => runtime.block_on(gossip::run(args))?,
        Command::Fit(args) => fit::run(&args)?,
        Command::Moves(args) => moves::run(&args)?,
        Command::Place(args) => place::run(&args)?,
        Command::Admit(args) => admit::run(&args)?,
        Command::Load(args) => runtime.block_on(load::run(args))?,
        Command::Soak(args) => runtime.block_on(soak::run(args))?,
        Command::Steer(args) => steer::run(&args)?,
        Command::Up(args) => runtime.block_on(up::run(args))?,
    };
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
