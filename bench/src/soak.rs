//! A randomized soak of entry routers as separate processes.
//!
//! Faults are injected from outside: signals, a proxy before each target, targets that misbehave and
//! a store that falls silent. Promises are checked from what callers and targets see.

use std::{
    collections::{BTreeMap, BTreeSet},
    error::Error,
    path::{Path, PathBuf},
    time::Duration,
};

use argh::FromArgs;
use ebonyfall_standin::entrance::EntryDeployment;
use http::StatusCode;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    callers::{Call, Seen, Tries, call_on, guest_calls},
    demo::programs,
    faults::{Faults, answering},
};

/// Callers at once.
const CALLERS: usize = 8;
/// Time for which the deployment may recover before the last calls.
const RECOVERY: Duration = Duration::from_secs(12);
/// Calls after the recovery, and how many of them must be served.
const LAST_CALLS: (usize, usize) = (40, 36);
/// Time beyond a caller's budget in which its final answer must have come: a new connection may take
/// a second, and machines that run several soaks are slow.
const LATE: Duration = Duration::from_millis(1_500);

/// Soaks entry routers with random faults.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct SoakArgs {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// routers of a deployment
    #[argh(option, default = "3")]
    routers: usize,
    /// targets of a deployment
    #[argh(option, default = "4")]
    targets: usize,
    /// seconds of faults for each seed
    #[argh(option, default = "20")]
    seconds: u64,
    /// folder of the programs; that of this program by default
    #[argh(option)]
    programs: Option<PathBuf>,
}

impl SoakArgs {
    /// One seed with the programs in a folder.
    pub fn one(seed: u64, seconds: u64, programs: impl Into<PathBuf>) -> Self {
        Self {
            seed,
            seeds: 1,
            routers: 3,
            targets: 4,
            seconds,
            programs: Some(programs.into()),
        }
    }
}

/// What one seed led to.
#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    /// Tries, those of a guest included.
    calls: usize,
    served: usize,
    /// Requests that were tried more than once, and how many of them were served.
    repeated: usize,
    repeated_served: usize,
    /// Requests whose caller went away.
    left: usize,
    faults: usize,
    last_served: usize,
    broken: Vec<String>,
}

/// Runs the soak; true when every promise held.
///
/// # Errors
///
/// Fails when the programs or a folder cannot be found.
pub async fn run(args: SoakArgs) -> Result<bool, Box<dyn Error>> {
    let mut held = true;
    let folder = match args.programs {
        Some(folder) => folder,
        None => programs()?,
    };
    let program = folder.join("ebonyfall-entry");
    for seed in args.seed..args.seed + args.seeds {
        let length = Duration::from_secs(args.seconds);
        let report = soak(seed, length, &program, (args.routers, args.targets)).await?;
        held &= report.broken.is_empty();
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(held)
}

async fn soak(
    seed: u64,
    length: Duration,
    program: &Path,
    (routers, targets): (usize, usize),
) -> Result<Report, Box<dyn Error>> {
    let mut random = StdRng::seed_from_u64(seed);
    let folder = tempfile::tempdir()?;
    let mut env = EntryDeployment::start(program, folder.path(), routers, targets).await;
    for target in &env.targets {
        target.set_mode(answering());
    }
    let listen: Vec<_> = env.routers.iter().map(|router| router.listen).collect();
    let until = Instant::now() + length;
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let random = StdRng::seed_from_u64(random.random());
        callers.spawn(call_on(caller, listen.clone(), random, until));
    }
    let guest_random = StdRng::seed_from_u64(random.random());
    let guest = tokio::spawn(guest_calls(listen.clone(), guest_random, until));
    let mut faults = Faults::new(random);
    while Instant::now() < until {
        sleep(faults.pause()).await;
        faults.next(&mut env).await?;
    }
    faults.mend(&mut env).await?;
    let mut requests: Vec<Tries> = Vec::new();
    while let Some(caller) = callers.join_next().await {
        requests.extend(caller?);
    }
    let guest = guest.await?;
    faults.check_guest(&env, &guest);
    sleep(RECOVERY).await;
    let mut last_served = 0;
    for number in 0..LAST_CALLS.0 {
        let router = number % listen.len();
        let last = Call::safe(format!("last-{number}"), router);
        let last = last.send(listen[router]).await;
        last_served += usize::from(last.is_served());
        requests.push(vec![last]);
    }
    let repeated: Vec<_> = requests.iter().filter(|tries| tries.len() > 1).collect();
    let ended_well = |tries: &&&Tries| tries.last().is_some_and(Seen::is_served);
    let (repeated, repeated_served) = (repeated.len(), repeated.iter().filter(ended_well).count());
    requests.extend(guest.into_iter().map(|seen| vec![seen]));
    let mut broken = std::mem::take(&mut faults.broken);
    if last_served < LAST_CALLS.1 {
        broken.push(format!(
            "only {last_served} calls served after the recovery"
        ));
    }
    broken.extend(check(&env, &requests, &faults));
    let calls: Vec<_> = requests.iter().flatten().collect();
    let report = Report {
        seed,
        calls: calls.len(),
        served: calls.iter().filter(|seen| seen.is_served()).count(),
        repeated,
        repeated_served,
        left: calls.iter().filter(|seen| seen.left).count(),
        faults: faults.count,
        last_served,
        broken,
    };
    if !report.broken.is_empty() {
        // The logs of a failure are kept as a finding.
        let kept = folder.keep();
        eprintln!("seed {seed}: logs in {}", kept.display());
    }
    Ok(report)
}

/// The promises that were broken.
fn check(env: &EntryDeployment, requests: &[Tries], faults: &Faults) -> Vec<String> {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for target in &env.targets {
        for ran in target.executed_requests() {
            let id = ran.headers.get("ebonyfall-attempt-id").cloned();
            *runs.entry(id.unwrap_or_default()).or_default() += 1;
        }
    }
    let calls = || requests.iter().flatten();
    let sent: BTreeSet<_> = calls().map(|seen| seen.id.as_str()).collect();
    let mut broken: Vec<_> = runs
        .keys()
        .filter(|id| !sent.contains(id.as_str()))
        .map(|id| format!("{id} ran and was not sent"))
        .collect();
    let ran = |call: &Seen| runs.get(&call.id).copied().unwrap_or_default();
    for tries in requests.iter().filter(|tries| tries[0].kind.is_once()) {
        let ran: u32 = tries.iter().map(ran).sum();
        if ran > 1 {
            broken.push(format!("{} ran {ran} times in all its tries", tries[0].id));
        }
    }
    for call in calls() {
        match (call.status, &call.body) {
            (Some(StatusCode::OK), _) if !call.sealed => {
                broken.push(format!("{} got a success without a receipt", call.id));
            }
            (Some(StatusCode::OK), Some(body)) if *body != call.kind.answer() => {
                broken.push(format!("{} got {body:?}", call.id));
            }
            _ => {}
        }
        if call.is_refused() && call.kind.is_once() && ran(call) > 0 {
            broken.push(format!("{} was refused and had run", call.id));
        }
        if call.is_refused() && call.after.is_none() {
            broken.push(format!(
                "{} was refused without a time to come back",
                call.id
            ));
        }
        if call.took > call.budget + LATE && !faults.was_stopped(call) {
            broken.push(format!(
                "{} had no final answer after {:?} of {:?}",
                call.id, call.took, call.budget
            ));
        }
    }
    broken
}
