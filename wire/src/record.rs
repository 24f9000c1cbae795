//! Encoding of configuration records in the platform's log.

use ebonyfall_core::config::Record;
use serde::{Deserialize, Serialize};

/// The forms in which records were ever written; the number of the form comes first.
#[derive(Serialize, Deserialize)]
enum Form {
    V1(Record),
}

#[derive(Serialize)]
enum FormRef<'a> {
    V1(&'a Record),
}

/// Encodes a configuration record.
///
/// # Errors
///
/// Fails when the codec does.
pub fn encode(record: &Record) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(&FormRef::V1(record))
}

/// Decodes a configuration record.
///
/// # Errors
///
/// Fails when the bytes are not a record of a known form, or longer than it.
pub fn decode(bytes: &[u8]) -> Result<Record, postcard::Error> {
    let (Form::V1(record), rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        Ok(record)
    } else {
        Err(postcard::Error::DeserializeBadEncoding)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ebonyfall_core::config::{Change, Digest};

    /// Guards against a panic on arbitrary bytes, alone and behind a valid beginning.
    #[test]
    fn garbage_never_panics() {
        fn property(bytes: Vec<u8>, cut: usize) -> bool {
            let record = Record {
                id: 7,
                parent: None,
                author: "ann".parse().unwrap(),
                time: 1,
                digest: Digest([1; 32]),
                change: Change::Snapshot("text".into()),
            };
            let mut whole = encode(&record).unwrap();
            let same = decode(&whole).as_ref() == Ok(&record);
            let _garbage = decode(&bytes);
            whole.truncate(cut % whole.len());
            let short = decode(&whole).is_err();
            whole.extend(bytes);
            let _mixed = decode(&whole);
            same && short
        }
        quickcheck::quickcheck(property as fn(Vec<u8>, usize) -> bool);
    }
}
