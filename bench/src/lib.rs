//! Demo, load tool and measurements of the fleet.

pub mod admit;
pub mod client;
pub mod demo;
pub mod load;
