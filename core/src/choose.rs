//! Selects a target for a request within one pool, from the placement table, zone states, target
//! loads and the pointers of chats served away from their home.

use std::{collections::HashMap, time::Duration};

use crate::{
    chat::{POINTER_TTL, Pointers},
    id::ChatId,
    load::{LoadEstimate, POOL_MAX_AGE, PoolLoad, load_bound},
    name::TargetName,
    place::{Candidate, Table, TargetIndex, slot_bits},
    time::Time,
    zone::Zones,
};

/// Age at which the load sums over all targets of the pool are computed again.
const LOAD_SUM_INTERVAL: Duration = Duration::from_millis(100);
/// Limit of the factor by which a gossiped pool load is scaled up with this router's own traffic.
const MAX_TRAFFIC_GROWTH: f64 = 4.0;
/// Smallest table size, as a power of two, that is built on another thread. Smaller tables build
/// within about 30 ms.
const LARGE_TABLE_BITS: u32 = 18;
/// Share of the headroom between the mean load and the bound that is open to new chats. At 0.5 and
/// 0.8, returning chats find their target above its bound twice as often.
const NEW_CHAT_HEADROOM_SHARE: f64 = 0.2;
/// Maximum number of pointers for one pool. With 26 million chats on 1,000 routers, one router
/// places fewer chats than this away from their home within `POINTER_TTL`.
const MAX_POINTERS: usize = 1 << 15;

/// A target of the pool, and whether new requests may be sent to it.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolTarget {
    /// Name, zone and weight; the weight is not scaled by the ramp of a returning zone.
    pub candidate: Candidate,
    /// Whether new requests may be sent to the target. A draining target stays in the table, so
    /// that other chats keep their ranking, until it is removed from the configuration document.
    pub serving: bool,
}

/// Reason for the choice of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The target is the chat's home: the highest ranked of those that accept the chat.
    Home,
    /// A pointer says that the target holds the chat's context.
    Pointer,
    /// The home is above its bound, at its limit or already tried; this is the next ranked target
    /// with room for the request.
    Fallback,
    /// Every ranked target is above its bound or already tried; this one has the least load per
    /// weight in the pool.
    LeastLoaded,
}

/// The target chosen for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Target that receives the attempt.
    pub target: TargetName,
    /// Rule that led to `target`.
    pub reason: Reason,
    /// Home of the chat; `None` when `target` is the home.
    pub home: Option<TargetName>,
    /// Next untried target in the ranking of the chat; `None` when there is no other.
    pub second: Option<TargetName>,
}

fn home_or_fallback(home: bool) -> Reason {
    if home { Reason::Home } else { Reason::Fallback }
}

/// Absence after which the chats of a target are assumed to have been served by other targets.
const MAX_BRIEF_ABSENCE: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy, Default)]
struct TargetStatus {
    load: LoadEstimate,
    weight: f64,
    serving: bool,
    /// Fraction of new work that the target's zone accepts, from 0 to 1; 0 while the target is not
    /// serving.
    share: f64,
    /// When the target joined a pool that already had targets, or accepted work again after its
    /// zone was out or after an absence that was not brief. `None` if it was present from the
    /// start.
    joined_at: Option<Time>,
    /// Since when the target has not been serving.
    absent_since: Option<Time>,
    /// Whether `POINTER_TTL` has passed since `joined_at`. From then on, a chat in use either has
    /// a pointer or has paused for longer than a pointer lasts.
    pointers_settled: bool,
}

impl TargetStatus {
    /// Updates `absent_since`. Returns true when the target is serving again after an absence
    /// shorter than `MAX_BRIEF_ABSENCE`: its caches are still warm and most of its chats were not
    /// served elsewhere.
    fn was_absent_briefly(&mut self, now: Time) -> bool {
        if !self.serving {
            self.absent_since.get_or_insert(now);
            return false;
        }
        self.absent_since
            .take()
            .is_some_and(|since| now.since(since) < MAX_BRIEF_ABSENCE)
    }
}

/// Input of a table build that runs on another thread.
#[derive(Debug)]
pub struct TableBuild {
    bits: u32,
    candidates: Vec<Candidate>,
}

impl TableBuild {
    /// Builds the table; about 0.1 s for 3,200 targets.
    pub fn run(self) -> Table {
        Table::new(self.bits, self.candidates)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct LoadSums {
    /// `None` before the first sum.
    summed_at: Option<Time>,
    weight: f64,
    /// Requests of this router.
    own_requests: f64,
    /// Requests and weight of the targets with a recent load report.
    fresh: (f64, f64),
}

/// Target selection for one pool, with the state that one router holds for it.
#[derive(Debug)]
pub struct Placement {
    table: Table,
    bits: u32,
    statuses: Vec<TargetStatus>,
    sums: LoadSums,
    /// Load of the pool from gossip, with the time of its arrival.
    pool_load: Option<(PoolLoad, Time)>,
    /// Requests of this router when `pool_load` arrived.
    own_at_pool_report: f64,
    pointers: Pointers,
    multiple: f64,
}

impl Placement {
    /// Creates a placement without targets. `multiple` is the load bound relative to the mean load
    /// per weight of the pool.
    pub fn new(multiple: f64) -> Self {
        let bits = slot_bits(0);
        Self {
            table: Table::new(bits, []),
            bits,
            statuses: Vec::new(),
            sums: LoadSums::default(),
            pool_load: None,
            own_at_pool_report: 0.0,
            pointers: Pointers::new(MAX_POINTERS, POINTER_TTL),
            multiple,
        }
    }

    /// Returns the input of a table build for `members` when the build takes so long that it
    /// belongs on another thread: 0.1 s for 3,200 targets. `None` means that [`Self::set_targets`]
    /// is to be called instead, because the table is small, changes little, or is still empty and
    /// cannot serve requests before the build.
    ///
    /// If a build is returned, targets that are not among `members` receive no new requests from
    /// now on.
    pub fn prepare_build(
        &mut self,
        members: &[PoolTarget],
        zones: &Zones,
        now: Time,
    ) -> Option<TableBuild> {
        let bits = slot_bits(members.len());
        let candidates = members.iter().map(|member| &member.candidate);
        let small = bits < LARGE_TABLE_BITS || self.table.is_empty();
        if small || (bits == self.bits && !self.table.needs_rebuild(candidates)) {
            return None;
        }
        let serving: HashMap<_, _> = members
            .iter()
            .map(|member| (&member.candidate.name, member.serving))
            .collect();
        for (index, candidate) in self.table.targets() {
            let serving = serving.get(&candidate.name).copied();
            self.statuses[index.get()].serving = serving.unwrap_or(false);
        }
        self.refresh_loads(zones, now);
        let candidates = members.iter().map(|member| member.candidate.clone());
        Some(TableBuild {
            bits,
            candidates: candidates.collect(),
        })
    }

    /// Replaces the table by one built on another thread, then applies `members` of the newest
    /// view.
    pub fn install_table(
        &mut self,
        table: Table,
        members: &[PoolTarget],
        multiple: f64,
        zones: &Zones,
        now: Time,
    ) {
        let before = self.statuses_by_name();
        self.bits = table.bits();
        self.table = table;
        self.restore_statuses(&before, members, now);
        self.set_targets(members, multiple, zones, now);
    }

    /// Replaces the targets of the pool. Targets that remain keep their loads.
    pub fn set_targets(&mut self, members: &[PoolTarget], multiple: f64, zones: &Zones, now: Time) {
        self.multiple = multiple;
        let before = self.statuses_by_name();
        let candidates = members.iter().map(|member| member.candidate.clone());
        let bits = slot_bits(members.len());
        if bits == self.bits {
            self.table.update(candidates);
        } else {
            self.bits = bits;
            self.table = Table::new(bits, candidates);
        }
        self.restore_statuses(&before, members, now);
        self.refresh_loads(zones, now);
    }

    fn statuses_by_name(&self) -> HashMap<TargetName, TargetStatus> {
        let targets = self.table.targets();
        targets
            .map(|(index, candidate)| (candidate.name.clone(), self.statuses[index.get()]))
            .collect()
    }

    /// Rebuilds the statuses, indexed by the changed table, from those `before` the change.
    fn restore_statuses(
        &mut self,
        before: &HashMap<TargetName, TargetStatus>,
        members: &[PoolTarget],
        now: Time,
    ) {
        self.statuses = vec![TargetStatus::default(); self.table.capacity()];
        for member in members {
            if let Some(index) = self.table.index(&member.candidate.name) {
                let status = &mut self.statuses[index.get()];
                *status = match before.get(&member.candidate.name) {
                    Some(before) => *before,
                    None => TargetStatus {
                        joined_at: (!before.is_empty()).then_some(now),
                        share: 1.0,
                        ..TargetStatus::default()
                    },
                };
                status.weight = member.candidate.weight;
                status.serving = member.serving;
            }
        }
    }

    /// Updates the zone share of every target and the load sums, and removes expired pointers. Call
    /// after a zone has changed state; [`Self::choose`] calls it when the sums are 100 ms old.
    pub fn refresh_loads(&mut self, zones: &Zones, now: Time) {
        let mut sums = LoadSums {
            summed_at: Some(now),
            ..LoadSums::default()
        };
        for (index, candidate) in self.table.targets() {
            let status = &mut self.statuses[index.get()];
            let share = if status.serving {
                zones.share(&candidate.zone, now)
            } else {
                0.0
            };
            let was_brief = status.was_absent_briefly(now);
            if status.share <= 0.0 && share > 0.0 && !was_brief {
                status.joined_at = Some(now);
            }
            status.share = share;
            status.pointers_settled = status
                .joined_at
                .is_none_or(|joined_at| now.since(joined_at) >= POINTER_TTL);
            let weight = status.weight * status.share;
            if weight > 0.0 {
                sums.weight += weight;
                sums.own_requests += f64::from(status.load.own());
                if status.load.is_fresh(now) {
                    sums.fresh.0 += f64::from(status.load.requests(now));
                    sums.fresh.1 += weight;
                }
            }
        }
        self.sums = sums;
        self.pointers.expire(now);
    }

    /// Chooses a target for `chat` that is not among `tried`, and counts the request as started.
    ///
    /// `first` marks the first request of a chat, which has no context yet. Such a chat prefers
    /// targets whose load uses only a share of the headroom between the mean and the bound, which
    /// reserves the rest for returning chats.
    ///
    /// The order of the table decides between equal targets, so that two routers with the same
    /// state choose the same target.
    pub fn choose(
        &mut self,
        chat: ChatId,
        first: bool,
        tried: &[TargetName],
        zones: &Zones,
        now: Time,
    ) -> Option<Pick> {
        if self
            .sums
            .summed_at
            .is_none_or(|at| now.since(at) >= LOAD_SUM_INTERVAL)
        {
            self.refresh_loads(zones, now);
        }
        let usable = |index: TargetIndex| accepts_chat(&self.statuses[index.get()], chat, first);
        let home = self.table.first_usable(chat, usable)?;
        let untried = |index: TargetIndex| !self.was_tried(index, tried);
        let is_available = |index: TargetIndex, multiple: f64| {
            untried(index) && !self.is_full_or_above_bound(index, multiple, now)
        };
        let has_capacity = |index: TargetIndex| is_available(index, self.multiple);
        let is_within_bound =
            |index: TargetIndex| untried(index) && !self.is_above_bound(index, self.multiple, now);
        let has_headroom = |index: TargetIndex| {
            is_available(index, 1.0 + (self.multiple - 1.0) * NEW_CHAT_HEADROOM_SHARE)
        };
        let pointer_target = self.pointers.get(chat, now).and_then(|name| {
            let index = self.table.index(name)?;
            let status = &self.statuses[index.get()];
            (status.serving && status.share > 0.0 && has_capacity(index)).then_some(index)
        });
        let (ranked, len) = self.table.ranked(chat);
        // The ranking may start with targets of zones that are out; the home is the first target
        // that accepts this chat.
        let order = || {
            let rest = ranked[..len].iter().chain(self.table.stored(chat));
            let accepts_new_chat =
                |index: TargetIndex| accepts_chat(&self.statuses[index.get()], chat, true);
            std::iter::once(home).chain(
                rest.copied()
                    .filter(move |i| *i != home && accepts_new_chat(*i)),
            )
        };
        let chosen = match pointer_target {
            Some(index) if index == home => Some((index, Reason::Home)),
            Some(index) => Some((index, Reason::Pointer)),
            None => {
                let candidate = order().find(|index| first && has_headroom(*index));
                let candidate = candidate.or_else(|| order().find(|index| has_capacity(*index)));
                // When all are at their limit, queueing at a target that holds the context is
                // faster than computing the context again at another one.
                let candidate = candidate.or_else(|| order().find(|index| is_within_bound(*index)));
                candidate.map(|index| (index, home_or_fallback(index == home)))
            }
        };
        let (index, reason) = match chosen {
            Some(chosen) => chosen,
            None => (self.least_loaded(tried, now)?, Reason::LeastLoaded),
        };
        let second = order().find(|other| *other != index && untried(*other));
        let name = |index: TargetIndex| self.table.candidate(index).name.clone();
        let pick = Pick {
            target: name(index),
            reason,
            home: (index != home).then(|| name(home)),
            second: second.map(name),
        };
        self.statuses[index.get()].load.start();
        self.sums.own_requests += 1.0;
        self.sums.fresh.0 += f64::from(u8::from(self.statuses[index.get()].load.is_fresh(now)));
        Some(pick)
    }

    /// Counts the end of an attempt at `target`.
    pub fn record_end(&mut self, target: &TargetName, now: Time) {
        if let Some(index) = self.table.index(target) {
            let load = &mut self.statuses[index.get()].load;
            load.end();
            self.sums.own_requests = (self.sums.own_requests - 1.0).max(0.0);
            if load.is_fresh(now) {
                self.sums.fresh.0 = (self.sums.fresh.0 - 1.0).max(0.0);
            }
        }
    }

    /// Records the load that `target` reported with an answer. A `limit` of 0 means no limit.
    pub fn record_load(&mut self, target: &TargetName, requests: u32, limit: u32, now: Time) {
        if let Some(index) = self.table.index(target) {
            let load = &mut self.statuses[index.get()].load;
            load.record_report(requests, limit, now);
        }
    }

    /// Records the load sums of the whole pool, received by gossip.
    pub fn record_pool_load(&mut self, pool: PoolLoad, now: Time) {
        self.pool_load = Some((pool, now));
        self.own_at_pool_report = self.sums.own_requests;
    }

    /// Records that `target` now holds the context of `chat`. Returns the targets whose agents have
    /// to store a pointer to it.
    ///
    /// These are the current home of the chat, its home once new targets have been in the pool for
    /// `POINTER_TTL`, and the next ranked target in another zone, which keeps the pointer
    /// available while the home or its zone is out.
    pub fn record_served(
        &mut self,
        chat: ChatId,
        target: &TargetName,
        now: Time,
    ) -> Vec<TargetName> {
        let index = self.table.index(target);
        let usable = |index: TargetIndex| accepts_chat(&self.statuses[index.get()], chat, false);
        let (ranked_home, home) = (self.table.home(chat), self.table.first_usable(chat, usable));
        if ranked_home == index && home == index {
            self.pointers.clear(chat);
            return Vec::new();
        }
        if !self.pointers.set(chat, target, now) {
            return Vec::new();
        }
        let (ranked, len) = self.table.ranked(chat);
        let next = (len > 1).then_some(ranked[1]);
        let mut recipients = Vec::new();
        for recipient in [home, ranked_home, next].into_iter().flatten() {
            let status = &self.statuses[recipient.get()];
            let name = &self.table.candidate(recipient).name;
            let accepts_work = status.serving && status.share > 0.0;
            if accepts_work && Some(recipient) != index && !recipients.contains(name) {
                recipients.push(name.clone());
            }
        }
        recipients
    }

    /// Records an agent's hint that `target` holds the context of `chat`.
    pub fn record_hint(&mut self, chat: ChatId, target: &TargetName, now: Time) {
        self.pointers.set(chat, target, now);
    }

    /// The table that ranks the targets of the pool, draining ones included.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Pointers to targets that hold chats away from their home.
    pub fn pointers(&self) -> &Pointers {
        &self.pointers
    }

    /// Estimated number of requests at `target`: its last report, if recent, adjusted by this
    /// router's requests since then, or else this router's requests alone.
    pub fn requests(&self, target: &TargetName, now: Time) -> u32 {
        let index = self.table.index(target);
        index.map_or(0, |index| self.statuses[index.get()].load.requests(now))
    }

    fn was_tried(&self, index: TargetIndex, tried: &[TargetName]) -> bool {
        !tried.is_empty() && tried.contains(&self.table.candidate(index).name)
    }

    /// Whether one more request would exceed the target's load bound or its stated limit.
    fn is_full_or_above_bound(&self, index: TargetIndex, multiple: f64, now: Time) -> bool {
        self.statuses[index.get()].load.is_full(now) || self.is_above_bound(index, multiple, now)
    }

    fn is_above_bound(&self, index: TargetIndex, multiple: f64, now: Time) -> bool {
        let status = &self.statuses[index.get()];
        let (requests, total, counted) = self.load_and_mean_basis(now, status);
        counted >= load_bound(multiple, requests, status.weight * status.share, total)
    }

    /// Requests and weight from which the mean load is computed, and the number of the target's
    /// requests to compare with it.
    ///
    /// Recent pool sums from gossip take precedence, scaled by the growth of this router's own
    /// traffic since they arrived; then recent load reports, if they cover half of the weight.
    /// Otherwise the router bounds its own requests alone: when each router stays within the
    /// multiple of its own mean, the sum over all routers stays within the multiple of the total
    /// mean.
    fn load_and_mean_basis(&self, now: Time, status: &TargetStatus) -> (f64, f64, u32) {
        let all = status.load.requests(now);
        if let Some((pool, at)) = self.pool_load
            && now.since(at) <= POOL_MAX_AGE
        {
            let (requests, weight) = pool.as_f64();
            let growth = (self.sums.own_requests / self.own_at_pool_report.max(1.0))
                .clamp(1.0, MAX_TRAFFIC_GROWTH);
            return (requests * growth, weight, all);
        }
        let (requests, weight) = self.sums.fresh;
        if weight * 2.0 >= self.sums.weight && status.load.is_fresh(now) {
            return (requests, weight, all);
        }
        (self.sums.own_requests, self.sums.weight, status.load.own())
    }

    fn least_loaded(&self, tried: &[TargetName], now: Time) -> Option<TargetIndex> {
        let targets = self.table.targets().map(|(index, _)| index);
        let usable = targets.filter(|index| {
            let status = &self.statuses[index.get()];
            status.serving && status.share > 0.0 && !self.was_tried(*index, tried)
        });
        let key = |index: &TargetIndex| {
            let status = &self.statuses[index.get()];
            let weight = status.weight * status.share;
            let load = (f64::from(status.load.requests(now)) + 1.0) / weight;
            (status.load.is_full(now), load)
        };
        usable.min_by(|a, b| {
            let (a, b) = (key(a), key(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
    }
}

/// Whether the target accepts requests of this chat. A target in a returning zone accepts a growing
/// share of its chats, chosen by hash and therefore the same on every router.
///
/// A target that has joined the pool accepts new chats (`first`) at once. Chats in use stay with
/// the target that would be their home without the new one, which every router computes alike;
/// serving them there stores a pointer with the new target. After `POINTER_TTL`, a chat without a
/// pointer has paused for longer than a pointer lasts and moves to its new home.
fn accepts_chat(status: &TargetStatus, chat: ChatId, first: bool) -> bool {
    if !status.serving || !(first || status.pointers_settled) {
        return false;
    }
    let share = status.share;
    if share >= 1.0 {
        return true;
    }
    let hash = u64::from(chat).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let hash = (hash ^ (hash >> 29)).wrapping_mul(0x94D0_49BB_1331_11EB) >> 32;
    #[expect(clippy::cast_precision_loss, reason = "32 bits fit an f64 exactly")]
    let position = hash as f64 / (1_u64 << 32) as f64;
    position < share
}
