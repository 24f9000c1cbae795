//! Command lines of the programs.

use std::path::PathBuf;

use argh::FromArgs;

/// Routes callers' requests to targets.
#[derive(Debug, FromArgs)]
pub struct RouterArgs {
    /// the process's settings, an INI file
    #[argh(option)]
    pub settings: PathBuf,
}

/// Admits routers' requests to the target on this VM.
#[derive(Debug, FromArgs)]
pub struct AgentArgs {
    /// the process's settings, an INI file
    #[argh(option)]
    pub settings: PathBuf,
}

/// Operates an ebonyfall fleet.
#[derive(Debug, FromArgs)]
pub struct OperatorArgs {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What the operator asks for.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Check a document.
    Check(CheckArgs),
    /// Publish a document.
    Publish(PublishArgs),
    /// Print a process's state.
    Dump(DumpArgs),
}

/// Checks a document without starting anything.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// the document
    #[argh(positional)]
    pub file: PathBuf,
}

/// Publishes a document on the platform's log.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct PublishArgs {
    /// base URL of the platform
    #[argh(option)]
    pub platform: String,
    /// the document
    #[argh(positional)]
    pub file: PathBuf,
}

/// Prints the state of a running process.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump")]
pub struct DumpArgs {
    /// admin address of the process
    #[argh(option)]
    pub admin: String,
    /// file that holds the operators' token
    #[argh(option)]
    pub token_file: PathBuf,
}
