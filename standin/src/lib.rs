//! Small stand-ins for what surrounds the fleet: the platform, model engines and plain services.
//!
//! They speak the same protocols as the real ones and can be told to misbehave. The product does
//! not depend on this crate.

pub mod deploy;
pub mod engine;
pub mod entrance;
pub mod host;
pub mod keyed;
pub mod log;
pub mod memory;
pub mod platform;
pub mod proxy;
pub mod registered;
pub mod service;
