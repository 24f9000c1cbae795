//! Decisions of the ebonyfall router fleet.
//!
//! Nothing here performs input or output. The present time and random numbers are arguments, so
//! that the routers, the agents, the tests and the measurements run the same code.

pub mod admit;
pub mod allowance;
pub mod answer;
pub mod changeover;
pub mod chat;
pub mod choose;
pub mod claim;
pub mod code;
pub mod config;
pub mod crash;
pub mod desired;
pub mod dissemination;
pub mod doc;
pub mod drain;
mod estimate;
pub mod events;
pub mod exchange;
pub mod fair;
pub mod guard;
mod holders;
pub mod id;
pub mod ini;
pub mod lease;
pub mod ledger;
pub mod load;
pub mod member;
pub mod moves;
pub mod name;
pub mod order;
pub mod owner;
pub mod pace;
pub mod passage;
pub mod peer;
pub mod piggyback;
pub mod place;
mod probe;
pub mod ramp;
mod read;
pub mod record;
mod reports;
pub mod request;
pub mod retry;
pub mod rollout;
mod roster;
pub mod sections;
pub mod sequential;
pub mod standing;
pub mod steer;
pub mod tally;
pub mod target;
pub mod time;
mod visit;
pub mod zone;
