//! Tests of routers and agents against targets that send bytes which are no answer, or the wrong ones.

mod deadlines;
mod env;
mod heads;
mod memory;
mod named;
mod seeded;
mod stops;
#[path = "../testenv/mod.rs"]
mod testenv;
