//! What operators do with the configuration; the command line and the admin API are thin over it.

use std::time::Duration;

use ebonyfall_core::{
    config::{Change, Entry, Record, Tip},
    desired::{self, DesiredState},
    doc::Document,
    id::Offset,
    ini::{Diagnostic, join_lines},
    name::OperatorName,
    sections::{Difference, Sections},
};
use ebonyfall_platform::desired::{DesiredError, decode};
use ebonyfall_wire::record;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tokio::time::{self, Instant};

use crate::{
    clock,
    platform::{Platform, PlatformError},
    tail::{CONFIG_STREAM, ConfigReader},
};

/// How long a publisher tries to learn whether its record is in the log.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(200);

/// An operation did not succeed.
#[derive(Debug, Snafu)]
pub enum OperateError {
    /// The document has faults.
    #[snafu(display("{}", join_lines(faults)))]
    Faults {
        /// Every fault found.
        faults: Vec<Diagnostic>,
    },
    /// The desired state cannot be read.
    #[snafu(display("{file}: {source}; correct the file"))]
    Desired {
        /// The file.
        file: String,
        /// What is wrong.
        source: DesiredError,
    },
    /// The desired state has faults.
    #[snafu(display("{}", join_lines(faults.iter().map(|fault| format!("{file}: {fault}")))))]
    DesiredFaults {
        /// The file.
        file: String,
        /// Every fault found.
        faults: Vec<desired::DesiredFault>,
    },
    /// Another operator's change came first.
    #[snafu(display("{conflict}"))]
    Conflict {
        /// Who was first, and what differs.
        conflict: Box<Conflict>,
    },
    /// The log cannot be used.
    #[snafu(display("{source}; nothing was published"))]
    Log {
        /// The platform's error.
        source: PlatformError,
    },
    /// It could not be learnt whether the record is in the log.
    #[snafu(display(
        "no answer from the log for {} s: {source}; the change may be published. Run `ebonyfall \
         history` when the log is back and look for id {id:032x}",
        PUBLISH_TIMEOUT.as_secs()
    ))]
    Unconfirmed {
        /// The record's id.
        id: u128,
        /// The platform's last error.
        source: PlatformError,
    },
    /// The log holds no configuration, although it held records before.
    #[snafu(display(
        "the log has dropped its configuration records; wait until a running process renews the \
         configuration, or publish with --initial if no process has one"
    ))]
    Lost,
    /// The log holds no configuration yet.
    #[snafu(display("the log holds no configuration; publish a document first"))]
    Nothing,
    /// The record cannot be encoded.
    #[snafu(display("cannot encode the record: {source}"))]
    Encode {
        /// The codec's error.
        source: postcard::Error,
    },
    /// The record was found invalid although its parent was the tip.
    #[snafu(display(
        "the record at offset {offset} is invalid; check that all programs are of one version"
    ))]
    Invalid {
        /// The record's offset.
        offset: Offset,
    },
}

/// Who was first, and what differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The operator whose change came first.
    pub by: OperatorName,
    /// Offset of that change.
    pub offset: Offset,
    /// When it was published, in milliseconds since the Unix epoch.
    pub time: u64,
    /// The offset that the refused change was based on.
    pub base: Option<Offset>,
    /// Sections in which the configuration in force differs from the refused document.
    pub differs: Vec<String>,
}

impl std::fmt::Display for Conflict {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let base = self
            .base
            .map_or("nothing".to_owned(), |base| base.to_string());
        write!(
            f,
            "{} published offset {} first (your change was based on {base}); differing sections: \
             {}. Run `ebonyfall diff`, merge and publish again",
            self.by,
            self.offset,
            self.differs.join(", ")
        )
    }
}

/// What came of a publish.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum Published {
    /// The document is in force.
    Changed {
        /// Offset of the record.
        offset: Offset,
        /// The sections that changed.
        sections: Vec<String>,
        /// Bytes appended to the log.
        bytes: usize,
    },
    /// The same document was in force already.
    Unchanged {
        /// Offset of the record.
        offset: Offset,
    },
}

/// How a document is published.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// Name of the file, for faults.
    pub file: &'a str,
    /// The document.
    pub text: &'a str,
    /// The operator.
    pub author: OperatorName,
    /// The offset that the change is based on; the tip if absent.
    pub base: Option<Offset>,
    /// Whether to begin anew in a log that has dropped its configuration.
    pub initial: bool,
}

/// Parses and checks a document, and returns its sections.
///
/// # Errors
///
/// Returns every fault found.
pub fn check(file: &str, text: &str) -> Result<Sections, OperateError> {
    let checked = Document::parse(file, text).and_then(|_document| Sections::parse(file, text));
    checked.map_err(|faults| OperateError::Faults { faults })
}

/// Checks a desired state of entry routers.
///
/// # Errors
///
/// Fails when it cannot be read, or returns every fault found.
pub fn check_desired(file: &str, text: &str) -> Result<DesiredState, OperateError> {
    let state = decode(text.as_bytes()).context(DesiredSnafu { file })?;
    let faults = state.faults();
    if faults.is_empty() {
        Ok(state)
    } else {
        DesiredFaultsSnafu { file, faults }.fail()
    }
}

/// Reads the configuration in force from the log.
///
/// # Errors
///
/// Fails when the log cannot be read.
pub async fn current(platform: &Platform) -> Result<Option<Tip>, OperateError> {
    let mut tail = ConfigReader::new(platform.clone());
    tail.advance().await.context(LogSnafu)?;
    Ok(tail.chain().tip().cloned())
}

/// The base offset and the differences between the configuration in force and a document.
///
/// # Errors
///
/// Fails when the log cannot be read or the document has faults.
pub async fn diff(
    platform: &Platform,
    file: &str,
    text: &str,
) -> Result<(Option<Offset>, Vec<Difference>), OperateError> {
    let new = check(file, text)?;
    let tip = current(platform).await?;
    let old = sections(tip.as_ref());
    Ok((tip.map(|tip| tip.offset), old.differences(&new)))
}

/// The sections of a tip.
pub fn sections(tip: Option<&Tip>) -> Sections {
    let text = tip.map(|tip| Sections::parse("log", &tip.document.text));
    text.and_then(Result::ok).unwrap_or_default()
}

/// Publishes a document and reads it back.
///
/// # Errors
///
/// Fails when the document has faults, another operator was first or the log does not answer.
pub async fn publish(platform: &Platform, req: Request<'_>) -> Result<Published, OperateError> {
    let new = check(req.file, req.text)?;
    let mut tail = ConfigReader::new(platform.clone());
    tail.advance().await.context(LogSnafu)?;
    let chain = tail.chain();
    let tip = chain.tip().cloned();
    if tip.is_none() && chain.is_searching() && !req.initial {
        return LostSnafu.fail();
    }
    let old = sections(tip.as_ref());
    if let Some(tip) = &tip {
        if old == new {
            return Ok(Published::Unchanged { offset: tip.offset });
        }
        if req.base.is_some_and(|base| base != tip.offset) {
            return Err(conflict(tip, req.base, &new));
        }
    }
    let time = u64::try_from(clock::unix_time().as_millis()).unwrap_or(u64::MAX);
    let record = chain.propose(&new, rand::random(), req.author, time);
    let data = record::encode(&record).context(EncodeSnafu)?;
    append(platform, &mut tail, &record, &data).await?;
    let (bytes, winner) = (data.len(), find(&tail, &record));
    match winner {
        Some(entry) if entry.record.id == record.id => Ok(Published::Changed {
            offset: entry.offset,
            sections: changed(&old, &new),
            bytes,
        }),
        winner => {
            let tip = tail.chain().tip();
            match (winner, tip) {
                (Some(entry), Some(tip)) => {
                    let mut first = tip.clone();
                    first.offset = entry.offset;
                    first.author = entry.record.author.clone();
                    first.published_ms = entry.record.published_ms;
                    Err(conflict(&first, record.parent, &new))
                }
                (None, Some(tip)) if Some(tip.offset) != record.parent => {
                    Err(conflict(tip, record.parent, &new))
                }
                _ => InvalidSnafu {
                    offset: tail.chain().next_offset(),
                }
                .fail(),
            }
        }
    }
}

fn changed(old: &Sections, new: &Sections) -> Vec<String> {
    let edits = old.edits(new).into_iter();
    edits.map(|edit| edit.title.to_string()).collect()
}

fn conflict(first: &Tip, base: Option<Offset>, new: &Sections) -> OperateError {
    OperateError::Conflict {
        conflict: Box::new(Conflict {
            by: first.author.clone(),
            offset: first.offset,
            time: first.published_ms,
            base,
            differs: changed(&sections(Some(first)), new),
        }),
    }
}

/// The valid record that has the same parent as `record`, or that is `record`.
fn find(tail: &ConfigReader, record: &Record) -> Option<Entry> {
    let recent = tail.chain().recent();
    let mut found =
        recent.filter(|entry| entry.record.id == record.id || entry.record.parent == record.parent);
    found.next().cloned()
}

/// Appends the record until it, or another one on its parent, is seen in the log.
async fn append(
    platform: &Platform,
    tail: &mut ConfigReader,
    record: &Record,
    data: &[u8],
) -> Result<(), OperateError> {
    let deadline = Instant::now() + PUBLISH_TIMEOUT;
    let mut appended = None;
    let mut error = None;
    let mut sent = false;
    loop {
        if appended.is_none() {
            // Appending the record once more is harmless: only the first of two can be valid,
            // since the second has a parent that is no longer the tip.
            match platform.append(CONFIG_STREAM, data).await {
                Ok(offset) => appended = Some(offset),
                Err(PlatformError::Refused { status })
                    if status != http::StatusCode::TOO_MANY_REQUESTS && !sent =>
                {
                    return Err(PlatformError::Refused { status }).context(LogSnafu);
                }
                Err(found) => {
                    sent |= matches!(found, PlatformError::NoAnswer { .. });
                    error = Some(found);
                }
            }
        }
        match tail.advance().await {
            Ok(()) => {
                let passed = appended.is_some_and(|offset| tail.chain().next_offset() > offset);
                let moved = tail.chain().tip().map(|tip| tip.offset) != record.parent;
                if passed || moved {
                    return Ok(());
                }
            }
            Err(found) => error = Some(found),
        }
        if Instant::now() >= deadline {
            let source = error.unwrap_or(PlatformError::NoAnswer {
                reason: "the record does not appear in the log".to_owned(),
            });
            return if sent || appended.is_some() {
                Err(source).context(UnconfirmedSnafu { id: record.id })
            } else {
                Err(source).context(LogSnafu)
            };
        }
        time::sleep(PAUSE).await;
    }
}

/// A valid record in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The record's offset.
    pub offset: Offset,
    /// When it was published, in milliseconds since the Unix epoch.
    pub time: u64,
    /// The operator, or the process that renewed.
    pub author: OperatorName,
    /// The record's id, as hex digits.
    pub id: String,
    /// What the record is: `snapshot`, `delta` or `renewal`.
    pub kind: String,
    /// The sections changed; empty for a renewal and where the document before is unknown.
    pub sections: Vec<String>,
}

/// The valid records that the log still keeps, oldest first, at most 256.
///
/// # Errors
///
/// Fails when the log cannot be read.
pub async fn history(platform: &Platform) -> Result<Vec<Event>, OperateError> {
    let mut tail = ConfigReader::new(platform.clone());
    tail.advance_from_first().await.context(LogSnafu)?;
    let mut known: Option<Sections> = None;
    let events = tail.chain().recent().map(|entry| {
        let record = &entry.record;
        let (kind, changed) = match &record.change {
            Change::Delta(edits) => {
                if let Some(known) = &mut known {
                    known.apply(edits);
                }
                let titles = edits.iter().map(|edit| edit.title.to_string());
                ("delta", titles.collect())
            }
            Change::Snapshot(text) | Change::Renew(text) => {
                let new = Sections::parse("log", text).unwrap_or_default();
                let first = record.parent.is_none().then(Sections::default);
                let old = known.replace(new.clone()).or(first);
                let renewal = matches!(record.change, Change::Renew(_));
                let kind = if renewal { "renewal" } else { "snapshot" };
                (kind, old.map_or_else(Vec::new, |old| changed(&old, &new)))
            }
        };
        Event {
            offset: entry.offset,
            time: record.published_ms,
            author: record.author.clone(),
            id: format!("{:032x}", record.id),
            kind: kind.to_owned(),
            sections: changed,
        }
    });
    Ok(events.collect())
}

/// The document that another environment gets from `source`: what is particular to it stays.
///
/// # Errors
///
/// Fails when a document has faults, also the one that results.
pub fn promote(source: (&str, &str), into: (&str, &str)) -> Result<Sections, OperateError> {
    let result = check(into.0, into.1)?.promoted_from(&check(source.0, source.1)?);
    check("promoted document", &result.render())
}
