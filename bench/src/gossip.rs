//! Measures the cost and speed of gossip, in simulation with datagrams in memory or with real
//! processes.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    error::Error,
    fmt::Write as _,
    net::SocketAddr,
    time::{Duration, Instant},
};

use argh::FromArgs;
use ebonyfall_core::{
    dissemination::{Item, ItemKey, MoveDecision, Value},
    doc::Document,
    exchange::Outgoing,
    member::{Members, RegionLinks},
    name::{ModelName, MoveName, ProcessName, ZoneName},
    peer::{Liveness, MemberRecord, MemberState, Role},
    time::Time,
};
use ebonyfall_wire::{
    auth::{Key, Keys},
    gossip::{Opener, Sealer},
};
use rand::{Rng, RngCore, SeedableRng, rngs::SmallRng};
use serde::Serialize;

use crate::processes;

/// IP and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Regions at the design size.
const MAX_REGIONS: usize = 7;
/// Zones at the design size.
const MAX_ZONES: usize = 23;

/// Measures the cost and speed of gossip and prints a report as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gossip")]
pub struct GossipArgs {
    /// members, 100 by default
    #[argh(option, default = "100")]
    members: usize,
    /// seed of all random numbers, 1 by default
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds over which steady traffic is measured, 10 by default
    #[argh(option, default = "10")]
    seconds: u64,
    /// changes of each kind whose propagation time is measured, 5 by default
    #[argh(option, default = "5")]
    changes: u64,
    /// relays per region; with 0, the default, every process sends to other regions
    #[argh(option, default = "0")]
    relays: usize,
    /// seconds for which the regions are cut off from each other, 0 by default
    #[argh(option, default = "0")]
    split: u64,
    /// share of datagrams lost in percent, 0 by default
    #[argh(option, default = "0")]
    loss: u32,
    /// report processor time and memory as well, which differ from run to run
    #[argh(switch)]
    costs: bool,
    /// start real processes on loopback instead, at most 250
    #[argh(switch)]
    processes: bool,
}

/// Time until a process knows a change, in milliseconds.
#[derive(Debug, Default, Serialize)]
struct PropagationTimes {
    p50_ms: u64,
    p99_ms: u64,
    max_ms: u64,
    /// Changes that did not reach every process within 30 s.
    unfinished: u64,
}

/// Traffic per daemon, sent and received, with IP and UDP headers.
#[derive(Debug, Default, Serialize)]
struct Traffic {
    messages_per_s: f64,
    bytes_per_s: f64,
    /// Traffic of the daemon with the most bytes.
    bytes_per_s_max: f64,
    /// Sum over all daemons, counted once per datagram.
    between_regions_bytes_per_s: f64,
}

#[derive(Debug, Default, Serialize)]
struct Split {
    seconds: u64,
    /// Entries in state gone when the split ends, summed over all tables.
    gone_at_end: usize,
    /// Entries in state suspect when the split ends, summed over all tables.
    suspect_at_end: usize,
    /// Time until every process regards every other one as alive or leaving, checked once a second
    /// from 30 s on; `None` if not within 300 s.
    healed_ms: Option<u64>,
    /// Entries after the recovery, by state: alive, suspect, leaving, gone.
    entries: [usize; 4],
    /// Traffic in the first 30 s after the split.
    after: Traffic,
}

#[derive(Debug, Default, Serialize)]
struct Report {
    members: usize,
    seed: u64,
    relays: usize,
    loss_percent: u32,
    steady: Traffic,
    /// Payload bytes, without IP and UDP headers.
    largest_datagram: usize,
    tip: PropagationTimes,
    verdict: PropagationTimes,
    leaving: PropagationTimes,
    /// Suspicions of live processes before the network split.
    false_suspicions: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    split: Option<Split>,
    /// Processor time of a daemon in steady running, encoding included, in percent of one core.
    #[serde(skip_serializing_if = "Option::is_none")]
    core_percent: Option<f64>,
    /// Processor time of a daemon per second, which is one gossip round.
    #[serde(skip_serializing_if = "Option::is_none")]
    core_us_per_round: Option<f64>,
    /// Resident memory of a membership table per entry.
    #[serde(skip_serializing_if = "Option::is_none")]
    bytes_per_member: Option<f64>,
}

/// A simulated process.
struct Node {
    members: Members,
    sealer: Sealer,
    opener: Opener,
    region: usize,
    /// Bytes sent and received since the start of the traffic measurement.
    bytes: u64,
}

/// An event of the process with the given index.
enum Event {
    Tick(usize),
    Arrival(usize, Vec<u8>),
}

struct Network {
    nodes: Vec<Node>,
    index_by_address: HashMap<SocketAddr, usize>,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    /// Scheduled events by sequence number, which orders events of the same time.
    event_by_number: HashMap<u64, Event>,
    last_number: u64,
    now: Time,
    random: SmallRng,
    loss_probability: f64,
    /// Whether datagrams between regions are dropped.
    split: bool,
    messages: u64,
    between_regions_bytes: u64,
    largest_datagram: usize,
    cpu_time: Duration,
}

/// Runs the measurement and prints the report as JSON; returns true.
///
/// # Errors
///
/// Fails when a process cannot be started.
///
/// # Panics
///
/// Panics when an encoded packet does not fit into a datagram.
pub async fn run(args: GossipArgs) -> Result<bool, Box<dyn Error>> {
    if args.processes {
        let report = processes::measure(args.members, args.seconds).await?;
        println!("{}", serde_json::to_string_pretty(&report)?);
        return Ok(true);
    }
    let mut network = Network::new(&args)?;
    let mut report = Report {
        members: args.members,
        seed: args.seed,
        relays: args.relays,
        loss_percent: args.loss,
        ..Report::default()
    };
    network.run(Duration::from_secs(5));
    report.steady = network.measure_traffic(Duration::from_secs(args.seconds));
    let processes = u32::try_from(args.members)?;
    let per_second = network.cpu_time / processes / u32::try_from(args.seconds)?;
    if args.costs {
        report.core_percent = Some(per_second.as_secs_f64() * 100.0);
        report.core_us_per_round = Some(per_second.as_secs_f64() * 1e6);
        report.bytes_per_member = Some(memory_per_member(args.members)?);
    }
    let mut number = 0;
    report.tip = network.measure_propagation(args.changes, || {
        number += 1;
        let (offset, digest) = (number.into(), number);
        (ItemKey::Tip, Value::Tip { offset, digest })
    });
    report.verdict = network.measure_propagation(args.changes, || {
        number += 1;
        let move_name = MoveName::new(format!("move-{number}"))
            .expect("the name has only letters, digits and hyphens");
        let key = ItemKey::Verdict(move_name, number.into());
        (key, Value::Verdict(MoveDecision::Faulty))
    });
    report.leaving = network.measure_leaving(args.changes);
    let nodes = network.nodes.iter();
    report.false_suspicions = nodes.map(|n| n.members.counters().suspected).sum();
    if args.split > 0 {
        report.split = Some(network.measure_split(args.split));
    }
    report.largest_datagram = network.largest_datagram;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(true)
}

fn keys() -> Keys {
    Keys::new(Key::new([7; 16]), None)
}

fn records(count: usize) -> Result<Vec<MemberRecord>, Box<dyn Error>> {
    let zones = MAX_ZONES.min(count.div_ceil(3));
    (0..count)
        .map(|index| {
            let index16 = u16::try_from(index)?;
            Ok(MemberRecord {
                name: ProcessName::new(format!("process-{index:04}"))?,
                role: if index % 4 == 0 {
                    Role::Router
                } else {
                    Role::Agent(None)
                },
                zone: ZoneName::new(format!("zone-{}", index % zones))?,
                address: (
                    [10, 0, index16.to_be_bytes()[0], index16.to_be_bytes()[1]],
                    7_000,
                )
                    .into(),
                incarnation: (1_790_000_000_000_000 + u64::from(index16)).into(),
                wire_versions: (1, 1),
                leaving: false,
                sequence: 0,
                liveness: Liveness::Alive,
            })
        })
        .collect()
}

/// Returns the mean resident bytes of a membership table per entry.
fn memory_per_member(count: usize) -> Result<f64, Box<dyn Error>> {
    let tables = (200_000 / count).clamp(20, 2_000);
    let records = records(count)?;
    let before = resident_bytes()?;
    let mut held_tables = Vec::with_capacity(tables);
    for _ in 0..tables {
        let links = RegionLinks::default();
        let mut members = Members::new(records[0].clone(), Vec::new(), links);
        let copies = records.iter().map(|record| {
            let mut record = record.clone();
            record.name = ProcessName::new(record.name.as_str()).expect("the copied name is valid");
            record.zone = ZoneName::new(record.zone.as_str()).expect("the copied name is valid");
            record
        });
        members.import_records(&copies.collect::<Vec<_>>(), Time::ZERO);
        held_tables.push(members);
    }
    let growth = resident_bytes()?.saturating_sub(before);
    #[expect(clippy::cast_precision_loss, reason = "bytes of memory fit an f64")]
    Ok(growth as f64 / (tables * count) as f64)
}

fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .ok_or("no resident size in /proc/self/statm")?;
    Ok(pages.parse::<u64>()? * 4096)
}

impl Network {
    fn new(args: &GossipArgs) -> Result<Self, Box<dyn Error>> {
        let records = records(args.members)?;
        let zones = MAX_ZONES.min(args.members.div_ceil(3));
        let regions = MAX_REGIONS.min(zones.div_ceil(3));
        let mut text = String::from("[environment]\nname = bench\n");
        for zone in 0..zones {
            let region = zone % regions;
            let _infallible = writeln!(text, "[zone zone-{zone}]\nregion = region-{region}");
        }
        let document = Document::parse("bench", &text)
            .map_err(|faults| format!("the benchmark document is invalid: {faults:?}"))?;
        let links = match args.relays {
            0 => RegionLinks::EveryProcess,
            count => RegionLinks::Relays(count),
        };
        let now = Time::from_millis(1_000);
        let nodes = records.iter().enumerate().map(|(index, record)| {
            let mut members = Members::new(record.clone(), Vec::new(), links);
            members.apply_document(&document, now);
            members.import_records(&records, now);
            Node {
                members,
                sealer: Sealer::new(keys(), record.incarnation),
                opener: Opener::new(keys()),
                region: index % zones % regions,
                bytes: 0,
            }
        });
        let nodes: Vec<_> = nodes.collect();
        let addresses = records.iter().enumerate();
        let mut network = Self {
            index_by_address: addresses.map(|(index, r)| (r.address, index)).collect(),
            nodes,
            events: BinaryHeap::new(),
            event_by_number: HashMap::new(),
            last_number: 0,
            now,
            random: SmallRng::seed_from_u64(args.seed),
            loss_probability: f64::from(args.loss) / 100.0,
            split: false,
            messages: 0,
            between_regions_bytes: 0,
            largest_datagram: 0,
            cpu_time: Duration::ZERO,
        };
        for index in 0..args.members {
            let start = Duration::from_micros(network.random.random_range(0..1_000_000));
            network.schedule(now + start, Event::Tick(index));
        }
        Ok(network)
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.last_number += 1;
        self.events.push(Reverse((at, self.last_number)));
        self.event_by_number.insert(self.last_number, event);
    }

    fn unix_seconds(&self) -> u64 {
        self.now.millis() / 1_000
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.step(end).is_some() {}
        self.now = end;
    }

    /// Handles the next event and returns its process; `None` if no event is due by `end`.
    fn step(&mut self, end: Time) -> Option<usize> {
        let Reverse((at, number)) = *self.events.peek()?;
        if at > end {
            return None;
        }
        self.events.pop();
        self.now = at;
        let unix_seconds = self.unix_seconds();
        let event = self.event_by_number.remove(&number)?;
        let start = Instant::now();
        let mut random = || self.random.next_u64();
        let (index, out) = match &event {
            Event::Tick(index) => {
                let members = &mut self.nodes[*index].members;
                if at.millis() / 200 % 5 == 0 {
                    put_load(members, *index, unix_seconds);
                }
                (*index, members.tick(at, unix_seconds, &mut random))
            }
            Event::Arrival(index, datagram) => {
                let node = &mut self.nodes[*index];
                node.bytes += datagram.len() as u64 + HEADER_BYTES;
                let packet = node.opener.open(datagram);
                let packet = packet.expect("simulated datagrams are delivered unaltered");
                (
                    *index,
                    node.members.receive(&packet, at, unix_seconds, &mut random),
                )
            }
        };
        self.send(index, out);
        self.cpu_time += start.elapsed();
        if matches!(event, Event::Tick(_)) {
            self.schedule(at + TICK_INTERVAL, Event::Tick(index));
        }
        Some(index)
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for (address, packet) in out {
            let node = &mut self.nodes[from];
            let datagram = node.sealer.seal(&packet);
            let datagram = datagram.expect("the core limits packets to the size of a datagram");
            let Some(&to) = self.index_by_address.get(&address) else {
                continue;
            };
            let bytes = datagram.len() as u64 + HEADER_BYTES;
            node.bytes += bytes;
            self.messages += 1;
            self.largest_datagram = self.largest_datagram.max(datagram.len());
            let crosses_regions = self.nodes[from].region != self.nodes[to].region;
            if crosses_regions {
                self.between_regions_bytes += bytes;
            }
            if crosses_regions && self.split || self.random.random_bool(self.loss_probability) {
                continue;
            }
            // One-way delay: up to 1.5 ms between zones, 20 ms to 80 ms between regions.
            let delay = if crosses_regions {
                self.random.random_range(20_000..80_000)
            } else {
                self.random.random_range(200..1_500)
            };
            let at = self.now + Duration::from_micros(delay);
            self.schedule(at, Event::Arrival(to, datagram));
        }
    }

    /// Runs for `span` and returns the traffic in that time.
    #[expect(clippy::cast_precision_loss, reason = "sums of bytes fit an f64")]
    fn measure_traffic(&mut self, span: Duration) -> Traffic {
        (self.messages, self.between_regions_bytes, self.cpu_time) = (0, 0, Duration::ZERO);
        self.nodes.iter_mut().for_each(|node| node.bytes = 0);
        self.run(span);
        let seconds = span.as_secs_f64();
        let count = self.nodes.len() as f64;
        let bytes = self.nodes.iter().map(|node| node.bytes);
        let max_bytes = bytes.clone().max().unwrap_or(0);
        Traffic {
            messages_per_s: 2.0 * self.messages as f64 / count / seconds,
            bytes_per_s: bytes.sum::<u64>() as f64 / count / seconds,
            bytes_per_s_max: max_bytes as f64 / seconds,
            between_regions_bytes_per_s: self.between_regions_bytes as f64 / seconds,
        }
    }

    /// Measures how long each process takes to know a change; changes are made one at a time.
    fn measure_propagation(
        &mut self,
        changes: u64,
        mut next_item: impl FnMut() -> (ItemKey, Value),
    ) -> PropagationTimes {
        let mut times = Vec::new();
        let mut unfinished = 0;
        for _ in 0..changes {
            let (key, value) = next_item();
            let origin = self.random.random_range(0..self.nodes.len());
            let item = Item {
                key: key.clone(),
                value: value.clone(),
            };
            let unix_seconds = self.unix_seconds();
            let members = &mut self.nodes[origin].members;
            members.put(&item, unix_seconds);
            let mut out = Vec::new();
            members.flush(&mut || self.random.next_u64(), &mut out);
            self.send(origin, out);
            let knows = |members: &Members| members.store().get(&key) == Some(&value);
            unfinished += u64::from(!self.run_until_known(origin, knows, &mut times));
            self.run(Duration::from_secs(3));
        }
        summarise(times, unfinished)
    }

    fn measure_leaving(&mut self, changes: u64) -> PropagationTimes {
        let mut times = Vec::new();
        let mut unfinished = 0;
        for _ in 0..changes {
            let origin = self.random.random_range(0..self.nodes.len());
            let members = &mut self.nodes[origin].members;
            members.begin_leaving();
            let name = members.own().name.clone();
            let mut out = Vec::new();
            members.flush(&mut || self.random.next_u64(), &mut out);
            self.send(origin, out);
            let knows =
                |members: &Members| members.state(name.as_str()) == Some(MemberState::Leaving);
            unfinished += u64::from(!self.run_until_known(origin, knows, &mut times));
            self.run(Duration::from_secs(3));
        }
        summarise(times, unfinished)
    }

    /// Runs until every process knows a change, for at most 30 s, and appends each one's delay in
    /// milliseconds to `times`. Returns false if some processes do not know the change by then.
    fn run_until_known(
        &mut self,
        origin: usize,
        knows: impl Fn(&Members) -> bool,
        times: &mut Vec<u64>,
    ) -> bool {
        let start = self.now;
        let end = start + Duration::from_secs(30);
        let mut reached = vec![false; self.nodes.len()];
        reached[origin] = true;
        let mut remaining = reached.len() - 1;
        while remaining > 0 {
            let Some(index) = self.step(end) else {
                return false;
            };
            if !reached[index] && knows(&self.nodes[index].members) {
                reached[index] = true;
                remaining -= 1;
                times.push(self.now.millis() - start.millis());
            }
        }
        true
    }

    fn count_states(&self, wanted: MemberState) -> usize {
        let nodes = self.nodes.iter();
        nodes
            .map(|node| {
                let records = node.members.records();
                records.filter(|(_, state)| *state == wanted).count()
            })
            .sum()
    }

    /// Cuts the regions off from each other for some seconds and measures the recovery.
    fn measure_split(&mut self, seconds: u64) -> Split {
        self.split = true;
        self.run(Duration::from_secs(seconds));
        let (gone, suspect) = (
            self.count_states(MemberState::Gone),
            self.count_states(MemberState::Suspect),
        );
        self.split = false;
        let all = self.nodes.len() * (self.nodes.len() - 1);
        let missing = |network: &Self| {
            all - network.count_states(MemberState::Alive)
                - network.count_states(MemberState::Leaving)
        };
        let start = self.now;
        let after = self.measure_traffic(Duration::from_secs(30));
        let mut healed = self.now;
        while missing(self) > 0 && healed.since(start).as_secs() < 300 {
            self.run(Duration::from_secs(1));
            healed = self.now;
        }
        let states = [
            MemberState::Alive,
            MemberState::Suspect,
            MemberState::Leaving,
            MemberState::Gone,
        ];
        let entries = states.map(|state| self.count_states(state));
        Split {
            seconds,
            gone_at_end: gone,
            suspect_at_end: suspect,
            healed_ms: (missing(self) == 0).then(|| healed.millis() - start.millis()),
            entries,
            after,
        }
    }
}

fn put_load(members: &mut Members, index: usize, unix_seconds: u64) {
    if members.own().role == Role::Router {
        return;
    }
    let model = ModelName::new(format!("model-{}", index % 16))
        .expect("the name has only letters, digits and hyphens");
    let running = u32::try_from(unix_seconds % 16).unwrap_or(0);
    let item = Item {
        key: ItemKey::AgentLoad(model, members.own().name.clone()),
        value: Value::Load {
            stamp: unix_seconds,
            running,
            capacity: 32,
        },
    };
    members.put(&item, unix_seconds);
}

fn summarise(mut times: Vec<u64>, unfinished: u64) -> PropagationTimes {
    times.sort_unstable();
    let quantile = |percent: usize| {
        let index = (times.len() * percent).div_ceil(100).max(1) - 1;
        times.get(index).copied().unwrap_or(0)
    };
    PropagationTimes {
        p50_ms: quantile(50),
        p99_ms: quantile(99),
        max_ms: quantile(100),
        unfinished,
    }
}
