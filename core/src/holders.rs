//! Which targets were given each context, so that another one can fetch it from there.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{id::Incarnation, name::TargetName, target::TargetRecord, time::Time};

/// Contexts whose last target is remembered, and pairs of context and target.
const MAX_HOLDERS: usize = 20_000;
/// Time after which a target is no longer expected to hold a context.
const HOLDER_LIFE: Duration = Duration::from_secs(60);

/// Placements that wait to be told to other routers.
const MAX_NEWS: usize = 64;
/// Placements of one report.
const MAX_PLACED: usize = 16;
/// Reports in which a placement is told, since a report may be lost or replaced before it is read.
const TELLINGS: u8 = 3;

/// A target, in the life in which it was given a context.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) target: TargetName,
    pub(crate) life: Incarnation,
}

/// The targets of each context.
#[derive(Debug, Default)]
pub(crate) struct Holders {
    last: HashMap<u64, (Holder, Time)>,
    /// By hash of context and target.
    given: HashMap<u64, (Incarnation, Time)>,
    /// Placements away from the home, and how often they are still to be told.
    news: VecDeque<(u64, TargetName, u8)>,
}

impl Holders {
    /// Records that `chosen` gets the context, and returns the target that had it before: `chosen`
    /// itself where it has it, else the last one. `pair` is the hash of context and target.
    pub(crate) fn place(
        &mut self,
        context: u64,
        pair: u64,
        chosen: &TargetRecord,
        now: Time,
    ) -> Option<Holder> {
        let fresh = |used: Time| now.since(used) < HOLDER_LIFE;
        if self.last.len() >= MAX_HOLDERS {
            self.last.retain(|_, (_, used)| fresh(*used));
        }
        if self.given.len() >= MAX_HOLDERS {
            self.given.retain(|_, (_, used)| fresh(*used));
        }
        let holder = Holder {
            target: chosen.name.clone(),
            life: chosen.life,
        };
        let given = self.given.insert(pair, (chosen.life, now));
        let last = self.last.insert(context, (holder.clone(), now));
        if given.is_some_and(|(life, used)| life == chosen.life && fresh(used)) {
            return Some(holder);
        }
        let (last, used) = last?;
        fresh(used).then_some(last)
    }

    /// Whether the target, in its present life, is known to have been given the context; `pair` is
    /// the hash of both.
    pub(crate) fn has(&self, pair: u64, target: &TargetRecord, now: Time) -> bool {
        let given = self.given.get(&pair);
        given.is_some_and(|(life, used)| *life == target.life && now.since(*used) < HOLDER_LIFE)
    }

    /// Tells other routers with the next reports that the target was given the context.
    pub(crate) fn tell(&mut self, context: u64, target: &TargetName) {
        if self.news.len() >= MAX_NEWS {
            self.news.pop_front();
        }
        self.news.push_back((context, target.clone(), TELLINGS));
    }

    /// The placements of the next report.
    pub(crate) fn report(&mut self) -> Vec<(u64, TargetName)> {
        let count = self.news.len().min(MAX_PLACED);
        let told: Vec<_> = self.news.drain(..count).collect();
        let again = told.iter().filter(|(_, _, left)| *left > 1);
        let again = again.map(|(context, target, left)| (*context, target.clone(), left - 1));
        self.news.extend(again);
        told.into_iter()
            .map(|(context, target, _)| (context, target))
            .collect()
    }
}
