//! The gossip items that a process keeps.

use std::{
    collections::BTreeMap,
    ops::Bound::{Excluded, Unbounded},
};

use super::{Item, ItemKey, Value};
use crate::{id::Fingerprint, name::ModelName};

/// The items that a process knows, up to a limit for each kind.
#[derive(Debug, Clone, Default)]
pub struct ItemStore {
    items: BTreeMap<ItemKey, Value>,
    counts: [usize; 11],
}

impl ItemStore {
    /// Merges an item; returns whether the store changed. An item is refused if its value is of
    /// another kind than its key, if it has expired, or if its kind is at its limit.
    pub fn merge(&mut self, item: &Item, unix: u64) -> bool {
        if !item.value.matches_key(&item.key) || item.value.is_expired(unix) {
            return false;
        }
        if let Some(value) = self.items.get_mut(&item.key) {
            return value.merge(&item.value);
        }
        let kind = item.key.kind();
        if self.counts[kind] >= item.key.limit() {
            return false;
        }
        self.counts[kind] += 1;
        self.items.insert(item.key.clone(), item.value.clone());
        true
    }

    /// Drops items that have expired at `unix` seconds since the Unix epoch.
    pub fn expire(&mut self, unix: u64) {
        let counts = &mut self.counts;
        self.items.retain(|key, value| {
            let keep = !value.is_expired(unix);
            counts[key.kind()] -= usize::from(!keep);
            keep
        });
    }

    /// The value of `key`, `None` where there is none.
    pub fn get(&self, key: &ItemKey) -> Option<&Value> {
        self.items.get(key)
    }

    /// All items, the most urgent kinds first.
    pub fn iter(&self) -> impl Iterator<Item = (&ItemKey, &Value)> {
        self.items.iter()
    }

    /// Items after `key` in the order of keys; all items for `None`.
    pub fn after<'s>(
        &'s self,
        key: Option<&ItemKey>,
    ) -> impl Iterator<Item = (&'s ItemKey, &'s Value)> + use<'s> {
        match key {
            Some(key) => self.items.range((Excluded(key.clone()), Unbounded)),
            None => self.items.range::<ItemKey, _>(..),
        }
    }

    /// The number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Whether requests of this content are quarantined at `unix` seconds since the Unix epoch.
    pub fn is_quarantined(&self, fingerprint: Fingerprint, unix: u64) -> bool {
        match self.get(&ItemKey::Quarantine(fingerprint)) {
            Some(Value::Quarantine {
                since,
                until,
                cleared,
            }) => since > cleared && unix < *until,
            _ => false,
        }
    }

    /// Request contents that are quarantined at `unix` seconds since the Unix epoch.
    pub fn quarantined(&self, unix: u64) -> impl Iterator<Item = Fingerprint> {
        let keys = self.items.keys().filter_map(|key| match key {
            ItemKey::Quarantine(fingerprint) => Some(*fingerprint),
            _ => None,
        });
        keys.filter(move |fingerprint| self.is_quarantined(*fingerprint, unix))
    }

    /// Running requests and capacity of `model`, summed over all zones.
    pub fn load(&self, model: &ModelName) -> (u64, u64) {
        let sums = self
            .items
            .iter()
            .filter_map(|(key, value)| match (key, value) {
                (
                    ItemKey::ZoneLoad(found, _),
                    Value::Load {
                        running, capacity, ..
                    },
                ) if found == model => Some((u64::from(*running), u64::from(*capacity))),
                _ => None,
            });
        sums.fold((0, 0), |sum, (running, capacity)| {
            (sum.0 + running, sum.1 + capacity)
        })
    }
}
