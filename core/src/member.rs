//! The membership table of a process: the known processes and the state of each.
//!
//! Its sources are the configuration document, the platform's VM list (which lags), the data path
//! and gossip. The module `exchange` sends and receives the gossip packets.

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
    piggyback::{Piggyback, Subject, Urgency},
    probe::Probes,
    rounds::RoundState,
    time::Time,
};

/// Limit of table entries, four times the processes of the largest supported deployment.
const MAX_MEMBERS: usize = 16_384;
/// Time that a suspected process has to refute the suspicion before it counts as gone.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which a gone process is removed. Sending all of 4,200 entries in turn takes minutes,
/// and an entry removed earlier could be added again from the table of a process that still lists
/// it.
const GONE_RETENTION: Duration = Duration::from_secs(900);
/// Limit of removed entries that are remembered, so that old records do not add them again.
const MAX_REMOVED: usize = 4_096;
/// Limit of regions whose last packet time is stored.
const MAX_REGIONS: usize = 256;
/// A clock jump longer than this between two ticks counts as a pause of the process. It is the
/// length of the shortest lease.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(10);
/// Half-life of the flap penalty.
const PENALTY_HALF_LIFE: Duration = Duration::from_secs(60);
/// Flap penalty from which an entry counts as suspect. One restart or false suspicion stays below.
const PENALTY_SUPPRESS: f64 = 3.0;
/// Flap penalty below which the entry's own state applies again.
const PENALTY_REUSE: f64 = 1.0;

/// Which processes gossip with other regions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RegionLinks {
    /// Every process sends to one process of another region in each round.
    #[default]
    EveryProcess,
    /// Only this number of processes in each region, chosen by hash, send to other regions.
    Relays(usize),
}

/// Result of contacting a target's agent on the data path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The agent answered.
    Answered,
    /// A connection to the agent failed.
    ConnectionFailed,
}

/// An entry of the platform's VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// Name of the VM, as in a target's `vm` in the document.
    pub name: VmName,
    /// IP address, compared with those of processes whose VM the document does not name.
    pub address: IpAddr,
    /// Whether the platform will remove the VM soon.
    pub leaving: bool,
}

/// Counters of membership events since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Packets composed for sending.
    pub packets: u64,
    /// Suspicions raised by this process.
    pub suspected: u64,
    /// Suspicions about this process that it refuted.
    pub refuted: u64,
    /// Pauses of this process that were detected from clock jumps.
    pub pauses: u64,
    /// Records refused because the table is full.
    pub refused: u64,
    /// Changes of urgent items.
    pub urgent: u64,
}

#[derive(Debug, Clone)]
pub(crate) struct MemberEntry {
    pub(crate) record: MemberRecord,
    /// When a packet or answer from the process itself last arrived.
    pub(crate) last_seen: Option<Time>,
    /// When the recorded state or incarnation last changed.
    pub(crate) changed_at: Time,
    penalty: f64,
    penalty_at: Time,
    is_suppressed: bool,
    vm: Option<VmName>,
    /// Incarnation that the VM list marks as leaving; `None` if it does not.
    listed_leaving: Option<Incarnation>,
}

impl MemberEntry {
    /// The effective state: a packet from the process overrides an older suspicion, and flapping
    /// makes an alive process suspect.
    pub(crate) fn state(&self) -> MemberState {
        match self.record.state() {
            MemberState::Suspect if self.last_seen.is_some_and(|seen| seen > self.changed_at) => {
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

/// The membership table of one process and the state of its gossip.
#[derive(Debug, Clone)]
pub struct Members {
    pub(crate) own: MemberRecord,
    pub(crate) links: RegionLinks,
    pub(crate) entries: Vec<MemberEntry>,
    pub(crate) index: HashMap<ProcessName, usize>,
    pub(crate) regions: BTreeMap<ZoneName, RegionName>,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) pending: Piggyback,
    pub(crate) store: ItemStore,
    pub(crate) probes: Probes,
    pub(crate) rounds: RoundState,
    pub(crate) counters: MembershipCounters,
    removed: VecDeque<(ProcessName, Incarnation)>,
    /// When the last packet from each region arrived.
    regions_seen: BTreeMap<String, Time>,
}

impl Members {
    /// Creates the table of the process that `own` describes. One of the addresses in `seeds` is
    /// contacted in each round while no process has been heard from, and in some rounds afterwards.
    pub fn new(own: MemberRecord, seeds: Vec<SocketAddr>, links: RegionLinks) -> Self {
        let mut members = Self {
            pending: Piggyback::default(),
            store: ItemStore::default(),
            probes: Probes::default(),
            rounds: RoundState::default(),
            counters: MembershipCounters::default(),
            entries: Vec::new(),
            index: HashMap::new(),
            regions: BTreeMap::new(),
            removed: VecDeque::new(),
            regions_seen: BTreeMap::new(),
            own,
            links,
            seeds,
        };
        let own = Subject::Member(members.own.name.clone());
        members.pending.push(own, Urgency::Normal);
        members
    }

    /// The record of this process.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Addresses of which one is contacted in each round while no process has been heard from, and
    /// in some rounds afterwards.
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Counts of membership events since the start of the process.
    pub fn counters(&self) -> MembershipCounters {
        self.counters
    }

    /// The gossip items that this process knows.
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

    /// The record and the effective state of every other process.
    pub fn records(&self) -> impl Iterator<Item = (&MemberRecord, MemberState)> {
        self.entries
            .iter()
            .map(|entry| (&entry.record, entry.state()))
    }

    /// The effective state of a process; `None` when it is unknown.
    pub fn state(&self, name: &str) -> Option<MemberState> {
        if name == self.own.name.as_str() {
            return Some(self.own.state());
        }
        let name = ProcessName::new(name).ok()?;
        Some(self.entries[*self.index.get(&name)?].state())
    }

    /// Whether an answer or a regular packet has arrived since the start or the last pause. True
    /// also when no other process is known.
    pub fn is_fresh(&self) -> bool {
        self.rounds.is_fresh() || self.entries.is_empty()
    }

    /// Updates the regions of zones and the agents' addresses from a document.
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
            let by_target = |entry: &MemberEntry| entry.record.target() == Some(name.as_str());
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
                    wire_versions: (0, 0),
                    leaving: false,
                    sequence: 0,
                    liveness: Liveness::Alive,
                };
                if let Some(at) = self.insert(record, now) {
                    self.entries[at].vm = Some(target.vm.clone());
                }
            }
        }
        // Removes agents known only from an earlier document that are not in this one.
        let named = |entry: &MemberEntry| {
            let target = entry.record.target();
            entry.record.incarnation != Incarnation::default()
                || target.is_some_and(|target| document.targets.contains_key(target))
        };
        self.retain(|entry| named(entry));
    }

    /// Adds records from another process's table. They are not queued for gossip, since other
    /// processes know them already.
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

    /// Marks the processes on VMs that the platform lists as leaving.
    ///
    /// The list lags, so `leaving` applies only to the incarnation known when it is first seen: an
    /// outdated entry does not mark a process that starts on a replacement VM of the same name.
    pub fn apply_vm_list(&mut self, vms: &[ListedVm], now: Time) {
        let mut newly_leaving = Vec::new();
        for (at, entry) in self.entries.iter_mut().enumerate() {
            let ip = entry.record.address.ip();
            let line = match &entry.vm {
                Some(vm) => vms.iter().find(|line| line.name == *vm),
                // An address shared by several VMs identifies none of them.
                None => {
                    let mut same = vms.iter().filter(|line| line.address == ip);
                    same.next().filter(|_| same.next().is_none())
                }
            };
            match line {
                Some(line) if line.leaving => {
                    let incarnation = *entry.listed_leaving.get_or_insert(entry.record.incarnation);
                    if incarnation == entry.record.incarnation && !entry.record.leaving {
                        newly_leaving.push(at);
                    }
                }
                _ => entry.listed_leaving = None,
            }
        }
        for at in newly_leaving {
            let mut record = self.entries[at].record.clone();
            record.leaving = true;
            self.merge(&record, now);
        }
    }

    /// Records the result of a contact on the data path. A failed connection triggers a probe, not
    /// a suspicion.
    pub fn observe(&mut self, target: &TargetName, observation: Observation, now: Time) {
        let by_target = |entry: &MemberEntry| entry.record.target() == Some(target.as_str());
        let process = ProcessName::new(target.as_str()).ok();
        let known = process.and_then(|name| self.index.get(&name).copied());
        let Some(at) = known.or_else(|| self.entries.iter().position(by_target)) else {
            return;
        };
        match observation {
            Observation::Answered => self.entries[at].last_seen = Some(now),
            Observation::ConnectionFailed => self.rounds.queue_probe(&self.entries[at].record.name),
        }
    }

    /// Announces that this process shuts down soon and takes no new work.
    pub fn begin_leaving(&mut self) {
        self.own.leaving = true;
        self.rounds.refill_urgent();
        self.pending
            .push(Subject::Member(self.own.name.clone()), Urgency::Urgent);
    }

    /// Merges an item and queues it for gossip if that changed the store; returns whether it did.
    /// `unix` is in seconds since the Unix epoch.
    pub fn put(&mut self, item: &Item, unix: u64) -> bool {
        let changed = self.store.merge(item, unix);
        // Each router sends its open requests to the others directly, see `broadcast`.
        if changed && !matches!(item.key, ItemKey::RouterLoad(_)) {
            self.counters.urgent += u64::from(item.key.is_urgent());
            let urgency = match item.key {
                _ if item.key.is_urgent() => Urgency::Urgent,
                ItemKey::AgentLoad(..) => Urgency::Local,
                _ => Urgency::Bulk,
            };
            self.pending.push(Subject::Item(item.key.clone()), urgency);
        }
        changed
    }

    /// Merges a record received from another process and queues it for gossip if that changed the
    /// table; returns whether it did.
    pub fn merge(&mut self, record: &MemberRecord, now: Time) -> bool {
        if record.name == self.own.name {
            return self.merge_own(record);
        }
        let Some(&at) = self.index.get(&record.name) else {
            let removed = self.removed.iter().find(|(name, _)| *name == record.name);
            if record.liveness == Liveness::Gone
                || removed.is_some_and(|(_, incarnation)| record.incarnation <= *incarnation)
            {
                return false;
            }
            // The document names an agent by its target. The placeholder made from it is replaced
            // once the process reports its own name.
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
            entry.changed_at = now;
            entry.decay_penalty(now);
            // The first contact with a process known from the document is not a flap.
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
        // Suspicions and refutations wait for the next round: many false ones would exhaust the
        // budget of urgent packets.
        let urgency = match record.state() {
            MemberState::Leaving => Urgency::Urgent,
            MemberState::Alive | MemberState::Suspect | MemberState::Gone => Urgency::Normal,
        };
        self.pending
            .push(Subject::Member(record.name.clone()), urgency);
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
                .push(Subject::Member(self.own.name.clone()), Urgency::Urgent);
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
        self.entries.push(MemberEntry {
            record,
            last_seen: None,
            changed_at: now,
            penalty: 0.0,
            penalty_at: now,
            is_suppressed: false,
            vm: None,
            listed_leaving: None,
        });
        self.rounds.invalidate_peers();
        Some(at)
    }

    fn retain(&mut self, keep: impl Fn(&MemberEntry) -> bool) {
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

    /// The region of a zone. A zone that the document does not name is a region of its own.
    pub(crate) fn region<'m>(&'m self, zone: &'m ZoneName) -> &'m str {
        self.regions
            .get(zone)
            .map_or(zone.as_str(), |region| region.as_str())
    }

    /// Suspects a process that answered neither direct nor indirect probes since `asked`.
    pub(crate) fn suspect(&mut self, name: &ProcessName, asked: Time, now: Time) {
        let Some(&at) = self.index.get(name) else {
            return;
        };
        let entry = &self.entries[at];
        if entry.record.liveness != Liveness::Alive
            || entry.last_seen.is_some_and(|seen| seen >= asked)
        {
            return;
        }
        let mut record = entry.record.clone();
        record.liveness = Liveness::Suspect;
        self.counters.suspected += 1;
        self.merge(&record, now);
    }

    /// Decays flap penalties, declares suspects `gone` and removes expired entries and items.
    pub(crate) fn expire(&mut self, now: Time, unix: u64) {
        self.store.expire(unix);
        let suspect = |entry: &MemberEntry| entry.record.liveness == Liveness::Suspect;
        if self.entries.iter().any(suspect) {
            self.expire_suspicions(now);
        }
        for entry in &mut self.entries {
            if entry.penalty > 0.0 {
                entry.decay_penalty(now);
            }
        }
        let old = |entry: &MemberEntry| {
            entry.record.liveness == Liveness::Gone && now.since(entry.changed_at) >= GONE_RETENTION
        };
        let removed = self.entries.iter().filter(|entry| old(entry));
        let removed: Vec<_> = removed
            .map(|entry| (entry.record.name.clone(), entry.record.incarnation))
            .collect();
        if !removed.is_empty() {
            self.removed.extend(removed);
            let excess = self.removed.len().saturating_sub(MAX_REMOVED);
            self.removed.drain(..excess);
            self.retain(|entry| !old(entry));
        }
    }

    /// Declares processes `gone` that did not refute a suspicion in time.
    ///
    /// A process of another region is declared gone only if a packet from that region has arrived
    /// since the suspicion. Otherwise the link between the regions is the likelier cause, and both
    /// sides would remove each other's processes one by one until neither knows any of the other.
    fn expire_suspicions(&mut self, now: Time) {
        let own = self.region(&self.own.zone);
        let due = self.entries.iter().filter(|entry| {
            let region = self.region(&entry.record.zone);
            let region_seen = self.regions_seen.get(region);
            entry.record.liveness == Liveness::Suspect
                && entry.last_seen.is_none_or(|seen| seen <= entry.changed_at)
                && now.since(entry.changed_at) >= SUSPICION_TIMEOUT
                && (region == own || region_seen.is_some_and(|seen| *seen > entry.changed_at))
        });
        let gone: Vec<_> = due.map(|entry| entry.record.clone()).collect();
        for mut record in gone {
            record.liveness = Liveness::Gone;
            self.merge(&record, now);
        }
    }

    /// Records that a packet from the process itself arrived, which proves that it runs.
    pub(crate) fn record_contact(&mut self, from: &MemberRecord, now: Time) {
        self.removed.retain(|(name, _)| *name != from.name);
        self.merge(from, now);
        if let Some(&at) = self.index.get(&from.name) {
            let entry = &mut self.entries[at];
            if entry.record.incarnation == from.incarnation {
                entry.last_seen = Some(now);
            }
        }
        let region = self.region(&from.zone).to_owned();
        if self.regions_seen.len() < MAX_REGIONS || self.regions_seen.contains_key(&region) {
            self.regions_seen.insert(region, now);
        }
    }

    /// Handles a pause of this process: its probes are outdated, and others may have declared it
    /// gone.
    pub(crate) fn recover_from_pause(&mut self) {
        self.counters.pauses += 1;
        self.probes.clear();
        self.own.sequence = self.own.sequence.saturating_add(1);
        self.pending
            .push(Subject::Member(self.own.name.clone()), Urgency::Urgent);
    }
}
