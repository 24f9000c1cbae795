//! Encoding of configuration records in the platform's log.

use ebonyfall_core::config::Record;
use serde::{Deserialize, Serialize};

/// All formats in which records have been written. The format number precedes the record.
#[derive(Serialize, Deserialize)]
enum Format {
    V1(Record),
}

#[derive(Serialize)]
enum FormatRef<'a> {
    V1(&'a Record),
}

/// Encodes a configuration record.
///
/// # Errors
///
/// Fails when the codec does.
pub fn encode(record: &Record) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(&FormatRef::V1(record))
}

/// Decodes a configuration record.
///
/// # Errors
///
/// Fails when the bytes are not exactly one record of a known format.
pub fn decode(bytes: &[u8]) -> Result<Record, postcard::Error> {
    let (Format::V1(record), rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        Ok(record)
    } else {
        Err(postcard::Error::DeserializeBadEncoding)
    }
}

#[cfg(test)]
#[path = "../tests/unit/record.rs"]
mod tests;
