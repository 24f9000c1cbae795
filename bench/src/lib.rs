//! Demo, load tool, soak test and measurements of the fleet.

pub mod admit;
pub mod bounds;
mod cache;
mod callers;
pub mod case;
mod catch_up;
pub mod claims;
pub mod client;
pub mod config;
pub mod demo;
pub mod entry;
mod faults;
pub mod fit;
pub mod gossip;
mod harm;
pub mod load;
pub mod moves;
pub mod place;
mod planned;
pub mod processes;
pub mod ring;
pub mod sim;
pub mod soak;
pub mod steer;
pub mod up;
mod work;
