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
    visit::VisitGenerator,
};

/// Targets that a slot stores at most.
pub const STORED: usize = 8;
/// Targets that each slot has in store, where the pool has that many.
pub const RANKED: usize = 4;
/// Visits to a slot that a build generates, on average. Fewer leave too many slots with less than
/// [`RANKED`] targets, each of which costs one pass over all targets.
const DEPTH: f64 = 14.0;
/// Parts of the time up to the horizon in which a build enters visits. Visits that are nearly in
/// order of time are appended to their slots, and full slots turn the later ones away.
const STRATA: u16 = 8;
/// Slots are visited block by block, since a block fits a processor's cache and a whole table does
/// not.
const BLOCK_BITS: u32 = 12;
/// An update that changes more than this share of the weight is done as a build.
const REBUILD_SHARE: f64 = 0.125;

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
struct Member {
    candidate: Candidate,
    generator: VisitGenerator,
}

/// Ranks the targets that can serve one model or service.
#[derive(Debug, Clone)]
pub struct Table {
    bits: u32,
    members: Vec<Option<Member>>,
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

fn time_at(generator: VisitGenerator, slot: usize) -> f32 {
    let block = generator.block(slot >> BLOCK_BITS, BLOCK_BITS);
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
            members: Vec::new(),
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
                table.enlist(candidate);
            }
        }
        table.build();
        table
    }

    /// Whether bringing the table to `candidates` takes about as long as a build.
    pub fn is_bulk<'a>(&self, candidates: impl IntoIterator<Item = &'a Candidate>) -> bool {
        let (mut kept, mut joining) = (0.0, 0.0);
        for candidate in candidates {
            if self.get(&candidate.name) == Some(candidate) {
                kept += candidate.weight;
            } else {
                joining += candidate.weight;
            }
        }
        joining.max(self.weight - kept) > self.weight * REBUILD_SHARE
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
        let changed = |member: &Member| wanted.get(&member.candidate.name);
        let left: Vec<_> = self
            .entries()
            .filter(|(_, member)| changed(member) != Some(&member.candidate))
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
        let deep = f64::from(self.horizon) * (self.weight + joining) > 4.0 * DEPTH;
        let many = self.indices.len() + joined.len() > STORED;
        if (leaving.max(joining) > self.weight * REBUILD_SHARE || deep) && many {
            for index in left {
                self.delist(index);
            }
            for candidate in joined {
                self.enlist(candidate);
            }
            self.build();
            return true;
        }
        let mut short = Vec::new();
        for index in left {
            self.withdraw(index, &mut short);
        }
        for candidate in joined {
            let index = self.enlist(candidate);
            self.spread(index);
        }
        for slot in short {
            if usize::from(self.lens[slot]) < RANKED && self.limits[slot] < f32::INFINITY {
                self.refill(slot);
            }
        }
        true
    }

    /// The targets for `chat` that are in store, home first, by the time of their visit.
    pub fn stored(&self, chat: ChatId) -> &[TargetIndex] {
        let slot = self.slot(chat);
        let start = slot * STORED;
        &self.ids[start..start + usize::from(self.lens[slot])]
    }

    /// The highest ranked target for `chat` that is `usable`.
    ///
    /// Looks through all targets only when none of those in store is usable.
    pub fn first(&self, chat: ChatId, usable: impl Fn(TargetIndex) -> bool) -> Option<TargetIndex> {
        let stored = self.stored(chat).iter().copied().find(|i| usable(*i));
        stored.or_else(|| {
            let slot = self.slot(chat);
            let usable = self.entries().filter(|(index, _)| usable(*index));
            let timed = usable.map(|(index, member)| (time_at(member.generator, slot), index));
            timed
                .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| self.order(a.1, b.1)))
                .map(|(_, index)| index)
        })
    }

    /// The home target of `chat`.
    pub fn home(&self, chat: ChatId) -> Option<TargetIndex> {
        self.stored(chat).first().copied()
    }

    /// The best [`RANKED`] targets for `chat`: its home, then the best target of each other zone,
    /// then the rest. The length is that of the second value.
    pub fn ranked(&self, chat: ChatId) -> ([TargetIndex; RANKED], usize) {
        let stored = self.stored(chat);
        let len = stored.len().min(RANKED);
        let mut ranked = [TargetIndex(0); RANKED];
        let mut taken = 0;
        for pass in 0..2 {
            for (place, index) in stored[..len].iter().enumerate() {
                let zone = &self.candidate(*index).zone;
                let repeats = stored[..place]
                    .iter()
                    .any(|earlier| self.candidate(*earlier).zone == *zone);
                if repeats == (pass == 1) {
                    ranked[taken] = *index;
                    taken += 1;
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
        &self.member(index).candidate
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
        self.entries().map(|(index, m)| (index, &m.candidate))
    }

    /// One more than the highest position.
    pub fn capacity(&self) -> usize {
        self.members.len()
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
    pub fn bytes(&self) -> usize {
        self.lens.capacity()
            + self.ids.capacity() * size_of::<TargetIndex>()
            + (self.times.capacity() + self.limits.capacity()) * size_of::<f32>()
            + self.members.capacity() * size_of::<Option<Member>>()
            + self.indices.capacity() * size_of::<(TargetName, TargetIndex)>()
    }

    fn slot(&self, chat: ChatId) -> usize {
        // Chat identities that are not hashes, as in tests, spread as well.
        let hash = u64::from(chat).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let hash = (hash ^ (hash >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
        usize::try_from(hash >> (64 - self.bits)).unwrap_or(0)
    }

    fn entries(&self) -> impl Iterator<Item = (TargetIndex, &Member)> {
        let numbered = (0_u16..).zip(&self.members);
        numbered.filter_map(|(index, member)| Some((TargetIndex(index), member.as_ref()?)))
    }

    fn member(&self, index: TargetIndex) -> &Member {
        self.members[index.get()]
            .as_ref()
            .expect("slots name only targets of the table")
    }

    fn enlist(&mut self, candidate: Candidate) -> TargetIndex {
        let key = xxh3_64(candidate.name.as_str().as_bytes());
        self.weight += candidate.weight;
        let name = candidate.name.clone();
        let member = Some(Member {
            generator: VisitGenerator::new(key, candidate.weight),
            candidate,
        });
        let place = self.members.iter().position(Option::is_none);
        let place = place.unwrap_or(self.members.len());
        let index = TargetIndex(u16::try_from(place).expect("a pool has at most 65,535 targets"));
        if place == self.members.len() {
            self.members.push(member);
        } else {
            self.members[place] = member;
        }
        self.indices.insert(name, index);
        index
    }

    fn delist(&mut self, index: TargetIndex) -> Option<Member> {
        let member = self.members[index.get()].take()?;
        self.indices.remove(&member.candidate.name);
        self.weight -= member.candidate.weight;
        Some(member)
    }

    fn build(&mut self) {
        let slots = 1_usize << self.bits;
        // The sum is taken afresh, so that rounding does not depend on the history.
        self.weight = self.entries().map(|(_, m)| m.candidate.weight).sum();
        self.horizon = if self.indices.len() <= STORED {
            f32::INFINITY
        } else {
            #[expect(
                clippy::cast_possible_truncation,
                reason = "a rounded horizon serves as well"
            )]
            let horizon = (DEPTH / self.weight) as f32;
            horizon
        };
        self.lens = vec![0; slots];
        self.ids = vec![TargetIndex(0); slots * STORED];
        self.times = vec![0.0; slots * STORED];
        self.limits = vec![self.horizon; slots];
        let members: Vec<_> = self
            .entries()
            .map(|(index, member)| (index, member.generator))
            .collect();
        for block in 0..1 << (self.bits - BLOCK_BITS) {
            self.build_block(block, &members);
        }
        for slot in 0..slots {
            if usize::from(self.lens[slot]) < RANKED && self.limits[slot] < f32::INFINITY {
                self.refill(slot);
            }
        }
    }

    fn build_block(&mut self, block: usize, members: &[(TargetIndex, VisitGenerator)]) {
        let visits = members
            .iter()
            .map(|(index, generator)| (*index, generator.block(block, BLOCK_BITS), 0));
        let mut visits: Vec<_> = visits.collect();
        for stratum in 1..=STRATA {
            let end = if stratum == STRATA {
                self.horizon
            } else {
                self.horizon * f32::from(stratum) / f32::from(STRATA)
            };
            for (index, visits, entered) in &mut visits {
                for (slot, time) in visits.starting_at(*entered, end) {
                    self.place(slot + (block << BLOCK_BITS), time, *index);
                    *entered += 1;
                }
            }
        }
    }

    /// Enters a target into its slots.
    fn spread(&mut self, index: TargetIndex) {
        let generator = self.member(index).generator;
        for block in 0..1 << (self.bits - BLOCK_BITS) {
            for (slot, time) in generator.block(block, BLOCK_BITS).until(self.horizon) {
                self.place(slot + (block << BLOCK_BITS), time, index);
            }
        }
    }

    /// Takes a target out of its slots; those that become short are added to `short`.
    fn withdraw(&mut self, index: TargetIndex, short: &mut Vec<usize>) {
        let Some(member) = self.delist(index) else {
            return;
        };
        let visits = (0..1 << (self.bits - BLOCK_BITS)).flat_map(|block| {
            let visits = member
                .generator
                .block(block, BLOCK_BITS)
                .until(self.horizon);
            visits.map(move |(slot, _)| slot + (block << BLOCK_BITS))
        });
        for slot in visits {
            let start = slot * STORED;
            let end = start + usize::from(self.lens[slot]);
            let found = self.ids[start..end].iter().position(|id| *id == index);
            let Some(found) = found else { continue };
            self.ids.copy_within(start + found + 1..end, start + found);
            self.times
                .copy_within(start + found + 1..end, start + found);
            self.lens[slot] -= 1;
            if usize::from(self.lens[slot]) < RANKED {
                short.push(slot);
            }
        }
    }

    /// Ranks all targets for a slot.
    fn refill(&mut self, slot: usize) {
        self.lens[slot] = 0;
        self.limits[slot] = f32::INFINITY;
        let timed: Vec<_> = self
            .entries()
            .map(|(index, member)| (index, time_at(member.generator, slot)))
            .collect();
        for (index, time) in timed {
            self.place(slot, time, index);
        }
        // A high limit of one slot makes every later join generate more visits.
        let last = slot * STORED + RANKED + 1;
        if usize::from(self.lens[slot]) > RANKED + 1 {
            self.cut(slot, self.times[last]);
        }
        self.horizon = self.horizon.max(self.limits[slot]);
    }

    fn place(&mut self, slot: usize, time: f32, index: TargetIndex) {
        if time >= self.limits[slot] {
            return;
        }
        let start = slot * STORED;
        let len = usize::from(self.lens[slot]);
        let mut at = len;
        while at > 0 {
            let before = self.times[start + at - 1];
            let earlier = before < time
                || (before <= time && self.order(self.ids[start + at - 1], index).is_lt());
            if earlier {
                break;
            }
            at -= 1;
        }
        if len == STORED {
            if at == STORED {
                return self.cut(slot, time);
            }
            let dropped = self.times[start + STORED - 1];
            self.lens[slot] -= 1;
            self.cut(slot, dropped);
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
    fn cut(&mut self, slot: usize, limit: f32) {
        self.limits[slot] = limit;
        let start = slot * STORED;
        while self.lens[slot] > 0 && self.times[start + usize::from(self.lens[slot]) - 1] >= limit {
            self.lens[slot] -= 1;
        }
    }

    /// Order of targets that visit a slot at the same time.
    fn order(&self, a: TargetIndex, b: TargetIndex) -> std::cmp::Ordering {
        self.candidate(a).name.cmp(&self.candidate(b).name)
    }
}
