//! Fault injection for the soak test, from outside the routers.

use std::{collections::BTreeSet, error::Error, io, ops::Range, time::Duration};

use ebonyfall_standin::{
    entrance::{ColdPeriod, EntryDeployment, TEAM_KEY},
    keyed::StoreFault,
    proxy::ConnectionFault,
    registered::{AnswerMode, RegisteredTarget},
};
use rand::{Rng, rngs::StdRng};
use serde_json::json;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    callers::{Attempt, GUEST_KEY, STREAM_EVENTS, surge},
    catch_up::{self, THIN_LINK},
    harm::{Harm, HarmLog},
    planned::send_signal,
};

/// Longest time after its revocation for which any router may accept a key.
const REVOCATION_BOUND: Duration = Duration::from_secs(5);
/// Range of the pause between two faults.
const FAULT_PAUSE_MS: [u64; 2] = [200, 1_500];
/// Longest time that a router may take to exit after SIGTERM.
const EXIT_BOUND: Duration = Duration::from_secs(9);
/// Time after its evacuation from which a zone must receive no requests.
const ZONE_BOUND: Duration = Duration::from_secs(5);

/// Desired states after which the store goes back to an older copy.
const STATES_PER_RESTORE: u64 = 4;
/// Longest desired state, in bytes.
const MAX_STATE_BYTES: usize = 200_000;
/// Records that each stream loses then.
const LOST_RECORDS: usize = 3;

/// Time for which a target is cold.
const COLD_TIME: Duration = Duration::from_secs(4);
/// Pause between two restarts in series.
const SERIES_PAUSE: Duration = Duration::from_millis(100);

/// Behaviour of a healthy target.
pub const fn healthy_behaviour() -> AnswerMode {
    AnswerMode::ByPath {
        events: STREAM_EVENTS,
    }
}

/// Injects random faults, which may overlap.
#[derive(Debug)]
pub struct Faults {
    random: StdRng,
    version: u64,
    /// Number of injected faults.
    pub count: usize,
    /// What was harmed, and when.
    pub harm: HarmLog,
    /// The evacuated zone, when its evacuation began, and how many requests its target had run once
    /// `ZONE_BOUND` had passed.
    evacuated: Option<(usize, Instant, Option<usize>)>,
    /// Targets that have crashed and are not registered.
    left_targets: Vec<usize>,
    cold_periods: Vec<ColdPeriod>,
    surges: JoinSet<Vec<Attempt>>,
    /// When the guest key was granted (true) or revoked (false).
    guest_changes: Vec<(Instant, bool)>,
    /// Guarantees that were violated.
    pub broken: Vec<String>,
}

impl Faults {
    /// Creates an injector without active faults.
    pub fn new(random: StdRng) -> Self {
        Self {
            random,
            version: 1,
            count: 0,
            harm: HarmLog::default(),
            evacuated: None,
            left_targets: Vec::new(),
            cold_periods: Vec::new(),
            surges: JoinSet::new(),
            guest_changes: vec![(Instant::now(), false)],
            broken: Vec::new(),
        }
    }

    /// Times for which targets were cold.
    pub fn cold_periods(&self) -> &[ColdPeriod] {
        &self.cold_periods
    }

    /// Returns a random pause before the next fault.
    pub fn next_pause(&mut self) -> Duration {
        let [least, most] = FAULT_PAUSE_MS;
        Duration::from_millis(self.random.random_range(least..most))
    }

    /// Injects one fault and ends some earlier ones.
    ///
    /// # Errors
    ///
    /// Fails when a router cannot be restarted.
    pub async fn inject_next(&mut self, env: &mut EntryDeployment) -> Result<(), Box<dyn Error>> {
        self.count += 1;
        self.check_zone(env);
        let router = self.random.random_range(0..env.routers.len());
        let target = self.random.random_range(0..env.targets.len());
        match self.random.random_range(0..19) {
            0 => send_signal(env, &mut self.harm, router, "KILL"),
            1 => send_signal(env, &mut self.harm, router, "TERM"),
            2 => self.freeze(env, router),
            3 => send_signal(env, &mut self.harm, router, "HUP"),
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
                let fault = self.random_fault();
                self.set_target_fault(env, target, fault);
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
                let mode = modes[self.random.random_range(0..modes.len())];
                self.set_target_mode(env, target, mode);
            }
            8 | 9 => self.publish_state(env).await,
            10 | 11 => {
                let fault = self.random_fault();
                env.store_proxies[router].set_fault(fault);
            }
            12 => self.toggle_zone(env, target).await,
            13 => self.restart_at_once(env)?,
            14 => self.restart_in_series(env).await?,
            15 => self.fail_all(env),
            16 => {
                let cold = env.turn_cold(target, COLD_TIME).await;
                self.cold_periods.push(cold);
            }
            _ => {
                self.harm.begin(Harm::Crash(target), Instant::now());
                env.unregister(target).await;
                env.targets[target].crash().await;
                self.left_targets.push(target);
            }
        }
        // Ending earlier faults at random lets faults overlap.
        let (router, target) = (
            self.random.random_range(0..env.routers.len()),
            self.random.random_range(0..env.targets.len()),
        );
        self.resume(env, router);
        self.restart(env, router)?;
        self.set_target_fault(env, target, ConnectionFault::None);
        self.set_target_mode(env, target, healthy_behaviour());
        let router = self.random.random_range(0..env.routers.len());
        env.store_proxies[router].set_fault(ConnectionFault::None);
        Ok(())
    }

    /// Restarts all routers at the same moment; callers of each come back together. Half of the
    /// time, targets fail all requests until later faults end that.
    fn restart_at_once(&mut self, env: &mut EntryDeployment) -> Result<(), Box<dyn Error>> {
        if self.random.random_bool(0.5) {
            self.fail_all(env);
        }
        self.kill_and_restart(env, 0..env.routers.len())?;
        for router in 0..env.routers.len() {
            self.start_surge(env, router);
        }
        Ok(())
    }

    /// Like [`Self::restart_at_once`], one router after the other.
    async fn restart_in_series(&mut self, env: &mut EntryDeployment) -> Result<(), Box<dyn Error>> {
        if self.random.random_bool(0.5) {
            self.fail_all(env);
        }
        for router in 0..env.routers.len() {
            self.kill_and_restart(env, router..router + 1)?;
            self.start_surge(env, router);
            sleep(SERIES_PAUSE).await;
        }
        Ok(())
    }

    fn start_surge(&mut self, env: &EntryDeployment, router: usize) {
        let id = format!("surge-{}", self.count);
        self.surges
            .spawn(surge(id, router, env.routers[router].listen));
    }

    /// Waits for the answers to all surges.
    pub async fn take_surges(&mut self) -> Vec<Attempt> {
        let attempts = std::mem::take(&mut self.surges).join_all().await;
        attempts.into_iter().flatten().collect()
    }

    /// Registers the targets that have crashed; they start cold.
    pub async fn bring_back_targets(&mut self, env: &EntryDeployment) {
        for target in std::mem::take(&mut self.left_targets) {
            let cold = env.register_cold(target, COLD_TIME).await;
            self.harm.end(Harm::Crash(target), Instant::now());
            self.cold_periods.push(cold);
        }
    }

    /// Starts a router's process again if it has ended.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn restart(&mut self, env: &mut EntryDeployment, router: usize) -> io::Result<()> {
        if env.has_ended(router) {
            env.restart(router)?;
            self.harm.end(Harm::RouterEnded(router), Instant::now());
        }
        Ok(())
    }

    fn kill_and_restart(
        &mut self,
        env: &mut EntryDeployment,
        routers: Range<usize>,
    ) -> io::Result<()> {
        for router in routers.clone() {
            self.harm.begin(Harm::RouterEnded(router), Instant::now());
        }
        env.kill_and_restart(routers.clone())?;
        for router in routers {
            self.harm.end(Harm::RouterEnded(router), Instant::now());
        }
        Ok(())
    }

    fn set_target_fault(&mut self, env: &EntryDeployment, target: usize, fault: ConnectionFault) {
        let harm = Harm::Connections(target);
        if fault != ConnectionFault::None {
            self.harm.begin(harm, Instant::now());
        }
        env.proxies[target].set_fault(fault);
        if fault == ConnectionFault::None {
            self.harm.end(harm, Instant::now());
        }
    }

    fn set_target_mode(&mut self, env: &EntryDeployment, target: usize, mode: AnswerMode) {
        let harm = Harm::Answers(target);
        if mode != healthy_behaviour() {
            self.harm.begin(harm, Instant::now());
        }
        env.targets[target].set_mode(mode);
        if mode == healthy_behaviour() {
            self.harm.end(harm, Instant::now());
        }
    }

    fn fail_all(&mut self, env: &EntryDeployment) {
        for target in 0..env.targets.len() {
            self.set_target_mode(env, target, AnswerMode::Fail);
        }
    }

    fn freeze(&mut self, env: &mut EntryDeployment, router: usize) {
        self.harm.begin(Harm::RouterFrozen(router), Instant::now());
        env.signal(router, "STOP");
    }

    fn resume(&mut self, env: &mut EntryDeployment, router: usize) {
        env.signal(router, "CONT");
        self.harm.end(Harm::RouterFrozen(router), Instant::now());
    }

    /// Whether the attempt's router was paused at any time during the attempt.
    pub fn was_router_stopped(&self, attempt: &Attempt) -> bool {
        let end = attempt.began + attempt.took;
        self.harm
            .has_frozen_router(attempt.router, attempt.began, end)
    }

    fn random_fault(&mut self) -> ConnectionFault {
        let faults = [
            ConnectionFault::Delay(Duration::from_millis(30)),
            ConnectionFault::Rate(THIN_LINK),
            ConnectionFault::Reset,
            ConnectionFault::DropToServer,
            ConnectionFault::DropToCaller,
            ConnectionFault::DropAll,
        ];
        faults[self.random.random_range(0..faults.len())]
    }

    /// Publishes a new version; half of them, at random, grant or revoke the guest key.
    async fn publish_state(&mut self, env: &EntryDeployment) {
        self.version += 1;
        let granted = self
            .guest_changes
            .last()
            .is_some_and(|(_, granted)| *granted);
        let granted = granted ^ self.random.random_bool(0.5);
        let keys: &[&str] = if granted {
            &[TEAM_KEY, GUEST_KEY]
        } else {
            &[TEAM_KEY]
        };
        // A grant counts from the start of the write, a revocation from its acknowledgement.
        let began = Instant::now();
        let bytes = self.random.random_range(0..MAX_STATE_BYTES);
        env.put_long_desired_state(self.version, keys, bytes).await;
        let at = if granted { began } else { Instant::now() };
        self.guest_changes.push((at, granted));
        if self.version.is_multiple_of(STATES_PER_RESTORE) {
            self.restore_store(env, keys).await;
        }
    }

    /// Checks that routers catch up over thin links once all faults have ended.
    pub async fn check_catch_up(&mut self, env: &mut EntryDeployment) {
        let late = catch_up::check(env, &mut self.random, self.version).await;
        self.broken.extend(late);
    }

    /// Makes the store go back to an older copy. The operator and the targets write again what it has
    /// lost.
    async fn restore_store(&self, env: &EntryDeployment, keys: &[&str]) {
        let lost = [("keyed.op", LOST_RECORDS), ("keyed.servers", LOST_RECORDS)];
        env.store.restore(&lost).await;
        env.put_desired_state(self.version, keys).await;
        let evacuated = self.evacuated.map(|(zone, ..)| zone);
        for target in 0..env.targets.len() {
            let value = (evacuated == Some(target)).then(|| json!({}));
            let key = format!("evacuate/z{target}");
            env.store.put("keyed.op", &key, value.as_ref()).await;
            env.register(target, "ready").await;
        }
    }

    /// Checks that no target ran a request whose key had been revoked for longer than
    /// `REVOCATION_BOUND`.
    pub fn check_guest_key(&mut self, env: &EntryDeployment, calls: &[Attempt]) {
        let ran = env
            .targets
            .iter()
            .flat_map(RegisteredTarget::executed_requests);
        let ran: BTreeSet<_> = ran
            .filter_map(|request| request.headers.get("ebonyfall-attempt-id").cloned())
            .collect();
        for attempt in calls {
            let began = &attempt.began;
            let mut changes = self.guest_changes.iter().rev();
            let latest = changes.find(|(at, _)| at <= began);
            // Every version since the revocation must be without the key.
            let since = self
                .guest_changes
                .iter()
                .rev()
                .skip_while(|(at, _)| at > began);
            let since = since.take_while(|(_, granted)| !granted).last();
            let lapsed = latest.is_some_and(|(_, granted)| !granted)
                && since.is_some_and(|(at, _)| began.duration_since(*at) > REVOCATION_BOUND);
            if lapsed && ran.contains(&attempt.id) {
                self.broken
                    .push(format!("{} ran on a revoked key", attempt.id));
            }
        }
    }

    /// Evacuates the target's zone, or ends the current evacuation.
    async fn toggle_zone(&mut self, env: &EntryDeployment, target: usize) {
        let evacuated = self.evacuated.take();
        let zone = evacuated.map_or(target, |(zone, ..)| zone);
        let key = format!("evacuate/z{zone}");
        let value = evacuated.is_none().then(|| json!({}));
        env.store.put("keyed.op", &key, value.as_ref()).await;
        if evacuated.is_none() {
            self.evacuated = Some((zone, Instant::now(), None));
        }
    }

    /// Checks that an evacuated zone receives no requests, unless a store fault kept routers from
    /// learning of the evacuation.
    fn check_zone(&mut self, env: &EntryDeployment) {
        let Some((zone, since, baseline)) = &mut self.evacuated else {
            return;
        };
        let ran = env.targets[*zone].executed_requests().len();
        match baseline {
            None if since.elapsed() > ZONE_BOUND => *baseline = Some(ran),
            Some(before) if ran > *before && !env.store.had_fault() => {
                self.broken.push(format!(
                    "zone z{zone} received requests while it was evacuated"
                ));
                *before = ran;
            }
            _ => {}
        }
    }

    /// Ends all faults, and waits until routers that are to end have done so and run again.
    ///
    /// # Errors
    ///
    /// Fails when a router cannot be restarted.
    pub async fn clear_all(&mut self, env: &mut EntryDeployment) -> Result<(), Box<dyn Error>> {
        self.clear(env).await?;
        // A router exits within its grace period after SIGTERM.
        let deadline = Instant::now() + EXIT_BOUND;
        while Instant::now() < deadline {
            for router in 0..env.routers.len() {
                self.restart(env, router)?;
            }
            sleep(Duration::from_millis(200)).await;
        }
        Ok(())
    }

    /// Ends all faults, and starts routers that have ended.
    ///
    /// # Errors
    ///
    /// Fails when a router cannot be restarted.
    pub async fn clear(&mut self, env: &mut EntryDeployment) -> Result<(), Box<dyn Error>> {
        env.store.set_fault(StoreFault::None).await;
        self.bring_back_targets(env).await;
        if let Some((zone, ..)) = self.evacuated.take() {
            let key = format!("evacuate/z{zone}");
            env.store.put("keyed.op", &key, None).await;
        }
        for target in 0..env.targets.len() {
            self.set_target_fault(env, target, ConnectionFault::None);
            self.set_target_mode(env, target, healthy_behaviour());
        }
        for router in 0..env.routers.len() {
            env.store_proxies[router].set_fault(ConnectionFault::None);
            self.resume(env, router);
        }
        for router in 0..env.routers.len() {
            self.restart(env, router)?;
        }
        Ok(())
    }
}
