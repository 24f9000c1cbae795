//! Authentication of frames and datagrams by a keyed hash.

use std::hash::Hasher;

use serde::{Serialize, de::DeserializeOwned};
use siphasher::sip128::{Hasher128, SipHasher24};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Length of the keyed hash at the end of each frame, in bytes.
pub const TAG_LEN: usize = 16;

/// Why a frame is dropped.
#[derive(Debug, Snafu)]
pub enum AuthError {
    /// The frame is shorter than a keyed hash.
    #[snafu(display("frame of {len} bytes is shorter than a keyed hash"))]
    TooShort {
        /// Length of the frame, in bytes.
        len: usize,
    },
    /// The hash does not match: the key is wrong, or the frame was altered, replayed or reordered.
    #[snafu(display("frame does not verify; check that both processes have the same key"))]
    Forged,
    /// The payload cannot be decoded or encoded.
    #[snafu(display("frame payload cannot be decoded or encoded: {source}"))]
    Payload {
        /// The error of the codec.
        source: postcard::Error,
    },
}

/// A secret key shared by all processes of the system.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Key([u8; 16]);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    /// Wraps 16 secret bytes.
    pub const fn new(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Computes the keyed hash over `parts`, each preceded by its length.
    pub fn tag(&self, parts: &[&[u8]]) -> [u8; TAG_LEN] {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        for part in parts {
            hasher.write_u64(part.len() as u64);
            hasher.write(part);
        }
        hasher.finish128().as_bytes()
    }
}

/// The keys that a process accepts. The first one is used for sending.
#[derive(Debug, Clone)]
pub struct Keys(Vec<Key>);

impl Keys {
    /// Creates a set of the current key and of previous ones that are accepted during a rotation.
    pub fn new(current: Key, previous: impl IntoIterator<Item = Key>) -> Self {
        Self(std::iter::once(current).chain(previous).collect())
    }

    /// The key used for sending.
    pub fn current(&self) -> Key {
        self.0[0]
    }

    /// Verifies a sealed frame; returns the key that it was sealed with and the payload.
    ///
    /// # Errors
    ///
    /// Fails when the frame is too short or was sealed with none of the keys.
    pub fn open<'f>(&self, context: &[u8], frame: &'f [u8]) -> Result<(Key, &'f [u8]), AuthError> {
        let at = frame
            .len()
            .checked_sub(TAG_LEN)
            .context(TooShortSnafu { len: frame.len() })?;
        let (payload, tag) = frame.split_at(at);
        let key = self
            .0
            .iter()
            .find(|key| constant_time_eq(&key.tag(&[context, payload]), tag));
        Ok((*key.context(ForgedSnafu)?, payload))
    }
}

/// Compares without an early exit, so that the time taken reveals nothing about the expected hash.
fn constant_time_eq(expected: &[u8], found: &[u8]) -> bool {
    expected.len() == found.len()
        && expected
            .iter()
            .zip(found)
            .fold(0, |acc, (a, b)| acc | (a ^ b))
            == 0
}

/// Encodes `message` and appends the keyed hash over `context` and the encoded message.
///
/// # Errors
///
/// Fails when the message cannot be encoded.
pub fn seal(key: Key, context: &[u8], message: &impl Serialize) -> Result<Vec<u8>, AuthError> {
    let mut frame = postcard::to_stdvec(message).context(PayloadSnafu)?;
    let tag = key.tag(&[context, &frame]);
    frame.extend_from_slice(&tag);
    Ok(frame)
}

/// Decodes a verified payload.
///
/// # Errors
///
/// Fails when the payload is not a `T`.
pub fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T, AuthError> {
    postcard::from_bytes(payload).context(PayloadSnafu)
}

/// One side of an authenticated connection. Each direction counts its frames, so that replayed and
/// reordered frames do not verify.
#[derive(Debug)]
pub struct Channel {
    key: Key,
    nonces: [u64; 2],
    sent: u64,
    received: u64,
    initiator: bool,
}

impl Channel {
    /// Creates a channel from the nonces of both sides, the initiator's first. `initiator` says
    /// whether this side is the initiator.
    pub fn new(key: Key, nonces: [u64; 2], initiator: bool) -> Self {
        Self {
            key,
            nonces,
            sent: 0,
            received: 0,
            initiator,
        }
    }

    fn context(&self, counter: u64, from_initiator: bool) -> [u8; 25] {
        let mut context = [0; 25];
        context[..8].copy_from_slice(&self.nonces[0].to_le_bytes());
        context[8..16].copy_from_slice(&self.nonces[1].to_le_bytes());
        context[16..24].copy_from_slice(&counter.to_le_bytes());
        context[24] = u8::from(from_initiator);
        context
    }

    /// Encodes and authenticates the next message.
    ///
    /// # Errors
    ///
    /// Fails when the message cannot be encoded.
    pub fn seal(&mut self, message: &impl Serialize) -> Result<Vec<u8>, AuthError> {
        let context = self.context(self.sent, self.initiator);
        self.sent += 1;
        seal(self.key, &context, message)
    }

    /// Verifies and decodes the next frame.
    ///
    /// # Errors
    ///
    /// Fails when the frame does not verify or is not a `T`.
    pub fn open<T: DeserializeOwned>(&mut self, frame: &[u8]) -> Result<T, AuthError> {
        let context = self.context(self.received, !self.initiator);
        let at = frame
            .len()
            .checked_sub(TAG_LEN)
            .context(TooShortSnafu { len: frame.len() })?;
        let (payload, tag) = frame.split_at(at);
        ensure!(
            constant_time_eq(&self.key.tag(&[&context, payload]), tag),
            ForgedSnafu
        );
        self.received += 1;
        decode(payload)
    }
}

#[cfg(test)]
#[path = "../tests/unit/auth.rs"]
mod tests;
