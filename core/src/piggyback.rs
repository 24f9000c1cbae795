//! Changes that still have to be passed on, each a bounded number of times.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use crate::{dissemination::ItemKey, name::ProcessName};

/// Changes that may wait; beyond it those sent most often are dropped, and the walk through the
/// tables delivers them later.
const MAX_PENDING: usize = 4_096;
/// Transmissions beyond log2 of the number of processes. Push alone misses about 1 process in
/// e^k after k transmissions by each, and acknowledgements carry changes as well.
const EXTRA_TRANSMISSIONS: u32 = 3;
/// Changes in a row that do not fit before a packet is taken to be full.
const MAX_MISFITS: usize = 8;

/// What a change is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Subject {
    /// A process.
    Member(ProcessName),
    /// An item.
    Item(ItemKey),
}

/// How much a change matters; the order is that of transmission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Sent at once.
    Urgent,
    /// Sent with the next rounds.
    Normal,
    /// Sent where there is room.
    Bulk,
    /// Sent where there is room, to the own zone only.
    Local,
}

/// Position of a change in the queue: the class, the number of transmissions, and the newest first.
type Position = (Class, u32, Reverse<u64>);

/// The changes to pass on.
#[derive(Debug, Clone, Default)]
pub struct Piggyback {
    queue: BTreeMap<Position, Subject>,
    index: HashMap<Subject, Position>,
    next: u64,
    urgent: bool,
}

impl Piggyback {
    /// Adds a change, or starts it anew.
    pub fn push(&mut self, subject: Subject, class: Class) {
        self.urgent |= class == Class::Urgent;
        self.next += 1;
        let position = (class, 0, Reverse(self.next));
        if let Some(old) = self.index.insert(subject.clone(), position) {
            self.queue.remove(&old);
        }
        self.queue.insert(position, subject);
        if self.queue.len() > MAX_PENDING
            && let Some((_, last)) = self.queue.pop_last()
        {
            self.index.remove(&last);
        }
    }

    /// Whether a change waits that should not wait for the next round.
    pub fn has_urgent(&self) -> bool {
        self.urgent
    }

    /// The urgent changes have been sent.
    pub fn clear_urgent(&mut self) {
        self.urgent = false;
    }

    /// The number of changes that wait.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no change waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Offers changes up to `class`, the least sent and then the newest first, to `take`, which
    /// answers whether it took one (`None`: there is nothing to send any more). A change that was
    /// taken often enough for `processes` is dropped. After a few refusals in a row the packet is
    /// taken to be full.
    pub fn offer(
        &mut self,
        class: Class,
        processes: usize,
        mut try_add: impl FnMut(&Subject) -> Option<bool>,
    ) {
        let limit = processes.max(2).ilog2() + EXTRA_TRANSMISSIONS;
        let mut misfits = 0;
        let mut offered = Vec::new();
        for (position, subject) in &self.queue {
            if position.0 > class || misfits >= MAX_MISFITS {
                break;
            }
            match try_add(subject) {
                Some(false) => misfits += 1,
                Some(true) => {
                    misfits = 0;
                    offered.push((*position, position.1 + 1 < limit));
                }
                None => offered.push((*position, false)),
            }
        }
        for (position, keep) in offered {
            let Some(subject) = self.queue.remove(&position) else {
                continue;
            };
            if keep {
                let position = (position.0, position.1 + 1, position.2);
                self.index.insert(subject.clone(), position);
                self.queue.insert(position, subject);
            } else {
                self.index.remove(&subject);
            }
        }
    }
}
