//! The membership table of a process: which processes there are and which of them take work.
//!
//! The table is fed by the document, the platform's lagging VM list, the data path and gossip. The
//! exchange of packets is in the module `exchange`.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use crate::{
    dissemination::{Item, ItemKey, ItemStore},
    doc::Document,
    id::Incarnation,
    name::{ProcessName, RegionName, TargetName, VmName, ZoneName},
    peer::{Liveness, MemberRecord, MemberState, Role},
    piggyback::{Class, Piggyback, Subject},
    probe::Probes,
    rounds::Rounds,
    standing::MembershipView,
    time::Time,
};

/// Entries kept, four times the processes of the largest deployment planned for.
const MAX_MEMBERS: usize = 16_384;
/// Time for which a suspected process may still refute.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which a gone process is removed. The walk through 4,200 entries takes minutes, and
/// an entry removed earlier could be learnt again from a process that has not heard the news.
const GONE_RETENTION: Duration = Duration::from_secs(900);
/// Names of removed entries that are kept, so that old records do not bring them back.
const MAX_TOMBSTONES: usize = 4_096;
/// Regions for which the last packet is remembered.
const MAX_REGIONS: usize = 256;
/// Clock jump that shows that the process was paused, the length of the shortest lease.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(10);
/// Time in which the penalty for flapping halves.
const PENALTY_HALF_LIFE: Duration = Duration::from_secs(60);
/// Penalty from which an entry counts as suspect. One restart or false suspicion stays below it.
const PENALTY_SUPPRESS: f64 = 3.0;
/// Penalty below which the entry counts by its own state again.
const PENALTY_REUSE: f64 = 1.0;

/// How regions are linked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RegionLinks {
    /// Each process sends to one process of another region in each round.
    #[default]
    EveryProcess,
    /// The given number of processes of each region, chosen by hash, send to other regions.
    Relays(usize),
}

/// What the data path found out about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// Its agent answered.
    Answered,
    /// A connection to its agent failed.
    ConnectionFailed,
}

/// A line of the platform's VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// The VM's name.
    pub name: VmName,
    /// The VM's address.
    pub address: IpAddr,
    /// Whether the VM is about to be removed.
    pub leaving: bool,
}

/// What happened so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Packets composed.
    pub packets: u64,
    /// Processes suspected by this process.
    pub suspected: u64,
    /// False suspicions of this process that it refuted.
    pub refuted: u64,
    /// Pauses of this process.
    pub pauses: u64,
    /// Records refused because the table is full.
    pub refused: u64,
}

#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) record: MemberRecord,
    /// When a packet or answer last came from the process itself.
    pub(crate) last_heard: Option<Time>,
    /// When the state last changed.
    pub(crate) state_since: Time,
    penalty: f64,
    penalty_at: Time,
    is_suppressed: bool,
    vm: Option<VmName>,
    /// The incarnation to which the VM list's `leaving` applies.
    leaving_incarnation: Option<Incarnation>,
}

impl Entry {
    /// The state to act on: news from the process itself outweighs an older suspicion.
    pub(crate) fn state(&self) -> MemberState {
        match self.record.state() {
            MemberState::Suspect
                if self
                    .last_heard
                    .is_some_and(|heard| heard > self.state_since) =>
            {
                MemberState::Alive
            }
            MemberState::Alive if self.is_suppressed => MemberState::Suspect,
            state => state,
        }
    }

    fn decay_penalty(&mut self, now: Time) {
        let halves = now.since(self.penalty_at).as_secs_f64() / PENALTY_HALF_LIFE.as_secs_f64();
        self.penalty *= (-halves).exp2();
        self.penalty_at = now;
        self.is_suppressed = self.penalty
            >= if self.is_suppressed {
                PENALTY_REUSE
            } else {
                PENALTY_SUPPRESS
            };
    }
}

/// The membership table and the exchange of one process.
#[derive(Debug, Clone)]
pub struct Members {
    pub(crate) own: MemberRecord,
    pub(crate) links: RegionLinks,
    pub(crate) entries: Vec<Entry>,
    pub(crate) index: HashMap<ProcessName, usize>,
    pub(crate) regions: BTreeMap<ZoneName, RegionName>,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) pending: Piggyback,
    pub(crate) store: ItemStore,
    pub(crate) probes: Probes,
    pub(crate) rounds: Rounds,
    pub(crate) counters: Counters,
    tombstones: VecDeque<(ProcessName, Incarnation)>,
    /// When a packet last came from each region.
    region_last_heard: BTreeMap<String, Time>,
}

impl Members {
    /// Starts the table of the process that `own` describes; `seeds` are asked while no other
    /// process is known.
    pub fn new(own: MemberRecord, seeds: Vec<SocketAddr>, links: RegionLinks) -> Self {
        let mut members = Self {
            pending: Piggyback::default(),
            store: ItemStore::default(),
            probes: Probes::default(),
            rounds: Rounds::default(),
            counters: Counters::default(),
            entries: Vec::new(),
            index: HashMap::new(),
            regions: BTreeMap::new(),
            tombstones: VecDeque::new(),
            region_last_heard: BTreeMap::new(),
            own,
            links,
            seeds,
        };
        let own = Subject::Member(members.own.name.clone());
        members.pending.push(own, Class::Normal);
        members
    }

    /// This process.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Addresses that are asked while no other process is known.
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// What happened so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The items known.
    pub fn store(&self) -> &ItemStore {
        &self.store
    }

    /// The number of other processes known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no other process is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Every other process as it is recorded, with the state to act on.
    pub fn records(&self) -> impl Iterator<Item = (&MemberRecord, MemberState)> {
        self.entries
            .iter()
            .map(|entry| (&entry.record, entry.state()))
    }

    /// The state of a process to act on.
    pub fn state(&self, name: &str) -> Option<MemberState> {
        if name == self.own.name.as_str() {
            return Some(self.own.state());
        }
        let name = ProcessName::new(name).ok()?;
        Some(self.entries[*self.index.get(&name)?].state())
    }

    /// Whether the process has heard of others since it started or was paused.
    pub fn is_fresh(&self) -> bool {
        self.rounds.is_fresh() || self.entries.is_empty()
    }

    /// What other tasks act on.
    pub fn view(&self) -> MembershipView {
        let mut view = MembershipView {
            fresh: self.is_fresh(),
            ..MembershipView::default()
        };
        for entry in &self.entries {
            let state = entry.state();
            match entry.record.target() {
                Some(target) if state != MemberState::Alive => {
                    if let Ok(target) = TargetName::new(target) {
                        view.avoid.insert(target, state);
                    }
                }
                None if state == MemberState::Alive => view.routers.push(entry.record.name.clone()),
                _ => {}
            }
        }
        if self.own.role == Role::Router {
            view.routers.push(self.own.name.clone());
        }
        view.routers.sort();
        view
    }

    /// Takes the zones and the agents' addresses from a document.
    pub fn apply_document(&mut self, document: &Document, now: Time) {
        let zones = document.zones.iter();
        self.regions = zones
            .map(|(name, zone)| (name.clone(), zone.region.clone()))
            .collect();
        self.rounds.invalidate_peers();
        for (name, target) in &document.targets {
            let Ok(process) = ProcessName::new(name.as_str()) else {
                continue;
            };
            let by_target = |entry: &Entry| entry.record.target() == Some(name.as_str());
            let known = self.index.get(&process).copied();
            if let Some(at) = known.or_else(|| self.entries.iter().position(by_target)) {
                let entry = &mut self.entries[at];
                entry.vm = Some(target.vm.clone());
                if entry.record.incarnation == Incarnation::default() {
                    entry.record.address = target.agent;
                }
            } else if process != self.own.name && self.own.target() != Some(name.as_str()) {
                let record = MemberRecord {
                    name: process,
                    role: Role::Agent(None),
                    zone: target.zone.clone(),
                    address: target.agent,
                    incarnation: Incarnation::default(),
                    wire: (0, 0),
                    leaving: false,
                    sequence: 0,
                    liveness: Liveness::Alive,
                };
                if let Some(at) = self.insert(record, now) {
                    self.entries[at].vm = Some(target.vm.clone());
                }
            }
        }
        // An agent that the document no longer names and that was never heard of does not exist.
        let named = |entry: &Entry| {
            let target = entry.record.target();
            entry.record.incarnation != Incarnation::default()
                || target.is_some_and(|target| document.targets.contains_key(target))
        };
        self.retain(|entry| named(entry));
    }

    /// Takes a table that another process has; it is no news to others and not passed on.
    pub fn import_records<'r>(
        &mut self,
        records: impl IntoIterator<Item = &'r MemberRecord>,
        now: Time,
    ) {
        for record in records {
            if record.name != self.own.name && !self.index.contains_key(&record.name) {
                self.insert(record.clone(), now);
            }
        }
    }

    /// Takes the leaving VMs from the platform's list.
    ///
    /// The list lags. So `leaving` applies to the incarnation that runs when it is first seen: a
    /// process that starts on a replaced VM of the same name is not marked by the old line.
    pub fn apply_vm_list(&mut self, vms: &[ListedVm], now: Time) {
        let mut newly_leaving = Vec::new();
        for (at, entry) in self.entries.iter_mut().enumerate() {
            let ip = entry.record.address.ip();
            let line = match &entry.vm {
                Some(vm) => vms.iter().find(|line| line.name == *vm),
                // Several VMs behind one address cannot be told apart by it.
                None => {
                    let mut same = vms.iter().filter(|line| line.address == ip);
                    same.next().filter(|_| same.next().is_none())
                }
            };
            match line {
                Some(line) if line.leaving => {
                    let incarnation = *entry
                        .leaving_incarnation
                        .get_or_insert(entry.record.incarnation);
                    if incarnation == entry.record.incarnation && !entry.record.leaving {
                        newly_leaving.push(at);
                    }
                }
                _ => entry.leaving_incarnation = None,
            }
        }
        for at in newly_leaving {
            let mut record = self.entries[at].record.clone();
            record.leaving = true;
            self.merge(&record, now);
        }
    }

    /// Takes what the data path found out; a failed link leads to a probe, not to a suspicion.
    pub fn observe(&mut self, target: &TargetName, observation: Observation, now: Time) {
        let by_target = |entry: &Entry| entry.record.target() == Some(target.as_str());
        let process = ProcessName::new(target.as_str()).ok();
        let known = process.and_then(|name| self.index.get(&name).copied());
        let Some(at) = known.or_else(|| self.entries.iter().position(by_target)) else {
            return;
        };
        match observation {
            Observation::Answered => self.entries[at].last_heard = Some(now),
            Observation::ConnectionFailed => self.rounds.queue_probe(&self.entries[at].record.name),
        }
    }

    /// Announces that this process ends soon; from then on it refuses new work.
    pub fn begin_leaving(&mut self) {
        self.own.leaving = true;
        self.rounds.refill_urgent();
        self.pending
            .push(Subject::Member(self.own.name.clone()), Class::Urgent);
    }

    /// Merges an item and passes it on when it is news; `unix` is in seconds since the Unix epoch.
    pub fn put(&mut self, item: &Item, unix: u64) -> bool {
        let changed = self.store.merge(item, unix);
        // Routers tell each other their open requests directly, see `broadcast`.
        if changed && !matches!(item.key, ItemKey::RouterLoad(_)) {
            let class = match item.key {
                _ if item.key.is_urgent() => Class::Urgent,
                ItemKey::AgentLoad(..) => Class::Local,
                _ => Class::Bulk,
            };
            self.pending.push(Subject::Item(item.key.clone()), class);
        }
        changed
    }

    /// Merges what another process said about a process; true when it was news.
    pub fn merge(&mut self, record: &MemberRecord, now: Time) -> bool {
        if record.name == self.own.name {
            return self.merge_own(record);
        }
        let Some(&at) = self.index.get(&record.name) else {
            let removed = self
                .tombstones
                .iter()
                .find(|(name, _)| *name == record.name);
            if record.liveness == Liveness::Gone
                || removed.is_some_and(|(_, incarnation)| record.incarnation <= *incarnation)
            {
                return false;
            }
            // The document names an agent by its target; the process may call itself otherwise.
            if let Some(target) = record.target() {
                let zero = Incarnation::default();
                let placeholder = ProcessName::new(target).ok();
                let placeholder = placeholder.and_then(|name| self.index.get(&name).copied());
                if let Some(at) =
                    placeholder.filter(|at| self.entries[*at].record.incarnation == zero)
                {
                    let name = self.entries[at].record.name.clone();
                    self.retain(|entry| entry.record.name != name);
                }
            }
            let inserted = self.insert(record.clone(), now).is_some();
            if inserted {
                self.queue_change(record);
            }
            return inserted;
        };
        let entry = &mut self.entries[at];
        let before = (entry.record.incarnation, entry.record.state());
        if !entry.record.merge(record) {
            return false;
        }
        let after = (entry.record.incarnation, entry.record.state());
        if before != after {
            entry.state_since = now;
            entry.decay_penalty(now);
            // A first contact with a process known from the document is no flap.
            let is_flap = before.0 != Incarnation::default()
                && before.1 == MemberState::Alive
                && (after.0 != before.0 || after.1 == MemberState::Suspect);
            entry.penalty += f64::from(u8::from(is_flap));
            entry.decay_penalty(now);
            self.rounds.invalidate_peers();
        }
        let record = entry.record.clone();
        self.queue_change(&record);
        true
    }

    fn queue_change(&mut self, record: &MemberRecord) {
        // Suspicions and refutations go with the rounds: when many are false, they would use up
        // what may be sent at once.
        let class = match record.state() {
            MemberState::Leaving => Class::Urgent,
            MemberState::Alive | MemberState::Suspect | MemberState::Gone => Class::Normal,
        };
        self.pending
            .push(Subject::Member(record.name.clone()), class);
    }

    fn merge_own(&mut self, record: &MemberRecord) -> bool {
        if record.incarnation != self.own.incarnation {
            return false;
        }
        let suspected = record.liveness > Liveness::Alive && record.sequence >= self.own.sequence;
        let left = record.leaving && !self.own.leaving;
        if suspected {
            self.own.sequence = record.sequence.saturating_add(1);
            self.counters.refuted += 1;
        }
        self.own.leaving |= record.leaving;
        if suspected || left {
            self.pending
                .push(Subject::Member(self.own.name.clone()), Class::Urgent);
        }
        suspected || left
    }

    fn insert(&mut self, record: MemberRecord, now: Time) -> Option<usize> {
        if self.entries.len() >= MAX_MEMBERS {
            self.counters.refused += 1;
            return None;
        }
        let at = self.entries.len();
        self.index.insert(record.name.clone(), at);
        self.entries.push(Entry {
            record,
            last_heard: None,
            state_since: now,
            penalty: 0.0,
            penalty_at: now,
            is_suppressed: false,
            vm: None,
            leaving_incarnation: None,
        });
        self.rounds.invalidate_peers();
        Some(at)
    }

    fn retain(&mut self, keep: impl Fn(&Entry) -> bool) {
        if self.entries.iter().all(&keep) {
            return;
        }
        self.entries.retain(keep);
        let names = self.entries.iter().enumerate();
        self.index = names
            .map(|(at, entry)| (entry.record.name.clone(), at))
            .collect();
        self.rounds.invalidate_peers();
    }

    /// The region of a zone; zones that the document does not name count as one region each.
    pub(crate) fn region<'m>(&'m self, zone: &'m ZoneName) -> &'m str {
        self.regions
            .get(zone)
            .map_or(zone.as_str(), |region| region.as_str())
    }

    /// Suspects a process that answered neither directly nor through others since `asked`.
    pub(crate) fn suspect(&mut self, name: &ProcessName, asked: Time, now: Time) {
        let Some(&at) = self.index.get(name) else {
            return;
        };
        let entry = &self.entries[at];
        if entry.record.liveness != Liveness::Alive
            || entry.last_heard.is_some_and(|heard| heard >= asked)
        {
            return;
        }
        let mut record = entry.record.clone();
        record.liveness = Liveness::Suspect;
        self.counters.suspected += 1;
        self.merge(&record, now);
    }

    /// Decays penalties, turns old suspicions into `gone` and removes old entries.
    pub(crate) fn expire(&mut self, now: Time, unix: u64) {
        self.store.expire(unix);
        let suspect = |entry: &Entry| entry.record.liveness == Liveness::Suspect;
        if self.entries.iter().any(suspect) {
            self.expire_suspicions(now);
        }
        for entry in &mut self.entries {
            if entry.penalty > 0.0 {
                entry.decay_penalty(now);
            }
        }
        let old = |entry: &Entry| {
            entry.record.liveness == Liveness::Gone
                && now.since(entry.state_since) >= GONE_RETENTION
        };
        let removed = self.entries.iter().filter(|entry| old(entry));
        let removed: Vec<_> = removed
            .map(|entry| (entry.record.name.clone(), entry.record.incarnation))
            .collect();
        if !removed.is_empty() {
            self.tombstones.extend(removed);
            let excess = self.tombstones.len().saturating_sub(MAX_TOMBSTONES);
            self.tombstones.drain(..excess);
            self.retain(|entry| !old(entry));
        }
    }

    /// Turns suspicions that were not refuted in time into `gone`.
    ///
    /// A process of another region is given up only when that region was heard from since the
    /// suspicion: otherwise the link to the region is the likelier cause, and giving its processes
    /// up one by one would end with each side having forgotten the other.
    fn expire_suspicions(&mut self, now: Time) {
        let own = self.region(&self.own.zone);
        let due = self.entries.iter().filter(|entry| {
            let region = self.region(&entry.record.zone);
            let region_last_heard = self.region_last_heard.get(region);
            entry.record.liveness == Liveness::Suspect
                && entry
                    .last_heard
                    .is_none_or(|heard| heard <= entry.state_since)
                && now.since(entry.state_since) >= SUSPICION_TIMEOUT
                && (region == own
                    || region_last_heard.is_some_and(|heard| *heard > entry.state_since))
        });
        let gone: Vec<_> = due.map(|entry| entry.record.clone()).collect();
        for mut record in gone {
            record.liveness = Liveness::Gone;
            self.merge(&record, now);
        }
    }

    /// A packet came from the process itself: it runs, whatever was remembered of it.
    pub(crate) fn record_contact(&mut self, from: &MemberRecord, now: Time) {
        self.tombstones.retain(|(name, _)| *name != from.name);
        self.merge(from, now);
        if let Some(&at) = self.index.get(&from.name) {
            let entry = &mut self.entries[at];
            if entry.record.incarnation == from.incarnation {
                entry.last_heard = Some(now);
            }
        }
        let region = self.region(&from.zone).to_owned();
        if self.region_last_heard.len() < MAX_REGIONS
            || self.region_last_heard.contains_key(&region)
        {
            self.region_last_heard.insert(region, now);
        }
    }

    /// The process was paused: what it remembers is old, and others may have given it up.
    pub(crate) fn recover_from_pause(&mut self) {
        self.counters.pauses += 1;
        self.probes.clear();
        self.own.sequence = self.own.sequence.saturating_add(1);
        self.pending
            .push(Subject::Member(self.own.name.clone()), Class::Urgent);
    }
}
