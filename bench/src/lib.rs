//! Demo, load tool and measurements of the fleet.

pub mod client;
pub mod config;
pub mod demo;
