//! Records of other writers that routers cannot use, more of them than routers keep.

use std::time::Duration;

use ebonyfall_standin::proxy::ConnectionFault;
use http::StatusCode;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::{SAFE, UNSAFE, env::EntryEnv};

/// Number and size of records that together are longer than what routers keep.
const LARGE_RECORDS: usize = 130;
const LARGE_BYTES: usize = 262_080;
/// Number of short records that look like entries of targets.
const SHORT_RECORDS: usize = 20_000;
/// Time within which a router that starts must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(12);
/// Time within which a target that drains must get no more requests.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Time after which a router that has lost the store has what the others know.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// Memory of a router's VM, by the users' sheets.
const MEMORY_BYTES: u64 = 260 << 20;

/// Writes large records that cannot be read under keys with this prefix.
async fn put_large(env: &EntryEnv, topic: &str, prefix: &str) {
    for number in 0..LARGE_RECORDS {
        let value = Some(vec![1; LARGE_BYTES]);
        let key = format!("{prefix}{number:03}");
        env.store.put_bytes(topic, &key, value).await;
    }
}

/// Writes entries of a service that no desired state names.
async fn put_short(env: &EntryEnv) {
    let address = env.target_addresses[0];
    for number in 0..SHORT_RECORDS {
        let entry = json!({
            "service": "unnamed", "addr": address, "zone": "z0", "version": "v1", "slots": 8,
            "state": "ready", "warmup_left_ms": 0, "seq": 1, "born": 1,
        });
        let key = format!("other-{number:05}");
        env.store.put("keyed.servers", &key, Some(&entry)).await;
    }
}

/// Starts the first router again and waits until it serves.
async fn check_start(env: &mut EntryEnv, case: &str) {
    env.signal(0, "KILL");
    assert!(env.ended(READY_TIMEOUT).await);
    env.restart();
    let start = Instant::now();
    while !env.is_ready(0).await {
        assert!(start.elapsed() < READY_TIMEOUT, "{case}: not ready");
        sleep(Duration::from_millis(50)).await;
    }
    for _ in 0..8 {
        let reply = env.call("POST", UNSAFE, "", &[]).await;
        assert_eq!(reply.status, StatusCode::OK, "{case}");
    }
    let dump: Value = serde_json::from_str(&env.dump(0).await).expect("the dump is JSON");
    let known = dump["steering"]["targets"].as_array().expect("an array");
    let served = known.iter().filter(|target| target["service"] == "plain");
    assert_eq!(served.count(), env.targets.len(), "{case}: known targets");
    let peak = env.peak_memory(0).expect("the process runs");
    assert!(peak < MEMORY_BYTES, "{case}: {peak} bytes");
}

/// Guards against a router that refuses the whole list of targets when it starts, since other records take
/// the room of the sound ones.
#[tokio::test(flavor = "multi_thread")]
async fn large_records_do_not_keep_a_router_from_starting() {
    let mut env = EntryEnv::start(2).await;
    // Before and behind the keys of the targets.
    put_large(&env, "keyed.servers", "other-").await;
    put_large(&env, "keyed.servers", "z-other-").await;
    check_start(&mut env, "targets").await;
    let metrics = env.metrics(0).await;
    let counted = metrics.lines().any(|line| {
        line.starts_with("ebonyfall_records_left_out_total{") && line.contains("\"targets\"")
    });
    assert!(counted, "{metrics}");
    let start = Instant::now();
    while !env.log(0).contains("\"records_left_out\"") {
        assert!(start.elapsed() < READY_TIMEOUT, "{}", env.log(0));
        sleep(Duration::from_millis(50)).await;
    }
}

/// The same for the topics of orders, routers and status.
#[tokio::test(flavor = "multi_thread")]
async fn large_records_of_any_topic_do_not_keep_a_router_from_starting() {
    for (topic, prefix) in [
        ("keyed.op", "a-"),
        ("keyed.op", "rollout/"),
        ("keyed.routers", "router/"),
    ] {
        let mut env = EntryEnv::start(2).await;
        put_large(&env, topic, prefix).await;
        check_start(&mut env, &format!("{topic} {prefix}")).await;
    }
}

/// Guards against entries that can be read, but name no service in use, in the place of those that do.
#[tokio::test(flavor = "multi_thread")]
async fn entries_of_unnamed_services_do_not_displace_others() {
    let mut env = EntryEnv::start(2).await;
    put_short(&env).await;
    // These come last in the stream and in the list.
    for target in 0..2 {
        let address = env.target_addresses[target];
        env.unregister(target).await;
        env.register_address(&format!("z-{target}"), address).await;
    }
    check_start(&mut env, "unnamed").await;
}

/// Waits until the time after which `target` must get no request, and checks that it gets none.
async fn check_drained(env: &EntryEnv, router: usize, target: usize) {
    sleep(DRAIN_TIME).await;
    let before = env.targets[target].executed_requests().len();
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        let reply = env.call_router(router, "GET", SAFE, "", &[]).await;
        assert_eq!(reply.status, StatusCode::OK);
        sleep(Duration::from_millis(20)).await;
    }
    let late = env.targets[target].executed_requests().len() - before;
    assert_eq!(late, 0, "requests to a target that drains");
}

/// Guards against a running router that goes on sending to a target which drains, since it is behind many
/// records of another writer and refuses the list.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_is_far_behind_obeys_a_drain() {
    let env = EntryEnv::start(2).await;
    put_large(&env, "keyed.servers", "other-").await;
    env.register(0, "draining").await;
    check_drained(&env, 0, 0).await;
}

/// The same for a router that has lost the store and reads from another one.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_without_the_store_obeys_a_drain_beside_large_records() {
    let env = EntryEnv::start_fleet(2, 2).await;
    sleep(CONTACT_TIME).await;
    env.store_proxies[1].set_fault(ConnectionFault::Reset);
    put_large(&env, "keyed.servers", "other-").await;
    env.register(0, "draining").await;
    // The other router has the entry by then.
    sleep(CONTACT_TIME).await;
    check_drained(&env, 1, 0).await;
}

/// Guards against a list that another writer makes longer all the while.
#[tokio::test(flavor = "multi_thread")]
async fn records_that_are_renewed_do_not_keep_a_router_from_starting() {
    let mut env = EntryEnv::start(2).await;
    put_large(&env, "keyed.servers", "other-").await;
    let store = env.store.clone();
    let writer = tokio::spawn(async move {
        for number in (0..LARGE_RECORDS).cycle() {
            let key = format!("other-{number:03}");
            let value = Some(vec![1; LARGE_BYTES]);
            store.put_bytes("keyed.servers", &key, value).await;
            sleep(Duration::from_millis(50)).await;
        }
    });
    check_start(&mut env, "renewed").await;
    env.register(0, "draining").await;
    check_drained(&env, 0, 0).await;
    writer.abort();
}
