//! Encoding of log records that begin with a format number.

use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu, ensure};

/// Why a log record cannot be used.
#[derive(Debug, Snafu)]
pub enum FormatError {
    /// The record has a format number that this build does not know.
    #[snafu(display("log record has an unknown format; upgrade this process"))]
    UnknownFormat,
    /// The record cannot be decoded or encoded.
    #[snafu(display("log record cannot be decoded or encoded: {source}"))]
    Codec {
        /// The error of the codec.
        source: postcard::Error,
    },
}

/// Encodes a record, with the format number as the first byte.
///
/// # Errors
///
/// Fails when the record cannot be encoded.
pub(crate) fn encode(format: u8, record: &impl Serialize) -> Result<Vec<u8>, FormatError> {
    postcard::to_extend(record, vec![format]).context(CodecSnafu)
}

/// Decodes a record of this format.
///
/// # Errors
///
/// Fails when the record has another format or is malformed.
pub(crate) fn decode<T: DeserializeOwned>(format: u8, data: &[u8]) -> Result<T, FormatError> {
    ensure!(data.first() == Some(&format), UnknownFormatSnafu);
    postcard::from_bytes(&data[1..]).context(CodecSnafu)
}
