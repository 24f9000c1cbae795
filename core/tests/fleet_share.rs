//! Tests of the limits that all routers share while routers start, stop and lose each other.

mod common;
mod sharing;

use std::time::Duration;

use common::variable;
use ebonyfall_core::{
    fleet::{Fleet, RosterEntry, ShareBasis},
    membership::KnownRouter,
    name::ProcessName,
    time::Time,
};
use sharing::{COLD_LIMIT, COLD_RATE, Counts, RosterCalls, World};

/// Sizes of fleets: with the largest, each part is smaller than one request.
const FLEETS: [usize; 3] = [6, 26, 103];

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Runs `scenario` with fleets of all sizes and several seeds; checks that no more is used than the
/// fleet may use, and that the fleet uses a good part of the cold rate in the 4 s after `scenario`.
fn check(name: &str, prepare: impl Fn(usize, u64) -> World, scenario: impl Fn(&mut World)) {
    let first = variable("FLEET_SHARE_SEED", 1);
    for routers in FLEETS {
        let mut worst = Counts::default();
        let mut least_used = f64::INFINITY;
        for seed in first..first + variable("FLEET_SHARE_SEEDS", 1) {
            let mut world = prepare(routers, seed);
            scenario(&mut world);
            worst.largest_sum = worst.largest_sum.max(world.counts.largest_sum);
            worst.cold_peak = worst.cold_peak.max(world.counts.cold_peak);
            worst.over = worst.over.max(world.counts.over);
            world.counts = Counts::default();
            world.run(seconds(4));
            least_used = least_used.min(f64::from(world.counts.sent) / 4.0 / COLD_RATE);
            worst.largest_sum = worst.largest_sum.max(world.counts.largest_sum);
            worst.cold_peak = worst.cold_peak.max(world.counts.cold_peak);
            assert_eq!(world.shared_ranks(), 0, "{name}, {routers} routers");
        }
        println!(
            "{name}, {routers} routers: sum of parts {:.2}, over 1 for {:?}, cold peak {}, cold rate \
             used {least_used:.2}",
            worst.largest_sum, worst.over, worst.cold_peak
        );
        assert!(worst.largest_sum < 1.000_001, "{name}, {routers} routers");
        assert!(worst.cold_peak <= COLD_LIMIT, "{name}, {routers} routers");
        assert!(least_used > 0.6, "{name}, {routers} routers");
    }
}

fn running(routers: usize, seed: u64) -> World {
    World::running(routers, seed, seconds(60))
}

/// Guards against routers that each take the whole limits at a common start, when none knows another.
#[test]
fn routers_that_start_for_the_first_time_share_the_limits() {
    check("first start", World::new, |world| {
        world.start_all();
        world.run(seconds(5));
    });
}

/// Guards against the same after a power loss of all routers, and against a wait of routers that the
/// roster names.
#[test]
fn routers_that_all_start_again_share_the_limits_at_once() {
    check("restart of all", running, |world| {
        (0..world.len()).for_each(|number| world.kill(number));
        world.run(seconds(2));
        world.take_calls();
        world.start_all();
        let sent = world.counts.sent;
        world.run(seconds(2));
        // The last router reads the roster after 650 ms, and sees its part 300 ms later.
        assert!(world.counts.sent > sent + 10, "the cold target idles");
        let routers = u32::try_from(world.len()).expect("routers are few");
        assert_eq!(world.take_calls(), (routers, routers));
    });
}

/// Guards against the same after a long run: the routers do not know whether others still count them.
#[test]
fn routers_that_start_again_after_long_share_the_limits() {
    let prepare = |routers, seed| World::running(routers, seed, seconds(1_200));
    check("restart of all after 20 min", prepare, |world| {
        (0..world.len()).for_each(|number| world.kill(number));
        world.run(seconds(2));
        world.start_all();
        world.run(seconds(4));
    });
}

/// Guards against a router that takes the whole limits at each restart in series, killed or stopped.
#[test]
fn routers_that_restart_in_series_share_the_limits() {
    check("killed in series", running, |world| {
        for number in 0..world.len().min(26) {
            world.kill(number);
            world.run(millis(300));
            world.start(number);
            world.run(millis(200));
        }
        world.run(seconds(1));
    });
    check("stopped in series", running, |world| {
        for number in 0..world.len().min(12) {
            world.leave(number);
            world.run(seconds(3));
            world.kill(number);
            world.run(seconds(8));
            world.start(number);
        }
        world.run(seconds(1));
    });
}

/// Guards against routers that take the parts of those that they no longer hear, which go on sending.
#[test]
fn routers_that_do_not_hear_each_other_share_the_limits() {
    check("cut in two", running, |world| {
        for number in (0..world.len()).step_by(2) {
            world.set_side(number, 1);
        }
        world.run(seconds(20));
    });
    check("each cut off", running, |world| {
        for number in 0..world.len() {
            world.set_side(number, u8::try_from(number).expect("routers are few"));
        }
        world.run(seconds(20));
    });
    check("frozen", running, |world| {
        for number in (0..world.len()).step_by(4) {
            world.freeze(number, seconds(8));
        }
        world.run(seconds(12));
    });
    check("started again each cut off", running, |world| {
        for number in 0..world.len() {
            world.kill(number);
            world.set_side(number, u8::try_from(number).expect("routers are few"));
        }
        world.start_all();
        world.run(seconds(6));
    });
}

/// Guards against new routers that use a part before the others leave it to them.
#[test]
fn routers_that_join_share_the_limits() {
    check("half of the fleet joins", World::new, |world| {
        let first = world.len() / 2;
        (0..first).for_each(|number| world.start(number));
        world.run(seconds(6));
        (first..world.len()).for_each(|number| world.start(number));
        world.run(seconds(5));
    });
    check("routers join in series", World::new, |world| {
        for number in 0..world.len() {
            world.start(number);
            world.run(millis(150));
        }
        world.run(seconds(5));
    });
}

/// Guards against parts that depend on how fast gossip is.
#[test]
fn routers_that_hear_late_of_each_other_share_the_limits() {
    let late = |routers, seed| {
        let mut world = World::new(routers, seed);
        world.max_delay_ms = 4_000;
        world
    };
    check("first start, late gossip", late, |world| {
        world.start_all();
        world.run(seconds(5));
    });
    check("restart of all, late gossip", running, |world| {
        world.max_delay_ms = 4_000;
        (0..world.len()).for_each(|number| world.kill(number));
        world.run(seconds(2));
        world.start_all();
        world.run(seconds(3));
    });
}

/// Guards against turns that several routers take at once because their clocks differ.
#[test]
fn routers_whose_clocks_step_keep_the_cold_rate() {
    check("clocks step", running, |world| {
        for number in (0..world.len()).step_by(4) {
            let step = millis(500 + 700 * u64::try_from(number % 7).expect("it is small"));
            world.step_clock(number, step);
            world.run(millis(100));
        }
        world.run(seconds(5));
    });
}

/// Guards against a share that is taken for known, or never known, while the store does not answer.
#[test]
fn routers_share_the_limits_while_the_store_fails() {
    check("store read-only at the first start", World::new, |world| {
        world.calls = RosterCalls::ReadOnly;
        world.start_all();
        world.run(seconds(6));
    });
    check("store read-only at a restart", running, |world| {
        (0..world.len()).for_each(|number| world.kill(number));
        world.calls = RosterCalls::ReadOnly;
        world.start_all();
        world.run(seconds(2));
    });
    check("store down at a restart", running, |world| {
        (0..world.len()).for_each(|number| world.kill(number));
        world.calls = RosterCalls::Down;
        world.start_all();
        world.run(seconds(3));
        world.calls = RosterCalls::Served;
        world.run(seconds(2));
    });
}

fn router(name: &str) -> ProcessName {
    name.parse().expect("the literal is a name")
}

fn known(name: &str, has_left: bool) -> KnownRouter {
    KnownRouter {
        name: router(name),
        has_left,
    }
}

/// A record in the roster, by times in seconds since the Unix epoch.
fn record(name: &str, started: u64, written: u64) -> RosterEntry {
    RosterEntry {
        name: router(name),
        started: seconds(started),
        written: seconds(written),
    }
}

/// Start of the router in the tests below, in seconds since the Unix epoch.
const STARTED: u64 = 1_800_000_000;

/// A router that finds `roster` when it starts; its own record there is 10 s old.
fn returning(roster: &[RosterEntry]) -> Fleet {
    let mut fleet = Fleet::new(router("own"), Time::ZERO, seconds(STARTED));
    let mut list = vec![record("own", STARTED - 10, STARTED - 10)];
    list.extend_from_slice(roster);
    assert_eq!(fleet.record_first_list(&list, false), None);
    fleet
}

/// Guards against a router that stops counting when it leaves, while it still serves and may start
/// again, and against one that counts for ever.
#[test]
fn a_router_that_has_left_counts_for_a_while() {
    let mut fleet = returning(&[]);
    let at = |secs| Time::ZERO + seconds(secs);
    fleet.record_members(&[known("other", false)], true, at(1));
    assert_eq!(fleet.part(at(1)).routers(), Some(2));
    fleet.record_members(&[known("other", true)], true, at(10));
    fleet.record_members(&[known("other", true)], true, at(200));
    assert_eq!(fleet.part(at(309)).routers(), Some(2));
    assert_eq!(fleet.part(at(310)).routers(), Some(1));
    fleet.record_members(&[known("other", false)], true, at(320));
    assert_eq!(fleet.part(at(320)).routers(), Some(2));
}

/// Guards against names that count for ever since they are in the roster, and against a router that
/// runs for days and does not count since its start is long ago.
#[test]
fn a_roster_record_counts_by_its_age() {
    const DAY: u64 = 24 * 3_600;
    let roster = [
        record("running", STARTED - 30 * DAY, STARTED - DAY / 3),
        record("removed", STARTED - 2 * DAY, STARTED - DAY),
    ];
    let mut fleet = returning(&roster);
    assert_eq!(fleet.part(Time::ZERO).routers(), Some(2));
    // After 15 min, the membership table decides alone.
    fleet.record_members(
        &[known("own", false), known("new", false)],
        true,
        Time::ZERO,
    );
    let before = fleet.part(Time::ZERO + seconds(899));
    assert_eq!(
        (before.routers(), before.basis),
        (Some(3), ShareBasis::Roster)
    );
    let after = fleet.part(Time::ZERO + seconds(900));
    assert_eq!(
        (after.routers(), after.basis),
        (Some(2), ShareBasis::Membership)
    );
}

/// Guards against a part that is used before the others leave it to a router, and against budgets that
/// cannot tell how recently the router started before.
#[test]
fn a_router_waits_unless_the_others_count_it() {
    let list = [record("other", STARTED - 10, STARTED - 10)];
    let part = |own: Option<u64>, is_first| {
        let mut fleet = Fleet::new(router("own"), Time::ZERO, seconds(STARTED));
        let own = own.map(|age| record("own", STARTED - age, STARTED - age));
        let list: Vec<_> = list.iter().cloned().chain(own).collect();
        let wait = fleet.record_first_list(&list, is_first);
        fleet.record_written();
        let share = fleet.part(Time::ZERO).share;
        (wait, share.map(|share| share.earlier_run))
    };
    assert_eq!(part(Some(10), false), (None, Some(Some(seconds(10)))));
    assert_eq!(part(Some(299), false), (None, Some(Some(seconds(299)))));
    // The router may have left long ago, so that the others no longer count it.
    assert_eq!(part(Some(300), false), (Some(millis(2_500)), None));
    assert_eq!(part(None, false), (Some(millis(2_500)), None));
    assert_eq!(part(None, true), (Some(seconds(1)), Some(None)));
}

/// Guards against a part that is never used since the store refuses the record, and against gossip from
/// before a pause that counts.
#[test]
fn gossip_replaces_a_record_that_cannot_be_written() {
    let mut fleet = Fleet::new(router("own"), Time::ZERO, seconds(STARTED));
    let at = |secs| Time::ZERO + seconds(secs);
    let others = [known("other", false)];
    fleet.record_members(&others, true, at(0));
    assert_eq!(fleet.part(at(9)).routers(), None, "the roster is not read");
    fleet.record_first_list(&[], false);
    fleet.record_members(&others, false, at(10));
    fleet.record_members(&others, true, at(11));
    assert_eq!(fleet.part(at(14)).routers(), None);
    assert_eq!(fleet.part(at(15)).routers(), Some(2));
    fleet.record_members(&others, false, at(16));
    assert_eq!(fleet.part(at(16)).routers(), Some(2), "it stays known");
}

/// Guards against a first router that stands still or cannot read the roster again, and goes on with
/// the whole limits beside routers that have started meanwhile.
#[test]
fn the_first_router_uses_the_whole_limits_for_a_moment_only() {
    let at = |ms| Time::ZERO + millis(ms);
    let mut fleet = Fleet::new(router("own"), Time::ZERO, seconds(STARTED));
    fleet.record_first_list(&[], true);
    assert_eq!(fleet.part(at(2_100)).routers(), Some(1));
    assert_eq!(fleet.part(at(2_200)).routers(), None);
    let roster = [record("other", STARTED, STARTED)];
    fleet.record_later_list(&roster, seconds(STARTED + 7));
    assert_eq!(fleet.part(at(7_000)).routers(), Some(2));
}

/// Guards against a router that hears nobody and takes itself for the only one.
#[test]
fn a_router_that_hears_nobody_waits_for_its_record() {
    let at = |secs| Time::ZERO + seconds(secs);
    let mut fleet = Fleet::new(router("own"), Time::ZERO, seconds(STARTED));
    fleet.record_first_list(&[], false);
    for secs in 0..60 {
        fleet.record_members(&[known("own", false)], true, at(secs));
        assert_eq!(fleet.part(at(secs)).routers(), None, "{secs} s");
    }
    fleet.record_later_list(&[], seconds(STARTED + 60));
    assert_eq!(fleet.part(at(60)).routers(), Some(1));
}

/// Guards against restarts in series whose runs each take themselves for the first one after a long run,
/// since the store took no record of those between.
#[test]
fn a_run_without_a_record_counts_as_one_after_a_short_run() {
    let mut fleet = returning(&[]);
    let earlier_run = |fleet: &mut Fleet| {
        let share = fleet.part(Time::ZERO).share.expect("the others count it");
        share.earlier_run
    };
    assert_eq!(earlier_run(&mut fleet), Some(Duration::ZERO));
    fleet.record_written();
    assert_eq!(earlier_run(&mut fleet), Some(seconds(10)));
}

/// Guards against a router that uses its part at once since its own record is from the future.
#[test]
fn a_record_from_the_future_does_not_show_that_others_count_a_router() {
    let mut fleet = Fleet::new(router("own"), Time::ZERO, seconds(STARTED));
    let own = record("own", STARTED + 3_600, STARTED + 3_600);
    assert_eq!(fleet.record_first_list(&[own], false), Some(millis(2_500)));
    assert_eq!(fleet.part(Time::ZERO).routers(), None);
}
