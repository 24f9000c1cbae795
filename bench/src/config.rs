//! Measures the configuration: size and cost of records, memory, and the time until a change is in
//! force.

use std::{env, error::Error, fs, hint::black_box, process::Command, sync::Arc, time::Instant};

use argh::FromArgs;
use ebonyfall::{
    operate::{self, PublishOutcome, PublishRequest},
    platform::Platform,
    remote,
    view::View,
};
use ebonyfall_core::{
    config::{Chain, Change, DELTAS_PER_SNAPSHOT, Record},
    id::Offset,
    name::OperatorName,
    sections::{SectionBody, Sections},
};
use ebonyfall_standin::{
    deploy::{Deployment, OPERATOR_TOKEN, Plan},
    engine::EngineConfig,
    log::LogLimits,
};
use ebonyfall_wire::record;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Serialize;
use tokio::time::{Duration, sleep};

use crate::demo::programs;

/// Changes per day at the design size.
const CHANGES_PER_DAY: u64 = 5_600;
/// Targets at the design size.
const DESIGN_TARGETS: u32 = 3_200;
/// Teams at the design size.
const DESIGN_TEAMS: u32 = 2_500;
/// Documents held at once, over which the memory of one is averaged.
const HELD_COPIES: u64 = 8;

/// Measures configuration records and the time until a change is in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigArgs {
    /// seed of the changes, 1 by default
    #[argh(option, default = "1")]
    seed: u64,
    /// routers of the deployment, 8 by default; 0 skips the measurement with real processes
    #[argh(option, default = "8")]
    routers: u32,
    /// changes published to the deployment, 40 by default
    #[argh(option, default = "40")]
    changes: u32,
    /// runs per size, of which the median is reported, 15 by default
    #[argh(option, default = "15")]
    runs: usize,
    /// print only the memory in bytes of a document of TEAMS,TARGETS, in a fresh process
    #[argh(option)]
    held: Option<String>,
}

#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    sizes: Vec<SizeReport>,
    log: LogBytes,
    memory_bytes: Memory,
    in_force: Option<InForce>,
}

#[derive(Debug, Serialize)]
struct SizeReport {
    teams: u32,
    targets: u32,
    snapshot_bytes: usize,
    /// Largest delta of the runs.
    delta_bytes: usize,
    snapshot_apply_us: u64,
    delta_apply_us: u64,
    /// Time of building a view from the chain's tip.
    view_us: u64,
}

#[derive(Debug, Serialize)]
struct LogBytes {
    changes_a_day: u64,
    /// Deltas between two snapshots.
    snapshot_every: u32,
    /// Changes over which the bytes are counted before they are scaled to a day.
    changes_run: u64,
    bytes_a_day: u64,
    bytes_a_day_with_snapshots_only: u64,
}

#[derive(Debug, Serialize)]
struct Memory {
    per_team: u64,
    per_target: u64,
    /// A document of the design size.
    largest: u64,
}

#[derive(Debug, Serialize)]
struct InForce {
    processes: usize,
    changes: u32,
    samples: usize,
    p50_ms: u64,
    p99_ms: u64,
    max_ms: u64,
    goal_p99_ms: u64,
    bound_ms: u64,
}

/// Runs the measurements and prints the report as JSON; returns false if a change took longer than
/// the bound to be in force.
///
/// # Errors
///
/// Fails when the deployment cannot be started or a record is invalid.
pub async fn run(args: ConfigArgs) -> Result<bool, Box<dyn Error>> {
    if let Some(shape) = &args.held {
        let (teams, targets) = shape
            .split_once(',')
            .ok_or("--held must be TEAMS,TARGETS, two numbers")?;
        println!("{}", document_bytes(teams.parse()?, targets.parse()?)?);
        return Ok(true);
    }
    let sizes =
        [10, 100, 1_000, DESIGN_TEAMS].map(|teams| measure_size(teams, args.runs, args.seed));
    let in_force = match args.routers {
        0 => None,
        routers => Some(measure_in_force(routers, args.changes).await?),
    };
    let within_bound = in_force
        .as_ref()
        .is_none_or(|times| times.max_ms <= times.bound_ms);
    let report = Report {
        seed: args.seed,
        sizes: sizes.into_iter().collect::<Result<_, _>>()?,
        log: measure_log(args.seed)?,
        memory_bytes: measure_memory()?,
        in_force,
    };
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(within_bound)
}

fn body<const N: usize>(pairs: [(&str, String); N]) -> SectionBody {
    pairs.map(|(key, value)| (key.to_owned(), value)).into()
}

fn document(teams: u32, targets: u32) -> Sections {
    let mut sections = Sections::default();
    sections.put("environment", body([("name", "bench".into())]));
    sections.put("model labels", body([("version", "v1".into())]));
    for zone in 0..23 {
        let region = format!("region-{}", zone % 7);
        sections.put(&format!("zone zone-{zone}"), body([("region", region)]));
    }
    for team in 0..teams {
        let keys = format!("{team:064x}");
        let values = [
            ("keys", keys),
            ("weight", "1".into()),
            ("priority", "desk".into()),
            ("deadline", "30s".into()),
        ];
        sections.put(&format!("team team-{team}"), body(values));
    }
    for target in 0..targets {
        let values = [
            ("vm", format!("vm-{target}")),
            ("zone", format!("zone-{}", target % 23)),
            (
                "agent",
                format!("10.0.{}.{}:7400", target / 250, target % 250),
            ),
            ("model", "labels".into()),
            ("version", "v1".into()),
            ("slots", "32".into()),
            ("cold-slots", "4".into()),
        ];
        sections.put(&format!("target engine-{target}"), body(values));
    }
    sections
}

fn author() -> Result<OperatorName, Box<dyn Error>> {
    Ok("bench".parse()?)
}

/// Returns a chain whose first record is a snapshot of `sections`, and that record.
fn new_chain(sections: &Sections) -> Result<(Chain, Record), Box<dyn Error>> {
    let mut chain = Chain::new();
    let record = chain.propose(sections, 1, author()?, 0);
    chain.apply(Offset::from(0), Some(record.clone()));
    chain.tip().ok_or("the first document is invalid")?;
    Ok((chain, record))
}

fn set_weight(sections: &mut Sections, team: u32, weight: u32) {
    let title = format!("team team-{team}");
    let mut body = sections.get(&title).cloned().unwrap_or_default();
    body.insert("weight".to_owned(), weight.to_string());
    sections.put(&title, body);
}

fn measure_size(teams: u32, runs: usize, seed: u64) -> Result<SizeReport, Box<dyn Error>> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut sections = document(teams, DESIGN_TARGETS);
    let (_, first) = new_chain(&sections)?;
    let snapshot = record::encode(&first)?;
    let (mut snapshot_us, mut delta_us, mut view_us) = (Vec::new(), Vec::new(), Vec::new());
    let mut delta_bytes = 0;
    for _ in 0..runs {
        let mut chain = Chain::new();
        snapshot_us.push(time_us(|| {
            let record = record::decode(&snapshot).ok();
            black_box(chain.apply(Offset::from(0), record));
        }));
        set_weight(
            &mut sections,
            rng.random_range(0..teams),
            rng.random_range(2..1_000),
        );
        let delta = record::encode(&chain.propose(&sections, 2, author()?, 0))?;
        delta_bytes = delta_bytes.max(delta.len());
        delta_us.push(time_us(|| {
            let record = record::decode(&delta).ok();
            black_box(chain.apply(Offset::from(1), record));
        }));
        let tip = chain.tip().ok_or("the document is invalid")?;
        view_us.push(time_us(|| {
            black_box(View::new(tip));
        }));
        sections = document(teams, DESIGN_TARGETS);
    }
    Ok(SizeReport {
        teams,
        targets: DESIGN_TARGETS,
        snapshot_bytes: snapshot.len(),
        delta_bytes,
        snapshot_apply_us: median(snapshot_us),
        delta_apply_us: median(delta_us),
        view_us: median(view_us),
    })
}

fn time_us(run: impl FnOnce()) -> u64 {
    let start = Instant::now();
    run();
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}

fn median(mut values: Vec<u64>) -> u64 {
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or_default()
}

fn measure_log(seed: u64) -> Result<LogBytes, Box<dyn Error>> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut sections = document(DESIGN_TEAMS, DESIGN_TARGETS);
    let (mut chain, first) = new_chain(&sections)?;
    let snapshot_bytes = record::encode(&first)?.len() as u64;
    // Covers whole periods between snapshots, so that snapshots and deltas have their true shares
    // when scaled to a day.
    let changes_run = 2 * u64::from(DELTAS_PER_SNAPSHOT + 1);
    let mut bytes = 0;
    for offset in 1..=changes_run {
        set_weight(
            &mut sections,
            rng.random_range(0..DESIGN_TEAMS),
            rng.random_range(2..1_000),
        );
        let proposed = chain.propose(&sections, u128::from(offset), author()?, 0);
        bytes += record::encode(&proposed)?.len() as u64;
        chain.apply(Offset::from(offset), Some(proposed));
    }
    Ok(LogBytes {
        changes_a_day: CHANGES_PER_DAY,
        snapshot_every: DELTAS_PER_SNAPSHOT,
        changes_run,
        bytes_a_day: bytes * CHANGES_PER_DAY / changes_run,
        bytes_a_day_with_snapshots_only: snapshot_bytes * CHANGES_PER_DAY,
    })
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .ok_or("no resident size in /proc/self/statm")?
        .parse()?;
    Ok(pages * 4096)
}

/// Returns the mean memory in bytes of a chain and its view.
fn document_bytes(teams: u32, targets: u32) -> Result<u64, Box<dyn Error>> {
    let text: Arc<str> = Arc::from(document(teams, targets).render());
    let build = || -> Result<_, Box<dyn Error>> {
        let mut chain = Chain::new();
        let sections = Sections::parse("bench", &text).unwrap_or_default();
        let mut record = chain.propose(&sections, 1, author()?, 0);
        record.change = Change::Snapshot(Arc::clone(&text));
        chain.apply(Offset::from(0), Some(record));
        let view = View::new(chain.tip().ok_or("the document is invalid")?);
        Ok((chain, view))
    };
    // The first copy also makes the allocator's pools grow.
    let _warm = build()?;
    let before = resident_bytes()?;
    let copies = (0..HELD_COPIES)
        .map(|_| build())
        .collect::<Result<Vec<_>, _>>()?;
    let after = resident_bytes()?;
    black_box(&copies);
    Ok(after.saturating_sub(before) / HELD_COPIES)
}

/// Measures each size in a new process, so that no freed memory is reused.
fn measure_memory() -> Result<Memory, Box<dyn Error>> {
    let measure = |teams: u32, targets: u32| -> Result<u64, Box<dyn Error>> {
        let mut command = Command::new(env::current_exe()?);
        command.args(["config", "--held", &format!("{teams},{targets}")]);
        let output = command.output()?;
        Ok(String::from_utf8(output.stdout)?.trim().parse()?)
    };
    let empty = measure(1, 1)?;
    let per_item = |bytes: u64, count: u32| bytes.saturating_sub(empty) / u64::from(count);
    Ok(Memory {
        per_team: per_item(measure(DESIGN_TEAMS, 1)?, DESIGN_TEAMS),
        per_target: per_item(measure(1, DESIGN_TARGETS)?, DESIGN_TARGETS),
        largest: measure(DESIGN_TEAMS, DESIGN_TARGETS)?,
    })
}

async fn measure_in_force(routers: u32, changes: u32) -> Result<InForce, Box<dyn Error>> {
    let folder = tempfile::tempdir()?;
    let deployment = Deployment::start(&Plan {
        new_engines: (0, EngineConfig::default()),
        programs: programs()?,
        folder: folder.path().to_owned(),
        zones: ["hobart-a", "glenorchy-b", "kingston-c"]
            .map(str::to_owned)
            .to_vec(),
        engines: 4,
        services: 0,
        routers,
        engine: EngineConfig::default(),
        log: LogLimits::default(),
        document: String::new(),
        router_settings: String::new(),
    })
    .await?;
    let platform = Platform::new(&deployment.platform_url);
    let mut sections = Sections::parse("deployment", &deployment.document)
        .map_err(|_faults| "the deployment's configuration document has faults")?;
    let daemons = deployment.agents.iter().chain(&deployment.routers);
    let admins: Vec<_> = daemons.map(|daemon| daemon.admin).collect();
    let mut samples = Vec::new();
    for change in 0..changes {
        let mut body = sections.get("team desks").cloned().unwrap_or_default();
        body.insert("weight".to_owned(), (change + 2).to_string());
        sections.put("team desks", body);
        let text = sections.render();
        let req = PublishRequest {
            file: "bench",
            text: &text,
            author: author()?,
            base: None,
            initial: false,
        };
        let PublishOutcome::Changed { offset, .. } = operate::publish(&platform, req).await? else {
            return Err(
                "published a changed weight, but the configuration in force already had it".into(),
            );
        };
        for admin in &admins {
            samples.push(wait_in_force(*admin, offset).await?);
        }
    }
    samples.sort_unstable();
    let quantile = |percent: usize| samples[(samples.len() - 1) * percent / 100];
    Ok(InForce {
        processes: admins.len(),
        changes,
        samples: samples.len(),
        p50_ms: quantile(50),
        p99_ms: quantile(99),
        max_ms: quantile(100),
        goal_p99_ms: 3_000,
        bound_ms: 8_000,
    })
}

/// Waits until a process has `offset` in force; returns the time since publishing in milliseconds.
async fn wait_in_force(admin: std::net::SocketAddr, offset: Offset) -> Result<u64, Box<dyn Error>> {
    for _ in 0..600 {
        let state = remote::dump(admin, OPERATOR_TOKEN).await?.configuration;
        if state.offset == Some(offset) {
            return Ok(state.in_force_after_ms.unwrap_or_default());
        }
        sleep(Duration::from_millis(50)).await;
    }
    Err(format!(
        "process at {admin} did not put configuration offset {offset} in force within 30 s"
    )
    .into())
}
