//! Which targets were given each context, so that another one can fetch it from there.

use std::{collections::HashMap, time::Duration};

use crate::{id::Incarnation, name::TargetName, target::TargetRecord, time::Time};

/// Contexts whose last target is remembered, and pairs of context and target.
const MAX_HOLDERS: usize = 20_000;
/// Time after which a target is no longer expected to hold a context.
const HOLDER_LIFE: Duration = Duration::from_secs(60);

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
}
