//! Measures gossip traffic, CPU time and memory of idle daemons as real processes on loopback.

use std::{error::Error, fs, process::Command, time::Duration};

use ebonyfall_standin::{
    deploy::{Daemon, Deployment, Plan},
    engine::EngineConfig,
    log::LogLimits,
};
use serde::Serialize;
use serde_json::Value;
use tokio::time::sleep;

use crate::demo::programs;

/// Upper limit on the number of started daemons.
const MAX_PROCESSES: usize = 250;
/// Time after the start that CPU measurements leave out.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Unit of CPU times in `/proc/<pid>/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resource use of the daemons; fields ending in `_max` are the highest of any daemon.
#[derive(Debug, Serialize)]
pub struct ProcessReport {
    processes: usize,
    seconds: u64,
    /// Mean bytes sent and received by a daemon, without IP and UDP headers, over its lifetime.
    gossip_bytes_per_s: f64,
    gossip_bytes_per_s_max: f64,
    /// Mean CPU time of an idle daemon, including its polling of the log.
    core_percent: f64,
    core_percent_max: f64,
    resident_mb: f64,
    resident_mb_max: f64,
    false_suspicions: u64,
    members_known_min: u64,
    /// Daemons that did not know all others.
    incomplete: Vec<String>,
}

/// Starts `count` idle daemons, three quarters of them agents, and measures them for `seconds`; the
/// count is limited to between 4 and 250.
///
/// # Errors
///
/// Fails when the deployment cannot be started or a daemon's figures cannot be read.
pub async fn measure(count: usize, seconds: u64) -> Result<ProcessReport, Box<dyn Error>> {
    let count = count.clamp(4, MAX_PROCESSES);
    let routers = u32::try_from(count / 4)?;
    let folder = tempfile::tempdir()?;
    let mut deployment = Deployment::start(&Plan {
        new_engines: (0, EngineConfig::default()),
        programs: programs()?,
        folder: folder.path().to_owned(),
        zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
        engines: 0,
        services: u32::try_from(count)? - routers,
        routers,
        engine: EngineConfig::default(),
        log: LogLimits::default(),
        document: String::new(),
        router_settings: String::new(),
    })
    .await?;
    sleep(SETTLE_TIME).await;
    let mut daemons: Vec<_> = deployment.agents.drain(..).collect();
    daemons.append(&mut deployment.routers);
    let before = daemons
        .iter()
        .map(cpu_ticks)
        .collect::<Result<Vec<_>, _>>()?;
    sleep(Duration::from_secs(seconds)).await;
    let after = daemons
        .iter()
        .map(cpu_ticks)
        .collect::<Result<Vec<_>, _>>()?;
    let mut core = Vec::new();
    for (before, after) in before.iter().zip(after) {
        #[expect(clippy::cast_precision_loss, reason = "ticks and seconds fit an f64")]
        core.push((after - before) as f64 / TICKS_PER_SECOND / seconds as f64 * 100.0);
    }
    let memory = daemons
        .iter()
        .map(read_resident_mb)
        .collect::<Result<Vec<_>, _>>()?;
    for daemon in &daemons {
        Command::new("kill").arg(daemon.id().to_string()).status()?;
    }
    let mut bytes = Vec::new();
    let (mut suspected, mut known) = (0, u64::MAX);
    let mut incomplete = Vec::new();
    for daemon in &mut daemons {
        daemon.wait()?;
        let log = fs::read_to_string(folder.path().join(format!("{}.log", daemon.name)))?;
        let line = log.lines().rfind(|line| line.contains("leaving announced"));
        let line: Value =
            serde_json::from_str(line.ok_or("a daemon's log has no \"leaving announced\" line")?)?;
        let number = |key: &str| line[key].as_u64().unwrap_or(0);
        #[expect(clippy::cast_precision_loss, reason = "bytes and times fit an f64")]
        bytes.push(
            (number("sent_bytes") + number("received_bytes")) as f64 * 1_000.0
                / number("after_ms").max(1) as f64,
        );
        suspected += number("suspected");
        known = known.min(number("members"));
        if number("members") + 1 < count as u64 {
            incomplete.push(daemon.name.clone());
        }
    }
    Ok(ProcessReport {
        processes: count,
        seconds,
        gossip_bytes_per_s: mean(&bytes),
        gossip_bytes_per_s_max: maximum(&bytes),
        core_percent: mean(&core),
        core_percent_max: maximum(&core),
        resident_mb: mean(&memory),
        resident_mb_max: maximum(&memory),
        false_suspicions: suspected,
        members_known_min: known,
        incomplete,
    })
}

/// CPU time of a daemon, in clock ticks.
fn cpu_ticks(daemon: &Daemon) -> Result<u64, Box<dyn Error>> {
    let text = fs::read_to_string(format!("/proc/{}/stat", daemon.id()))?;
    let fields = text
        .rsplit(')')
        .next()
        .ok_or("/proc/<pid>/stat has no fields")?;
    let mut fields = fields.split_whitespace().skip(11);
    let mut next = || fields.next().ok_or("/proc/<pid>/stat has too few fields");
    Ok(next()?.parse::<u64>()? + next()?.parse::<u64>()?)
}

/// Resident memory of a daemon, in megabytes.
fn read_resident_mb(daemon: &Daemon) -> Result<f64, Box<dyn Error>> {
    let text = fs::read_to_string(format!("/proc/{}/statm", daemon.id()))?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .ok_or("/proc/<pid>/statm has too few fields")?;
    Ok(pages.parse::<f64>()? * 4096.0 / 1e6)
}

#[expect(clippy::cast_precision_loss, reason = "there are few values")]
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn maximum(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}
