//! Gossip datagrams: encoding, keyed hash, version check and replay protection.

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

/// Prefix that the keyed hash covers besides the datagram, so that a frame of a connection does not
/// verify as a datagram.
const GOSSIP_CONTEXT: &[u8] = b"gossip";
/// Limit of senders with a replay window, four times the processes of the largest supported
/// deployment.
const MAX_SENDERS: usize = 16_384;
/// Size of the replay window, in datagrams of one sender. It is a multiple of what a process sends
/// within the longest delay of a datagram.
const WINDOW_SIZE: u64 = 128;

/// Why a datagram is dropped.
#[derive(Debug, Snafu)]
pub enum GossipError {
    /// The datagram does not verify or cannot be decoded.
    #[snafu(display("{source}"))]
    Auth {
        /// The error of verification or decoding.
        source: AuthError,
    },
    /// The sender supports none of this build's wire versions.
    #[snafu(display(
        "the sender's wire versions {min} to {max} are not supported; upgrade the older process"
    ))]
    Version {
        /// Oldest wire version that the sender supports.
        min: u16,
        /// Newest wire version that the sender supports.
        max: u16,
    },
    /// The datagram arrived before, is older than the replay window, or is of another incarnation
    /// than the sender's record.
    #[snafu(display(
        "datagram {counter} of {name} arrived before or is older than the replay window"
    ))]
    Replayed {
        /// Process name of the sender.
        name: ProcessName,
        /// The sender's counter in the datagram.
        counter: u64,
    },
    /// The datagram exceeds [`MAX_DATAGRAM_BYTES`].
    #[snafu(display("datagram of {len} bytes exceeds the limit of {MAX_DATAGRAM_BYTES}"))]
    TooLong {
        /// Length of the datagram, in bytes.
        len: usize,
    },
}

/// Precedes the packet, so that datagrams of unsupported versions are recognised before the packet
/// is decoded.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct DatagramHeader {
    min: u16,
    max: u16,
    incarnation: Incarnation,
    counter: u64,
}

/// Encodes, numbers and authenticates the datagrams that a process sends.
#[derive(Debug, Clone)]
pub struct Sealer {
    keys: Keys,
    incarnation: Incarnation,
    counter: u64,
}

impl Sealer {
    /// Creates a sealer whose counter starts anew with this incarnation.
    pub fn new(keys: Keys, incarnation: Incarnation) -> Self {
        Self {
            keys,
            incarnation,
            counter: 0,
        }
    }

    /// Encodes a packet into an authenticated datagram.
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

/// Counters received from one sender, to detect replays.
#[derive(Debug, Clone, Copy, Default)]
struct ReplayWindow {
    incarnation: Incarnation,
    highest: u64,
    /// Bit `n` is set if the counter `highest - n` was received.
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
            let shifted = u32::try_from(ahead).ok();
            let shifted = shifted.and_then(|ahead| self.bits.checked_shl(ahead));
            self.bits = shifted.unwrap_or(0) | 1;
            self.highest = counter;
            return true;
        }
        let behind = self.highest - counter;
        if behind >= WINDOW_SIZE {
            return false;
        }
        let bit = 1_u128 << behind;
        let is_new = self.bits & bit == 0;
        self.bits |= bit;
        is_new
    }
}

/// Verifies and decodes the datagrams that a process receives.
#[derive(Debug, Clone)]
pub struct Opener {
    keys: Keys,
    windows: HashMap<ProcessName, ReplayWindow>,
}

impl Opener {
    /// Creates an opener that accepts datagrams sealed with any of `keys`.
    pub fn new(keys: Keys) -> Self {
        Self {
            keys,
            windows: HashMap::new(),
        }
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails when the datagram is too long, does not verify, was replayed, has an unsupported
    /// version or cannot be decoded.
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
        let is_supported = min <= WIRE_MAX && max >= WIRE_MIN;
        is_supported
            .then_some(())
            .context(VersionSnafu { min, max })?;
        let packet: Packet = auth::decode(rest).context(AuthSnafu)?;
        // A full table is cleared. Datagrams replayed after that have no effect, since every merge
        // is idempotent.
        if self.windows.len() >= MAX_SENDERS && !self.windows.contains_key(&packet.from.name) {
            self.windows.clear();
        }
        let window = self.windows.entry(packet.from.name.clone()).or_default();
        let counter = head.counter;
        ensure!(
            counter > 0
                && head.incarnation == packet.from.incarnation
                && window.accept(head.incarnation, counter),
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
