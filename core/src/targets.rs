//! The known targets, by name and by service.

use std::collections::HashMap;

use crate::{
    estimate::Estimate,
    name::{ServiceName, TargetName},
};

/// Estimates of the known targets. A service's list holds indexes, so that going through all of its
/// targets for each request needs no lookup by name.
#[derive(Debug, Default)]
pub(crate) struct TargetTable {
    entries: Vec<Option<Estimate>>,
    free_slots: Vec<usize>,
    slots: HashMap<TargetName, usize>,
    services: HashMap<ServiceName, Vec<usize>>,
}

impl TargetTable {
    pub(crate) fn get(&self, name: &TargetName) -> Option<&Estimate> {
        self.entries.get(*self.slots.get(name)?)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, name: &TargetName) -> Option<&mut Estimate> {
        self.entries.get_mut(*self.slots.get(name)?)?.as_mut()
    }

    /// Adds a target whose name is not in the table yet.
    pub(crate) fn insert(&mut self, entry: Estimate) {
        let slot = self.free_slots.pop().unwrap_or(self.entries.len());
        self.slots.insert(entry.record.name.clone(), slot);
        let list = self.services.entry(entry.record.service.clone());
        list.or_default().push(slot);
        if slot == self.entries.len() {
            self.entries.push(Some(entry));
        } else {
            self.entries[slot] = Some(entry);
        }
    }

    pub(crate) fn remove(&mut self, name: &TargetName) {
        let Some(slot) = self.slots.remove(name) else {
            return;
        };
        let entry = self.entries[slot].take();
        self.free_slots.push(slot);
        if let Some(entry) = entry
            && let Some(list) = self.services.get_mut(&entry.record.service)
        {
            list.retain(|listed| *listed != slot);
        }
    }

    pub(crate) fn names(&self) -> impl Iterator<Item = &TargetName> {
        self.slots.keys()
    }

    /// Estimates of all targets.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Estimate> {
        self.entries.iter().flatten()
    }

    /// Estimates of the targets of a service.
    pub(crate) fn service_targets(&self, service: &ServiceName) -> impl Iterator<Item = &Estimate> {
        let list = self.services.get(service).into_iter().flatten();
        list.filter_map(|slot| self.entries[*slot].as_ref())
    }

    /// Calls `visit` for each target.
    pub(crate) fn for_each(&mut self, visit: impl FnMut(&mut Estimate)) {
        self.entries.iter_mut().flatten().for_each(visit);
    }

    /// Calls `visit` for each target of a service.
    pub(crate) fn for_each_target(
        &mut self,
        service: &ServiceName,
        mut visit: impl FnMut(&mut Estimate),
    ) {
        let list = self.services.get(service).into_iter().flatten();
        for slot in list {
            if let Some(entry) = &mut self.entries[*slot] {
                visit(entry);
            }
        }
    }
}
