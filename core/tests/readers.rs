//! Tests of which routers of a zone read the store, in seeded schedules of a zone's routers: routers
//! freeze, resume, are killed, replaced and cut off from the store or from each other, and the store
//! is down or answers late. A key is revoked meanwhile.

mod common;

use std::time::Duration;

use common::variable;
use ebonyfall_core::{
    lease::Lease,
    name::ProcessName,
    readers::{self, FollowTimes, OrderBounds, Source, SourceChoice, ZONE_READERS, ZoneRouter},
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Bounds on the age of the orders of a deployment, and how long after a fault they hold again.
#[derive(Debug, Clone, Copy)]
struct Bounds {
    orders: OrderBounds,
    settled: Duration,
}

impl Bounds {
    const fn new(apply_ms: u64, settled_ms: u64) -> Self {
        Self {
            orders: OrderBounds {
                apply: Duration::from_millis(apply_ms),
                revocation: Duration::from_secs(5),
            },
            settled: Duration::from_millis(settled_ms),
        }
    }
}

/// Bounds of deployments of different sizes.
const SMALL: Bounds = Bounds::new(2_000, 3_000);
const GROWN: Bounds = Bounds::new(3_000, 4_000);
const LARGE: Bounds = Bounds::new(4_000, 5_000);
/// Time in which the store's answer with a long state arrives over a slow link.
const LONG_TRANSFER: Duration = Duration::from_millis(420);
/// Time in addition to the wait after which a read from the store has failed.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time in addition to the wait after which a read from a reader has failed.
const READER_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay after a failed call of the store.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time until the other routers notice that a router has stopped or started.
const MEMBERSHIP_DELAY: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(10);
const SCHEDULE: Duration = Duration::from_secs(40);

/// Fault injected into the routers, which a check must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Bug {
    None,
    /// A follower takes the arrival of an answer as the time of its confirmation.
    IgnoreAge,
    /// A follower never asks the store.
    NeverFallBack,
}

/// Number of the fault by which a router loses the store.
const LOST_STORE: u32 = 2;

/// What happens to routers and the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Faults {
    None,
    /// The zone's readers freeze, are killed or lose the store; the store itself is up.
    Readers,
    /// The connections of all routers to the store fall silent at the same moment; new ones work.
    Silence,
    /// Anything happens to any router, and the store is down at times.
    All,
}

/// A read that has been sent.
#[derive(Debug, Clone, Copy)]
struct Read {
    source: Source,
    sent_at: Time,
    wait: Duration,
    /// When an answer with a change has arrived; `None` before the store sends it.
    arrives: Option<Time>,
    /// Whether the connection carries no answer any more.
    is_silent: bool,
}

struct Router {
    entry: ZoneRouter,
    times: FollowTimes,
    /// Whether the router knows the key to be valid; `None` before its first read.
    key_valid: Option<bool>,
    lease: Lease,
    choice: SourceChoice,
    read: Option<Read>,
    next_read: Time,
    wait: Duration,
    frozen_until: Time,
    down_until: Time,
    no_store_until: Time,
    no_peers_until: Time,
    /// Routers of the zone as this one sees them.
    members: Vec<ZoneRouter>,
}

impl Router {
    fn new(number: usize, bounds: Bounds) -> Self {
        let times = FollowTimes::new(bounds.orders);
        let name: ProcessName = format!("router-{number}").parse().expect("it is a name");
        let address = format!("127.0.0.1:{}", 7_000 + number).parse();
        Self {
            entry: ZoneRouter::new(name, address.expect("it is an address")),
            times,
            key_valid: None,
            lease: Lease::new(bounds.orders.revocation),
            choice: SourceChoice::new(times.max_age),
            read: None,
            next_read: Time::ZERO,
            wait: Duration::ZERO,
            frozen_until: Time::ZERO,
            down_until: Time::ZERO,
            no_store_until: Time::ZERO,
            no_peers_until: Time::ZERO,
            members: Vec::new(),
        }
    }

    fn runs(&self, now: Time) -> bool {
        now >= self.frozen_until && now >= self.down_until
    }

    /// Whether nothing has happened to the router for `settled`.
    fn is_settled(&self, settled: Duration, now: Time) -> bool {
        let faults = [self.frozen_until, self.down_until, self.no_store_until];
        faults.iter().all(|until| now >= *until + settled)
    }
}

struct World {
    rng: SmallRng,
    bug: Bug,
    bounds: Bounds,
    /// Time for which the store's answer with a change is on its way. Readers do not pass on a state
    /// that takes long.
    transfer: Duration,
    /// Whether the change comes right after a router has lost the store.
    change_at_fault: bool,
    now: Time,
    routers: Vec<Router>,
    store_down_until: Time,
    revoked_at: Time,
    store_calls: u32,
    /// Moments at which a router that runs had no valid lease, after the first seconds.
    stale_moments: u32,
}

impl World {
    fn new(seed: u64, routers: usize, bug: Bug) -> Self {
        Self::with_bounds(seed, routers, bug, GROWN)
    }

    fn with_bounds(seed: u64, routers: usize, bug: Bug, bounds: Bounds) -> Self {
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            bug,
            bounds,
            transfer: Duration::ZERO,
            change_at_fault: false,
            now: Time::from_millis(1_000),
            routers: (0..routers)
                .map(|number| Router::new(number, bounds))
                .collect(),
            store_down_until: Time::ZERO,
            revoked_at: Time::ZERO,
            store_calls: 0,
            stale_moments: 0,
        };
        let revoked_after = Duration::from_millis(world.rng.random_range(2_000..30_000));
        world.revoked_at = world.now + revoked_after;
        world
    }

    fn run(&mut self, faults: Faults) -> Result<(), String> {
        let start = self.now;
        let (mut next_fault, mut next_members) = (start, start);
        while self.now.since(start) < SCHEDULE {
            if self.now >= next_members {
                self.update_members();
                next_members = self.now + MEMBERSHIP_DELAY;
            }
            if self.now >= next_fault {
                self.inject(faults);
                next_fault = self.now + Duration::from_millis(self.rng.random_range(500..4_000));
            }
            for number in 0..self.routers.len() {
                if self.routers[number].runs(self.now) {
                    self.step(number);
                }
            }
            self.check(start)?;
            self.now = self.now + STEP;
        }
        Ok(())
    }

    /// Every router learns at once which routers are down; frozen ones are still members.
    fn update_members(&mut self) {
        let alive = self
            .routers
            .iter()
            .filter(|router| self.now >= router.down_until);
        let mut members: Vec<_> = alive.map(|router| router.entry.clone()).collect();
        members.sort();
        for router in &mut self.routers {
            router.members.clone_from(&members);
            // Now and then a router has missed a change.
            if self.rng.random_ratio(1, 20) && members.len() > 1 {
                router.members.remove(0);
            }
        }
    }

    fn inject(&mut self, faults: Faults) {
        let until = self.now + Duration::from_millis(self.rng.random_range(500..6_000));
        let changes_now =
            self.change_at_fault && self.now < self.revoked_at && self.rng.random_ratio(1, 3);
        if changes_now {
            self.revoked_at = self.now + Duration::from_millis(self.rng.random_range(0..300));
        }
        let number = match faults {
            Faults::None => return,
            Faults::Silence => {
                for router in &mut self.routers {
                    if let Some(read) = &mut router.read {
                        read.is_silent = true;
                    }
                }
                return;
            }
            Faults::Readers => {
                let mut entries: Vec<_> = self.routers.iter().map(|r| &r.entry).collect();
                entries.sort();
                let reader = entries[self.rng.random_range(0..ZONE_READERS)].clone();
                let mut routers = self.routers.iter();
                routers
                    .position(|router| router.entry == reader)
                    .unwrap_or(0)
            }
            Faults::All => self.rng.random_range(0..self.routers.len()),
        };
        let kinds = if faults == Faults::All { 6 } else { 4 };
        let kind = if changes_now {
            LOST_STORE
        } else {
            self.rng.random_range(0..kinds)
        };
        match kind {
            0 => self.routers[number].frozen_until = until,
            1 => {
                let entry = self.routers[number].entry.clone();
                self.routers[number] = Router {
                    entry,
                    down_until: until,
                    ..Router::new(number, self.bounds)
                };
            }
            LOST_STORE => self.routers[number].no_store_until = until,
            3 => self.routers[number].no_peers_until = until,
            4 => self.store_down_until = until,
            _ => {
                for router in &mut self.routers {
                    router.frozen_until = until;
                }
            }
        }
    }

    fn step(&mut self, number: usize) {
        let now = self.now;
        let Some(read) = self.routers[number].read else {
            if now >= self.routers[number].next_read {
                self.send(number);
            }
            return;
        };
        let due = now >= read.sent_at + read.wait;
        match read.source {
            Source::Store => {
                let up = now >= self.store_down_until
                    && now >= self.routers[number].no_store_until
                    && !read.is_silent;
                let key_valid = now < self.revoked_at;
                let router = &mut self.routers[number];
                let changed = router.key_valid != Some(key_valid);
                let arrives = read
                    .arrives
                    .or((up && changed).then_some(now + self.transfer));
                router.read = Some(Read { arrives, ..read });
                let has_change = arrives.is_some_and(|at| now >= at);
                if up && (has_change || due && !changed) {
                    // Stricter than the router, which also confirms by an answer with a change.
                    router.wait = if changed {
                        Duration::ZERO
                    } else {
                        router.times.store_wait
                    };
                    if !changed {
                        router.lease.confirm(read.sent_at + read.wait);
                    }
                    router.key_valid = Some(key_valid);
                    router.read = None;
                } else if now >= read.sent_at + read.wait + STORE_TIMEOUT {
                    router.read = None;
                    router.wait = Duration::ZERO;
                    router.next_read = now + RETRY_DELAY;
                }
            }
            Source::Reader(address) => self.follow(number, read, address),
        }
    }

    /// Handles a read from a reader, which answers when its state changes or the wait is over.
    fn follow(&mut self, number: usize, read: Read, address: std::net::SocketAddr) {
        let now = self.now;
        let due = now >= read.sent_at + read.wait;
        let mut readers = self.routers.iter();
        let reader = readers.find(|reader| reader.entry.address == address);
        let answer = reader.and_then(|reader| {
            let reachable = reader.runs(now)
                && now >= reader.no_peers_until
                && now >= self.routers[number].no_peers_until;
            let changed = reader.key_valid != self.routers[number].key_valid;
            let confirmed = reader.lease.confirmed_at()?;
            (reachable && (changed || due)).then_some((reader.key_valid, confirmed, changed))
        });
        let too_long = self.transfer >= LONG_TRANSFER;
        let bug = self.bug;
        let random = self.rng.random();
        let router = &mut self.routers[number];
        let failed = match answer {
            Some((_, _, true)) if too_long => {
                router.read = None;
                true
            }
            Some((key_valid, confirmed, _)) => {
                let confirmed = if bug == Bug::IgnoreAge {
                    now
                } else {
                    confirmed.min(read.sent_at)
                };
                let recent = router.choice.is_recent(Some(confirmed), now);
                if recent {
                    // A desired state that is older than the known one is ignored.
                    if router.key_valid != Some(false) {
                        router.key_valid = key_valid;
                    }
                    router.lease.confirm(confirmed);
                }
                router.read = None;
                !recent
            }
            None if now >= read.sent_at + read.wait + READER_TIMEOUT => {
                router.read = None;
                true
            }
            None => false,
        };
        if failed && bug != Bug::NeverFallBack {
            router.choice.record_failure(random, now);
        }
        router.wait = Duration::ZERO;
    }

    fn send(&mut self, number: usize) {
        let now = self.now;
        let router = &mut self.routers[number];
        let confirmed = match self.bug {
            Bug::NeverFallBack if router.key_valid.is_some() => Some(now),
            _ => router.lease.confirmed_at(),
        };
        let own = &router.entry.name;
        let source = router.choice.source(own, &router.members, confirmed, now);
        let wait = match source {
            Source::Reader(_) => {
                let longest = router.times.follow_wait;
                router.choice.follow_wait(longest, confirmed, now)
            }
            Source::Store if readers::has_followers(own, &router.members) => {
                router.wait.min(router.times.reader_wait)
            }
            Source::Store => router.wait,
        };
        router.read = Some(Read {
            source,
            sent_at: now,
            wait,
            arrives: None,
            is_silent: false,
        });
        self.store_calls += u32::from(source == Source::Store);
    }

    fn check(&mut self, start: Time) -> Result<(), String> {
        for router in self.routers.iter().filter(|router| router.runs(self.now)) {
            let is_valid = router.lease.is_valid(self.now);
            let accepts = is_valid && router.key_valid == Some(true);
            if accepts && self.now.since(self.revoked_at) > self.bounds.orders.revocation {
                let name = &router.entry.name;
                return Err(format!("{name} accepts the revoked key at {:?}", self.now));
            }
            let settled = self.bounds.settled;
            let is_settled = router.is_settled(settled, self.now)
                && self.now >= self.store_down_until + settled
                && self.now >= start + settled;
            let is_late = self.now.since(self.revoked_at) > self.bounds.orders.apply;
            if is_settled && is_late && router.key_valid == Some(true) {
                let name = &router.entry.name;
                let revoked_at = self.revoked_at;
                return Err(format!(
                    "{name} has the state from before {revoked_at:?} at {:?}",
                    self.now
                ));
            }
            let is_started = self.now.since(start.max(router.down_until)) > Duration::from_secs(2);
            let was_frozen = self.now.since(router.frozen_until) < Duration::from_secs(2);
            let is_cut = self.now.since(router.no_store_until) < Duration::from_secs(2);
            if !is_valid && is_started && !was_frozen && !is_cut {
                self.stale_moments += 1;
            }
        }
        Ok(())
    }
}

fn seeds() -> std::ops::Range<u64> {
    let start = variable("READERS_SEED", 0);
    start..start + variable("READERS_SEEDS", 40)
}

/// Guards against a router that accepts a revoked key too late because it followed a reader that was
/// frozen, cut off, killed or resumed, or that disagreed about who reads.
#[test]
fn a_revoked_key_is_refused_in_time_by_all_routers() {
    for seed in seeds() {
        for routers in [1, 2, 3, 7, 20] {
            let mut world = World::new(seed, routers, Bug::None);
            if let Err(fault) = world.run(Faults::All) {
                panic!("seed {seed}, {routers} routers: {fault}");
            }
        }
    }
}

/// Guards against a router without a fault of its own that has a change too late because it follows a
/// reader that has lost the store.
#[test]
fn a_change_is_in_force_in_time_while_readers_fail() {
    for seed in seeds() {
        for bounds in [SMALL, GROWN, LARGE] {
            for transfer in [Duration::ZERO, LONG_TRANSFER] {
                let mut world = World::with_bounds(seed, 12, Bug::None, bounds);
                world.transfer = transfer;
                world.change_at_fault = true;
                if let Err(fault) = world.run(Faults::Readers) {
                    panic!("seed {seed}, {bounds:?}, transfer {transfer:?}: {fault}");
                }
            }
        }
    }
}

/// Guards against a router that waits so long on a connection which has fallen silent that it has a change
/// too late.
#[test]
fn a_change_is_in_force_in_time_when_connections_fall_silent() {
    for seed in seeds() {
        for bounds in [SMALL, GROWN, LARGE] {
            for routers in [1, 2, 12] {
                let mut world = World::with_bounds(seed, routers, Bug::None, bounds);
                world.change_at_fault = true;
                if let Err(fault) = world.run(Faults::Silence) {
                    panic!("seed {seed}, {bounds:?}, {routers} routers: {fault}");
                }
            }
        }
    }
}

/// Guards against routers that refuse callers because their readers fail while the store is up.
#[test]
fn followers_stay_current_while_readers_fail() {
    for seed in seeds() {
        let mut world = World::new(seed, 20, Bug::None);
        world
            .run(Faults::Readers)
            .expect("no key is accepted too late");
        assert_eq!(world.stale_moments, 0, "seed {seed}");
    }
}

/// Guards against calls of the store that grow with the number of routers of a zone.
#[test]
fn calls_of_the_store_do_not_grow_with_followers() {
    let calls = |routers| {
        let mut world = World::new(1, routers, Bug::None);
        world
            .run(Faults::None)
            .expect("no key is accepted too late");
        assert_eq!(world.stale_moments, 0, "{routers} routers");
        // The first read of each router, and those while a router has missed a change.
        world.store_calls - u32::try_from(routers).expect("few routers")
    };
    let (few, many) = (calls(4), calls(40));
    assert!(
        f64::from(many) < 3.0 * f64::from(few),
        "{few} calls grew to {many}"
    );
}

/// Guards against checks that do not detect the injected faults.
#[test]
fn every_injected_fault_is_found() {
    let too_late = |bug, faults| {
        seeds().any(|seed| {
            let mut world = World::new(seed, 7, bug);
            world.run(faults).is_err() || (faults == Faults::Readers && world.stale_moments > 0)
        })
    };
    assert!(too_late(Bug::IgnoreAge, Faults::All));
    assert!(too_late(Bug::NeverFallBack, Faults::Readers));
}
