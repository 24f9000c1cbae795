//! Tests of where cached prompt prefixes of returning chats are reused or fetched from.

use std::{path::Path, time::Duration};

use ebonyfall_bench::entry::{self, EntryArgs};
use ebonyfall_standin::{memory::PromptTokens, registered::AnswerMode};
use http::StatusCode;
use tokio::time::sleep;

use crate::{RESUMABLE, env::EntryEnv, set_behaviour};

/// Capacity of a model server's prefix cache, in prompt tokens.
const CACHE_TOKENS: u64 = 100_000;
/// Number of contexts that are sent through both routers.
const CONTEXTS: u64 = 8;
/// Time within which a placement reaches the other router.
const GOSSIP_TIME: Duration = Duration::from_millis(1_500);
/// Minimum share of the prompt tokens that an ideal router would reuse and that the routers must
/// reuse.
const MIN_REUSE: f64 = 0.97;

async fn send(env: &EntryEnv, router: usize, context: u64) {
    let prompt = format!("aa:100,c{context:x}:1000,d{router}{context:x}:50");
    let headers = [("Ebonyfall-Prefix-Hash", &*prompt)];
    let reply = env
        .call_router(router, "POST", RESUMABLE, "", &headers)
        .await;
    assert_eq!(reply.status, StatusCode::OK);
    reply.body.expect("the answer is complete");
}

/// Guards against contexts that are computed again because a router does not know on which target
/// another router has placed them while their home target declined requests.
#[tokio::test(flavor = "multi_thread")]
async fn contexts_are_fetched_from_the_target_chosen_by_another_router() {
    let env = EntryEnv::start_fleet(2, 2).await;
    for router in 0..2 {
        while !env.metrics(router).await.contains("ebonyfall_routers 2") {
            sleep(Duration::from_millis(50)).await;
        }
    }
    let prompt_caches = env.set_model_servers(CACHE_TOKENS);
    set_behaviour(&env, AnswerMode::Decline);
    env.targets[0].set_mode(AnswerMode::ByPath { events: 2 });
    for context in 0..CONTEXTS {
        send(&env, 0, context).await;
    }
    sleep(GOSSIP_TIME).await;
    set_behaviour(&env, AnswerMode::ByPath { events: 2 });
    for context in 0..CONTEXTS {
        send(&env, 1, context).await;
    }
    let PromptTokens {
        computed_first,
        fetched,
        recomputed,
        ..
    } = prompt_caches.total_tokens().await;
    assert_eq!(computed_first, 100 + CONTEXTS * 1_000);
    assert_eq!(recomputed, 0, "no prompt token is computed twice");
    assert!(
        fetched >= 1_000,
        "some contexts have their home on the other target"
    );
}

/// Guards against routers that send returning chats to targets without the cached context, which
/// have to compute it again.
#[tokio::test(flavor = "multi_thread")]
async fn returning_chats_reuse_their_contexts() {
    let folder = tempfile::tempdir().expect("the system has a folder for temporary files");
    let args = EntryArgs {
        routers: 3,
        targets: 5,
        contexts: 40,
        callers: 12,
        seconds: 3,
        seed: 1,
    };
    let program = Path::new(env!("CARGO_BIN_EXE_ebonyfall-entry"));
    let report = entry::measure(program, folder.path(), &args).await;
    assert_eq!(report.failed, 0, "{report:?}");
    assert!(report.requests > 100, "{report:?}");
    assert!(report.reuse_of_best >= MIN_REUSE, "{report:?}");
}
