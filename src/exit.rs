//! Exit codes of the daemons and the command line.

use std::process;

/// Outcome of a program, as its exit code shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// Code 0: no error.
    Success,
    /// Code 1: a failure at run time, or a query that found a problem or nothing.
    Failure,
    /// Code 2: an error in the command line, the settings or a configuration document.
    Usage,
    /// Code 3: another operator published a change first.
    Conflict,
    /// Code 4: requests were still open when the drain time ran out.
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
