//! Faults of a soak, injected from outside the routers.

use std::{
    collections::{BTreeSet, HashMap},
    error::Error,
    time::Duration,
};

use ebonyfall_standin::{
    entrance::{EntryDeployment, TEAM_KEY},
    keyed::StoreFault,
    proxy::ConnectionFault,
    registered::{AnswerMode, RegisteredTarget},
};
use rand::{Rng, rngs::StdRng};
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::callers::{EVENTS, GUEST_KEY, Seen};

/// Time after which a key that was taken away must not work, wherever a router stands.
const REVOCATION_BOUND: Duration = Duration::from_secs(5);
/// Bounds of the pause between two faults, in milliseconds.
const FAULT_PAUSE: [u64; 2] = [200, 1_500];
/// Time within which a router that was told to stop has ended.
const STOP_BOUND: Duration = Duration::from_secs(9);
/// Time after which a zone that is taken out gets nothing.
const ZONE_BOUND: Duration = Duration::from_secs(5);

/// What targets do while nothing is wrong with them.
pub const fn answering() -> AnswerMode {
    AnswerMode::ByPath { events: EVENTS }
}

/// Injects faults, which overlap.
#[derive(Debug)]
pub struct Faults {
    random: StdRng,
    version: u64,
    /// Faults so far.
    pub count: usize,
    /// Routers that are stopped, since when.
    stopped: HashMap<usize, Instant>,
    /// Times for which a router was stopped.
    pauses: Vec<(usize, Instant, Instant)>,
    /// The zone that is out, since when, and what its target had run once that was in force.
    out: Option<(usize, Instant, Option<usize>)>,
    /// When the guest's key was given or taken away.
    guest: Vec<(Instant, bool)>,
    /// Promises that were broken.
    pub broken: Vec<String>,
}

impl Faults {
    /// Starts without a fault.
    pub fn new(random: StdRng) -> Self {
        Self {
            random,
            version: 1,
            count: 0,
            stopped: HashMap::new(),
            pauses: Vec::new(),
            out: None,
            guest: vec![(Instant::now(), false)],
            broken: Vec::new(),
        }
    }

    /// How long to wait for the next fault.
    pub fn pause(&mut self) -> Duration {
        let [least, most] = FAULT_PAUSE;
        Duration::from_millis(self.random.random_range(least..most))
    }

    /// Injects one fault and ends others.
    ///
    /// # Errors
    ///
    /// Fails when a program does not start again.
    pub async fn next(&mut self, env: &mut EntryDeployment) -> Result<(), Box<dyn Error>> {
        self.count += 1;
        self.watch_zone(env);
        let router = self.random.random_range(0..env.routers.len());
        let target = self.random.random_range(0..env.targets.len());
        match self.random.random_range(0..13) {
            0 => env.signal(router, "KILL"),
            1 => env.signal(router, "TERM"),
            2 => self.stop(env, router),
            3 => env.signal(router, "HUP"),
            4 => {
                let faults = [
                    StoreFault::NoAnswer,
                    StoreFault::Unavailable,
                    StoreFault::RateLimited,
                    StoreFault::None,
                ];
                env.store.set_fault(faults[target % faults.len()]).await;
            }
            5 | 6 => {
                let fault = self.fault();
                env.proxies[target].set_fault(fault);
            }
            7 => {
                let modes = [
                    AnswerMode::Fail,
                    AnswerMode::Decline,
                    AnswerMode::WrongTarget,
                    AnswerMode::CloseUnanswered,
                    AnswerMode::WrongAttemptId,
                    AnswerMode::NoServerSeal,
                ];
                env.targets[target].set_mode(modes[self.random.random_range(0..modes.len())]);
            }
            8 | 9 => self.change_state(env).await,
            10 | 11 => {
                let fault = self.fault();
                env.store_proxies[router].set_fault(fault);
            }
            _ => self.turn_zone(env, target).await,
        }
        // Earlier faults end while new ones begin.
        let (router, target) = (
            self.random.random_range(0..env.routers.len()),
            self.random.random_range(0..env.targets.len()),
        );
        self.resume(env, router);
        env.restart(router)?;
        env.proxies[target].set_fault(ConnectionFault::None);
        env.targets[target].set_mode(answering());
        let router = self.random.random_range(0..env.routers.len());
        env.store_proxies[router].set_fault(ConnectionFault::None);
        Ok(())
    }

    fn stop(&mut self, env: &mut EntryDeployment, router: usize) {
        env.signal(router, "STOP");
        self.stopped.entry(router).or_insert_with(Instant::now);
    }

    fn resume(&mut self, env: &mut EntryDeployment, router: usize) {
        env.signal(router, "CONT");
        if let Some(since) = self.stopped.remove(&router) {
            self.pauses.push((router, since, Instant::now()));
        }
    }

    /// Whether a router was stopped at any time of a try.
    pub fn was_stopped(&self, seen: &Seen) -> bool {
        let end = seen.began + seen.took;
        let mut pauses = self.pauses.iter();
        pauses.any(|(router, from, to)| *router == seen.router && *from < end && seen.began < *to)
    }

    fn fault(&mut self) -> ConnectionFault {
        let faults = [
            ConnectionFault::Delay(Duration::from_millis(30)),
            ConnectionFault::Reset,
            ConnectionFault::DropToServer,
            ConnectionFault::DropToCaller,
            ConnectionFault::DropAll,
        ];
        faults[self.random.random_range(0..faults.len())]
    }

    /// Writes a new version; every other one takes the guest's key away or gives it back.
    async fn change_state(&mut self, env: &EntryDeployment) {
        self.version += 1;
        let known = self.guest.last().is_some_and(|(_, known)| *known);
        let known = known ^ self.random.random_bool(0.5);
        let keys: &[&str] = if known {
            &[TEAM_KEY, GUEST_KEY]
        } else {
            &[TEAM_KEY]
        };
        // Giving counts from its beginning, taking away from its acknowledgement.
        let began = Instant::now();
        env.put_desired_state(self.version, keys).await;
        let at = if known { began } else { Instant::now() };
        self.guest.push((at, known));
    }

    /// A key that was taken away works nowhere after the bound.
    pub fn check_guest(&mut self, env: &EntryDeployment, calls: &[Seen]) {
        let ran = env
            .targets
            .iter()
            .flat_map(RegisteredTarget::executed_requests);
        let ran: BTreeSet<_> = ran
            .filter_map(|seen| seen.headers.get("ebonyfall-attempt-id").cloned())
            .collect();
        for seen in calls {
            let began = &seen.began;
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

    async fn turn_zone(&mut self, env: &EntryDeployment, target: usize) {
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
    fn watch_zone(&mut self, env: &EntryDeployment) {
        let Some((zone, since, known)) = &mut self.out else {
            return;
        };
        let ran = env.targets[*zone].executed_requests().len();
        match known {
            None if since.elapsed() > ZONE_BOUND => *known = Some(ran),
            Some(before) if ran > *before && !env.store.had_fault() => {
                self.broken
                    .push(format!("zone z{zone} got work while it was out"));
                *before = ran;
            }
            _ => {}
        }
    }

    /// Ends all faults.
    ///
    /// # Errors
    ///
    /// Fails when a program does not start again.
    pub async fn mend(&mut self, env: &mut EntryDeployment) -> Result<(), Box<dyn Error>> {
        env.store.set_fault(StoreFault::None).await;
        if let Some((zone, ..)) = self.out.take() {
            let key = format!("evacuate/z{zone}");
            env.store.put("keyed.op", &key, None).await;
        }
        for target in 0..env.targets.len() {
            env.proxies[target].set_fault(ConnectionFault::None);
            env.targets[target].set_mode(answering());
        }
        for router in 0..env.routers.len() {
            env.store_proxies[router].set_fault(ConnectionFault::None);
            self.resume(env, router);
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
