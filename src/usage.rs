//! Usage reports: counts of requests by team, and the router that reports them to the platform.

pub mod counting;
pub mod duty;
pub mod inspect;
pub mod meters;
mod sender;
