//! Tests of the least-squares fit.

use ebonyfall_bench::fit::fit;

/// Guards against a wrong slope or intercept, and a residual that ignores points below the line.
#[test]
fn line_through_points_with_a_known_residual() {
    let line = fit(&[(0.0, 1.0), (1.0, 3.0), (2.0, 2.0), (3.0, 4.0)]).unwrap();
    assert_eq!(line.points, 4);
    assert!((line.slope - 0.8).abs() < 1e-12);
    assert!((line.intercept - 1.3).abs() < 1e-12);
    assert!((line.residual - 0.9).abs() < 1e-12);
}

/// Guards against a division by zero, which would give a meaningless slope.
#[test]
fn no_line_without_two_different_x_values() {
    assert_eq!(fit(&[]), None);
    assert_eq!(fit(&[(2.0, 1.0), (2.0, 5.0)]), None);
}
