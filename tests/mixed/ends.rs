//! Bodies that end too early, or whose length is wrong.

use std::time::Duration;

use ebonyfall_standin::hostile::Step;
use http::StatusCode;

use crate::{
    env::{sealed, send},
    paths::{Path, is_whole},
};

const BODY: &str = "the whole answer";
/// Time after which the router has read what was sent before.
const SETTLE: Duration = Duration::from_millis(20);

/// Answers that are cut off, each with the text that arrives.
fn cut_answers() -> Vec<(&'static str, String)> {
    let plain = sealed("200 OK", "Content-Type: text/plain\r\n", BODY);
    let with = |framing: &str| plain.replace("Content-Length: 16\r\n", framing);
    let without_body = |head: String| head.replace(BODY, "");
    let chunked = without_body(with("Transfer-Encoding: chunked\r\n"));
    vec![
        ("length beyond the body", with("Content-Length: 17\r\n")),
        ("endless length", with("Content-Length: 99999999\r\n")),
        ("no chunk", chunked.clone()),
        ("chunk's size", format!("{chunked}1")),
        ("part of a chunk", format!("{chunked}10\r\nthe whole")),
        ("no last chunk", format!("{chunked}10\r\n{BODY}\r\n")),
        (
            "part of the last chunk",
            format!("{chunked}10\r\n{BODY}\r\n0\r\n"),
        ),
    ]
}

/// Guards against a body that is cut off by a close or a reset, and looks complete to the caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_is_cut_off_does_not_look_complete() {
    for path in Path::both().await {
        for (case, answer) in cut_answers() {
            for end in [Step::Close, Step::Reset] {
                for pause in [Duration::ZERO, SETTLE] {
                    for route in path.routes() {
                        let pause = Step::Wait(pause);
                        let script = [Step::Execute, send(&answer), pause, end.clone()];
                        let reply = path.play(script, *route, "body").await;
                        let case = format!("{} {route:?} {case} {end:?}", path.name());
                        assert!(!is_whole(reply.as_ref()), "{case}: {reply:?}");
                    }
                }
            }
        }
    }
}

/// Guards against an answer without a length that ends with a reset, of which the caller gets a part as
/// the whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_length_that_is_reset_does_not_look_complete() {
    for path in Path::both().await {
        for kind in ["text/plain", "text/event-stream"] {
            let head = sealed("200 OK", &format!("Content-Type: {kind}\r\n"), "");
            let head = head.replace("Content-Length: 0\r\n", "");
            let events = "id: 1\ndata: token 1\n\n";
            for pause in [0, 1, 5, 20] {
                for route in path.routes() {
                    let reset = [Step::Wait(Duration::from_millis(pause)), Step::Reset];
                    let mut script = vec![Step::Execute, send(&format!("{head}{events}"))];
                    script.extend(reset);
                    let reply = path.play(script, *route, "body").await;
                    let case = format!("{} {route:?} {kind} {pause} ms", path.name());
                    assert!(!is_whole(reply.as_ref()), "{case}: {reply:?}");
                }
            }
        }
    }
}

/// Guards against a check that refuses whole answers without a length: they end with an orderly close.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_length_that_is_closed_is_whole() {
    for path in Path::both().await {
        let answer = sealed("200 OK", "", BODY).replace("Content-Length: 16\r\n", "");
        let pause = Step::Wait(SETTLE);
        let script = [Step::Execute, send(&answer), pause, Step::Close];
        let reply = path.play(script, path.unsafe_route(), "body").await;
        let reply = reply.expect("the router answers");
        assert_eq!(reply.status, StatusCode::OK, "{}", path.name());
        assert_eq!(reply.body.ok().as_deref(), Some(BODY), "{}", path.name());
    }
}

/// Guards against bytes beyond a stated length that reach the caller, or the next one, and against
/// answers with two lengths.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_beyond_the_length_reach_nobody() {
    for path in Path::both().await {
        let answer = sealed("200 OK", "", BODY);
        let short = answer.replace("Content-Length: 16", "Content-Length: 9");
        let script = [Step::Execute, send(&short), Step::Execute, send(&answer)];
        for _request in 0..4 {
            let reply = path.play(script.clone(), path.unsafe_route(), "body").await;
            let reply = reply.expect("the router answers");
            let body = reply.body.ok();
            assert_eq!(reply.status, StatusCode::OK, "{}", path.name());
            assert_eq!(body.as_deref(), Some("the whole"), "{}", path.name());
        }
        for lengths in [
            "9\r\nContent-Length: 16",
            "16\r\nContent-Length: 9",
            "+16",
            "16, 9",
        ] {
            let answer =
                answer.replace("Content-Length: 16", &format!("Content-Length: {lengths}"));
            let script = [Step::Execute, send(&answer), Step::Close];
            let reply = path.play(script, path.unsafe_route(), "body").await;
            assert!(
                !is_whole(reply.as_ref()),
                "{} {lengths}: {reply:?}",
                path.name()
            );
        }
    }
}
