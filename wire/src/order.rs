//! Encoding of the records in the stream of orders for a target.

use ebonyfall_core::order::Intent;

use crate::form::{self, FormatError};

/// Format number of a record, its first byte.
const FORMAT: u8 = 1;

/// Encodes an intent as a log record.
///
/// # Errors
///
/// Fails when the codec does.
pub fn encode(intent: &Intent) -> Result<Vec<u8>, FormatError> {
    form::encode(FORMAT, intent)
}

/// Decodes a log record.
///
/// # Errors
///
/// Fails when the record has another format or is malformed.
pub fn decode(data: &[u8]) -> Result<Intent, FormatError> {
    form::decode(FORMAT, data)
}
