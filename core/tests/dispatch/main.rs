//! Tests of dispatch under load: seeded schedules of several routers before targets with slots, at
//! loads below and above the capacity, and the failures of routers, reports and targets.
//!
//! `cargo test -p ebonyfall-core --test dispatch -- --nocapture` prints the measured figures.

mod fleet;

use fleet::{Case, Network, Outcome, Statement, Stream, run};

const SEEDS: [u64; 2] = [1, 2];
const ROUTERS: [usize; 4] = [1, 6, 28, 103];

fn stream(team: &'static str, class: u8, load: f64) -> Stream {
    Stream { team, class, load }
}

/// Prints the figures of a run; every line names the seed with which it can be repeated.
fn print(what: &str, case: &Case, out: &Outcome) {
    let asked: u32 = out.teams.iter().map(|got| got.asked).sum();
    for (stream, got) in case.streams.iter().zip(&out.teams) {
        println!(
            "{what}: seed {} routers {} network {:?} team {} class {} load {:.2}: asked {} in time {:.3} \
             refused {} at deadline {} p99 {} ms; all: asked {asked} declined {} idle {:.3} at targets {} mean {}",
            case.seed,
            case.routers,
            case.network,
            stream.team,
            stream.class,
            stream.load,
            got.asked,
            got.share(),
            got.refused,
            got.at_deadline,
            got.p99(),
            out.declined,
            out.idle,
            out.most_at_targets,
            out.held_sum as u64 / (case.length_ms / 2 - 1500)
        );
    }
}

fn total(out: &Outcome, count: impl Fn(&fleet::Got) -> u32) -> f64 {
    out.teams.iter().map(|got| f64::from(count(got))).sum()
}

#[test]
fn explore() {
    for routers in [6, 28, 103] {
        for load in [0.8, 2.0] {
            let case = Case::plain(1, routers, vec![stream("a", 1, load)]);
            print("plain", &case, &run(&case));
        }
    }
}
