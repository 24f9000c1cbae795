//! Usage reports: tasks that count the requests of each team, exchange the counts with the other
//! routers, and report them to the platform.

mod collector;
pub mod counting;
pub mod duty;
pub mod inspect;
pub mod meters;
mod sender;
pub(crate) mod starts;
