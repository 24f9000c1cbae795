//! Tests of the internals of `src/name.rs`.

use super::*;

/// Guards against names with characters that are special in INI documents or metric labels.
#[test]
fn rejects_text_outside_the_alphabet() {
    for text in ["", "a b", "a]", "a=b", "a\n", &"x".repeat(MAX_NAME_LEN + 1)] {
        assert!(TeamName::new(text).is_err(), "{text:?}");
    }
    assert_eq!(TeamName::new("desk-1.x_y").unwrap().as_str(), "desk-1.x_y");
}
