//! Records of a target's stream of orders.

use ebonyfall_core::order::Intent;
use snafu::{ResultExt, Snafu, ensure};

/// Number of the record's form, its first byte.
const FORM: u8 = 1;

/// A record that cannot be used.
#[derive(Debug, Snafu)]
pub enum OrderError {
    /// It was written in a form that this build does not know.
    #[snafu(display("an order has an unknown form; upgrade this process"))]
    Form,
    /// It cannot be decoded or encoded.
    #[snafu(display("an order cannot be decoded: {source}"))]
    Codec {
        /// The codec's error.
        source: postcard::Error,
    },
}

/// Encodes an intent for the log.
///
/// # Errors
///
/// Fails when it cannot be encoded.
pub fn encode(intent: &Intent) -> Result<Vec<u8>, OrderError> {
    postcard::to_extend(intent, vec![FORM]).context(CodecSnafu)
}

/// Decodes a record of the log.
///
/// # Errors
///
/// Fails when the record has another form or is malformed.
pub fn decode(data: &[u8]) -> Result<Intent, OrderError> {
    ensure!(data.first() == Some(&FORM), FormSnafu);
    postcard::from_bytes(&data[1..]).context(CodecSnafu)
}
