//! The crowds: how many callers come at once, and what each of them does.

use std::time::Duration;

use bytes::Bytes;

use crate::{crowd::Act, env::Place};

/// Largest body that both deployments allow, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 4 << 20;
/// Callers with large bodies; together they have 192 MiB, more than the memory of the process.
const LARGE_BODIES: usize = 48;
/// Callers that take descriptors; more than the process may have.
const MANY: usize = 450;
/// Callers that do not read large answers.
const READERS: usize = 64;
/// Requests that a caller sends ahead on one connection.
const AHEAD: usize = 400;
/// Pause of callers that send or read slowly.
const SLOW: Duration = Duration::from_millis(50);

/// One crowd.
pub(crate) struct Case {
    pub(crate) name: &'static str,
    pub(crate) callers: usize,
    /// What the caller with this number does, at a place. Afterwards it keeps its connection open.
    pub(crate) acts: fn(&Place, usize) -> Vec<Act>,
}

/// Three of four callers stop one byte short of the end.
fn stops_short(caller: usize) -> usize {
    usize::from(!caller.is_multiple_of(4))
}

fn filler(len: usize) -> Bytes {
    vec![b'x'; len].into()
}

/// Sends the head of a request with a declared body.
fn declared(place: &Place, body: usize) -> Act {
    Act::Send(format!("{}Content-Length: {body}\r\n\r\n", place.head("POST")).into())
}

/// Sends the head of a request with a body in chunks, then `chunks` chunks of `len` bytes.
fn chunked(place: &Place, chunks: usize, len: usize) -> Vec<Act> {
    let head = format!("{}Transfer-Encoding: chunked\r\n\r\n", place.head("POST"));
    let chunk = format!("{len:x}\r\n{}\r\n", "x".repeat(len));
    vec![
        Act::Send(head.into()),
        Act::Repeat(chunk.into(), chunks, Duration::ZERO),
    ]
}

/// Crowds with bodies that are large together, or each for itself.
pub(crate) fn bodies() -> Vec<Case> {
    vec![
        Case {
            name: "bodies in one piece",
            callers: LARGE_BODIES,
            acts: |place, caller| {
                let body = filler(MAX_BODY_BYTES - stops_short(caller));
                vec![declared(place, MAX_BODY_BYTES), Act::Send(body)]
            },
        },
        Case {
            name: "bodies in small pieces",
            callers: LARGE_BODIES,
            acts: |place, caller| {
                let pieces = MAX_BODY_BYTES / 4_096 - stops_short(caller);
                vec![
                    declared(place, MAX_BODY_BYTES),
                    Act::Repeat(filler(4_096), pieces, Duration::ZERO),
                ]
            },
        },
        Case {
            name: "bodies in chunks",
            callers: LARGE_BODIES,
            acts: |place, caller| {
                let mut acts = chunked(place, MAX_BODY_BYTES / 1_024, 1_024);
                if stops_short(caller) == 0 {
                    acts.push(Act::Send("0\r\n\r\n".into()));
                }
                acts
            },
        },
        Case {
            name: "bodies declared far over the limit",
            callers: LARGE_BODIES,
            acts: |place, _| {
                vec![
                    declared(place, 1 << 30),
                    Act::Repeat(filler(64 << 10), 128, Duration::ZERO),
                ]
            },
        },
        Case {
            name: "bodies far over the limit in chunks",
            callers: LARGE_BODIES,
            acts: |place, _| chunked(place, 512, 16 << 10),
        },
    ]
}

/// Crowds whose heads are costly.
pub(crate) fn heads() -> Vec<Case> {
    vec![
        Case {
            name: "heads of many short fields",
            callers: MANY,
            acts: |place, _| {
                let fields = "a:\r\n".repeat(3_900);
                vec![Act::Send(
                    format!("{}{fields}\r\n", place.head("GET")).into(),
                )]
            },
        },
        Case {
            name: "heads of as many fields as are usual at most",
            callers: MANY,
            acts: |place, _| {
                let field = |field| format!("x-field-{field}: {}\r\n", "v".repeat(140));
                let fields: Vec<_> = (0..90).map(field).collect();
                let fields = fields.concat();
                vec![Act::Send(
                    format!("{}{fields}\r\n", place.head("GET")).into(),
                )]
            },
        },
        Case {
            name: "requests sent ahead",
            callers: 16,
            acts: |place, _| {
                let body = "x".repeat(1_024);
                let request = format!("{}Content-Length: 1024\r\n\r\n{body}", place.head("POST"));
                vec![Act::Repeat(request.into(), AHEAD, Duration::ZERO)]
            },
        },
    ]
}

/// Crowds that are slow or stop half-way.
pub(crate) fn paces() -> Vec<Case> {
    vec![
        Case {
            name: "heads that stop half-way",
            callers: MANY,
            acts: |place, _| {
                let field = format!("x-long: {}", "v".repeat(12 << 10));
                vec![Act::Send(format!("{}{field}", place.head("GET")).into())]
            },
        },
        Case {
            name: "slow heads",
            callers: MANY,
            acts: |place, _| {
                vec![
                    Act::Send(place.head("GET").into()),
                    Act::Repeat("x".into(), 4_096, SLOW),
                ]
            },
        },
        Case {
            name: "bodies that stop half-way",
            callers: MANY,
            acts: |place, _| vec![declared(place, 1_000), Act::Send(filler(100))],
        },
        Case {
            name: "slow bodies",
            callers: MANY,
            acts: |place, _| {
                vec![
                    declared(place, MAX_BODY_BYTES),
                    Act::Repeat("x".into(), 4_096, SLOW),
                ]
            },
        },
        Case {
            name: "answers that are not read",
            callers: READERS,
            acts: |place, _| {
                vec![
                    Act::Send(format!("{}\r\n", place.head("GET")).into()),
                    Act::Read(1_024),
                ]
            },
        },
        Case {
            name: "answers that are read slowly",
            callers: READERS,
            acts: |place, _| {
                vec![
                    Act::Send(format!("{}\r\n", place.head("GET")).into()),
                    Act::ReadSlowly(64, SLOW),
                ]
            },
        },
        Case {
            name: "idle connections",
            callers: MANY,
            acts: |_, _| Vec::new(),
        },
    ]
}
