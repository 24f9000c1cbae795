//! Tests of the memory that a process grants to answers.

use ebonyfall::receive::{AnswerBuffers, FREE_EVENT_BYTES, MAX_BUFFERED_BYTES, ReceiveFault};

/// Length of an event that has not ended, below the limit on one event.
const OPEN_EVENT_BYTES: usize = 250 << 10;

/// Guards against a router that runs out of memory because the events of many streams do not end:
/// each of them had a limit, but they did not count against the limit on all answers. Streams with
/// ordinary events go on while it is used up.
#[test]
fn incomplete_events_count_against_the_limit_on_all_answers() {
    let buffers = AnswerBuffers::default();
    let mut open = Vec::new();
    let refused = loop {
        let mut share = buffers.event_share();
        // Bytes arrive in parts.
        let parts = (1..=10).map(|part| share.resize(OPEN_EVENT_BYTES * part / 10));
        if let Err(fault) = parts.collect::<Result<Vec<()>, _>>() {
            break fault;
        }
        open.push(share);
    };
    assert_eq!(refused, ReceiveFault::BuffersFull);
    let held = open.len() * (OPEN_EVENT_BYTES - FREE_EVENT_BYTES);
    assert!(held <= MAX_BUFFERED_BYTES, "{held}");
    assert!(held + OPEN_EVENT_BYTES > MAX_BUFFERED_BYTES, "{held}");
    assert_eq!(buffers.event_share().resize(FREE_EVENT_BYTES), Ok(()));
    assert!(
        buffers
            .start(usize::MAX)
            .push(&vec![0; OPEN_EVENT_BYTES])
            .is_err()
    );
    open.truncate(1);
    assert_eq!(buffers.event_share().resize(OPEN_EVENT_BYTES), Ok(()));
}

/// Guards against memory that stays taken after an event, an answer, or the last copy of one, has
/// gone: later answers would be refused for ever.
#[test]
fn memory_is_returned_with_the_last_copy() {
    let buffers = AnswerBuffers::default();
    for _ in 0..3 {
        let mut body = buffers.start(MAX_BUFFERED_BYTES);
        assert_eq!(body.push(&vec![1; MAX_BUFFERED_BYTES]), Ok(()));
        assert_eq!(body.push(&[1]), Err(ReceiveFault::TooLong));
        let whole = body.complete();
        let copy = whole.slice(..1);
        drop(whole);
        let mut share = buffers.event_share();
        assert_eq!(
            share.resize(OPEN_EVENT_BYTES),
            Err(ReceiveFault::BuffersFull)
        );
        drop(copy);
        assert_eq!(share.resize(OPEN_EVENT_BYTES), Ok(()));
        assert_eq!(share.resize(0), Ok(()));
    }
}
