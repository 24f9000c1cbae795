//! Daemons of the ebonyfall router fleet (routers, entry routers and agents) and the operators'
//! command line.
//!
//! This crate does the input and output: sockets, files, timers and tasks. Decisions are made in
//! `ebonyfall_core`, and messages are encoded in `ebonyfall_wire`.

pub mod admin;
pub mod admission;
pub mod agent;
pub mod append;
pub mod cache;
pub mod carry;
pub mod claims;
pub mod cli;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod dispatch;
pub mod engine;
pub mod entry;
pub mod exit;
pub mod explain;
pub mod follow;
pub mod front;
pub mod gossip;
pub mod guard;
pub mod intake;
pub mod link;
pub mod logs;
pub mod meters;
pub mod metrics;
pub mod mirror;
pub mod monitoring;
pub mod neighbours;
pub mod once;
pub mod operate;
mod orders;
pub mod peering;
pub mod peers;
pub mod picker;
pub mod platform;
pub mod pointers;
pub mod pool;
pub mod progress;
pub mod quarantine;
pub mod reader;
pub mod receive;
pub mod relay;
pub mod remote;
mod reply;
pub mod report;
pub mod rest;
pub mod retrier;
pub mod rollouts;
pub mod router;
pub mod selection;
mod serving;
mod session;
pub mod settings;
pub mod status;
pub mod stop;
pub mod store;
pub mod streaming;
mod trace;
pub mod upstream;
pub mod usage;
pub mod view;
pub mod vms;
pub mod web;
