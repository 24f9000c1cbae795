//! A randomized soak of entry routers as separate processes.
//!
//! Faults are injected from outside: signals, a proxy before each target, targets that misbehave and
//! a store that falls silent. Promises are checked from what callers and targets see.

use std::{
    collections::{BTreeMap, BTreeSet},
    error::Error,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use argh::FromArgs;
use ebonyfall_standin::{
    entrance::{Entrance, KEY},
    keyed::StoreFault,
    proxy::Harm,
    registered::Habit,
};
use http::StatusCode;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;
use serde_json::json;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::demo::programs;

/// Routers of one soak.
const ROUTERS: usize = 3;
/// Targets of one soak.
const TARGETS: usize = 4;
/// Bounds of the pause between two faults, in milliseconds.
const FAULT_PAUSE: [u64; 2] = [200, 1_500];
/// Pause between two calls of one caller, in milliseconds.
const CALL_PAUSE: u64 = 25;
/// Longest wait of a caller.
const PATIENCE: Duration = Duration::from_secs(12);
/// Time within which a router that was told to stop has ended.
const STOP_BOUND: Duration = Duration::from_secs(9);
/// Callers at once.
const CALLERS: usize = 8;
/// Time for which the deployment may recover before the last calls.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time after which a zone that is taken out gets nothing.
const ZONE_BOUND: Duration = Duration::from_secs(5);
/// Calls after the recovery, and how many of them must be served.
const LAST_CALLS: (usize, usize) = (40, 36);
/// Events of a stream.
const EVENTS: u32 = 6;

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
            seconds,
            programs: Some(programs.into()),
        }
    }
}

/// What one seed led to.
#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    calls: usize,
    served: usize,
    faults: usize,
    last_served: usize,
    broken: Vec<String>,
}

/// Kinds of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Safe,
    Unsafe,
    Resumable,
    Stream,
}

impl Kind {
    const ALL: [Self; 4] = [Self::Safe, Self::Unsafe, Self::Resumable, Self::Stream];

    fn request(self) -> (&'static str, &'static str) {
        match self {
            Self::Safe => ("GET", "/status/7"),
            Self::Unsafe => ("POST", "/order/7"),
            Self::Resumable => ("POST", "/suggest/7"),
            Self::Stream => ("POST", "/draft/7"),
        }
    }
}

/// What a caller saw.
#[derive(Debug)]
struct Seen {
    id: String,
    kind: Kind,
    status: Option<StatusCode>,
    sealed: bool,
    body: Option<String>,
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
        let report = soak(seed, Duration::from_secs(args.seconds), &program).await?;
        held &= report.broken.is_empty();
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(held)
}

async fn soak(seed: u64, length: Duration, program: &Path) -> Result<Report, Box<dyn Error>> {
    let mut random = StdRng::seed_from_u64(seed);
    let folder = tempfile::tempdir()?;
    let mut env = Entrance::start(program, folder.path(), ROUTERS, TARGETS).await;
    for target in &env.targets {
        target.set(answering());
    }
    let listen: Vec<_> = env.routers.iter().map(|router| router.listen).collect();
    let until = Instant::now() + length;
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let random = StdRng::seed_from_u64(random.random());
        callers.spawn(call_on(caller, listen.clone(), random, until));
    }
    let mut faults = Faults {
        random,
        version: 1,
        count: 0,
        out: None,
        broken: Vec::new(),
    };
    while Instant::now() < until {
        let [least, most] = FAULT_PAUSE;
        let pause = faults.random.random_range(least..most);
        sleep(Duration::from_millis(pause)).await;
        faults.next(&mut env).await?;
    }
    faults.mend(&mut env).await?;
    let mut calls = Vec::new();
    while let Some(caller) = callers.join_next().await {
        calls.extend(caller?);
    }
    sleep(RECOVERY).await;
    let mut last_served = 0;
    for number in 0..LAST_CALLS.0 {
        let address = listen[number % listen.len()];
        let last = call(address, format!("last-{number}"), Kind::Safe).await;
        last_served += usize::from(last.status == Some(StatusCode::OK));
        calls.push(last);
    }
    let mut broken = faults.broken;
    if last_served < LAST_CALLS.1 {
        broken.push(format!(
            "only {last_served} calls served after the recovery"
        ));
    }
    broken.extend(check(&env, &calls));
    let served = calls
        .iter()
        .filter(|calls| calls.status == Some(StatusCode::OK));
    let report = Report {
        seed,
        calls: calls.len(),
        served: served.count(),
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

const fn answering() -> Habit {
    Habit::Paths { events: EVENTS }
}

async fn call_on(
    caller: usize,
    listen: Vec<SocketAddr>,
    mut random: StdRng,
    until: Instant,
) -> Vec<Seen> {
    let mut seen = Vec::new();
    while Instant::now() < until {
        let kind = Kind::ALL[random.random_range(0..Kind::ALL.len())];
        let address = listen[random.random_range(0..listen.len())];
        let id = format!("{caller}-{}", seen.len());
        seen.push(call(address, id, kind).await);
        sleep(Duration::from_millis(CALL_PAUSE)).await;
    }
    seen
}

async fn call(address: SocketAddr, id: String, kind: Kind) -> Seen {
    let (method, path) = kind.request();
    let reply = Entrance::call(address, &id, (method, path, &id), &[]);
    let reply = timeout(PATIENCE, reply).await;
    let reply = reply.ok().flatten();
    Seen {
        id,
        kind,
        status: reply.as_ref().map(|reply| reply.status),
        sealed: reply
            .as_ref()
            .is_some_and(|reply| reply.headers.contains_key("ebonyfall-server-seal")),
        body: reply.and_then(|reply| reply.body.ok()),
    }
}

/// The promises that were broken.
fn check(env: &Entrance, seen: &[Seen]) -> Vec<String> {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for target in &env.targets {
        for ran in target.ran() {
            let id = ran.headers.get("ebonyfall-attempt-id").cloned();
            *runs.entry(id.unwrap_or_default()).or_default() += 1;
        }
    }
    let sent: BTreeSet<_> = seen.iter().map(|seen| seen.id.as_str()).collect();
    let mut broken: Vec<_> = runs
        .keys()
        .filter(|id| !sent.contains(id.as_str()))
        .map(|id| format!("{id} ran and was not sent"))
        .collect();
    for call in seen {
        let ran = runs.get(&call.id).copied().unwrap_or_default();
        let once = matches!(call.kind, Kind::Unsafe | Kind::Stream);
        if once && ran > 1 {
            broken.push(format!("{} ran {ran} times", call.id));
        }
        match (call.status, &call.body) {
            (Some(StatusCode::OK), _) if !call.sealed => {
                broken.push(format!("{} got a success without a receipt", call.id));
            }
            (Some(StatusCode::OK), Some(body)) if *body != expected(call.kind) => {
                broken.push(format!("{} got {body:?}", call.id));
            }
            (Some(StatusCode::SERVICE_UNAVAILABLE), _) if once && ran > 0 => {
                broken.push(format!("{} was refused and had run", call.id));
            }
            _ => {}
        }
    }
    broken
}

fn expected(kind: Kind) -> String {
    let event = |number| format!("id: {number}\ndata: token {number}\n\n");
    match kind {
        Kind::Safe | Kind::Unsafe => "done".to_owned(),
        Kind::Resumable | Kind::Stream => (1..=EVENTS).map(event).collect::<Vec<_>>().concat(),
    }
}

/// Injects faults, which overlap.
struct Faults {
    random: StdRng,
    version: u64,
    count: usize,
    /// The zone that is out, since when, and what its target had run once that was in force.
    out: Option<(usize, Instant, Option<usize>)>,
    broken: Vec<String>,
}

impl Faults {
    async fn next(&mut self, env: &mut Entrance) -> Result<(), Box<dyn Error>> {
        self.count += 1;
        self.watch_zone(env);
        let router = self.random.random_range(0..ROUTERS);
        let target = self.random.random_range(0..TARGETS);
        match self.random.random_range(0..10) {
            0 => env.signal(router, "KILL"),
            1 => env.signal(router, "TERM"),
            2 => env.signal(router, "STOP"),
            3 => env.signal(router, "HUP"),
            4 => {
                let faults = [StoreFault::Silent, StoreFault::Busy, StoreFault::None];
                env.store.set_fault(faults[target % faults.len()]).await;
            }
            5 | 6 => {
                let harms = [
                    Harm::Delay(Duration::from_millis(30)),
                    Harm::Reset,
                    Harm::CutUp,
                    Harm::CutDown,
                    Harm::Silence,
                ];
                let harm = harms[self.random.random_range(0..harms.len())];
                env.proxies[target].set(harm);
            }
            7 => {
                let habits = [
                    Habit::Fail,
                    Habit::Decline,
                    Habit::Other,
                    Habit::Lose,
                    Habit::Foreign,
                    Habit::Unsealed,
                ];
                env.targets[target].set(habits[self.random.random_range(0..habits.len())]);
            }
            8 => {
                self.version += 1;
                env.state(self.version, &[KEY]).await;
            }
            _ => self.turn_zone(env, target).await,
        }
        // Earlier faults end while new ones begin.
        let (router, target) = (
            self.random.random_range(0..ROUTERS),
            self.random.random_range(0..TARGETS),
        );
        env.signal(router, "CONT");
        env.restart(router)?;
        env.proxies[target].set(Harm::None);
        env.targets[target].set(answering());
        Ok(())
    }

    async fn turn_zone(&mut self, env: &Entrance, target: usize) {
        let out = self.out.take();
        let zone = out.map_or(target, |(zone, ..)| zone);
        let key = format!("evacuate/z{zone}");
        let value = out.is_none().then(|| json!({}));
        env.store.put("keyed.op", &key, value.as_ref()).await;
        if out.is_none() {
            self.out = Some((zone, Instant::now(), None));
        }
    }

    /// A zone that is out gets nothing, unless a router could not know.
    fn watch_zone(&mut self, env: &Entrance) {
        let Some((zone, since, known)) = &mut self.out else {
            return;
        };
        let ran = env.targets[*zone].ran().len();
        match known {
            None if since.elapsed() > ZONE_BOUND => *known = Some(ran),
            Some(before) if ran > *before && !env.store.was_harmed() => {
                self.broken
                    .push(format!("zone z{zone} got work while it was out"));
                *before = ran;
            }
            _ => {}
        }
    }

    async fn mend(&mut self, env: &mut Entrance) -> Result<(), Box<dyn Error>> {
        env.store.set_fault(StoreFault::None).await;
        if let Some((zone, ..)) = self.out.take() {
            let key = format!("evacuate/z{zone}");
            env.store.put("keyed.op", &key, None).await;
        }
        for target in 0..TARGETS {
            env.proxies[target].set(Harm::None);
            env.targets[target].set(answering());
        }
        for router in 0..ROUTERS {
            env.signal(router, "CONT");
        }
        // A router that was told to stop ends within its grace period.
        let deadline = Instant::now() + STOP_BOUND;
        while Instant::now() < deadline {
            for router in 0..ROUTERS {
                env.restart(router)?;
            }
            sleep(Duration::from_millis(200)).await;
        }
        Ok(())
    }
}
