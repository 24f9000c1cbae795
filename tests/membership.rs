//! Process tests of membership: a paused agent, an agent's shutdown, and a router's start during an
//! outage of the log.

mod testenv;

use std::{process::Command, time::Duration};

use ebonyfall_bench::client::{Outcome, messages};
use ebonyfall_standin::log::LogFaults;
use testenv::{TestEnv, plan};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// Sends signal `name`, such as `STOP`, to a process id.
fn signal(name: &str, pid: u32) {
    let status = Command::new("kill")
        .args([format!("-{name}"), pid.to_string()])
        .status();
    assert!(status.expect("the system has kill").success());
}

/// Guards against requests that wait for a paused agent, and against an agent that stays excluded
/// after it resumes and so loses the chats in its cache.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_agent_gets_no_requests_until_it_resumes() {
    let env = TestEnv::start(plan(3, 0)).await;
    for chat in 0..30 {
        let (outcome, _) = env.caller(0).chat(&messages(chat, 0, 8), 8, false).await;
        assert_eq!(outcome, Outcome::Completed { cached: false }, "chat {chat}");
    }
    signal("STOP", env.deployment.agents[0].id());
    // Time for a gossip round to find the agent silent, two probes, and dissemination.
    sleep(Duration::from_secs(6)).await;
    for chat in 100..130 {
        for router in 0..2 {
            let start = Instant::now();
            let caller = env.caller(router);
            let (outcome, _) = caller.chat(&messages(chat, 0, 8), 8, false).await;
            assert!(matches!(outcome, Outcome::Completed { .. }), "chat {chat}");
            // A connection to the paused agent would wait 2 s for its handshake.
            let took = start.elapsed();
            assert!(took < Duration::from_secs(1), "chat {chat} took {took:?}");
        }
    }
    signal("CONT", env.deployment.agents[0].id());
    sleep(Duration::from_secs(4)).await;
    for chat in 0..30 {
        let caller = env.caller(1);
        let (outcome, _) = caller.chat(&messages(chat, 1, 8), 8, false).await;
        assert_eq!(outcome, Outcome::Completed { cached: true }, "chat {chat}");
    }
}

/// Guards against requests that fail because an agent shuts down under load: running ones that the
/// agent interrupts, and new ones that routers still send to the agent and then do not retry.
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_of_an_agent_under_load_fails_no_request() {
    let mut env = TestEnv::start(plan(3, 0)).await;
    let end = Instant::now() + Duration::from_secs(4);
    let mut callers = JoinSet::new();
    for index in 0..3 {
        let caller = env.caller(usize::try_from(index % 2).unwrap());
        callers.spawn(async move {
            let mut outcomes = Vec::new();
            for chat in 0.. {
                if Instant::now() >= end {
                    break;
                }
                let messages = messages(chat * 3 + index, 0, 100);
                outcomes.push(caller.chat(&messages, 100, chat % 2 == 0).await.0);
            }
            outcomes
        });
    }
    sleep(Duration::from_secs(1)).await;
    signal("TERM", env.deployment.agents[0].id());
    let outcomes = callers.join_all().await.concat();
    let whole = |outcome: &&Outcome| matches!(outcome, Outcome::Completed { .. });
    let failed: Vec<_> = outcomes.iter().filter(|outcome| !whole(outcome)).collect();
    assert!(
        failed.is_empty(),
        "{} of {}: {failed:?}",
        failed.len(),
        outcomes.len()
    );
    assert_eq!(env.deployment.agents[0].wait().unwrap(), Some(0));
}

/// Guards against a router that cannot serve because the log is down when it starts: it must get
/// the configuration from its peers.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_starts_during_a_log_outage_serves() {
    let mut env = TestEnv::start(plan(3, 0)).await;
    let faults = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    env.deployment.platform.set_faults(faults).await;
    env.deployment.routers[1].restart().unwrap();
    // A configuration has to be in force within 8 s.
    let served = timeout(Duration::from_secs(8), async {
        for chat in 0.. {
            let caller = env.caller(1);
            let (outcome, _) = caller.chat(&messages(chat, 0, 8), 8, false).await;
            if matches!(outcome, Outcome::Completed { .. }) {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
    });
    served.await.expect("served within 8 s");
}
