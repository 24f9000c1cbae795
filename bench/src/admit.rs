//! Goodput under overload and isolation of teams, on the admission core with a simple model of the
//! targets.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    error::Error,
    time::Duration,
};

use argh::FromArgs;
use ebonyfall_core::{
    admit::{Admission, AdmissionRequest, Decision, RunOutcome, Ticket},
    doc::Priority,
    id::Fingerprint,
    name::TeamName,
    ramp::Capacity,
    retry::{MAX_ATTEMPTS, RetryBudget},
    time::Time,
};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Serialize;

const SLOTS: u32 = 32;
const COLD_SLOTS: u32 = 4;
const QUEUE: u32 = 256;
/// Fixed and mean exponential part of a service time, in seconds; they add up to one second, so
/// that a target's capacity is `SLOTS` requests a second.
const SERVICE: [f64; 2] = [0.25, 0.75];
const DEADLINE: Duration = Duration::from_secs(10);
/// Time before the measurement, in which the target warms up.
const WARMUP: Time = Time::from_millis(60_000);
const RETRY_SHARE: f64 = 0.1;
const LOADS: [f64; 7] = [0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 4.0];

/// Measures admission on the core: goodput from 0.5 to 4 times the capacity, and a small team's
/// delay during another team's surge.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "admit")]
pub struct AdmitArgs {
    /// seed of the arrivals and service times, 1 by default
    #[argh(option, default = "1")]
    seed: u64,
    /// simulated seconds of each run, 360 by default
    #[argh(option, default = "360")]
    seconds: u64,
}

/// How a target treats a request that finds no free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Policy {
    /// The agent's admission.
    Admission,
    /// A queue without limits, served in the order of arrival.
    Fifo,
    /// No queue.
    RefuseAtOnce,
}

#[derive(Debug, Serialize)]
struct GoodputRow {
    policy: Policy,
    targets: usize,
    load: f64,
    /// Answers within the deadline, as a share of the capacity.
    goodput: f64,
    refused: f64,
    late: f64,
}

#[derive(Debug, Serialize)]
struct SurgeRow {
    policy: Policy,
    /// Whether requests of all classes are mixed; otherwise all are of the same class.
    mixed: bool,
    p99_ms: u64,
    p99_surge_ms: u64,
    ratio: f64,
    completed: u64,
    completed_in_surge: u64,
    refused_in_surge: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    seconds: u64,
    goodput: Vec<GoodputRow>,
    /// Goodput at twice the capacity relative to that at capacity.
    twice_to_once: f64,
    twice_to_once_four_targets: f64,
    surge: Vec<SurgeRow>,
}

/// Prints the measurements as JSON; the same seed gives the same bytes.
///
/// # Errors
///
/// Fails when the report cannot be written.
pub fn run(args: &AdmitArgs) -> Result<bool, Box<dyn Error>> {
    let mut goodput = Vec::new();
    for targets in [1, 4] {
        for policy in [Policy::Admission, Policy::Fifo, Policy::RefuseAtOnce] {
            for load in LOADS {
                goodput.push(overload(args, policy, targets, load));
            }
        }
    }
    let ratio = |targets| {
        let at = |load: f64| {
            let row = goodput.iter().find(|row| {
                row.policy == Policy::Admission
                    && row.targets == targets
                    && (row.load - load).abs() < 0.01
            });
            row.map_or(0.0, |row| row.goodput)
        };
        round(at(2.0) / at(1.0))
    };
    let (twice_to_once, twice_to_once_four_targets) = (ratio(1), ratio(4));
    let policies = [Policy::Admission, Policy::Fifo, Policy::RefuseAtOnce];
    let report = Report {
        seed: args.seed,
        seconds: args.seconds,
        twice_to_once,
        twice_to_once_four_targets,
        surge: [false, true]
            .into_iter()
            .flat_map(|mixed| policies.map(|policy| surge(args, policy, mixed)))
            .collect(),
        goodput,
    };
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(true)
}

fn overload(args: &AdmitArgs, policy: Policy, targets: usize, load: f64) -> GoodputRow {
    let capacity = f64::from(SLOTS) * count(targets);
    let teams = (0..10u64).map(|index| Source {
        team: format!("team-{index}").parse().expect("a name"),
        rate: capacity * load / 10.0,
        rng: SmallRng::seed_from_u64(args.seed * 1000 + index),
    });
    let outcome = simulate(args, policy, targets, true, teams.collect());
    let measured = (Time::from_millis(args.seconds * 1000)).since(WARMUP);
    let share = |sum: u64| round(count(sum) / measured.as_secs_f64() / capacity);
    let all = outcome.values();
    GoodputRow {
        policy,
        targets,
        load,
        goodput: share(all.clone().map(|tally| tally.in_time).sum()),
        refused: share(all.clone().map(|tally| tally.refused).sum()),
        late: share(all.map(|tally| tally.late).sum()),
    }
}

/// A small team with a sixteenth of the target's capacity beside a large one that surges tenfold.
fn surge(args: &AdmitArgs, policy: Policy, mixed: bool) -> SurgeRow {
    let small: TeamName = "small".parse().expect("a name");
    let run = |factor: f64| {
        let sources = [
            (&small, 2.0),
            (&"large".parse().expect("a name"), 10.0 * factor),
        ];
        let sources = sources.into_iter().zip(1u64..);
        let sources = sources.map(|((team, rate), stream)| Source {
            team: team.clone(),
            rate,
            rng: SmallRng::seed_from_u64(args.seed * 1000 + stream),
        });
        let mut outcome = simulate(args, policy, 1, mixed, sources.collect());
        outcome.remove(&small).unwrap_or_default()
    };
    let (calm, surging) = (run(1.0), run(10.0));
    let p99 = |tally: &Tally| tally.delays.value_at_quantile(0.99);
    SurgeRow {
        policy,
        mixed,
        p99_ms: p99(&calm),
        p99_surge_ms: p99(&surging),
        ratio: round(count(p99(&surging)) / count(p99(&calm))),
        completed: calm.delays.len(),
        completed_in_surge: surging.delays.len(),
        refused_in_surge: surging.refused,
    }
}

fn count(number: impl TryInto<u32>) -> f64 {
    f64::from(number.try_into().unwrap_or(u32::MAX))
}

fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

/// A team that sends requests at random times.
struct Source {
    team: TeamName,
    rate: f64,
    rng: SmallRng,
}

struct Tally {
    in_time: u64,
    late: u64,
    refused: u64,
    delays: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            in_time: 0,
            late: 0,
            refused: 0,
            delays: Histogram::new(3).expect("three digits are supported"),
        }
    }
}

#[derive(Clone)]
struct Job {
    source: usize,
    arrival: Time,
    service: Duration,
    priority: Priority,
    tried: Vec<usize>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival(usize),
    End { target: usize, ticket: Ticket },
    Wake(usize),
}

/// The requests of one target that wait or run, by ticket.
struct Target {
    policy: Policy,
    admission: Admission,
    fifo: VecDeque<Ticket>,
    running: u32,
    jobs: HashMap<Ticket, Job>,
    next: u64,
}

impl Target {
    fn new(policy: Policy) -> Self {
        Self {
            policy,
            admission: Admission::new(Capacity {
                slots: SLOTS,
                cold_slots: COLD_SLOTS,
                queue: QUEUE,
            }),
            fifo: VecDeque::new(),
            running: 0,
            jobs: HashMap::new(),
            next: 0,
        }
    }

    /// Takes a job into the queue, or gives it back.
    fn offer(&mut self, job: Job, team: &TeamName, now: Time) -> Result<(), Job> {
        let ticket = match self.policy {
            Policy::Admission => {
                let offer = AdmissionRequest {
                    team: team.clone(),
                    weight: 1,
                    priority: job.priority,
                    deadline: job.arrival + DEADLINE,
                    fingerprint: Fingerprint::from(0),
                    suspect: false,
                };
                match self.admission.enqueue(offer, now) {
                    Ok(ticket) => ticket,
                    Err(_) => return Err(job),
                }
            }
            Policy::RefuseAtOnce if self.running >= SLOTS => return Err(job),
            Policy::Fifo | Policy::RefuseAtOnce => {
                let ticket = Ticket(self.next);
                self.next += 1;
                self.fifo.push_back(ticket);
                ticket
            }
        };
        self.jobs.insert(ticket, job);
        Ok(())
    }

    fn next(&mut self, now: Time) -> Option<Decision> {
        if self.policy == Policy::Admission {
            return self.admission.next_decision(now);
        }
        if self.running >= SLOTS {
            return None;
        }
        let ticket = self.fifo.pop_front()?;
        self.running += 1;
        Some(Decision::Start(ticket))
    }

    fn finish(&mut self, ticket: Ticket, now: Time) -> Option<Job> {
        if self.policy == Policy::Admission {
            self.admission.finish(ticket, RunOutcome::Completed(0), now);
        } else {
            self.running -= 1;
        }
        self.jobs.remove(&ticket)
    }
}

struct Run {
    targets: Vec<Target>,
    sources: Vec<Source>,
    events: BinaryHeap<Reverse<(Time, Happening)>>,
    budget: RetryBudget,
    tallies: HashMap<TeamName, Tally>,
    mixed: bool,
}

fn simulate(
    args: &AdmitArgs,
    policy: Policy,
    targets: usize,
    mixed: bool,
    sources: Vec<Source>,
) -> HashMap<TeamName, Tally> {
    let mut run = Run {
        targets: (0..targets).map(|_| Target::new(policy)).collect(),
        events: BinaryHeap::new(),
        budget: RetryBudget::new(RETRY_SHARE),
        tallies: HashMap::new(),
        mixed,
        sources,
    };
    for source in 0..run.sources.len() {
        run.events
            .push(Reverse((Time::ZERO, Happening::Arrival(source))));
    }
    let end = Time::from_millis(args.seconds * 1000);
    while let Some(Reverse((now, happening))) = run.events.pop()
        && now < end
    {
        match happening {
            Happening::Arrival(source) => run.arrive(source, now),
            Happening::End { target, ticket } => {
                if let Some(job) = run.targets[target].finish(ticket, now) {
                    run.ended(&job, now);
                }
                run.steps(target, now);
            }
            Happening::Wake(target) => run.steps(target, now),
        }
    }
    run.tallies
}

fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() * mean
}

impl Run {
    fn arrive(&mut self, source: usize, now: Time) {
        let targets = self.targets.len();
        let Source { rate, rng, .. } = &mut self.sources[source];
        let pause = Duration::from_secs_f64(exponential(rng, 1.0 / *rate));
        let service = SERVICE[0] + exponential(rng, SERVICE[1]);
        let priority = match rng.random_range(0..10) {
            0..6 => Priority::Desk,
            _ if !self.mixed => Priority::Desk,
            6..8 => Priority::Check,
            _ => Priority::Overnight,
        };
        let home = rng.random_range(0..targets);
        let job = Job {
            source,
            arrival: now,
            service: Duration::from_secs_f64(service),
            priority,
            tried: vec![home],
        };
        self.events
            .push(Reverse((now + pause, Happening::Arrival(source))));
        self.budget.record_first();
        self.submit(home, job, now);
    }

    fn submit(&mut self, target: usize, job: Job, now: Time) {
        let team = self.sources[job.source].team.clone();
        if let Err(job) = self.targets[target].offer(job, &team, now) {
            self.refused(job, now);
        }
        self.steps(target, now);
        if let Some(wake) = self.targets[target].admission.next_wakeup() {
            self.events.push(Reverse((wake, Happening::Wake(target))));
        }
    }

    /// Tries the next target as a router does, as far as the budget goes.
    fn refused(&mut self, mut job: Job, now: Time) {
        let next = (0..self.targets.len()).find(|target| !job.tried.contains(target));
        if let Some(next) = next.filter(|_| job.tried.len() < MAX_ATTEMPTS as usize)
            && self.budget.try_take()
        {
            job.tried.push(next);
            return self.submit(next, job, now);
        }
        self.tally(&job, |tally| tally.refused += 1);
    }

    fn steps(&mut self, target: usize, now: Time) {
        while let Some(step) = self.targets[target].next(now) {
            match step {
                Decision::Start(ticket) => {
                    let service = self.targets[target].jobs[&ticket].service;
                    let end = Happening::End { target, ticket };
                    self.events.push(Reverse((now + service, end)));
                }
                Decision::Refuse(ticket, _) => {
                    if let Some(job) = self.targets[target].jobs.remove(&ticket) {
                        self.refused(job, now);
                    }
                }
            }
        }
    }

    fn ended(&mut self, job: &Job, now: Time) {
        let delay = now.since(job.arrival);
        self.tally(job, |tally| {
            if delay <= DEADLINE {
                tally.in_time += 1;
            } else {
                tally.late += 1;
            }
            let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
            tally.delays.record(millis).expect("the histogram grows");
        });
    }

    fn tally(&mut self, job: &Job, add: impl FnOnce(&mut Tally)) {
        if job.arrival >= WARMUP {
            let team = self.sources[job.source].team.clone();
            add(self.tallies.entry(team).or_default());
        }
    }
}
