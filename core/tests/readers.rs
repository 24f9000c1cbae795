//! Tests of which routers of a zone read the store, in seeded schedules of a zone's routers: routers
//! freeze, resume, are killed, replaced and cut off from the store or from each other, and the store
//! is down or answers late. A key is revoked meanwhile.

mod common;

use std::time::Duration;

use common::variable;
use ebonyfall_core::{
    lease::Lease,
    name::ProcessName,
    readers::{self, Source, SourceChoice, ZONE_READERS, ZoneRouter},
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Time from its revocation after which a key must be refused.
const REVOCATION_BOUND: Duration = Duration::from_secs(5);
/// Age of the state from which a router reads the store.
const MAX_AGE: Duration = Duration::from_millis(2_400);
/// Longest wait of a read from the store.
const STORE_WAIT: Duration = Duration::from_millis(1_800);
/// The same for a router that others follow.
const SHARED_STORE_WAIT: Duration = Duration::from_millis(900);
/// Longest wait of a read from a reader.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);
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

/// What happens to routers and the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Faults {
    None,
    /// The zone's readers freeze, are killed or lose the store; the store itself is up.
    Readers,
    /// Anything happens to any router, and the store is down at times.
    All,
}

/// A read that has been sent.
#[derive(Debug, Clone, Copy)]
struct Read {
    source: Source,
    sent_at: Time,
    wait: Duration,
}

struct Router {
    entry: ZoneRouter,
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
    fn new(number: usize) -> Self {
        let name: ProcessName = format!("router-{number}").parse().expect("it is a name");
        let address = format!("127.0.0.1:{}", 7_000 + number).parse();
        Self {
            entry: ZoneRouter::new(name, address.expect("it is an address")),
            key_valid: None,
            lease: Lease::new(REVOCATION_BOUND),
            choice: SourceChoice::new(MAX_AGE),
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
}

struct World {
    rng: SmallRng,
    bug: Bug,
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
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            bug,
            now: Time::from_millis(1_000),
            routers: (0..routers).map(Router::new).collect(),
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
        let number = match faults {
            Faults::None => return,
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
        match self.rng.random_range(0..kinds) {
            0 => self.routers[number].frozen_until = until,
            1 => {
                let entry = self.routers[number].entry.clone();
                self.routers[number] = Router {
                    entry,
                    down_until: until,
                    ..Router::new(number)
                };
            }
            2 => self.routers[number].no_store_until = until,
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
                let up = now >= self.store_down_until && now >= self.routers[number].no_store_until;
                let key_valid = now < self.revoked_at;
                let router = &mut self.routers[number];
                let changed = router.key_valid != Some(key_valid);
                if up && (changed || due) {
                    // As the reader of the stream does: an answer with a change confirms nothing.
                    router.wait = if changed { Duration::ZERO } else { STORE_WAIT };
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
            (reachable && (changed || due)).then_some((reader.key_valid, confirmed))
        });
        let bug = self.bug;
        let random = self.rng.random();
        let router = &mut self.routers[number];
        let failed = match answer {
            Some((key_valid, confirmed)) => {
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
            Source::Reader(_) => FOLLOW_WAIT,
            Source::Store if readers::has_followers(own, &router.members) => {
                router.wait.min(SHARED_STORE_WAIT)
            }
            Source::Store => router.wait,
        };
        router.read = Some(Read {
            source,
            sent_at: now,
            wait,
        });
        self.store_calls += u32::from(source == Source::Store);
    }

    fn check(&mut self, start: Time) -> Result<(), String> {
        for router in self.routers.iter().filter(|router| router.runs(self.now)) {
            let is_valid = router.lease.is_valid(self.now);
            let accepts = is_valid && router.key_valid == Some(true);
            if accepts && self.now.since(self.revoked_at) > REVOCATION_BOUND {
                let name = &router.entry.name;
                return Err(format!("{name} accepts the revoked key at {:?}", self.now));
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
