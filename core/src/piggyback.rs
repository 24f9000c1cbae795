//! Queue of changes to piggyback on gossip packets, each a limited number of times.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use crate::{dissemination::ItemKey, name::ProcessName};

/// Limit of pending changes. Beyond it, the least urgent one sent most often is dropped and reaches
/// other processes later, as a table entry.
const MAX_PENDING: usize = 4_096;
/// Transmissions of a change beyond log2 of the number of processes. Push alone misses about 1
/// process in e^k after k transmissions by each, and acknowledgements carry changes as well.
const EXTRA_TRANSMISSIONS: u32 = 3;
/// Number of successive changes that do not fit, after which a packet counts as full.
const MAX_MISFITS: usize = 8;

/// The subject of a change. Its current value is read when the change is sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Subject {
    /// The record of a process.
    Member(ProcessName),
    /// The gossip item with this key.
    Item(ItemKey),
}

/// Urgency of a change, in the order of transmission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Sent at once.
    Urgent,
    /// Sent in the next rounds.
    Normal,
    /// Sent in the next rounds after the normal changes.
    Bulk,
    /// Sent last, and to the own zone only.
    Local,
}

/// Position in the queue: urgency, number of transmissions so far, and newest first.
type Position = (Urgency, u32, Reverse<u64>);

/// The queue of pending changes.
#[derive(Debug, Clone, Default)]
pub struct Piggyback {
    queue: BTreeMap<Position, Subject>,
    index: HashMap<Subject, Position>,
    next: u64,
    urgent: bool,
}

impl Piggyback {
    /// Adds a change; one that is pending already starts again at zero transmissions.
    pub fn push(&mut self, subject: Subject, urgency: Urgency) {
        self.urgent |= urgency == Urgency::Urgent;
        self.next += 1;
        let position = (urgency, 0, Reverse(self.next));
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

    /// Whether an urgent change was added since the last [`Self::clear_urgent`].
    pub fn has_urgent(&self) -> bool {
        self.urgent
    }

    /// Records that the urgent changes were sent.
    pub fn clear_urgent(&mut self) {
        self.urgent = false;
    }

    /// The number of pending changes.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no change is pending.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Offers the changes that are at least as urgent as `urgency` to `try_add`: the most urgent
    /// first, then the least sent, then the newest.
    ///
    /// `try_add` returns whether the change fitted into the packet, or `None` if its subject no
    /// longer exists. A change sent often enough for a fleet of `processes` is removed. After a few
    /// changes in a row that do not fit, the packet counts as full.
    pub fn offer(
        &mut self,
        urgency: Urgency,
        processes: usize,
        mut try_add: impl FnMut(&Subject) -> Option<bool>,
    ) {
        let limit = processes.max(2).ilog2() + EXTRA_TRANSMISSIONS;
        let mut misfits = 0;
        let mut offered = Vec::new();
        for (position, subject) in &self.queue {
            if position.0 > urgency || misfits >= MAX_MISFITS {
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
