//! Tests of answers that end early, that come before their request has been read, or whose status is
//! none: on both paths, from the store and between the processes.

mod ends;
#[path = "../hostile/env.rs"]
#[allow(dead_code, reason = "not every test program uses all of it")]
mod env;
mod frames;
mod own;
mod paths;
mod statuses;
mod store;
#[path = "../testenv/mod.rs"]
mod testenv;
mod uploads;
