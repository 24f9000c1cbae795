//! Usage reports: tasks that count the requests of each team and exchange the counts with the other
//! routers.

mod collector;
pub mod counting;
pub mod meters;
pub(crate) mod starts;
