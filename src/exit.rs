//! Exit codes of the programs.

use std::process;

/// How a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// It did what was asked.
    Success,
    /// It failed while running.
    Failure,
    /// The command line, settings or document need correcting.
    Usage,
    /// Another operator's change came first.
    Conflict,
    /// A shutdown ended with requests left over.
    Unfinished,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(match code {
            ExitCode::Success => 0,
            ExitCode::Failure => 1,
            ExitCode::Usage => 2,
            ExitCode::Conflict => 3,
            ExitCode::Unfinished => 4,
        })
    }
}
