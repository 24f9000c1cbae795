//! Answers that go on after the deadline of their request, on both paths.

use std::time::Duration;

use ebonyfall_standin::{
    entrance::{EntryDeployment, Reply},
    hostile::Step,
};
use futures_util::future::join_all;
use http::StatusCode;
use tokio::time::{Instant, timeout};

use crate::env::{
    AGENT_SAFE, AGENT_UNSAFE, AgentEnv, DEADLINE, Env, RESUMABLE, SAFE, SLACK, STREAM, UNSAFE,
    sealed, send, stream_head,
};

/// Pause between two pieces of an answer. It is shorter than any wait of a router for one piece.
const DRIP: Duration = Duration::from_millis(40);
/// Longest wait of a caller, so that a test ends where an answer does not.
const CALLER_TIMEOUT: Duration = Duration::from_secs(6);

fn drip(text: &str) -> Step {
    Step::Repeat(text.to_owned(), DRIP)
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Answers that never end, by the kind of route that gets them: a name, the path, and the bytes
/// after the request was read.
fn endless_answers() -> Vec<(&'static str, &'static str, Vec<Step>)> {
    let chunked = stream_head().replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n");
    let event = "id: 1\ndata: token\n\n";
    let head = sealed("200 OK", "", "");
    let (endless_head, _) = head.split_once("Content-Length").expect("it has a length");
    let endless_body = format!("{endless_head}\r\n");
    let failed = endless_body.replace("200 OK", "500 Failed");
    let mut answers = Vec::new();
    for path in [STREAM, RESUMABLE] {
        answers.extend([
            ("bytes", path, vec![send(&chunked), drip(&chunk(":"))]),
            (
                "bytes after an event",
                path,
                vec![send(&chunked), send(&chunk(event)), drip(&chunk(":"))],
            ),
            (
                "comments",
                path,
                vec![send(&stream_head()), drip(": a\n\n")],
            ),
            ("events", path, vec![send(&chunked), drip(&chunk(event))]),
            (
                "events without a pause",
                path,
                vec![
                    send(&stream_head()),
                    Step::Repeat(event.to_owned(), Duration::from_micros(50)),
                ],
            ),
        ]);
    }
    for path in [SAFE, UNSAFE] {
        answers.extend([
            ("head", path, vec![send(endless_head), drip("A: b\r\n")]),
            ("body", path, vec![send(&endless_body), drip("x")]),
            ("error body", path, vec![send(&failed), drip("x")]),
        ]);
    }
    answers
}

/// Waits for the answers to requests that were sent at `start`, and checks that they end in time and
/// that none looks complete.
async fn check(what: &str, start: Instant, calls: impl Future<Output = Vec<Option<Reply>>>) {
    let replies = timeout(CALLER_TIMEOUT, calls).await;
    let replies = replies.unwrap_or_else(|_| panic!("{what}: no end"));
    let took = start.elapsed();
    assert!(took < DEADLINE + SLACK, "{what}: {took:?}");
    for reply in replies.into_iter().flatten() {
        let is_whole = reply.status == StatusCode::OK && reply.body.is_ok();
        assert!(!is_whole, "{what}: looks complete");
    }
}

/// Script of a connection whose target executes a request and answers with these bytes.
fn script(bytes: Vec<Step>) -> Vec<Step> {
    std::iter::once(Step::Execute).chain(bytes).collect()
}

/// Guards against a request without an end after its route's timeout, because the target goes on to
/// send bytes, comments or events: each of them renewed the wait for the next one. The caller itself
/// would wait for longer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_an_end_is_cut_off_at_the_deadline() {
    let env = Env::start(0).await;
    let listen = env.deployment.routers[0].listen;
    for (case, path, bytes) in endless_answers() {
        env.hostile.set_script(script(bytes));
        let method = if path == SAFE { "GET" } else { "POST" };
        let start = Instant::now();
        let calls = (0..8).map(|call| {
            let id = format!("deadline-{}-{call}", case.replace(' ', "-"));
            async move {
                let headers = [("ebonyfall-deadline-ms", "10000")];
                EntryDeployment::call(listen, &id, (method, path, "body"), &headers).await
            }
        });
        check(&format!("{path}, {case}"), start, join_all(calls)).await;
    }
}

/// Guards against the same behind a router with an agent, whose waits are other code.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_an_end_is_cut_off_at_the_deadline_behind_an_agent() {
    let env = AgentEnv::start().await;
    for (case, path, bytes) in endless_answers() {
        env.hostile.set_script(script(bytes));
        let (method, path) = if path == UNSAFE {
            ("POST", AGENT_UNSAFE)
        } else {
            ("GET", AGENT_SAFE)
        };
        let start = Instant::now();
        let calls = (0..8).map(|call| {
            let (env, id) = (&env, format!("agent-{call}"));
            async move { env.call(&id, method, path).await }
        });
        check(&format!("{path}, {case}"), start, join_all(calls)).await;
    }
}
