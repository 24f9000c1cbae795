//! Tests of routers with agents: an attempt that the agent still runs is kept until it has ended or
//! another target has accepted the request.

mod env;
mod links;
mod pauses;
mod stops;
#[path = "../testenv/mod.rs"]
mod testenv;
