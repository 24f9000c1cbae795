//! Processes whose packets travel through memory, under a fake clock.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use ebonyfall_core::{
    dissemination::{Item, MAX_PACKET_BYTES, Packet},
    member::{Members, RegionLinks},
    name::{ProcessName, ZoneName},
    peer::{Liveness, MemberRecord, MemberState, Role},
    time::Time,
};
use rand::{Rng, RngCore, SeedableRng, rngs::SmallRng};

/// Time between two ticks of a process.
const TICK: Duration = Duration::from_millis(200);

/// Each process has an IP address of its own, as on VMs.
fn address(port: u16) -> SocketAddr {
    ([10, 0, 0, u8::try_from(port - 1_000).unwrap()], port).into()
}

/// What happens to datagrams.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Share that is lost.
    pub lost: f64,
    /// Share that arrives twice.
    pub doubled: f64,
    /// Longest delay; datagrams overtake each other.
    pub delay: Duration,
}

#[derive(Debug)]
pub struct Process {
    pub members: Members,
    pub paused: bool,
    pub down: bool,
}

/// A fleet in memory.
pub struct Fleet {
    pub now: Time,
    pub processes: Vec<Process>,
    pub faults: Faults,
    /// Sides between which nothing arrives.
    pub split: Vec<BTreeSet<usize>>,
    pub random: SmallRng,
    /// Largest packet, in bytes by its estimate.
    pub largest: usize,
    /// Changes each packet on its way, for broken variants.
    pub broken: Option<fn(&mut Packet)>,
    links: RegionLinks,
    flight: BTreeMap<(Time, u64), (usize, Packet)>,
    order: u64,
}

impl Fleet {
    pub fn new(seed: u64, links: RegionLinks) -> Self {
        Self {
            now: Time::from_millis(1_000),
            processes: Vec::new(),
            faults: Faults::default(),
            split: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
            largest: 0,
            broken: None,
            links,
            flight: BTreeMap::new(),
            order: 0,
        }
    }

    /// Adds a process; all others are reached through the first one.
    pub fn add(&mut self, name: &str, role: Role, zone: &str) {
        let port = 1_000 + u16::try_from(self.processes.len()).unwrap();
        let own = MemberRecord {
            name: ProcessName::new(name).unwrap(),
            role,
            zone: ZoneName::new(zone).unwrap(),
            address: address(port),
            incarnation: self.now.micros().into(),
            wire: (1, 1),
            leaving: false,
            sequence: 0,
            liveness: Liveness::Alive,
        };
        self.processes.push(Process {
            members: Members::new(own, vec![address(1_000)], self.links),
            paused: false,
            down: false,
        });
    }

    pub fn find(&self, name: &str) -> usize {
        let found = |process: &Process| process.members.own().name.as_str() == name;
        self.processes.iter().position(found).expect("a known name")
    }

    /// Starts a process again, with nothing remembered.
    pub fn restart(&mut self, at: usize) {
        let mut own = self.processes[at].members.own().clone();
        own.incarnation = self.now.micros().into();
        (own.leaving, own.sequence) = (false, 0);
        let seeds = vec![address(1_000), address(1_001)];
        self.processes[at] = Process {
            members: Members::new(own, seeds, self.links),
            paused: false,
            down: false,
        };
    }

    pub fn unix(&self) -> u64 {
        self.now.millis() / 1_000
    }

    pub fn put(&mut self, at: usize, item: &Item) {
        let unix = self.unix();
        self.processes[at].members.put(item, unix);
    }

    fn cut(&self, a: usize, b: usize) -> bool {
        let side = |at: usize| self.split.iter().position(|side| side.contains(&at));
        side(a) != side(b)
    }

    fn send(&mut self, from: usize, out: Vec<(SocketAddr, Packet)>) {
        for (address, mut packet) in out {
            let size = Packet::head_size(&packet.from)
                + packet.records.iter().map(MemberRecord::size).sum::<usize>()
                + packet.items.iter().map(Item::size).sum::<usize>();
            self.largest = self.largest.max(size);
            assert!(size <= MAX_PACKET_BYTES, "packet of {size} bytes");
            if let Some(broken) = self.broken {
                broken(&mut packet);
            }
            let to = usize::from(address.port() - 1_000);
            let copies = 1 + u32::from(self.random.random_bool(self.faults.doubled));
            for _ in 0..copies {
                if self.cut(from, to) || self.random.random_bool(self.faults.lost) {
                    continue;
                }
                let longest = u64::try_from(self.faults.delay.as_micros()).unwrap();
                let delay = 1_000 + self.random.random_range(0..=longest);
                self.order += 1;
                let at = self.now + Duration::from_micros(delay);
                self.flight.insert((at, self.order), (to, packet.clone()));
            }
        }
    }

    /// Lets `span` pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let next = self.now + TICK;
            while let Some(entry) = self.flight.first_entry() {
                if entry.key().0 > next {
                    break;
                }
                let ((at, _), (to, packet)) = entry.remove_entry();
                self.now = at;
                let unix = self.unix();
                let process = &mut self.processes[to];
                // The kernel drops what a paused process does not read.
                if process.paused || process.down {
                    continue;
                }
                let mut random = || self.random.next_u64();
                let out = process.members.receive(&packet, at, unix, &mut random);
                self.send(to, out);
            }
            self.now = next;
            let unix = self.unix();
            for at in 0..self.processes.len() {
                let process = &mut self.processes[at];
                if process.paused || process.down {
                    continue;
                }
                let mut random = || self.random.next_u64();
                let out = process.members.tick(next, unix, &mut random);
                self.send(at, out);
            }
        }
    }

    /// What process `at` makes of `name`.
    pub fn state(&self, at: usize, name: &str) -> Option<MemberState> {
        self.processes[at].members.state(name)
    }
}
