//! Measures latency overhead, throughput and memory of real processes over loopback.

use std::{
    error::Error,
    fs,
    path::{Path, PathBuf},
    sync::Arc,
    time::{Duration, Instant},
};

use argh::FromArgs;
use ebonyfall_standin::{
    deploy::{Daemon, Deployment, Plan},
    engine::EngineConfig,
    log::LogLimits,
};
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Serialize;
use serde_json::json;
use tokio::{task::JoinSet, time::sleep};

use crate::{
    client::{Caller, Outcome, messages},
    demo,
};

const CONCURRENT_CHATS: [usize; 3] = [1, 16, 256];
const OPEN_STREAMS: [usize; 4] = [16, 250, 1000, 2000];
/// Tokens of each answer.
const ANSWER_TOKENS: u32 = 8;
/// Concurrent callers in the throughput measurement.
const THROUGHPUT_CALLERS: usize = 64;
/// Time before each memory reading, so that allocations settle.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Measures the delay that router and agent add, requests a second of one router, and memory, with
/// real processes over loopback.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// seconds of each measurement, 6 by default
    #[argh(option, default = "6")]
    seconds: u64,
    /// seed of the pauses between requests, 1 by default
    #[argh(option, default = "1")]
    seed: u64,
    /// leave the memory of open streams out
    #[argh(switch)]
    quick: bool,
}

/// Time to the first token through the router and directly to the engine.
#[derive(Debug, Serialize)]
struct DelayRow {
    chats: usize,
    requests: u64,
    failed: u64,
    direct_p50_us: u64,
    direct_p99_us: u64,
    routed_p50_us: u64,
    routed_p99_us: u64,
    added_p50_us: i64,
    added_p99_us: i64,
}

/// Resident memory of the router and the agent while `streams` streams are open.
#[derive(Debug, Serialize)]
struct MemoryRow {
    streams: usize,
    router_kib: u64,
    agent_kib: u64,
}

/// The printed measurements.
#[derive(Debug, Default, Serialize)]
struct Report {
    idle_router_kib: u64,
    idle_agent_kib: u64,
    delay: Vec<DelayRow>,
    requests_per_second: u64,
    memory: Vec<MemoryRow>,
    router_bytes_per_stream: i64,
    agent_bytes_per_stream: i64,
}

/// Prints the measurements as JSON; returns false if a latency request failed.
///
/// # Errors
///
/// Fails when the deployment cannot be started.
pub async fn run(args: LoadArgs) -> Result<bool, Box<dyn Error>> {
    let mut report = Report::default();
    if !args.quick {
        // Slow tokens keep the CPU load of open streams low, whatever their number.
        let folder = tempfile::tempdir()?;
        let deployment = deploy(folder.path(), 500_000).await?;
        open_streams(&mut report, &deployment.routers[0], &deployment.agents[0]).await?;
    }
    let folder = tempfile::tempdir()?;
    let deployment = deploy(folder.path(), 20_000).await?;
    let routed = Caller::new(deployment.routers[0].listen);
    let direct = Caller::new(deployment.engines[0].0);
    for chats in CONCURRENT_CHATS {
        // Two short alternating rounds each, so that a change in machine load affects both alike.
        let mut histograms = [histogram(), histogram()];
        let mut failed = 0;
        for round in 0..4 {
            let caller = if round % 2 == 0 { &direct } else { &routed };
            let seed = args.seed * 100 + round / 2;
            let (times, round_failed) = measure_first_token(&args, caller, chats, seed).await;
            histograms[usize::from(round % 2 == 1)].add(times)?;
            failed += round_failed;
        }
        let [direct, routed] = histograms;
        let at = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q);
        let added = |q| at(&routed, q).cast_signed() - at(&direct, q).cast_signed();
        report.delay.push(DelayRow {
            chats,
            requests: routed.len(),
            failed,
            direct_p50_us: at(&direct, 0.5),
            direct_p99_us: at(&direct, 0.99),
            routed_p50_us: at(&routed, 0.5),
            routed_p99_us: at(&routed, 0.99),
            added_p50_us: added(0.5),
            added_p99_us: added(0.99),
        });
    }
    report.requests_per_second = throughput(&args, &routed).await;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(report.delay.iter().all(|row| row.failed == 0))
}

async fn deploy(folder: &Path, token_us: u64) -> Result<Deployment, Box<dyn Error>> {
    let plan = Plan {
        new_engines: (0, EngineConfig::default()),
        programs: demo::programs()?,
        folder: folder.to_owned(),
        zones: vec!["hobart-a".to_owned()],
        engines: 1,
        services: 0,
        routers: 1,
        engine: EngineConfig {
            slots: 4096,
            cold_slots: 4096,
            warm_after: 1,
            prefill_us_per_kb: 0,
            token_us,
            ..EngineConfig::default()
        },
        log: LogLimits::default(),
        document: String::new(),
        router_settings: String::new(),
    };
    Ok(Deployment::start(&plan).await?)
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are supported")
}

/// Streams chats that each take a few hundred milliseconds, with random pauses between them. The
/// engine sends the first token without a timer, whose granularity would hide the overhead.
async fn measure_first_token(
    args: &LoadArgs,
    caller: &Caller,
    chats: usize,
    seed: u64,
) -> (Histogram<u64>, u64) {
    let end = Instant::now() + Duration::from_secs(args.seconds) / 2;
    let mut tasks = JoinSet::new();
    for chat in 0..chats as u64 {
        let caller = caller.clone();
        let mut rng = SmallRng::seed_from_u64(seed * 1_000_000 + chat);
        tasks.spawn(async move {
            let mut times = Vec::new();
            while Instant::now() < end {
                sleep(Duration::from_micros(rng.random_range(0..40_000))).await;
                let messages = messages(rng.random(), 2, ANSWER_TOKENS);
                let (outcome, timing) = caller.chat(&messages, ANSWER_TOKENS, true).await;
                times.push((
                    matches!(outcome, Outcome::Completed { .. }),
                    timing.first_event,
                ));
            }
            times
        });
    }
    let mut histogram = histogram();
    let mut failed = 0;
    for (completed, time) in tasks.join_all().await.into_iter().flatten() {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        histogram.record(micros).expect("the histogram grows");
        failed += u64::from(!completed);
    }
    (histogram, failed)
}

async fn throughput(args: &LoadArgs, caller: &Caller) -> u64 {
    let end = Instant::now() + Duration::from_secs(args.seconds);
    let messages: Arc<[_]> = messages(1, 0, 0).into();
    let mut tasks = JoinSet::new();
    for _ in 0..THROUGHPUT_CALLERS {
        let (caller, messages) = (caller.clone(), Arc::clone(&messages));
        tasks.spawn(async move {
            let mut completed = 0;
            while Instant::now() < end {
                let (outcome, _) = caller.chat(&messages, 0, false).await;
                completed += u64::from(matches!(outcome, Outcome::Completed { .. }));
            }
            completed
        });
    }
    tasks.join_all().await.into_iter().sum::<u64>() / args.seconds
}

async fn open_streams(
    report: &mut Report,
    router: &Daemon,
    agent: &Daemon,
) -> Result<(), Box<dyn Error>> {
    sleep(SETTLE_TIME).await;
    report.idle_router_kib = resident_kib(router)?;
    report.idle_agent_kib = resident_kib(agent)?;
    let caller = Caller::new(router.listen);
    let mut open = Vec::new();
    for streams in OPEN_STREAMS {
        while open.len() < streams {
            let body = json!({
                "model": "labels", "messages": messages(open.len() as u64, 2, ANSWER_TOKENS),
                "max_tokens": 1_000_000, "stream": true,
            });
            let path = "/v1/chat/completions";
            let deadline = [("x-deadline-ms", "600000")];
            let mut res = caller
                .send("POST", path, &body.to_string(), &deadline)
                .await?;
            if !res.status().is_success() {
                return Err(format!("could not open stream {}: error status", open.len()).into());
            }
            res.body_mut()
                .frame()
                .await
                .ok_or("the stream ended before its first event")??;
            open.push(tokio::spawn(async move {
                let mut body = res.into_body();
                while let Some(Ok(_)) = body.frame().await {}
            }));
        }
        sleep(SETTLE_TIME).await;
        report.memory.push(MemoryRow {
            streams,
            router_kib: resident_kib(router)?,
            agent_kib: resident_kib(agent)?,
        });
    }
    for stream in open {
        stream.abort();
    }
    let [first, .., last] = report.memory.as_slice() else {
        return Ok(());
    };
    let streams = i64::try_from(last.streams - first.streams)?;
    let slope = |a: u64, b: u64| (b.cast_signed() - a.cast_signed()) * 1024 / streams;
    report.router_bytes_per_stream = slope(first.router_kib, last.router_kib);
    report.agent_bytes_per_stream = slope(first.agent_kib, last.agent_kib);
    Ok(())
}

/// Resident memory of a daemon, in KiB.
fn resident_kib(daemon: &Daemon) -> Result<u64, Box<dyn Error>> {
    let path = PathBuf::from(format!("/proc/{}/status", daemon.id()));
    let status = fs::read_to_string(path)?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let text = line.and_then(|line| line.trim().strip_suffix(" kB"));
    Ok(text
        .ok_or("/proc/<pid>/status has no VmRSS in kB")?
        .parse()?)
}
