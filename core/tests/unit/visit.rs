//! Tests of the internals of `src/visit.rs`.

use super::*;

/// Guards against a target that visits a slot twice or never, and against an inverse permutation
/// that yields other times than the forward one when a slot is refilled.
#[test]
fn visits_are_a_permutation_in_order_of_time() {
    for bits in [4, 5, 14] {
        let visits = VisitGenerator::new(7, 3.0).block(2, bits);
        let all: Vec<_> = visits.until(f32::INFINITY).collect();
        assert!(all.is_sorted_by(|a, b| a.1 <= b.1));
        let mut slots: Vec<_> = all.iter().map(|(slot, _)| *slot).collect();
        slots.sort_unstable();
        assert!(slots.into_iter().eq(0..1 << bits));
        for (slot, time) in all {
            assert_eq!(visits.time_at(slot).to_bits(), time.to_bits());
        }
    }
}

/// Guards against an inexact logarithm, with which visits would not follow the weights.
#[test]
fn the_logarithm_is_exact_to_ten_digits() {
    for step in 0..10_000 {
        let x = f64::from(step) / 10_000.0;
        assert!((neg_ln_1m(x) + (-x).ln_1p()).abs() < 1e-10, "at {x}");
    }
}
