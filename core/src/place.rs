//! Placement table: ranks the targets of a pool for each chat, the home target first.
//!
//! The table is weighted rendezvous hashing over a fixed number of slots, to which chats are
//! hashed. Each target visits the slots in its own pseudo-random order, at times that are
//! exponentially distributed with its weight as the rate. A slot ranks the targets by visit time;
//! the earliest visitor is the home of the slot's chats. A target's visits are generated in order
//! of time, and a build generates only the early ones, so that its cost depends on the number of
//! slots and not on the number of targets.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::ChatId,
    name::{TargetName, ZoneName},
    visit::VisitGenerator,
};

/// Maximum number of targets that a slot stores.
pub const MAX_STORED_TARGETS: usize = 8;
/// Number of ranked targets returned for a chat. Each slot stores at least this many, unless the
/// pool has fewer.
pub const RANKED_TARGETS: usize = 4;
/// Mean number of visits to a slot that a build generates. With fewer, too many slots have fewer
/// than [`RANKED_TARGETS`] targets, and each such slot costs one pass over all targets.
const MEAN_VISITS_PER_SLOT: f64 = 14.0;
/// Number of time intervals, up to the horizon, in which a build inserts visits. Visits that arrive
/// nearly in order of time are appended to their slots, and full slots reject the later ones.
const TIME_STRATA: u16 = 8;
/// Size of a block of slots, as a power of two. A build proceeds block by block, as a block fits
/// into a processor's cache and a whole table does not.
const BLOCK_BITS: u32 = 12;
/// An update that changes more than this share of the total weight rebuilds the whole table.
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

/// Properties of a target that determine its placement.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name of the target, unique in the table; its hash determines the visit times.
    pub name: TargetName,
    /// Availability zone of the target; [`Table::ranked`] lists one target of each zone first.
    pub zone: ZoneName,
    /// Relative capacity. A target with weight 0 is not placed.
    pub weight: f64,
}

#[derive(Debug, Clone)]
struct CandidateEntry {
    candidate: Candidate,
    generator: VisitGenerator,
}

/// Ranking of the targets that serve one model or service.
#[derive(Debug, Clone)]
pub struct Table {
    /// Number of slots, as a power of two.
    bits: u32,
    /// `None` at positions of removed targets, which are reused.
    entries: Vec<Option<CandidateEntry>>,
    indices: HashMap<TargetName, TargetIndex>,
    /// Sum of the weights of the targets.
    weight: f64,
    /// Number of stored targets, by slot.
    lens: Vec<u8>,
    /// Stored targets in order of visit time, `MAX_STORED_TARGETS` for each slot.
    ids: Vec<TargetIndex>,
    /// Visit times of the targets in `ids`.
    times: Vec<f32>,
    /// By slot: a slot stores exactly the targets whose visit time is below its limit.
    limits: Vec<f32>,
    /// Upper bound of the limits of all slots.
    horizon: f32,
}

/// Number of slots, as a power of two, for a pool with `declared` targets in the configuration
/// document.
///
/// It depends on the document alone, as a change of the number remaps every chat of the pool.
/// Steps by a factor of four keep such changes rare. For up to 3,200 targets, each has about 82
/// slots or more on average.
pub const fn slot_bits(declared: usize) -> u32 {
    match declared {
        0..=64 => 14,
        65..=256 => 16,
        _ => 18,
    }
}

fn visit_time(generator: VisitGenerator, slot: usize) -> f32 {
    let block = generator.block(slot >> BLOCK_BITS, BLOCK_BITS);
    block.time_at(slot & ((1 << BLOCK_BITS) - 1))
}

impl Table {
    /// Creates a table of `candidates` with 2^`bits` slots; `bits` must be at least 12.
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

    /// Whether [`Self::update`] with `candidates` takes about as long as building a new table.
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

    /// Replaces the targets by `candidates`. Returns whether any target joined, left or changed.
    ///
    /// The resulting ranking of every chat equals that of a new table of `candidates`.
    pub fn update(&mut self, candidates: impl IntoIterator<Item = Candidate>) -> bool {
        let wanted: HashMap<_, _> = candidates
            .into_iter()
            .filter(|candidate| candidate.weight > 0.0)
            .map(|candidate| (candidate.name.clone(), candidate))
            .collect();
        let wanted_candidate = |entry: &CandidateEntry| wanted.get(&entry.candidate.name);
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
        // Makes the index of each new target reproducible; rankings do not depend on this order.
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

    /// Targets stored for `chat` in order of visit time, home first.
    pub fn stored(&self, chat: ChatId) -> &[TargetIndex] {
        let slot = self.slot(chat);
        let start = slot * MAX_STORED_TARGETS;
        &self.ids[start..start + usize::from(self.lens[slot])]
    }

    /// The highest ranked target for `chat` that is `usable`.
    ///
    /// Searches all targets of the pool only when none of the stored ones is usable.
    pub fn first_usable(
        &self,
        chat: ChatId,
        usable: impl Fn(TargetIndex) -> bool,
    ) -> Option<TargetIndex> {
        let stored = self.stored(chat).iter().copied().find(|i| usable(*i));
        stored.or_else(|| {
            let slot = self.slot(chat);
            let usable = self.numbered_entries().filter(|(index, _)| usable(*index));
            let visits = usable.map(|(index, entry)| (visit_time(entry.generator, slot), index));
            visits
                .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| self.tie_order(a.1, b.1)))
                .map(|(_, index)| index)
        })
    }

    /// The home target of `chat`; `None` when the table is empty.
    pub fn home(&self, chat: ChatId) -> Option<TargetIndex> {
        self.stored(chat).first().copied()
    }

    /// The highest ranked [`RANKED_TARGETS`] targets for `chat`, reordered: the home, then the
    /// first target of each other zone, then the rest. The second value is the number of valid
    /// elements.
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

    /// The target at `index`.
    ///
    /// # Panics
    ///
    /// Panics when the target is no longer in the table.
    pub fn candidate(&self, index: TargetIndex) -> &Candidate {
        &self.entry(index).candidate
    }

    /// The target with this name, if the table has it.
    pub fn get(&self, name: &TargetName) -> Option<&Candidate> {
        let index = self.indices.get(name)?;
        Some(self.candidate(*index))
    }

    /// Index of the target with this name, if the table has it.
    pub fn index(&self, name: &TargetName) -> Option<TargetIndex> {
        self.indices.get(name).copied()
    }

    /// All targets with their indexes, in order of index.
    pub fn targets(&self) -> impl Iterator<Item = (TargetIndex, &Candidate)> {
        self.numbered_entries()
            .map(|(index, entry)| (index, &entry.candidate))
    }

    /// Exclusive upper bound of [`TargetIndex::get`], for vectors indexed by target.
    pub fn capacity(&self) -> usize {
        self.entries.len()
    }

    /// Number of slots, as a power of two.
    pub fn bits(&self) -> u32 {
        self.bits
    }

    /// Number of targets in the table, those with weight 0 excluded.
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    /// Whether the table has no target.
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    /// Allocated memory in bytes, without the names of targets and zones.
    pub fn memory_bytes(&self) -> usize {
        self.lens.capacity()
            + self.ids.capacity() * size_of::<TargetIndex>()
            + (self.times.capacity() + self.limits.capacity()) * size_of::<f32>()
            + self.entries.capacity() * size_of::<Option<CandidateEntry>>()
            + self.indices.capacity() * size_of::<(TargetName, TargetIndex)>()
    }

    fn slot(&self, chat: ChatId) -> usize {
        // Mixes the bits again, as chat ids that are not hashes, as in tests, would share slots.
        let hash = u64::from(chat).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let hash = (hash ^ (hash >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
        usize::try_from(hash >> (64 - self.bits)).unwrap_or(0)
    }

    fn numbered_entries(&self) -> impl Iterator<Item = (TargetIndex, &CandidateEntry)> {
        let numbered = (0_u16..).zip(&self.entries);
        numbered.filter_map(|(index, entry)| Some((TargetIndex(index), entry.as_ref()?)))
    }

    fn entry(&self, index: TargetIndex) -> &CandidateEntry {
        self.entries[index.get()]
            .as_ref()
            .expect("slots store only targets of the table")
    }

    fn insert_entry(&mut self, candidate: Candidate) -> TargetIndex {
        let key = xxh3_64(candidate.name.as_str().as_bytes());
        self.weight += candidate.weight;
        let name = candidate.name.clone();
        let entry = Some(CandidateEntry {
            generator: VisitGenerator::new(key, candidate.weight),
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

    fn remove_entry(&mut self, index: TargetIndex) -> Option<CandidateEntry> {
        let entry = self.entries[index.get()].take()?;
        self.indices.remove(&entry.candidate.name);
        self.weight -= entry.candidate.weight;
        Some(entry)
    }

    fn build(&mut self) {
        let slots = 1_usize << self.bits;
        // Summing again keeps rounding errors independent of earlier updates.
        self.weight = self
            .numbered_entries()
            .map(|(_, entry)| entry.candidate.weight)
            .sum();
        self.horizon = if self.indices.len() <= MAX_STORED_TARGETS {
            f32::INFINITY
        } else {
            #[expect(
                clippy::cast_possible_truncation,
                reason = "the horizon needs no exact value"
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
            .map(|(index, entry)| (index, entry.generator))
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

    fn build_block(&mut self, block: usize, entries: &[(TargetIndex, VisitGenerator)]) {
        let visits = entries
            .iter()
            .map(|(index, generator)| (*index, generator.block(block, BLOCK_BITS), 0));
        let mut visits: Vec<_> = visits.collect();
        for stratum in 1..=TIME_STRATA {
            let end = if stratum == TIME_STRATA {
                self.horizon
            } else {
                self.horizon * f32::from(stratum) / f32::from(TIME_STRATA)
            };
            for (index, visits, entered) in &mut visits {
                for (slot, time) in visits.starting_at(*entered, end) {
                    self.insert_visit(slot + (block << BLOCK_BITS), time, *index);
                    *entered += 1;
                }
            }
        }
    }

    /// Inserts the target into the slots that it visits before the horizon.
    fn insert_into_slots(&mut self, index: TargetIndex) {
        let generator = self.entry(index).generator;
        for block in 0..1 << (self.bits - BLOCK_BITS) {
            for (slot, time) in generator.block(block, BLOCK_BITS).until(self.horizon) {
                self.insert_visit(slot + (block << BLOCK_BITS), time, index);
            }
        }
    }

    /// Removes the target from the table and its slots. Slots left with fewer than
    /// [`RANKED_TARGETS`] targets are added to `underfilled`.
    fn remove_from_slots(&mut self, index: TargetIndex, underfilled: &mut Vec<usize>) {
        let Some(entry) = self.remove_entry(index) else {
            return;
        };
        let visits = (0..1 << (self.bits - BLOCK_BITS)).flat_map(|block| {
            let visits = entry.generator.block(block, BLOCK_BITS).until(self.horizon);
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

    /// Fills a slot from the visit times of all targets.
    fn rank_all_targets(&mut self, slot: usize) {
        self.lens[slot] = 0;
        self.limits[slot] = f32::INFINITY;
        let visits: Vec<_> = self
            .numbered_entries()
            .map(|(index, entry)| (index, visit_time(entry.generator, slot)))
            .collect();
        for (index, time) in visits {
            self.insert_visit(slot, time, index);
        }
        // A high limit of one slot raises the horizon, and every target that joins later would
        // generate more visits.
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

    /// Lowers the limit of a slot and removes targets whose visit time is not below it.
    fn lower_limit(&mut self, slot: usize, limit: f32) {
        self.limits[slot] = limit;
        let start = slot * MAX_STORED_TARGETS;
        while self.lens[slot] > 0 && self.times[start + usize::from(self.lens[slot]) - 1] >= limit {
            self.lens[slot] -= 1;
        }
    }

    /// Orders targets that visit a slot at the same time, by name.
    fn tie_order(&self, a: TargetIndex, b: TargetIndex) -> std::cmp::Ordering {
        self.candidate(a).name.cmp(&self.candidate(b).name)
    }
}
