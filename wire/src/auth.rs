//! Authentication of frames by a keyed hash.

use std::hash::Hasher;

use serde::{Serialize, de::DeserializeOwned};
use siphasher::sip128::{Hasher128, SipHasher24};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Length of the keyed hash at the end of each frame, in bytes.
pub const TAG_LEN: usize = 16;

/// A frame that is dropped.
#[derive(Debug, Snafu)]
pub enum AuthError {
    /// It is shorter than its hash.
    #[snafu(display("frame of {len} bytes is too short"))]
    TooShort {
        /// The frame's length.
        len: usize,
    },
    /// The hash does not fit: wrong key, altered, replayed or reordered.
    #[snafu(display("frame does not verify; check that both processes have the same key"))]
    Forged,
    /// The payload cannot be decoded or encoded.
    #[snafu(display("frame has a bad payload: {source}"))]
    Payload {
        /// The codec's error.
        source: postcard::Error,
    },
}

/// A secret key shared by the system's processes.
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

    /// The keyed hash over `parts`, each with its length.
    pub fn tag(&self, parts: &[&[u8]]) -> [u8; TAG_LEN] {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        for part in parts {
            hasher.write_u64(part.len() as u64);
            hasher.write(part);
        }
        hasher.finish128().as_bytes()
    }
}

/// The keys that a process accepts; the first one is used for sending.
#[derive(Debug, Clone)]
pub struct Keys(Vec<Key>);

impl Keys {
    /// Makes a set of the current key and those being rotated out.
    pub fn new(current: Key, previous: impl IntoIterator<Item = Key>) -> Self {
        Self(std::iter::once(current).chain(previous).collect())
    }

    /// The key used for sending.
    pub fn current(&self) -> Key {
        self.0[0]
    }

    /// Verifies a sealed frame against every key.
    ///
    /// # Errors
    ///
    /// Fails when the frame is short or fits no key.
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

/// Compares without an early exit, so that timing tells nothing about the expected hash.
fn constant_time_eq(expected: &[u8], found: &[u8]) -> bool {
    expected.len() == found.len()
        && expected
            .iter()
            .zip(found)
            .fold(0, |acc, (a, b)| acc | (a ^ b))
            == 0
}

/// Encodes `message` and adds the hash over it and `context`.
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

/// Decodes a payload that was verified before.
///
/// # Errors
///
/// Fails when the payload is not a `T`.
pub fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T, AuthError> {
    postcard::from_bytes(payload).context(PayloadSnafu)
}

/// One direction of an authenticated connection; the counter makes replayed frames fail.
#[derive(Debug)]
pub struct Channel {
    key: Key,
    nonces: [u64; 2],
    sent: u64,
    received: u64,
    initiator: bool,
}

impl Channel {
    /// Starts a channel between two nonces, the initiator's first.
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
