//! Encoding of the messages between ebonyfall processes and of log records.
//!
//! Nothing here decides; the types carry what the core needs, and postcard encodes them.

pub mod auth;
pub mod claims;
pub mod control;
pub mod facts;
pub mod form;
pub mod frame;
pub mod gossip;
pub mod mirror;
pub mod order;
pub mod record;
