//! Record of the times at which the soak harmed a router, a target or its connections.

use std::collections::BTreeMap;

use tokio::time::Instant;

/// A harm and the index of the router or target that it is done to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Harm {
    /// The router's process was killed, or is to end because of a planned stop.
    RouterEnded(usize),
    /// The router's process is paused by SIGSTOP.
    RouterFrozen(usize),
    /// The target answers faultily.
    Answers(usize),
    /// The target has crashed and is not registered.
    Crash(usize),
    /// The proxy in front of the target injects faults.
    Connections(usize),
}

/// Time of one harm; without an end it lasts.
#[derive(Debug, Clone, Copy)]
struct Period {
    start: Instant,
    end: Option<Instant>,
}

/// All harms of a run.
#[derive(Debug, Default)]
pub struct HarmLog(BTreeMap<Harm, Vec<Period>>);

impl HarmLog {
    /// Records the start of a harm, which may lie ahead. Of two starts without an end between them
    /// the earlier one counts.
    pub fn begin(&mut self, harm: Harm, start: Instant) {
        let periods = self.0.entry(harm).or_default();
        match periods.last_mut() {
            Some(last) if last.end.is_none() => last.start = last.start.min(start),
            _ => periods.push(Period { start, end: None }),
        }
    }

    /// Records the end of a harm, if it lasts.
    pub fn end(&mut self, harm: Harm, end: Instant) {
        let Some(last) = self.0.get_mut(&harm).and_then(|periods| periods.last_mut()) else {
            return;
        };
        // A planned stop that has ended before its start did no harm: the period is empty.
        last.end = last.end.or(Some(end));
    }

    /// Whether the router was killed, frozen or beyond its planned stop between these times.
    pub fn has_harmed_router(&self, router: usize, from: Instant, to: Instant) -> bool {
        let harms = [Harm::RouterEnded(router), Harm::RouterFrozen(router)];
        harms.into_iter().any(|harm| self.was_done(harm, from, to))
    }

    /// Whether the target or its connections were harmed between these times.
    pub fn has_harmed_target(&self, target: usize, from: Instant, to: Instant) -> bool {
        let harms = [Harm::Answers(target), Harm::Crash(target)];
        harms.into_iter().any(|harm| self.was_done(harm, from, to))
            || self.has_harmed_connections(target, from, to)
    }

    /// Whether the connections of the target were harmed between these times.
    pub fn has_harmed_connections(&self, target: usize, from: Instant, to: Instant) -> bool {
        self.was_done(Harm::Connections(target), from, to)
    }

    /// Whether the target was down at this time.
    pub fn has_crashed(&self, target: usize, at: Instant) -> bool {
        self.was_done(Harm::Crash(target), at, at)
    }

    /// Whether the router was frozen between these times.
    pub fn has_frozen_router(&self, router: usize, from: Instant, to: Instant) -> bool {
        self.was_done(Harm::RouterFrozen(router), from, to)
    }

    fn was_done(&self, harm: Harm, from: Instant, to: Instant) -> bool {
        let mut periods = self.0.get(&harm).into_iter().flatten();
        periods.any(|period| {
            let is_empty = period.end.is_some_and(|end| end < period.start);
            !is_empty && period.start <= to && period.end.is_none_or(|end| from <= end)
        })
    }
}
