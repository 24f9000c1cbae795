//! Tests of prompt parts that crash targets: rules of single marks, and fleets of routers in seeded
//! schedules in which reports are late and lost.

mod common;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use common::variable;
use ebonyfall_core::{
    budget::RetryBound,
    code::Code,
    direct::Failure,
    id::{Fingerprint, Incarnation, PartId},
    name::{RouteName, TargetName, TeamName},
    outcome::{End, Finished, Probe},
    parts::{CrashedRequest, PartMark, PartMarks},
    selector::{Criteria, TargetSelector},
    target::{Stage, TargetRecord},
    time::Time,
};
use quickcheck::{Arbitrary, Gen, quickcheck};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Part that crashes targets.
const DEADLY: u64 = 0xdead;
/// First part of all requests.
const COMMON: u64 = 1;
/// Parts that follow the first one, by chat. Requests with the deadly part have the first of them.
const CHATS: u64 = 35;
const TICK: Duration = Duration::from_millis(5);
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
const MAX_DELAY_MS: u64 = 600;
/// Share of reports that are lost.
const LOSS: f64 = 0.2;
/// Time until an answer begins or the target crashes, time to its end, and time for which a crashed
/// target is down.
const BEGIN: Duration = Duration::from_millis(150);
const WHOLE: Duration = Duration::from_millis(1_200);
const DOWN: Duration = Duration::from_secs(3);
/// Crashes and time after which all routers have to know the part, and requests with it that may
/// reach targets later.
const CRASHES: usize = 5;
const CONTACT: Duration = Duration::from_secs(3);
const MAX_LATE: usize = 3;

fn team(name: &str) -> TeamName {
    name.parse().expect("the literal is a name")
}

fn parts(ids: &[u64]) -> Vec<PartId> {
    ids.iter().copied().map(PartId::from).collect()
}

/// Counts a crash while requests of `team` with these parts ran, which were sent 100 ms before.
fn crash(marks: &mut PartMarks, requests: &[&[u64]], team: &TeamName, now: Time) {
    let all: Vec<_> = requests.iter().map(|ids| parts(ids)).collect();
    let requests: Vec<_> = all
        .iter()
        .map(|parts| CrashedRequest {
            parts,
            team,
            sent_at: now.before(Duration::from_millis(100)),
        })
        .collect();
    marks.record_crash(&requests, now);
}

fn is_held(marks: &PartMarks, ids: &[u64], team: &TeamName, now: Time) -> bool {
    marks.held(&parts(ids), team, now).is_some()
}

/// Guards against sound parts that are refused because requests with the deadly part have them, too.
#[test]
fn only_the_part_without_an_answer_is_held() {
    let (mut marks, desk) = (PartMarks::default(), team("desk"));
    let at = Time::from_millis;
    crash(&mut marks, &[&[1, 2, DEADLY], &[1, 3]], &desk, at(1_000));
    crash(&mut marks, &[&[1, 2, DEADLY], &[4]], &desk, at(2_000));
    assert!(is_held(&marks, &[1, 2, DEADLY], &desk, at(2_000)));
    assert!(
        !is_held(&marks, &[1, 2], &desk, at(2_000)),
        "its result tells"
    );
    assert!(!is_held(&marks, &[4], &desk, at(2_000)), "suspected less");
    marks.record_answer(&parts(&[1, 2]), at(2_100));
    assert!(is_held(&marks, &[5, DEADLY], &desk, at(2_100)));
    assert!(!is_held(&marks, &[1, 2], &desk, at(2_100)));
    let end = at(2_000) + Duration::from_secs(60);
    assert!(!is_held(&marks, &[5, DEADLY], &desk, end), "it ends");
    crash(&mut marks, &[&[5, DEADLY]], &desk, end);
    assert!(
        is_held(&marks, &[6, DEADLY], &desk, end),
        "one crash renews it"
    );
}

/// Guards against holding the common parts of all requests when many targets end together.
#[test]
fn targets_that_end_together_count_once() {
    let (mut marks, desk) = (PartMarks::default(), team("desk"));
    for millis in 1_000..1_050 {
        crash(
            &mut marks,
            &[&[COMMON, 2]],
            &desk,
            Time::from_millis(millis),
        );
    }
    assert!(!is_held(
        &marks,
        &[COMMON, 2],
        &desk,
        Time::from_millis(1_050)
    ));
}

/// Guards against a team that names the parts of another one in requests that crash targets.
#[test]
fn a_team_cannot_have_the_parts_of_another_held() {
    let (mut marks, desk, other) = (PartMarks::default(), team("desk"), team("other"));
    let at = Time::from_millis;
    for second in 1..9 {
        crash(&mut marks, &[&[7]], &other, at(1_000 * second));
    }
    assert!(is_held(&marks, &[7], &other, at(8_000)));
    assert!(!is_held(&marks, &[7], &desk, at(8_000)));
    marks.record_answer(&parts(&[7]), at(8_100));
    assert!(
        !is_held(&marks, &[7], &other, at(8_200)),
        "the part is sound"
    );
    crash(&mut marks, &[&[9]], &other, at(9_000));
    crash(&mut marks, &[&[9]], &desk, at(10_000));
    assert!(is_held(&marks, &[9], &team("third"), at(10_000)));
}

#[derive(Debug, Clone)]
struct AnyMark(PartMark);

impl Arbitrary for AnyMark {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut small = |limit: u32| u32::arbitrary(g) % limit;
        let mut mark = PartMark {
            epoch: small(2),
            crashes: small(3),
            ..PartMark::default()
        };
        // A merge with a mark of one team keeps the list in order and within its limit.
        for _ in 0..small(3) {
            mark.merge(&PartMark {
                epoch: mark.epoch,
                crashes: mark.crashes,
                teams: vec![team(["a", "b", "c"][small(3) as usize])],
                companions: mark.companions.clone(),
            });
        }
        mark.companions = (0..small(3))
            .map(|id| PartId::from(u64::from(id)))
            .collect();
        Self(mark)
    }
}

quickcheck! {
    /// Guards against routers that stay of different opinions after late, lost and repeated reports.
    fn marks_merge_in_any_order(a: AnyMark, b: AnyMark, c: AnyMark) -> bool {
        let merged = |order: [&AnyMark; 4]| {
            let mut mark = order[0].0.clone();
            for other in &order[1..] {
                mark.merge(&other.0);
            }
            mark.companions.sort();
            mark
        };
        let expected = merged([&a, &b, &c, &c]);
        expected == merged([&c, &b, &a, &b]) && expected == merged([&b, &c, &b, &a])
    }
}

struct Router {
    selector: TargetSelector,
    /// Reports in transit with their time of arrival.
    reports: Vec<(Time, PartId, PartMark, Duration)>,
    /// Targets to which connections are being opened.
    probes: Vec<TargetRecord>,
    started_at: Time,
}

impl Router {
    /// A router that has read the targets from the store.
    fn new(targets: &[TargetRecord], now: Time, started_at: Time) -> Self {
        let bound = RetryBound {
            ratio: 0.2,
            slack: 58.0,
            window: Duration::from_secs(10),
        };
        let mut selector = TargetSelector::new("z".parse().expect("it is a name"), bound);
        for record in targets {
            selector.put(record.clone(), now);
        }
        Self {
            selector,
            reports: Vec::new(),
            probes: Vec::new(),
            started_at,
        }
    }
}

struct Running {
    router: usize,
    target: TargetName,
    parts: Arc<[PartId]>,
    sent_at: Time,
}

struct Fleet {
    rng: SmallRng,
    now: Time,
    routers: Vec<Router>,
    targets: Vec<TargetRecord>,
    /// Time until which each target is down.
    down: Vec<Time>,
    running: Vec<Running>,
    crashes: Vec<Time>,
    /// Requests with the deadly part that reached targets, and whether their router was in touch.
    reached: Vec<(Time, bool)>,
    sound: u32,
    sound_held: u32,
}

impl Fleet {
    fn new(routers: usize, targets: u16, seed: u64) -> Self {
        let now = Time::from_millis(1_000_000);
        let record = |number: u16| TargetRecord {
            name: format!("t{number}").parse().expect("it is a name"),
            service: "s".parse().expect("the literal is a name"),
            address: ([127, 0, 0, 1], number + 1).into(),
            zone: "z".parse().expect("the literal is a name"),
            version: "v1".into(),
            slots: 64,
            stage: Stage::Ready,
            cold: Duration::ZERO,
            incarnation: Incarnation::from(1),
        };
        let targets: Vec<_> = (0..targets).map(record).collect();
        let router = |_| Router::new(&targets, now, now.before(CONTACT));
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now,
            routers: (0..routers).map(router).collect(),
            down: vec![now; targets.len()],
            targets,
            running: Vec::new(),
            crashes: Vec::new(),
            reached: Vec::new(),
            sound: 0,
            sound_held: 0,
        }
    }

    /// Plays `length` with so many sound and deadly requests a second.
    fn run(&mut self, length: Duration, sound: f64, deadly: f64) {
        let end = self.now + length;
        let mut next_report = self.now;
        while self.now < end {
            self.now = self.now + TICK;
            for (rate, is_deadly) in [(sound, false), (deadly, true)] {
                let mut due = rate * TICK.as_secs_f64();
                while due > 0.0 {
                    if self.rng.random_bool(due.min(1.0)) {
                        self.arrive(is_deadly);
                    }
                    due -= 1.0;
                }
            }
            self.end_requests();
            self.answer_probes();
            if self.now >= next_report {
                next_report = self.now + REPORT_INTERVAL;
                self.exchange_reports();
            }
            self.deliver();
        }
    }

    /// Replaces a router by one that knows only the targets.
    fn restart_router(&mut self, number: usize) {
        self.running.retain(|running| running.router != number);
        self.routers[number] = Router::new(&self.targets, self.now, self.now);
    }

    /// Requests with the deadly part that routers in touch sent `CONTACT` after the last crash that
    /// the bound allows.
    fn late(&self) -> usize {
        let known_from = self.crashes.get(CRASHES - 1).map(|at| *at + CONTACT);
        let late = self.reached.iter().filter(|(at, in_touch)| {
            *in_touch && known_from.is_some_and(|known_from| *at > known_from)
        });
        late.count()
    }

    fn arrive(&mut self, is_deadly: bool) {
        let router = self.rng.random_range(0..self.routers.len());
        let chat = if is_deadly {
            0
        } else {
            self.rng.random_range(0..CHATS)
        };
        let mut ids = vec![COMMON, 100 + chat];
        ids.extend(is_deadly.then_some(DEADLY));
        self.sound += u32::from(!is_deadly);
        let ids = Arc::from(parts(&ids));
        if self.send(router, &ids, chat) == Err(Code::Held) {
            self.sound_held += u32::from(!is_deadly);
        }
    }

    /// Sends a request, to another target if the first one is down.
    fn send(&mut self, router: usize, ids: &Arc<[PartId]>, chat: u64) -> Result<(), Code> {
        let now = self.now;
        let mut tried = Vec::new();
        while tried.len() < 5 {
            let criteria = Criteria {
                service: &"s".parse().expect("the literal is a name"),
                contexts: &[chat],
                tried: &tried,
                is_retry: false,
                only: None,
                needs_slot: false,
                content: Fingerprint::from(self.rng.random::<u64>()),
                parts: ids,
                team: &team("desk"),
            };
            let random = self.rng.random();
            let selector = &mut self.routers[router].selector;
            let chosen = selector.choose(&criteria, random, now);
            let target = chosen.map_err(|refusal| refusal.code)?.target;
            let running = Running {
                router,
                target: target.name.clone(),
                parts: Arc::clone(ids),
                sent_at: now,
            };
            if now < self.down[usize::from(target.address.port()) - 1] {
                self.finish(&running, End::Failed(Failure::NotSent), false);
                tried.push(target.name);
                continue;
            }
            if ids.contains(&PartId::from(DEADLY)) {
                let started_at = self.routers[router].started_at;
                self.reached.push((now, now.since(started_at) >= CONTACT));
            }
            self.running.push(running);
            return Ok(());
        }
        Err(Code::NoTarget)
    }

    fn finish(&mut self, running: &Running, end: End, answer_begun: bool) {
        let finished = Finished {
            end,
            content: Fingerprint::from(0),
            parts: &running.parts,
            sent_at: running.sent_at,
            answer_begun,
            team: &team("desk"),
            route: &RouteName::new("r").expect("the literal is a name"),
            timing: None,
        };
        let router = &mut self.routers[running.router];
        let doubtful = router
            .selector
            .record_end(&running.target, &finished, self.now);
        router.probes.extend(doubtful);
    }

    /// Ends requests that have been served, and those of targets that crash.
    fn end_requests(&mut self) {
        let now = self.now;
        let deadly = PartId::from(DEADLY);
        let crashing: BTreeSet<_> = self
            .running
            .iter()
            .filter(|request| {
                request.parts.contains(&deadly) && now.since(request.sent_at) >= BEGIN
            })
            .map(|request| request.target.clone())
            .collect();
        for target in &crashing {
            self.crashes.push(now);
            let index = self
                .targets
                .iter()
                .position(|record| record.name == *target);
            self.down[index.expect("the target exists")] = now + DOWN;
        }
        let ended: Vec<_> = self
            .running
            .extract_if(.., |request| {
                crashing.contains(&request.target) || now.since(request.sent_at) >= WHOLE
            })
            .collect();
        for request in ended {
            let has_crashed = crashing.contains(&request.target);
            let has_begun = now.since(request.sent_at) >= BEGIN && !request.parts.contains(&deadly);
            let end = if has_crashed {
                End::Failed(Failure::Broken)
            } else {
                End::Served
            };
            self.finish(&request, end, has_begun);
        }
    }

    fn answer_probes(&mut self) {
        for router in &mut self.routers {
            for target in router.probes.drain(..) {
                let is_down = self.now < self.down[usize::from(target.address.port()) - 1];
                let probe = if is_down {
                    Probe::Refused
                } else {
                    Probe::Accepted
                };
                router.selector.record_probe(&target, probe, self.now);
            }
        }
    }

    fn exchange_reports(&mut self) {
        let now = self.now;
        for sender in 0..self.routers.len() {
            let marks = self.routers[sender].selector.part_marks(now);
            let marks: Vec<_> = marks
                .map(|(part, mark, age)| (part, mark.clone(), age))
                .collect();
            for (index, receiver) in self.routers.iter_mut().enumerate() {
                if index == sender || marks.is_empty() || self.rng.random_bool(LOSS) {
                    continue;
                }
                let delay = Duration::from_millis(self.rng.random_range(0..MAX_DELAY_MS));
                let sent = marks.iter().cloned();
                let reports = sent.map(|(part, mark, age)| (now + delay, part, mark, age + delay));
                receiver.reports.extend(reports);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for router in &mut self.routers {
            for (_, part, mark, age) in router.reports.extract_if(.., |(at, ..)| *at <= now) {
                router.selector.record_part(part, &mark, age, now);
            }
        }
    }
}

/// Guards against requests with one deadly part that crash one target after the other, whatever the
/// number of routers, and against sound requests that are refused meanwhile.
#[test]
fn a_deadly_part_costs_few_crashes_in_fleets_of_any_size() {
    let seed = variable("PARTS_SEED", 1);
    for (routers, targets, sound) in [(6, 18, 23.0), (24, 44, 62.0), (103, 180, 238.0)] {
        let mut fleet = Fleet::new(routers, targets, seed);
        fleet.run(Duration::from_secs(2), sound, 0.0);
        fleet.run(Duration::from_secs(20), sound, 0.05 * sound);
        let late = fleet.late();
        println!(
            "{routers} routers: {} crashes, {} requests reached targets, {late} late; \
             {} of {} sound requests held",
            fleet.crashes.len(),
            fleet.reached.len(),
            fleet.sound_held,
            fleet.sound
        );
        assert!(
            late <= MAX_LATE,
            "{routers} routers, seed {seed}: {late} late"
        );
        assert!(
            20 * fleet.sound_held <= fleet.sound,
            "{routers} routers, seed {seed}: {} of {} sound requests held",
            fleet.sound_held,
            fleet.sound
        );
    }
}

/// Guards against routers that restart, one after the other or all at once, and send requests with a
/// part that the others, or the runs before them, knew to crash targets.
#[test]
fn a_deadly_part_costs_few_crashes_while_routers_restart() {
    let seed = variable("PARTS_SEED", 1);
    for (routers, targets, sound) in [(6, 18, 23.0), (26, 44, 62.0), (103, 180, 238.0)] {
        for at_once in [false, true] {
            let mut fleet = Fleet::new(routers, targets, seed);
            fleet.run(Duration::from_secs(2), sound, 0.0);
            fleet.run(Duration::from_secs(8), sound, 0.05 * sound);
            for restart in 0..24 {
                if at_once && restart % 8 == 0 {
                    (0..routers).for_each(|number| fleet.restart_router(number));
                } else if !at_once {
                    fleet.restart_router(restart % routers);
                }
                fleet.run(Duration::from_millis(500), sound, 0.05 * sound);
            }
            let late = fleet.late();
            println!(
                "{routers} routers, at once {at_once}: {} crashes, {} requests reached targets, {late} late",
                fleet.crashes.len(),
                fleet.reached.len()
            );
            assert!(
                late <= MAX_LATE,
                "{routers} routers, seed {seed}: {late} late"
            );
        }
    }
}
