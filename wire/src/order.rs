//! Records of a target's stream of orders.

use ebonyfall_core::order::Intent;

use crate::form::{self, FormatError};

/// Number of the record's form, its first byte.
const FORMAT: u8 = 1;

/// Encodes an intent for the log.
///
/// # Errors
///
/// Fails when it cannot be encoded.
pub fn encode(intent: &Intent) -> Result<Vec<u8>, FormatError> {
    form::encode(FORMAT, intent)
}

/// Decodes a record of the log.
///
/// # Errors
///
/// Fails when the record has another form or is malformed.
pub fn decode(data: &[u8]) -> Result<Intent, FormatError> {
    form::decode(FORMAT, data)
}
