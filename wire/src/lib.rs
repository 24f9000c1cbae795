//! Encoding of the messages between ebonyfall processes and of log records.
//!
//! This crate makes no decisions: it defines message types and encodes them with postcard.

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
pub mod usage;
