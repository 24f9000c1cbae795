//! Answers that targets send before they have read the request.

use std::time::Duration;

use ebonyfall_standin::hostile::Step;

use crate::{
    env::{sealed, send},
    paths::{Path, is_whole},
};

/// Length of an upload, in bytes; more than the buffers of a connection take.
const UPLOAD_BYTES: usize = 3 << 19;
/// Times after which a connection is reset, in milliseconds; most end while the upload is written.
const PAUSES_MS: [u64; 10] = [0, 1, 2, 3, 5, 8, 12, 20, 30, 40];
/// Requests for each time.
const ROUNDS: usize = 4;

/// Guards against a target that answers a long upload at once, without a length, and resets the
/// connection while the upload is written: the caller got the part that had arrived as the answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_early_answer_that_is_reset_does_not_look_complete() {
    let body = "x".repeat(UPLOAD_BYTES);
    for path in Path::both().await {
        let mut uploads = 0;
        for kind in ["text/plain", "text/event-stream"] {
            let head = sealed("200 OK", &format!("Content-Type: {kind}\r\n"), "");
            let head = head.replace("Content-Length: 0\r\n", "");
            for pause in PAUSES_MS {
                let part = format!("{head}id: 1\ndata: token 1\n\n");
                let pause = Step::Wait(Duration::from_millis(pause));
                // An orderly close with a part of the upload unread is a reset, too.
                for end in [Step::Reset, Step::Close] {
                    let script = [Step::ExecuteHead, send(&part), pause.clone(), end];
                    for route in path.routes().iter().cycle().take(ROUNDS) {
                        let reply = path.play(script.clone(), *route, &body).await;
                        uploads += 1;
                        let case = format!("{} {route:?} {kind} {pause:?}", path.name());
                        assert!(!is_whole(reply.as_ref()), "{case}: {reply:?}");
                    }
                }
            }
        }
        let executed = path.target().total_executions();
        let name = path.name();
        assert!(executed > uploads / 2, "{name}: {executed} of {uploads}");
    }
}

/// Guards against a whole early answer that is lost because the target reads the upload no further.
#[tokio::test(flavor = "multi_thread")]
async fn a_whole_early_answer_reaches_the_caller() {
    let body = "x".repeat(UPLOAD_BYTES);
    for path in Path::both().await {
        for status in ["200", "413"] {
            let answer = sealed(
                &format!("{status} Early"),
                "Connection: close\r\n",
                "enough",
            );
            let pause = Step::Wait(Duration::from_millis(300));
            let script = [Step::ExecuteHead, send(&answer), pause, Step::Close];
            let reply = path.play(script, path.unsafe_route(), &body).await;
            let reply = reply.expect("the router answers");
            let case = format!("{} {status}", path.name());
            assert_eq!(reply.status.as_str(), status, "{case}");
            assert_eq!(reply.body.ok().as_deref(), Some("enough"), "{case}");
        }
    }
}
