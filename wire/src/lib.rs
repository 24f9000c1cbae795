//! Encoding of the messages between ebonyfall processes.
//!
//! Nothing here decides; the types carry what the core needs, and postcard encodes them.

pub mod auth;
pub mod control;
pub mod frame;
pub mod gossip;
