//! Log records that begin with the number of their form.

use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu, ensure};

/// A record that cannot be used.
#[derive(Debug, Snafu)]
pub enum FormatError {
    /// It was written in a form that this build does not know.
    #[snafu(display("a record has an unknown form; upgrade this process"))]
    UnknownFormat,
    /// It cannot be decoded or encoded.
    #[snafu(display("a record cannot be decoded: {source}"))]
    Codec {
        /// The codec's error.
        source: postcard::Error,
    },
}

/// Encodes a record, with the number of its form as the first byte.
///
/// # Errors
///
/// Fails when it cannot be encoded.
pub(crate) fn encode(format: u8, record: &impl Serialize) -> Result<Vec<u8>, FormatError> {
    postcard::to_extend(record, vec![format]).context(CodecSnafu)
}

/// Decodes a record of this form.
///
/// # Errors
///
/// Fails when the record has another form or is malformed.
pub(crate) fn decode<T: DeserializeOwned>(format: u8, data: &[u8]) -> Result<T, FormatError> {
    ensure!(data.first() == Some(&format), UnknownFormatSnafu);
    postcard::from_bytes(&data[1..]).context(CodecSnafu)
}
