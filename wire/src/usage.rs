//! Messages with which routers exchange counts of requests for usage reports.
//!
//! A message names each router, team and window once, so that its size follows the teams that have
//! changed.

use std::{collections::HashMap, time::Duration};

use ebonyfall_core::{
    id::{Incarnation, Offset},
    name::TeamName,
    usage::{
        counts::{Completeness, CountPage},
        window::{CountChange, CountSource, WindowId},
    },
};
use serde::{Deserialize, Serialize};

use crate::mirror::StreamRead;

/// Request of a router to another one on an authenticated connection.
///
/// The first two variants are the reads of routers of earlier versions, which know no eras of the
/// store; those can read from this one. A router that does not know a variant closes the connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouterRequest {
    /// Read of the operators' orders.
    Orders(ReadRange),
    /// Read of the status records of targets.
    Targets(ReadRange),
    /// Exchange of counts; answered by a [`CountsAnswer`].
    Counts(CountsMessage),
    /// Read of a stream; answered by [`StreamChanges`](crate::mirror::StreamChanges).
    Stream(StreamRead),
}

/// What to read of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRange {
    /// Offset of the first record that the requesting router does not have.
    pub from: Offset,
    /// Time for which the answer may wait for such a record.
    pub wait: Duration,
}

/// Counts of the sending router that the receiver has not acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountsMessage {
    /// Changed counts of the sender.
    pub counts: Counts,
    /// Which counts of all routers the sender wants to read; `None` if it wants none.
    pub read: Option<ReadCounts>,
}

/// Position from which a router reads the counts that another one knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadCounts {
    /// Table that the revision belongs to; the read starts from the beginning of any other table.
    pub table: Incarnation,
    /// Revision after which the changes are wanted.
    pub since: u64,
}

/// Answer to a [`CountsMessage`], whose counts are merged when it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountsAnswer {
    /// Corrected time of the answering router since the Unix epoch.
    pub unix: Duration,
    /// Table of the answering router; a restart begins a new one.
    pub table: Incarnation,
    /// The counts that were asked for.
    pub page: Option<Page>,
}

/// Part of the counts that a router knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The changed counts.
    pub counts: Counts,
    /// Revision from which the next read continues.
    pub revision: u64,
    /// Whether more changes follow.
    pub has_more: bool,
}

/// Counts of some routers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Teams that the counts refer to by their index.
    teams: Vec<TeamName>,
    sources: Vec<SourceCounts>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct SourceCounts {
    source: CountSource,
    /// Time since the Unix epoch up to which the counts are complete, if it has changed.
    complete: Option<Duration>,
    windows: Vec<(WindowId, Vec<(u32, u64)>)>,
}

impl Counts {
    /// Encodes changed counts and changed times up to which counts are complete.
    pub fn new(mut changes: Vec<CountChange>, complete: Vec<Completeness>) -> Self {
        changes.sort_by(|a, b| (&a.source, a.window).cmp(&(&b.source, b.window)));
        let mut counts = Self::default();
        let mut indexes: HashMap<TeamName, u32> = HashMap::new();
        for change in changes {
            let next = u32::try_from(indexes.len()).unwrap_or(u32::MAX);
            let index = *indexes.entry(change.team.clone()).or_insert_with(|| {
                counts.teams.push(change.team);
                next
            });
            let is_same = |last: &SourceCounts| last.source == change.source;
            if !counts.sources.last().is_some_and(is_same) {
                counts.sources.push(SourceCounts::new(change.source));
            }
            if let Some(source) = counts.sources.last_mut() {
                source.push(change.window, index, change.count);
            }
        }
        for Completeness { source, until } in complete {
            let place = counts
                .sources
                .binary_search_by(|known| known.source.cmp(&source));
            match place {
                Ok(at) => counts.sources[at].complete = Some(until),
                Err(at) => {
                    let mut new = SourceCounts::new(source);
                    new.complete = Some(until);
                    counts.sources.insert(at, new);
                }
            }
        }
        counts
    }

    /// Whether the message has no content.
    pub fn is_empty(&self) -> bool {
        self.sources.is_empty()
    }

    /// Decodes the counts. Those that refer to no team are left out.
    pub fn decode(self) -> (Vec<CountChange>, Vec<Completeness>) {
        let (mut changes, mut complete) = (Vec::new(), Vec::new());
        for SourceCounts {
            source,
            complete: until,
            windows,
        } in self.sources
        {
            let in_windows = windows.into_iter().flat_map(|(window, counts)| {
                let counts = counts.into_iter();
                counts.map(move |(team, count)| (window, team, count))
            });
            changes.extend(in_windows.filter_map(|(window, team, count)| {
                let team = self.teams.get(usize::try_from(team).ok()?)?.clone();
                Some(CountChange {
                    source: source.clone(),
                    window,
                    team,
                    count,
                })
            }));
            complete.extend(until.map(|until| Completeness { source, until }));
        }
        (changes, complete)
    }
}

impl From<CountPage> for Page {
    fn from(page: CountPage) -> Self {
        Self {
            counts: Counts::new(page.changes, page.complete),
            revision: page.revision,
            has_more: page.has_more,
        }
    }
}

impl SourceCounts {
    fn new(source: CountSource) -> Self {
        Self {
            source,
            complete: None,
            windows: Vec::new(),
        }
    }

    fn push(&mut self, window: WindowId, team: u32, count: u64) {
        match self.windows.last_mut() {
            Some((last, counts)) if *last == window => counts.push((team, count)),
            _ => self.windows.push((window, vec![(team, count)])),
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/usage.rs"]
mod tests;
