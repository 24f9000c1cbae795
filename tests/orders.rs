//! End-to-end tests of at-most-once requests under crashes, pauses and log failures.

mod testenv;

use std::{
    process::{Command, Stdio},
    time::Duration,
};

use ebonyfall_bench::client::{Caller, Outcome, messages};
use ebonyfall_standin::{log::LogFaults, service::ServiceFaults};
use testenv::{TestEnv, plan};
use tokio::{
    task::{JoinHandle, yield_now},
    time::sleep,
};
use uuid::{NoContext, Timestamp, Uuid};

const COMPLETED: Outcome = Outcome::Completed { cached: false };
/// Longer than the time after which a router queries the agent about another router's open claim.
const PAST_CLAIM_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay of the log's answers in tests that pause a router while it waits for one.
const LOG_DELAY: Duration = Duration::from_millis(500);

fn key() -> String {
    Uuid::now_v7().to_string()
}

/// Number of times that the services have run the order for `item`.
async fn run_count(env: &TestEnv, item: &str) -> u32 {
    let mut runs = 0;
    for (service, _) in &env.deployment.services {
        runs += service.orders().await.get(item).copied().unwrap_or(0);
    }
    runs
}

fn spawn_order(caller: Caller, item: &'static str, key: &str) -> JoinHandle<Outcome> {
    let key = key.to_owned();
    tokio::spawn(async move { caller.order(item, Some(&key)).await })
}

fn signal(name: &str, pid: u32) {
    let sent = Command::new("kill").args([name, &pid.to_string()]).status();
    assert!(sent.expect("kill is installed").success());
}

async fn delay_service(env: &TestEnv, millis: u64) {
    let faults = ServiceFaults {
        delay: Duration::from_millis(millis),
        ..ServiceFaults::default()
    };
    env.deployment.services[0].0.set_faults(faults).await;
}

/// Guards against a second run when a caller sends the same key through two routers at once, and
/// when it repeats a request that has ended.
#[tokio::test(flavor = "multi_thread")]
async fn same_key_through_two_routers_runs_once() {
    let env = TestEnv::start(plan(0, 2)).await;
    for round in 0..5 {
        let item = ["a", "b", "c", "d", "e"][round];
        let key = key();
        let first = spawn_order(env.caller(0), item, &key);
        let second = spawn_order(env.caller(1), item, &key);
        let outcomes = [first.await.unwrap(), second.await.unwrap()];
        assert!(outcomes.contains(&COMPLETED), "{outcomes:?}");
        let other =
            |o: &Outcome| [COMPLETED, Outcome::Refused(3002), Outcome::Refused(3003)].contains(o);
        assert!(outcomes.iter().all(other), "{outcomes:?}");
        assert_eq!(run_count(&env, item).await, 1);
        // The router that claimed the request has stored the answer; the other router can only
        // report that the request ran.
        let owner = usize::from(outcomes[0] != COMPLETED);
        let repeat = env.caller(owner).order(item, Some(&key)).await;
        assert_eq!(repeat, COMPLETED);
        sleep(PAST_CLAIM_TIMEOUT).await;
        let repeat = env.caller(1 - owner).order(item, Some(&key)).await;
        assert_eq!(repeat, Outcome::Refused(3003));
        assert_eq!(run_count(&env, item).await, 1);
    }
}

/// Guards against keys without a timestamp, keys that have expired, and keys reused with different
/// content.
#[tokio::test(flavor = "multi_thread")]
async fn unusable_keys_are_refused() {
    let env = TestEnv::start(plan(0, 1)).await;
    let caller = env.caller(0);
    let old = Uuid::new_v7(Timestamp::from_unix(NoContext, 1_700_000_000, 0)).to_string();
    let refused = async |key: &str| caller.order("refused", Some(key)).await;
    assert_eq!(refused("order-1").await, Outcome::Refused(1007));
    assert_eq!(refused(&old).await, Outcome::Refused(1008));
    assert_eq!(run_count(&env, "refused").await, 0);
    let key = key();
    assert_eq!(caller.order("one", Some(&key)).await, COMPLETED);
    assert_eq!(refused(&key).await, Outcome::Refused(1009));
    assert_eq!(run_count(&env, "refused").await, 0);
}

/// Guards against a second run after the router that claimed the order was killed.
#[tokio::test(flavor = "multi_thread")]
async fn killed_router_does_not_cause_a_second_run() {
    let mut env = TestEnv::start(plan(0, 1)).await;
    delay_service(&env, 1_000).await;
    let key = key();
    let first = spawn_order(env.caller(0), "killed", &key);
    sleep(Duration::from_millis(400)).await;
    env.deployment.routers[0].kill();
    assert_eq!(first.await.unwrap(), Outcome::Interrupted);
    let early = env.caller(1).order("killed", Some(&key)).await;
    assert_eq!(early, Outcome::Refused(3002));
    sleep(PAST_CLAIM_TIMEOUT).await;
    let late = env.caller(1).order("killed", Some(&key)).await;
    assert_eq!(late, Outcome::Refused(3003));
    assert_eq!(run_count(&env, "killed").await, 1);
}

/// Guards against a router that is paused after it appended a claim, and that sends the request on
/// resuming although another router has superseded the claim.
#[tokio::test(flavor = "multi_thread")]
async fn paused_router_does_not_run_its_superseded_claim() {
    // The read, which takes `LOG_DELAY`, has begun by then and does not contain the other claim.
    let first = order_at_paused_router(LOG_DELAY / 5).await;
    // On resuming, the read has succeeded or timed out; in either case the claim must not run.
    let not_run = [Outcome::Refused(3001), Outcome::Refused(3005)];
    assert!(not_run.contains(&first), "{first:?}");
}

/// Guards against the same if the router reads the log only when it resumes. The other claim counts as
/// in progress until its end is in the log.
#[tokio::test(flavor = "multi_thread")]
async fn router_paused_before_its_read_does_not_run_its_superseded_claim() {
    let first = order_at_paused_router(Duration::ZERO).await;
    // The signal may come after the read has begun.
    let expected = [3001, 3002, 3003, 3005].map(Outcome::Refused);
    assert!(expected.contains(&first), "{first:?}");
}

/// Pauses a router after it has appended a claim, and for `pause_after` more, sends the same order to
/// another router, and returns what the first one answers. Checks that the order runs once.
async fn order_at_paused_router(pause_after: Duration) -> Outcome {
    let env = TestEnv::start(plan(0, 1)).await;
    let slow = LogFaults {
        delay_ms: u64::try_from(LOG_DELAY.as_millis()).unwrap(),
        ..LogFaults::default()
    };
    let platform = &env.deployment.platform;
    platform.set_faults(slow).await;
    let appends = platform.appends().await;
    let owner = env.deployment.routers[0].id();
    // Started before, since the start of a process takes longer than the router needs to begin its read.
    let mut pause = Command::new("sh")
        .args(["-c", &format!("read line; kill -STOP {owner}")])
        .stdin(Stdio::piped())
        .spawn()
        .expect("the system has a shell");
    let key = key();
    let first = spawn_order(env.caller(0), "paused", &key);
    while platform.appends().await == appends {
        yield_now().await;
    }
    // A timer would take a millisecond at least.
    if !pause_after.is_zero() {
        sleep(pause_after).await;
    }
    drop(pause.stdin.take());
    pause.wait().expect("the shell ends");
    platform.set_faults(LogFaults::default()).await;
    sleep(PAST_CLAIM_TIMEOUT).await;
    let second = env.caller(1).order("paused", Some(&key)).await;
    signal("-CONT", owner);
    let first = first.await.unwrap();
    println!("paused router: {first:?}, other router: {second:?}");
    assert_eq!(second, COMPLETED);
    assert_eq!(run_count(&env, "paused").await, 1);
    first
}

/// Guards against a second run when the log appends a claim but its reply is lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_log_replies_do_not_double_orders() {
    let env = TestEnv::start(plan(0, 1)).await;
    let lost = LogFaults {
        lose_replies: true,
        ..LogFaults::default()
    };
    env.deployment.platform.set_faults(lost).await;
    let key = key();
    let first = spawn_order(env.caller(0), "lost", &key);
    let second = spawn_order(env.caller(1), "lost", &key);
    let outcomes = [first.await.unwrap(), second.await.unwrap()];
    assert!(outcomes.contains(&COMPLETED), "{outcomes:?}");
    assert_eq!(run_count(&env, "lost").await, 1);
}

/// Guards against orders that hang or run without a claim while the log is down, and against an
/// outage of the log that affects other requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_outage_stops_orders_only() {
    let env = TestEnv::start(plan(1, 1)).await;
    let down = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    let platform = &env.deployment.platform;
    platform.set_faults(down).await;
    let key = key();
    for _ in 0..3 {
        let order = env.caller(0).order("outage", Some(&key)).await;
        assert_eq!(order, Outcome::Refused(3001));
        let (chat, _) = env.caller(0).chat(&messages(1, 0, 8), 8, true).await;
        assert!(matches!(chat, Outcome::Completed { .. }), "{chat:?}");
    }
    assert_eq!(run_count(&env, "outage").await, 0);
    platform.set_faults(LogFaults::default()).await;
    sleep(Duration::from_millis(1_200)).await;
    assert_eq!(env.caller(0).order("outage", Some(&key)).await, COMPLETED);
    assert_eq!(run_count(&env, "outage").await, 1);
}

/// Guards against a second run after the agent restarted and so lost its table of claims.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_agent_does_not_run_a_claim_again() {
    let mut env = TestEnv::start(plan(0, 1)).await;
    delay_service(&env, 1_000).await;
    let key = key();
    let first = spawn_order(env.caller(0), "restart", &key);
    sleep(Duration::from_millis(400)).await;
    env.deployment.agents[0].restart().unwrap();
    assert_eq!(first.await.unwrap(), Outcome::Refused(3004));
    sleep(PAST_CLAIM_TIMEOUT).await;
    for router in 0..2 {
        let repeat = env.caller(router).order("restart", Some(&key)).await;
        assert_eq!(repeat, Outcome::Refused(3004));
    }
    assert_eq!(run_count(&env, "restart").await, 1);
    delay_service(&env, 0).await;
    assert_eq!(
        env.caller(1).order("fresh", Some(&self::key())).await,
        COMPLETED
    );
}

/// Guards against a second run after the service answered 503 or crashed, which it may do after it
/// ran the order, with and without a key.
#[tokio::test(flavor = "multi_thread")]
async fn a_failing_service_is_not_called_again() {
    let env = TestEnv::start(plan(0, 1)).await;
    let service = &env.deployment.services[0].0;
    let unavailable = ServiceFaults {
        unavailable: true,
        ..ServiceFaults::default()
    };
    service.set_faults(unavailable).await;
    for (item, key) in [("busy", Some(key())), ("busy, no key", None)] {
        env.caller(0).order(item, key.as_deref()).await;
        assert_eq!(run_count(&env, item).await, 1, "{item}");
    }
    let crash = ServiceFaults {
        crash: Some(Duration::from_millis(300)),
        ..ServiceFaults::default()
    };
    for (item, key) in [("crash", Some(key())), ("crash, no key", None)] {
        service.set_faults(crash).await;
        let outcome = env.caller(0).order(item, key.as_deref()).await;
        assert_eq!(outcome, Outcome::Refused(4002), "{item}");
        service.set_faults(ServiceFaults::default()).await;
        sleep(Duration::from_millis(600)).await;
        if let Some(key) = key {
            let repeat = env.caller(0).order(item, Some(&key)).await;
            assert_eq!(repeat, Outcome::Refused(3004));
        }
        assert_eq!(run_count(&env, item).await, 1, "{item}");
    }
}
