//! Processes of the ebonyfall router fleet: routers, agents and the operators' command line.
//!
//! Every module here moves bytes, keeps time or talks to other processes. The decisions are in
//! `ebonyfall_core`, the encoding of messages in `ebonyfall_wire`.

pub mod agent;
pub mod cli;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod engine;
pub mod exit;
pub mod front;
pub mod gate;
pub mod gossip;
pub mod link;
pub mod links;
pub mod logs;
pub mod metrics;
pub mod picker;
pub mod platform;
pub mod relay;
pub mod router;
pub mod settings;
pub mod view;
pub mod vms;
pub mod web;
