//! Measures placement: a simulation of every policy and case, and the time and memory of the
//! lookup structures.

use std::{
    collections::{BTreeMap, VecDeque},
    error::Error,
    hint::black_box,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use argh::FromArgs;
use ebonyfall_core::{
    chat::Pointers,
    choose::{Placement, PoolTarget},
    id::ChatId,
    place::{Candidate, Table, slot_bits},
    time::Time,
    zone::Zones,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Serialize;

use crate::{
    case::{Case, PlacementPolicy, SimulationResult, candidate},
    ring::{self, Ring},
    sim::{self, round},
};

/// Chats sampled per target for moved chats and home shares; enough that the sampling error does
/// not add to the differences between the targets' shares.
const SAMPLED_CHATS_PER_TARGET: u64 = 2_000;
/// Timed calls per lookup structure; rendezvous hashing, which is linear in the targets, gets a
/// twentieth.
const TIMED_CALLS: usize = 100_000;

/// Measures placement: cache reuse, load skew, moved chats, time and memory.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "place")]
pub struct PlaceArgs {
    /// seed of all random numbers, 1 by default
    #[argh(option, default = "1")]
    seed: u64,
    /// number of targets; repeatable; 10, 20, 100, 800 and 3200 by default
    #[argh(option)]
    targets: Vec<usize>,
    /// threads that share the simulation runs, 4 by default
    #[argh(option, default = "4")]
    threads: usize,
    /// skip the simulation
    #[argh(switch)]
    no_simulation: bool,
    /// omit the timings, so that the output depends on the seed alone
    #[argh(switch)]
    no_timing: bool,
}

#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    sizes: Vec<SizeReport>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    timing: Vec<Timing>,
}

#[derive(Debug, Serialize)]
struct SizeReport {
    targets: usize,
    /// Chats that change their home when a tenth of the targets leaves, over the least possible
    /// number.
    moved_over_least_leave: f64,
    /// The same when these targets join again.
    moved_over_least_join: f64,
    /// Largest number of chats with the same home target, over the mean.
    table_max_over_mean: f64,
    ring_max_over_mean: f64,
    table_bytes_per_target: usize,
    ring_bytes_per_target: usize,
    bytes_per_pointer: usize,
    cases: Vec<CaseRow>,
}

#[derive(Debug, Serialize)]
struct CaseRow {
    case: Case,
    way: PlacementPolicy,
    /// Cache reuse as a share of that of [`Way::AllKnowing`].
    relative_reuse: f64,
    #[serde(flatten)]
    found: SimulationResult,
}

/// Timings on this machine, in nanoseconds unless the name has another unit.
#[derive(Debug, Serialize)]
struct Timing {
    targets: usize,
    choose_median: u64,
    choose_p99: u64,
    table_median: u64,
    table_p99: u64,
    ring_median: u64,
    ring_p99: u64,
    rendezvous_median: u64,
    rendezvous_p99: u64,
    build_us: u128,
    ring_build_us: u128,
    leave_us: u128,
    join_us: u128,
    reweigh_us: u128,
}

/// Measures placement and prints the report as JSON.
///
/// Returns false if the product's cache reuse is below 97 % of the all-knowing router's in any
/// case.
///
/// # Errors
///
/// Fails when the report cannot be encoded.
pub fn run(args: &PlaceArgs) -> Result<bool, Box<dyn Error>> {
    let mut counts = args.targets.clone();
    if counts.is_empty() {
        counts = vec![10, 20, 100, 800, 3_200];
    }
    let simulated = if args.no_simulation {
        &[]
    } else {
        counts.as_slice()
    };
    let found = simulate(simulated, args.seed, args.threads.max(1));
    let sizes = simulated.iter().map(|count| report_size(*count, &found));
    let report = Report {
        seed: args.seed,
        sizes: sizes.collect(),
        timing: if args.no_timing {
            Vec::new()
        } else {
            let timed = counts.iter().map(|count| measure_times(*count, args.seed));
            timed.collect()
        },
    };
    println!("{}", serde_json::to_string_pretty(&report)?);
    let rows = report.sizes.iter().flat_map(|size| &size.cases);
    Ok(rows
        .filter(|row| row.way == PlacementPolicy::Product)
        .all(|row| row.relative_reuse >= 0.97))
}

/// Number of targets, and indices into [`Case::ALL`] and [`Way::ALL`].
type RunKey = (usize, usize, usize);

/// Simulates every case with every policy.
///
/// The number of threads does not change the results.
fn simulate(counts: &[usize], seed: u64, threads: usize) -> BTreeMap<RunKey, SimulationResult> {
    let mut jobs = Vec::new();
    for count in counts {
        for case in 0..Case::ALL.len() {
            jobs.extend((0..PlacementPolicy::ALL.len()).map(|way| (*count, case, way)));
        }
    }
    let (tx, rx) = mpsc::channel();
    for thread in 0..threads {
        let thread_jobs: Vec<_> = jobs.iter().copied().skip(thread).step_by(threads).collect();
        let tx = tx.clone();
        thread::spawn(move || {
            for (count, case, way) in thread_jobs {
                let found = sim::run(PlacementPolicy::ALL[way], Case::ALL[case], count, seed);
                let _receiver_lives = tx.send(((count, case, way), found));
            }
        });
    }
    drop(tx);
    rx.into_iter().collect()
}

#[expect(clippy::cast_precision_loss, reason = "small numbers")]
fn report_size(count: usize, found: &BTreeMap<RunKey, SimulationResult>) -> SizeReport {
    let mut cases = Vec::new();
    for (case_index, case) in Case::ALL.into_iter().enumerate() {
        let best = found[&(count, case_index, 0)].reuse;
        for (way_index, way) in PlacementPolicy::ALL.into_iter().enumerate() {
            let found = found[&(count, case_index, way_index)];
            cases.push(CaseRow {
                case,
                way,
                relative_reuse: round(found.reuse / best.max(1e-9)),
                found,
            });
        }
    }
    let bits = slot_bits(count);
    let candidates: Vec<_> = (0..count).map(candidate).collect();
    let tenth = (count / 10).max(1);
    let mut table = Table::new(bits, candidates.clone());
    let table_bytes = table.memory_bytes();
    let sampled = SAMPLED_CHATS_PER_TARGET * count as u64;
    let before = homes(&table, sampled);
    table.update(candidates[tenth..].to_vec());
    let during = homes(&table, sampled);
    table.update(candidates.clone());
    let after = homes(&table, sampled);
    let moved = |a: &[usize], b: &[usize]| a.iter().zip(b).filter(|(a, b)| a != b).count() as f64;
    let leavers = before.iter().filter(|home| **home < tenth).count() as f64;
    let joiners = after.iter().filter(|home| **home < tenth).count() as f64;
    let ring = Ring::new((0..count).map(|i| u32::try_from(i).unwrap_or(0)));
    let ring_homes = (0..sampled).filter_map(|chat| ring.walk(chat).next());
    let ring_homes: Vec<_> = ring_homes.map(|target| target as usize).collect();
    let mut pointers = Pointers::new(1 << 15, Duration::from_secs(300));
    let name = candidate(0).name;
    for chat in 0..1 << 15 {
        pointers.set(ChatId::from(chat), &name, Time::ZERO);
    }
    SizeReport {
        targets: count,
        moved_over_least_leave: round(moved(&before, &during) / leavers),
        moved_over_least_join: round(moved(&during, &after) / joiners),
        table_max_over_mean: max_over_mean(&before, count),
        ring_max_over_mean: max_over_mean(&ring_homes, count),
        table_bytes_per_target: table_bytes / count,
        ring_bytes_per_target: ring.memory_bytes() / count,
        bytes_per_pointer: pointers.memory_bytes() / pointers.len(),
        cases,
    }
}

/// Returns the number of the home target of each of the first `sampled` chats.
fn homes(table: &Table, sampled: u64) -> Vec<usize> {
    let number = |candidate: &Candidate| {
        let digits = candidate.name.as_str().rsplit('-').next();
        digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
    };
    let mut numbers = vec![0; table.capacity()];
    for (index, candidate) in table.targets() {
        numbers[index.get()] = number(candidate);
    }
    let homes = (0..sampled).filter_map(|chat| table.home(chat.into()));
    homes.map(|index| numbers[index.get()]).collect()
}

#[expect(clippy::cast_precision_loss, reason = "small numbers")]
fn max_over_mean(homes: &[usize], count: usize) -> f64 {
    let mut shares = vec![0_u64; count];
    for home in homes {
        shares[*home] += 1;
    }
    let max = shares.into_iter().max().unwrap_or(0);
    round(max as f64 * count as f64 / homes.len() as f64)
}

/// Returns the median and 99th percentile of the time of `calls` calls in nanoseconds, without the
/// cost of reading the clock.
fn percentiles(mut call: impl FnMut(u64), seed: u64, calls: usize) -> (u64, u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut sorted_times = |call: &mut dyn FnMut(u64)| {
        let mut times: Vec<_> = (0..calls)
            .map(|_| {
                let chat = rng.random();
                let start = Instant::now();
                call(chat);
                start.elapsed().as_nanos()
            })
            .collect();
        times.sort_unstable();
        times
    };
    let empty = sorted_times(&mut |chat| {
        black_box(chat);
    });
    let times = sorted_times(&mut call);
    let nanos = |rank: usize| {
        u64::try_from(times[rank].saturating_sub(empty[calls / 2])).unwrap_or(u64::MAX)
    };
    (nanos(calls / 2), nanos(calls * 99 / 100))
}

fn time_us<T>(call: impl FnOnce() -> T) -> (u128, T) {
    let start = Instant::now();
    let value = call();
    (start.elapsed().as_micros(), value)
}

fn measure_times(count: usize, seed: u64) -> Timing {
    let candidates: Vec<_> = (0..count).map(candidate).collect();
    let pool_targets = candidates.iter().cloned().map(|candidate| PoolTarget {
        candidate,
        serving: true,
    });
    let pool_targets: Vec<_> = pool_targets.collect();
    let zones = Zones::default();
    let now = Time::from_millis(1);
    let mut placement = Placement::new(1.25);
    placement.set_targets(&pool_targets, 1.25, &zones, now);
    // Once eight requests per target are running, the oldest one ends before each placement. Its
    // end is not timed.
    let mut running = VecDeque::new();
    let mut chats = SmallRng::seed_from_u64(seed);
    let mut times = Vec::with_capacity(TIMED_CALLS);
    for _ in 0..TIMED_CALLS {
        if running.len() >= count * 8
            && let Some(Some(target)) = running.pop_front()
        {
            placement.record_end(&target, now);
        }
        let chat = ChatId::from(chats.random::<u64>());
        let start = Instant::now();
        let pick = placement.choose(chat, false, &[], &zones, now);
        times.push(start.elapsed().as_nanos());
        running.push_back(pick.map(|pick| pick.target));
    }
    times.sort_unstable();
    let nanos = |rank: usize| u64::try_from(times[rank]).unwrap_or(u64::MAX);
    let (choose_median, choose_p99) = (nanos(TIMED_CALLS / 2), nanos(TIMED_CALLS * 99 / 100));
    let (build_us, mut table) = time_us(|| Table::new(slot_bits(count), candidates.clone()));
    let lookup = |chat| {
        black_box(table.home(ChatId::from(chat)));
    };
    let (table_median, table_p99) = percentiles(lookup, seed, TIMED_CALLS);
    let numbers = (0..count).map(|i| u32::try_from(i).unwrap_or(0));
    let (ring_build_us, ring) = time_us(|| Ring::new(numbers));
    let lookup = |chat| {
        black_box(ring.walk(chat).next());
    };
    let (ring_median, ring_p99) = percentiles(lookup, seed, TIMED_CALLS);
    let keys: Vec<_> = (0..count as u64).map(ring::mix).collect();
    let lookup = |chat| {
        black_box(ring::rendezvous(&keys, chat));
    };
    let (rendezvous_median, rendezvous_p99) = percentiles(lookup, seed, TIMED_CALLS / 20);
    let (leave_us, _) = time_us(|| table.update(candidates[1..].to_vec()));
    let (join_us, _) = time_us(|| table.update(candidates.clone()));
    let mut heavier = candidates;
    heavier[1].weight = 2.0;
    let (reweigh_us, _) = time_us(|| table.update(heavier));
    Timing {
        targets: count,
        choose_median,
        choose_p99,
        table_median,
        table_p99,
        ring_median,
        ring_p99,
        rendezvous_median,
        rendezvous_p99,
        build_us,
        ring_build_us,
        leave_us,
        join_us,
        reweigh_us,
    }
}
