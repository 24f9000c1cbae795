//! Usage reports: which requests of each team began in each window of time, and which router reports
//! them to the platform.

pub mod counts;
pub mod durations;
pub mod duty;
pub mod holder;
pub mod records;
pub mod reporter;
pub mod time;
pub mod window;
