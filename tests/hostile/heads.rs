//! Targets that stop in the middle of an answer's head, or of its body, and close the connection, on both
//! paths.

use ebonyfall_standin::{
    entrance::{EntryDeployment, Reply},
    hostile::{HostileTarget, Step},
};

use crate::env::{
    AGENT_SAFE, AGENT_UNSAFE, AgentEnv, Env, RESUMABLE, SAFE, STREAM, UNSAFE, sealed, send,
    stream_head,
};

fn plain() -> String {
    sealed("200 OK", "Content-Type: text/plain\r\n", "the whole answer")
}

fn event_stream() -> String {
    let head = stream_head().replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n");
    format!("{head}15\r\nid: 1\ndata: token 1\n\n\r\n0\r\n\r\n")
}

/// An interim answer before the answer itself.
fn with_interim() -> String {
    format!("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n{}", plain())
}

/// An answer without a length, which ends with its connection. Only its head is cut: where its body
/// ends nobody can know.
fn without_length() -> String {
    plain().replace("Content-Length: 16\r\n", "")
}

/// Answers with the path that gets them, and the number of their bytes after which a cut can be told.
fn answers(safe: &'static str, others: [&'static str; 3]) -> Vec<(&'static str, String, usize)> {
    let [once, stream, resumable] = others;
    let mut cases = Vec::new();
    for (path, text) in [
        (safe, plain()),
        (once, plain()),
        (safe, with_interim()),
        (stream, event_stream()),
        (resumable, event_stream()),
    ] {
        let cuts = text.len();
        cases.push((path, text, cuts));
    }
    let text = without_length();
    let cuts = text.len() - "the whole answer".len();
    cases.push((once, text, cuts));
    cases
}

fn script(text: &str) -> [Step; 3] {
    [Step::Execute, send(text), Step::Close]
}

/// Checks that most of `cuts` requests have reached the target, so that the test shows something.
fn check_executions(target: &HostileTarget, path: &str, cuts: usize) {
    let executed = target.total_executions();
    assert!(executed > cuts / 2, "{path}: {executed} of {cuts} were cut");
    target.forget_executions();
}

fn assert_not_whole(reply: Option<&Reply>, what: &str) {
    let Some(reply) = reply else { return };
    let is_whole = reply.status.is_success() && reply.body.is_ok();
    assert!(!is_whole, "{what}: {:?}", reply.body);
}

/// Guards against a caller that gets a 200 with an empty or short body, framed as whole, because the
/// target closed the connection within the head of its answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_cut_at_any_byte_does_not_look_complete() {
    let env = Env::start(0).await;
    let listen = env.deployment.routers[0].listen;
    for (path, text, cuts) in answers(SAFE, [UNSAFE, STREAM, RESUMABLE]) {
        let method = if path == SAFE { "GET" } else { "POST" };
        for cut in 0..cuts {
            env.hostile.set_script(script(&text[..cut]));
            let id = format!("cut-{cut:04}");
            let reply = EntryDeployment::call(listen, &id, (method, path, "body"), &[]).await;
            assert_not_whole(reply.as_ref(), &format!("{path}, {:?}", &text[..cut]));
        }
        check_executions(&env.hostile, path, cuts);
    }
}

/// Guards against the same behind an agent.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_cut_at_any_byte_does_not_look_complete_behind_an_agent() {
    let env = AgentEnv::start().await;
    let paths = [AGENT_UNSAFE, AGENT_UNSAFE, AGENT_SAFE];
    for (path, text, cuts) in answers(AGENT_SAFE, paths) {
        let method = if path == AGENT_SAFE { "GET" } else { "POST" };
        for cut in 0..cuts {
            env.hostile.set_script(script(&text[..cut]));
            let reply = env.call("cut", method, path).await;
            assert_not_whole(reply.as_ref(), &format!("{path}, {:?}", &text[..cut]));
        }
        check_executions(&env.hostile, path, cuts);
    }
}
