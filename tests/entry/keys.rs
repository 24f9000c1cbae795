//! Lists of the store that have keys of other writers, or do not end.

use std::{net::SocketAddr, time::Duration};

use ebonyfall::{
    listing::ListCursor,
    metrics::Metrics,
    store::{StoreClient, StoreError},
};
use ebonyfall_platform::store::Topic;
use ebonyfall_standin::{
    hostile::{HostileTarget, Step},
    keyed::{KeyedStore, StoreFault},
};
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
    read_list_of(address, ListCursor::new(Topic::Targets)).await
}

async fn read_list_of(address: SocketAddr, mut cursor: ListCursor) -> StoreError {
    let client = StoreClient::new(address, Metrics::new().entry);
    let listed = async {
        while !cursor.is_complete() {
            client.next_page(&mut cursor, 0).await?;
        }
        Ok(())
    };
    let listed = timeout(LIST_TIMEOUT, listed).await;
    let listed: Result<(), _> = listed.expect("the list ends");
    listed.expect_err("the list is refused")
}

/// Guards against a router that reads pages without end, because a page does not advance.
#[tokio::test(flavor = "multi_thread")]
async fn a_list_that_does_not_advance_is_refused() {
    let page = json!({ "entries": [{ "key": "k", "value": "e30=", "offset": 1 }], "has_more": true, "end": 2 });
    let (_store, address) = store_with(page.to_string()).await;
    let error = read_list(address).await;
    assert!(matches!(error, StoreError::NoProgress { .. }), "{error}");
}

/// Answers of a store whose pages end with these keys, and have values of so many bytes.
fn pages<'a>(keys: impl IntoIterator<Item = &'a str>, value_bytes: usize) -> Vec<Step> {
    let value = "AAAA".repeat(value_bytes / 3);
    let answer = |key: &str| {
        let page = json!({ "entries": [{ "key": key, "value": value, "offset": 1 }], "has_more": true, "end": 2 });
        let page = page.to_string();
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{page}",
            page.len()
        )
    };
    let steps = keys.into_iter().map(answer);
    steps
        .flat_map(|page| [Step::Ignore, Step::Send(page)])
        .collect()
}

/// Guards against a router that reads pages without end, because they come back to earlier keys.
#[tokio::test(flavor = "multi_thread")]
async fn a_list_whose_pages_repeat_is_refused() {
    for cycle in [vec!["a", "b"], vec!["a", "b", "c", "d", "e"]] {
        let (store, address) = HostileTarget::start().await;
        store.set_script(pages(cycle.into_iter().cycle().take(100), 300));
        let error = read_list(address).await;
        assert!(matches!(error, StoreError::NoProgress { .. }), "{error}");
    }
}

/// Guards against a list that goes on for ever. Its pages advance, so that only its length tells.
#[tokio::test(flavor = "multi_thread")]
async fn a_list_that_is_longer_than_any_store_is_refused() {
    let keys: Vec<_> = (0..40).map(|number| format!("k-{number:03}")).collect();
    let (store, address) = HostileTarget::start().await;
    store.set_script(pages(keys.iter().map(String::as_str), 1_200_000));
    let cursor = ListCursor::limited(Topic::Targets, 32 << 20);
    let error = read_list_of(address, cursor).await;
    assert!(matches!(error, StoreError::TooLong { .. }), "{error}");
}

/// Guards against a long list that begins anew after each failed call, and so never ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_list_goes_on_after_a_failed_call() {
    let (store, address) = KeyedStore::start().await;
    for entry in 0..3 * ENTRIES {
        let name = format!("k-{entry:04}");
        let value = Some(b"{}".to_vec());
        store.put_bytes("keyed.servers", &name, value).await;
    }
    let client = StoreClient::new(address, Metrics::new().entry);
    let mut cursor = ListCursor::new(Topic::Targets);
    let (mut keys, mut failures) = (Vec::new(), 0);
    while !cursor.is_complete() {
        let page = client.next_page(&mut cursor, 0).await;
        let page = page.expect("the store answers");
        keys.extend(page.records.into_iter().map(|record| record.key));
        store.set_fault(StoreFault::Unavailable).await;
        if !cursor.is_complete() {
            let failed = client.next_page(&mut cursor, 0).await;
            let error = failed.expect_err("the store refuses the call");
            assert!(matches!(error, StoreError::Refused { .. }), "{error}");
            failures += 1;
        }
        store.set_fault(StoreFault::None).await;
    }
    assert_eq!(failures, 3);
    let expected: Vec<_> = (0..3 * ENTRIES)
        .map(|entry| format!("k-{entry:04}"))
        .collect();
    assert_eq!(keys, expected);
}
