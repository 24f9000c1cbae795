//! Lists of the store that have keys of other writers, or do not end.

use std::{net::SocketAddr, time::Duration};

use ebonyfall::{
    metrics::Metrics,
    store::{MAX_LIST_BYTES, StoreClient, StoreError},
};
use ebonyfall_platform::store::Topic;
use ebonyfall_standin::hostile::{HostileTarget, Step};
use http::StatusCode;
use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

use crate::{UNSAFE, env::EntryEnv};

/// Entries of another writer, more than a page of the store has.
const ENTRIES: usize = 600;
/// Time within which a router that starts must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time that reading a list may take in these tests.
const LIST_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a router that reads the same page for ever when it starts, because the last key of
/// the page stood in the next query as it was.
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_another_writer_do_not_keep_a_router_from_starting() {
    for key in ["r&d", "a#b", "a b", "a%26b", "a?b=c", "ä+ö", "a/b"] {
        let mut env = EntryEnv::start(1).await;
        for entry in 0..ENTRIES {
            let name = format!("{key}-{entry:03}");
            let odd = Some(b"{}".to_vec());
            env.store.put_bytes("keyed.servers", &name, odd).await;
        }
        env.signal(0, "KILL");
        assert!(env.ended(READY_TIMEOUT).await);
        env.restart();
        let start = Instant::now();
        while !env.is_ready(0).await {
            assert!(start.elapsed() < READY_TIMEOUT, "{key:?}: not ready");
            sleep(Duration::from_millis(50)).await;
        }
        let reply = env.call("POST", UNSAFE, "", &[]).await;
        assert_eq!(reply.status, StatusCode::OK, "{key:?}");
    }
}

/// A store that answers every call with `page`.
async fn store_with(page: String) -> (HostileTarget, SocketAddr) {
    let (store, address) = HostileTarget::start().await;
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{page}",
        page.len()
    );
    let exchange = [Step::Ignore, Step::Send(answer)];
    let script: Vec<_> = exchange.iter().cycle().take(200).cloned().collect();
    store.set_script(script);
    (store, address)
}

async fn read_list(address: SocketAddr) -> StoreError {
    let client = StoreClient::new(address, Metrics::new().entry);
    let listed = timeout(LIST_TIMEOUT, client.newest(Topic::Targets, 0)).await;
    let listed = listed.expect("the list ends");
    listed
        .map(|listing| listing.records.len())
        .expect_err("the list is refused")
}

/// Guards against a router that reads pages without end, because a page does not advance.
#[tokio::test(flavor = "multi_thread")]
async fn a_list_that_does_not_advance_is_refused() {
    let page = json!({ "entries": [{ "key": "k", "value": "e30=", "offset": 1 }], "has_more": true, "end": 2 });
    let (_store, address) = store_with(page.to_string()).await;
    let error = read_list(address).await;
    assert!(matches!(error, StoreError::NoProgress { .. }), "{error}");
}

/// Guards against a list that fills the memory of a router. Its pages advance, so that only its length
/// tells.
#[tokio::test(flavor = "multi_thread")]
async fn a_list_that_is_too_long_is_refused() {
    // The pages alternate between two last keys.
    let value = "AAAA".repeat(400_000);
    let (store, address) = HostileTarget::start().await;
    let answer = |key: &str| {
        let page = json!({ "entries": [{ "key": key, "value": value, "offset": 1 }], "has_more": true, "end": 2 });
        let page = page.to_string();
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{page}",
            page.len()
        )
    };
    let pages = [answer("a"), answer("b")];
    let steps = pages.iter().cycle().take(2 * MAX_LIST_BYTES / value.len());
    let steps = steps.flat_map(|page| [Step::Ignore, Step::Send(page.clone())]);
    store.set_script(steps.collect::<Vec<_>>());
    let error = read_list(address).await;
    assert!(matches!(error, StoreError::TooLong), "{error}");
}
