//! A randomized soak test of entry routers that run as separate processes.
//!
//! Faults are injected from outside the routers: signals, a faulty proxy in front of each target,
//! misbehaving targets and an unresponsive store. The guarantees are checked against what callers
//! and targets observe.

use std::{
    collections::{BTreeMap, BTreeSet},
    error::Error,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use argh::FromArgs;
use ebonyfall_standin::{
    entrance::{ColdPeriod, EntryDeployment, FleetPlan, RETRY_WINDOW},
    registered::RegisteredTarget,
};
use http::StatusCode;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    bounds::{Peak, RetryLimit, Sent, worst_cold_second, worst_retry_window},
    callers::{Attempt, Attempts, Call, call_until, guest_calls, kept_calls},
    demo::programs,
    faults::{Faults, healthy_behaviour},
    planned::PlannedWork,
    work::WorkLog,
};

/// Requests per second that a cold target tolerates.
const COLD_RATE: f64 = 10.0;
/// Time that the deployment has to recover before the final calls.
const RECOVERY: Duration = Duration::from_secs(12);
/// Calls after the recovery, and how many of them must be served at least.
const FINAL_CALLS_AND_MIN_SERVED: (usize, usize) = (40, 36);
/// Longest time by which a final answer may exceed its caller's time budget: a new connection may
/// take a second, and machines that run several soaks are slow.
const DEADLINE_SLACK: Duration = Duration::from_millis(1_500);

/// Routers for each fault that is injected at the same time, so that large fleets get more of them.
const ROUTERS_PER_FAULT: usize = 8;
/// Time for which the faults of one step last in a run with single faults, and the time without faults
/// after it. Harm up to 3 s before a request excuses its end.
const SINGLE_FAULT_TIME: Duration = Duration::from_millis(500);
const CALM_TIME: Duration = Duration::from_secs(6);
/// Distinguishes the random numbers of planned work from those of faults.
const PLANNED_SEED: u64 = 0x504c_414e;
/// Runs that have failed, one a line with its cause.
const FAILED_RUNS: &str = include_str!("../soak-seeds.txt");

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
    /// retries that the fleet may send for each request, 0.2 by default
    #[argh(option, default = "0.2")]
    retry_ratio: f64,
    /// retries that the fleet may send in a window besides the ratio, 58 by default
    #[argh(option, default = "58.0")]
    retry_slack: f64,
    /// callers that send requests concurrently, 8 by default
    #[argh(option, default = "8")]
    callers: usize,
    /// seconds of faults for each seed
    #[argh(option, default = "20")]
    seconds: u64,
    /// clear faults soon, so that most requests meet planned work and pauses only
    #[argh(switch)]
    single: bool,
    /// repeat the runs that have failed before (bench/soak-seeds.txt), whatever the other options say
    #[argh(switch)]
    failed_runs: bool,
    /// folder of the programs; that of this program by default
    #[argh(option)]
    programs: Option<PathBuf>,
}

impl SoakArgs {
    /// Arguments for one seed, `seconds` of faults and the programs in a folder.
    pub fn one(seed: u64, seconds: u64, programs: impl Into<PathBuf>) -> Self {
        Self {
            seed,
            seeds: 1,
            routers: 3,
            targets: 4,
            retry_ratio: 0.2,
            retry_slack: 58.0,
            callers: 8,
            seconds,
            single: false,
            failed_runs: false,
            programs: Some(programs.into()),
        }
    }

    /// Clears faults soon, and allows these retries for each request and besides in each window.
    #[must_use]
    pub fn with_single_faults(self, retry_ratio: f64, retry_slack: f64) -> Self {
        Self {
            single: true,
            retry_ratio,
            retry_slack,
            ..self
        }
    }
}

/// The printed result of one seed.
#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    /// Attempts, including those with the guest key.
    calls: usize,
    served: usize,
    /// Requests with more than one attempt.
    repeated: usize,
    /// Repeated requests whose last attempt was served.
    repeated_served: usize,
    /// Attempts whose caller disconnected early.
    #[serde(rename = "left")]
    disconnected: usize,
    faults: usize,
    /// Pauses of sound targets and series of signals.
    planned: usize,
    /// Calls served after the recovery.
    last_served: usize,
    /// Window with most retries, of those that the fleet may send.
    retries: Option<Peak>,
    /// Second with most requests to a cold target.
    cold: Option<Peak>,
    /// Longest time for which two targets were at work on one request, without harm.
    overlap_ms: u128,
    /// Longest time for which a target was at work after its caller had left, without harm.
    after_leaving_ms: u128,
    /// Guarantees that were violated.
    broken: Vec<String>,
}

/// Parses the runs that have failed before: options, a colon and the cause on each line.
fn failed_runs() -> Result<Vec<SoakArgs>, Box<dyn Error>> {
    let lines = FAILED_RUNS.lines().filter(|line| !line.starts_with('#'));
    let parse = |line: &str| {
        let options = line.split(':').next().unwrap_or_default();
        let options: Vec<_> = options.split_whitespace().collect();
        SoakArgs::from_args(&["soak"], &options).map_err(|error| error.output.into())
    };
    lines.map(parse).collect()
}

/// Runs the soak; returns true if no guarantee was violated.
///
/// # Errors
///
/// Fails when the programs or a folder cannot be found.
pub async fn run(args: SoakArgs) -> Result<bool, Box<dyn Error>> {
    let mut passed = true;
    let folder = match &args.programs {
        Some(folder) => folder.clone(),
        None => programs()?,
    };
    let program = folder.join("ebonyfall-entry");
    let runs = if args.failed_runs {
        failed_runs()?
    } else {
        vec![args]
    };
    for args in &runs {
        for seed in args.seed..args.seed + args.seeds {
            let report = soak(seed, args, &program).await?;
            passed &= report.broken.is_empty();
            println!("{}", serde_json::to_string(&report)?);
        }
    }
    Ok(passed)
}

async fn soak(seed: u64, args: &SoakArgs, program: &Path) -> Result<Report, Box<dyn Error>> {
    let mut random = StdRng::seed_from_u64(seed);
    let folder = tempfile::tempdir()?;
    let plan = FleetPlan {
        routers: args.routers,
        targets: args.targets,
        retry_ratio: args.retry_ratio,
        retry_slack: args.retry_slack,
        cold_rate: COLD_RATE,
        router_settings: "",
    };
    let mut env = EntryDeployment::start_plan(program, folder.path(), &plan).await;
    for target in &env.targets {
        target.set_mode(healthy_behaviour());
    }
    let listen: Vec<_> = env.routers.iter().map(|router| router.listen).collect();
    let until = Instant::now() + Duration::from_secs(args.seconds);
    let mut callers = JoinSet::new();
    for caller in 0..args.callers {
        let random = StdRng::seed_from_u64(random.random());
        callers.spawn(call_until(caller, listen.clone(), random, until));
    }
    let mut planned_random = StdRng::seed_from_u64(seed ^ PLANNED_SEED);
    spawn_kept_callers(&mut callers, &listen, &mut planned_random, until);
    let guest_random = StdRng::seed_from_u64(random.random());
    let guest = tokio::spawn(guest_calls(listen.clone(), guest_random, until));
    let mut faults = Faults::new(random);
    let mut planned = PlannedWork::new(planned_random);
    while Instant::now() < until {
        inject(&mut env, &mut faults, &mut planned, args).await?;
    }
    planned.clear(&env);
    faults.clear_all(&mut env).await?;
    let mut requests: Vec<Attempts> = Vec::new();
    while let Some(caller) = callers.join_next().await {
        requests.extend(caller?);
    }
    let guest = guest.await?;
    faults.check_guest_key(&env, &guest);
    sleep(RECOVERY).await;
    let last = last_calls(&listen).await;
    let last_served = last.iter().filter(|attempt| attempt.is_served()).count();
    requests.extend(last.into_iter().map(|attempt| vec![attempt]));
    faults.check_catch_up(&mut env).await;
    let repeated: Vec<_> = requests
        .iter()
        .filter(|attempts| attempts.len() > 1)
        .collect();
    let ended_served = |attempts: &&&Attempts| attempts.last().is_some_and(Attempt::is_served);
    let (repeated, repeated_served) =
        (repeated.len(), repeated.iter().filter(ended_served).count());
    requests.extend(guest.into_iter().map(|attempt| vec![attempt]));
    requests.extend(faults.take_surges().await.into_iter().map(|one| vec![one]));
    let mut broken = std::mem::take(&mut faults.broken);
    if last_served < FINAL_CALLS_AND_MIN_SERVED.1 {
        broken.push(format!(
            "only {last_served} calls were served after the recovery"
        ));
    }
    let work: Vec<_> = env.targets.iter().map(RegisteredTarget::work).collect();
    let work = WorkLog::new(&work);
    broken.extend(check(&env, &requests, &work, &faults));
    let attempts = requests.iter().flatten();
    let (overlap, after_leaving) = work.longest_times(attempts, &faults.harm);
    let retries = worst_retries(&plan, &env, &requests);
    let cold = worst_cold(&env, &faults);
    broken.extend(exceeded_limits(retries, cold, &faults));
    let calls: Vec<_> = requests.iter().flatten().collect();
    let report = Report {
        seed,
        calls: calls.len(),
        served: calls.iter().filter(|attempt| attempt.is_served()).count(),
        repeated,
        repeated_served,
        disconnected: calls.iter().filter(|attempt| attempt.disconnected).count(),
        faults: faults.count,
        planned: planned.count,
        last_served,
        retries,
        cold: cold.map(|(peak, _)| peak),
        overlap_ms: overlap.as_millis(),
        after_leaving_ms: after_leaving.as_millis(),
        broken,
    };
    if !report.broken.is_empty() {
        // The logs of a failed run are kept for diagnosis.
        let kept = folder.keep();
        eprintln!(
            "seed {seed}: guarantees violated; logs kept in {}",
            kept.display()
        );
    }
    Ok(report)
}

fn spawn_kept_callers(
    callers: &mut JoinSet<Vec<Attempts>>,
    listen: &[SocketAddr],
    random: &mut StdRng,
    until: Instant,
) {
    for (router, address) in listen.iter().enumerate() {
        let random = StdRng::seed_from_u64(random.random());
        callers.spawn(kept_calls(router, *address, random, until));
    }
}

/// Injects the next faults, beside planned work.
async fn inject(
    env: &mut EntryDeployment,
    faults: &mut Faults,
    planned: &mut PlannedWork,
    args: &SoakArgs,
) -> Result<(), Box<dyn Error>> {
    let pause = faults.next_pause();
    planned.run(env, faults, pause).await?;
    // Faults of one step must not end a crash at once, before routers know of it.
    faults.bring_back_targets(env).await;
    for _ in 0..args.routers.div_ceil(ROUTERS_PER_FAULT) {
        faults.inject_next(env).await?;
    }
    if args.single {
        planned.run(env, faults, SINGLE_FAULT_TIME).await?;
        faults.clear(env).await?;
        planned.run(env, faults, CALM_TIME).await?;
    }
    Ok(())
}

/// Sends the calls after the recovery, to each router in turn.
async fn last_calls(listen: &[SocketAddr]) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    for number in 0..FINAL_CALLS_AND_MIN_SERVED.0 {
        let router = number % listen.len();
        let call = Call::idempotent(format!("last-{number}"), router);
        attempts.push(call.send(listen[router]).await);
    }
    attempts
}

/// Window with most retries of all routers.
fn worst_retries(
    plan: &FleetPlan<'_>,
    env: &EntryDeployment,
    requests: &[Attempts],
) -> Option<Peak> {
    let limit = RetryLimit {
        ratio: plan.retry_ratio,
        slack: plan.retry_slack,
        window: RETRY_WINDOW,
    };
    let sent = requests.iter().flatten().map(|attempt| Sent {
        at: attempt.began,
        attempt_id: attempt.id.clone(),
    });
    let sent: Vec<_> = sent.collect();
    let targets = env.targets.iter();
    let arrivals: Vec<_> = targets.flat_map(RegisteredTarget::arrivals).collect();
    worst_retry_window(limit, &sent, &arrivals)
}

/// Second with most requests of all routers to a cold target.
fn worst_cold(env: &EntryDeployment, faults: &Faults) -> Option<(Peak, ColdPeriod)> {
    let peaks = faults.cold_periods().iter().filter_map(|cold| {
        let arrivals = env.targets[cold.target].arrivals();
        let peak = worst_cold_second(COLD_RATE, cold, &arrivals)?;
        Some((peak, *cold))
    });
    peaks.max_by_key(|(peak, _)| peak.counted)
}

/// Returns the exceeded limits of all routers together, one message each.
fn exceeded_limits(
    retries: Option<Peak>,
    cold: Option<(Peak, ColdPeriod)>,
    faults: &Faults,
) -> Vec<String> {
    let mut broken = Vec::new();
    if let Some(peak) = retries.filter(Peak::is_exceeded) {
        broken.push(format!("retries of all routers: {peak}"));
    }
    if let Some((peak, cold)) = cold.filter(|(peak, _)| peak.is_exceeded()) {
        let target = cold.target;
        let was_running = !faults.harm.has_crashed(target, cold.start);
        broken.push(format!(
            "requests to cold target {target} of all routers: {peak}; it ran before: {was_running}"
        ));
    }
    broken
}

/// Returns the violated guarantees, one message each.
fn check(
    env: &EntryDeployment,
    requests: &[Attempts],
    work: &WorkLog,
    faults: &Faults,
) -> Vec<String> {
    let mut executions: BTreeMap<String, u32> = BTreeMap::new();
    for target in &env.targets {
        for ran in target.executed_requests() {
            let id = ran.headers.get("ebonyfall-attempt-id").cloned();
            *executions.entry(id.unwrap_or_default()).or_default() += 1;
        }
    }
    let calls = || requests.iter().flatten();
    let sent: BTreeSet<_> = calls().map(|attempt| attempt.id.as_str()).collect();
    let mut broken: Vec<_> = executions
        .keys()
        .filter(|id| !sent.contains(id.as_str()))
        .map(|id| format!("{id} ran on a target, but no caller sent it"))
        .collect();
    let ran = |call: &Attempt| executions.get(&call.id).copied().unwrap_or_default();
    for attempts in requests
        .iter()
        .filter(|attempts| attempts[0].kind.is_at_most_once())
    {
        let ran: u32 = attempts.iter().map(ran).sum();
        if ran > 1 {
            broken.push(format!(
                "{} must run at most once, but ran {ran} times over all its attempts",
                attempts[0].id
            ));
        }
    }
    for call in calls() {
        broken.extend(work.check(call, &faults.harm));
        match (call.status, &call.body) {
            (Some(StatusCode::OK), _) if !call.sealed => {
                broken.push(format!("{} got status 200 without a server seal", call.id));
            }
            (Some(StatusCode::OK), Some(body)) if *body != call.kind.answer() => {
                broken.push(format!("{} got the wrong body {body:?}", call.id));
            }
            _ => {}
        }
        if call.is_refused() && call.kind.is_at_most_once() && ran(call) > 0 {
            broken.push(format!("{} was refused although it had run", call.id));
        }
        if call.is_refused() && call.after.is_none() {
            broken.push(format!(
                "{} was refused without a retry-after header",
                call.id
            ));
        }
        if call.took > call.budget + DEADLINE_SLACK && !faults.was_router_stopped(call) {
            broken.push(format!(
                "{} took {:?} until its final answer with a budget of {:?}",
                call.id, call.took, call.budget
            ));
        }
    }
    broken
}

#[cfg(test)]
#[path = "../tests/unit/soak.rs"]
mod tests;
