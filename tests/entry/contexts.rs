//! Where the contexts of returning chats are read, kept and fetched from.

use std::{path::Path, time::Duration};

use ebonyfall_bench::entry::{self, EntryArgs};
use ebonyfall_standin::{memory::PromptTokens, registered::AnswerMode};
use http::StatusCode;
use tokio::time::sleep;

use crate::{RESUMABLE, env::EntryEnv, set_all};

/// Prompt tokens that a model server keeps.
const ROOM: u64 = 100_000;
/// Contexts that are sent through both routers.
const CONTEXTS: u64 = 8;
/// Time for which routers tell each other a placement.
const TOLD: Duration = Duration::from_millis(1_500);
/// Part of what an all-knowing router need not have read again that routers must not read again.
const REUSE: f64 = 0.97;

async fn send(env: &EntryEnv, router: usize, context: u64) {
    let prompt = format!("aa:100,c{context:x}:1000,d{router}{context:x}:50");
    let headers = [("Ebonyfall-Prefix-Hash", &*prompt)];
    let reply = env
        .call_router(router, "POST", RESUMABLE, "", &headers)
        .await;
    assert_eq!(reply.status, StatusCode::OK);
    reply.body.expect("the answer is whole");
}

/// Guards against contexts that are read again because a router does not know where another one has
/// placed them while their home was full.
#[tokio::test(flavor = "multi_thread")]
async fn contexts_are_fetched_from_where_another_router_placed_them() {
    let env = EntryEnv::start_fleet(2, 2).await;
    for router in 0..2 {
        while !env.metrics(router).await.contains("ebonyfall_routers 2") {
            sleep(Duration::from_millis(50)).await;
        }
    }
    let prompt_caches = env.set_model_servers(ROOM);
    set_all(&env, AnswerMode::Decline);
    env.targets[0].set_mode(AnswerMode::ByPath { events: 2 });
    for context in 0..CONTEXTS {
        send(&env, 0, context).await;
    }
    sleep(TOLD).await;
    set_all(&env, AnswerMode::ByPath { events: 2 });
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
    assert_eq!(recomputed, 0, "nothing is read twice");
    assert!(fetched >= 1_000, "some contexts have another home");
}

/// Guards against routers that scatter returning chats, or send them to targets that have to read
/// them again.
#[tokio::test(flavor = "multi_thread")]
async fn returning_chats_find_their_contexts() {
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
    let row = entry::measure(program, folder.path(), &args).await;
    assert_eq!(row.failed, 0, "{row:?}");
    assert!(row.requests > 100, "{row:?}");
    assert!(row.reuse_of_best >= REUSE, "{row:?}");
}
