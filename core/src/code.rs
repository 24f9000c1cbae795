//! Numbered result codes. `docs/result-codes.md` contains the same table.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a request that was refused or failed has been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No back end executed any part of the request.
    #[display("not run")]
    NotRun,
    /// A back end executed the request, at least in part.
    #[display("ran")]
    Ran,
    /// The request was sent to a back end, and it is not known whether it was executed.
    #[display("unknown")]
    Unknown,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $ran:ident, $advice:literal;)*) => {
        /// Result of a request that did not get a complete response.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// All codes, in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The number of the code, as reported to callers.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// The HTTP status of responses with this code.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Whether the request has been executed.
            pub const fn execution(self) -> Execution {
                match self { $(Self::$name => Execution::$ran,)* }
            }

            /// Advice to the caller on how to proceed.
            pub const fn advice(self) -> &'static str {
                match self { $(Self::$name => $advice,)* }
            }

            /// The name of the variant, as reported to callers.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }
        }
    };
}

codes! {
    /// The request cannot be parsed.
    BadRequest = 1001, 400, NotRun, "correct the request as the message says";
    /// The request has no valid key.
    Unauthenticated = 1002, 401, NotRun, "send a valid team key as a bearer token";
    /// The key is valid, but the team is not permitted to do this.
    Forbidden = 1003, 403, NotRun, "ask the operator to allow it for the team";
    /// The configuration document has no model of this name.
    UnknownModel = 1004, 404, NotRun, "use a model that the document names";
    /// No route to a plain service has this path and method.
    NoRoute = 1005, 404, NotRun, "use a path and method that the document names";
    /// The request exceeds the size limit.
    TooLarge = 1006, 413, NotRun, "send a smaller request";
    /// The idempotency key is malformed or has no timestamp.
    KeyInvalid = 1007, 400, NotRun, "use a UUIDv7 as the idempotency key";
    /// The idempotency key is older than the retention time of the log.
    KeyExpired = 1008, 409, NotRun, "check by a status lookup, then use a fresh key";
    /// The idempotency key was used before with different content.
    KeyReused = 1009, 422, NotRun, "use a fresh key for different content";
    /// The request body did not arrive in time.
    SlowRequest = 1010, 408, NotRun, "send the whole request sooner";
    /// Every suitable target is at its capacity limit.
    Overloaded = 2001, 503, NotRun, "retry after the stated time";
    /// The team is at its limit.
    TeamLimit = 2002, 429, NotRun, "retry after the stated time";
    /// The deadline passed before the request could be executed.
    DeadlinePassed = 2003, 504, NotRun, "retry with a longer deadline";
    /// No target of the model or service is known.
    NoTarget = 2004, 503, NotRun, "retry after the stated time";
    /// The target is draining before it stops.
    Leaving = 2005, 503, NotRun, "retry; another target will take it";
    /// The target is in cold start and at the load limit for that time.
    ColdStart = 2006, 503, NotRun, "retry; another target will take it";
    /// The target is above the load bound.
    OverBound = 2007, 503, NotRun, "retry; another target will take it";
    /// Requests with the same content crashed several targets, so the content is quarantined.
    Held = 2008, 422, NotRun, "do not send it again; ask the operator to clear the hold";
    /// The process is shutting down.
    ShuttingDown = 2009, 503, NotRun, "retry; another process will take it";
    /// The target runs another version or has restarted.
    WrongTarget = 2010, 503, NotRun, "retry; the view will have caught up";
    /// The target already executes one request that is suspected of crashing targets.
    SuspectBusy = 2011, 503, NotRun, "retry after the stated time";
    /// The target's zone is out of service.
    ZoneOut = 2012, 503, NotRun, "retry; another zone will take it";
    /// Another target has the context of the chat.
    Moved = 2013, 503, NotRun, "retry; the target that holds the chat will take it";
    /// The router's copy of keys and routes is too old to be relied on.
    StaleState = 2014, 503, NotRun, "retry; another router will take it";
    /// The platform's log is unavailable; requests that must run at most once depend on it.
    LogUnavailable = 3001, 503, NotRun, "retry with the same key after the stated time";
    /// A request with the same idempotency key is in progress.
    InProgress = 3002, 409, Unknown, "retry with the same key after the stated time";
    /// A request with the same idempotency key was executed, and its response is no longer kept.
    AlreadyRan = 3003, 409, Ran, "look the result up; do not send it with a fresh key";
    /// A request with the same idempotency key was sent to a target, and its outcome is unknown.
    OutcomeUnknown = 3004, 409, Unknown, "look the result up before sending a fresh key";
    /// The claim on the idempotency key was voided before the target executed the request.
    Voided = 3005, 409, NotRun, "retry with the same key";
    /// The connection to the target was lost after the request had been sent.
    LinkLost = 4001, 502, Unknown, "retry if the request is idempotent";
    /// The engine or service failed during the execution of the request.
    EngineFailed = 4002, 502, Unknown, "retry if the request is idempotent";
    /// The response stream was interrupted after its first part.
    StreamCut = 4003, 502, Ran, "discard the part received; retry if idempotent";
    /// The engine or service did not respond before the deadline.
    EngineTimeout = 4004, 504, Unknown, "retry if the request is idempotent";
    /// The response belonged to another request and was discarded.
    AnswerMismatch = 4005, 502, Unknown, "retry if the request is idempotent";
    /// The engine or service refused the request without executing it.
    EngineRefused = 4006, 503, NotRun, "retry after the stated time";
    /// The agent could not connect to its engine or service.
    EngineUnreachable = 4007, 503, NotRun, "retry; another target will take it";
    /// The engine or service crashed during the execution of the request.
    EngineCrashed = 4008, 502, Unknown, "retry if the request is idempotent";
    /// An internal error of the system.
    Internal = 5001, 500, Unknown, "report it with the request id";
    /// Another configuration change was published first.
    Conflict = 6001, 409, NotRun, "fetch the present document and merge";
    /// The configuration document has errors.
    InvalidDocument = 6002, 422, NotRun, "correct the lines that the message names";
}

#[cfg(test)]
#[path = "../tests/unit/code.rs"]
mod tests;
