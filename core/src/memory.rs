//! Decides how much of a process's memory the bytes of callers and targets may take.
//!
//! The memory of the process is divided into parts, so that bodies of requests, answers and
//! connections cannot starve each other. Within the part of the bodies, a reserve is kept for small
//! bodies, and no party takes more than a share while another one holds bytes.

use std::net::IpAddr;

use crate::name::TeamName;

/// Share of the process's memory that may be held for others, in percent. The remainder is for the
/// process itself, its tables, and copies that live for the time of one call.
const HELD_PERCENT: usize = 50;
/// Share of the held memory for connections and the heads of their requests, in percent.
const HEADS_PERCENT: usize = 25;
/// Share of the held memory for bodies of requests, in percent.
const BODIES_PERCENT: usize = 45;
/// Share of the held memory for answers and incomplete events, in percent.
const ANSWERS_PERCENT: usize = 30;
/// One in this many bytes of the part for bodies is reserved for small bodies.
const SMALL_BODY_RESERVE: usize = 8;
/// Bytes of the largest body that may use the reserve.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// What holds bytes of callers or targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Taker {
    /// Connections of callers, with the heads of their requests.
    Heads,
    /// Bodies of requests, until the last attempt has been sent.
    Bodies,
    /// Answers that are received completely.
    Answers,
    /// Incomplete events of streams.
    Streams,
    /// Long answers to other routers.
    Peers,
}

impl Taker {
    /// Name in metrics and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Heads => "heads",
            Self::Bodies => "bodies",
            Self::Answers => "answers",
            Self::Streams => "streams",
            Self::Peers => "peers",
        }
    }
}

/// Division of the memory that may be held for others, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryParts {
    /// For [`Taker::Heads`].
    pub heads: usize,
    /// For [`Taker::Bodies`].
    pub bodies: usize,
    /// For [`Taker::Answers`], [`Taker::Streams`] and [`Taker::Peers`].
    pub answers: usize,
}

impl MemoryParts {
    /// Divides the memory of a process of `memory` bytes.
    pub const fn of(memory: usize) -> Self {
        let held = memory * HELD_PERCENT / 100;
        Self {
            heads: held * HEADS_PERCENT / 100,
            bodies: held * BODIES_PERCENT / 100,
            answers: held * ANSWERS_PERCENT / 100,
        }
    }
}

/// Who sends a body: the team if it is known, else the address of the caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Party {
    /// Team that the API key belongs to.
    Team(TeamName),
    /// Address of a caller without a valid API key.
    Address(IpAddr),
}

/// Why bytes do not fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryRefusal {
    /// The part of the taker is used up.
    Full,
    /// What is left is reserved for small bodies.
    Reserved,
    /// The party holds its share, and others hold bytes, too.
    PartyShare,
}

impl MemoryRefusal {
    /// Name in metrics and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Reserved => "reserved",
            Self::PartyShare => "party_share",
        }
    }
}

/// Bytes that bodies hold at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyUse {
    /// Held for the body in question.
    pub body: usize,
    /// Held for all bodies of its party.
    pub party: usize,
    /// Held for all bodies.
    pub all: usize,
}

/// Decides whether a body may take `more` bytes of `part` bytes.
///
/// # Errors
///
/// Fails with the reason if it may not.
pub fn admit_body(part: usize, held: BodyUse, more: usize) -> Result<(), MemoryRefusal> {
    let all = held.all.saturating_add(more);
    if all > part {
        return Err(MemoryRefusal::Full);
    }
    let is_small = held.body.saturating_add(more) <= SMALL_BODY_BYTES;
    if !is_small && all > part - part / SMALL_BODY_RESERVE {
        return Err(MemoryRefusal::Reserved);
    }
    let others = held.all.saturating_sub(held.party);
    if others > 0 && held.party.saturating_add(more) > part / 2 {
        return Err(MemoryRefusal::PartyShare);
    }
    Ok(())
}
