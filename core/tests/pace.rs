//! Tests of the pace at which targets that return get requests, and of placement by speed, with
//! routers and targets on a fake clock.

mod common;
mod paced;

use std::time::Duration;

use common::variable;
use ebonyfall_core::{
    notice::Notices,
    pace::{PaceCause, PaceChange},
    trace::{Notice, TraceEvent},
};
use paced::{COLD_LIMIT, Conditions, Counts, World};

/// Seed of the schedules; `PACE_SEED` sets another one.
fn seed() -> u64 {
    variable("PACE_SEED", 7)
}

const USUAL: Conditions = Conditions {
    routers: 6,
    loss: 0.0,
    delay_ms: 50,
};

/// Requests in five seconds above the load bound from which on these count as too many, if they are
/// over 3 in 100, too.
const MIN_OVER_BOUND: u32 = 20;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Lets `returned` leave and return under load. Returns their load relative to their peers in the
/// last second before 1, 3, 5 and 10 s after the return, and what was counted from then on.
fn return_of(returned: &[usize], conditions: Conditions) -> ([f64; 4], Counts) {
    let mut world = World::new(seed(), conditions);
    world.run(seconds(10));
    for target in returned {
        world.stop(*target, true);
    }
    world.run(seconds(5));
    for target in returned {
        world.start(*target);
    }
    world.counts = Counts::default();
    let mut loads = [0.0; 4];
    for (load, step) in loads.iter_mut().zip([1, 2, 2, 5]) {
        *load = world.run_and_compare(seconds(step), returned);
    }
    println!(
        "{returned:?} {conditions:?}: {loads:.2?} {:?}",
        world.counts
    );
    (loads, world.counts)
}

/// Checks what holds also if routers know little of each other.
fn check_limits(counts: &Counts) {
    assert!(counts.cold_peak <= COLD_LIMIT, "{counts:?}");
    assert_eq!(counts.over_known, 0, "{counts:?}");
    assert_eq!(counts.refused, 0, "{counts:?}");
    assert!(counts.in_time * 100 >= counts.sent * 95, "{counts:?}");
}

fn check(returned: &[usize], conditions: Conditions) {
    let (loads, counts) = return_of(returned, conditions);
    check_limits(&counts);
    assert!(counts.over_bound * 100 <= counts.sent, "{counts:?}");
    assert!(loads[1] > 0.1, "the cold target idles: {loads:?}");
    assert!((0.5..=1.5).contains(&loads[3]), "{loads:?}");
}

/// Guards against a target that crashes since it is flooded while it is cold, one that idles while
/// its peers are loaded, and one that gets everything at once after that.
#[test]
fn a_target_returns_at_its_pace() {
    for routers in [1, 6, 28] {
        check(&[4], Conditions { routers, ..USUAL });
    }
}

/// Guards against peers that are overloaded because all targets of a zone are under pace.
#[test]
fn a_zone_returns_at_its_pace() {
    for routers in [1, 6, 28] {
        check(&[0, 3, 6], Conditions { routers, ..USUAL });
    }
}

/// Guards against a rate limit that needs reports of other routers to hold.
#[test]
fn lost_and_late_reports_do_not_break_the_limits() {
    for routers in [6, 28] {
        let conditions = Conditions {
            routers,
            loss: 0.5,
            delay_ms: 1_000,
        };
        let (_, counts) = return_of(&[4], conditions);
        check_limits(&counts);
    }
}

/// Guards against routers that start anew and use their share of a cold target's rate once more.
#[test]
fn routers_that_start_anew_keep_the_cold_rate() {
    for routers in [1, 6, 28] {
        let mut world = World::new(seed(), Conditions { routers, ..USUAL });
        world.run(seconds(5));
        world.stop(4, true);
        world.run(seconds(2));
        world.start(4);
        world.counts = Counts::default();
        for restart in 0..30 {
            world.run(Duration::from_millis(100));
            world.restart_router(restart % usize::try_from(routers).expect("routers are few"));
        }
        println!("{routers} routers start anew: {:?}", world.counts);
        assert!(world.counts.cold_peak <= COLD_LIMIT, "{:?}", world.counts);
    }
}

/// Guards against routers that use the turns of all others: those that have lost sight of them, those
/// that start and know no other one yet, and those whose clocks jump.
#[test]
fn routers_without_a_common_view_keep_the_cold_rate() {
    type Disturb = fn(&mut World, usize);
    let disturbances: [(&str, Disturb); 3] = [
        ("cut off", |world, number| world.isolate(number)),
        ("start alone", |world, number| world.start_alone(number)),
        ("clocks jump", |world, number| {
            let seconds = Duration::from_millis(500 * u64::try_from(number % 5).unwrap_or(0));
            world.set_clock(number, seconds);
        }),
    ];
    for (name, disturb) in disturbances {
        for routers in [6, 28] {
            let mut world = World::new(seed(), Conditions { routers, ..USUAL });
            world.run(seconds(5));
            world.stop(4, true);
            world.run(seconds(2));
            world.start(4);
            world.run(Duration::from_millis(700));
            for number in 0..usize::try_from(routers).expect("routers are few") {
                disturb(&mut world, number);
            }
            world.run(Duration::from_millis(2_300));
            println!("{name}, {routers} routers: {:?}", world.counts);
            assert!(world.counts.cold_peak <= COLD_LIMIT, "{:?}", world.counts);
        }
    }
}

/// Guards against a share that is kept over a crash, so that the next run of the target is flooded.
#[test]
fn a_target_that_fails_while_its_share_grows_starts_again() {
    for routers in [1, 6, 28] {
        let mut world = World::new(seed(), Conditions { routers, ..USUAL });
        world.run(seconds(5));
        world.stop(4, true);
        world.run(seconds(2));
        world.start(4);
        world.run(seconds(4));
        world.stop(4, false);
        world.run(seconds(1));
        world.start(4);
        world.counts = Counts::default();
        let loads = [1, 2, 2, 5].map(|step| world.run_and_compare(seconds(step), &[4]));
        println!(
            "{routers} routers, failed again: {loads:.2?} {:?}",
            world.counts
        );
        assert!(world.counts.cold_peak <= COLD_LIMIT, "{:?}", world.counts);
        assert!(loads[0] < 0.5, "{loads:?}");
        assert!((0.5..=1.5).contains(&loads[3]), "{loads:?}");
    }
}

/// Guards against a target that attracts all requests, or gets none any more, by what it states.
#[test]
fn absurd_slowness_does_not_break_the_load_bound() {
    for stated in [[0.2, 0.2], [20.0, 20.0], [0.2, 20.0]] {
        let mut world = World::new(seed(), USUAL);
        world.run(seconds(5));
        world.counts = Counts::default();
        for turn in 0..100 {
            world.targets[4].stated = Some(stated[turn % 2]);
            world.run(Duration::from_millis(50));
        }
        let load = world.run_and_compare(seconds(3), &[4]);
        println!("states {stated:?}: {load:.2} {:?}", world.counts);
        check_limits(&world.counts);
        assert!(world.counts.over_bound * 100 <= world.counts.sent);
        assert!(load > 0.0, "the target gets nothing");
    }
}

/// Guards against chats that stay at a slow target while others are faster, that do not return when
/// it has recovered, and that return all at once.
#[test]
fn chats_leave_a_slow_home_and_return() {
    for is_stated in [true, false] {
        let mut world = World::new(seed(), USUAL);
        world.run(seconds(40));
        let chats = |world: &World| world.placed.iter().filter(|at| **at == Some(4)).count();
        let usual = chats(&world);
        let slow_down = |world: &mut World, slowness| {
            world.targets[4].slowness = slowness;
            for target in &mut world.targets {
                target.stated = is_stated.then_some(target.slowness);
            }
        };
        slow_down(&mut world, 2.5);
        world.counts = Counts::default();
        // A chat returns every 11 s in the mean; almost all of them within this time.
        world.run(seconds(40));
        let (slow, counts) = (chats(&world), world.counts);
        world.pace_changes(4);
        slow_down(&mut world, 1.0);
        let loads = [1, 2, 2, 10].map(|step| world.run_and_compare(seconds(step), &[4]));
        world.run(seconds(25));
        let recovered = chats(&world);
        // A statement that only ages, or answers that vary, must not pace the target again and again.
        let changes = world.pace_changes(4).into_iter();
        let starts = changes.filter(|change| matches!(change, PaceChange::Started(_)));
        assert!(starts.count() <= 6);
        println!("stated {is_stated}: chats {usual}, {slow}, {recovered}; {loads:.2?} {counts:?}");
        // Once some chats have left, the slow home serves the others as soon as its peers would:
        // with 1.5 / 2.5 of their load, if a chat leaves for a gain of half.
        assert!(slow * 4 < usual * 3, "{usual} and {slow}");
        assert!(recovered * 4 > usual * 3, "{usual} and {recovered}");
        assert!(loads.iter().all(|load| *load < 1.5), "{loads:?}");
    }
}

/// Guards against a target that turns cold without a word and keeps its full share, and against a
/// pace that does not end, or is not traced, when its answers are good again.
#[test]
fn a_target_that_turns_slow_without_a_word_is_paced() {
    let mut world = World::new(seed(), USUAL);
    world.run(seconds(10));
    assert_eq!(world.pace_changes(4), []);
    world.targets[4].slowness = 6.0;
    let load = world.run_and_compare(seconds(20), &[4]);
    let changes = world.pace_changes(4);
    let slow = PaceChange::Started(PaceCause::SlowAnswers);
    assert!(changes.contains(&slow), "{changes:?}");
    assert!(changes.contains(&PaceChange::Halved), "{changes:?}");
    world.targets[4].slowness = 1.0;
    let recovered = world.run_and_compare(seconds(20), &[4]);
    let changes = world.pace_changes(4);
    println!("slow without a word: {load:.2}, then {recovered:.2}");
    assert!(changes.contains(&PaceChange::Ended), "{changes:?}");
    assert!(load < 0.75, "{load}");
    assert!((0.5..=1.5).contains(&recovered), "{recovered}");
}

/// Guards against placement that follows differences of 20 % between answer times.
#[test]
fn small_differences_of_speed_count_as_none() {
    let mut world = World::new(seed(), USUAL);
    for (target, slowness) in world.targets.iter_mut().zip([0.8, 1.0, 1.2].iter().cycle()) {
        target.slowness = *slowness;
    }
    for _ in 0..30 {
        world.run(seconds(1));
        let slowness = world.slowness();
        assert!(
            slowness
                .iter()
                .all(|times| (times - 1.0).abs() < f64::EPSILON)
        );
    }
    assert_eq!(world.pace_changes(2), []);
}

/// Guards against peers above the load bound because most targets are under pace: their share gives
/// way to the bound once they are no longer cold.
#[test]
fn the_load_bound_holds_while_most_targets_are_under_pace() {
    for routers in [1, 6, 28] {
        let mut world = World::new(seed(), Conditions { routers, ..USUAL });
        world.run(seconds(5));
        let returned = [0, 3, 6, 1, 4];
        for target in returned {
            world.stop(target, true);
        }
        world.run(seconds(2));
        for target in returned {
            world.start(target);
        }
        world.run(seconds(3));
        println!("{routers} routers, most return, cold: {:?}", world.counts);
        assert!(world.counts.cold_peak <= COLD_LIMIT, "{:?}", world.counts);
        world.counts = Counts::default();
        world.run(seconds(7));
        println!("{routers} routers, most return: {:?}", world.counts);
        assert_eq!(world.counts.over_known, 0, "{:?}", world.counts);
        assert!(world.counts.over_bound * 100 <= world.counts.sent);
    }
}

/// Checks the load bound of the fleet on what was counted in five seconds.
fn check_load_bound(name: &str, counts: &Counts) {
    println!("{name}: {counts:?}");
    let Counts {
        sent, over_bound, ..
    } = *counts;
    assert!(
        over_bound < MIN_OVER_BOUND || over_bound * 100 <= 3 * sent,
        "{name}: {counts:?}"
    );
}

/// Guards against routers that overload a target together because each knows too little of the others'
/// requests after its start: at a common start, and at restarts in series.
#[test]
fn the_load_bound_holds_while_routers_restart() {
    for routers in [6, 26, 103] {
        let mut world = World::new(seed(), Conditions { routers, ..USUAL });
        let number = |router: u32| usize::try_from(router).expect("routers are few");
        world.run(seconds(5));
        (0..routers).for_each(|router| world.restart_router(number(router)));
        // Routers are bound from 3 s after their start.
        world.run(seconds(3));
        world.counts = Counts::default();
        world.run(seconds(5));
        check_load_bound(&format!("{routers} routers, common start"), &world.counts);
        world.counts = Counts::default();
        for router in 0..10 {
            world.restart_router(number(router % routers));
            world.run(Duration::from_millis(500));
        }
        check_load_bound(
            &format!("{routers} routers, restarts in series"),
            &world.counts,
        );
    }
}

/// Guards against routers that overload a target together because reports between them are late.
#[test]
fn the_load_bound_holds_with_late_reports() {
    for routers in [6, 26, 103] {
        let conditions = Conditions {
            routers,
            loss: 0.0,
            delay_ms: 1_000,
        };
        let mut world = World::new(seed(), conditions);
        world.run(seconds(5));
        world.counts = Counts::default();
        world.run(seconds(5));
        check_load_bound(&format!("{routers} routers, late reports"), &world.counts);
    }
}

/// Guards against a log line for each answer of a target that states nonsense.
#[test]
fn malformed_slowness_is_traced_once() {
    let mut world = World::new(seed(), USUAL);
    let (record, now) = (world.targets[4].record.clone(), world.now);
    let selector = world.selector(0);
    let notices = Notices {
        is_slowness_malformed: true,
        ..Notices::default()
    };
    for _ in 0..3 {
        selector.record_notices(&record, &notices, now, now);
    }
    let expected = TraceEvent::MalformedNotice {
        target: record.name,
        notice: Notice::Slowness,
    };
    assert_eq!(selector.take_trace(now), [expected]);
}
