//! Cost of a decision of an entry router, on the core: time and allocations for each request and
//! for each report of another router.

use std::{error::Error, hint::black_box, net::SocketAddr, time::Duration};

use allocation_counter::AllocationInfo;
use argh::FromArgs;
use ebonyfall_core::{
    budget::RetryBound,
    id::{Fingerprint, Incarnation},
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

/// Numbers of targets: of the two installations, of a sweep's largest day, and of the design size.
const TARGETS: [u16; 5] = [12, 47, 300, 1_000, 3_200];
/// Requests under way at once.
const OPEN: usize = 16;
/// Time between two requests.
const PACE: Duration = Duration::from_millis(30);
/// Zones of the targets.
const ZONES: u16 = 3;
/// Contexts that requests return to, and beginnings that they share.
const CONTEXTS: (u64, u64) = (5_000, 40);
/// Targets in a report of another router.
const REPORTED: u16 = 48;

/// Measures the cost of an entry router's decisions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "steer")]
pub struct SteerArgs {
    /// seed of the requests
    #[argh(option, default = "1")]
    seed: u64,
    /// requests for each number of targets
    #[argh(option, default = "20000")]
    requests: u32,
}

/// Figures of one number of targets.
#[derive(Debug, Serialize)]
struct Row {
    targets: u16,
    /// Microseconds of a choice and of the end of its request.
    request_us: f64,
    /// Allocations of a request, and their bytes.
    request_allocations: f64,
    request_bytes: f64,
    /// Microseconds of a report of another router.
    report_us: f64,
    report_allocations: f64,
}

/// Prints a row for each number of targets.
///
/// # Errors
///
/// Fails when a row cannot be printed.
pub fn run(args: &SteerArgs) -> Result<bool, Box<dyn Error>> {
    for targets in TARGETS {
        let row = Case::new(targets, args.seed).row(args.requests);
        println!("{}", serde_json::to_string(&row)?);
    }
    Ok(true)
}

struct Case {
    targets: u16,
    selector: TargetSelector,
    service: ServiceName,
    route: RouteName,
    team: TeamName,
    random: StdRng,
    now: Time,
    open: Vec<TargetName>,
}

impl Case {
    fn new(targets: u16, seed: u64) -> Self {
        let bound = RetryBound {
            ratio: 0.2,
            slack: 58.0,
            window: Duration::from_secs(10),
        };
        let mut case = Self {
            targets,
            selector: TargetSelector::new(zone(0), bound),
            service: "engines".parse().expect("the literal is a name"),
            route: "drafts".parse().expect("the literal is a name"),
            team: "desk".parse().expect("the literal is a name"),
            random: StdRng::seed_from_u64(seed),
            now: Time::from_millis(100_000),
            open: Vec::new(),
        };
        for number in 0..targets {
            let record = TargetRecord {
                name: target(number),
                service: case.service.clone(),
                address: SocketAddr::from(([127, 0, 0, 1], 10_000 + number)),
                zone: zone(number % ZONES),
                version: "v1".into(),
                slots: 64,
                stage: Stage::Ready,
                cold: Duration::ZERO,
                incarnation: Incarnation::from(1),
            };
            case.selector.put(record, case.now);
        }
        case
    }

    fn row(mut self, requests: u32) -> Row {
        // Tables grow to their usual size before anything is measured.
        self.requests(requests / 4);
        let started = Instant::now();
        let used = allocation_counter::measure(|| self.requests(requests));
        let request_us = micros(started.elapsed(), requests);
        let (request_allocations, request_bytes) = each(&used, requests);
        let reports: Vec<_> = (0..requests / 4)
            .map(|number| self.report(number))
            .collect();
        let number = u32::try_from(reports.len()).unwrap_or(u32::MAX);
        let started = Instant::now();
        let used = allocation_counter::measure(|| self.learn(&reports));
        Row {
            targets: self.targets,
            request_us,
            request_allocations,
            request_bytes,
            report_us: micros(started.elapsed(), number),
            report_allocations: each(&used, number).0,
        }
    }

    fn requests(&mut self, count: u32) {
        for _ in 0..count {
            self.now = self.now + PACE;
            let (contexts, beginnings) = CONTEXTS;
            let context = self.random.random_range(0..contexts);
            let contexts = [context % beginnings, beginnings + context];
            let criteria = Criteria {
                service: &self.service,
                contexts: &contexts,
                tried: &[],
                is_retry: false,
                content: Fingerprint::from(context),
            };
            let random = self.random.random();
            if let Ok(choice) = self.selector.choose(&criteria, random, self.now) {
                self.open.push(choice.target.name);
            }
            if self.open.len() > OPEN {
                let at = self.random.random_range(0..self.open.len());
                let ended = self.open.swap_remove(at);
                let finished = Finished {
                    end: End::Served,
                    content: Fingerprint::from(context),
                    team: &self.team,
                    route: &self.route,
                    timing: None,
                };
                self.selector.record_end(&ended, &finished, self.now);
            }
        }
    }

    /// A report of one of a few other routers.
    fn report(&mut self, number: u32) -> (ProcessName, OpenReport) {
        let router = format!("e-{}", number % 16);
        let router = router.parse().expect("the name is valid");
        let counts = (0..REPORTED.min(self.targets)).map(|_| {
            let at = self.random.random_range(0..self.targets);
            (target(at), self.random.random_range(1..4))
        });
        let report = OpenReport {
            number: u64::from(number),
            counts: counts.collect(),
            placed: Vec::new(),
        };
        (router, report)
    }

    fn learn(&mut self, reports: &[(ProcessName, OpenReport)]) {
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

fn micros(took: Duration, count: u32) -> f64 {
    took.as_secs_f64() * 1e6 / f64::from(count.max(1))
}

/// Allocations and bytes of each of `count`.
#[expect(clippy::cast_precision_loss, reason = "the counts are small")]
fn each(used: &AllocationInfo, count: u32) -> (f64, f64) {
    let count = f64::from(count.max(1));
    (
        used.count_total as f64 / count,
        used.bytes_total as f64 / count,
    )
}
