//! Home target and fallbacks of a chat.
//!
//! Weighted rendezvous hashing over slots. Each target visits the slots in a pseudo-random order of
//! its own, at times that are exponentially distributed with its weight as the rate, and a slot
//! ranks its targets by the time of their visit. The earliest visitor is the home of the slot's
//! chats. Visits are generated in the order of their times, so that a build generates only the
//! early ones: its cost depends on the number of slots and not on the number of targets.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::ChatId,
    name::{TargetName, ZoneName},
    visit::Source,
};

/// Targets that a slot stores at most.
pub const MAX_STORED_TARGETS: usize = 8;
/// Targets that each slot has in store, where the pool has that many.
pub const RANKED_TARGETS: usize = 4;
/// Visits to a slot that a build generates, on average. Fewer leave too many slots with less than
/// [`RANKED_TARGETS`] targets, each of which costs one pass over all targets.
const MEAN_VISITS_PER_SLOT: f64 = 14.0;
/// Parts of the time up to the horizon in which a build enters visits. Visits that are nearly in
/// order of time are appended to their slots, and full slots turn the later ones away.
const TIME_STRATA: u16 = 8;
/// Slots are visited block by block, since a block fits a processor's cache and a whole table does
/// not.
const BLOCK_BITS: u32 = 12;
/// An update that changes more than this share of the weight is done as a build.
const REBUILD_WEIGHT_SHARE: f64 = 0.125;

/// Position of a target in a table, valid until the target leaves the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetIndex(u16);

impl TargetIndex {
    /// The position as an index of a vector.
    pub const fn get(self) -> usize {
        self.0 as usize
    }
}

/// A target as placement sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The target's name.
    pub name: TargetName,
    /// The target's zone.
    pub zone: ZoneName,
    /// Relative capacity; zero takes the target out of placement.
    pub weight: f64,
}

#[derive(Debug, Clone)]
struct Entry {
    candidate: Candidate,
    source: Source,
}

/// Ranks the targets that can serve one model or service.
#[derive(Debug, Clone)]
pub struct Table {
    bits: u32,
    entries: Vec<Option<Entry>>,
    indices: HashMap<TargetName, TargetIndex>,
    weight: f64,
    lens: Vec<u8>,
    ids: Vec<TargetIndex>,
    times: Vec<f32>,
    /// A slot stores every target whose time is below its limit, and no other.
    limits: Vec<f32>,
    /// No slot has a higher limit.
    horizon: f32,
}

/// Bits of the slot number for a pool that the document gives `declared` targets.
///
/// The number depends on the document alone, since a change remaps the pool. Steps of four keep
/// such changes rare; within a step a target has at least 82 slots.
pub const fn slot_bits(declared: usize) -> u32 {
    match declared {
        0..=64 => 14,
        65..=256 => 16,
        _ => 18,
    }
}

fn visit_time(source: Source, slot: usize) -> f32 {
    let block = source.block(slot >> BLOCK_BITS, BLOCK_BITS);
    block.time_at(slot & ((1 << BLOCK_BITS) - 1))
}

impl Table {
    /// Makes a table over `candidates` with two to the power of `bits` slots, at least 2^12.
    ///
    /// # Panics
    ///
    /// Panics when there are more than 65,535 candidates.
    pub fn new(bits: u32, candidates: impl IntoIterator<Item = Candidate>) -> Self {
        let mut table = Self {
            bits,
            entries: Vec::new(),
            indices: HashMap::new(),
            weight: 0.0,
            lens: Vec::new(),
            ids: Vec::new(),
            times: Vec::new(),
            limits: Vec::new(),
            horizon: f32::INFINITY,
        };
        for candidate in candidates {
            if candidate.weight > 0.0 && !table.indices.contains_key(&candidate.name) {
                table.insert_entry(candidate);
            }
        }
        table.build();
        table
    }

    /// Whether bringing the table to `candidates` takes about as long as a build.
    pub fn needs_rebuild<'a>(&self, candidates: impl IntoIterator<Item = &'a Candidate>) -> bool {
        let (mut kept, mut joining) = (0.0, 0.0);
        for candidate in candidates {
            if self.get(&candidate.name) == Some(candidate) {
                kept += candidate.weight;
            } else {
                joining += candidate.weight;
            }
        }
        joining.max(self.weight - kept) > self.weight * REBUILD_WEIGHT_SHARE
    }

    /// Brings the table to `candidates`; returns whether any target joined, left or changed.
    ///
    /// The result ranks every chat as a new table over `candidates` does.
    pub fn update(&mut self, candidates: impl IntoIterator<Item = Candidate>) -> bool {
        let wanted: HashMap<_, _> = candidates
            .into_iter()
            .filter(|candidate| candidate.weight > 0.0)
            .map(|candidate| (candidate.name.clone(), candidate))
            .collect();
        let wanted_candidate = |entry: &Entry| wanted.get(&entry.candidate.name);
        let left: Vec<_> = self
            .numbered_entries()
            .filter(|(_, entry)| wanted_candidate(entry) != Some(&entry.candidate))
            .map(|(index, _)| index)
            .collect();
        let mut joined: Vec<_> = wanted
            .values()
            .filter(|candidate| self.get(&candidate.name) != Some(candidate))
            .cloned()
            .collect();
        if left.is_empty() && joined.is_empty() {
            return false;
        }
        // The order decides which index each newcomer gets, and nothing else.
        joined.sort_by(|a, b| a.name.cmp(&b.name));
        let leaving: f64 = left.iter().map(|index| self.candidate(*index).weight).sum();
        let joining: f64 = joined.iter().map(|candidate| candidate.weight).sum();
        let too_many_visits =
            f64::from(self.horizon) * (self.weight + joining) > 4.0 * MEAN_VISITS_PER_SLOT;
        let exceeds_slot = self.indices.len() + joined.len() > MAX_STORED_TARGETS;
        if (leaving.max(joining) > self.weight * REBUILD_WEIGHT_SHARE || too_many_visits)
            && exceeds_slot
        {
            for index in left {
                self.remove_entry(index);
            }
            for candidate in joined {
                self.insert_entry(candidate);
            }
            self.build();
            return true;
        }
        let mut underfilled = Vec::new();
        for index in left {
            self.remove_from_slots(index, &mut underfilled);
        }
        for candidate in joined {
            let index = self.insert_entry(candidate);
            self.insert_into_slots(index);
        }
        for slot in underfilled {
            if usize::from(self.lens[slot]) < RANKED_TARGETS && self.limits[slot] < f32::INFINITY {
                self.rank_all_targets(slot);
            }
        }
        true
    }

    /// The targets for `chat` that are in store, home first, by the time of their visit.
    pub fn stored(&self, chat: ChatId) -> &[TargetIndex] {
        let slot = self.slot(chat);
        let start = slot * MAX_STORED_TARGETS;
        &self.ids[start..start + usize::from(self.lens[slot])]
    }

    /// The highest ranked target for `chat` that is `usable`.
    ///
    /// Looks through all targets only when none of those in store is usable.
    pub fn first_usable(
        &self,
        chat: ChatId,
        usable: impl Fn(TargetIndex) -> bool,
    ) -> Option<TargetIndex> {
        let stored = self.stored(chat).iter().copied().find(|i| usable(*i));
        stored.or_else(|| {
            let slot = self.slot(chat);
            let usable = self.numbered_entries().filter(|(index, _)| usable(*index));
            let visits = usable.map(|(index, entry)| (visit_time(entry.source, slot), index));
            visits
                .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| self.tie_order(a.1, b.1)))
                .map(|(_, index)| index)
        })
    }

    /// The home target of `chat`.
    pub fn home(&self, chat: ChatId) -> Option<TargetIndex> {
        self.stored(chat).first().copied()
    }

    /// The best [`RANKED_TARGETS`] targets for `chat`: its home, then the best target of each other
    /// zone, then the rest. The length is that of the second value.
    pub fn ranked(&self, chat: ChatId) -> ([TargetIndex; RANKED_TARGETS], usize) {
        let stored = self.stored(chat);
        let len = stored.len().min(RANKED_TARGETS);
        let mut ranked = [TargetIndex(0); RANKED_TARGETS];
        let mut filled = 0;
        for pass in 0..2 {
            for (position, index) in stored[..len].iter().enumerate() {
                let zone = &self.candidate(*index).zone;
                let repeats = stored[..position]
                    .iter()
                    .any(|earlier| self.candidate(*earlier).zone == *zone);
                if repeats == (pass == 1) {
                    ranked[filled] = *index;
                    filled += 1;
                }
            }
        }
        (ranked, len)
    }

    /// The candidate at `index`.
    ///
    /// # Panics
    ///
    /// Panics when the target has left the table.
    pub fn candidate(&self, index: TargetIndex) -> &Candidate {
        &self.entry(index).candidate
    }

    /// The candidate with this name.
    pub fn get(&self, name: &TargetName) -> Option<&Candidate> {
        let index = self.indices.get(name)?;
        Some(self.candidate(*index))
    }

    /// The position of the target with this name.
    pub fn index(&self, name: &TargetName) -> Option<TargetIndex> {
        self.indices.get(name).copied()
    }

    /// Every target.
    pub fn targets(&self) -> impl Iterator<Item = (TargetIndex, &Candidate)> {
        self.numbered_entries()
            .map(|(index, entry)| (index, &entry.candidate))
    }

    /// One more than the highest position.
    pub fn capacity(&self) -> usize {
        self.entries.len()
    }

    /// Bits of the slot number.
    pub fn bits(&self) -> u32 {
        self.bits
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    /// Whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    /// Memory held, in bytes, names excluded.
    pub fn memory_bytes(&self) -> usize {
        self.lens.capacity()
            + self.ids.capacity() * size_of::<TargetIndex>()
            + (self.times.capacity() + self.limits.capacity()) * size_of::<f32>()
            + self.entries.capacity() * size_of::<Option<Entry>>()
            + self.indices.capacity() * size_of::<(TargetName, TargetIndex)>()
    }

    fn slot(&self, chat: ChatId) -> usize {
        // Chat identities that are not hashes, as in tests, spread as well.
        let hash = u64::from(chat).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let hash = (hash ^ (hash >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
        usize::try_from(hash >> (64 - self.bits)).unwrap_or(0)
    }

    fn numbered_entries(&self) -> impl Iterator<Item = (TargetIndex, &Entry)> {
        let numbered = (0_u16..).zip(&self.entries);
        numbered.filter_map(|(index, entry)| Some((TargetIndex(index), entry.as_ref()?)))
    }

    fn entry(&self, index: TargetIndex) -> &Entry {
        self.entries[index.get()]
            .as_ref()
            .expect("slots name only targets of the table")
    }

    fn insert_entry(&mut self, candidate: Candidate) -> TargetIndex {
        let key = xxh3_64(candidate.name.as_str().as_bytes());
        self.weight += candidate.weight;
        let name = candidate.name.clone();
        let entry = Some(Entry {
            source: Source::new(key, candidate.weight),
            candidate,
        });
        let position = self.entries.iter().position(Option::is_none);
        let position = position.unwrap_or(self.entries.len());
        let index =
            TargetIndex(u16::try_from(position).expect("a pool has at most 65,535 targets"));
        if position == self.entries.len() {
            self.entries.push(entry);
        } else {
            self.entries[position] = entry;
        }
        self.indices.insert(name, index);
        index
    }

    fn remove_entry(&mut self, index: TargetIndex) -> Option<Entry> {
        let entry = self.entries[index.get()].take()?;
        self.indices.remove(&entry.candidate.name);
        self.weight -= entry.candidate.weight;
        Some(entry)
    }

    fn build(&mut self) {
        let slots = 1_usize << self.bits;
        // The sum is taken afresh, so that rounding does not depend on the history.
        self.weight = self
            .numbered_entries()
            .map(|(_, entry)| entry.candidate.weight)
            .sum();
        self.horizon = if self.indices.len() <= MAX_STORED_TARGETS {
            f32::INFINITY
        } else {
            #[expect(
                clippy::cast_possible_truncation,
                reason = "a rounded horizon serves as well"
            )]
            let horizon = (MEAN_VISITS_PER_SLOT / self.weight) as f32;
            horizon
        };
        self.lens = vec![0; slots];
        self.ids = vec![TargetIndex(0); slots * MAX_STORED_TARGETS];
        self.times = vec![0.0; slots * MAX_STORED_TARGETS];
        self.limits = vec![self.horizon; slots];
        let entries: Vec<_> = self
            .numbered_entries()
            .map(|(index, entry)| (index, entry.source))
            .collect();
        for block in 0..1 << (self.bits - BLOCK_BITS) {
            self.build_block(block, &entries);
        }
        for slot in 0..slots {
            if usize::from(self.lens[slot]) < RANKED_TARGETS && self.limits[slot] < f32::INFINITY {
                self.rank_all_targets(slot);
            }
        }
    }

    fn build_block(&mut self, block: usize, entries: &[(TargetIndex, Source)]) {
        let visits = entries
            .iter()
            .map(|(index, source)| (*index, source.block(block, BLOCK_BITS), 0));
        let mut visits: Vec<_> = visits.collect();
        for stratum in 1..=TIME_STRATA {
            let end = if stratum == TIME_STRATA {
                self.horizon
            } else {
                self.horizon * f32::from(stratum) / f32::from(TIME_STRATA)
            };
            for (index, visits, entered) in &mut visits {
                for (slot, time) in visits.between(*entered, end) {
                    self.insert_visit(slot + (block << BLOCK_BITS), time, *index);
                    *entered += 1;
                }
            }
        }
    }

    /// Enters a target into its slots.
    fn insert_into_slots(&mut self, index: TargetIndex) {
        let source = self.entry(index).source;
        for block in 0..1 << (self.bits - BLOCK_BITS) {
            for (slot, time) in source.block(block, BLOCK_BITS).until(self.horizon) {
                self.insert_visit(slot + (block << BLOCK_BITS), time, index);
            }
        }
    }

    /// Takes a target out of its slots; those that become short are added to `short`.
    fn remove_from_slots(&mut self, index: TargetIndex, underfilled: &mut Vec<usize>) {
        let Some(entry) = self.remove_entry(index) else {
            return;
        };
        let visits = (0..1 << (self.bits - BLOCK_BITS)).flat_map(|block| {
            let visits = entry.source.block(block, BLOCK_BITS).until(self.horizon);
            visits.map(move |(slot, _)| slot + (block << BLOCK_BITS))
        });
        for slot in visits {
            let start = slot * MAX_STORED_TARGETS;
            let end = start + usize::from(self.lens[slot]);
            let position = self.ids[start..end].iter().position(|id| *id == index);
            let Some(position) = position else { continue };
            self.ids
                .copy_within(start + position + 1..end, start + position);
            self.times
                .copy_within(start + position + 1..end, start + position);
            self.lens[slot] -= 1;
            if usize::from(self.lens[slot]) < RANKED_TARGETS {
                underfilled.push(slot);
            }
        }
    }

    /// Ranks all targets for a slot.
    fn rank_all_targets(&mut self, slot: usize) {
        self.lens[slot] = 0;
        self.limits[slot] = f32::INFINITY;
        let visits: Vec<_> = self
            .numbered_entries()
            .map(|(index, entry)| (index, visit_time(entry.source, slot)))
            .collect();
        for (index, time) in visits {
            self.insert_visit(slot, time, index);
        }
        // A high limit of one slot makes every later join generate more visits.
        let last = slot * MAX_STORED_TARGETS + RANKED_TARGETS + 1;
        if usize::from(self.lens[slot]) > RANKED_TARGETS + 1 {
            self.lower_limit(slot, self.times[last]);
        }
        self.horizon = self.horizon.max(self.limits[slot]);
    }

    fn insert_visit(&mut self, slot: usize, time: f32, index: TargetIndex) {
        if time >= self.limits[slot] {
            return;
        }
        let start = slot * MAX_STORED_TARGETS;
        let len = usize::from(self.lens[slot]);
        let mut at = len;
        while at > 0 {
            let before = self.times[start + at - 1];
            let earlier = before < time
                || (before <= time && self.tie_order(self.ids[start + at - 1], index).is_lt());
            if earlier {
                break;
            }
            at -= 1;
        }
        if len == MAX_STORED_TARGETS {
            if at == MAX_STORED_TARGETS {
                return self.lower_limit(slot, time);
            }
            let dropped = self.times[start + MAX_STORED_TARGETS - 1];
            self.lens[slot] -= 1;
            self.lower_limit(slot, dropped);
            if time >= dropped {
                return;
            }
        }
        let end = start + usize::from(self.lens[slot]);
        self.ids.copy_within(start + at..end, start + at + 1);
        self.times.copy_within(start + at..end, start + at + 1);
        self.ids[start + at] = index;
        self.times[start + at] = time;
        self.lens[slot] += 1;
    }

    /// Lowers a slot's limit and drops what is not below it.
    fn lower_limit(&mut self, slot: usize, limit: f32) {
        self.limits[slot] = limit;
        let start = slot * MAX_STORED_TARGETS;
        while self.lens[slot] > 0 && self.times[start + usize::from(self.lens[slot]) - 1] >= limit {
            self.lens[slot] -= 1;
        }
    }

    /// Order of targets that visit a slot at the same time.
    fn tie_order(&self, a: TargetIndex, b: TargetIndex) -> std::cmp::Ordering {
        self.candidate(a).name.cmp(&self.candidate(b).name)
    }
}
