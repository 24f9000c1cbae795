//! Tests of the internals of `src/code.rs`.

use std::collections::HashSet;

use super::*;

/// Guards against two codes with the same number.
#[test]
fn numbers_are_unique_and_ascending() {
    let numbers: Vec<_> = Code::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.is_sorted());
    assert_eq!(numbers.iter().collect::<HashSet<_>>().len(), numbers.len());
}

/// Guards against a code that is missing from the documentation for callers, or differs from it.
#[test]
fn documentation_lists_every_code() {
    let page = include_str!("../../../docs/result-codes.md");
    for code in Code::ALL {
        let row = format!(
            "| {} | {} | {} | {} | {} |",
            code.number(),
            code.name(),
            code.status(),
            code.execution(),
            code.advice()
        );
        assert!(page.contains(&row), "missing row: {row}");
    }
}
