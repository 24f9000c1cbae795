//! Version moves: how many good versions are rolled back, how many faulty ones are missed, and how
//! many requests are hurt, against a canary with fixed steps and a plain error threshold.

use std::{collections::BTreeMap, error::Error, thread, time::Duration};

use argh::FromArgs;
use ebonyfall_core::{
    doc::{MoveIntent, Priority, VersionMove},
    name::{ModelName, VersionName},
    rollout::{Comparison, Evaluator, RolloutState, share},
    tally::{History, Lane, Sample},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Serialize;

/// Seconds from the start of a move to its due time.
const SPAN: u64 = 600;
/// Agents of the new version.
const NEW_AGENTS: usize = 4;
/// Seconds until a verdict has reached every router.
const SPREAD_SECONDS: u64 = 2;
/// Requests a second of the model.
const RATE: u32 = 60;
/// Failures of a good version, as a share.
const BASE_FAILURES: f64 = 0.002;

/// Measures verdicts on version moves over seeded simulations of the decision core.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "moves")]
pub struct MovesArgs {
    /// moves of each kind, 1000 by default
    #[argh(option, default = "1000")]
    moves: u64,
    /// seed, 1 by default
    #[argh(option, default = "1")]
    seed: u64,
    /// threads, 4 by default
    #[argh(option, default = "4")]
    threads: u64,
}

/// What is wrong with the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
enum Fault {
    None,
    FailingAtOnce,
    SlowAtOnce,
    LateFailing,
    SlowUnderLoad,
    OneRoute,
}

impl Fault {
    const ALL: [Self; 6] = [
        Self::None,
        Self::FailingAtOnce,
        Self::SlowAtOnce,
        Self::LateFailing,
        Self::SlowUnderLoad,
        Self::OneRoute,
    ];
}

/// Who decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
enum Policy {
    Sequential,
    FixedSteps,
}

/// How one move went.
#[derive(Debug, Clone, Copy)]
struct Ended {
    rolled_back: Option<u64>,
    fault_from: Option<u64>,
    done: bool,
    requests: u64,
    hurt: u64,
}

/// Sums over the moves of one kind.
#[derive(Debug, Default, Serialize)]
struct Summary {
    moves: u64,
    rolled_back: u64,
    done_in_time: u64,
    false_rollbacks: u64,
    missed: u64,
    hurt_share: f64,
    seconds_to_stop_median: u64,
    seconds_to_stop_p99: u64,
    seconds_to_stop_max: u64,
}

#[derive(Debug, Serialize)]
struct Row {
    policy: Policy,
    fault: Fault,
    summary: Summary,
}

/// Runs the simulations and prints the summaries as JSON.
///
/// # Errors
///
/// Fails when the report cannot be written.
pub fn run(args: &MovesArgs) -> Result<bool, Box<dyn Error>> {
    let mut rows = Vec::new();
    for policy in [Policy::Sequential, Policy::FixedSteps] {
        for fault in Fault::ALL {
            let ended = simulate_all(args, policy, fault);
            rows.push(Row {
                policy,
                fault,
                summary: summarise(fault, &ended),
            });
        }
    }
    println!("{}", serde_json::to_string_pretty(&rows)?);
    Ok(true)
}

fn simulate_all(args: &MovesArgs, policy: Policy, fault: Fault) -> Vec<Ended> {
    let (moves, seed, threads) = (args.moves, args.seed, args.threads.max(1));
    let workers: Vec<_> = (0..threads)
        .map(|worker| {
            thread::spawn(move || {
                (worker..moves)
                    .step_by(usize::try_from(threads).unwrap_or(1))
                    .map(|index| Simulation::new(policy, fault, seed, index).run())
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    workers
        .into_iter()
        .flat_map(|worker| worker.join().unwrap_or_default())
        .collect()
}

fn summarise(fault: Fault, ended: &[Ended]) -> Summary {
    let mut times: Vec<u64> = ended
        .iter()
        .filter_map(|end| Some(end.rolled_back?.saturating_sub(end.fault_from?)))
        .collect();
    times.sort_unstable();
    let quantile = |per_cent: usize| {
        let index = (times.len() * per_cent / 100).min(times.len().saturating_sub(1));
        times.get(index).copied().unwrap_or_default()
    };
    let rolled_back = ended.iter().filter(|end| end.rolled_back.is_some()).count() as u64;
    let early = |end: &&Ended| {
        end.rolled_back
            .is_some_and(|at| end.fault_from.is_none_or(|f| at < f))
    };
    let requests: u64 = ended.iter().map(|end| end.requests).sum();
    let hurt: u64 = ended.iter().map(|end| end.hurt).sum();
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    let hurt_share = hurt as f64 / requests.max(1) as f64;
    Summary {
        moves: ended.len() as u64,
        rolled_back,
        done_in_time: ended.iter().filter(|end| end.done).count() as u64,
        false_rollbacks: ended.iter().filter(early).count() as u64,
        missed: if fault == Fault::None {
            0
        } else {
            ended.len() as u64 - rolled_back
        },
        hurt_share,
        seconds_to_stop_median: quantile(50),
        seconds_to_stop_p99: quantile(99),
        seconds_to_stop_max: quantile(100),
    }
}

/// One move, second by second.
struct Simulation {
    rng: SmallRng,
    policy: Policy,
    fault: Fault,
    fault_lane: Lane,
    fault_from: u64,
    surges: Vec<u64>,
    step: VersionMove,
    state: RolloutState,
    old: History,
    agents: Vec<Comparison>,
    evaluator: Evaluator,
    recent: BTreeMap<u64, (u32, u32)>,
}

impl Simulation {
    fn new(policy: Policy, fault: Fault, seed: u64, index: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(index));
        let version = |name| VersionName::new(name).expect("the literal is a valid name");
        let fault_lane = lane(&mut rng);
        let late = rng.random_range(60..SPAN * 8 / 10);
        Self {
            policy,
            fault,
            fault_lane,
            fault_from: if fault == Fault::LateFailing { late } else { 0 },
            surges: (0..3).map(|_| rng.random_range(0..SPAN)).collect(),
            step: VersionMove {
                model: ModelName::new("labels").expect("the literal is a valid name"),
                from: version("v1"),
                to: version("v2"),
                due: SPAN,
                start_share: 0.02,
                intent: MoveIntent::Go,
            },
            state: RolloutState {
                capacity: 1.0,
                ..RolloutState::default()
            },
            old: History::default(),
            agents: vec![Comparison::default(); NEW_AGENTS],
            evaluator: Evaluator::default(),
            recent: BTreeMap::new(),
            rng,
        }
    }

    fn run(mut self) -> Ended {
        let mut end = Ended {
            rolled_back: None,
            fault_from: None,
            done: false,
            requests: 0,
            hurt: 0,
        };
        let mut verdict_at = None;
        for now in 0..SPAN {
            let stopped = verdict_at.is_some_and(|at| now >= at + SPREAD_SECONDS);
            if stopped {
                end.rolled_back = Some(now);
                break;
            }
            let share = match self.policy {
                Policy::Sequential => share(&self.step, &self.state, now),
                Policy::FixedSteps => fixed_share(now),
            };
            self.second(now, share, &mut end);
            if verdict_at.is_none() && self.is_faulty(now) {
                verdict_at = Some(now);
            }
            end.done |= share >= 1.0;
        }
        end
    }

    /// Serves the requests of one second.
    fn second(&mut self, now: u64, share: f64, end: &mut Ended) {
        // A surge slows both versions alike, for twenty seconds.
        let surge = self
            .surges
            .iter()
            .any(|from| (*from..from + 20).contains(&now));
        let crowd = if surge { 2.5 } else { 1.0 };
        for _ in 0..RATE {
            end.requests += 1;
            let lane = lane(&mut self.rng);
            let mut sample = self.sample(crowd);
            if self.rng.random::<f64>() >= share {
                self.old.push(now, lane, &sample);
                continue;
            }
            if self.spoil(now, share, lane, &mut sample) {
                end.hurt += 1;
                end.fault_from = end.fault_from.or(Some(now));
            }
            let counts = self.recent.entry(now).or_default();
            counts.0 += 1;
            counts.1 += u32::from(sample.failed);
            let agent = self.rng.random_range(0..NEW_AGENTS);
            self.agents[agent].push(now, lane, sample);
        }
    }

    fn sample(&mut self, crowd: f64) -> Sample {
        let spread = |rng: &mut SmallRng, sigma: f64| {
            // The sum of four uniform numbers is close enough to a normal one here.
            let sum: f64 = (0..4).map(|_| rng.random::<f64>()).sum();
            ((sum - 2.0) * sigma * 1.7).exp()
        };
        Sample {
            failed: self.rng.random::<f64>() < BASE_FAILURES,
            first_token: Duration::from_secs_f64(0.15 * crowd * spread(&mut self.rng, 0.4)),
            between_tokens: Duration::from_secs_f64(0.03 * crowd * spread(&mut self.rng, 0.2)),
        }
    }

    /// Applies the fault to a request of the new version; true if it hurt.
    fn spoil(&mut self, now: u64, share: f64, lane: Lane, sample: &mut Sample) -> bool {
        let chance = self.rng.random::<f64>();
        let fails = match self.fault {
            Fault::FailingAtOnce => chance < 0.2,
            Fault::LateFailing => now >= self.fault_from && chance < 0.3,
            Fault::OneRoute => lane == self.fault_lane && chance < 0.3,
            Fault::None | Fault::SlowAtOnce | Fault::SlowUnderLoad => false,
        };
        let slow = match self.fault {
            Fault::SlowAtOnce => true,
            Fault::SlowUnderLoad => share > 0.2,
            _ => false,
        };
        sample.failed |= fails;
        if slow {
            sample.first_token = sample.first_token.mul_f64(1.6);
            sample.between_tokens = sample.between_tokens.mul_f64(1.6);
        }
        fails || slow
    }

    fn is_faulty(&mut self, now: u64) -> bool {
        match self.policy {
            Policy::FixedSteps => {
                let last = self.recent.range(now.saturating_sub(60)..);
                let (requests, failures) =
                    last.fold((0, 0), |sum, (_, count)| (sum.0 + count.0, sum.1 + count.1));
                requests >= 20 && f64::from(failures) / f64::from(requests) > 0.05
            }
            Policy::Sequential => {
                for agent in &mut self.agents {
                    agent.compare_pending(&self.old, now);
                }
                let evidence = self.agents.iter().map(Comparison::evidence);
                let verdict = self.evaluator.update(evidence);
                if self.evaluator.is_cleared() {
                    self.state.cleared = self.state.cleared.or(Some(now));
                }
                verdict.is_some()
            }
        }
    }
}

fn lane(rng: &mut SmallRng) -> Lane {
    let priority = Priority::ALL[rng.random_range(0..3)];
    Lane {
        priority,
        streamed: rng.random(),
    }
}

/// A canary that goes up a step every two minutes.
fn fixed_share(now: u64) -> f64 {
    const STEPS: [f64; 5] = [0.02, 0.1, 0.25, 0.5, 1.0];
    STEPS[usize::try_from(now / 120)
        .unwrap_or(usize::MAX)
        .min(STEPS.len() - 1)]
}
