//! Tests of the internals of `src/held.rs`.

use super::*;

fn call(path: &str, body: &'static [u8]) -> Call {
    Call {
        method: "POST".to_owned(),
        path: path.to_owned(),
        content_type: String::new(),
        body: Bytes::from_static(body),
    }
}

/// Guards against a key that stands for another call, or for another team's.
#[test]
fn a_key_stands_for_one_call_of_one_team() {
    let text = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
    let [desks, albums] = ["desks", "albums"].map(|name| TeamName::new(name).unwrap());
    let keyed = |team, path, body| Keyed::new(team, text, &call(path, body)).unwrap();
    let first = keyed(&desks, "/orders", b"a");
    assert_eq!(first, keyed(&desks, "/orders", b"a"));
    assert_ne!(first.content, keyed(&desks, "/orders", b"b").content);
    assert_ne!(first.content, keyed(&desks, "/approvals", b"a").content);
    assert_ne!(first.id, keyed(&albums, "/orders", b"a").id);
}

/// Guards against held answers that fill the memory, small ones among them.
#[test]
fn the_oldest_answers_are_dropped() {
    let mut answers = Answers::default();
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
        answers.hold(id(offset), Held { head, body });
    }
    assert!(answers.held.len() * ENTRY <= MAX_HELD_TOTAL);
    assert_eq!(answers.held.len(), answers.order.len());
    assert!(answers.get(id(0)).is_none() && answers.get(id(99_999)).is_some());
}
