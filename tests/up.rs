//! Test of the demo deployment with the example call that it prints.

use std::path::Path;

use bytes::Bytes;
use ebonyfall_bench::up::{EXAMPLE, Up};
use http::{Request, StatusCode, header::AUTHORIZATION};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};

/// Guards against a printed example call that fails, streamed or not, and a deployment that accepts
/// a wrong key.
#[tokio::test(flavor = "multi_thread")]
async fn printed_example_call_works() {
    let program = Path::new(env!("CARGO_BIN_EXE_ebonyfall-router"));
    let folder = program.parent().expect("the program is in a folder");
    let up = Up::start(folder.to_owned(), 2).await;
    let up = up.expect("the deployment starts");
    let text = up.describe();
    let word_after = |after: &str| {
        let at = text.find(after).expect("the printed text contains it") + after.len();
        let end = text[at..]
            .find([' ', '\n', ',', '\''])
            .expect("a delimiter follows the word");
        text[at..at + end].to_owned()
    };
    let uri = word_after("curl -N ");
    let key = word_after("Bearer ");
    assert!(text.contains(EXAMPLE));
    let client = Client::builder(TokioExecutor::new()).build_http();
    let plain = EXAMPLE.replace("\"stream\":true", "\"stream\":false");
    for (body, key, status, part) in [
        (EXAMPLE, key.as_str(), StatusCode::OK, "data: [DONE]"),
        (plain.as_str(), key.as_str(), StatusCode::OK, "choices"),
        (EXAMPLE, "bad-key", StatusCode::UNAUTHORIZED, ""),
    ] {
        let req = Request::post(&uri)
            .header(AUTHORIZATION, format!("Bearer {key}"))
            .header("content-type", "application/json")
            .body(Full::<Bytes>::from(body.to_owned()))
            .expect("the parts are valid");
        let res = client.request(req).await.expect("the router answers");
        assert_eq!(res.status(), status);
        let body = res
            .into_body()
            .collect()
            .await
            .expect("the answer is complete");
        let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        assert!(body.contains(part), "{body}");
    }
}
