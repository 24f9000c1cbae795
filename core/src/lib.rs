//! Decisions of the ebonyfall router fleet.
//!
//! Nothing here performs input or output. The present time and random numbers are arguments, so
//! that the routers, the agents, the tests and the measurements run the same code.

pub mod admit;
pub mod answer;
pub mod chat;
pub mod claim;
pub mod code;
pub mod doc;
pub mod guard;
pub mod id;
pub mod ini;
pub mod ledger;
pub mod name;
pub mod owner;
pub mod place;
mod read;
pub mod time;
