//! Measures requests that run at most once: log appends and delay, compared with one append per
//! claim, and the memory and log bytes per claim.

use std::{
    error::Error,
    fs,
    time::{Duration, Instant},
};

use argh::FromArgs;
use ebonyfall::platform::Platform;
use ebonyfall_core::{
    claim::{Claim, ClaimEntry, ClaimId, KeyId},
    code::Execution,
    id::{AttemptId, Offset, RequestId},
    ledger::Ledger,
    name::{ProcessName, TargetName},
};
use ebonyfall_standin::{
    deploy::{Deployment, Plan},
    engine::EngineConfig,
    log::LogLimits,
};
use ebonyfall_wire::claims;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;
use tokio::{task::JoinSet, time};
use uuid::Uuid;

use crate::{
    client::{Caller, Outcome},
    demo::programs,
};

/// Claims in the ledger whose memory is measured.
const LEDGER_CLAIMS: u64 = 200_000;
/// Log stream for [`Mode::OneAppendEach`], which the routers do not read.
const BASELINE_STREAM: &str = "baseline";
/// Budget of a daemon for control traffic.
const TRAFFIC_BYTES_PER_SECOND: f64 = 15_000.0;
/// Budget of a daemon for control state.
const CONTROL_MEMORY_BYTES: f64 = 128e6;

/// Measures the appends, delay and memory of requests that run at most once.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "claims")]
pub struct ClaimsArgs {
    /// orders per second, comma-separated
    #[argh(option, default = "\"1,10,50,100,200,300,500\".to_owned()")]
    rates: String,
    /// numbers of routers, comma-separated
    #[argh(option, default = "\"1,2,4\".to_owned()")]
    routers: String,
    /// seconds for each rate, 5 by default
    #[argh(option, default = "5")]
    seconds: u64,
    /// seed of the arrivals, 1 by default
    #[argh(option, default = "1")]
    seed: u64,
    /// print only the resident bytes of a ledger with this many claims, in a fresh process
    #[argh(option)]
    ledger: Option<u64>,
}

/// How an order is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Mode {
    /// Through a router, with an idempotency key; the router batches its claims.
    Grouped,
    /// After one append to the log and one read of it, through a router without a key.
    OneAppendEach,
    /// Through a router without a key; the lower bound of the delay.
    NoClaim,
}

#[derive(Debug, Serialize)]
struct Row {
    mode: Mode,
    routers: u32,
    /// Offered rate.
    orders_per_second: u64,
    orders: u64,
    answered: u64,
    /// Orders without a complete answer.
    refused: u64,
    /// Appends to the log, by all processes of the deployment.
    appends_per_second: f64,
    p50_ms: f64,
    p99_ms: f64,
    /// Orders that ran more than once.
    doubled: u64,
}

#[derive(Debug, Serialize)]
struct Cost {
    claims: u64,
    ledger_bytes_per_claim: f64,
    resident_bytes_per_claim: f64,
    log_bytes_per_order: f64,
    /// Largest number of routers that append claims.
    writers: usize,
    /// Appends by these writers at their highest rate, ten per second each.
    appends_per_second_of_1000_daemons: usize,
    orders_per_second_within_traffic: f64,
    /// Order rate whose claims of 24 hours fit the memory budget.
    orders_per_second_within_memory_24h: f64,
    orders_per_second_within_memory_1h: f64,
}

#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    seconds: u64,
    log_appends_per_second: u32,
    rows: Vec<Row>,
    cost: Cost,
}

/// Runs the measurements and prints the report as JSON; returns false if an order ran twice.
///
/// # Errors
///
/// Fails when the deployment cannot be started or a number cannot be read.
pub async fn run(args: ClaimsArgs) -> Result<bool, Box<dyn Error>> {
    if let Some(claims) = args.ledger {
        let (ledger, bytes) = build_ledger(claims, &mut StdRng::seed_from_u64(args.seed))?;
        println!("{bytes}");
        drop(ledger);
        return Ok(true);
    }
    let limits = LogLimits::default();
    let cost = measure_cost()?;
    let mut rows = Vec::new();
    for routers in parse_numbers(&args.routers)? {
        let routers = u32::try_from(routers)?;
        let folder = tempfile::tempdir()?;
        let deployment = Deployment::start(&Plan {
            new_engines: (0, EngineConfig::default()),
            programs: programs()?,
            folder: folder.path().to_owned(),
            zones: vec!["a".to_owned()],
            engines: 0,
            services: 2,
            routers,
            engine: EngineConfig::default(),
            log: limits,
            document: String::new(),
            router_settings: String::new(),
        })
        .await?;
        for mode in [Mode::NoClaim, Mode::OneAppendEach, Mode::Grouped] {
            for rate in parse_numbers(&args.rates)? {
                rows.push(measure(&deployment, mode, rate, &args).await?);
            }
        }
    }
    let ran_at_most_once = rows.iter().all(|row| row.doubled == 0);
    let report = Report {
        seed: args.seed,
        seconds: args.seconds,
        log_appends_per_second: limits.appends_per_second,
        rows,
        cost,
    };
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(ran_at_most_once)
}

fn parse_numbers(text: &str) -> Result<Vec<u64>, std::num::ParseIntError> {
    text.split(',')
        .map(|number| number.trim().parse())
        .collect()
}

async fn measure(
    deployment: &Deployment,
    mode: Mode,
    rate: u64,
    args: &ClaimsArgs,
) -> Result<Row, Box<dyn Error>> {
    let routers = &deployment.routers;
    let callers: Vec<_> = routers.iter().map(|r| Caller::new(r.listen)).collect();
    let platform = Platform::new(&deployment.platform_url);
    let mut rng = StdRng::seed_from_u64(args.seed ^ rate);
    let appends = deployment.platform.appends().await;
    let start = Instant::now();
    let mut arrival = Duration::ZERO;
    let mut tasks = JoinSet::new();
    for order in 0.. {
        // Poisson arrivals, as from many independent callers.
        #[expect(clippy::cast_precision_loss, reason = "rates are small")]
        let interval = -(1.0 - rng.random::<f64>()).ln() / rate as f64;
        arrival += Duration::from_secs_f64(interval);
        if arrival >= Duration::from_secs(args.seconds) {
            break;
        }
        time::sleep_until((start + arrival).into()).await;
        let caller = callers[order % callers.len()].clone();
        let platform = platform.clone();
        let item = format!("{mode:?} {} {rate} {order}", callers.len());
        tasks.spawn(async move {
            let start = Instant::now();
            let outcome = send_order(mode, &caller, &platform, &item).await;
            (outcome, start.elapsed())
        });
    }
    let mut delays = Histogram::<u64>::new(3)?;
    let mut refused = 0;
    let orders = tasks.len() as u64;
    while let Some(done) = tasks.join_next().await {
        let (outcome, delay) = done?;
        if matches!(outcome, Outcome::Completed { .. }) {
            delays.record(u64::try_from(delay.as_micros())?)?;
        } else {
            refused += 1;
        }
    }
    let elapsed = start.elapsed().as_secs_f64();
    // The last orders' records are appended with a short delay and are counted as well.
    time::sleep(Duration::from_secs(1)).await;
    let appends = deployment.platform.appends().await - appends;
    let mut doubled = 0;
    for (service, _) in &deployment.services {
        let counts = service.orders().await.into_values();
        doubled += counts.filter(|count| *count > 1).count() as u64;
    }
    #[expect(clippy::cast_precision_loss, reason = "counts and delays are small")]
    let row = Row {
        mode,
        routers: u32::try_from(routers.len())?,
        orders_per_second: rate,
        orders,
        answered: delays.len(),
        refused,
        appends_per_second: appends as f64 / elapsed,
        p50_ms: delays.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms: delays.value_at_quantile(0.99) as f64 / 1e3,
        doubled,
    };
    eprintln!("{}", serde_json::to_string(&row)?);
    Ok(row)
}

async fn send_order(mode: Mode, caller: &Caller, platform: &Platform, item: &str) -> Outcome {
    match mode {
        Mode::NoClaim => caller.order(item, None).await,
        Mode::Grouped => {
            let key = Uuid::now_v7().to_string();
            caller.order(item, Some(&key)).await
        }
        Mode::OneAppendEach => {
            let Ok(data) = claims::encode(vec![sample_claim(rand::random(), rand::random())])
            else {
                return Outcome::Interrupted;
            };
            let Ok(offset) = platform.append(BASELINE_STREAM, &data).await else {
                return Outcome::Refused(3001);
            };
            match platform.read(BASELINE_STREAM, offset, 1).await {
                Ok(_) => caller.order(item, None).await,
                Err(_) => Outcome::Refused(3001),
            }
        }
    }
}

/// Returns a claim with fields as long as those that routers write.
fn sample_claim(key: u128, content: u64) -> ClaimEntry {
    ClaimEntry::Claim(Claim {
        key: KeyId::from(key),
        key_time: 1_800_000_000_000,
        content: content.into(),
        router: ProcessName::new("router-great-lakes-a-17").expect("the literal is a valid name"),
        incarnation: 1_800_000_000_000_000.into(),
        attempt: AttemptId {
            request: RequestId::from(key.rotate_left(64)),
            number: 0,
        },
        target: TargetName::new("service-great-lakes-a-3").expect("the literal is a valid name"),
        agent: 1_800_000_000_000_001.into(),
        supersedes: None,
    })
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn measure_cost() -> Result<Cost, Box<dyn Error>> {
    let mut rng = StdRng::seed_from_u64(1);
    let (ledger, resident_bytes) = build_ledger(LEDGER_CLAIMS, &mut rng)?;
    let bytes_per_claim = ledger.bytes() as f64 / ledger.len() as f64;
    let finished = ClaimEntry::Finished {
        key: KeyId::from(rng.random::<u128>()),
        claim: ClaimId {
            offset: Offset::from(1_000_000),
            index: 3,
        },
        ran: Execution::Ran,
        status: 200,
        digest: rng.random(),
    };
    let encoded = claims::encode(vec![sample_claim(rng.random(), rng.random()), finished])?.len();
    // The log encodes records as base64.
    let bytes_per_order = encoded as f64 * 4.0 / 3.0;
    let writers = ebonyfall_core::claim::MAX_WRITERS;
    Ok(Cost {
        claims: LEDGER_CLAIMS,
        ledger_bytes_per_claim: bytes_per_claim,
        resident_bytes_per_claim: resident_bytes as f64 / LEDGER_CLAIMS as f64,
        log_bytes_per_order: bytes_per_order,
        writers,
        appends_per_second_of_1000_daemons: writers * 10,
        orders_per_second_within_traffic: TRAFFIC_BYTES_PER_SECOND / bytes_per_order,
        orders_per_second_within_memory_24h: CONTROL_MEMORY_BYTES / bytes_per_claim / 86_400.0,
        orders_per_second_within_memory_1h: CONTROL_MEMORY_BYTES / bytes_per_claim / 3_600.0,
    })
}

/// Returns a ledger of `claims` claims, and the bytes by which it increased resident memory.
fn build_ledger(claims: u64, rng: &mut StdRng) -> Result<(Ledger, u64), Box<dyn Error>> {
    let before = resident_bytes()?;
    let mut ledger = Ledger::new(Duration::from_secs(86_400));
    for n in 0..claims {
        ledger.apply(
            n.into(),
            1_800_000_000_000,
            &[sample_claim(rng.random(), rng.random())],
        );
    }
    Ok((ledger, resident_bytes()?.saturating_sub(before)))
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    let kib: u64 = number.ok_or("no VmRSS in /proc/self/status")?.parse()?;
    Ok(kib << 10)
}
