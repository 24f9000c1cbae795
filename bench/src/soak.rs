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
    registered::{Habit, Registered},
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

/// A key that is given and taken away during a soak.
const GUEST_KEY: &str = "key-of-a-guest";
/// Pause between two calls with that key, in milliseconds.
const GUEST_PAUSE: u64 = 100;
/// Time after which a key that was taken away must not work, wherever a router stands.
const REVOCATION_BOUND: Duration = Duration::from_secs(5);
/// Bounds of the pause between two faults, in milliseconds.
const FAULT_PAUSE: [u64; 2] = [200, 1_500];
/// Pause between two calls of one caller, in milliseconds.
const CALL_PAUSE: u64 = 25;
/// Longest wait of a caller.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);
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
    let mut env = Entrance::start(program, folder.path(), routers, targets).await;
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
    let guest_random = StdRng::seed_from_u64(random.random());
    let guest = tokio::spawn(guest_calls(listen.clone(), guest_random, until));
    let mut faults = Faults {
        random,
        version: 1,
        count: 0,
        out: None,
        guest: vec![(Instant::now(), false)],
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
    let guest = guest.await?;
    faults.check_guest(&env, &guest);
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
    calls.extend(guest.into_iter().map(|(_, seen)| seen));
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

/// Calls with the guest's key, with the moment at which each call began.
async fn guest_calls(
    listen: Vec<SocketAddr>,
    mut random: StdRng,
    until: Instant,
) -> Vec<(Instant, Seen)> {
    let key = format!("Bearer {GUEST_KEY}");
    let mut seen = Vec::new();
    while Instant::now() < until {
        let address = listen[random.random_range(0..listen.len())];
        let began = Instant::now();
        let id = format!("guest-{}", seen.len());
        let headers = [("authorization", key.as_str())];
        seen.push((began, call_with(address, id, Kind::Safe, &headers).await));
        sleep(Duration::from_millis(GUEST_PAUSE)).await;
    }
    seen
}

async fn call(address: SocketAddr, id: String, kind: Kind) -> Seen {
    call_with(address, id, kind, &[]).await
}

async fn call_with(address: SocketAddr, id: String, kind: Kind, headers: &[(&str, &str)]) -> Seen {
    let (method, path) = kind.request();
    let reply = Entrance::call(address, &id, (method, path, &id), headers);
    let reply = timeout(CALL_TIMEOUT, reply).await;
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
    /// When the guest's key was given or taken away.
    guest: Vec<(Instant, bool)>,
    broken: Vec<String>,
}

impl Faults {
    async fn next(&mut self, env: &mut Entrance) -> Result<(), Box<dyn Error>> {
        self.count += 1;
        self.watch_zone(env);
        let router = self.random.random_range(0..env.routers.len());
        let target = self.random.random_range(0..env.targets.len());
        match self.random.random_range(0..13) {
            0 => env.signal(router, "KILL"),
            1 => env.signal(router, "TERM"),
            2 => env.signal(router, "STOP"),
            3 => env.signal(router, "HUP"),
            4 => {
                let faults = [
                    StoreFault::Silent,
                    StoreFault::Busy,
                    StoreFault::Limited,
                    StoreFault::None,
                ];
                env.store.set_fault(faults[target % faults.len()]).await;
            }
            5 | 6 => {
                let harm = self.harm();
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
            8 | 9 => self.change_state(env).await,
            10 | 11 => {
                let harm = self.harm();
                env.store_links[router].set(harm);
            }
            _ => self.turn_zone(env, target).await,
        }
        // Earlier faults end while new ones begin.
        let (router, target) = (
            self.random.random_range(0..env.routers.len()),
            self.random.random_range(0..env.targets.len()),
        );
        env.signal(router, "CONT");
        env.restart(router)?;
        env.proxies[target].set(Harm::None);
        env.targets[target].set(answering());
        let router = self.random.random_range(0..env.routers.len());
        env.store_links[router].set(Harm::None);
        Ok(())
    }

    fn harm(&mut self) -> Harm {
        let harms = [
            Harm::Delay(Duration::from_millis(30)),
            Harm::Reset,
            Harm::CutUp,
            Harm::CutDown,
            Harm::Silence,
        ];
        harms[self.random.random_range(0..harms.len())]
    }

    /// Writes a new version; every other one takes the guest's key away or gives it back.
    async fn change_state(&mut self, env: &Entrance) {
        self.version += 1;
        let known = self.guest.last().is_some_and(|(_, known)| *known);
        let known = known ^ self.random.random_bool(0.5);
        let keys: &[&str] = if known { &[KEY, GUEST_KEY] } else { &[KEY] };
        // Giving counts from its beginning, taking away from its acknowledgement.
        let began = Instant::now();
        env.state(self.version, keys).await;
        let at = if known { began } else { Instant::now() };
        self.guest.push((at, known));
    }

    /// A key that was taken away works nowhere after the bound.
    fn check_guest(&mut self, env: &Entrance, calls: &[(Instant, Seen)]) {
        let ran = env.targets.iter().flat_map(Registered::ran);
        let ran: BTreeSet<_> = ran
            .filter_map(|seen| seen.headers.get("ebonyfall-attempt-id").cloned())
            .collect();
        for (began, seen) in calls {
            let mut before = self.guest.iter().rev();
            let taken = before.find(|(at, _)| at <= began);
            // Every version since then has to be without the key.
            let since = self.guest.iter().rev().skip_while(|(at, _)| at > began);
            let since = since.take_while(|(_, known)| !known).last();
            let lapsed = taken.is_some_and(|(_, known)| !known)
                && since.is_some_and(|(at, _)| began.duration_since(*at) > REVOCATION_BOUND);
            if lapsed && ran.contains(&seen.id) {
                self.broken
                    .push(format!("{} ran on a key that was taken away", seen.id));
            }
        }
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
        for target in 0..env.targets.len() {
            env.proxies[target].set(Harm::None);
            env.targets[target].set(answering());
        }
        for router in 0..env.routers.len() {
            env.store_links[router].set(Harm::None);
            env.signal(router, "CONT");
        }
        // A router that was told to stop ends within its grace period.
        let deadline = Instant::now() + STOP_BOUND;
        while Instant::now() < deadline {
            for router in 0..env.routers.len() {
                env.restart(router)?;
            }
            sleep(Duration::from_millis(200)).await;
        }
        Ok(())
    }
}
