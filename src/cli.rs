//! Command lines of the programs.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use ebonyfall_core::name::OperatorName;

/// Routes callers' requests to targets.
#[derive(Debug, FromArgs)]
pub struct RouterArgs {
    /// the process's settings, an INI file
    #[argh(option)]
    pub settings: PathBuf,
}

/// Routes callers' requests on an entry VM straight to targets that register themselves.
#[derive(Debug, FromArgs)]
pub struct EntryArgs {
    /// the process's settings, an INI file; without it, the file that the variable
    /// `EBONYFALL_CONFIG` names
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// read the settings, report what is wrong with them and end
    #[argh(switch)]
    pub check: bool,
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
    /// settings of this program, an INI file with one [operator] section (keys name, platform,
    /// token-file, processes); options take precedence
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// base URL of the platform
    #[argh(option)]
    pub platform: Option<String>,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What the operator asks for.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Check a document or a desired state.
    Check(CheckArgs),
    /// Compare a document with the one in force.
    Diff(DiffArgs),
    /// Publish a document.
    Publish(PublishArgs),
    /// Carry a document to another environment.
    Promote(PromoteArgs),
    /// Print the state of the fleet.
    Status(StatusArgs),
    /// Print what was published.
    History(HistoryArgs),
    /// Print a process's state.
    Dump(DumpArgs),
    /// Print a request's life from logs.
    Explain(ExplainArgs),
}

/// Prints what all processes decided on one request, in the order of time.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// the request's id
    #[argh(positional)]
    pub request: String,
    /// log files; without any, standard input is read
    #[argh(positional)]
    pub logs: Vec<PathBuf>,
}

/// Checks a document, or a desired state of entry routers, without starting anything.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// the document, or a desired state as JSON
    #[argh(positional)]
    pub file: PathBuf,
}

/// Prints how a document differs from the one in force, and the offset to publish it with.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// the document
    #[argh(positional)]
    pub file: PathBuf,
}

/// Publishes a document on the platform's log and reads it back.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct PublishArgs {
    /// the operator's name, recorded with the change
    #[argh(option)]
    pub operator: Option<OperatorName>,
    /// offset that the change is based on, as printed by diff; another one in force is a conflict
    #[argh(option)]
    pub base: Option<u64>,
    /// begin anew in a log that has dropped its configuration
    #[argh(switch)]
    pub initial: bool,
    /// the document
    #[argh(positional)]
    pub file: PathBuf,
}

/// Prints the second document with what the first one prescribes; what is particular to the
/// second one's environment stays.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "promote")]
pub struct PromoteArgs {
    /// file to write to instead of the terminal
    #[argh(option)]
    pub output: Option<PathBuf>,
    /// file, or base URL of the platform, of the environment to take from
    #[argh(positional)]
    pub source: String,
    /// file, or base URL of the platform, of the environment to change
    #[argh(positional)]
    pub into: String,
}

/// Prints whether anything is wrong, what is changing and what needs the operator.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// admin address of a process; may be given several times
    #[argh(option)]
    pub admin: Vec<SocketAddr>,
    /// file that holds the operators' token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Prints offset, time, operator and sections of each change that the log still keeps.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// print the document in force instead
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
    /// file that holds the operators' token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
}
