//! Counts of the requests that began to run, by window, team and router.
//!
//! A count only grows, and of two counts of one router the larger one is the later one. Merging is
//! therefore commutative, associative and idempotent, and messages may be lost, repeated or
//! reordered.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use super::window::{CountChange, CountSource, WindowId, WindowLength};
use crate::name::{ProcessName, TeamName};

/// Windows that are kept after their end. Reports that became due during an outage are caught up
/// from them.
pub const KEPT_WINDOWS: u64 = 32;
/// Maximum number of teams in one window.
pub const MAX_TEAMS: usize = 4_096;
/// Maximum number of sources, enough for 1,000 routers that restart once in every fourth window.
pub const MAX_SOURCES: usize = 8_192;
/// Maximum number of counts. At 24 bytes each they take 50 MB; the oldest window is removed when
/// there are more.
pub const MAX_COUNTS: usize = 2 << 20;
/// Time after which a router's counts are complete. A request is counted when it is answered, in the
/// window in which it began, so that a count may come later than its window's end. The reports are
/// decided 4 s after the end of a window.
pub const COMPLETE_LAG: Duration = Duration::from_millis(2_500);
/// Windows after the present one that are accepted from routers whose clocks are ahead.
const MAX_AHEAD: u64 = 1;

/// Counts of all known routers, with the times up to which they are complete.
#[derive(Debug, Clone)]
pub struct UsageTable {
    own: usize,
    length: WindowLength,
    /// Sources by their index in the counts. An unused place is `None`.
    sources: Vec<Option<SourceState>>,
    by_source: HashMap<CountSource, usize>,
    windows: BTreeMap<WindowId, WindowTable>,
    /// Window in which old windows and sources were last removed.
    expired_in: Option<WindowId>,
    /// Number of the last change.
    revision: u64,
    counts: usize,
    refused: u64,
}

#[derive(Debug, Clone)]
struct SourceState {
    source: CountSource,
    complete: Duration,
    /// Number of the change that last raised `complete`.
    revision: u64,
    /// Number of counts of this source.
    counts: usize,
}

#[derive(Debug, Clone, Default)]
struct WindowTable {
    /// Number of the last change in this window.
    revision: u64,
    teams: BTreeMap<TeamName, TeamCounts>,
}

#[derive(Debug, Clone, Default)]
struct TeamCounts {
    revision: u64,
    /// Sorted by source.
    counts: Vec<SourceCount>,
}

#[derive(Debug, Clone, Copy)]
struct SourceCount {
    count: u64,
    revision: u64,
    source: usize,
}

/// Time up to which a router's counts are complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completeness {
    /// Router that counts.
    pub source: CountSource,
    /// Time since the Unix epoch, by the clock of that router.
    pub until: Duration,
}

/// Changes of a table since one of its revisions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CountPage {
    /// Changed counts.
    pub changes: Vec<CountChange>,
    /// Changed times up to which routers' counts are complete.
    pub complete: Vec<Completeness>,
    /// Revision from which the next page continues.
    pub revision: u64,
    /// Whether more changes follow.
    pub has_more: bool,
}

/// Counts of one window by team, and the live routers whose counts may be incomplete.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WindowCounts {
    /// Number of requests of each team that began in the window.
    pub counts: BTreeMap<TeamName, u64>,
    /// Live routers whose counts are not known to be complete up to the end of the window.
    pub missing: Vec<ProcessName>,
}

impl UsageTable {
    /// Creates an empty table of the router `own`.
    pub fn new(own: CountSource, length: WindowLength) -> Self {
        let state = SourceState {
            source: own.clone(),
            complete: Duration::ZERO,
            revision: 0,
            counts: 0,
        };
        Self {
            own: 0,
            length,
            sources: vec![Some(state)],
            by_source: HashMap::from([(own, 0)]),
            windows: BTreeMap::new(),
            expired_in: None,
            revision: 0,
            counts: 0,
            refused: 0,
        }
    }

    /// Number of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of counts that are kept.
    pub fn len(&self) -> usize {
        self.counts
    }

    /// Whether the table has no counts.
    pub fn is_empty(&self) -> bool {
        self.counts == 0
    }

    /// Returns the number of counts that were refused or removed because of a limit since the last
    /// call.
    pub fn take_refused(&mut self) -> u64 {
        std::mem::take(&mut self.refused)
    }

    /// Time up to which this router's counts are complete.
    pub fn own_complete(&self) -> Duration {
        let own = self.sources.get(self.own).and_then(Option::as_ref);
        own.map_or(Duration::ZERO, |own| own.complete)
    }

    /// Counts a request of this router that began to run at `began`. One that began before the time
    /// up to which this router has declared its counts complete is counted at that time, since the
    /// window of its beginning may have been reported. All times are since the Unix epoch.
    pub fn count(&mut self, team: &TeamName, began: Duration, now: Duration) {
        let began = began.min(now).max(self.own_complete());
        let window = self.length.window_at(began);
        let before = self.count_of(window, team, self.own);
        self.set(window, team, self.own, before.saturating_add(1), now);
    }

    /// Declares this router's counts complete up to [`COMPLETE_LAG`] ago, and removes windows and
    /// sources that are too old. The declared time goes back only if it lies in the future, which
    /// shows that the clock was wrong and has been corrected.
    pub fn advance(&mut self, now: Duration) {
        let complete = now.saturating_sub(COMPLETE_LAG);
        if self.own_complete() > now
            && let Some(Some(own)) = self.sources.get_mut(self.own)
        {
            own.complete = complete;
        }
        if self.length.window_at(complete) != self.length.window_at(self.own_complete()) {
            self.set_complete(self.own, complete);
        } else if let Some(Some(own)) = self.sources.get_mut(self.own) {
            // Others need to know the time only when a window has ended.
            own.complete = own.complete.max(complete);
        }
        self.expire(now);
    }

    /// Merges counts of other routers, or of earlier incarnations of this one. Windows that are not
    /// kept at the time `now` are ignored.
    pub fn merge(&mut self, changes: &[CountChange], now: Duration) {
        for change in changes {
            if let Some(source) = self.source_index(&change.source) {
                self.set(change.window, &change.team, source, change.count, now);
            }
        }
    }

    /// Merges the times up to which routers' counts are complete.
    pub fn merge_complete(&mut self, complete: &[Completeness], now: Duration) {
        let latest = now.saturating_add(self.length.duration());
        for Completeness { source, until } in complete {
            if let Some(index) = self.source_index(source)
                && index != self.own
            {
                self.set_complete(index, (*until).min(latest));
            }
        }
    }

    /// The counts of `window`. `live` are the routers that are alive.
    pub fn window<'r>(
        &self,
        window: WindowId,
        live: impl IntoIterator<Item = &'r ProcessName>,
    ) -> WindowCounts {
        let teams = self.windows.get(&window).map(|window| &window.teams);
        let total = |team: &TeamCounts| {
            let counts = team.counts.iter().map(|count| count.count);
            counts.fold(0_u64, u64::saturating_add)
        };
        let counts = teams.into_iter().flatten();
        let end = self.length.end(window);
        let mut complete: HashMap<&ProcessName, Duration> = HashMap::new();
        for state in self.sources.iter().flatten() {
            let until = complete.entry(&state.source.router).or_default();
            *until = state.complete.max(*until);
        }
        let live = live.into_iter();
        let missing = live.filter(|router| complete.get(router).is_none_or(|until| *until < end));
        WindowCounts {
            counts: counts
                .map(|(team, counts)| (team.clone(), total(counts)))
                .collect(),
            missing: missing.cloned().collect(),
        }
    }

    /// Numbers of the windows that are kept, in order.
    pub fn windows(&self) -> impl DoubleEndedIterator<Item = WindowId> + '_ {
        self.windows.keys().copied()
    }

    /// The changes after `revision` of all routers, and the revision of the table.
    pub fn changes_since(&self, revision: u64) -> (Vec<CountChange>, u64) {
        let page = self.page_since(revision, usize::MAX);
        (page.changes, page.revision)
    }

    /// At most `limit` changes after `revision` of all routers, the earliest first.
    pub fn page_since(&self, revision: u64, limit: usize) -> CountPage {
        self.page(revision, limit, None)
    }

    /// The changes after `revision` of this router's own counts.
    pub fn own_since(&self, revision: u64) -> CountPage {
        self.page(revision, usize::MAX, Some(self.own))
    }

    /// The changes of the source `only`, or of all sources.
    fn page(&self, revision: u64, limit: usize, only: Option<usize>) -> CountPage {
        let mut found = Vec::new();
        for (window, table) in &self.windows {
            if table.revision <= revision {
                continue;
            }
            let teams = table.teams.iter();
            for (team, counts) in teams.filter(|(_, counts)| counts.revision > revision) {
                let counts = match only {
                    None => &*counts.counts,
                    Some(source) => counts.of(source),
                };
                let changed = counts.iter().filter(|count| count.revision > revision);
                found.extend(changed.map(|count| (count.revision, *window, team, count)));
            }
        }
        let has_more = found.len() > limit;
        let mut until = self.revision;
        if has_more {
            found.sort_by_key(|(revision, ..)| *revision);
            found.truncate(limit);
            until = found.last().map_or(revision, |(revision, ..)| *revision);
        }
        let changes = found.into_iter().filter_map(|(_, window, team, count)| {
            Some(CountChange {
                source: self.sources[count.source].as_ref()?.source.clone(),
                window,
                team: team.clone(),
                count: count.count,
            })
        });
        let changes = changes.collect();
        // A router is complete only with all counts that precede its statement.
        let states = self.sources.iter().enumerate();
        let complete = states.filter_map(|(index, state)| {
            let state = state.as_ref()?;
            let is_new = state.revision > revision && state.revision <= until;
            (is_new && only.is_none_or(|only| only == index)).then(|| Completeness {
                source: state.source.clone(),
                until: state.complete,
            })
        });
        CountPage {
            changes,
            complete: complete.collect(),
            revision: until,
            has_more,
        }
    }

    fn count_of(&self, window: WindowId, team: &TeamName, source: usize) -> u64 {
        let counts = self.windows.get(&window).and_then(|w| w.teams.get(team));
        let own = counts.and_then(|counts| counts.of(source).first());
        own.map_or(0, |count| count.count)
    }

    fn set(&mut self, window: WindowId, team: &TeamName, source: usize, count: u64, now: Duration) {
        let present = u64::from(self.length.window_at(now));
        let number = u64::from(window);
        if number > present.saturating_add(MAX_AHEAD)
            || number < present.saturating_sub(KEPT_WINDOWS)
            || count == 0
        {
            return;
        }
        let table = self.windows.entry(window).or_default();
        if table.teams.len() >= MAX_TEAMS && !table.teams.contains_key(team) {
            self.refused += 1;
            return;
        }
        let counts = table.teams.entry(team.clone()).or_default();
        let place = counts.counts.binary_search_by_key(&source, |c| c.source);
        if place.is_ok_and(|at| counts.counts[at].count >= count) {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let new = SourceCount {
            count,
            revision,
            source,
        };
        match place {
            Ok(at) => counts.counts[at] = new,
            Err(at) => {
                counts.counts.insert(at, new);
                self.counts += 1;
                if let Some(Some(state)) = self.sources.get_mut(source) {
                    state.counts += 1;
                }
            }
        }
        counts.revision = revision;
        table.revision = revision;
        if self.counts > MAX_COUNTS
            && let Some(oldest) = self.windows.keys().next().copied()
        {
            self.refused += self.remove_window(oldest);
        }
    }

    fn set_complete(&mut self, index: usize, until: Duration) {
        if let Some(Some(state)) = self.sources.get_mut(index)
            && state.complete < until
        {
            self.revision += 1;
            state.revision = self.revision;
            state.complete = until;
        }
    }

    /// The index of `source`, which is added if it is new. `None` if there are too many.
    fn source_index(&mut self, source: &CountSource) -> Option<usize> {
        if let Some(index) = self.by_source.get(source) {
            return Some(*index);
        }
        if self.by_source.len() >= MAX_SOURCES {
            self.refused += 1;
            return None;
        }
        let state = Some(SourceState {
            source: source.clone(),
            complete: Duration::ZERO,
            revision: 0,
            counts: 0,
        });
        let free = self.sources.iter().position(Option::is_none);
        let index = free.unwrap_or(self.sources.len());
        match free {
            Some(index) => self.sources[index] = state,
            None => self.sources.push(state),
        }
        self.by_source.insert(source.clone(), index);
        Some(index)
    }

    fn expire(&mut self, now: Duration) {
        let present = self.length.window_at(now);
        if self.expired_in.replace(present) == Some(present) {
            return;
        }
        let oldest = WindowId::from(u64::from(present).saturating_sub(KEPT_WINDOWS));
        let newest = WindowId::from(u64::from(present).saturating_add(MAX_AHEAD));
        let is_kept = |window: &WindowId| (oldest..=newest).contains(window);
        let removed = self.windows.keys().filter(|window| !is_kept(window));
        for window in removed.copied().collect::<Vec<_>>() {
            self.remove_window(window);
        }
        let latest = now.saturating_add(self.length.duration());
        for (index, place) in self.sources.iter_mut().enumerate() {
            if let Some(state) = place {
                state.complete = state.complete.min(latest);
            }
            let is_old = place.as_ref().is_some_and(|state| {
                state.counts == 0 && self.length.window_at(state.complete) < oldest
            });
            if is_old
                && index != self.own
                && let Some(state) = place.take()
            {
                self.by_source.remove(&state.source);
            }
        }
    }

    /// Removes a window and returns the number of its counts.
    fn remove_window(&mut self, window: WindowId) -> u64 {
        let mut removed = 0;
        let table = self.windows.remove(&window).unwrap_or_default();
        for count in table.teams.values().flat_map(|team| &team.counts) {
            removed += 1;
            self.counts -= 1;
            if let Some(Some(state)) = self.sources.get_mut(count.source) {
                state.counts -= 1;
            }
        }
        removed
    }
}

impl TeamCounts {
    /// The count of `source`, if there is one.
    fn of(&self, source: usize) -> &[SourceCount] {
        let place = self.counts.binary_search_by_key(&source, |c| c.source);
        place.map_or(&[], |at| std::slice::from_ref(&self.counts[at]))
    }
}
