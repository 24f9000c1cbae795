//! Answers whose status is none, or not one of a final answer.

use ebonyfall_standin::hostile::Step;
use http::StatusCode;

use crate::{
    env::{sealed, send},
    paths::Path,
};

/// Status lines that no final answer has. A target in trouble has sent the first one.
const NO_ANSWERS: [&str; 13] = [
    "000 Trouble",
    "000",
    "099 Low",
    "20 Short",
    "2000 Long",
    "600 Over",
    "999 Over",
    "100 Continue",
    "101 Switching Protocols",
    "102 Processing",
    "199 Interim",
    "-20 OK",
    "2x0 OK",
];

/// Guards against an answer with a status such as 000 or 999 that reaches the caller as the answer to
/// its request, or that makes its target look as if it had not run the request.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_final_status_is_none() {
    for path in Path::both().await {
        for status in NO_ANSWERS {
            for route in path.routes() {
                let answer = sealed(status, "Content-Type: text/plain\r\n", "whole");
                let script = [Step::Execute, send(&answer), Step::Close];
                let reply = path.play(script, *route, "body").await;
                let reply = reply.expect("the router answers");
                let case = format!("{} {route:?} {status}", path.name());
                assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{case}");
                assert_ne!(reply.body.ok().as_deref(), Some("whole"), "{case}");
            }
        }
    }
}

/// Guards against a check that takes answers with unusual, but valid statuses for none.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_a_valid_status_is_passed_on() {
    for path in Path::both().await {
        for status in [
            "200", "201", "226", "299", "302", "404", "499", "500", "599",
        ] {
            let answer = sealed(&format!("{status} Any"), "", "whole");
            let script = [Step::Execute, send(&answer), Step::Close];
            let reply = path.play(script, path.unsafe_route(), "body").await;
            let reply = reply.expect("the router answers");
            let case = format!("{} {status}", path.name());
            assert_eq!(reply.status.as_str(), status, "{case}");
            assert_eq!(reply.body.ok().as_deref(), Some("whole"), "{case}");
        }
    }
}
