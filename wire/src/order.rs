//! Records of a target's stream of orders.

use ebonyfall_core::order::Intent;

use crate::form::{self, FormError};

/// Number of the record's form, its first byte.
const FORM: u8 = 1;

/// Encodes an intent for the log.
///
/// # Errors
///
/// Fails when it cannot be encoded.
pub fn encode(intent: &Intent) -> Result<Vec<u8>, FormError> {
    form::encode(FORM, intent)
}

/// Decodes a record of the log.
///
/// # Errors
///
/// Fails when the record has another form or is malformed.
pub fn decode(data: &[u8]) -> Result<Intent, FormError> {
    form::decode(FORM, data)
}
