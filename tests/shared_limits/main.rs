//! Limits that all routers share, with fleets of 6 and 26 routers as real processes: retries to a
//! service, and requests to a cold target, summed over all routers.
//!
//! Callers load every router from the moment at which it accepts connections, and most where it has
//! just started. The bounds are those of the rules.

mod load;

use std::{ops::Range, path::Path, time::Duration};

use ebonyfall_bench::bounds::{Peak, RetryLimit, worst_cold_second, worst_retry_window};
use ebonyfall_standin::{
    entrance::{ColdPeriod, EntryDeployment, FleetPlan, RETRY_WINDOW},
    registered::{AnswerMode, RegisteredTarget},
};
use load::Load;
use tempfile::TempDir;
use tokio::{
    sync::{Mutex, MutexGuard},
    time::sleep,
};

/// A small fleet.
const SMALL: FleetPlan<'static> = FleetPlan {
    routers: 6,
    targets: 4,
    retry_ratio: 0.2,
    retry_slack: 58.0,
    cold_rate: 10.0,
    router_settings: "",
};
/// A fleet whose routers each get a small part of the limits.
const LARGE: FleetPlan<'static> = FleetPlan {
    routers: 26,
    targets: 5,
    retry_slack: 92.0,
    ..SMALL
};

/// Requests per second to all routers, so few that the slack is most of the retry bound.
const LOW_RATE: f64 = 40.0;
/// Requests per second to all routers that are far more than cold targets may get.
const COLD_LOAD: f64 = 400.0;
/// Requests per second to a router that has just started: callers come back together.
const SURGE: f64 = 40.0;
/// Time for which a surge goes on after routers are ready.
const SURGE_TIME: Duration = Duration::from_millis(500);
/// Time in which routers that have just started get to know each other.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time in which routers use up their retries, within a window of the retry bound.
const LOADED_TIME: Duration = Duration::from_secs(4);
/// Time that the load goes on after the last surge.
const END_TIME: Duration = Duration::from_secs(2);
/// Pause between two restarts in series.
const SERIES_PAUSE: Duration = Duration::from_millis(150);
/// Time for which targets are cold.
const COLD_TIME: Duration = Duration::from_secs(5);
/// Time after which stopped routers are gone to the others.
const STOP_TIME: Duration = Duration::from_secs(8);

/// One deployment runs at a time: its routers need the processors.
static TURN: Mutex<()> = Mutex::const_new(());

struct Fleet {
    env: EntryDeployment,
    plan: FleetPlan<'static>,
    cold: Vec<ColdPeriod>,
    load: Load,
    _folder: TempDir,
    _turn: MutexGuard<'static, ()>,
}

impl Fleet {
    /// Starts callers, with `total_rate` requests per second; the routers are not started.
    async fn prepare(plan: FleetPlan<'static>, total_rate: f64) -> Self {
        let turn = TURN.lock().await;
        let folder = tempfile::tempdir().expect("the system has a folder for temporary files");
        let program = Path::new(env!("CARGO_BIN_EXE_ebonyfall-entry"));
        let env = EntryDeployment::prepare(program, folder.path(), &plan).await;
        let listen = env.routers.iter().map(|router| router.listen);
        Self {
            load: Load::start(listen, total_rate / count(plan.routers)),
            env,
            plan,
            cold: Vec::new(),
            _folder: folder,
            _turn: turn,
        }
    }

    /// Starts all routers of a plan, and waits until they know each other.
    async fn start_settled(plan: FleetPlan<'static>, total_rate: f64) -> Self {
        let mut fleet = Self::prepare(plan, total_rate).await;
        fleet.start(fleet.all()).await;
        sleep(SETTLE_TIME).await;
        fleet
    }

    fn all(&self) -> Range<usize> {
        0..self.plan.routers
    }

    /// Starts these routers at the same moment and waits until they are ready.
    async fn start(&mut self, routers: Range<usize>) {
        for router in routers.clone() {
            self.env.restart(router).expect("the program starts");
        }
        self.env.wait_until_ready(routers).await;
    }

    /// Starts these routers under a surge of requests to them.
    async fn start_under_surge(&mut self, routers: Range<usize>) {
        self.load.set_rate(routers.clone(), SURGE);
        self.start(routers.clone()).await;
        self.end_surge(routers).await;
    }

    async fn end_surge(&self, routers: Range<usize>) {
        sleep(SURGE_TIME).await;
        let rate = LOW_RATE / count(self.plan.routers);
        self.load.set_rate(routers, rate);
        sleep(END_TIME).await;
    }

    /// Lets all targets fail all requests.
    fn fail_requests(&self) {
        for target in &self.env.targets {
            target.set_mode(AnswerMode::Fail);
        }
    }

    /// Kills these routers one after the other, each under a surge when it starts again.
    async fn restart_in_series(&mut self, routers: Range<usize>) {
        for router in routers {
            let restarted = self.env.kill_and_restart([router]);
            restarted.expect("the program starts");
            self.load.set_rate(router..router + 1, SURGE);
            sleep(SERIES_PAUSE).await;
            if let Some(earlier) = router.checked_sub(2) {
                self.load.set_rate(earlier..earlier + 1, 1.0);
            }
        }
    }

    /// Registers all targets as cold from now on.
    async fn start_cold_targets(&mut self) {
        for target in 0..self.plan.targets {
            let cold = self.env.register_cold(target, COLD_TIME).await;
            self.cold.push(cold);
        }
    }

    /// Ends the load and checks the retries of all routers.
    async fn assert_retries_within_bound(self) {
        let sent = self.load.stop().await;
        let targets = self.env.targets.iter();
        let arrivals: Vec<_> = targets.flat_map(RegisteredTarget::arrivals).collect();
        let limit = RetryLimit {
            ratio: self.plan.retry_ratio,
            slack: self.plan.retry_slack,
            window: RETRY_WINDOW,
        };
        let peak = worst_retry_window(limit, &sent, &arrivals);
        assert_within_bound(peak, "retries");
    }

    /// Ends the load and checks the requests of all routers to each cold target.
    async fn assert_no_cold_target_is_flooded(self) {
        self.load.stop().await;
        let peaks = self.cold.iter().filter_map(|cold| {
            let arrivals = self.env.targets[cold.target].arrivals();
            worst_cold_second(self.plan.cold_rate, cold, &arrivals)
        });
        let peak = peaks.max_by_key(|peak| peak.counted);
        assert_within_bound(peak, "requests to a cold target");
    }
}

fn assert_within_bound(peak: Option<Peak>, what: &str) {
    let peak = peak.expect("the limit is used");
    eprintln!("{what}: {peak}");
    assert!(!peak.is_exceeded(), "{what}: {peak}");
}

#[expect(clippy::cast_precision_loss, reason = "routers are few")]
fn count(routers: usize) -> f64 {
    routers as f64
}

async fn start_at_once(plan: FleetPlan<'static>) {
    let mut fleet = Fleet::prepare(plan, LOW_RATE).await;
    fleet.fail_requests();
    fleet.start_under_surge(fleet.all()).await;
    fleet.assert_retries_within_bound().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_fleet_that_starts_at_once_does_not_exceed_its_retries() {
    start_at_once(LARGE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_small_fleet_that_starts_at_once_does_not_exceed_its_retries() {
    start_at_once(SMALL).await;
}

async fn restart_at_once(plan: FleetPlan<'static>) {
    let mut fleet = Fleet::start_settled(plan, LOW_RATE).await;
    fleet.fail_requests();
    sleep(LOADED_TIME).await;
    let restarted = fleet.env.kill_and_restart(fleet.all());
    restarted.expect("the program starts");
    fleet.start_under_surge(fleet.all()).await;
    fleet.assert_retries_within_bound().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_fleet_that_restarts_at_once_does_not_get_its_retries_twice() {
    restart_at_once(LARGE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_small_fleet_that_restarts_at_once_does_not_get_its_retries_twice() {
    restart_at_once(SMALL).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn routers_that_restart_in_series_do_not_get_their_retries_twice() {
    let mut fleet = Fleet::start_settled(LARGE, LOW_RATE / 2.0).await;
    fleet.fail_requests();
    sleep(LOADED_TIME / 2).await;
    fleet.restart_in_series(fleet.all()).await;
    sleep(END_TIME).await;
    fleet.assert_retries_within_bound().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn routers_that_continue_after_a_stop_do_not_exceed_the_retries() {
    let mut fleet = Fleet::start_settled(LARGE, LOW_RATE).await;
    fleet.fail_requests();
    let stopped = 0..LARGE.routers / 2;
    fleet.env.signal_all(stopped.clone(), "STOP");
    fleet.load.set_rate(stopped.clone(), 0.1);
    sleep(STOP_TIME).await;
    fleet.env.signal_all(stopped.clone(), "CONT");
    fleet.load.set_rate(stopped.clone(), SURGE);
    fleet.end_surge(stopped).await;
    fleet.assert_retries_within_bound().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn routers_that_are_added_do_not_exceed_the_retries() {
    let mut fleet = Fleet::prepare(LARGE, LOW_RATE).await;
    let first = LARGE.routers / 2;
    fleet.load.set_rate(0..first, LOW_RATE / count(first));
    fleet.start(0..first).await;
    sleep(SETTLE_TIME).await;
    fleet.fail_requests();
    sleep(LOADED_TIME).await;
    fleet.start_under_surge(first..LARGE.routers).await;
    fleet.assert_retries_within_bound().await;
}

async fn start_at_once_with_cold_targets(plan: FleetPlan<'static>) {
    let mut fleet = Fleet::prepare(plan, COLD_LOAD).await;
    fleet.start_cold_targets().await;
    fleet.start(fleet.all()).await;
    sleep(COLD_TIME).await;
    fleet.assert_no_cold_target_is_flooded().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_fleet_that_starts_at_once_does_not_flood_cold_targets() {
    start_at_once_with_cold_targets(LARGE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_small_fleet_that_starts_at_once_does_not_flood_cold_targets() {
    start_at_once_with_cold_targets(SMALL).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn routers_that_restart_in_series_do_not_flood_cold_targets() {
    let mut fleet = Fleet::start_settled(LARGE, COLD_LOAD).await;
    for target in 0..LARGE.targets {
        fleet.env.unregister(target).await;
    }
    sleep(END_TIME).await;
    fleet.start_cold_targets().await;
    fleet.restart_in_series(0..LARGE.routers / 2).await;
    sleep(COLD_TIME / 2).await;
    fleet.assert_no_cold_target_is_flooded().await;
}
