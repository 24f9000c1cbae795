//! Tests of routers whose callers send or read too much, too slowly or only half, on both paths.
//!
//! They check only what does not depend on the machine's speed: the process lives, its memory and
//! descriptors stay within its settings, and an ordinary request is answered afterwards.
//! `CALLERS_CASE=bodies cargo test --test callers` plays the cases whose names contain the text.

mod cases;
mod crowd;
mod env;
mod limits;
#[path = "../testenv/mod.rs"]
mod testenv;

use tokio::sync::Mutex;

use crate::{
    cases::{Case, bodies, heads, paces},
    env::{Env, Kind},
};

/// Held by the one test that runs. Crowds that run at once would slow each other down.
static TURN: Mutex<()> = Mutex::const_new(());

/// Plays every case at every place and reports all that failed.
async fn play(kind: Kind, cases: Vec<Case>) {
    let _turn = TURN.lock().await;
    let mut env = Env::start(kind).await;
    let wanted = std::env::var("CALLERS_CASE").unwrap_or_default();
    let mut faults = Vec::new();
    for case in cases {
        for place in env.places() {
            let name = format!("{kind:?}, {}, {}", case.name, place.name);
            if !name.contains(&wanted) {
                continue;
            }
            let usage = crowd::play(&case, &place, env.process_id()).await;
            println!("{name}: {usage}");
            let mut found = usage.faults();
            if !env.answers_ordinary_request().await {
                found.push("no answer to an ordinary request".to_owned());
            }
            if !found.is_empty() {
                faults.push(format!("{name}: {}", found.join(", ")));
                env.restart().await;
            }
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards against a router that runs out of memory because it keeps the bodies of many callers whole,
/// or reads bodies that it will refuse.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_router_bears_crowds_with_large_bodies() {
    play(Kind::Entry, bodies()).await;
}

/// Guards against the same on the path with agents.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_with_agents_bears_crowds_with_large_bodies() {
    play(Kind::Agent, bodies()).await;
}

/// Guards against a router that runs out of memory or descriptors because of heads with very many
/// fields, or requests that are sent ahead.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_router_bears_crowds_with_costly_heads() {
    play(Kind::Entry, heads()).await;
}

/// Guards against the same on the path with agents.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_with_agents_bears_crowds_with_costly_heads() {
    play(Kind::Agent, heads()).await;
}

/// Guards against a router that runs out of descriptors because callers send or read very slowly, or
/// stop half-way.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_router_bears_crowds_that_are_slow_or_stop() {
    play(Kind::Entry, paces()).await;
}

/// Guards against the same on the path with agents.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_with_agents_bears_crowds_that_are_slow_or_stop() {
    play(Kind::Agent, paces()).await;
}
