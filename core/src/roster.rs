//! The known targets, by name and by service.

use std::collections::HashMap;

use crate::{
    estimate::Estimate,
    name::{ServiceName, TargetName},
};

/// Estimates of the known targets. Lists of a service hold indexes, so that looking through all of
/// its targets for each request needs no lookup by name.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    entries: Vec<Option<Estimate>>,
    free: Vec<usize>,
    places: HashMap<TargetName, usize>,
    services: HashMap<ServiceName, Vec<usize>>,
}

impl Roster {
    /// The target of this name.
    pub(crate) fn get(&self, name: &TargetName) -> Option<&Estimate> {
        self.entries.get(*self.places.get(name)?)?.as_ref()
    }

    /// The target of this name.
    pub(crate) fn get_mut(&mut self, name: &TargetName) -> Option<&mut Estimate> {
        self.entries.get_mut(*self.places.get(name)?)?.as_mut()
    }

    /// Adds a target whose name is not known yet.
    pub(crate) fn insert(&mut self, entry: Estimate) {
        let place = self.free.pop().unwrap_or(self.entries.len());
        self.places.insert(entry.record.name.clone(), place);
        let list = self.services.entry(entry.record.service.clone());
        list.or_default().push(place);
        if place == self.entries.len() {
            self.entries.push(Some(entry));
        } else {
            self.entries[place] = Some(entry);
        }
    }

    /// Removes the target of this name.
    pub(crate) fn remove(&mut self, name: &TargetName) {
        let Some(place) = self.places.remove(name) else {
            return;
        };
        let entry = self.entries[place].take();
        self.free.push(place);
        if let Some(entry) = entry
            && let Some(list) = self.services.get_mut(&entry.record.service)
        {
            list.retain(|listed| *listed != place);
        }
    }

    /// Names of all targets.
    pub(crate) fn names(&self) -> impl Iterator<Item = &TargetName> {
        self.places.keys()
    }

    /// All targets.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Estimate> {
        self.entries.iter().flatten()
    }

    /// The targets of a service.
    pub(crate) fn of(&self, service: &ServiceName) -> impl Iterator<Item = &Estimate> {
        let list = self.services.get(service).into_iter().flatten();
        list.filter_map(|place| self.entries[*place].as_ref())
    }

    /// The targets of a service.
    pub(crate) fn each_of(&mut self, service: &ServiceName, mut visit: impl FnMut(&mut Estimate)) {
        let list = self.services.get(service).into_iter().flatten();
        for place in list {
            if let Some(entry) = &mut self.entries[*place] {
                visit(entry);
            }
        }
    }
}
