//! What several test files need.

use std::env;

/// A number from the environment, which makes a schedule longer or another one.
pub fn variable(name: &str, default: u64) -> u64 {
    env::var(name).map_or(default, |text| text.parse().expect(name))
}
