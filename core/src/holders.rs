//! Tracks which targets were assigned each context, so that another target can fetch it from them.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    estimate::Estimate, id::Incarnation, name::TargetName, targets::TargetTable, time::Time,
};

/// Maximum number of contexts with recent holders, and of context and target pairs.
const MAX_ENTRIES: usize = 20_000;
/// Maximum number of recent holders that are kept for one context.
const MAX_HOLDERS_PER_CONTEXT: usize = 6;
/// Time after which a target is no longer expected to hold a context.
const HOLDER_TTL: Duration = Duration::from_secs(60);
/// Age below which a registered target is new, and not expected to hold contexts.
const NEW_TARGET_AGE: Duration = Duration::from_secs(15);
/// Maximum number of placements that wait to be announced to other routers.
const MAX_ANNOUNCEMENTS: usize = 64;
/// Maximum number of placements in one report.
const MAX_PLACEMENTS_PER_REPORT: usize = 16;
/// Number of reports that announce the same placement, as a report may be lost or replaced by the
/// next one before it is read.
const REPORTS_PER_PLACEMENT: u8 = 3;

/// A target that was assigned a context, and its incarnation at that time.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Holder {
    target: TargetName,
    incarnation: Incarnation,
    assigned_at: Time,
}

/// Last assignment of a context to a target.
#[derive(Debug, Clone, Copy)]
struct Assignment {
    incarnation: Incarnation,
    at: Time,
    /// Whether no earlier request has brought the context to the target.
    is_first: bool,
}

/// Likely location of a context.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Location {
    /// At the target chosen for the request.
    Here,
    /// At another target.
    At(SocketAddr),
    Unknown,
}

/// Targets that are likely to hold each context.
#[derive(Debug, Default)]
pub(crate) struct Holders {
    /// Recent holders by context, the newest last.
    recent: HashMap<u64, Vec<Holder>>,
    /// Last assignment, by hash of context and target.
    assigned: HashMap<u64, Assignment>,
    /// Assignments away from the home target, with the number of reports that still have to
    /// announce each.
    announcements: VecDeque<(u64, TargetName, u8)>,
}

impl Holders {
    /// Records that `chosen` receives a request with these contexts, the shortest prefix first.
    /// Returns the address of another target that is likely to hold the longest part of the last
    /// one, or `None` if `chosen` holds it or no holder is known.
    pub(crate) fn assign_and_locate(
        &mut self,
        contexts: &[u64],
        chosen: &TargetName,
        targets: &TargetTable,
        now: Time,
    ) -> Option<SocketAddr> {
        let (&context, prefixes) = contexts.split_last()?;
        let chosen = targets.get(chosen)?;
        let known = self.is_assigned(context, chosen, now);
        let homes = (!known).then(|| HomeTargets::of(context, chosen, targets, now));
        if homes.as_ref().is_some_and(|homes| !homes.is_first(chosen)) {
            self.announce(context, &chosen.record.name);
        }
        let mut location = self.assign(context, chosen, targets, now);
        if location == Location::Unknown
            && let Some(homes) = homes
        {
            location = homes.location(chosen, now);
        }
        for prefix in prefixes.iter().rev() {
            let prefix_location = self.assign(*prefix, chosen, targets, now);
            // If no target is likely to hold the whole context, one may hold a prefix of it from
            // another context.
            if location == Location::Unknown {
                location = prefix_location;
            }
        }
        match location {
            Location::At(address) => Some(address),
            Location::Here | Location::Unknown => None,
        }
    }

    /// Records an assignment that another router has announced. Unknown targets are ignored.
    pub(crate) fn record_announced(
        &mut self,
        context: u64,
        target: &TargetName,
        targets: &TargetTable,
        now: Time,
    ) {
        if let Some(target) = targets.get(target) {
            self.assign(context, target, targets, now);
        }
    }

    /// Assigns the context to `chosen` and returns its likely location before that.
    fn assign(
        &mut self,
        context: u64,
        chosen: &Estimate,
        targets: &TargetTable,
        now: Time,
    ) -> Location {
        self.evict_old(now);
        let record = &chosen.record;
        let was_assigned = self.is_assigned(context, chosen, now);
        let assignment = Assignment {
            incarnation: record.incarnation,
            at: now,
            is_first: !was_assigned,
        };
        self.assigned
            .insert(chosen.context_rank(context), assignment);
        let holders = self.recent.entry(context).or_default();
        let others = holders
            .iter()
            .rev()
            .filter(|holder| is_fresh(holder.assigned_at, now));
        let mut usable = others.filter_map(|holder| {
            let entry = targets.get(&holder.target)?;
            let is_current = entry.record.incarnation == holder.incarnation
                && entry.record.version == record.version;
            (is_current && now >= entry.backoff_until && holder.target != record.name)
                .then_some(entry.record.address)
        });
        let location = match usable.next() {
            _ if was_assigned => Location::Here,
            Some(address) => Location::At(address),
            None => Location::Unknown,
        };
        holders.retain(|holder| holder.target != record.name);
        if holders.len() >= MAX_HOLDERS_PER_CONTEXT {
            holders.remove(0);
        }
        holders.push(Holder {
            target: record.name.clone(),
            incarnation: record.incarnation,
            assigned_at: now,
        });
        location
    }

    /// Whether the target was assigned the context recently and in its current incarnation.
    pub(crate) fn is_assigned(&self, context: u64, target: &Estimate, now: Time) -> bool {
        let assigned = self.assigned.get(&target.context_rank(context));
        assigned.is_some_and(|assigned| {
            assigned.incarnation == target.record.incarnation && is_fresh(assigned.at, now)
        })
    }

    /// Takes back the assignment of these contexts to a target that has not run their request, so that
    /// the targets that held them before are found again. One that has got another request with a context
    /// is still expected to hold it.
    pub(crate) fn withdraw(&mut self, contexts: &[u64], target: &Estimate) {
        let name = &target.record.name;
        for context in contexts {
            let rank = target.context_rank(*context);
            if self.assigned.get(&rank).is_none_or(|last| !last.is_first) {
                continue;
            }
            self.assigned.remove(&rank);
            if let Some(holders) = self.recent.get_mut(context) {
                holders.retain(|holder| holder.target != *name);
            }
            self.announcements
                .retain(|(announced, at, _)| announced != context || at != name);
        }
    }

    /// Number of contexts with recent holders.
    pub(crate) fn len(&self) -> usize {
        self.recent.len()
    }

    /// Removes the oldest entries of a map that has reached `MAX_ENTRIES`.
    fn evict_old(&mut self, now: Time) {
        if self.recent.len() >= MAX_ENTRIES {
            let newest =
                |holders: &Vec<Holder>| holders.last().map_or(Time::ZERO, |last| last.assigned_at);
            shrink(&mut self.recent, newest, now);
        }
        if self.assigned.len() >= MAX_ENTRIES {
            shrink(&mut self.assigned, |assigned| assigned.at, now);
        }
    }

    /// Queues the assignment for the next reports to other routers. The oldest one is dropped when
    /// the queue is full.
    fn announce(&mut self, context: u64, target: &TargetName) {
        if self.announcements.len() >= MAX_ANNOUNCEMENTS {
            self.announcements.pop_front();
        }
        self.announcements
            .push_back((context, target.clone(), REPORTS_PER_PLACEMENT));
    }

    /// Returns the placements for the next report and counts the announcement.
    pub(crate) fn next_placements(&mut self) -> Vec<(u64, TargetName)> {
        let count = self.announcements.len().min(MAX_PLACEMENTS_PER_REPORT);
        let announced: Vec<_> = self.announcements.drain(..count).collect();
        let remaining = announced.iter().filter(|(_, _, left)| *left > 1);
        let remaining =
            remaining.map(|(context, target, left)| (*context, target.clone(), left - 1));
        self.announcements.extend(remaining);
        announced
            .into_iter()
            .map(|(context, target, _)| (context, target))
            .collect()
    }
}

/// Keeps the newest entries, fewer than half of `MAX_ENTRIES`, so that a scan of the whole map is
/// rarely needed.
fn shrink<V>(entries: &mut HashMap<u64, V>, at: impl Fn(&V) -> Time, now: Time) {
    let mut ttl = HOLDER_TTL;
    while entries.len() >= MAX_ENTRIES / 2 {
        entries.retain(|_, entry| now.since(at(entry)) < ttl);
        ttl /= 2;
    }
}

fn is_fresh(at: Time, now: Time) -> bool {
    now.since(at) < HOLDER_TTL
}

fn is_new(entry: &Estimate, now: Time) -> bool {
    now.since(entry.known_since) < NEW_TARGET_AGE
}

/// Targets to which routers without further information assign a context: the first ones in the
/// order of its hashes, among those with the service and version of the chosen target.
struct HomeTargets<'t> {
    first: Option<&'t Estimate>,
    /// First target that is not new.
    established: Option<&'t Estimate>,
}

impl<'t> HomeTargets<'t> {
    fn of(context: u64, chosen: &Estimate, targets: &'t TargetTable, now: Time) -> Self {
        let (mut first, mut established) = (None, None);
        let record = &chosen.record;
        for entry in targets.service_targets(&record.service) {
            if entry.record.version != record.version {
                continue;
            }
            let rank = entry.context_rank(context);
            let is_before = |known: &Option<(u64, _)>| known.is_none_or(|(least, _)| rank < least);
            if is_before(&first) {
                first = Some((rank, entry));
            }
            if is_before(&established) && !is_new(entry, now) {
                established = Some((rank, entry));
            }
        }
        Self {
            first: first.map(|(_, entry)| entry),
            established: established.map(|(_, entry)| entry),
        }
    }

    fn is_first(&self, target: &Estimate) -> bool {
        self.first
            .is_some_and(|first| first.record.name == target.record.name)
    }

    /// Where other routers are likely to have placed the context, for a request to `chosen`.
    /// `Unknown` also when `chosen` is the home itself, which needs no fetch.
    fn location(&self, chosen: &Estimate, now: Time) -> Location {
        let is_other = |entry: &&Estimate| entry.record.name != chosen.record.name;
        let home = match self.first {
            // If another router has placed the context at all, it is at this home already. A new
            // home has not received any.
            Some(home) if !is_other(&home) && !is_new(chosen, now) => None,
            home => self.established.filter(is_other).or(home.filter(is_other)),
        };
        match home.filter(|home| now >= home.backoff_until) {
            Some(home) => Location::At(home.record.address),
            None => Location::Unknown,
        }
    }
}
