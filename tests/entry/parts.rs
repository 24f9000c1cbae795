//! Tests of prompt parts that crash the targets which begin to answer requests with them.

use std::time::Duration;

use ebonyfall_standin::registered::{AnswerMode, RegisteredTarget};
use tokio::time::{Instant, sleep};

use crate::{STREAM, env::EntryEnv, events};

const ROUTERS: usize = 2;
const TARGETS: usize = 6;
/// Crashes after which a fleet has to know the part, and the time that it may take.
const CRASHES: usize = 5;
const CONTACT: Duration = Duration::from_secs(3);
/// Most requests with the part that may reach targets after that.
const MAX_LATE: usize = 3;
/// Time between two requests with the part; targets are down for 300 ms.
const PAUSE: Duration = Duration::from_millis(100);
const LATE_REQUESTS: usize = 10;
/// Time until routers know a target that has registered.
const PROPAGATION: Duration = Duration::from_secs(2);
const EVENTS: u32 = 3;

/// Number of requests with the deadly part that have reached targets.
fn reached(targets: &[RegisteredTarget]) -> usize {
    let requests = targets.iter().flat_map(RegisteredTarget::executed_requests);
    let prompts = requests.filter_map(|mut req| req.headers.remove("ebonyfall-prefix-hash"));
    prompts.filter(|prompt| prompt.contains("dead:")).count()
}

/// Sends a request that differs from all others in its body and in the last part of its prompt.
/// Returns whether it got a complete answer.
async fn is_served(env: &EntryEnv, number: usize, shared: &str) -> bool {
    let prompt = format!("{shared},{number:x}f:20");
    let headers = [("Ebonyfall-Prefix-Hash", prompt.as_str())];
    let body = format!("draft {number}");
    let reply = env.call_router(number % ROUTERS, "POST", STREAM, &body, &headers);
    reply.await.body.is_ok_and(|body| body == events(EVENTS))
}

/// Guards against requests that crash one target after the other because no two of them are alike
/// but for one prompt part, and against sound requests that are refused for their common parts.
#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_part_that_crashes_targets_stops_reaching_them() {
    let env = EntryEnv::start_fleet(ROUTERS, 0).await;
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        // Behind a proxy, a target that is down would still accept connections.
        let (target, address) = RegisteredTarget::start().await;
        target.set_mode(AnswerMode::ByPath { events: EVENTS });
        target.set_deadly_part("dead");
        env.register_address(&format!("m-{number}"), address).await;
        targets.push(target);
    }
    sleep(PROPAGATION).await;
    let mut number = 0;
    let mut send = async |shared: &str| {
        number += 1;
        is_served(&env, number, shared).await
    };
    let start = Instant::now();
    while reached(&targets) < CRASHES && start.elapsed() < CONTACT {
        send("aa:500,dead:30").await;
        send("aa:500,bb:30").await;
        sleep(PAUSE).await;
    }
    sleep(CONTACT).await;
    let before = reached(&targets);
    let mut sound = 0;
    for _ in 0..LATE_REQUESTS {
        send("aa:500,dead:30").await;
        sound += usize::from(send("aa:500,bb:30").await);
        sleep(PAUSE).await;
    }
    let late = reached(&targets) - before;
    assert!(late <= MAX_LATE, "{late} reached targets");
    assert!(2 * sound >= LATE_REQUESTS, "{sound} sound ones were served");
}
