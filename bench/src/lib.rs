//! Demo, load tool and measurements of the fleet.

mod cache;
pub mod case;
pub mod client;
pub mod demo;
pub mod place;
pub mod ring;
pub mod sim;
