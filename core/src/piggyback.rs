//! Changes that still have to be passed on, each a bounded number of times.

use std::cmp::Reverse;

use crate::{dissemination::ItemKey, name::ProcessName};

/// Changes that may wait; beyond it those sent most often are dropped, and the walk through the
/// tables delivers them later.
const MAX_HOT: usize = 4_096;
/// Transmissions beyond log2 of the number of processes. Push alone misses about 1 process in
/// e^k after k transmissions by each, and acknowledgements carry changes as well.
const EXTRA_SENDS: u32 = 3;

/// What a change is about.
#[derive(Debug, Clone, PartialEq, Eq)]
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
}

#[derive(Debug, Clone)]
struct Hot {
    subject: Subject,
    class: Class,
    sent: u32,
    order: u64,
}

/// The changes to pass on.
#[derive(Debug, Clone, Default)]
pub struct Piggyback {
    hot: Vec<Hot>,
    next: u64,
    urgent: bool,
}

impl Piggyback {
    /// Adds a change, or starts it anew.
    pub fn push(&mut self, subject: Subject, class: Class) {
        self.urgent |= class == Class::Urgent;
        self.next += 1;
        self.hot.retain(|hot| hot.subject != subject);
        if self.hot.len() >= MAX_HOT {
            let most = self.hot.iter().enumerate();
            if let Some((index, _)) = most.max_by_key(|(_, hot)| (hot.class, hot.sent)) {
                self.hot.swap_remove(index);
            }
        }
        self.hot.push(Hot {
            subject,
            class,
            sent: 0,
            order: self.next,
        });
    }

    /// Whether a change waits that should not wait for the next round.
    pub fn has_urgent(&self) -> bool {
        self.urgent
    }

    /// The urgent changes have been sent.
    pub fn urgent_sent(&mut self) {
        self.urgent = false;
    }

    /// The number of changes that wait.
    pub fn len(&self) -> usize {
        self.hot.len()
    }

    /// Whether no change waits.
    pub fn is_empty(&self) -> bool {
        self.hot.is_empty()
    }

    /// Offers changes up to `class`, the least sent and then the newest first, to `take`, which
    /// answers whether it took one (`None`: there is nothing to send any more). A change that was
    /// taken often enough for `processes` is dropped.
    pub fn offer(
        &mut self,
        class: Class,
        processes: usize,
        mut take: impl FnMut(&Subject) -> Option<bool>,
    ) {
        let limit = processes.max(2).ilog2() + EXTRA_SENDS;
        self.hot
            .sort_by_key(|hot| (hot.class, hot.sent, Reverse(hot.order)));
        self.hot.retain_mut(|hot| {
            if hot.class > class {
                return true;
            }
            match take(&hot.subject) {
                None => return false,
                Some(true) => hot.sent += 1,
                Some(false) => {}
            }
            hot.sent < limit
        });
    }
}
