//! Configuration: size and cost of records, memory, and the time until a change is in force.

use std::{env, error::Error, fs, hint::black_box, process::Command, sync::Arc, time::Instant};

use argh::FromArgs;
use ebonyfall::{
    admin_client,
    operate::{self, PublishOutcome, PublishRequest},
    platform::Platform,
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

/// Changes of a day at the target size.
const CHANGES_A_DAY: u64 = 5_600;
/// Targets at the target size.
const TARGETS: u32 = 3_200;
/// Teams at the target size.
const TEAMS: u32 = 2_500;
/// Documents held at once to measure the memory of one.
const COPIES: u64 = 8;

/// Measures configuration records and the time until a change is in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigArgs {
    /// seed of the changes, 1 by default
    #[argh(option, default = "1")]
    seed: u64,
    /// routers of the deployment, 8 by default; 0 leaves the real processes out
    #[argh(option, default = "8")]
    routers: u32,
    /// changes published to the deployment, 40 by default
    #[argh(option, default = "40")]
    changes: u32,
    /// runs of which the median is taken, 15 by default
    #[argh(option, default = "15")]
    runs: usize,
    /// only print the bytes that a document of TEAMS,TARGETS takes in a fresh process
    #[argh(option)]
    held: Option<String>,
}

#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    sizes: Vec<Size>,
    log: LogBytes,
    memory_bytes: Memory,
    in_force: Option<InForce>,
}

#[derive(Debug, Serialize)]
struct Size {
    teams: u32,
    targets: u32,
    snapshot_bytes: usize,
    delta_bytes: usize,
    snapshot_apply_us: u64,
    delta_apply_us: u64,
    view_us: u64,
}

#[derive(Debug, Serialize)]
struct LogBytes {
    changes_a_day: u64,
    snapshot_every: u32,
    /// Measured over this many changes and scaled to a day.
    changes_run: u64,
    bytes_a_day: u64,
    bytes_a_day_with_snapshots_only: u64,
}

#[derive(Debug, Serialize)]
struct Memory {
    per_team: u64,
    per_target: u64,
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

/// Runs the measurements and prints their report as JSON; false means that the bound was passed.
///
/// # Errors
///
/// Fails when the deployment cannot be started or a record is invalid.
pub async fn run(args: ConfigArgs) -> Result<bool, Box<dyn Error>> {
    if let Some(shape) = &args.held {
        let (teams, targets) = shape.split_once(',').ok_or("give TEAMS,TARGETS")?;
        println!("{}", held(teams.parse()?, targets.parse()?)?);
        return Ok(true);
    }
    let sizes = [10, 100, 1_000, TEAMS].map(|teams| size(teams, args.runs, args.seed));
    let in_force = match args.routers {
        0 => None,
        routers => Some(in_force(routers, args.changes).await?),
    };
    let held = in_force
        .as_ref()
        .is_none_or(|found| found.max_ms <= found.bound_ms);
    let report = Report {
        seed: args.seed,
        sizes: sizes.into_iter().collect::<Result<_, _>>()?,
        log: log_bytes(args.seed)?,
        memory_bytes: memory()?,
        in_force,
    };
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(held)
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

/// A chain with the document in force, and the record that led to it.
fn started(sections: &Sections) -> Result<(Chain, Record), Box<dyn Error>> {
    let mut chain = Chain::new();
    let record = chain.propose(sections, 1, author()?, 0);
    chain.apply(Offset::from(0), Some(record.clone()));
    chain.tip().ok_or("the first document is invalid")?;
    Ok((chain, record))
}

fn reweigh(sections: &mut Sections, team: u32, weight: u32) {
    let title = format!("team team-{team}");
    let mut body = sections.get(&title).cloned().unwrap_or_default();
    body.insert("weight".to_owned(), weight.to_string());
    sections.put(&title, body);
}

fn size(teams: u32, runs: usize, seed: u64) -> Result<Size, Box<dyn Error>> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut sections = document(teams, TARGETS);
    let (_, first) = started(&sections)?;
    let first = record::encode(&first)?;
    let (mut whole, mut edited, mut viewed) = (Vec::new(), Vec::new(), Vec::new());
    let mut delta_bytes = 0;
    for _ in 0..runs {
        let mut chain = Chain::new();
        whole.push(timed(|| {
            let record = record::decode(&first).ok();
            black_box(chain.apply(Offset::from(0), record));
        }));
        reweigh(
            &mut sections,
            rng.random_range(0..teams),
            rng.random_range(2..1_000),
        );
        let delta = record::encode(&chain.propose(&sections, 2, author()?, 0))?;
        delta_bytes = delta_bytes.max(delta.len());
        edited.push(timed(|| {
            let record = record::decode(&delta).ok();
            black_box(chain.apply(Offset::from(1), record));
        }));
        let tip = chain.tip().ok_or("the document is invalid")?;
        viewed.push(timed(|| {
            black_box(View::new(tip));
        }));
        sections = document(teams, TARGETS);
    }
    Ok(Size {
        teams,
        targets: TARGETS,
        snapshot_bytes: first.len(),
        delta_bytes,
        snapshot_apply_us: median(whole),
        delta_apply_us: median(edited),
        view_us: median(viewed),
    })
}

fn timed(run: impl FnOnce()) -> u64 {
    let start = Instant::now();
    run();
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}

fn median(mut values: Vec<u64>) -> u64 {
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or_default()
}

fn log_bytes(seed: u64) -> Result<LogBytes, Box<dyn Error>> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut sections = document(TEAMS, TARGETS);
    let (mut chain, first) = started(&sections)?;
    let whole = record::encode(&first)?.len() as u64;
    // Whole periods between snapshots, so that scaling to a day does not favour either kind.
    let changes_run = 2 * u64::from(DELTAS_PER_SNAPSHOT + 1);
    let mut bytes = 0;
    for offset in 1..=changes_run {
        reweigh(
            &mut sections,
            rng.random_range(0..TEAMS),
            rng.random_range(2..1_000),
        );
        let proposed = chain.propose(&sections, u128::from(offset), author()?, 0);
        bytes += record::encode(&proposed)?.len() as u64;
        chain.apply(Offset::from(offset), Some(proposed));
    }
    Ok(LogBytes {
        changes_a_day: CHANGES_A_DAY,
        snapshot_every: DELTAS_PER_SNAPSHOT,
        changes_run,
        bytes_a_day: bytes * CHANGES_A_DAY / changes_run,
        bytes_a_day_with_snapshots_only: whole * CHANGES_A_DAY,
    })
}

/// Resident memory of this process, in bytes.
fn resident() -> Result<u64, Box<dyn Error>> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = text.split(' ').nth(1).ok_or("no resident size")?.parse()?;
    Ok(pages * 4096)
}

/// Memory of a view and its chain.
fn held(teams: u32, targets: u32) -> Result<u64, Box<dyn Error>> {
    let text: Arc<str> = Arc::from(document(teams, targets).render());
    let make = || -> Result<_, Box<dyn Error>> {
        let mut chain = Chain::new();
        let sections = Sections::parse("bench", &text).unwrap_or_default();
        let mut record = chain.propose(&sections, 1, author()?, 0);
        record.change = Change::Snapshot(Arc::clone(&text));
        chain.apply(Offset::from(0), Some(record));
        let view = View::new(chain.tip().ok_or("the document is invalid")?);
        Ok((chain, view))
    };
    // The first one also grows the allocator's own pools.
    let _warm = make()?;
    let before = resident()?;
    let copies = (0..COPIES).map(|_| make()).collect::<Result<Vec<_>, _>>()?;
    let after = resident()?;
    black_box(&copies);
    Ok(after.saturating_sub(before) / COPIES)
}

/// Measures in processes of their own, where no earlier memory is used again.
fn memory() -> Result<Memory, Box<dyn Error>> {
    let measure = |teams: u32, targets: u32| -> Result<u64, Box<dyn Error>> {
        let mut command = Command::new(env::current_exe()?);
        command.args(["config", "--held", &format!("{teams},{targets}")]);
        let output = command.output()?;
        Ok(String::from_utf8(output.stdout)?.trim().parse()?)
    };
    let none = measure(1, 1)?;
    let of = |bytes: u64, count: u32| bytes.saturating_sub(none) / u64::from(count);
    Ok(Memory {
        per_team: of(measure(TEAMS, 1)?, TEAMS),
        per_target: of(measure(1, TARGETS)?, TARGETS),
        largest: measure(TEAMS, TARGETS)?,
    })
}

async fn in_force(routers: u32, changes: u32) -> Result<InForce, Box<dyn Error>> {
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
    })
    .await?;
    let platform = Platform::new(&deployment.platform_url);
    let mut sections = Sections::parse("deployment", &deployment.document)
        .map_err(|_faults| "the document has faults")?;
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
            return Err("the change was in force already".into());
        };
        for admin in &admins {
            samples.push(process(*admin, offset).await?);
        }
    }
    samples.sort_unstable();
    let at = |percent: usize| samples[(samples.len() - 1) * percent / 100];
    Ok(InForce {
        processes: admins.len(),
        changes,
        samples: samples.len(),
        p50_ms: at(50),
        p99_ms: at(99),
        max_ms: at(100),
        goal_p99_ms: 3_000,
        bound_ms: 8_000,
    })
}

/// Waits until a process has `offset` in force; returns the time since publishing.
async fn process(admin: std::net::SocketAddr, offset: Offset) -> Result<u64, Box<dyn Error>> {
    for _ in 0..600 {
        let state = admin_client::dump(admin, OPERATOR_TOKEN)
            .await?
            .configuration;
        if state.offset == Some(offset) {
            return Ok(state.in_force_after_ms.unwrap_or_default());
        }
        sleep(Duration::from_millis(50)).await;
    }
    Err(format!("{admin} did not take offset {offset} within 30 s").into())
}
