//! Cost and speed of gossip: the core with datagrams in memory, or real processes.

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

/// Bytes of IP and UDP headers on each datagram.
const HEADERS: u64 = 28;
/// Time between two ticks of a process.
const TICK: Duration = Duration::from_millis(200);
/// Regions and zones of the size planned for.
const REGIONS: usize = 7;
const ZONES: usize = 23;

/// Measures gossip and prints the figures as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gossip")]
pub struct GossipArgs {
    /// members, 100 by default
    #[argh(option, default = "100")]
    members: usize,
    /// seed, 1 by default
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds of steady running, 10 by default
    #[argh(option, default = "10")]
    seconds: u64,
    /// changes of each kind whose spread is measured, 5 by default
    #[argh(option, default = "5")]
    changes: u64,
    /// relays of each region; 0, the default, lets every process send to other regions
    #[argh(option, default = "0")]
    relays: usize,
    /// seconds for which all regions lose each other, 0 by default
    #[argh(option, default = "0")]
    split: u64,
    /// share of datagrams lost in percent, 0 by default
    #[argh(option, default = "0")]
    loss: u32,
    /// adds processor time, which differs from run to run
    #[argh(switch)]
    costs: bool,
    /// starts real processes on loopback instead, at most 250
    #[argh(switch)]
    processes: bool,
}

/// Time until processes know a change, in milliseconds.
#[derive(Debug, Default, Serialize)]
struct Spread {
    p50_ms: u64,
    p99_ms: u64,
    max_ms: u64,
    /// Changes that did not reach every process within 30 s.
    unfinished: u64,
}

/// Traffic of a daemon, sent and received, with IP and UDP headers.
#[derive(Debug, Default, Serialize)]
struct Traffic {
    messages_per_s: f64,
    bytes_per_s: f64,
    bytes_per_s_max: f64,
    between_regions_bytes_per_s: f64,
}

#[derive(Debug, Default, Serialize)]
struct Split {
    seconds: u64,
    gone_at_end: usize,
    suspect_at_end: usize,
    /// Until every process takes every other one to be alive again, `None` if not within 300 s.
    healed_ms: Option<u64>,
    /// Entries at the end by state: alive, suspect, leaving, gone.
    entries: [usize; 4],
    /// Traffic in the 30 s after the link is back.
    after: Traffic,
}

#[derive(Debug, Default, Serialize)]
struct Report {
    members: usize,
    seed: u64,
    relays: usize,
    loss_percent: u32,
    steady: Traffic,
    largest_datagram: usize,
    tip: Spread,
    verdict: Spread,
    leaving: Spread,
    false_suspicions: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    split: Option<Split>,
    /// Processor time of a daemon as a share of one core, with encoding, in steady running.
    #[serde(skip_serializing_if = "Option::is_none")]
    core_percent: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    core_us_per_round: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    bytes_per_member: Option<f64>,
}

struct Node {
    members: Members,
    sealer: Sealer,
    opener: Opener,
    region: usize,
    bytes: u64,
}

enum Event {
    Tick(usize),
    Arrival(usize, Vec<u8>),
}

struct Net {
    nodes: Vec<Node>,
    by_address: HashMap<SocketAddr, usize>,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    content: HashMap<u64, Event>,
    order: u64,
    now: Time,
    random: SmallRng,
    loss: f64,
    split: bool,
    messages: u64,
    between: u64,
    largest: usize,
    spent: Duration,
}

/// Runs the measurement; true unless a process failed to start.
///
/// # Errors
///
/// Fails when a process cannot be started.
///
/// # Panics
///
/// Panics when the core makes a packet that does not fit a datagram.
pub async fn run(args: GossipArgs) -> Result<bool, Box<dyn Error>> {
    if args.processes {
        let report = processes::measure(args.members, args.seconds).await?;
        println!("{}", serde_json::to_string_pretty(&report)?);
        return Ok(true);
    }
    let mut net = Net::new(&args)?;
    let mut report = Report {
        members: args.members,
        seed: args.seed,
        relays: args.relays,
        loss_percent: args.loss,
        ..Report::default()
    };
    net.run(Duration::from_secs(5));
    report.steady = net.traffic(Duration::from_secs(args.seconds));
    let processes = u32::try_from(args.members)?;
    let per_second = net.spent / processes / u32::try_from(args.seconds)?;
    if args.costs {
        report.core_percent = Some(per_second.as_secs_f64() * 100.0);
        report.core_us_per_round = Some(per_second.as_secs_f64() * 1e6);
        report.bytes_per_member = Some(memory(args.members)?);
    }
    let mut number = 0;
    report.tip = net.spread(args.changes, || {
        number += 1;
        let (offset, digest) = (number.into(), number);
        (ItemKey::Tip, Value::Tip { offset, digest })
    });
    report.verdict = net.spread(args.changes, || {
        number += 1;
        let step = MoveName::new(format!("move-{number}")).expect("letters and digits");
        let key = ItemKey::Verdict(step, number.into());
        (key, Value::Verdict(MoveDecision::Faulty))
    });
    report.leaving = net.spread_leaving(args.changes);
    let nodes = net.nodes.iter();
    report.false_suspicions = nodes.map(|n| n.members.counters().suspected).sum();
    if args.split > 0 {
        report.split = Some(net.split(args.split));
    }
    report.largest_datagram = net.largest;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(true)
}

fn keys() -> Keys {
    Keys::new(Key::new([7; 16]), None)
}

fn records(count: usize) -> Result<Vec<MemberRecord>, Box<dyn Error>> {
    let zones = ZONES.min(count.div_ceil(3));
    (0..count)
        .map(|at| {
            let at16 = u16::try_from(at)?;
            Ok(MemberRecord {
                name: ProcessName::new(format!("process-{at:04}"))?,
                role: if at % 4 == 0 {
                    Role::Router
                } else {
                    Role::Agent(None)
                },
                zone: ZoneName::new(format!("zone-{}", at % zones))?,
                address: ([10, 0, at16.to_be_bytes()[0], at16.to_be_bytes()[1]], 7_000).into(),
                incarnation: (1_790_000_000_000_000 + u64::from(at16)).into(),
                wire_versions: (1, 1),
                leaving: false,
                sequence: 0,
                liveness: Liveness::Alive,
            })
        })
        .collect()
}

/// Resident bytes of one table for each member that it holds.
fn memory(count: usize) -> Result<f64, Box<dyn Error>> {
    let tables = (200_000 / count).clamp(20, 2_000);
    let records = records(count)?;
    let before = resident()?;
    let mut kept = Vec::with_capacity(tables);
    for _ in 0..tables {
        let links = RegionLinks::default();
        let mut members = Members::new(records[0].clone(), Vec::new(), links);
        let own = records.iter().map(|record| {
            let mut record = record.clone();
            record.name = ProcessName::new(record.name.as_str()).expect("it was a name");
            record.zone = ZoneName::new(record.zone.as_str()).expect("it was a name");
            record
        });
        members.import_records(&own.collect::<Vec<_>>(), Time::ZERO);
        kept.push(members);
    }
    let grown = resident()?.saturating_sub(before);
    #[expect(clippy::cast_precision_loss, reason = "bytes of memory fit an f64")]
    Ok(grown as f64 / (tables * count) as f64)
}

fn resident() -> Result<u64, Box<dyn Error>> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).ok_or("statm has no pages")?;
    Ok(pages.parse::<u64>()? * 4096)
}

impl Net {
    fn new(args: &GossipArgs) -> Result<Self, Box<dyn Error>> {
        let records = records(args.members)?;
        let zones = ZONES.min(args.members.div_ceil(3));
        let regions = REGIONS.min(zones.div_ceil(3));
        let mut text = String::from("[environment]\nname = bench\n");
        for zone in 0..zones {
            let region = zone % regions;
            let _infallible = writeln!(text, "[zone zone-{zone}]\nregion = region-{region}");
        }
        let document = Document::parse("bench", &text)
            .map_err(|faults| format!("the document has faults: {faults:?}"))?;
        let links = match args.relays {
            0 => RegionLinks::EveryProcess,
            count => RegionLinks::Relays(count),
        };
        let now = Time::from_millis(1_000);
        let nodes = records.iter().enumerate().map(|(at, record)| {
            let mut members = Members::new(record.clone(), Vec::new(), links);
            members.apply_document(&document, now);
            members.import_records(&records, now);
            Node {
                members,
                sealer: Sealer::new(keys(), record.incarnation),
                opener: Opener::new(keys()),
                region: at % zones % regions,
                bytes: 0,
            }
        });
        let nodes: Vec<_> = nodes.collect();
        let addresses = records.iter().enumerate();
        let mut net = Self {
            by_address: addresses.map(|(at, r)| (r.address, at)).collect(),
            nodes,
            events: BinaryHeap::new(),
            content: HashMap::new(),
            order: 0,
            now,
            random: SmallRng::seed_from_u64(args.seed),
            loss: f64::from(args.loss) / 100.0,
            split: false,
            messages: 0,
            between: 0,
            largest: 0,
            spent: Duration::ZERO,
        };
        for at in 0..args.members {
            let start = Duration::from_micros(net.random.random_range(0..1_000_000));
            net.schedule(now + start, Event::Tick(at));
        }
        Ok(net)
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order)));
        self.content.insert(self.order, event);
    }

    fn unix(&self) -> u64 {
        self.now.millis() / 1_000
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.step(end).is_some() {}
        self.now = end;
    }

    /// Handles the next event until `end`; returns the process that may have learnt something.
    fn step(&mut self, end: Time) -> Option<usize> {
        let Reverse((at, order)) = *self.events.peek()?;
        if at > end {
            return None;
        }
        self.events.pop();
        self.now = at;
        let unix = self.unix();
        let event = self.content.remove(&order)?;
        let start = Instant::now();
        let mut random = || self.random.next_u64();
        let (who, out) = match &event {
            Event::Tick(who) => {
                let members = &mut self.nodes[*who].members;
                if at.millis() / 200 % 5 == 0 {
                    report_load(members, *who, unix);
                }
                (*who, members.tick(at, unix, &mut random))
            }
            Event::Arrival(who, datagram) => {
                let node = &mut self.nodes[*who];
                node.bytes += datagram.len() as u64 + HEADERS;
                let packet = node.opener.open(datagram);
                let packet = packet.expect("nothing alters datagrams here");
                (*who, node.members.receive(&packet, at, unix, &mut random))
            }
        };
        self.send(who, out);
        self.spent += start.elapsed();
        if matches!(event, Event::Tick(_)) {
            self.schedule(at + TICK, Event::Tick(who));
        }
        Some(who)
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for (address, packet) in out {
            let node = &mut self.nodes[from];
            let datagram = node.sealer.seal(&packet);
            let datagram = datagram.expect("the core keeps packets below their bound");
            let Some(&to) = self.by_address.get(&address) else {
                continue;
            };
            let bytes = datagram.len() as u64 + HEADERS;
            node.bytes += bytes;
            self.messages += 1;
            self.largest = self.largest.max(datagram.len());
            let far = self.nodes[from].region != self.nodes[to].region;
            if far {
                self.between += bytes;
            }
            if far && self.split || self.random.random_bool(self.loss) {
                continue;
            }
            // One way: 1.5 ms between zones, up to 80 ms between regions.
            let delay = if far {
                self.random.random_range(20_000..80_000)
            } else {
                self.random.random_range(200..1_500)
            };
            let at = self.now + Duration::from_micros(delay);
            self.schedule(at, Event::Arrival(to, datagram));
        }
    }

    /// Runs for `span` and returns the traffic of a daemon, sent and received.
    #[expect(clippy::cast_precision_loss, reason = "sums of bytes fit an f64")]
    fn traffic(&mut self, span: Duration) -> Traffic {
        (self.messages, self.between, self.spent) = (0, 0, Duration::ZERO);
        self.nodes.iter_mut().for_each(|node| node.bytes = 0);
        self.run(span);
        let seconds = span.as_secs_f64();
        let count = self.nodes.len() as f64;
        let bytes = self.nodes.iter().map(|node| node.bytes);
        let most = bytes.clone().max().unwrap_or(0);
        Traffic {
            messages_per_s: 2.0 * self.messages as f64 / count / seconds,
            bytes_per_s: bytes.sum::<u64>() as f64 / count / seconds,
            bytes_per_s_max: most as f64 / seconds,
            between_regions_bytes_per_s: self.between as f64 / seconds,
        }
    }

    /// Measures how long changes take to reach every process, one after the other.
    fn spread(&mut self, changes: u64, mut make: impl FnMut() -> (ItemKey, Value)) -> Spread {
        let mut times = Vec::new();
        let mut unfinished = 0;
        for _ in 0..changes {
            let (key, value) = make();
            let first = self.random.random_range(0..self.nodes.len());
            let item = Item {
                key: key.clone(),
                value: value.clone(),
            };
            let unix = self.unix();
            let members = &mut self.nodes[first].members;
            members.put(&item, unix);
            let mut out = Vec::new();
            members.flush(&mut || self.random.next_u64(), &mut out);
            self.send(first, out);
            let knows = |members: &Members| members.store().get(&key) == Some(&value);
            unfinished += u64::from(!self.until_all(first, knows, &mut times));
            self.run(Duration::from_secs(3));
        }
        spread(times, unfinished)
    }

    fn spread_leaving(&mut self, changes: u64) -> Spread {
        let mut times = Vec::new();
        let mut unfinished = 0;
        for _ in 0..changes {
            let first = self.random.random_range(0..self.nodes.len());
            let members = &mut self.nodes[first].members;
            members.begin_leaving();
            let name = members.own().name.clone();
            let mut out = Vec::new();
            members.flush(&mut || self.random.next_u64(), &mut out);
            self.send(first, out);
            let knows =
                |members: &Members| members.state(name.as_str()) == Some(MemberState::Leaving);
            unfinished += u64::from(!self.until_all(first, knows, &mut times));
            self.run(Duration::from_secs(3));
        }
        spread(times, unfinished)
    }

    /// Runs until all processes know a change, at most 30 s; notes when each one learnt it.
    fn until_all(
        &mut self,
        first: usize,
        knows: impl Fn(&Members) -> bool,
        times: &mut Vec<u64>,
    ) -> bool {
        let start = self.now;
        let end = start + Duration::from_secs(30);
        let mut reached = vec![false; self.nodes.len()];
        reached[first] = true;
        let mut left = reached.len() - 1;
        while left > 0 {
            let Some(who) = self.step(end) else {
                return false;
            };
            if !reached[who] && knows(&self.nodes[who].members) {
                reached[who] = true;
                left -= 1;
                times.push(self.now.millis() - start.millis());
            }
        }
        true
    }

    fn states(&self, wanted: MemberState) -> usize {
        let nodes = self.nodes.iter();
        nodes
            .map(|node| {
                let records = node.members.records();
                records.filter(|(_, state)| *state == wanted).count()
            })
            .sum()
    }

    /// Cuts all regions off from each other for a while.
    fn split(&mut self, seconds: u64) -> Split {
        self.split = true;
        self.run(Duration::from_secs(seconds));
        let (gone, suspect) = (
            self.states(MemberState::Gone),
            self.states(MemberState::Suspect),
        );
        self.split = false;
        let all = self.nodes.len() * (self.nodes.len() - 1);
        let missing =
            |net: &Self| all - net.states(MemberState::Alive) - net.states(MemberState::Leaving);
        let start = self.now;
        let after = self.traffic(Duration::from_secs(30));
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
        let entries = states.map(|state| self.states(state));
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

fn report_load(members: &mut Members, who: usize, unix: u64) {
    if members.own().role == Role::Router {
        return;
    }
    let model = ModelName::new(format!("model-{}", who % 16)).expect("letters and digits");
    let running = u32::try_from(unix % 16).unwrap_or(0);
    let item = Item {
        key: ItemKey::AgentLoad(model, members.own().name.clone()),
        value: Value::Load {
            stamp: unix,
            running,
            capacity: 32,
        },
    };
    members.put(&item, unix);
}

fn spread(mut times: Vec<u64>, unfinished: u64) -> Spread {
    times.sort_unstable();
    let at = |percent: usize| {
        let index = (times.len() * percent).div_ceil(100).max(1) - 1;
        times.get(index).copied().unwrap_or(0)
    };
    Spread {
        p50_ms: at(50),
        p99_ms: at(99),
        max_ms: at(100),
        unfinished,
    }
}
