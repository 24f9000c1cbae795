//! Configuration records, as stored in the log and sent between peers.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::{
    doc::Document,
    id::Offset,
    name::OperatorName,
    sections::{Edit, Sections},
};

/// SHA-256 digest of a document in canonical form; see [`Sections::render`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of `text`.
    pub fn of(text: &str) -> Self {
        Self(Sha256::digest(text.as_bytes()).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

/// The change that a record makes to the document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Replaces the document with this text.
    Snapshot(Arc<str>),
    /// Edits sections of the document that results from the parent record.
    Delta(Vec<Edit>),
    /// Repeats the document before the last snapshot expires from the log.
    Renew(Arc<str>),
}

impl Change {
    /// The full text of the document; `None` for a delta.
    pub fn text(&self) -> Option<&Arc<str>> {
        match self {
            Self::Snapshot(text) | Self::Renew(text) => Some(text),
            Self::Delta(_) => None,
        }
    }

    /// Size of the text in the change, in bytes.
    pub fn size(&self) -> usize {
        match self {
            Self::Snapshot(text) | Self::Renew(text) => text.len(),
            Self::Delta(edits) => edits
                .iter()
                .map(|edit| {
                    let body = edit.body.iter().flatten();
                    edit.title.len()
                        + body
                            .map(|(key, value)| key.len() + value.len())
                            .sum::<usize>()
                })
                .sum(),
        }
    }
}

/// A published change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Random identifier by which the publisher recognises its own record in the log.
    pub id: u128,
    /// Offset of the record that this one builds on; `None` for the first record.
    pub parent: Option<Offset>,
    /// The operator who published the record, or the process that renewed the configuration.
    pub author: OperatorName,
    /// Time of publication, in milliseconds since the Unix epoch.
    #[serde(rename = "time")]
    pub published_ms: u64,
    /// Digest of the resulting document.
    pub digest: Digest,
    /// The change to the document of the parent.
    pub change: Change,
}

/// A record together with its offset in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Offset of the record in the log.
    pub offset: Offset,
    /// The record, shared with the other holders of the entry.
    pub record: Arc<Record>,
}

/// Why a record is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The parent is not the last valid record, because another change was published first.
    Parent,
    /// The digest of the resulting document differs, or the record cannot be decoded.
    Digest,
    /// The resulting document has errors.
    Document,
}

/// A full document, as one process sends it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Offset of the record that produced the document.
    pub offset: Offset,
    /// Digest of the document.
    pub digest: Digest,
    /// The operator who published the record, or the process that renewed the configuration.
    pub author: OperatorName,
    /// Publication time of the record, in milliseconds since the Unix epoch.
    #[serde(rename = "time")]
    pub published_ms: u64,
    /// Publication time of the last snapshot or renewal, in milliseconds since the Unix epoch.
    #[serde(rename = "renewed")]
    pub snapshot_published_ms: u64,
    /// Number of deltas since the last snapshot or renewal.
    pub deltas: u32,
    /// Text of the document in canonical form.
    pub text: Arc<str>,
}

/// Applies `record` to the parent's document `base` and returns the resulting document.
pub(crate) fn build_document(
    base: Option<&str>,
    record: &Record,
) -> Result<Document, RejectReason> {
    let edited;
    let text = match &record.change {
        Change::Snapshot(text) | Change::Renew(text) => &**text,
        Change::Delta(edits) => {
            let base = base.ok_or(RejectReason::Parent)?;
            let mut sections =
                Sections::parse("log", base).map_err(|_diagnostics| RejectReason::Document)?;
            sections.apply(edits);
            edited = sections.render();
            &edited
        }
    };
    if Digest::of(text) != record.digest {
        return Err(RejectReason::Digest);
    }
    Document::parse("log", text).map_err(|_diagnostics| RejectReason::Document)
}
