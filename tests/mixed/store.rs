//! Answers of the platform's log that end early or whose status is none.

use std::{net::SocketAddr, time::Duration};

use ebonyfall::{
    metrics::Metrics,
    platform::{Platform, PlatformError},
    store::{StoreClient, StoreError},
};
use ebonyfall_core::id::{Era, Offset, Position};
use ebonyfall_platform::store::Topic;
use ebonyfall_standin::hostile::{HostileTarget, Step};

use crate::env::send;

/// Length of an appended value, in bytes; more than the buffers of a connection take.
const VALUE_BYTES: usize = 1 << 19;
/// A listing with one record.
const LISTING: &str =
    r#"{"entries":[{"key":"config","value":"YQ==","offset":0}],"has_more":false,"end":1}"#;
/// Statuses that no final answer has.
const NO_ANSWERS: [&str; 8] = ["000", "099", "20", "2000", "600", "999", "100", "101"];

/// Start of a stream.
fn start_position() -> Position {
    Position {
        era: Era::default(),
        offset: Offset::default(),
    }
}

async fn start() -> (HostileTarget, SocketAddr, StoreClient) {
    let (target, address) = HostileTarget::start().await;
    let client = StoreClient::new(address, Metrics::new().entry);
    (target, address, client)
}

/// Guards against a write whose outcome is unknown, and that counts as refused or as done because of
/// a status that is none.
#[tokio::test]
async fn a_status_that_is_none_says_nothing_about_an_append() {
    let (target, address, client) = start().await;
    let platform = Platform::new(format!("http://{address}"));
    for status in NO_ANSWERS {
        let answer = format!("HTTP/1.1 {status} Any\r\nContent-Length: 12\r\n\r\n{{\"offset\":0}}");
        target.set_script([Step::Execute, send(&answer), Step::Close]);
        let at = start_position();
        let appended = client.append_at(Topic::Status, at, "key", b"value").await;
        let is_unknown = matches!(appended, Err(StoreError::Call { .. }));
        assert!(is_unknown, "{status}: {appended:?}");
        let listed = client.newest(Topic::Status, |_record| true).await;
        assert!(
            matches!(listed, Err(StoreError::Call { .. })),
            "{status}: {listed:?}"
        );
        let appended = platform.append("claims", b"claim").await;
        let is_unknown = matches!(appended, Err(PlatformError::NoAnswer { .. }));
        assert!(is_unknown, "{status}: {appended:?}");
    }
}

/// Guards against a listing of which a part counts as the whole: keys that are missing from it would be
/// taken for deleted.
#[tokio::test]
async fn a_listing_that_is_cut_off_is_none() {
    let (target, _address, client) = start().await;
    let length = format!("Content-Length: {}\r\n", LISTING.len());
    for framing in [&*length, ""] {
        let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n");
        for cut in 0..LISTING.len() {
            let part = format!("{head}{}", &LISTING[..cut]);
            for end in [Step::Reset, Step::Close] {
                target.set_script([Step::Execute, send(&part), end.clone()]);
                let listed = client.newest(Topic::Orders, |_record| true).await;
                assert!(listed.is_err(), "{framing:?} {cut} {end:?}: {listed:?}");
            }
        }
        target.set_script([
            Step::Execute,
            send(&format!("{head}{LISTING}")),
            Step::Close,
        ]);
        let listed = client.newest(Topic::Orders, |_record| true).await;
        assert_eq!(
            listed.expect("a whole listing").records.len(),
            1,
            "{framing:?}"
        );
    }
}

/// Guards against an append that counts as confirmed although the answer, which came before the
/// record had been read, was reset.
#[tokio::test]
async fn an_early_answer_to_an_append_that_is_reset_confirms_nothing() {
    let (target, _address, client) = start().await;
    let value = vec![b'x'; VALUE_BYTES];
    for framing in ["Content-Length: 24\r\n", ""] {
        for pause in [0, 1, 3, 8, 20] {
            let part = format!("HTTP/1.1 200 OK\r\n{framing}\r\n{{\"offset\":0,");
            let pause = Step::Wait(Duration::from_millis(pause));
            target.set_script([Step::ExecuteHead, send(&part), pause.clone(), Step::Reset]);
            let at = start_position();
            let appended = client.append_confirmed(Topic::Usage, at, "key", &value);
            let appended = appended.await;
            assert!(appended.is_err(), "{framing:?} {pause:?}: {appended:?}");
            let appended = client.append_at(Topic::Usage, at, "key", &value).await;
            assert!(appended.is_err(), "{framing:?} {pause:?}: {appended:?}");
        }
    }
}
