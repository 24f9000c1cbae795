//! Datagrams between processes: encoding, keyed hash, versions and protection against replay.

use std::collections::HashMap;

use ebonyfall_core::{
    dissemination::{MAX_DATAGRAM_BYTES, Packet},
    id::Incarnation,
    name::ProcessName,
};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::{
    auth::{self, AuthError, Keys},
    frame::{WIRE_MAX, WIRE_MIN},
};

/// What the keyed hash covers besides the datagram, so that no frame of a connection passes.
const GOSSIP_CONTEXT: &[u8] = b"gossip";
/// Senders whose counters are remembered, four times the processes of the largest deployment
/// planned for.
const MAX_SENDERS: usize = 16_384;
/// Counters behind the highest one that can still arrive, a multiple of what a process sends in
/// the longest delay of a datagram.
const WINDOW_SIZE: u64 = 128;

/// A datagram that is dropped.
#[derive(Debug, Snafu)]
pub enum GossipError {
    /// It does not verify or cannot be decoded.
    #[snafu(display("{source}"))]
    Auth {
        /// What is wrong with it.
        source: AuthError,
    },
    /// The sender speaks none of this build's wire versions.
    #[snafu(display("wire versions {min} to {max} are not spoken; upgrade the older process"))]
    Version {
        /// The sender's oldest version.
        min: u16,
        /// The sender's newest version.
        max: u16,
    },
    /// It arrived before, or is too old to tell.
    #[snafu(display("datagram {counter} of {name} arrived before or is too old"))]
    Replayed {
        /// The sender.
        name: ProcessName,
        /// The datagram's number.
        counter: u64,
    },
    /// It is longer than a datagram may be.
    #[snafu(display("datagram of {len} bytes is longer than {MAX_DATAGRAM_BYTES}"))]
    TooLong {
        /// Its length.
        len: usize,
    },
}

/// Comes before the packet, so that datagrams of unknown versions can be told.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct DatagramHeader {
    min: u16,
    max: u16,
    incarnation: Incarnation,
    counter: u64,
}

/// Numbers and encodes the datagrams of one process.
#[derive(Debug, Clone)]
pub struct Sealer {
    keys: Keys,
    incarnation: Incarnation,
    counter: u64,
}

impl Sealer {
    /// Starts at the first datagram of an incarnation.
    pub fn new(keys: Keys, incarnation: Incarnation) -> Self {
        Self {
            keys,
            incarnation,
            counter: 0,
        }
    }

    /// Encodes a packet.
    ///
    /// # Errors
    ///
    /// Fails when the packet is too long for a datagram.
    pub fn seal(&mut self, packet: &Packet) -> Result<Vec<u8>, GossipError> {
        self.counter += 1;
        let head = DatagramHeader {
            min: WIRE_MIN,
            max: WIRE_MAX,
            incarnation: self.incarnation,
            counter: self.counter,
        };
        let datagram = auth::seal(self.keys.current(), GOSSIP_CONTEXT, &(head, packet));
        let datagram = datagram.context(AuthSnafu)?;
        let len = datagram.len();
        ensure!(len <= MAX_DATAGRAM_BYTES, TooLongSnafu { len });
        Ok(datagram)
    }
}

/// The counters of one sender that have arrived.
#[derive(Debug, Clone, Copy, Default)]
struct ReplayWindow {
    incarnation: Incarnation,
    highest: u64,
    /// Bit `n` tells whether the counter `highest - n` arrived.
    bits: u128,
}

impl ReplayWindow {
    fn accept(&mut self, incarnation: Incarnation, counter: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Self {
                incarnation,
                ..Self::default()
            };
        }
        if counter > self.highest {
            let ahead = counter - self.highest;
            let kept = u32::try_from(ahead).ok();
            let kept = kept.and_then(|ahead| self.bits.checked_shl(ahead));
            self.bits = kept.unwrap_or(0) | 1;
            self.highest = counter;
            return true;
        }
        let behind = self.highest - counter;
        if behind >= WINDOW_SIZE {
            return false;
        }
        let bit = 1_u128 << behind;
        let fresh = self.bits & bit == 0;
        self.bits |= bit;
        fresh
    }
}

/// Verifies and decodes datagrams.
#[derive(Debug, Clone)]
pub struct Opener {
    keys: Keys,
    seen: HashMap<ProcessName, ReplayWindow>,
}

impl Opener {
    /// Accepts datagrams under any of `keys`.
    pub fn new(keys: Keys) -> Self {
        Self {
            keys,
            seen: HashMap::new(),
        }
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails when the datagram must be dropped.
    pub fn open(&mut self, datagram: &[u8]) -> Result<Packet, GossipError> {
        let len = datagram.len();
        ensure!(len <= MAX_DATAGRAM_BYTES, TooLongSnafu { len });
        let (_, payload) = self
            .keys
            .open(GOSSIP_CONTEXT, datagram)
            .context(AuthSnafu)?;
        let (head, rest): (DatagramHeader, _) = postcard::take_from_bytes(payload)
            .map_err(|source| AuthError::Payload { source })
            .context(AuthSnafu)?;
        let DatagramHeader { min, max, .. } = head;
        let spoken = min <= WIRE_MAX && max >= WIRE_MIN;
        spoken.then_some(()).context(VersionSnafu { min, max })?;
        let packet: Packet = auth::decode(rest).context(AuthSnafu)?;
        // The table forgets everything when it is full: what is replayed then merges without
        // effect, since every merge is idempotent.
        if self.seen.len() >= MAX_SENDERS && !self.seen.contains_key(&packet.from.name) {
            self.seen.clear();
        }
        let seen = self.seen.entry(packet.from.name.clone()).or_default();
        let counter = head.counter;
        ensure!(
            counter > 0
                && head.incarnation == packet.from.incarnation
                && seen.accept(head.incarnation, counter),
            ReplayedSnafu {
                name: packet.from.name,
                counter,
            }
        );
        Ok(packet)
    }
}

#[cfg(test)]
#[path = "../tests/unit/gossip.rs"]
mod tests;
