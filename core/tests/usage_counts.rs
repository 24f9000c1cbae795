//! Tests of the counts for usage reports and of the time that routers agree on.

use std::{collections::BTreeMap, time::Duration};

use ebonyfall_core::{
    name::{ProcessName, RouteName, TeamName},
    time::Time,
    usage::{
        counts::{COMPLETE_LAG, KEPT_WINDOWS, MAX_TEAMS, UsageTable},
        durations::UsualDurations,
        time::{ClockReading, FleetTime},
        window::{CountChange, CountSource, WindowId, WindowLength},
    },
};
use quickcheck::{Arbitrary, Gen, quickcheck};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Start of all tests, a whole number of windows after the Unix epoch.
const START: Duration = Duration::from_secs(5 * 353_445_120);
/// Interval between two messages of a router.
const INTERVAL: Duration = Duration::from_millis(250);

fn length() -> WindowLength {
    WindowLength::new(Duration::from_secs(5)).unwrap()
}

fn router(number: usize) -> ProcessName {
    format!("r{number}").parse().unwrap()
}

fn team(number: usize) -> TeamName {
    format!("team{number}").parse().unwrap()
}

fn source(number: usize, incarnation: u64) -> CountSource {
    CountSource {
        router: router(number),
        incarnation: incarnation.into(),
    }
}

fn table(number: usize) -> UsageTable {
    UsageTable::new(source(number, 1), length())
}

/// All counts, independent of the order in which they arrived.
fn content(table: &UsageTable) -> BTreeMap<(CountSource, WindowId, TeamName), u64> {
    let changes = table.changes_since(0).0.into_iter();
    changes
        .map(|c| ((c.source, c.window, c.team), c.count))
        .collect()
}

#[derive(Debug, Clone)]
struct AnyChange(CountChange);

impl Arbitrary for AnyChange {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut small = || usize::from(u8::arbitrary(g) % 4);
        let window = u64::from(length().window_at(START)) - small() as u64;
        Self(CountChange {
            source: source(small() + 1, small() as u64),
            window: window.into(),
            team: team(small()),
            count: small() as u64,
        })
    }
}

fn merged(parts: &[&[AnyChange]]) -> UsageTable {
    let mut table = table(0);
    for part in parts {
        let part: Vec<_> = part.iter().map(|change| change.0.clone()).collect();
        table.merge(&part, START);
    }
    table
}

quickcheck! {
    /// Guards against totals that depend on the order or number of messages.
    fn merge_is_commutative_associative_and_idempotent(
        a: Vec<AnyChange>, b: Vec<AnyChange>, c: Vec<AnyChange>
    ) -> bool {
        let expected = content(&merged(&[&a, &b, &c]));
        let mut joined = merged(&[&b, &c]).changes_since(0).0;
        joined.extend(merged(&[&a]).changes_since(0).0);
        let joined: Vec<_> = joined.into_iter().map(AnyChange).collect();
        content(&merged(&[&c, &b, &a, &b])) == expected
            && content(&merged(&[&joined])) == expected
    }

    /// Guards against pages that leave out changes or repeat them without end.
    fn pages_hold_all_changes(changes: Vec<AnyChange>, limit: u8) -> bool {
        let from = merged(&[&changes]);
        let (mut to, mut revision, mut pages) = (table(0), 0, 0);
        loop {
            let page = from.page_since(revision, usize::from(limit) + 1);
            to.merge(&page.changes, START);
            revision = page.revision;
            pages += 1;
            if !page.has_more || pages > changes.len() + 1 {
                break;
            }
        }
        content(&to) == content(&from) && revision == from.revision()
    }
}

/// A message on its way to the collector.
struct Message {
    arrives: Duration,
    page: ebonyfall_core::usage::counts::CountPage,
    sender: usize,
}

/// Plays three routers that send to one collector over a link that loses, repeats, reorders and
/// delays messages. Router 1 is restarted under the same name at 12 s and router 2 killed at 16 s.
/// Returns the collector, the requests that began by window, and those that the killed routers had
/// counted in their last second.
fn play(seed: u64) -> (UsageTable, BTreeMap<WindowId, u64>, u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut collector = table(0);
    let mut tables: Vec<_> = (1..=3).map(table).collect();
    let (mut acknowledged, mut on_way) = ([0; 3], Vec::<Message>::new());
    let (mut truth, mut at_risk) = (BTreeMap::new(), 0);
    for step in 0_u32..160 {
        let now = START + INTERVAL * step;
        let is_alive = |sender: usize| sender != 1 || step < 64;
        if step == 48 {
            tables[0] = UsageTable::new(source(1, 2), length());
            acknowledged[0] = 0;
            on_way.retain(|message| message.sender != 0);
        }
        for (sender, table) in tables.iter_mut().enumerate().filter(|(s, _)| is_alive(*s)) {
            for _ in 0..rng.random_range(0..40) {
                let began = now.saturating_sub(Duration::from_millis(rng.random_range(0..250)));
                let began = began.max(START);
                table.count(&team(rng.random_range(0..5)), began, now);
                *truth.entry(length().window_at(began)).or_insert(0) += 1;
                let before_kill = (sender == 0 && (44..48).contains(&step))
                    || (sender == 1 && (60..64).contains(&step));
                at_risk += u64::from(before_kill);
            }
            table.advance(now);
            let page = table.own_since(acknowledged[sender]);
            for _ in 0..rng.random_range(0..3) {
                let arrives = now + Duration::from_millis(rng.random_range(0..900));
                let page = page.clone();
                on_way.push(Message {
                    arrives,
                    page,
                    sender,
                });
            }
        }
        collector.advance(now);
        while let Some(at) = on_way.iter().position(|message| message.arrives <= now) {
            let Message { page, sender, .. } = on_way.swap_remove(at);
            collector.merge(&page.changes, now);
            collector.merge_complete(&page.complete, now);
            if rng.random_bool(0.7) && is_alive(sender) {
                acknowledged[sender] = page.revision.max(acknowledged[sender]);
            }
        }
    }
    (collector, truth, at_risk)
}

/// Guards against requests that are lost or counted twice when messages are lost, repeated, reordered
/// or delayed, and against a killed router that loses more than its last second.
#[test]
fn totals_are_right_under_message_faults_and_restarts() {
    for seed in 0..60 {
        let (collector, truth, at_risk) = play(seed);
        let live = [router(1), router(3)];
        let (mut total, mut expected) = (0, 0);
        for (window, began) in truth.iter().take(6) {
            let counted = collector.window(*window, &live);
            assert_eq!(counted.missing, [], "seed {seed}, window {window}");
            let counted: u64 = counted.counts.values().sum();
            assert!(counted <= *began, "seed {seed}, window {window}");
            total += counted;
            expected += began;
            let has_kill = (2..=3).contains(&(u64::from(*window) - START.as_secs() / 5));
            if !has_kill {
                assert_eq!(counted, *began, "seed {seed}, window {window}");
            }
        }
        assert!(
            expected - total <= at_risk,
            "seed {seed}: {total} of {expected}"
        );
    }
}

/// Guards against a report that is sent while a live router may still count requests of its window,
/// against a router without requests that holds up all reports, and against counts that change after
/// they were declared complete.
#[test]
fn a_window_is_missing_until_its_router_has_declared_it_complete() {
    let (mut own, mut quiet) = (table(0), table(1));
    let window = length().window_at(START);
    let routers = [router(0), router(1)];
    let end = length().end(window);
    let declared = end + COMPLETE_LAG;
    let before = declared.saturating_sub(Duration::from_millis(1));
    for now in [START, before] {
        own.advance(now);
        quiet.advance(now);
        own.merge_complete(&quiet.page_since(0, 9).complete, now);
    }
    assert_eq!(own.window(window, &routers).missing, routers);
    own.count(&team(0), START, declared);
    own.advance(declared);
    quiet.advance(declared);
    own.merge_complete(&quiet.own_since(0).complete, declared);
    assert_eq!(own.window(window, &routers).missing, []);
    let known = own.window(window, &routers).counts;
    assert_eq!(known, BTreeMap::from([(team(0), 1)]));
    own.count(&team(0), START, declared);
    assert_eq!(own.window(window, &routers).counts, known);
    assert_eq!(own.window(window.next(), &routers).counts, known);
    // A router that has restarted says so itself; its name is not missing afterwards.
    let mut restarted = UsageTable::new(source(1, 2), length());
    let next_end = declared + length().duration();
    restarted.advance(next_end);
    own.advance(next_end);
    own.merge_complete(&restarted.own_since(0).complete, next_end);
    assert_eq!(own.window(window.next(), &routers).missing, []);
}

/// Guards against a statement of completeness that overtakes the counts that it is about.
#[test]
fn a_page_states_completeness_only_with_the_counts_before_it() {
    let mut from = table(1);
    for number in 0..9 {
        from.count(&team(number), START, START);
    }
    let window = length().window_at(START);
    let now = length().end(window) + COMPLETE_LAG;
    from.advance(now);
    let (mut to, mut revision) = (table(0), 0);
    loop {
        let page = from.page_since(revision, 4);
        revision = page.revision;
        to.merge(&page.changes, now);
        to.merge_complete(&page.complete, now);
        let found = to.window(window, &[router(1)]);
        assert!(found.counts.len() == 9 || !found.missing.is_empty());
        if !page.has_more {
            assert_eq!(found.missing, []);
            return;
        }
    }
}

/// Guards against messages that grow with requests, and against a table that grows with time or with
/// names that other routers send.
#[test]
fn changes_and_memory_are_bounded() {
    let mut own = table(0);
    for number in 0..1_000 {
        own.count(&team(number % 40), START, START);
    }
    let page = own.own_since(0);
    assert_eq!(page.changes.len(), 40);
    own.count(&team(7), START, START);
    assert_eq!(own.own_since(page.revision).changes.len(), 1);
    for number in 0..MAX_TEAMS + 9 {
        own.count(&team(number), START, START);
    }
    assert_eq!(own.len(), MAX_TEAMS);
    assert_eq!(own.take_refused(), 9);
    let present = u64::from(length().window_at(START));
    for window in [present - KEPT_WINDOWS - 1, present + 2, u64::MAX] {
        let change = CountChange {
            source: source(3, 1),
            window: window.into(),
            team: team(0),
            count: 1,
        };
        own.merge(&[change], START);
    }
    assert_eq!(own.len(), MAX_TEAMS, "windows that are not kept");
    let later = START + length().duration() * 33;
    own.advance(later);
    assert!(own.is_empty());
}

/// Guards against counts of a wrong clock that appear in a later window, and against a router that
/// counts nothing until its earlier wrong time has passed.
#[test]
fn a_clock_that_was_ahead_leaves_nothing_behind() {
    let mut own = table(0);
    let ahead = START + Duration::from_secs(3_600);
    own.count(&team(0), ahead, ahead);
    own.advance(ahead);
    own.advance(START);
    assert!(own.is_empty());
    own.count(&team(0), START, START);
    let counted = own.window(length().window_at(START), &[router(0)]);
    assert_eq!(counted.counts, BTreeMap::from([(team(0), 1)]));
    assert_eq!(counted.missing, [router(0)]);
}

/// Plays routers whose wall clocks differ from the truth by these milliseconds when they start, and
/// that exchange their times over links with a round trip of 80 ms. Returns the differences after
/// some exchanges.
fn agree(errors: &[i64], collectors: usize) -> Vec<i64> {
    let boot = |router: usize| Time::from_millis(1_000 * (router as u64 + 1));
    let wall = |error: i64| {
        let millis = i64::try_from(START.as_millis()).unwrap() + error;
        Duration::from_millis(millis.try_into().unwrap())
    };
    let clocks = errors.iter().enumerate();
    let mut clocks: Vec<_> = clocks
        .map(|(router, error)| FleetTime::new(wall(*error), boot(router)))
        .collect();
    for step in 1..40 {
        let elapsed = INTERVAL * step;
        let readings_of = |router: usize, clocks: &[FleetTime]| -> Vec<_> {
            let others = (0..collectors).filter(|other| *other != router);
            others
                .map(|other| ClockReading {
                    unix: clocks[other].unix(boot(other) + elapsed),
                    sent_at: (boot(router) + elapsed).before(Duration::from_millis(40)),
                    received_at: boot(router) + elapsed + Duration::from_millis(40),
                })
                .collect()
        };
        for router in 0..errors.len() {
            let readings = readings_of(router, &clocks);
            clocks[router].correct(&readings);
        }
    }
    let elapsed = INTERVAL * 40;
    let difference = |(router, clock): (usize, &FleetTime)| {
        let found = clock.unix(boot(router) + elapsed).as_millis();
        let truth = (START + elapsed).as_millis();
        i64::try_from(found).unwrap() - i64::try_from(truth).unwrap()
    };
    clocks.iter().enumerate().map(difference).collect()
}

/// Guards against a router that counts into wrong windows because its wall clock was wrong at its
/// start, and against one such router that misleads the others.
#[test]
fn one_wrong_clock_among_three_or_four_is_corrected() {
    for count in [3, 4, 9] {
        for wrong in 0..count {
            for error in [-3_600_000, -4_000, -700, 700, 4_000, 3_600_000] {
                let mut errors = vec![0; count];
                errors[wrong] = error;
                for (router, left) in agree(&errors, 3).into_iter().enumerate() {
                    assert!(
                        left.abs() <= 200,
                        "{left} ms at {router} of {count}, {error} ms at {wrong}"
                    );
                }
            }
        }
    }
}

/// Guards against corrections of usual differences between clocks, against one other clock that is
/// believed, and against answers whose time is not known well.
#[test]
fn small_differences_and_doubtful_readings_are_ignored() {
    assert_eq!(agree(&[0, 150, -150, 100], 3), [0, 150, -150, 100]);
    assert_eq!(agree(&[0, 5_000], 2), [0, 5_000]);
    let now = Time::from_millis(10_000);
    let mut time = FleetTime::new(START, now);
    let slow = ClockReading {
        unix: START + Duration::from_secs(9),
        sent_at: now,
        received_at: now + Duration::from_millis(501),
    };
    assert_eq!(time.correct(&[slow; 3]), None);
    // The time of an answer is half a round trip old when it arrives.
    let reading = ClockReading {
        unix: START + Duration::from_secs(9),
        sent_at: now,
        received_at: now + Duration::from_millis(400),
    };
    assert_eq!(time.correct(&[reading; 3]), Some(8_800_000));
}

/// Guards against a queue at a target that shifts starts into an earlier window, and against a start
/// that is estimated to be before the request was sent.
#[test]
fn a_queue_does_not_change_the_usual_duration() {
    let route = RouteName::new("status").unwrap();
    let mut durations = UsualDurations::default();
    let usual = Duration::from_millis(300);
    let mut now = Time::from_millis(1_000);
    for _ in 0..100 {
        assert_eq!(durations.record(&route, usual, now), usual);
        now = now + Duration::from_millis(50);
    }
    // 400 answers in 20 s, each of which has waited for 5 s.
    for _ in 0..400 {
        let found = durations.record(&route, usual + Duration::from_secs(5), now);
        assert!(found < usual.mul_f64(1.25), "{found:?}");
        now = now + Duration::from_millis(50);
    }
    let short = Duration::from_millis(20);
    assert_eq!(durations.record(&route, short, now), short);
    let after = durations.record(&route, usual, now);
    assert!(after > usual.mul_f64(0.7), "one short answer: {after:?}");
}
