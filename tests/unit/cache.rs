//! Tests of idempotency keys and of the cache of answers to requests with such a key.

use super::*;

fn call(path: &str, body: &'static [u8]) -> Call {
    Call {
        method: "POST".to_owned(),
        path: path.to_owned(),
        content_type: String::new(),
        body: Bytes::from_static(body),
    }
}

/// Guards against an idempotency key that also matches a different call, or a call of another team.
#[test]
fn a_key_identifies_one_call_of_one_team() {
    let text = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
    let [desks, albums] = ["desks", "albums"].map(|name| TeamName::new(name).unwrap());
    let keyed = |team, path, body| KeyedCall::new(team, text, &call(path, body)).unwrap();
    let first = keyed(&desks, "/orders", b"a");
    assert_eq!(first, keyed(&desks, "/orders", b"a"));
    assert_ne!(first.content, keyed(&desks, "/orders", b"b").content);
    assert_ne!(first.content, keyed(&desks, "/approvals", b"a").content);
    assert_ne!(first.id, keyed(&albums, "/orders", b"a").id);
}

/// Guards against unbounded memory use by cached answers, also by many small ones.
#[test]
fn the_oldest_answers_are_evicted() {
    let mut cache = AnswerCache::default();
    let id = |offset: u64| ClaimId {
        offset: offset.into(),
        index: 0,
    };
    for offset in 0..100_000 {
        let head = Head {
            status: 200,
            content_type: String::new(),
        };
        let body = Bytes::from_static(b"ok");
        cache.insert(id(offset), StoredAnswer { head, body });
    }
    assert!(cache.by_claim.len() * ENTRY_OVERHEAD_BYTES <= MAX_CACHE_BYTES);
    assert_eq!(cache.by_claim.len(), cache.insertion_order.len());
    assert!(cache.get(id(0)).is_none() && cache.get(id(99_999)).is_some());
}
