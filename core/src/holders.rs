//! Where contexts are: which targets were given each one, so that another target can fetch it from
//! there.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    estimate::Estimate, id::Incarnation, name::TargetName, roster::TargetTable, time::Time,
};

/// Contexts whose last targets are remembered, and pairs of context and target.
const MAX_HOLDERS: usize = 20_000;
/// Last targets of one context that are remembered.
const MAX_LAST: usize = 6;
/// Time after which a target is no longer expected to hold a context.
const HOLDER_LIFE: Duration = Duration::from_secs(60);
/// Time for which a target that has just registered is not expected to hold a context.
const NEW: Duration = Duration::from_secs(15);
/// Placements that wait to be announced to other routers.
const MAX_ANNOUNCEMENTS: usize = 64;
/// Placements of one report.
const MAX_PLACED: usize = 16;
/// Reports in which a placement is announced, since a report may be lost or replaced before it is
/// read.
const REPEATS: u8 = 3;

/// A target, in the life in which it was given a context.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Holder {
    target: TargetName,
    life: Incarnation,
    at: Time,
}

/// Where a context is believed to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// At the target that the request goes to.
    Here,
    /// At another target.
    At(SocketAddr),
    Unknown,
}

/// The targets of each context.
#[derive(Debug, Default)]
pub(crate) struct Holders {
    /// The last targets of a context, the newest last.
    last: HashMap<u64, Vec<Holder>>,
    /// By hash of context and target.
    given: HashMap<u64, (Incarnation, Time)>,
    /// Placements away from the home, and in how many reports they are still to be announced.
    announcements: VecDeque<(u64, TargetName, u8)>,
}

impl Holders {
    /// Remembers that `chosen` gets a request with these contexts, the shortest first, and returns
    /// where most of the last one is likely to be now.
    pub(crate) fn source(
        &mut self,
        contexts: &[u64],
        chosen: &TargetName,
        targets: &TargetTable,
        now: Time,
    ) -> Option<SocketAddr> {
        let (&context, beginnings) = contexts.split_last()?;
        let chosen = targets.get(chosen)?;
        let known = self.has(context, chosen, now);
        let homes = (!known).then(|| Homes::of(context, chosen, targets, now));
        if homes.as_ref().is_some_and(|homes| !homes.is_first(chosen)) {
            self.announce(context, &chosen.record.name);
        }
        let mut place = self.place(context, chosen, targets, now);
        if place == Place::Unknown
            && let Some(homes) = homes
        {
            place = homes.place(chosen, now);
        }
        for beginning in beginnings.iter().rev() {
            let begun = self.place(*beginning, chosen, targets, now);
            // Where nobody is likely to have read the whole context, its beginning may have been
            // read with another one.
            if place == Place::Unknown {
                place = begun;
            }
        }
        match place {
            Place::At(address) => Some(address),
            Place::Here | Place::Unknown => None,
        }
    }

    /// Records a placement that another router has announced.
    pub(crate) fn learn(
        &mut self,
        context: u64,
        target: &TargetName,
        targets: &TargetTable,
        now: Time,
    ) {
        if let Some(target) = targets.get(target) {
            self.place(context, target, targets, now);
        }
    }

    /// Records that `chosen` gets the context, and returns where it was before.
    fn place(
        &mut self,
        context: u64,
        chosen: &Estimate,
        targets: &TargetTable,
        now: Time,
    ) -> Place {
        self.forget(now);
        let record = &chosen.record;
        let had = self.has(context, chosen, now);
        self.given
            .insert(chosen.rank_for(context), (record.life, now));
        let last = self.last.entry(context).or_default();
        let others = last.iter().rev().filter(|holder| is_fresh(holder.at, now));
        let mut usable = others.filter_map(|holder| {
            let entry = targets.get(&holder.target)?;
            let same = entry.record.life == holder.life && entry.record.version == record.version;
            (same && now >= entry.avoid_until && holder.target != record.name)
                .then_some(entry.record.address)
        });
        let place = match usable.next() {
            _ if had => Place::Here,
            Some(address) => Place::At(address),
            None => Place::Unknown,
        };
        last.retain(|holder| holder.target != record.name);
        if last.len() >= MAX_LAST {
            last.remove(0);
        }
        last.push(Holder {
            target: record.name.clone(),
            life: record.life,
            at: now,
        });
        place
    }

    /// Whether the target, in its present life, is known to have been given the context.
    fn has(&self, context: u64, target: &Estimate, now: Time) -> bool {
        let given = self.given.get(&target.rank_for(context));
        given.is_some_and(|(life, at)| *life == target.record.life && is_fresh(*at, now))
    }

    /// Contexts whose last targets are remembered.
    pub(crate) fn len(&self) -> usize {
        self.last.len()
    }

    /// Drops old entries when there are too many.
    fn forget(&mut self, now: Time) {
        if self.last.len() >= MAX_HOLDERS {
            let newest = |holders: &Vec<Holder>| holders.last().map_or(Time::ZERO, |last| last.at);
            shrink(&mut self.last, newest, now);
        }
        if self.given.len() >= MAX_HOLDERS {
            shrink(&mut self.given, |(_, at)| *at, now);
        }
    }

    /// Announces to other routers, with the next reports, that the target was given the context.
    fn announce(&mut self, context: u64, target: &TargetName) {
        if self.announcements.len() >= MAX_ANNOUNCEMENTS {
            self.announcements.pop_front();
        }
        self.announcements
            .push_back((context, target.clone(), REPEATS));
    }

    /// The placements of the next report.
    pub(crate) fn report(&mut self) -> Vec<(u64, TargetName)> {
        let count = self.announcements.len().min(MAX_PLACED);
        let announced: Vec<_> = self.announcements.drain(..count).collect();
        let again = announced.iter().filter(|(_, _, left)| *left > 1);
        let again = again.map(|(context, target, left)| (*context, target.clone(), left - 1));
        self.announcements.extend(again);
        announced
            .into_iter()
            .map(|(context, target, _)| (context, target))
            .collect()
    }
}

/// Keeps the newest entries, less than half of the limit, so that entries are looked through only
/// once in many.
fn shrink<V>(entries: &mut HashMap<u64, V>, at: impl Fn(&V) -> Time, now: Time) {
    let mut life = HOLDER_LIFE;
    while entries.len() >= MAX_HOLDERS / 2 {
        entries.retain(|_, entry| now.since(at(entry)) < life);
        life /= 2;
    }
}

fn is_fresh(at: Time, now: Time) -> bool {
    now.since(at) < HOLDER_LIFE
}

fn is_young(entry: &Estimate, now: Time) -> bool {
    now.since(entry.known_since) < NEW
}

/// Where routers that know nothing else place a context: the first targets in the order of its
/// hashes, among those that could hold it for the chosen one.
struct Homes<'t> {
    first: Option<&'t Estimate>,
    /// The first one that is not new.
    settled: Option<&'t Estimate>,
}

impl<'t> Homes<'t> {
    fn of(context: u64, chosen: &Estimate, targets: &'t TargetTable, now: Time) -> Self {
        let (mut first, mut settled) = (None, None);
        let record = &chosen.record;
        for entry in targets.service_targets(&record.service) {
            if entry.record.version != record.version {
                continue;
            }
            let rank = entry.rank_for(context);
            let is_before = |known: &Option<(u64, _)>| known.is_none_or(|(least, _)| rank < least);
            if is_before(&first) {
                first = Some((rank, entry));
            }
            if is_before(&settled) && !is_young(entry, now) {
                settled = Some((rank, entry));
            }
        }
        Self {
            first: first.map(|(_, entry)| entry),
            settled: settled.map(|(_, entry)| entry),
        }
    }

    fn is_first(&self, target: &Estimate) -> bool {
        self.first
            .is_some_and(|first| first.record.name == target.record.name)
    }

    /// Where other routers are likely to have placed the context, for a request to `chosen`.
    fn place(&self, chosen: &Estimate, now: Time) -> Place {
        let other = |entry: &&Estimate| entry.record.name != chosen.record.name;
        let home = match self.first {
            // The home itself has it from other routers, if any of them has seen it, unless it is
            // new.
            Some(home) if !other(&home) && !is_young(chosen, now) => None,
            home => self.settled.filter(other).or(home.filter(other)),
        };
        match home.filter(|home| now >= home.avoid_until) {
            Some(home) => Place::At(home.record.address),
            None => Place::Unknown,
        }
    }
}
