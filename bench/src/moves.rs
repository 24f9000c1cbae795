//! Compares verdicts on version moves with a canary of fixed steps and a plain error threshold: how
//! many good versions are rolled back, how many faulty ones are missed, and how many requests a
//! fault affects.

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

/// Time from the start of a move to its due time.
const MOVE_SECONDS: u64 = 600;
/// Agents that serve the new version.
const NEW_AGENTS: usize = 4;
/// Time until a verdict has reached every router.
const VERDICT_DELAY_SECONDS: u64 = 2;
const REQUESTS_PER_SECOND: u32 = 60;
/// Share of requests that fail on a good version.
const BASE_FAILURE_SHARE: f64 = 0.002;

/// Measures verdicts on version moves in seeded simulations.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "moves")]
pub struct MovesArgs {
    /// moves for each policy and fault, 1000 by default
    #[argh(option, default = "1000")]
    moves: u64,
    /// seed of all random numbers, 1 by default
    #[argh(option, default = "1")]
    seed: u64,
    /// threads that share the simulations, 4 by default
    #[argh(option, default = "4")]
    threads: u64,
}

/// Fault of the new version.
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

/// Method that sets the traffic share of the new version and orders the rollback.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
enum Policy {
    /// The product's sequential comparison of the versions.
    Sequential,
    /// A canary with fixed steps and an error threshold.
    FixedSteps,
}

/// Result of one simulated move.
#[derive(Debug, Clone, Copy)]
struct MoveResult {
    /// Second at which the rollback was in force.
    rolled_back: Option<u64>,
    /// Second of the first request that the fault affected.
    fault_from: Option<u64>,
    /// Whether the new version received all traffic.
    completed: bool,
    requests: u64,
    /// Requests that the fault made slow or failed.
    affected: u64,
}

/// Totals over the moves with one policy and fault.
#[derive(Debug, Default, Serialize)]
struct Summary {
    moves: u64,
    rolled_back: u64,
    done_in_time: u64,
    /// Rollbacks before the fault affected any request.
    false_rollbacks: u64,
    /// Moves to a faulty version without a rollback.
    missed: u64,
    /// Share of all requests that the fault affected.
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
/// Fails when the report cannot be encoded.
pub fn run(args: &MovesArgs) -> Result<bool, Box<dyn Error>> {
    let mut rows = Vec::new();
    for policy in [Policy::Sequential, Policy::FixedSteps] {
        for fault in Fault::ALL {
            let results = simulate_all(args, policy, fault);
            rows.push(Row {
                policy,
                fault,
                summary: summarise(fault, &results),
            });
        }
    }
    println!("{}", serde_json::to_string_pretty(&rows)?);
    Ok(true)
}

fn simulate_all(args: &MovesArgs, policy: Policy, fault: Fault) -> Vec<MoveResult> {
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

fn summarise(fault: Fault, results: &[MoveResult]) -> Summary {
    let mut times: Vec<u64> = results
        .iter()
        .filter_map(|result| Some(result.rolled_back?.saturating_sub(result.fault_from?)))
        .collect();
    times.sort_unstable();
    let quantile = |per_cent: usize| {
        let index = (times.len() * per_cent / 100).min(times.len().saturating_sub(1));
        times.get(index).copied().unwrap_or_default()
    };
    let rolled_back = results
        .iter()
        .filter(|result| result.rolled_back.is_some())
        .count() as u64;
    let is_false = |result: &&MoveResult| {
        result
            .rolled_back
            .is_some_and(|at| result.fault_from.is_none_or(|fault_from| at < fault_from))
    };
    let requests: u64 = results.iter().map(|result| result.requests).sum();
    let affected: u64 = results.iter().map(|result| result.affected).sum();
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    let hurt_share = affected as f64 / requests.max(1) as f64;
    Summary {
        moves: results.len() as u64,
        rolled_back,
        done_in_time: results.iter().filter(|result| result.completed).count() as u64,
        false_rollbacks: results.iter().filter(is_false).count() as u64,
        missed: if fault == Fault::None {
            0
        } else {
            results.len() as u64 - rolled_back
        },
        hurt_share,
        seconds_to_stop_median: quantile(50),
        seconds_to_stop_p99: quantile(99),
        seconds_to_stop_max: quantile(100),
    }
}

/// Simulation of one move in steps of one second.
struct Simulation {
    rng: SmallRng,
    policy: Policy,
    fault: Fault,
    fault_lane: Lane,
    fault_from: u64,
    /// Seconds at which surges start.
    surges: Vec<u64>,
    version_move: VersionMove,
    state: RolloutState,
    old_version: History,
    new_agents: Vec<Comparison>,
    evaluator: Evaluator,
    /// Requests and failures of the new version, by second.
    new_counts: BTreeMap<u64, (u32, u32)>,
}

impl Simulation {
    fn new(policy: Policy, fault: Fault, seed: u64, index: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(index));
        let version = |name| VersionName::new(name).expect("the literal is a valid name");
        let fault_lane = random_lane(&mut rng);
        let late = rng.random_range(60..MOVE_SECONDS * 8 / 10);
        Self {
            policy,
            fault,
            fault_lane,
            fault_from: if fault == Fault::LateFailing { late } else { 0 },
            surges: (0..3).map(|_| rng.random_range(0..MOVE_SECONDS)).collect(),
            version_move: VersionMove {
                model: ModelName::new("labels").expect("the literal is a valid name"),
                from: version("v1"),
                to: version("v2"),
                due: MOVE_SECONDS,
                start_share: 0.02,
                intent: MoveIntent::Go,
            },
            state: RolloutState {
                capacity: 1.0,
                ..RolloutState::default()
            },
            old_version: History::default(),
            new_agents: vec![Comparison::default(); NEW_AGENTS],
            evaluator: Evaluator::default(),
            new_counts: BTreeMap::new(),
            rng,
        }
    }

    fn run(mut self) -> MoveResult {
        let mut result = MoveResult {
            rolled_back: None,
            fault_from: None,
            completed: false,
            requests: 0,
            affected: 0,
        };
        let mut verdict_at = None;
        for now in 0..MOVE_SECONDS {
            let stopped = verdict_at.is_some_and(|at| now >= at + VERDICT_DELAY_SECONDS);
            if stopped {
                result.rolled_back = Some(now);
                break;
            }
            let share = match self.policy {
                Policy::Sequential => share(&self.version_move, &self.state, now),
                Policy::FixedSteps => fixed_share(now),
            };
            self.simulate_second(now, share, &mut result);
            if verdict_at.is_none() && self.update_verdict(now) {
                verdict_at = Some(now);
            }
            result.completed |= share >= 1.0;
        }
        result
    }

    fn simulate_second(&mut self, now: u64, share: f64, result: &mut MoveResult) {
        // A surge slows both versions by the same factor for twenty seconds.
        let surge = self
            .surges
            .iter()
            .any(|from| (*from..from + 20).contains(&now));
        let slowdown = if surge { 2.5 } else { 1.0 };
        for _ in 0..REQUESTS_PER_SECOND {
            result.requests += 1;
            let lane = random_lane(&mut self.rng);
            let mut sample = self.random_sample(slowdown);
            if self.rng.random::<f64>() >= share {
                self.old_version.push(now, lane, &sample);
                continue;
            }
            if self.apply_fault(now, share, lane, &mut sample) {
                result.affected += 1;
                result.fault_from = result.fault_from.or(Some(now));
            }
            let counts = self.new_counts.entry(now).or_default();
            counts.0 += 1;
            counts.1 += u32::from(sample.failed);
            let agent = self.rng.random_range(0..NEW_AGENTS);
            self.new_agents[agent].push(now, lane, sample);
        }
    }

    fn random_sample(&mut self, slowdown: f64) -> Sample {
        let log_normal = |rng: &mut SmallRng, sigma: f64| {
            // The sum of four uniform numbers is close enough to a normal distribution here.
            let sum: f64 = (0..4).map(|_| rng.random::<f64>()).sum();
            ((sum - 2.0) * sigma * 1.7).exp()
        };
        Sample {
            failed: self.rng.random::<f64>() < BASE_FAILURE_SHARE,
            first_token: Duration::from_secs_f64(0.15 * slowdown * log_normal(&mut self.rng, 0.4)),
            between_tokens: Duration::from_secs_f64(
                0.03 * slowdown * log_normal(&mut self.rng, 0.2),
            ),
        }
    }

    /// Applies the fault to a request to the new version; returns whether it affected the request.
    fn apply_fault(&mut self, now: u64, share: f64, lane: Lane, sample: &mut Sample) -> bool {
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

    /// Returns whether the policy judges the new version as faulty.
    fn update_verdict(&mut self, now: u64) -> bool {
        match self.policy {
            Policy::FixedSteps => {
                let recent = self.new_counts.range(now.saturating_sub(60)..);
                let (requests, failures) =
                    recent.fold((0, 0), |sum, (_, count)| (sum.0 + count.0, sum.1 + count.1));
                requests >= 20 && f64::from(failures) / f64::from(requests) > 0.05
            }
            Policy::Sequential => {
                for agent in &mut self.new_agents {
                    agent.compare_pending(&self.old_version, now);
                }
                let evidence = self.new_agents.iter().map(Comparison::evidence);
                let verdict = self.evaluator.update(evidence);
                if self.evaluator.is_cleared() {
                    self.state.cleared = self.state.cleared.or(Some(now));
                }
                verdict.is_some()
            }
        }
    }
}

fn random_lane(rng: &mut SmallRng) -> Lane {
    let priority = Priority::ALL[rng.random_range(0..3)];
    Lane {
        priority,
        streamed: rng.random(),
    }
}

/// Returns the traffic share of a canary that advances by one step every two minutes.
fn fixed_share(now: u64) -> f64 {
    const STEPS: [f64; 5] = [0.02, 0.1, 0.25, 0.5, 1.0];
    STEPS[usize::try_from(now / 120)
        .unwrap_or(usize::MAX)
        .min(STEPS.len() - 1)]
}
