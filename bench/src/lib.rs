//! Demo, load tool and measurements of the fleet.

pub mod claims;
pub mod client;
pub mod demo;
pub mod moves;
