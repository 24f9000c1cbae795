//! Numbered result codes; `docs/result-codes.md` holds the same table.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a refused or failed request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No back end executed any part of it.
    #[display("not run")]
    NotRun,
    /// A back end executed at least a part of it.
    #[display("ran")]
    Ran,
    /// It was handed over and its fate could not be learnt.
    #[display("unknown")]
    Unknown,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $ran:ident, $advice:literal;)*) => {
        /// The outcome of a request that got no whole answer.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// Every code, in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The number that callers see.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// The HTTP status that goes with the code.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Whether the request ran.
            pub const fn execution(self) -> Execution {
                match self { $(Self::$name => Execution::$ran,)* }
            }

            /// What the caller should do.
            pub const fn advice(self) -> &'static str {
                match self { $(Self::$name => $advice,)* }
            }

            /// The code's name.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }
        }
    };
}

codes! {
    /// The request cannot be parsed.
    BadRequest = 1001, 400, NotRun, "correct the request as the message says";
    /// No valid key came with the request.
    Unauthenticated = 1002, 401, NotRun, "send a valid team key as a bearer token";
    /// The key is valid, the team may not do this.
    Forbidden = 1003, 403, NotRun, "ask the operator to allow it for the team";
    /// The document names no such model.
    UnknownModel = 1004, 404, NotRun, "use a model that the document names";
    /// No plain service has this path and method.
    NoRoute = 1005, 404, NotRun, "use a path and method that the document names";
    /// The request is larger than allowed.
    TooLarge = 1006, 413, NotRun, "send a smaller request";
    /// The idempotency key is missing its time or malformed.
    KeyInvalid = 1007, 400, NotRun, "use a UUIDv7 as the idempotency key";
    /// The idempotency key is older than the log remembers.
    KeyExpired = 1008, 409, NotRun, "check by a status lookup, then use a fresh key";
    /// The idempotency key was used before with other content.
    KeyReused = 1009, 422, NotRun, "use a fresh key for different content";
    /// The request body did not arrive in time.
    SlowRequest = 1010, 408, NotRun, "send the whole request sooner";
    /// Every suitable target is at its limit.
    Overloaded = 2001, 503, NotRun, "retry after the stated time";
    /// The team is at its own limit.
    TeamLimit = 2002, 429, NotRun, "retry after the stated time";
    /// The deadline passed before the request could run.
    DeadlinePassed = 2003, 504, NotRun, "retry with a longer deadline";
    /// No target is known for the model or service.
    NoTarget = 2004, 503, NotRun, "retry after the stated time";
    /// The target is leaving.
    Leaving = 2005, 503, NotRun, "retry; another target will take it";
    /// The target is in cold start and at its bearable load.
    ColdStart = 2006, 503, NotRun, "retry; another target will take it";
    /// The target is above the load bound.
    OverBound = 2007, 503, NotRun, "retry; another target will take it";
    /// The same content crashed several targets and is held back.
    Held = 2008, 422, NotRun, "do not send it again; ask the operator to clear the hold";
    /// The process is shutting down.
    ShuttingDown = 2009, 503, NotRun, "retry; another process will take it";
    /// The target runs another version or has restarted.
    WrongTarget = 2010, 503, NotRun, "retry; the view will have caught up";
    /// The target already runs one suspect request.
    SuspectBusy = 2011, 503, NotRun, "retry after the stated time";
    /// The target's zone is out of service.
    ZoneOut = 2012, 503, NotRun, "retry; another zone will take it";
    /// Another target holds the chat's context.
    Moved = 2013, 503, NotRun, "retry; the target that holds the chat will take it";
    /// The router's knowledge of keys and routes is not fresh enough to act on.
    StaleState = 2014, 503, NotRun, "retry; another router will take it";
    /// The platform's log is unavailable, which requests that run at most once need.
    LogUnavailable = 3001, 503, NotRun, "retry with the same key after the stated time";
    /// The same idempotency key is being worked on.
    InProgress = 3002, 409, Unknown, "retry with the same key after the stated time";
    /// The same idempotency key has run and its answer is no longer held.
    AlreadyRan = 3003, 409, Ran, "look the result up; do not send it with a fresh key";
    /// The same idempotency key was handed over and its fate is not known.
    OutcomeUnknown = 3004, 409, Unknown, "look the result up before sending a fresh key";
    /// The claim was voided before the target ran it.
    Voided = 3005, 409, NotRun, "retry with the same key";
    /// The link to the target broke after the request was handed over.
    LinkLost = 4001, 502, Unknown, "retry if the request is idempotent";
    /// The engine or service failed while the request was running.
    EngineFailed = 4002, 502, Unknown, "retry if the request is idempotent";
    /// The stream broke after its first part.
    StreamCut = 4003, 502, Ran, "discard the part received; retry if idempotent";
    /// The engine or service gave no answer within the deadline.
    EngineTimeout = 4004, 504, Unknown, "retry if the request is idempotent";
    /// An answer did not belong to this request and was dropped.
    AnswerMismatch = 4005, 502, Unknown, "retry if the request is idempotent";
    /// The engine or service refused the request without running it.
    EngineRefused = 4006, 503, NotRun, "retry after the stated time";
    /// The agent could not connect to its engine or service.
    EngineUnreachable = 4007, 503, NotRun, "retry; another target will take it";
    /// The engine or service crashed while the request was running.
    EngineCrashed = 4008, 502, Unknown, "retry if the request is idempotent";
    /// A fault of the system itself.
    Internal = 5001, 500, Unknown, "report it with the request id";
    /// Another operator's change came first.
    Conflict = 6001, 409, NotRun, "fetch the present document and merge";
    /// The document has faults.
    InvalidDocument = 6002, 422, NotRun, "correct the lines that the message names";
}

#[cfg(test)]
#[path = "../tests/unit/code.rs"]
mod tests;
