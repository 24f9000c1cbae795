//! Choice of a target for a request within one pool: placement, zones, loads and pointers.

use std::{collections::HashMap, time::Duration};

use crate::{
    chat::{POINTER_LIFE, Pointers},
    id::ChatId,
    load::{POOL_LIFE, PoolLoad, TargetLoad, bound},
    name::TargetName,
    place::{Candidate, Table, TargetIndex, slot_bits},
    time::Time,
    zone::Zones,
};

/// Time between two sums over all targets.
const LOAD_SUM_INTERVAL: Duration = Duration::from_millis(100);
/// Growth of the traffic within the life of a sum that is believed.
const MAX_TRAFFIC_GROWTH: f64 = 4.0;
/// Tables with fewer bits are built within some 30 ms.
const LARGE_TABLE_BITS: u32 = 18;
/// Part of the headroom between the mean and the bound that chats without context may use. At 0.8
/// and 0.5, chats that return find their target above its bound twice as often.
const NEW_CHAT_HEADROOM_SHARE: f64 = 0.2;
/// Pointers that a router keeps for one pool: with 26 million chats at 1,000 routers, one router
/// moves less than this many in the life of a pointer.
const MAX_POINTERS: usize = 1 << 15;

/// A target with what is known of its readiness.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolTarget {
    /// The target, with its weight when fully in service.
    pub candidate: Candidate,
    /// Whether it may get new work. A target that is leaving keeps its chats' places in the table
    /// until it leaves the document.
    pub serving: bool,
}

/// Why a target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It is the home of the chat, among the targets that take work.
    Home,
    /// The context of the chat has moved there.
    Pointer,
    /// The home is above its bound, full or has been tried.
    Fallback,
    /// All ranked targets are; it has the least load for its weight.
    LeastLoaded,
}

/// The target chosen for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// The target.
    pub target: TargetName,
    /// Why.
    pub reason: Reason,
    /// The home of the chat, where it is another target that takes work.
    pub home: Option<TargetName>,
    /// The target that comes next for the chat.
    pub second: Option<TargetName>,
}

fn home_or_fallback(home: bool) -> Reason {
    if home { Reason::Home } else { Reason::Fallback }
}

/// An absence after which a target's chats are taken to have found other targets.
const MAX_BRIEF_ABSENCE: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy, Default)]
struct TargetStatus {
    load: TargetLoad,
    weight: f64,
    serving: bool,
    /// Share of its work that the target's zone takes.
    share: f64,
    /// When the target began to take work in a pool that was in service.
    joined_at: Option<Time>,
    /// Since when membership has kept the target from new work.
    absent_since: Option<Time>,
    /// Whether chats in use have had time to leave their pointers with the target.
    pointers_settled: bool,
}

impl TargetStatus {
    /// Follows membership; true when the target is back after a short absence, in which its caches
    /// have stayed warm and most of its chats have not left.
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

/// A table that is still to be built.
#[derive(Debug)]
pub struct TableBuild {
    bits: u32,
    candidates: Vec<Candidate>,
}

impl TableBuild {
    /// Builds the table.
    pub fn run(self) -> Table {
        Table::new(self.bits, self.candidates)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct LoadSums {
    summed_at: Option<Time>,
    weight: f64,
    own_requests: f64,
    /// Requests and weight of the targets with recent reports.
    fresh: (f64, f64),
}

/// Placement within one pool, as one router sees it.
#[derive(Debug)]
pub struct Placement {
    table: Table,
    bits: u32,
    statuses: Vec<TargetStatus>,
    sums: LoadSums,
    pool_load: Option<(PoolLoad, Time)>,
    /// Requests of this router when it heard of the pool.
    own_at_pool_report: f64,
    pointers: Pointers,
    multiple: f64,
}

impl Placement {
    /// Starts with no target. `multiple` bounds the load, relative to the mean.
    pub fn new(multiple: f64) -> Self {
        let bits = slot_bits(0);
        Self {
            table: Table::new(bits, []),
            bits,
            statuses: Vec::new(),
            sums: LoadSums::default(),
            pool_load: None,
            own_at_pool_report: 0.0,
            pointers: Pointers::new(MAX_POINTERS, POINTER_LIFE),
            multiple,
        }
    }

    /// The build of a table for `members`, where it takes so long that another thread should do it:
    /// 0.1 s for 3,200 targets. Until it is installed, targets that are not among `members` get no
    /// new work.
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

    /// Takes a table that was built elsewhere, and the targets of the newest view.
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

    /// Takes the targets of the pool from a new view. Loads of targets that stay are kept.
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

    /// Carries the statuses of targets over to a changed table.
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

    /// Takes the shares of zones and sums the loads; needed after a zone has changed.
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
                .is_none_or(|joined_at| now.since(joined_at) >= POINTER_LIFE);
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
    /// A chat whose `first` request this is has no context yet. It takes its home only up to
    /// a part of the headroom between the mean and the bound, which leaves room for chats that
    /// return.
    ///
    /// Ties and equal loads are decided by the table, so that two routers with the same knowledge
    /// choose alike.
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
        // The home comes first even where targets of zones that are out rank higher.
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
                // Where all are full, waiting at a target with the context beats going elsewhere.
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

    /// Notes that an attempt at `target` has ended.
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

    /// Notes the load that came with an answer.
    pub fn record_load(&mut self, target: &TargetName, requests: u32, limit: u32, now: Time) {
        if let Some(index) = self.table.index(target) {
            let load = &mut self.statuses[index.get()].load;
            load.heard(requests, limit, now);
        }
    }

    /// Notes the sums over the pool that came by gossip.
    pub fn record_pool_load(&mut self, pool: PoolLoad, now: Time) {
        self.pool_load = Some((pool, now));
        self.own_at_pool_report = self.sums.own_requests;
    }

    /// Notes that `target` holds the context of `chat` now; returns the targets whose agents have
    /// to know.
    ///
    /// These are the target that other routers take for the chat's home now, the one that they will
    /// once newcomers have settled, and the one in another zone that would be next. The last keeps
    /// the pointer while the home or its zone is out.
    pub fn record_served(
        &mut self,
        chat: ChatId,
        target: &TargetName,
        now: Time,
    ) -> Vec<TargetName> {
        let index = self.table.index(target);
        let usable = |index: TargetIndex| accepts_chat(&self.statuses[index.get()], chat, false);
        let (nominal, home) = (self.table.home(chat), self.table.first_usable(chat, usable));
        if nominal == index && home == index {
            self.pointers.clear(chat);
            return Vec::new();
        }
        if !self.pointers.set(chat, target, now) {
            return Vec::new();
        }
        let (ranked, len) = self.table.ranked(chat);
        let next = (len > 1).then_some(ranked[1]);
        let mut recipients = Vec::new();
        for recipient in [home, nominal, next].into_iter().flatten() {
            let status = &self.statuses[recipient.get()];
            let name = &self.table.candidate(recipient).name;
            let works = status.serving && status.share > 0.0;
            if works && Some(recipient) != index && !recipients.contains(name) {
                recipients.push(name.clone());
            }
        }
        recipients
    }

    /// Takes the hint of an agent that `target` holds the context of `chat`.
    pub fn record_hint(&mut self, chat: ChatId, target: &TargetName, now: Time) {
        self.pointers.set(chat, target, now);
    }

    /// The targets in placement.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Pointers kept.
    pub fn pointers(&self) -> &Pointers {
        &self.pointers
    }

    /// Requests at `target` as far as this router can tell.
    pub fn requests(&self, target: &TargetName, now: Time) -> u32 {
        let index = self.table.index(target);
        index.map_or(0, |index| self.statuses[index.get()].load.requests(now))
    }

    fn was_tried(&self, index: TargetIndex, tried: &[TargetName]) -> bool {
        !tried.is_empty() && tried.contains(&self.table.candidate(index).name)
    }

    /// Whether one more request would bring the target above its bound or limit.
    fn is_full_or_above_bound(&self, index: TargetIndex, multiple: f64, now: Time) -> bool {
        self.statuses[index.get()].load.is_full(now) || self.is_above_bound(index, multiple, now)
    }

    fn is_above_bound(&self, index: TargetIndex, multiple: f64, now: Time) -> bool {
        let status = &self.statuses[index.get()];
        let (requests, total, counted) = self.load_and_mean_basis(now, status);
        counted >= bound(multiple, requests, status.weight * status.share, total)
    }

    /// Requests and weight that make up the mean, and the target's requests to compare with it.
    ///
    /// Sums by gossip come first, carried on by the growth of the router's own traffic since then;
    /// next, recent reports where they cover half of the weight. A router that knows less bounds
    /// its own requests: when each router's are within the multiple of their mean, their sum is
    /// within the multiple of its mean.
    fn load_and_mean_basis(&self, now: Time, status: &TargetStatus) -> (f64, f64, u32) {
        let all = status.load.requests(now);
        if let Some((pool, at)) = self.pool_load
            && now.since(at) <= POOL_LIFE
        {
            let (requests, weight) = pool.parts();
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

/// Whether the target takes this chat. A returning zone takes a growing share of its chats, the
/// same ones on every router.
///
/// A target that has joined takes new chats at once. Chats in use stay with the target that would
/// be their home without the newcomer, which every router works out alike; that target's answers
/// leave a pointer with the newcomer. After the life of a pointer, a chat that left none has paused
/// for so long that it comes home.
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
    let place = hash as f64 / (1_u64 << 32) as f64;
    place < share
}
