//! Measures goodput under overload and the isolation of teams: the admission core on simulated
//! targets.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    error::Error,
    num::NonZeroU32,
    time::Duration,
};

use argh::FromArgs;
use ebonyfall_core::{
    admit::{Admission, AdmissionRequest, Decision, RunOutcome, Ticket},
    doc::Priority,
    id::Fingerprint,
    name::TeamName,
    pace::ramp::Capacity,
    retry::{MAX_ATTEMPTS, RetryBudget},
    time::Time,
};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Serialize;

const SLOTS: u32 = 32;
const COLD_SLOTS: u32 = 4;
const QUEUE_LIMIT: u32 = 256;
/// Fixed part and mean of the exponential part of a service time. They add up to one second, so
/// that a target's capacity is `SLOTS` requests per second.
const SERVICE_SECONDS: [f64; 2] = [0.25, 0.75];
const DEADLINE: Duration = Duration::from_secs(10);
/// Time before the measurement starts, in which the target warms up.
const WARMUP_END: Time = Time::from_millis(60_000);
const RETRY_RATIO: f64 = 0.1;
/// Offered loads, as multiples of the capacity.
const LOAD_FACTORS: [f64; 7] = [0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 4.0];

/// Measures admission in simulation: goodput at 0.5 to 4 times the capacity, and a small team's
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
    /// Queues and refuses requests as the agent's admission control does.
    Admission,
    /// Queues every request, without a limit, and serves them in order of arrival.
    Fifo,
    /// Refuses the request.
    RefuseAtOnce,
}

#[derive(Debug, Serialize)]
struct GoodputRow {
    policy: Policy,
    targets: usize,
    /// Offered load, as a multiple of the capacity.
    load: f64,
    /// Answers within the deadline, as a share of the capacity.
    goodput: f64,
    /// Requests refused by every target tried, as a share of the capacity.
    refused: f64,
    /// Answers after the deadline, as a share of the capacity.
    late: f64,
}

#[derive(Debug, Serialize)]
struct SurgeRow {
    policy: Policy,
    /// Whether the requests have mixed priorities; otherwise all are [`Priority::Desk`].
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
    /// Goodput at twice the capacity over that at capacity, with one target.
    twice_to_once: f64,
    twice_to_once_four_targets: f64,
    surge: Vec<SurgeRow>,
}

/// Runs the simulations and prints the report as JSON.
///
/// The same arguments give the same output.
///
/// # Errors
///
/// Fails when the report cannot be encoded.
pub fn run(args: &AdmitArgs) -> Result<bool, Box<dyn Error>> {
    let mut goodput = Vec::new();
    for targets in [1, 4] {
        for policy in [Policy::Admission, Policy::Fifo, Policy::RefuseAtOnce] {
            for load in LOAD_FACTORS {
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
    let capacity = f64::from(SLOTS) * to_f64(targets);
    let teams = (0..10u64).map(|index| TeamTraffic {
        team: format!("team-{index}").parse().expect("the name is valid"),
        rate: capacity * load / 10.0,
        rng: SmallRng::seed_from_u64(args.seed * 1000 + index),
    });
    let counts_by_team = simulate(args, policy, targets, true, teams.collect());
    let measured = (Time::from_millis(args.seconds * 1000)).since(WARMUP_END);
    let share = |sum: u64| round(to_f64(sum) / measured.as_secs_f64() / capacity);
    let all = counts_by_team.values();
    GoodputRow {
        policy,
        targets,
        load,
        goodput: share(all.clone().map(|counts| counts.in_time).sum()),
        refused: share(all.clone().map(|counts| counts.refused).sum()),
        late: share(all.map(|counts| counts.late).sum()),
    }
}

/// Compares the delays of a small team, which uses a sixteenth of the target's capacity, beside a
/// large team at its usual rate and at ten times that rate.
fn surge(args: &AdmitArgs, policy: Policy, mixed: bool) -> SurgeRow {
    let small: TeamName = "small".parse().expect("the literal is a valid name");
    let run = |factor: f64| {
        let sources = [
            (&small, 2.0),
            (
                &"large".parse().expect("the literal is a valid name"),
                10.0 * factor,
            ),
        ];
        let sources = sources.into_iter().zip(1u64..);
        let sources = sources.map(|((team, rate), stream)| TeamTraffic {
            team: team.clone(),
            rate,
            rng: SmallRng::seed_from_u64(args.seed * 1000 + stream),
        });
        let mut counts_by_team = simulate(args, policy, 1, mixed, sources.collect());
        counts_by_team.remove(&small).unwrap_or_default()
    };
    let (baseline, surging) = (run(1.0), run(10.0));
    let p99 = |counts: &OutcomeCounts| counts.delays.value_at_quantile(0.99);
    SurgeRow {
        policy,
        mixed,
        p99_ms: p99(&baseline),
        p99_surge_ms: p99(&surging),
        ratio: round(to_f64(p99(&surging)) / to_f64(p99(&baseline))),
        completed: baseline.delays.len(),
        completed_in_surge: surging.delays.len(),
        refused_in_surge: surging.refused,
    }
}

fn to_f64(number: impl TryInto<u32>) -> f64 {
    f64::from(number.try_into().unwrap_or(u32::MAX))
}

fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

/// Poisson arrivals of one team's requests.
struct TeamTraffic {
    team: TeamName,
    /// Requests per second.
    rate: f64,
    rng: SmallRng,
}

struct OutcomeCounts {
    in_time: u64,
    late: u64,
    refused: u64,
    /// Delays of all answers in milliseconds.
    delays: Histogram<u64>,
}

impl Default for OutcomeCounts {
    fn default() -> Self {
        Self {
            in_time: 0,
            late: 0,
            refused: 0,
            delays: Histogram::new(3).expect("three digits are supported"),
        }
    }
}

/// A request and the targets that it was sent to.
#[derive(Clone)]
struct Job {
    source: usize,
    arrival: Time,
    service: Duration,
    priority: Priority,
    tried: Vec<usize>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    End { target: usize, ticket: Ticket },
    Wake(usize),
}

/// A simulated target with its waiting and running requests.
struct Target {
    policy: Policy,
    admission: Admission,
    fifo: VecDeque<Ticket>,
    running: u32,
    jobs: HashMap<Ticket, Job>,
    next_ticket: u64,
}

impl Target {
    fn new(policy: Policy) -> Self {
        Self {
            policy,
            admission: Admission::new(Capacity {
                slots: SLOTS,
                cold_slots: COLD_SLOTS,
                queue: QUEUE_LIMIT,
            }),
            fifo: VecDeque::new(),
            running: 0,
            jobs: HashMap::new(),
            next_ticket: 0,
        }
    }

    /// Enqueues a job, or returns it if the target refuses it.
    fn enqueue(&mut self, job: Job, team: &TeamName, now: Time) -> Result<(), Job> {
        let ticket = match self.policy {
            Policy::Admission => {
                let request = AdmissionRequest {
                    team: team.clone(),
                    weight: 1,
                    priority: job.priority,
                    deadline: job.arrival + DEADLINE,
                    fingerprint: Fingerprint::from(0),
                    suspect: false,
                };
                match self.admission.enqueue(request, now) {
                    Ok(ticket) => ticket,
                    Err(_) => return Err(job),
                }
            }
            Policy::RefuseAtOnce if self.running >= SLOTS => return Err(job),
            Policy::Fifo | Policy::RefuseAtOnce => {
                let ticket = Ticket(self.next_ticket);
                self.next_ticket += 1;
                self.fifo.push_back(ticket);
                ticket
            }
        };
        self.jobs.insert(ticket, job);
        Ok(())
    }

    fn next_decision(&mut self, now: Time) -> Option<Decision> {
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

struct Simulation {
    targets: Vec<Target>,
    sources: Vec<TeamTraffic>,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    budget: RetryBudget,
    counts_by_team: HashMap<TeamName, OutcomeCounts>,
    mixed: bool,
}

fn simulate(
    args: &AdmitArgs,
    policy: Policy,
    targets: usize,
    mixed: bool,
    sources: Vec<TeamTraffic>,
) -> HashMap<TeamName, OutcomeCounts> {
    let mut budget = RetryBudget::new(RETRY_RATIO);
    budget.add_reserve(NonZeroU32::MIN);
    let mut simulation = Simulation {
        targets: (0..targets).map(|_| Target::new(policy)).collect(),
        events: BinaryHeap::new(),
        budget,
        counts_by_team: HashMap::new(),
        mixed,
        sources,
    };
    for source in 0..simulation.sources.len() {
        simulation
            .events
            .push(Reverse((Time::ZERO, Event::Arrival(source))));
    }
    let end = Time::from_millis(args.seconds * 1000);
    while let Some(Reverse((now, event))) = simulation.events.pop()
        && now < end
    {
        match event {
            Event::Arrival(source) => simulation.generate_request(source, now),
            Event::End { target, ticket } => {
                if let Some(job) = simulation.targets[target].finish(ticket, now) {
                    simulation.record_answer(&job, now);
                }
                simulation.apply_decisions(target, now);
            }
            Event::Wake(target) => simulation.apply_decisions(target, now),
        }
    }
    simulation.counts_by_team
}

/// Returns an exponentially distributed random number.
fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() * mean
}

impl Simulation {
    fn generate_request(&mut self, source: usize, now: Time) {
        let targets = self.targets.len();
        let TeamTraffic { rate, rng, .. } = &mut self.sources[source];
        let interval = Duration::from_secs_f64(exponential(rng, 1.0 / *rate));
        let service = SERVICE_SECONDS[0] + exponential(rng, SERVICE_SECONDS[1]);
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
            .push(Reverse((now + interval, Event::Arrival(source))));
        self.budget.record_first();
        self.submit(home, job, now);
    }

    fn submit(&mut self, target: usize, job: Job, now: Time) {
        let team = self.sources[job.source].team.clone();
        if let Err(job) = self.targets[target].enqueue(job, &team, now) {
            self.handle_refusal(job, now);
        }
        self.apply_decisions(target, now);
        if let Some(wake) = self.targets[target].admission.next_wakeup() {
            self.events.push(Reverse((wake, Event::Wake(target))));
        }
    }

    /// Retries on a target not yet tried, as a router does; counts the request as refused if no
    /// target, attempt or retry budget is left.
    fn handle_refusal(&mut self, mut job: Job, now: Time) {
        let next = (0..self.targets.len()).find(|target| !job.tried.contains(target));
        if let Some(next) = next.filter(|_| job.tried.len() < MAX_ATTEMPTS as usize)
            && self.budget.try_take()
        {
            job.tried.push(next);
            return self.submit(next, job, now);
        }
        self.update_counts(&job, |counts| counts.refused += 1);
    }

    fn apply_decisions(&mut self, target: usize, now: Time) {
        while let Some(decision) = self.targets[target].next_decision(now) {
            match decision {
                Decision::Start(ticket) => {
                    let service = self.targets[target].jobs[&ticket].service;
                    let end = Event::End { target, ticket };
                    self.events.push(Reverse((now + service, end)));
                }
                Decision::Refuse(ticket, _) => {
                    if let Some(job) = self.targets[target].jobs.remove(&ticket) {
                        self.handle_refusal(job, now);
                    }
                }
            }
        }
    }

    fn record_answer(&mut self, job: &Job, now: Time) {
        let delay = now.since(job.arrival);
        self.update_counts(job, |counts| {
            if delay <= DEADLINE {
                counts.in_time += 1;
            } else {
                counts.late += 1;
            }
            let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
            counts
                .delays
                .record(millis)
                .expect("the histogram resizes itself");
        });
    }

    fn update_counts(&mut self, job: &Job, update: impl FnOnce(&mut OutcomeCounts)) {
        if job.arrival >= WARMUP_END {
            let team = self.sources[job.source].team.clone();
            update(self.counts_by_team.entry(team).or_default());
        }
    }
}
