//! Decisions of the ebonyfall router fleet.
//!
//! Nothing here performs input or output. The present time and random numbers are arguments, so
//! that the routers, the agents, the tests and the measurements run the same code.

pub mod admit;
pub mod answer;
pub mod chat;
pub mod code;
pub mod dissemination;
pub mod doc;
pub mod exchange;
pub mod id;
pub mod ini;
pub mod member;
pub mod name;
pub mod piggyback;
pub mod place;
mod probe;
mod read;
pub mod record;
pub mod standing;
pub mod time;
