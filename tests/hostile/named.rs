//! Named faults of targets, each with what the caller must get.

use std::time::Duration;

use ebonyfall_standin::{hostile::Step, registered::AnswerMode};
use http::StatusCode;
use tokio::time::{Instant, sleep};

use crate::env::{
    CONCURRENT, DEADLINE, Env, RESUMABLE, SAFE, SLACK, STREAM, UNSAFE, VM_MEMORY, sealed, send,
    stream_head,
};

/// A refusal of the attempt that `id` stands for; without the header if it is empty.
fn refusal(id: &str, status: &str) -> String {
    let id = if id.is_empty() {
        String::new()
    } else {
        format!("Ebonyfall-Attempt-Id: {id}\r\n")
    };
    format!("HTTP/1.1 {status}\r\n{id}Ebonyfall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

/// Guards against a request that runs being reported as not run, because the target writes the
/// refusal of an earlier request once more on the kept connection, or one that names no request.
#[tokio::test(flavor = "multi_thread")]
async fn an_earlier_refusal_proves_nothing() {
    let env = Env::start(0).await;
    for (round, status) in ["503 Busy", "421 Misdirected", "429 Busy", "400 Bad"]
        .into_iter()
        .enumerate()
    {
        for (case, id) in ["{first}", ""].into_iter().enumerate() {
            let again = refusal(id, status);
            env.hostile.set_script([
                Step::Execute,
                Step::Send(sealed("200 OK", "", "mine")),
                Step::Execute,
                Step::Send(again),
                Step::Wait(DEADLINE),
            ]);
            let (kept, next) = (
                format!("kept-{round}-{case}"),
                format!("next-{round}-{case}"),
            );
            let reply = env.call(&kept, "POST", UNSAFE).await;
            assert_eq!(reply.status, StatusCode::OK);
            let reply = env.call(&next, "POST", UNSAFE).await;
            assert_eq!(env.hostile.executions(&next), 1, "{status} case {case}");
            assert_eq!(
                reply.status,
                StatusCode::BAD_GATEWAY,
                "{status} case {case}"
            );
        }
    }
}

/// Guards against a request that runs at a second target because the first one, which runs it, sends
/// an earlier refusal once more.
#[tokio::test(flavor = "multi_thread")]
async fn an_earlier_refusal_does_not_move_a_request() {
    let env = Env::start(1).await;
    let mut seen = 0;
    let refusals = [
        ("{first}", "503 Busy"),
        ("{first}", "421 Misdirected"),
        ("", "503 Busy"),
    ];
    for request in 0..24 {
        let (id, status) = refusals[request % refusals.len()];
        env.hostile.set_script([
            Step::Execute,
            Step::Send(sealed("200 OK", "", "mine")),
            Step::Execute,
            Step::Send(refusal(id, status)),
            Step::Wait(DEADLINE),
        ]);
        let id = format!("moved-{request}");
        let reply = env.call(&id, "POST", UNSAFE).await;
        let elsewhere = env.deployment.targets[0].executed_requests();
        let elsewhere = elsewhere
            .iter()
            .filter(|req| req.headers["ebonyfall-attempt-id"] == id);
        let runs = env.hostile.executions(&id) + elsewhere.count();
        assert!(runs <= 1, "{id} ran {runs} times");
        let says_not_run = reply.status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(!(says_not_run && runs > 0), "{id} ran");
        seen += env.hostile.executions(&id);
    }
    assert!(seen > 1, "the hostile target runs requests in this test");
}

/// Guards against an answer of one request that reaches another: a second copy that arrives late,
/// bytes after a complete answer, and an answer that was sent before the request.
#[tokio::test(flavor = "multi_thread")]
async fn extra_bytes_reach_no_caller() {
    let env = Env::start(0).await;
    let own = sealed("200 OK", "", "{id}");
    let pause = Step::Wait(Duration::from_millis(30));
    let scripts: [Vec<Step>; 5] = [
        vec![
            Step::Execute,
            send(&own),
            send(&own),
            Step::Execute,
            send(&own),
        ],
        vec![
            Step::Execute,
            send(&own),
            pause.clone(),
            send(&own),
            Step::Execute,
            send(&own),
        ],
        vec![
            Step::Execute,
            send(&format!("{own}x")),
            Step::Execute,
            send(&own),
        ],
        vec![
            Step::Execute,
            send(&own),
            Step::Execute,
            send(&own.replace("{id}", "{first}")),
        ],
        vec![send(&own), Step::Execute, send(&own)],
    ];
    for (case, script) in scripts.into_iter().enumerate() {
        env.hostile.set_script(script);
        for request in 0..6 {
            let id = format!("extra-{case}-{request}");
            let reply = env.call(&id, "GET", SAFE).await;
            // The length of the answer is that of the placeholder, so only a part of the id fits.
            if reply.status == StatusCode::OK {
                let body = reply.body.unwrap_or_default();
                assert!(id.starts_with(&body), "{id} got {body:?}");
                assert_eq!(reply.headers["ebonyfall-attempt-id"], id.as_str());
            }
            sleep(Duration::from_millis(40)).await;
        }
    }
}

/// Guards against bytes without end: in the head, in header fields, in interim answers, in a body
/// with or without a length, in an error body, in an event and in comments. The caller gets an
/// answer in time, the router closes the connection, and its memory stays below that of its VM.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bytes_are_cut_off() {
    let endless = |text: &str| Step::Repeat(text.to_owned(), Duration::ZERO);
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x1_0000));
    let head = "HTTP/1.1 200 OK\r\nEbonyfall-Attempt-Id: {id}\r\nEbonyfall-Server-Seal: s\r\n";
    let failed = head.replace("200 OK", "500 Failed");
    let cases: [(&str, &str, Vec<Step>); 11] = [
        ("status line", SAFE, vec![endless("xxxxxxxxxxxxxxxx")]),
        (
            "field",
            SAFE,
            vec![send(head), send("A: "), endless("xxxxxxxxxxxxxxxx")],
        ),
        ("fields", SAFE, vec![send(head), endless("A: b\r\n")]),
        (
            "interim",
            SAFE,
            vec![endless("HTTP/1.1 102 Processing\r\n\r\n")],
        ),
        (
            "length",
            SAFE,
            vec![
                send(&format!("{head}Content-Length: 99999999999\r\n\r\n")),
                endless(&chunk),
            ],
        ),
        (
            "no length",
            SAFE,
            vec![send(&format!("{head}\r\n")), endless(&chunk)],
        ),
        (
            "chunks",
            UNSAFE,
            vec![
                send(&format!("{head}Transfer-Encoding: chunked\r\n\r\n")),
                endless(&chunk),
            ],
        ),
        (
            "error",
            UNSAFE,
            vec![send(&format!("{failed}\r\n")), endless(&chunk)],
        ),
        (
            "event",
            STREAM,
            vec![send(&stream_head()), send("data: "), endless(&chunk)],
        ),
        (
            "comments",
            STREAM,
            vec![send(&stream_head()), endless(": filler\n\n")],
        ),
        (
            "blank lines",
            RESUMABLE,
            vec![send(&stream_head()), endless("\n\n\n\n\n\n\n\n")],
        ),
    ];
    let env = Env::start(0).await;
    for (case, path, bytes) in cases {
        let script = std::iter::once(Step::Execute).chain(bytes);
        env.hostile.set_script(script.collect::<Vec<_>>());
        let method = if path == SAFE { "GET" } else { "POST" };
        let start = Instant::now();
        let before = env.hostile.sent_bytes();
        let calls = (0..CONCURRENT).map(|call| {
            let id = format!("endless-{case}-{call}").replace(' ', "-");
            let env = &env;
            async move { env.call(&id, method, path).await }
        });
        for reply in futures_util::future::join_all(calls).await {
            let is_whole = reply.status == StatusCode::OK && reply.body.is_ok();
            assert!(!is_whole, "{case}: looks complete");
        }
        assert!(
            start.elapsed() < DEADLINE + SLACK,
            "{case}: {:?}",
            start.elapsed()
        );
        // The target notices a closed connection with one of its next writes.
        sleep(Duration::from_millis(200)).await;
        let settled = env.hostile.sent_bytes();
        sleep(Duration::from_millis(200)).await;
        assert_eq!(
            env.hostile.sent_bytes(),
            settled,
            "{case}: a connection is still read"
        );
        let peak = env.deployment.peak_memory(0).expect("the router runs");
        assert!(
            peak < VM_MEMORY,
            "{case}: {peak} bytes of memory, {} sent",
            settled - before
        );
    }
    let metrics = env.deployment.metrics(0).await;
    for limit in ["head", "body", "event", "filler"] {
        let counter = format!("limit=\"{limit}\"");
        assert!(metrics.contains(&counter), "{limit} is counted: {metrics}");
    }
}

/// Guards against a stalled stream that stays open because the target sends a comment or a byte now
/// and then: another target resumes it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_stream_is_resumed_although_bytes_arrive() {
    let env = Env::start(1).await;
    env.deployment.targets[0].set_mode(AnswerMode::Stream {
        count: 3,
        cut_after: None,
    });
    for text in [": still here\n\n", "\n", "d"] {
        env.hostile.set_script([
            Step::Execute,
            send(&stream_head()),
            send("id: 1\ndata: token 1\n\n"),
            Step::Repeat(text.to_owned(), Duration::from_millis(100)),
        ]);
        for request in 0..4 {
            let id = format!("stalled-{request}");
            let reply = env.call(&id, "POST", RESUMABLE).await;
            let body = reply.body.expect("the stream is complete");
            let events: Vec<_> = body
                .lines()
                .filter(|line| line.starts_with("data: "))
                .collect();
            assert_eq!(
                events,
                ["data: token 1", "data: token 2", "data: token 3"],
                "{text:?}"
            );
        }
    }
}

/// Guards against a slow but sound stream that is cut: each event arrives within the limit, in
/// pieces.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_but_sound_stream_is_not_cut() {
    let env = Env::start(0).await;
    let mut script = vec![Step::Execute, send(&stream_head())];
    for piece in [
        "id: 1\n",
        "data: a",
        "b\n\n: note\n\n",
        "id: 2\ndata:",
        " c\n\n",
    ] {
        script.extend([Step::Wait(Duration::from_millis(300)), send(piece)]);
    }
    for path in [STREAM, RESUMABLE] {
        env.hostile.set_script(script.clone());
        let reply = env.call("slow", "POST", path).await;
        let body = reply.body.expect("the stream is complete");
        assert_eq!(body, "id: 1\ndata: ab\n\n: note\n\nid: 2\ndata: c\n\n");
    }
}

/// Guards against a retry that is held up by the body of a refusal that never ends.
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_refusal_does_not_hold_up_the_retry() {
    let env = Env::start(1).await;
    let refusal = refusal("{id}", "503 Busy").replace("Content-Length: 0", "Content-Length: 9");
    env.hostile.set_script([
        Step::Ignore,
        Step::Send(refusal),
        Step::Repeat(String::new(), Duration::from_millis(50)),
    ]);
    for request in 0..8 {
        let start = Instant::now();
        let reply = env.call(&format!("held-{request}"), "GET", SAFE).await;
        assert_eq!(reply.status, StatusCode::OK);
        assert!(start.elapsed() < SLACK, "{:?}", start.elapsed());
    }
}

/// Guards against a caller whose connection is closed without an answer because a stream broke off
/// before its first event.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_a_first_event_is_answered_with_a_code() {
    let env = Env::start(0).await;
    let head = stream_head().replace("\r\n\r\n", "\r\nContent-Length: 16\r\n\r\n");
    for path in [STREAM, RESUMABLE] {
        env.hostile
            .set_script([Step::Execute, send(&head), Step::Close]);
        for request in 0..8 {
            let reply = env.call(&format!("first-{request}"), "POST", path).await;
            assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{path}");
        }
    }
}

/// Guards against a stream that looks complete although its connection closed inside an event: it has
/// neither a length nor chunks, so that nothing else shows the break.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_inside_an_event_is_not_complete() {
    for cut in ["id: 2\ndata: tok", "id: 2\ndata: token 2\n"] {
        let env = Env::start(0).await;
        env.hostile.set_script([
            Step::Execute,
            send(&stream_head()),
            send("id: 1\ndata: token 1\n\n"),
            Step::Wait(Duration::from_millis(50)),
            send(cut),
            Step::Close,
        ]);
        let reply = env.call("inside", "POST", STREAM).await;
        assert!(reply.body.is_err(), "{cut:?}: {:?}", reply.body);
    }
    let env = Env::start(0).await;
    env.hostile
        .set_script([Step::Execute, send(&stream_head()), Step::Close]);
    let reply = env.call("empty", "POST", STREAM).await;
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
}

/// Guards against the error of the target that was to resume a stream being passed on as a part of
/// that stream, or ending it as if it were complete.
#[tokio::test(flavor = "multi_thread")]
async fn an_error_answer_does_not_continue_a_stream() {
    let error = "no such model\n\n";
    for answer in [
        sealed("404 Not Found", "", error),
        sealed("500 Internal Server Error", "", error),
        sealed("200 OK", "Content-Type: application/json\r\n", error),
    ] {
        let env = Env::start(1).await;
        env.deployment.targets[0].set_mode(AnswerMode::Stream {
            count: 3,
            cut_after: Some(1),
        });
        env.hostile.set_script([Step::Execute, send(&answer)]);
        let mut begun = false;
        for request in 0..40 {
            let reply = env
                .call(&format!("joined-{request}"), "POST", RESUMABLE)
                .await;
            match reply.body {
                // The error is the whole answer where its target was the first one.
                Ok(body) => assert_eq!(body, error, "{answer}"),
                Err(_cut) => begun = true,
            }
            if begun {
                break;
            }
        }
        assert!(begun, "{answer}: no request reached the other target first");
    }
}
