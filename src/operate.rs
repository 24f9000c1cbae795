//! Configuration operations shared by the command line and the admin API: check, compare, publish,
//! promote and list.

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
    reader::{CONFIG_STREAM, ConfigReader},
};

/// Time limit for a publisher to append its record and read it back from the log.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two attempts to append the record or to read it back.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Failure of a configuration operation.
#[derive(Debug, Snafu)]
pub enum OperateError {
    /// The document does not parse or is not valid.
    #[snafu(display("{}", join_lines(faults)))]
    Faults {
        /// Every fault found, with file and line.
        faults: Vec<Diagnostic>,
    },
    /// The desired state cannot be decoded.
    #[snafu(display("{file}: {source}; correct the file"))]
    DesiredUnreadable {
        /// Name of the file, as given by the operator.
        file: String,
        /// Error of the decoder.
        source: DesiredError,
    },
    /// The desired state decodes but is not valid.
    #[snafu(display("{}", join_lines(faults.iter().map(|fault| format!("{file}: {fault}")))))]
    DesiredFaults {
        /// Name of the file, as given by the operator.
        file: String,
        /// Every fault found in the file.
        faults: Vec<desired::DesiredFault>,
    },
    /// Another change was published after the base of this one; nothing was published.
    #[snafu(display("{conflict}"))]
    Conflict {
        /// The change that won, and the sections that differ from it.
        conflict: Box<Conflict>,
    },
    /// The log cannot be read, or did not accept the record; nothing was published.
    #[snafu(display("{source}; nothing was published"))]
    Log {
        /// Error of the platform client.
        source: PlatformError,
    },
    /// An append may have taken effect, but the record could not be read back in time.
    #[snafu(display(
        "no answer from the log for {} s: {source}; the change may be published. Run `ebonyfall \
         history` when the log is back and look for id {id:032x}",
        PUBLISH_TIMEOUT.as_secs()
    ))]
    Unconfirmed {
        /// Random id of the record, by which it can be found in the history.
        id: u128,
        /// Last error of the platform client.
        source: PlatformError,
    },
    /// The log has dropped its oldest records and holds no configuration any more.
    #[snafu(display(
        "the log has dropped its configuration records; wait until a running process renews the \
         configuration, or publish with --initial if no process has one"
    ))]
    ConfigurationDropped,
    /// No configuration has been published, or this process has not read one yet.
    #[snafu(display("the log holds no configuration; publish a document first"))]
    NoConfiguration,
    /// The record cannot be encoded.
    #[snafu(display("cannot encode the record: {source}"))]
    Encode {
        /// Error of the encoder.
        source: postcard::Error,
    },
    /// The appended record was rejected although no other record took its place.
    #[snafu(display(
        "the record at offset {offset} is invalid; check that all programs are of one version"
    ))]
    Invalid {
        /// Next offset to be read; the rejected record precedes it.
        offset: Offset,
    },
}

/// Change that was published first and so caused a publish to be refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Operator who published the winning change.
    pub by: OperatorName,
    /// Offset of the winning change.
    pub offset: Offset,
    /// Publication time of the winning change, in milliseconds since the Unix epoch.
    pub time: u64,
    /// Offset that the refused change was based on; `None` if it assumed an empty log.
    pub base: Option<Offset>,
    /// Titles of the sections in which the configuration in force and the refused document differ.
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

/// Outcome of a successful publish.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum PublishOutcome {
    /// The record is in the log and the document is the configuration in force.
    Changed {
        /// Offset of the new record.
        offset: Offset,
        /// Titles of the sections that changed.
        sections: Vec<String>,
        /// Size of the record in the log, in bytes.
        bytes: usize,
    },
    /// An equal document was in force already; nothing was appended.
    Unchanged {
        /// Offset of the record in force.
        offset: Offset,
    },
}

/// A document to publish, with its author and base.
#[derive(Debug, Clone)]
pub struct PublishRequest<'a> {
    /// File name for diagnostics.
    pub file: &'a str,
    /// Text of the document.
    pub text: &'a str,
    /// Operator recorded with the change.
    pub author: OperatorName,
    /// Offset that the change is based on; publishing fails with a conflict if it is not the tip.
    /// `None` accepts any tip.
    pub base: Option<Offset>,
    /// Whether to publish to a log that has dropped its configuration.
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

/// Decodes and validates a desired state of entry routers, given as JSON.
///
/// # Errors
///
/// Fails if the text cannot be decoded, or returns every fault found.
pub fn check_desired(file: &str, text: &str) -> Result<DesiredState, OperateError> {
    let state = decode(text.as_bytes()).context(DesiredUnreadableSnafu { file })?;
    let faults = state.faults();
    if faults.is_empty() {
        Ok(state)
    } else {
        DesiredFaultsSnafu { file, faults }.fail()
    }
}

/// Reads the configuration in force from the log; `None` if the log holds none.
///
/// # Errors
///
/// Fails if the log cannot be read.
pub async fn current_tip(platform: &Platform) -> Result<Option<Tip>, OperateError> {
    let mut tail = ConfigReader::new(platform.clone());
    tail.advance().await.context(LogSnafu)?;
    Ok(tail.chain().tip().cloned())
}

/// Compares a document with the configuration in force. Returns the offset of the latter, to be
/// given as base of a publish, or `None` if the log holds no configuration, and the differences.
///
/// # Errors
///
/// Fails if the log cannot be read or the document has faults.
pub async fn diff(
    platform: &Platform,
    file: &str,
    text: &str,
) -> Result<(Option<Offset>, Vec<Difference>), OperateError> {
    let new = check(file, text)?;
    let tip = current_tip(platform).await?;
    let old = sections(tip.as_ref());
    Ok((tip.map(|tip| tip.offset), old.differences(&new)))
}

/// Sections of the tip's document; empty without a tip.
pub fn sections(tip: Option<&Tip>) -> Sections {
    let text = tip.map(|tip| Sections::parse("log", &tip.document.text));
    text.and_then(Result::ok).unwrap_or_default()
}

/// Publishes a document and reads its record back from the log. Publishing a document equal to the
/// one in force appends nothing.
///
/// # Errors
///
/// Fails if the document has faults, another change was published first or the log does not answer.
pub async fn publish(
    platform: &Platform,
    req: PublishRequest<'_>,
) -> Result<PublishOutcome, OperateError> {
    let new = check(req.file, req.text)?;
    let mut tail = ConfigReader::new(platform.clone());
    tail.advance().await.context(LogSnafu)?;
    let chain = tail.chain();
    let tip = chain.tip().cloned();
    if tip.is_none() && chain.is_searching() && !req.initial {
        return ConfigurationDroppedSnafu.fail();
    }
    let old = sections(tip.as_ref());
    if let Some(tip) = &tip {
        if old == new {
            return Ok(PublishOutcome::Unchanged { offset: tip.offset });
        }
        if req.base.is_some_and(|base| base != tip.offset) {
            return Err(conflict_error(tip, req.base, &new));
        }
    }
    let time = u64::try_from(clock::unix_time().as_millis()).unwrap_or(u64::MAX);
    let record = chain.propose(&new, rand::random(), req.author, time);
    let data = record::encode(&record).context(EncodeSnafu)?;
    append_and_read_back(platform, &mut tail, &record, &data).await?;
    let (bytes, winner) = (data.len(), find_winner(&tail, &record));
    match winner {
        Some(entry) if entry.record.id == record.id => Ok(PublishOutcome::Changed {
            offset: entry.offset,
            sections: changed_titles(&old, &new),
            bytes,
        }),
        winner => {
            let tip = tail.chain().tip();
            match (winner, tip) {
                (Some(entry), Some(tip)) => {
                    let mut winning_tip = tip.clone();
                    winning_tip.offset = entry.offset;
                    winning_tip.author = entry.record.author.clone();
                    winning_tip.published_ms = entry.record.published_ms;
                    Err(conflict_error(&winning_tip, record.parent, &new))
                }
                (None, Some(tip)) if Some(tip.offset) != record.parent => {
                    Err(conflict_error(tip, record.parent, &new))
                }
                _ => InvalidSnafu {
                    offset: tail.chain().next_offset(),
                }
                .fail(),
            }
        }
    }
}

fn changed_titles(old: &Sections, new: &Sections) -> Vec<String> {
    let edits = old.edits(new).into_iter();
    edits.map(|edit| edit.title.to_string()).collect()
}

fn conflict_error(winner: &Tip, base: Option<Offset>, new: &Sections) -> OperateError {
    OperateError::Conflict {
        conflict: Box::new(Conflict {
            by: winner.author.clone(),
            offset: winner.offset,
            time: winner.published_ms,
            base,
            differs: changed_titles(&sections(Some(winner)), new),
        }),
    }
}

/// Finds the valid record that follows the parent of `record`: `record` itself, or another change
/// that was appended first.
fn find_winner(tail: &ConfigReader, record: &Record) -> Option<Entry> {
    let recent = tail.chain().recent();
    let mut found =
        recent.filter(|entry| entry.record.id == record.id || entry.record.parent == record.parent);
    found.next().cloned()
}

/// Appends the record, and reads the log until the record has been passed or the tip has moved.
/// Failed appends are retried until [`PUBLISH_TIMEOUT`] has passed.
async fn append_and_read_back(
    platform: &Platform,
    tail: &mut ConfigReader,
    record: &Record,
    data: &[u8],
) -> Result<(), OperateError> {
    let deadline = Instant::now() + PUBLISH_TIMEOUT;
    let mut appended = None;
    let mut last_error = None;
    let mut maybe_appended = false;
    loop {
        if appended.is_none() {
            // Appending a second copy is harmless: once the first is valid, the parent of the
            // second is no longer the tip, and readers reject it.
            match platform.append(CONFIG_STREAM, data).await {
                Ok(offset) => appended = Some(offset),
                Err(PlatformError::Refused { status })
                    if status != http::StatusCode::TOO_MANY_REQUESTS && !maybe_appended =>
                {
                    return Err(PlatformError::Refused { status }).context(LogSnafu);
                }
                Err(error) => {
                    maybe_appended |= matches!(error, PlatformError::NoAnswer { .. });
                    last_error = Some(error);
                }
            }
        }
        match tail.advance().await {
            Ok(()) => {
                let read_past = appended.is_some_and(|offset| tail.chain().next_offset() > offset);
                let tip_moved = tail.chain().tip().map(|tip| tip.offset) != record.parent;
                if read_past || tip_moved {
                    return Ok(());
                }
            }
            Err(error) => last_error = Some(error),
        }
        if Instant::now() >= deadline {
            let source = last_error.unwrap_or(PlatformError::NoAnswer {
                reason: "the record does not appear in the log".to_owned(),
            });
            return if maybe_appended || appended.is_some() {
                Err(source).context(UnconfirmedSnafu { id: record.id })
            } else {
                Err(source).context(LogSnafu)
            };
        }
        time::sleep(RETRY_PAUSE).await;
    }
}

/// A valid configuration record in the log, as listed by `history`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Offset of the record.
    pub offset: Offset,
    /// Publication time, in milliseconds since the Unix epoch.
    pub time: u64,
    /// Operator who published the record, or process that renewed the configuration.
    pub author: OperatorName,
    /// Random id of the record, as 32 hex digits.
    pub id: String,
    /// Kind of record: `snapshot`, `delta` or `renewal`.
    pub kind: String,
    /// Titles of the changed sections. Empty for a renewal, and for a snapshot whose preceding
    /// document is no longer in the log.
    pub sections: Vec<String>,
}

/// Lists the valid records that the log still holds, oldest first, at most the newest 256.
///
/// # Errors
///
/// Fails if the log cannot be read.
pub async fn history(platform: &Platform) -> Result<Vec<HistoryEntry>, OperateError> {
    let mut tail = ConfigReader::new(platform.clone());
    tail.advance_from_first().await.context(LogSnafu)?;
    let mut previous: Option<Sections> = None;
    let events = tail.chain().recent().map(|entry| {
        let record = &entry.record;
        let (kind, changed) = match &record.change {
            Change::Delta(edits) => {
                if let Some(previous) = &mut previous {
                    previous.apply(edits);
                }
                let titles = edits.iter().map(|edit| edit.title.to_string());
                ("delta", titles.collect())
            }
            Change::Snapshot(text) | Change::Renew(text) => {
                let new = Sections::parse("log", text).unwrap_or_default();
                let first = record.parent.is_none().then(Sections::default);
                let old = previous.replace(new.clone()).or(first);
                let renewal = matches!(record.change, Change::Renew(_));
                let kind = if renewal { "renewal" } else { "snapshot" };
                (
                    kind,
                    old.map_or_else(Vec::new, |old| changed_titles(&old, &new)),
                )
            }
        };
        HistoryEntry {
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

/// Promotes the document `source` to the environment of the document `into`; each is a pair of file
/// name and text. Keys that are specific to the environment of `into` keep their values, see
/// [`Sections::promoted_from`].
///
/// # Errors
///
/// Fails if one of the documents, or the resulting one, has faults.
pub fn promote(source: (&str, &str), into: (&str, &str)) -> Result<Sections, OperateError> {
    let result = check(into.0, into.1)?.promoted_from(&check(source.0, source.1)?);
    check("promoted document", &result.render())
}
