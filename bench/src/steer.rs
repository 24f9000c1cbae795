//! Measures an entry router's target selection: time and allocations per request and per report
//! from another router.

use std::{error::Error, hint::black_box, net::SocketAddr, sync::Arc, time::Duration};

use allocation_counter::AllocationInfo;
use argh::FromArgs;
use ebonyfall_core::{
    budget::RetryBound,
    id::{Fingerprint, Incarnation, PartId},
    name::{ProcessName, RouteName, ServiceName, TargetName, TeamName, ZoneName},
    outcome::{End, Finished},
    reports::OpenReport,
    selector::{Criteria, TargetSelector},
    target::{Stage, TargetRecord},
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;
use tokio::time::Instant;

/// Numbers of targets: two installations, the largest day of a sweep, and the design size.
const TARGET_COUNTS: [u16; 5] = [12, 47, 300, 1_000, 3_200];
/// Largest number of concurrent requests.
const MAX_OPEN_REQUESTS: usize = 16;
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);
const ZONE_COUNT: u16 = 3;
/// Numbers of distinct contexts, and of shared prefixes with which they begin.
const CONTEXT_AND_PREFIX_COUNTS: (u64, u64) = (5_000, 40);
/// Targets in a report from another router.
const REPORTED_TARGETS: u16 = 48;

/// Measures the time and allocations of an entry router's target selection.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "steer")]
pub struct SteerArgs {
    /// seed of the requests, 1 by default
    #[argh(option, default = "1")]
    seed: u64,
    /// requests for each number of targets, 20000 by default
    #[argh(option, default = "20000")]
    requests: u32,
}

/// Mean costs with one number of targets.
#[derive(Debug, Serialize)]
struct Row {
    targets: u16,
    /// Time of choosing a target and recording the end of a request, in microseconds.
    request_us: f64,
    /// Allocations per request.
    request_allocations: f64,
    /// Allocated bytes per request.
    request_bytes: f64,
    /// Time of recording a report from another router, in microseconds.
    report_us: f64,
    /// Allocations per report.
    report_allocations: f64,
}

/// Measures the selection with each number of targets and prints one JSON line for each.
///
/// # Errors
///
/// Fails when a row cannot be encoded.
pub fn run(args: &SteerArgs) -> Result<bool, Box<dyn Error>> {
    for targets in TARGET_COUNTS {
        let row = Benchmark::new(targets, args.seed).measure(args.requests);
        println!("{}", serde_json::to_string(&row)?);
    }
    Ok(true)
}

struct Benchmark {
    targets: u16,
    selector: TargetSelector,
    service: ServiceName,
    route: RouteName,
    /// Prompt parts of the requests: none.
    parts: Arc<[PartId]>,
    team: TeamName,
    random: StdRng,
    now: Time,
    open: Vec<TargetName>,
}

impl Benchmark {
    fn new(targets: u16, seed: u64) -> Self {
        let bound = RetryBound {
            ratio: 0.2,
            slack: 58.0,
            window: Duration::from_secs(10),
        };
        let mut benchmark = Self {
            targets,
            selector: TargetSelector::new(zone(0), bound),
            service: "engines".parse().expect("the literal is a name"),
            route: "drafts".parse().expect("the literal is a name"),
            parts: Arc::from([]),
            team: "desk".parse().expect("the literal is a name"),
            random: StdRng::seed_from_u64(seed),
            now: Time::from_millis(100_000),
            open: Vec::new(),
        };
        for number in 0..targets {
            let record = TargetRecord {
                name: target(number),
                service: benchmark.service.clone(),
                address: SocketAddr::from(([127, 0, 0, 1], 10_000 + number)),
                zone: zone(number % ZONE_COUNT),
                version: "v1".into(),
                slots: 64,
                stage: Stage::Ready,
                cold: Duration::ZERO,
                incarnation: Incarnation::from(1),
            };
            benchmark.selector.put(record, benchmark.now);
        }
        benchmark
    }

    fn measure(mut self, requests: u32) -> Row {
        // A warm-up lets the tables reach their usual size.
        self.run_requests(requests / 4);
        let started = Instant::now();
        let used = allocation_counter::measure(|| self.run_requests(requests));
        let request_us = mean_us(started.elapsed(), requests);
        let (request_allocations, request_bytes) = mean_allocations(&used, requests);
        let reports: Vec<_> = (0..requests / 4)
            .map(|number| self.random_report(number))
            .collect();
        let report_count = u32::try_from(reports.len()).unwrap_or(u32::MAX);
        let started = Instant::now();
        let used = allocation_counter::measure(|| self.record_reports(&reports));
        Row {
            targets: self.targets,
            request_us,
            request_allocations,
            request_bytes,
            report_us: mean_us(started.elapsed(), report_count),
            report_allocations: mean_allocations(&used, report_count).0,
        }
    }

    fn run_requests(&mut self, count: u32) {
        for _ in 0..count {
            self.now = self.now + REQUEST_INTERVAL;
            let (contexts, prefixes) = CONTEXT_AND_PREFIX_COUNTS;
            let context = self.random.random_range(0..contexts);
            let contexts = [context % prefixes, prefixes + context];
            let criteria = Criteria {
                service: &self.service,
                contexts: &contexts,
                tried: &[],
                is_retry: false,
                only: None,
                needs_slot: false,
                content: Fingerprint::from(context),
                parts: &self.parts,
                team: &self.team,
            };
            let random = self.random.random();
            if let Ok(choice) = self.selector.choose(&criteria, random, self.now) {
                self.open.push(choice.target.name);
            }
            if self.open.len() > MAX_OPEN_REQUESTS {
                let index = self.random.random_range(0..self.open.len());
                let ended = self.open.swap_remove(index);
                let finished = Finished {
                    end: End::Served,
                    content: Fingerprint::from(context),
                    parts: &self.parts,
                    sent_at: self.now,
                    answer_begun: true,
                    team: &self.team,
                    route: &self.route,
                    timing: None,
                };
                self.selector.record_end(&ended, &finished, self.now);
            }
        }
    }

    /// Returns a random report from one of 16 other routers.
    fn random_report(&mut self, number: u32) -> (ProcessName, OpenReport) {
        let router = format!("e-{}", number % 16);
        let router = router.parse().expect("the name is valid");
        let counts = (0..REPORTED_TARGETS.min(self.targets)).map(|_| {
            let index = self.random.random_range(0..self.targets);
            (target(index), self.random.random_range(1..4))
        });
        let report = OpenReport {
            number: u64::from(number),
            counts: counts.collect(),
            placed: Vec::new(),
            demand: Vec::new(),
        };
        (router, report)
    }

    fn record_reports(&mut self, reports: &[(ProcessName, OpenReport)]) {
        for (router, report) in reports {
            self.selector.record_report(router, report, self.now);
        }
        black_box(&self.selector);
    }
}

fn target(number: u16) -> TargetName {
    let name = format!("t-{number:04}");
    name.parse().expect("the name is valid")
}

fn zone(number: u16) -> ZoneName {
    let name = format!("z{number}");
    name.parse().expect("the name is valid")
}

fn mean_us(elapsed: Duration, count: u32) -> f64 {
    elapsed.as_secs_f64() * 1e6 / f64::from(count.max(1))
}

/// Returns the mean number of allocations and of allocated bytes over `count` calls.
#[expect(clippy::cast_precision_loss, reason = "the counts are small")]
fn mean_allocations(used: &AllocationInfo, count: u32) -> (f64, f64) {
    let count = f64::from(count.max(1));
    (
        used.count_total as f64 / count,
        used.bytes_total as f64 / count,
    )
}
