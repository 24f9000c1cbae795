//! Decides what holds after the store has come back from an older copy.
//!
//! Operators and targets write again what the store has lost. Until then its lists lack keys, or have
//! them as they were before. So what a router knows goes before a list for a while; a list is complete
//! again after that.

use std::time::Duration;

use crate::{id::Era, time::Time};

/// What a complete list of a stream replaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListUse {
    /// All that is known.
    Replace,
    /// Nothing that is known: only keys that are new are taken.
    Merge,
    /// Nothing: the list is of an earlier era than what is known, which is this one.
    Ignore(Era),
}

/// The era of what a router knows of one stream.
#[derive(Debug, Clone, Copy)]
pub struct Eras {
    settle_time: Duration,
    known: Option<Era>,
    settled_at: Option<Time>,
}

impl Eras {
    /// Creates the state of a router that knows nothing. Lists are complete again `settle_time` after
    /// the first one of an era.
    pub fn new(settle_time: Duration) -> Self {
        Self {
            settle_time,
            known: None,
            settled_at: None,
        }
    }

    /// Records a list of `era` that was read at `now`, and returns what it replaces.
    pub fn on_list(&mut self, era: Era, now: Time) -> ListUse {
        match self.known {
            None => {
                self.known = Some(era);
                ListUse::Replace
            }
            Some(known) if era < known => ListUse::Ignore(known),
            Some(known) if era > known => {
                self.known = Some(era);
                self.settled_at = Some(now + self.settle_time);
                ListUse::Merge
            }
            Some(_) if self.settled_at.is_some_and(|settled| now < settled) => ListUse::Merge,
            Some(_) => {
                self.settled_at = None;
                ListUse::Replace
            }
        }
    }

    /// Whether the stream has to be listed again, since the last list was merged and is complete now.
    pub fn is_list_due(&self, now: Time) -> bool {
        self.settled_at.is_some_and(|settled| now >= settled)
    }
}
