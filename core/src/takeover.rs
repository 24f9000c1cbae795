//! Why no other target takes over a request.

use derive_more::Display;

use crate::code::Code;

/// Why no other target takes over a request whose target has not answered, or has stopped answering.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Obstacle {
    /// The request may not be sent to a further target.
    Attempts,
    /// No other target can take it now.
    NoTarget,
    /// The fleet's retry budget refuses the retry.
    Budget,
    /// Its content or a part of its prompt is held after crashes.
    Held,
    /// Its key was revoked, or it is not known whether it still holds.
    Key,
    /// Its deadline has passed.
    Deadline,
    /// The router ends.
    Stopping,
}

impl Obstacle {
    /// The obstacle behind a refusal of an attempt after the first one.
    pub fn of_refusal(code: Code) -> Self {
        match code {
            Code::Overloaded => Self::Budget,
            Code::Held => Self::Held,
            Code::Unauthenticated | Code::StaleState => Self::Key,
            Code::DeadlinePassed => Self::Deadline,
            Code::ShuttingDown => Self::Stopping,
            _ => Self::NoTarget,
        }
    }
}
