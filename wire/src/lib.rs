//! Encoding of the messages between ebonyfall processes.
//!
//! Nothing here decides; the types carry what the core needs, and postcard encodes them.

pub mod auth;
pub mod frame;
pub mod record;
