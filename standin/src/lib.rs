//! Simulated surroundings of the fleet for tests: the platform, model engines and plain services.
//!
//! The simulated servers speak the protocols of the real ones and can inject faults. The product
//! does not depend on this crate.

pub mod deploy;
pub mod engine;
pub mod entrance;
pub mod host;
pub mod hostile;
pub mod keyed;
pub mod log;
pub mod memory;
pub mod pausing;
pub mod platform;
pub mod proxy;
pub mod received;
pub mod registered;
pub mod service;
pub mod usage;
