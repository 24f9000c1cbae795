//! Demo, load tool and measurements of the fleet.

pub mod client;
pub mod demo;
pub mod gossip;
pub mod processes;
