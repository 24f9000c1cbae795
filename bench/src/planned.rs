//! Planned work and pauses that the soak injects beside its faults: stops in series, reloads, and sound
//! targets that pause within their answers.

use std::{error::Error, time::Duration};

use ebonyfall_standin::{
    entrance::{EntryDeployment, STOP_GRACE},
    pausing::PauseAt,
    registered::AnswerPause,
};
use rand::{Rng, rngs::StdRng};
use tokio::time::{Instant, sleep};

use crate::{
    faults::Faults,
    harm::{Harm, HarmLog},
};

/// Interval between two looks at what is due.
const POLL: Duration = Duration::from_millis(50);
/// Range of the time between two plans.
const PLAN_PAUSE_MS: [u64; 2] = [500, 2_500];
/// Range of the time for which a target pauses in each answer.
const ANSWER_PAUSE_MS: [u64; 2] = [300, 1_700];
/// Range of the time for which a target's answers pause.
const PAUSING_MS: [u64; 2] = [1_000, 4_000];
/// Range of the time between two signals of a series.
const SIGNAL_GAP_MS: [u64; 2] = [0, 700];
/// Longest time between the first signals to routers that are stopped together.
const MAX_STAGGER_MS: u64 = 3_000;
/// Largest number of routers that are stopped together.
const MAX_STOPPED: usize = 12;
/// Time before the end of the grace period from which a stop excuses the end of an answer.
const STOP_MARGIN: Duration = Duration::from_secs(1);

/// Signals that a router gets one after the other.
const SERIES: [&[&str]; 6] = [
    &["TERM"],
    &["TERM", "TERM"],
    &["TERM", "HUP"],
    &["HUP", "TERM", "HUP", "TERM"],
    &["HUP", "HUP", "HUP"],
    &["INT", "TERM"],
];

/// Something that is to be done.
#[derive(Debug, Clone, Copy)]
enum Step {
    Signal(usize, &'static str),
    EndPause(usize),
}

/// Injects planned work, with random numbers of its own, so that the faults of a seed stay the same.
#[derive(Debug)]
pub struct PlannedWork {
    random: StdRng,
    next_plan: Instant,
    due: Vec<(Instant, Step)>,
    /// Routers that are started again once their process has ended.
    stopping: Vec<usize>,
    /// Number of plans.
    pub count: usize,
}

impl PlannedWork {
    /// Creates an injector without plans.
    pub fn new(random: StdRng) -> Self {
        Self {
            random,
            next_plan: Instant::now(),
            due: Vec::new(),
            stopping: Vec::new(),
            count: 0,
        }
    }

    /// Injects planned work for `time`.
    ///
    /// # Errors
    ///
    /// Fails when a router cannot be restarted.
    pub async fn run(
        &mut self,
        env: &mut EntryDeployment,
        faults: &mut Faults,
        time: Duration,
    ) -> Result<(), Box<dyn Error>> {
        let end = Instant::now() + time;
        loop {
            let now = Instant::now();
            self.start_plan(env, now);
            self.take_due(env, &mut faults.harm, now);
            for router in std::mem::take(&mut self.stopping) {
                if env.has_ended(router) {
                    faults.restart(env, router)?;
                } else {
                    self.stopping.push(router);
                }
            }
            if now >= end {
                return Ok(());
            }
            sleep(POLL.min(end - now)).await;
        }
    }

    /// Ends all plans.
    pub fn clear(&mut self, env: &EntryDeployment) {
        self.due.clear();
        for target in &env.targets {
            target.set_pause(None);
        }
    }

    fn start_plan(&mut self, env: &EntryDeployment, now: Instant) {
        if now < self.next_plan {
            return;
        }
        self.next_plan = now + self.random_time(PLAN_PAUSE_MS);
        self.count += 1;
        let target = self.random.random_range(0..env.targets.len());
        let router = self.random.random_range(0..env.routers.len());
        match self.random.random_range(0..5) {
            0 | 1 => self.pause_targets(env, [target], now),
            2 => self.pause_targets(env, 0..env.targets.len(), now),
            3 => self.plan_series(router, now),
            _ => {
                let most = env.routers.len().min(MAX_STOPPED);
                for offset in 0..self.random.random_range(1..=most) {
                    let stagger = self.random_time([0, MAX_STAGGER_MS]);
                    self.plan_series((router + offset) % env.routers.len(), now + stagger);
                }
            }
        }
    }

    /// Makes sound targets pause within their answers, all at the same place.
    fn pause_targets(
        &mut self,
        env: &EntryDeployment,
        targets: impl IntoIterator<Item = usize>,
        now: Instant,
    ) {
        let places = [PauseAt::Head, PauseAt::Body, PauseAt::Within];
        let at = places[self.random.random_range(0..places.len())];
        let time = self.random_time(ANSWER_PAUSE_MS);
        let end = now + self.random_time(PAUSING_MS);
        for target in targets {
            env.targets[target].set_pause(Some(AnswerPause { at, time }));
            self.due.push((end, Step::EndPause(target)));
        }
    }

    fn plan_series(&mut self, router: usize, start: Instant) {
        let mut at = start;
        for signal in SERIES[self.random.random_range(0..SERIES.len())] {
            self.due.push((at, Step::Signal(router, signal)));
            at += self.random_time(SIGNAL_GAP_MS);
        }
    }

    fn take_due(&mut self, env: &mut EntryDeployment, harm: &mut HarmLog, now: Instant) {
        let (mut due, later): (Vec<_>, Vec<_>) = self.due.drain(..).partition(|(at, _)| *at <= now);
        self.due = later;
        due.sort_by_key(|(at, _)| *at);
        for (_, step) in due {
            match step {
                Step::EndPause(target) => env.targets[target].set_pause(None),
                Step::Signal(router, signal) => {
                    send_signal(env, harm, router, signal);
                    if !self.stopping.contains(&router) {
                        self.stopping.push(router);
                    }
                }
            }
        }
    }

    fn random_time(&mut self, [least, most]: [u64; 2]) -> Duration {
        Duration::from_millis(self.random.random_range(least..most))
    }
}

/// Signals a router and records the harm of a stop. A planned stop does none until shortly before the
/// end of its grace period.
pub fn send_signal(env: &mut EntryDeployment, harm: &mut HarmLog, router: usize, signal: &str) {
    let now = Instant::now();
    let ended = match signal {
        _ if env.has_ended(router) => None,
        "KILL" => Some(now),
        "TERM" | "INT" => Some(now + STOP_GRACE.saturating_sub(STOP_MARGIN)),
        _ => None,
    };
    if let Some(ended) = ended {
        harm.begin(Harm::RouterEnded(router), ended);
    }
    env.signal(router, signal);
}
