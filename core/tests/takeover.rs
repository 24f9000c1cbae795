//! Tests of what a request does while its target is silent.

use std::time::Duration;

use ebonyfall_core::{
    desired::{DesiredRoute, ResponseKind},
    doc::Idempotency,
    name::RouteName,
    outcome::Probe,
    takeover::{MAX_OVERLAP, MIN_ASK_AFTER, Reach, Silence, SilenceLimits, Step},
    time::Time,
};
use quickcheck::{Arbitrary, Gen, quickcheck};

/// Longest time that the stand-in for a router sleeps beyond a step, in milliseconds.
const MAX_LATENESS_MS: u64 = 100;
/// Silence after which callers of the route's streams disconnect.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Most steps in 12 s of silence.
const MAX_STEPS: u32 = 200;
/// Time for which two targets must not both work on a request.
const FORBIDDEN_OVERLAP: Duration = Duration::from_millis(400);

fn route(response: ResponseKind) -> DesiredRoute {
    DesiredRoute {
        name: RouteName::new("r").expect("the literal is a name"),
        host: "h".into(),
        path_prefix: "/".into(),
        idempotency: Idempotency::Idempotent,
        response,
        timeout: Duration::from_secs(12),
        latency_objective: Duration::from_millis(500),
        max_event_gap: None,
        priority: 0,
        shares: Vec::new(),
        max_attempts: 3,
        public: false,
        cache_affinity: false,
    }
}

const STREAM: ResponseKind = ResponseKind::EventStream { resumable: true };

fn silence(response: ResponseKind, now: Time) -> Silence {
    let mut silence = Silence::new(SilenceLimits::for_route(&route(response)));
    silence.begin_wait(now);
    silence
}

/// What happens in the router's surroundings, each after a time in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Happening {
    /// The target sends an event.
    Progress,
    /// A check has this result.
    Checked(Probe),
    /// Another target gets the request, or cannot.
    Sent,
    Refused,
    /// The time passes.
    Nothing,
}

#[derive(Debug, Clone)]
struct Schedule {
    is_stream: bool,
    happenings: Vec<(u64, Happening)>,
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        let happenings = (0..200).map(|_| {
            let happening = match u8::arbitrary(g) % 9 {
                0 => Happening::Progress,
                1 | 2 => Happening::Checked(Probe::Accepted),
                3 => Happening::Checked(Probe::Refused),
                4 | 5 => Happening::Checked(Probe::Unknown),
                6 => Happening::Sent,
                7 => Happening::Refused,
                _ => Happening::Nothing,
            };
            (u64::arbitrary(g) % 300, happening)
        });
        Self {
            happenings: happenings.collect(),
            is_stream: bool::arbitrary(g),
        }
    }
}

/// State that the check keeps for itself.
#[derive(Debug, Default)]
struct Observed {
    last_progress: Time,
    checking: bool,
    asked: bool,
    sent_at: Option<Time>,
    /// Other targets that did not take over.
    refusals: u32,
    failed_checks: u32,
}

impl Observed {
    /// Checks one step against the promises. Returns whether the first target has been given up.
    fn check(&mut self, step: Step, is_stream: bool, now: Time) -> bool {
        match step {
            Step::Wait(_) => false,
            Step::Check => {
                assert!(!self.checking, "one check at a time");
                self.checking = true;
                false
            }
            Step::Ask => {
                assert!(!self.asked, "one other target at a time");
                let silent = now.since(self.last_progress);
                let least = if is_stream {
                    MIN_ASK_AFTER
                } else {
                    Duration::from_millis(300)
                };
                assert!(silent >= least, "asked after {silent:?}");
                self.asked = true;
                false
            }
            Step::EndOverlap { keep_first } => {
                assert!(self.sent_at.is_some());
                let silent = now.since(self.last_progress);
                assert!(
                    keep_first || self.failed_checks >= 3 || is_stream && silent >= CALLER_TIMEOUT,
                    "a target that may be sound is kept"
                );
                self.asked = false;
                self.sent_at = None;
                !keep_first
            }
            Step::End => {
                assert!(self.refusals > 0, "ended although none refused");
                assert!(self.failed_checks >= 3, "ended a target that was reached");
                true
            }
        }
    }
}

fn play(schedule: &Schedule) {
    let response = if schedule.is_stream {
        STREAM
    } else {
        ResponseKind::Single
    };
    let mut now = Time::from_millis(1);
    let mut silence = silence(response, now);
    let mut seen = Observed {
        last_progress: now,
        ..Observed::default()
    };
    for (after, happening) in &schedule.happenings {
        let until = now + Duration::from_millis(*after);
        // The router wakes for each step that is due before the next happening.
        loop {
            let step = silence.step(true, now);
            let is_given_up = seen.check(step, schedule.is_stream, now);
            match step {
                Step::Wait(time) if now + time > until => break,
                Step::Wait(time) => {
                    now = now + time + Duration::from_millis(after % MAX_LATENESS_MS);
                }
                Step::EndOverlap { .. } => silence.record_refused(now),
                Step::Check | Step::Ask | Step::End => {}
            }
            if is_given_up {
                return;
            }
            if let Some(sent_at) = seen.sent_at {
                assert!(now.since(sent_at) < FORBIDDEN_OVERLAP);
            }
        }
        now = now.max(until);
        match happening {
            Happening::Progress => {
                silence.record_progress(now);
                seen = Observed {
                    last_progress: now,
                    ..Observed::default()
                };
            }
            Happening::Checked(probe) if seen.checking => {
                silence.record_check(Some(*probe), now);
                seen.checking = false;
                seen.failed_checks = match probe {
                    Probe::Unknown => seen.failed_checks + 1,
                    Probe::Accepted | Probe::Refused => 0,
                };
            }
            Happening::Sent if seen.asked && seen.sent_at.is_none() => {
                silence.record_sent(now);
                seen.sent_at = Some(now);
            }
            Happening::Refused if seen.asked => {
                silence.record_refused(now);
                seen.asked = false;
                seen.sent_at = None;
                seen.refusals += 1;
            }
            _ => {}
        }
    }
}

quickcheck! {
    /// Guards against a request that is given up while its target can be reached, that is ended before
    /// another target has refused, or that two targets have for long, in any order of what happens.
    fn a_target_is_kept_until_another_has_accepted(schedule: Schedule) -> bool {
        play(&schedule);
        true
    }
}

/// Plays a silent target until the first step of a kind; checks end after 5 ms with `probe`.
fn first(response: ResponseKind, probe: Probe, is_wanted: impl Fn(Step) -> bool) -> Duration {
    let start = Time::from_millis(1);
    let mut now = start;
    let mut silence = silence(response, now);
    let mut steps = 0;
    loop {
        let step = silence.step(true, now);
        if is_wanted(step) {
            return now.since(start);
        }
        match step {
            Step::Wait(time) => now = now + time,
            Step::Check => {
                now = now + Duration::from_millis(5);
                silence.record_check(Some(probe), now);
            }
            Step::Ask => silence.record_refused(now),
            Step::EndOverlap { .. } | Step::End => panic!("{step:?}"),
        }
        assert!(now.since(start) < Duration::from_secs(12), "no such step");
        steps += 1;
        assert!(steps < MAX_STEPS, "the router spins");
    }
}

/// Guards against a stream whose target has failed and that no other target takes over before its caller
/// leaves.
#[test]
fn another_target_is_asked_before_callers_disconnect() {
    let asked = |step| step == Step::Ask;
    for probe in [Probe::Accepted, Probe::Refused, Probe::Unknown] {
        let after = first(STREAM, probe, asked);
        assert!(after + MAX_OVERLAP < CALLER_TIMEOUT, "{probe}: {after:?}");
        let after = first(ResponseKind::Single, probe, asked);
        assert!(after < Duration::from_millis(320), "{probe}: {after:?}");
    }
}

/// Guards against a busy target whose work is started again elsewhere although its callers wait for long,
/// and against a dead one that is left late there.
#[test]
fn a_target_that_answers_checks_is_kept_for_longer_on_routes_with_long_gaps() {
    let mut route = route(STREAM);
    route.max_event_gap = Some(Duration::from_millis(400));
    let limits = SilenceLimits::for_route(&route);
    for (probe, earliest, latest) in [
        (Probe::Accepted, 1_900, 2_000),
        (Probe::Unknown, 1_200, 1_300),
    ] {
        let mut now = Time::from_millis(1);
        let mut silence = Silence::new(limits);
        silence.begin_wait(now);
        loop {
            match silence.step(true, now) {
                Step::Wait(time) => now = now + time,
                Step::Check => silence.record_check(Some(probe), now),
                _ => break,
            }
        }
        let after = now.since(Time::from_millis(1)).as_millis();
        assert!((earliest..latest).contains(&after), "{probe}: {after} ms");
    }
}

/// Guards against the end of a request whose target may only be leaving, and against one without an end
/// whose target is gone.
#[test]
fn a_request_is_ended_only_if_its_target_cannot_be_reached() {
    let ended = |step| step == Step::End;
    let after = first(STREAM, Probe::Unknown, ended);
    assert!(after < Duration::from_secs(2), "{after:?}");
    for probe in [Probe::Accepted, Probe::Refused] {
        let start = Time::from_millis(1);
        let mut now = start;
        let mut silence = silence(STREAM, now);
        while now.since(start) < Duration::from_secs(12) {
            match silence.step(true, now) {
                Step::Wait(time) => now = now + time,
                Step::Check => silence.record_check(Some(probe), now),
                Step::Ask => silence.record_refused(now),
                step @ (Step::EndOverlap { .. } | Step::End) => panic!("{probe}: {step:?}"),
            }
        }
    }
}

/// Guards against the end of a request whose checks fail at once, before another target was asked.
#[test]
fn another_target_is_asked_before_a_request_is_ended() {
    let mut now = Time::from_millis(1);
    let mut silence = silence(STREAM, now);
    let mut has_asked = false;
    loop {
        match silence.step(true, now) {
            Step::Wait(time) => now = now + time,
            Step::Check => silence.record_check(Some(Probe::Unknown), now),
            Step::Ask => {
                has_asked = true;
                silence.record_refused(now);
            }
            Step::End => break,
            step @ Step::EndOverlap { .. } => panic!("{step:?}"),
        }
    }
    assert!(has_asked);
}

/// Guards against a standstill of the router that is taken for silence of its target.
#[test]
fn a_standstill_of_the_process_is_no_silence() {
    let mut now = Time::from_millis(1);
    let mut silence = silence(STREAM, now);
    let Step::Wait(time) = silence.step(true, now) else {
        panic!("the target has just got the request");
    };
    now = now + time + Duration::from_millis(1_500);
    assert!(matches!(silence.step(true, now), Step::Wait(_)));
    assert_eq!(silence.time(now), Duration::ZERO);
    assert_eq!(silence.reach(), Reach::Unknown);
}

/// Guards against time that a slow caller takes to read being taken for silence of the target.
#[test]
fn time_that_the_caller_takes_is_no_silence() {
    let mut now = Time::from_millis(1);
    let mut silence = silence(STREAM, now);
    for _ in 0..20 {
        now = now + Duration::from_millis(40);
        silence.end_wait(now);
        now = now + Duration::from_secs(2);
        silence.begin_wait(now);
        assert!(matches!(silence.step(true, now), Step::Wait(_)));
    }
    assert_eq!(silence.time(now), Duration::from_millis(800));
}
