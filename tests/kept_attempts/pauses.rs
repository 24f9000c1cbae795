//! Sound engines and services that pause, beside stops, pauses and new configurations.

use std::{process::Command, time::Duration};

use ebonyfall_bench::client::{Outcome, messages};
use ebonyfall_standin::{
    deploy::Daemon,
    engine::EngineConfig,
    pausing::{Conduct, PauseAt, complete_body},
};
use tokio::{task::JoinSet, time::sleep};
use uuid::Uuid;

use crate::{
    env::{Env, SAFE, UNSAFE},
    testenv::plan,
};

/// Time between two tokens, and pause of the services.
const PAUSE: Duration = Duration::from_millis(2_500);
/// Time from the start of the requests until the event beside them.
const BEFORE_EVENT: Duration = Duration::from_millis(500);
/// Time for which an agent or a router stands still.
const STANDSTILL: Duration = Duration::from_millis(1_500);
/// Requests of each kind.
const CALLERS: u64 = 4;

/// What happens while the requests run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Beside {
    Nothing,
    RouterStops,
    AgentsStop,
    RouterStandsStill,
    AgentsStandStill,
    ZoneOut,
    TargetsRemoved,
}

fn signal(name: &str, daemon: &Daemon) {
    let id = daemon.id().to_string();
    let sent = Command::new("kill").args([name, &id]).status();
    assert!(sent.expect("kill is installed").success());
}

/// The document without the sections of these targets.
fn without_targets(document: &str, names: [&str; 2]) -> String {
    let is_kept = |section: &&str| {
        let mut names = names.iter();
        !names.any(|name| section.starts_with(&format!("target {name}]")))
    };
    let sections: Vec<_> = document.split('[').filter(is_kept).collect();
    sections.join("[")
}

async fn apply(env: &Env, beside: Beside) {
    let deployment = &env.processes.deployment;
    let standing: Vec<_> = match beside {
        Beside::RouterStandsStill => deployment.routers.iter().collect(),
        Beside::AgentsStandStill => deployment.agents.iter().collect(),
        _ => Vec::new(),
    };
    for daemon in &standing {
        signal("-STOP", daemon);
    }
    if !standing.is_empty() {
        sleep(STANDSTILL).await;
    }
    for daemon in &standing {
        signal("-CONT", daemon);
    }
    match beside {
        Beside::RouterStops => signal("-TERM", &deployment.routers[0]),
        Beside::AgentsStop => {
            for agent in &deployment.agents {
                signal("-TERM", agent);
            }
        }
        Beside::ZoneOut => {
            let out = env
                .document
                .replace("[zone a]\n", "[zone a]\nstate = out\n");
            deployment.publish(&out).await.expect("it is published");
        }
        Beside::TargetsRemoved => {
            let less = without_targets(&env.document, ["engine-0", "service-0"]);
            deployment.publish(&less).await.expect("it is published");
        }
        _ => {}
    }
}

/// Runs requests of all kinds, whose targets pause, beside an event, and checks that all are answered
/// whole.
async fn assert_whole(beside: Beside) {
    let mut plan = plan(2, 2);
    plan.engine = EngineConfig {
        token_us: u64::try_from(PAUSE.as_micros()).expect("a short time"),
        cold_slots: 32,
        ..EngineConfig::default()
    };
    let env = Env::start(plan).await;
    for place in [PauseAt::Head, PauseAt::Within] {
        env.set_conduct(Conduct::Serve(place, PAUSE));
        let mut calls = JoinSet::new();
        for number in 0..CALLERS {
            for stream in [true, false] {
                let caller = env.processes.caller(0);
                calls.spawn(async move {
                    let (outcome, _) = caller.chat(&messages(number, 0, 0), 2, stream).await;
                    let is_whole = matches!(outcome, Outcome::Completed { .. });
                    (is_whole, format!("chat, stream {stream}: {outcome:?}"))
                });
            }
            let key = Uuid::now_v7().to_string();
            for (path, key) in [(SAFE, None), (UNSAFE, None), (UNSAFE, Some(key))] {
                let keyed = key.is_some();
                let call = env.call(path, key);
                calls.spawn(async move {
                    let reply = call.await;
                    let body = reply.as_ref().and_then(|reply| reply.body.as_deref().ok());
                    let is_whole = body == Some(complete_body());
                    (is_whole, format!("{path}, keyed {keyed}: {reply:?}"))
                });
            }
        }
        sleep(BEFORE_EVENT).await;
        apply(&env, beside).await;
        let ended = calls.join_all().await;
        let cut: Vec<_> = ended.iter().filter(|(is_whole, _)| !is_whole).collect();
        assert!(
            cut.is_empty(),
            "{beside:?}, {place:?}: {} of {}: {cut:#?}",
            cut.len(),
            ended.len()
        );
        if matches!(beside, Beside::RouterStops | Beside::AgentsStop) {
            return;
        }
    }
}

/// Guards against answers that are ended because their target is silent for a while.
#[tokio::test(flavor = "multi_thread")]
async fn a_pause_ends_no_answer() {
    assert_whole(Beside::Nothing).await;
}

/// Guards against the same while the router stops.
#[tokio::test(flavor = "multi_thread")]
async fn a_pause_ends_no_answer_beside_a_stop_of_the_router() {
    assert_whole(Beside::RouterStops).await;
}

/// Guards against the same while the agents stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_pause_ends_no_answer_beside_a_stop_of_the_agents() {
    assert_whole(Beside::AgentsStop).await;
}

/// Guards against answers that a router gives up after it has stood still.
#[tokio::test(flavor = "multi_thread")]
async fn a_standstill_of_the_router_ends_no_answer() {
    assert_whole(Beside::RouterStandsStill).await;
}

/// Guards against answers that are given up because their agent stood still.
#[tokio::test(flavor = "multi_thread")]
async fn a_standstill_of_the_agents_ends_no_answer() {
    assert_whole(Beside::AgentsStandStill).await;
}

/// Guards against answers that are ended when their target's zone goes out of service, and against later
/// requests that are refused because the chat's context is at such a target.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_goes_out_ends_no_answer() {
    assert_whole(Beside::ZoneOut).await;
}

/// Guards against answers that are ended when their target leaves the configuration, and against later
/// requests that are refused because the chat's context is at such a target.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_is_removed_ends_no_answer() {
    assert_whole(Beside::TargetsRemoved).await;
}
