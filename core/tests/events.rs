//! Tests of the event splitter against streams of faulty targets.

use ebonyfall_core::events::{EventSplitter, MAX_EVENT_BYTES, MAX_FILLER_BYTES, StreamFault};
use quickcheck::quickcheck;

/// Pushes `part` until the splitter fails, and returns the fault and the number of bytes pushed.
fn push_until_fault(part: &[u8], most: usize) -> Option<(StreamFault, usize)> {
    let mut splitter = EventSplitter::default();
    let mut pushed = 0;
    while pushed < most {
        pushed += part.len();
        if let Err(fault) = splitter.push(part) {
            return Some((fault, pushed));
        }
    }
    None
}

/// Guards against memory that grows with an event that never ends.
#[test]
fn an_endless_event_is_a_fault() {
    for part in [&b"data: x"[..], b"data: x\n", b":", b"\0"] {
        let (fault, pushed) = push_until_fault(part, 2 * MAX_EVENT_BYTES).expect("it fails");
        assert_eq!(fault, StreamFault::EventTooLong);
        assert!(pushed <= MAX_EVENT_BYTES + part.len());
    }
}

/// Guards against a stream that stays open without events because the target sends comments or
/// blank lines.
#[test]
fn endless_comments_are_a_fault_and_no_progress() {
    for part in [&b": still here\n\n"[..], b"\n\n", b":\r\n\r\n"] {
        let mut splitter = EventSplitter::default();
        let complete = splitter.push(part).expect("few bytes").expect("complete");
        assert!(!complete.has_event, "{part:?}");
        let (fault, pushed) = push_until_fault(part, 2 * MAX_FILLER_BYTES).expect("it fails");
        assert_eq!(fault, StreamFault::TooMuchFiller);
        assert!(pushed <= MAX_FILLER_BYTES + part.len());
    }
}

/// Guards against a sound stream that is broken off because it also has comments.
#[test]
fn comments_between_events_are_passed_on() {
    let part = b": note\n\nid: 1\ndata: x\n\n";
    assert_eq!(push_until_fault(part, 4 * MAX_FILLER_BYTES), None);
}

quickcheck! {
    /// Guards against events that are held back until the stream ends, because their lines end with
    /// CR LF or CR.
    fn events_are_found_with_any_line_ending(ids: Vec<u8>, ending: u8, len: u8) -> bool {
        let ending = ["\n", "\r\n", "\r"][usize::from(ending % 3)];
        let event = |id: &u8| format!("id: {id}{ending}data: x{ending}{ending}");
        let text = ids.iter().map(event).collect::<String>();
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        for part in text.as_bytes().chunks(usize::from(len) + 1) {
            let Ok(complete) = splitter.push(part) else {
                return false;
            };
            out.extend(complete.into_iter().flat_map(|complete| complete.bytes));
        }
        let last = ids.last().map(ToString::to_string);
        out == text.as_bytes() && splitter.last_id() == last.as_deref()
    }

    /// Guards against a panic, lost bytes or an unlimited buffer for arbitrary bytes.
    fn arbitrary_bytes_are_kept_or_refused(parts: Vec<Vec<u8>>) -> bool {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        for part in &parts {
            match splitter.push(part) {
                Ok(complete) => out.extend(complete.into_iter().flat_map(|complete| complete.bytes)),
                Err(_) => return true,
            }
        }
        out.extend(splitter.take_partial());
        out == parts.concat()
    }
}
