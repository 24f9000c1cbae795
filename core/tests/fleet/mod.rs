//! A simulated fleet: processes that exchange packets in memory, under a fake clock.

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

/// Interval between two ticks of each process.
const TICK: Duration = Duration::from_millis(200);

/// Address of the process with this port; each one has an IP address of its own, as on VMs.
fn address(port: u16) -> SocketAddr {
    ([10, 0, 0, u8::try_from(port - 1_000).unwrap()], port).into()
}

/// Faults that are applied to datagrams.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Share of datagrams lost, from 0 to 1.
    pub loss: f64,
    /// Share of datagrams that arrive twice, from 0 to 1.
    pub duplication: f64,
    /// Upper limit of the random extra delay, which also reorders datagrams.
    pub max_delay: Duration,
}

#[derive(Debug)]
pub struct Process {
    pub members: Members,
    pub paused: bool,
    pub down: bool,
}

/// The simulated processes and the network between them.
pub struct Fleet {
    pub now: Time,
    pub processes: Vec<Process>,
    pub faults: Faults,
    /// Groups of processes between which all datagrams are lost; the rest forms one more group.
    pub partition: Vec<BTreeSet<usize>>,
    pub random: SmallRng,
    /// Largest estimated size of a packet so far, in bytes.
    pub largest_packet: usize,
    /// Alters each packet in transit, to simulate faulty gossip.
    pub tamper: Option<fn(&mut Packet)>,
    links: RegionLinks,
    in_flight: BTreeMap<(Time, u64), (usize, Packet)>,
    sequence: u64,
}

impl Fleet {
    pub fn new(seed: u64, links: RegionLinks) -> Self {
        Self {
            now: Time::from_millis(1_000),
            processes: Vec::new(),
            faults: Faults::default(),
            partition: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
            largest_packet: 0,
            tamper: None,
            links,
            in_flight: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Adds a process with the first one as its seed.
    pub fn add(&mut self, name: &str, role: Role, zone: &str) {
        let port = 1_000 + u16::try_from(self.processes.len()).unwrap();
        let own = MemberRecord {
            name: ProcessName::new(name).unwrap(),
            role,
            zone: ZoneName::new(zone).unwrap(),
            address: address(port),
            incarnation: self.now.micros().into(),
            wire_versions: (1, 1),
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

    /// Restarts a process with an empty table and a new incarnation.
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

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let side = |at: usize| self.partition.iter().position(|side| side.contains(&at));
        side(a) != side(b)
    }

    fn send(&mut self, from: usize, out: Vec<(SocketAddr, Packet)>) {
        for (address, mut packet) in out {
            let size = Packet::head_size(&packet.from)
                + packet.records.iter().map(MemberRecord::size).sum::<usize>()
                + packet.items.iter().map(Item::size).sum::<usize>();
            self.largest_packet = self.largest_packet.max(size);
            assert!(size <= MAX_PACKET_BYTES, "packet of {size} bytes");
            if let Some(tamper) = self.tamper {
                tamper(&mut packet);
            }
            let to = usize::from(address.port() - 1_000);
            let copies = 1 + u32::from(self.random.random_bool(self.faults.duplication));
            for _ in 0..copies {
                if self.is_cut(from, to) || self.random.random_bool(self.faults.loss) {
                    continue;
                }
                let max_delay = u64::try_from(self.faults.max_delay.as_micros()).unwrap();
                let delay = 1_000 + self.random.random_range(0..=max_delay);
                self.sequence += 1;
                let at = self.now + Duration::from_micros(delay);
                self.in_flight
                    .insert((at, self.sequence), (to, packet.clone()));
            }
        }
    }

    /// Advances the clock by `span`, delivering packets and running ticks.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let next = self.now + TICK;
            while let Some(entry) = self.in_flight.first_entry() {
                if entry.key().0 > next {
                    break;
                }
                let ((at, _), (to, packet)) = entry.remove_entry();
                self.now = at;
                let unix = self.unix();
                let process = &mut self.processes[to];
                // The kernel drops datagrams that a paused process does not read.
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

    /// The state of the process `name` as process `at` sees it.
    pub fn state(&self, at: usize, name: &str) -> Option<MemberState> {
        self.processes[at].members.state(name)
    }
}
