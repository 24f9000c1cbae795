//! Which target was last given each context, so that another one can fetch it from there.

use std::{collections::HashMap, time::Duration};

use crate::{id::Incarnation, name::TargetName, target::TargetRecord, time::Time};

/// Contexts whose last target is remembered.
const MAX_HOLDERS: usize = 20_000;
/// Time after which a target is no longer expected to hold a context.
const HOLDER_LIFE: Duration = Duration::from_secs(60);

/// A target, in the life in which it was given a context.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) target: TargetName,
    pub(crate) life: Incarnation,
}

/// The last target of each context.
#[derive(Debug, Default)]
pub(crate) struct Holders(HashMap<u64, (Holder, Time)>);

impl Holders {
    /// Records that `chosen` gets the context, and returns the target that had it before.
    pub(crate) fn place(
        &mut self,
        context: u64,
        chosen: &TargetRecord,
        now: Time,
    ) -> Option<Holder> {
        if self.0.len() >= MAX_HOLDERS {
            self.0.retain(|_, (_, used)| now.since(*used) < HOLDER_LIFE);
        }
        let holder = Holder {
            target: chosen.name.clone(),
            life: chosen.life,
        };
        let (known, used) = self.0.insert(context, (holder, now))?;
        (now.since(used) < HOLDER_LIFE).then_some(known)
    }
}
