//! Answers of targets to an entry router, from their headers to their complete bodies.

use bytes::Bytes;
use ebonyfall_core::{selector::Choice, time::Time};
use http::{HeaderMap, StatusCode, header::CONTENT_TYPE};
use hyper::body::Incoming;

use crate::{selection::Reservation, upstream::TargetConnection};

/// Answer of a target whose headers have been read, but not the body.
#[derive(Debug)]
pub(crate) struct OpenAnswer {
    pub(crate) reservation: Reservation,
    pub(crate) connection: TargetConnection,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) sent_at: Time,
}

/// Status and headers of a target's answer, for the caller.
#[derive(Debug, Clone)]
pub(crate) struct StreamHead {
    pub(crate) choice: Choice,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
}

impl OpenAnswer {
    /// Whether the answer is a stream of the same kind as the one with this head.
    pub(crate) fn continues(&self, head: &StreamHead) -> bool {
        self.status == head.status && media_type(&self.headers) == media_type(&head.headers)
    }

    pub(crate) fn head(&self) -> StreamHead {
        StreamHead {
            choice: self.reservation.choice.clone(),
            status: self.status,
            headers: self.headers.clone(),
        }
    }
}

/// Answer of a target that has been read to the end.
#[derive(Debug)]
pub(crate) struct CompleteAnswer {
    pub(crate) choice: Choice,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Result of sending the request to targets until one of them replies.
pub(crate) enum TargetReply {
    Answer(Box<OpenAnswer>),
    /// Error answer of a target, sealed by that target.
    Failure(Box<CompleteAnswer>),
}

impl TargetReply {
    pub(crate) fn failure(complete: CompleteAnswer) -> Self {
        Self::Failure(Box::new(complete))
    }
}

/// The content type without its parameters, in lower case.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    let essence = value.split(';').next().unwrap_or_default();
    Some(essence.trim().to_ascii_lowercase())
}
