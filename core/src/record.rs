//! Configuration records: what the log and the peers carry.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::{
    doc::Document,
    id::Offset,
    name::OperatorName,
    sections::{Edit, Sections},
};

/// SHA-256 of a rendered document.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// The digest of `text`.
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

/// What a record does to the document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Replaces the document.
    Snapshot(Arc<str>),
    /// Edits sections of the parent's document.
    Delta(Vec<Edit>),
    /// Repeats the document, before the log drops its last snapshot.
    Renew(Arc<str>),
}

impl Change {
    /// The whole document, where the change holds it.
    pub fn text(&self) -> Option<&Arc<str>> {
        match self {
            Self::Snapshot(text) | Self::Renew(text) => Some(text),
            Self::Delta(_) => None,
        }
    }

    /// Bytes of text in the change.
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

/// A configuration record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// A random number by which a publisher finds its record again.
    pub id: u128,
    /// The record that this one builds on; absent for the first one.
    pub parent: Option<Offset>,
    /// The operator, or the process that renewed.
    pub author: OperatorName,
    /// When it was published, in milliseconds since the Unix epoch.
    pub time: u64,
    /// Digest of the document that results.
    pub digest: Digest,
    /// What it does to the document.
    pub change: Change,
}

/// A record at its place in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The record's offset.
    pub offset: Offset,
    /// The record.
    pub record: Arc<Record>,
}

/// Why a record is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// Its parent is not the last valid record: another operator was faster.
    Parent,
    /// The document that results has another digest.
    Digest,
    /// The document that results has faults.
    Document,
}

/// A whole document as one process gives it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Offset of the record that led to the document.
    pub offset: Offset,
    /// Digest of the document.
    pub digest: Digest,
    /// The operator, or the process that renewed.
    pub author: OperatorName,
    /// When the record was published, in milliseconds since the Unix epoch.
    pub time: u64,
    /// When the last snapshot was published, in milliseconds since the Unix epoch.
    #[serde(rename = "renewed")]
    pub snapshot_time: u64,
    /// Deltas since the last snapshot.
    pub deltas: u32,
    /// The document's text.
    pub text: Arc<str>,
}

/// The document that a record leads to.
pub(crate) fn build(base: Option<&str>, record: &Record) -> Result<Document, RejectReason> {
    let edited;
    let text = match &record.change {
        Change::Snapshot(text) | Change::Renew(text) => &**text,
        Change::Delta(edits) => {
            let base = base.ok_or(RejectReason::Parent)?;
            let mut sections =
                Sections::parse("log", base).map_err(|_faults| RejectReason::Document)?;
            sections.apply(edits);
            edited = sections.render();
            &edited
        }
    };
    if Digest::of(text) != record.digest {
        return Err(RejectReason::Digest);
    }
    Document::parse("log", text).map_err(|_faults| RejectReason::Document)
}
