//! Command-line arguments of the programs.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use ebonyfall_core::name::OperatorName;

/// Routes callers' requests to targets.
#[derive(Debug, FromArgs)]
pub struct RouterArgs {
    /// settings file of the process, in INI format
    #[argh(option)]
    pub settings: PathBuf,
}

/// Routes callers' requests on an entry VM directly to targets that register themselves.
#[derive(Debug, FromArgs)]
pub struct EntryArgs {
    /// settings file of the process, in INI format; by default the file named in the environment
    /// variable `EBONYFALL_CONFIG`
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// check the settings, print every fault and exit
    #[argh(switch)]
    pub check: bool,
}

/// Controls admission of routers' requests to the target on this VM.
#[derive(Debug, FromArgs)]
pub struct AgentArgs {
    /// settings file of the process, in INI format
    #[argh(option)]
    pub settings: PathBuf,
}

/// Operates an ebonyfall fleet.
#[derive(Debug, FromArgs)]
pub struct OperatorArgs {
    /// settings file of this program, in INI format, with one `[operator]` section (keys name,
    /// platform, token-file, processes); options take precedence
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// base URL of the platform, whose log holds the configuration
    #[argh(option)]
    pub platform: Option<String>,
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Subcommand of `ebonyfall`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Checks a document or a desired state of entry routers.
    Check(CheckArgs),
    /// Compares a document with the one in force.
    Diff(DiffArgs),
    /// Publishes a document on the platform's log.
    Publish(PublishArgs),
    /// Merges the document of one environment into that of another.
    Promote(PromoteArgs),
    /// Prints a summary of the fleet's state.
    Status(StatusArgs),
    /// Prints the published changes, or the document in force.
    History(HistoryArgs),
    /// Prints the state of one process as JSON.
    Dump(DumpArgs),
    /// Prints the log lines of one request.
    Explain(ExplainArgs),
    /// Prints the state of usage reports at one entry router.
    Usage(UsageArgs),
}

/// Prints who reports usage, what is open, and the last reports, as one entry router knows them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "usage")]
pub struct UsageArgs {
    /// metrics address of the entry router
    #[argh(positional)]
    pub address: SocketAddr,
}

/// Prints the log lines of all processes that name one request, ordered by time.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,
    /// id of the request
    #[argh(positional)]
    pub request: String,
    /// log files; standard input by default
    #[argh(positional)]
    pub logs: Vec<PathBuf>,
}

/// Checks a document, or a desired state of entry routers, without starting anything.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// file with a document, or with a desired state as JSON
    #[argh(positional)]
    pub file: PathBuf,
}

/// Prints how a document differs from the one in force, and the offset to publish it with.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// file with the document
    #[argh(positional)]
    pub file: PathBuf,
}

/// Publishes a document on the platform's log and reads it back to confirm it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct PublishArgs {
    /// name of the operator, recorded with the change
    #[argh(option)]
    pub operator: Option<OperatorName>,
    /// offset that the change is based on, as printed by diff; publishing fails with a conflict if
    /// another one is in force
    #[argh(option)]
    pub base: Option<u64>,
    /// publish to a log that has dropped its configuration
    #[argh(switch)]
    pub initial: bool,
    /// file with the document
    #[argh(positional)]
    pub file: PathBuf,
}

/// Promotes a document: prints the second one with the models, routes, limits, moves and teams of
/// the first one; zones, targets and secrets of the second one's environment are kept.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "promote")]
pub struct PromoteArgs {
    /// file to write to; standard output by default
    #[argh(option)]
    pub output: Option<PathBuf>,
    /// document of the environment to promote from: a file, or the base URL of its platform
    #[argh(positional)]
    pub source: String,
    /// document of the environment to promote to: a file, or the base URL of its platform
    #[argh(positional)]
    pub into: String,
}

/// Prints problems in the fleet, changes under way and actions required of the operator.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// admin address of a process; may be repeated; by default those in the settings
    #[argh(option)]
    pub admin: Vec<SocketAddr>,
    /// file with the operators' token; by default the one in the settings
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,
}

/// Prints offset, time, author and sections of each change that the log still holds.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {
    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,
    /// print the text of the document in force instead of the changes
    #[argh(switch)]
    pub text: bool,
}

/// Prints the state of a running process.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump")]
pub struct DumpArgs {
    /// admin address of the process
    #[argh(option)]
    pub admin: SocketAddr,
    /// file with the operators' token; by default the one in the settings
    #[argh(option)]
    pub token_file: Option<PathBuf>,
}
