//! Tests of target selection with the scenarios in `tests/scenarios/selector` and by properties.
//!
//! `RUN=evacuate.txt cargo test -p ebonyfall-core --test selector scenarios` runs a single scenario
//! file.

use std::{
    collections::{BTreeMap, HashSet},
    fmt::Write,
    net::SocketAddr,
    sync::{Arc, LazyLock},
    time::Duration,
};

use datadriven::{TestCase, walk};
use ebonyfall_core::{
    budget::{FleetRetryBudget, RetryBound},
    direct::Failure,
    dissemination::MAX_PACKET_BYTES,
    events::EventSplitter,
    fleet::FleetShare,
    id::{Fingerprint, Incarnation},
    lease::Lease,
    name::{ProcessName, RouteName, ServiceName, TargetName, TeamName, ZoneName},
    outcome::{End, Finished},
    reports::OpenReport,
    selector::{Criteria, TargetSelector},
    target::{ReportedLoad, Stage, TargetRecord},
    time::Time,
};
use quickcheck::quickcheck;

const RETRY_BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 58.0,
    window: Duration::from_secs(10),
};

static TEAM: LazyLock<TeamName> =
    LazyLock::new(|| TeamName::new("desk").expect("the literal is a name"));

fn target(name: &str) -> TargetName {
    TargetName::new(name).expect("the scenario uses valid names")
}

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("the scenario uses valid names")
}

/// An address whose port is the code of the last letter of the name.
fn address(name: &str) -> SocketAddr {
    let port = name.bytes().last().unwrap_or_default();
    SocketAddr::from(([127, 0, 0, 1], u16::from(port)))
}

/// The last letter of the name of the target at an address.
fn at_address(address: SocketAddr) -> char {
    u8::try_from(address.port()).map_or('?', char::from)
}

fn record(name: &str, at: &str, incarnation: u64, cold: u64, stage: Stage) -> TargetRecord {
    TargetRecord {
        name: target(name),
        service: ServiceName::new("s").expect("the literal is a name"),
        address: address(name),
        zone: zone(at),
        version: "".into(),
        slots: 8,
        stage,
        cold: Duration::from_millis(cold),
        incarnation: Incarnation::from(incarnation),
    }
}

struct Scenario {
    selector: TargetSelector,
    now: Time,
    team: TeamName,
    route: RouteName,
}

impl Scenario {
    fn new() -> Self {
        Self {
            selector: TargetSelector::new(zone("z1"), RETRY_BOUND),
            now: Time::from_millis(100_000),
            team: TEAM.clone(),
            route: RouteName::new("r").expect("the literal is a name"),
        }
    }

    fn run(&mut self, case: &TestCase) -> String {
        let arg = |key: &str| {
            case.args
                .get(key)
                .and_then(|values| values.first())
                .cloned()
        };
        let number = |key: &str, default: u64| {
            arg(key).map_or(default, |text| {
                text.parse().expect("the argument is a number")
            })
        };
        let name = || arg("target").expect("the directive names a target");
        match case.directive.as_str() {
            "put" => {
                let stage = match arg("stage").as_deref() {
                    Some("draining") => Stage::Draining,
                    _ => Stage::Ready,
                };
                let at = arg("zone").unwrap_or_else(|| "z1".to_owned());
                let record = record(&name(), &at, number("life", 1), number("cold", 0), stage);
                self.selector.put(record, self.now);
                String::new()
            }
            "remove" => {
                self.selector.remove(&target(&name()), self.now);
                String::new()
            }
            "listed" => {
                let listed = case.args.get("targets").cloned().unwrap_or_default();
                let listed: HashSet<_> = listed.iter().map(|name| target(name)).collect();
                self.selector.retain(&listed, self.now);
                String::new()
            }
            "evacuated" => {
                let zones = case.args.get("zones").cloned().unwrap_or_default();
                let zones = zones.iter().map(|name| zone(name)).collect();
                self.selector.set_evacuated(zones);
                String::new()
            }
            "store-lost" => {
                self.selector.record_store_failure(self.now);
                String::new()
            }
            "routers" => {
                let count = u32::try_from(number("count", 1)).expect("the count is small");
                self.selector.set_routers(count);
                String::new()
            }
            "cold-rate" => {
                #[expect(clippy::cast_precision_loss, reason = "rates are small")]
                let rate = number("rate", 0) as f64;
                let service = ServiceName::new("s").expect("the literal is a name");
                self.selector.set_cold_rates([(service, rate)].into());
                String::new()
            }
            "advance" => {
                self.now = self.now + Duration::from_millis(number("ms", 0));
                String::new()
            }
            "end" => {
                let end = match arg("how").as_deref() {
                    Some("unsent") => End::Failed(Failure::NotSent),
                    Some("broken") => End::Failed(Failure::Broken),
                    Some("failed") => End::Failed(Failure::Failed),
                    Some("declined") => End::Failed(Failure::Declined),
                    _ => End::Served,
                };
                let content = Fingerprint::from(number("content", 0));
                let count = number("count", 1);
                for _ in 0..count {
                    let finished = Finished {
                        end,
                        content,
                        parts: &Arc::from([]),
                        sent_at: self.now,
                        answer_begun: end == End::Served,
                        team: &self.team,
                        route: &self.route,
                        timing: None,
                    };
                    self.selector
                        .record_end(&target(&name()), &finished, self.now);
                }
                String::new()
            }
            "choose" => self.choose(case),
            "open" | "named" => {
                self.load(case);
                String::new()
            }
            other => panic!("unknown directive {other}"),
        }
    }

    /// Records the load of a target as reported by another router (`open`) or the target (`named`).
    fn load(&mut self, case: &TestCase) {
        let text = |key: &str| case.args.get(key).and_then(|values| values.first());
        let number = |key: &str, default: u64| {
            text(key).map_or(default, |text| {
                text.parse().expect("the argument is a number")
            })
        };
        let name = target(text("target").expect("the directive names a target"));
        let count = |key: &str| u32::try_from(number(key, 0)).expect("the count is small");
        if case.directive == "open" {
            let router = ProcessName::new("other").expect("the literal is a name");
            let placed = text("context").map(|_| (number("context", 0), name.clone()));
            let report = OpenReport {
                number: number("report", 1),
                counts: vec![(name, count("count"))],
                placed: placed.into_iter().collect(),
                demand: Vec::new(),
            };
            self.selector.record_report(&router, &report, self.now);
        } else {
            let load = ReportedLoad {
                running: count("running"),
                waiting: count("waiting"),
                slots: text("slots").map(|_| count("slots")),
                ..ReportedLoad::default()
            };
            self.selector.record_load(&name, load, self.now);
        }
    }

    fn choose(&mut self, case: &TestCase) -> String {
        let text = |key: &str| case.args.get(key).and_then(|values| values.first());
        let number = |key: &str| text(key).and_then(|text| text.parse::<u64>().ok());
        let tried = case.args.get("tried").cloned().unwrap_or_default();
        let tried: Vec<_> = tried.iter().map(|name| target(name)).collect();
        let service = ServiceName::new("s").expect("the literal is a name");
        let contexts = ["prefix", "context"].map(number);
        let contexts: Vec<_> = contexts.into_iter().flatten().collect();
        let mut out = String::new();
        for turn in 0..number("count").unwrap_or(1) {
            let criteria = Criteria {
                service: &service,
                contexts: &contexts,
                tried: &tried,
                is_retry: text("repeat").is_some(),
                only: None,
                needs_slot: text("slot").is_some(),
                content: Fingerprint::from(number("content").unwrap_or(0)),
                parts: &[],
                team: &self.team,
            };
            #[expect(clippy::cast_precision_loss, reason = "turns are few")]
            let random = turn as f64 / 100.0;
            match self.selector.choose(&criteria, random, self.now) {
                Ok(choice) if case.args.contains_key("source") => {
                    let source = choice.context_source.map_or('-', at_address);
                    writeln!(out, "{} from {source}", choice.target.name)
                }
                Ok(choice) => writeln!(out, "{}", choice.target.name),
                Err(refusal) => writeln!(out, "refused: {}", refusal.code.name()),
            }
            .expect("writing to a string cannot fail");
        }
        out
    }
}

/// Criteria of the first attempt of a request.
fn criteria<'a>(
    service: &'a ServiceName,
    contexts: &'a [u64],
    tried: &'a [TargetName],
) -> Criteria<'a> {
    Criteria {
        service,
        contexts,
        tried,
        is_retry: false,
        only: None,
        needs_slot: false,
        content: Fingerprint::from(0),
        parts: &[],
        team: &TEAM,
    }
}

/// Guards against requests for targets that are leaving, cold, evacuated, unreachable or faulty,
/// and against chats that leave their home without need.
#[test]
fn scenarios() {
    walk("tests/scenarios/selector", |file| {
        let mut scenario = Scenario::new();
        file.run(|case| scenario.run(case));
    });
}

/// Guards against reports to other routers that exceed the size of a datagram.
#[test]
fn reports_name_the_busiest_targets() {
    let mut selector = TargetSelector::new(zone("z1"), RETRY_BOUND);
    let service = ServiceName::new("s").expect("the literal is a name");
    let now = Time::from_millis(1_000);
    for number in 0..100 {
        let name = format!("target-with-a-long-name-{number:03}");
        selector.put(record(&name, "z1", 1, 0, Stage::Ready), now);
    }
    for turn in 0..150 {
        let criteria = criteria(&service, &[], &[]);
        let random = f64::from(turn) / 150.0;
        selector
            .choose(&criteria, random, now)
            .expect("targets are known");
    }
    let report = selector.next_report();
    assert!(report.size() <= MAX_PACKET_BYTES - 200, "{}", report.size());
    let open = report.counts;
    assert!(open.len() >= 25, "{open:?}");
    assert!(open.iter().all(|(_, count)| *count == 2), "{open:?}");
}

/// Guards against targets that recompute a context because their router does not know where another
/// one has placed it, and against placements that are announced forever.
#[test]
fn placements_away_from_the_home_are_announced_three_times() {
    let mut selector = TargetSelector::new(zone("z1"), RETRY_BOUND);
    let service = ServiceName::new("s").expect("the literal is a name");
    let now = Time::from_millis(1_000);
    for name in ["a", "b"] {
        selector.put(record(name, "z1", 1, 0, Stage::Ready), now);
    }
    let choose = |selector: &mut TargetSelector, tried: &[TargetName]| {
        let criteria = criteria(&service, &[7], tried);
        let choice = selector
            .choose(&criteria, 0.5, now)
            .expect("targets are known");
        choice.target.name
    };
    let home = choose(&mut selector, &[]);
    assert_eq!(selector.next_report().placed, []);
    let other = choose(&mut selector, &[home]);
    for _ in 0..3 {
        assert_eq!(selector.next_report().placed, [(7, other.clone())]);
    }
    assert_eq!(selector.next_report().placed, []);
    choose(&mut selector, &[]);
    assert_eq!(selector.next_report().placed, []);
}

/// Guards against a context that counts as held by a target which has declined its request: the next
/// target would fetch it from there, and the target itself would not fetch it later.
#[test]
fn a_target_that_has_not_run_a_request_does_not_hold_its_context() {
    let mut selector = TargetSelector::new(zone("z1"), RETRY_BOUND);
    let service = ServiceName::new("s").expect("the literal is a name");
    let now = Time::from_millis(20_000);
    for name in ["a", "b", "c"] {
        selector.put(record(name, "z1", 1, 0, Stage::Ready), Time::ZERO);
    }
    let choose = |selector: &mut TargetSelector, tried: &[TargetName]| {
        let criteria = criteria(&service, &[7], tried);
        let choice = selector.choose(&criteria, 0.5, now);
        let choice = choice.expect("targets are known");
        (choice.target.name, choice.context_source)
    };
    let (holder, _) = choose(&mut selector, &[]);
    let held_at = Some(address(holder.as_str()));
    let (declining, source) = choose(&mut selector, std::slice::from_ref(&holder));
    assert_eq!(source, held_at);
    selector.record_not_run(&declining, &[7]);
    assert_eq!(selector.next_report().placed, [], "it is not announced");
    let (_, source) = choose(&mut selector, &[holder.clone(), declining.clone()]);
    assert_eq!(
        source, held_at,
        "the next target fetches it from the holder"
    );
    let others = ["a", "b", "c"].map(target);
    let others: Vec<_> = others
        .into_iter()
        .filter(|name| *name != declining)
        .collect();
    let (_, source) = choose(&mut selector, &others);
    assert!(
        source.is_some(),
        "the target fetches it when it gets it again"
    );
    // With another request there, it may hold the context although it declines one more.
    assert_eq!(choose(&mut selector, &others), (declining.clone(), None));
    selector.record_not_run(&declining, &[7]);
    assert_eq!(choose(&mut selector, &others), (declining, None));
}

/// Guards against memory and time that grow with the number of contexts in use.
#[test]
fn the_number_of_tracked_contexts_is_bounded() {
    let mut selector = TargetSelector::new(zone("z1"), RETRY_BOUND);
    let service = ServiceName::new("s").expect("the literal is a name");
    let now = Time::from_millis(1_000);
    for name in ["a", "b"] {
        selector.put(record(name, "z1", 1, 0, Stage::Ready), now);
    }
    for context in 0..50_000 {
        let contexts = [context];
        let criteria = criteria(&service, &contexts, &[]);
        // 5 s pass in all, so that no context expires by age.
        let now = Time::from_millis(1_000 + context / 10);
        selector
            .choose(&criteria, 0.5, now)
            .expect("targets are known");
    }
    let contexts = selector.inspect(now).contexts;
    assert!((1_000..=20_000).contains(&contexts), "{contexts}");
}

quickcheck! {
    /// Guards against routers that choose different homes for a chat although they know the same
    /// targets.
    fn routers_with_the_same_targets_agree(names: Vec<u8>, context: u64) -> bool {
        let now = Time::from_millis(1_000);
        let service = ServiceName::new("s").expect("the literal is a name");
        let choose = |own: &str, order: &[u8]| {
            let mut selector = TargetSelector::new(zone(own), RETRY_BOUND);
            for name in order {
                let at = format!("z{}", name % 3);
                selector.put(record(&format!("t{name}"), &at, 1, 0, Stage::Ready), now);
            }
            let contexts = [context];
            let criteria = criteria(&service, &contexts, &[]);
            selector.choose(&criteria, 0.5, now).map(|choice| choice.target.name).ok()
        };
        let mut turned = names.clone();
        turned.reverse();
        choose("z0", &names) == choose("z1", &turned)
    }

    /// Guards against sums of other routers' outstanding requests that deviate from their reports,
    /// also when targets are removed and added between reports.
    fn outstanding_requests_of_other_routers_are_summed(steps: Vec<(u8, u8, u16, bool)>) -> bool {
        let service = ServiceName::new("s").expect("the literal is a name");
        let mut selector = TargetSelector::new(zone("z1"), RETRY_BOUND);
        let mut now = Time::from_millis(100_000);
        let put = |selector: &mut TargetSelector, now| {
            selector.put(record("a", "z1", 1, 0, Stage::Ready), now);
        };
        put(&mut selector, now);
        let mut reports = BTreeMap::new();
        for (number, (router, count, pause, replaced)) in steps.into_iter().enumerate() {
            now = now + Duration::from_millis(u64::from(pause % 1_500));
            let router = ProcessName::new(format!("r{}", router % 4)).expect("it is a name");
            let report = OpenReport {
                number: number as u64,
                counts: vec![(target("a"), u32::from(count))],
                placed: Vec::new(),
                demand: Vec::new(),
            };
            selector.record_report(&router, &report, now);
            reports.insert(router, (now, u32::from(count)));
            if replaced {
                selector.remove(&target("a"), now);
                put(&mut selector, now);
            }
        }
        let criteria = criteria(&service, &[], &[]);
        let choice = selector.choose(&criteria, 0.5, now).expect("the target is ready");
        let report_life = Duration::from_secs(2);
        let fresh = reports.values().filter(|(at, _)| now.since(*at) < report_life);
        let sum: u32 = fresh.map(|(_, count)| count).sum();
        (choice.load - f64::from(sum)).abs() < 0.5
    }

    /// Guards against routers whose retries together exceed the retry budget of the fleet.
    fn retries_stay_within_the_fleets_budget(steps: Vec<(u8, bool, u8)>, routers: u8) -> bool {
        let routers = u32::from(routers % 8) + 1;
        let mut shares = vec![FleetRetryBudget::new(RETRY_BOUND); routers as usize];
        let mut now = Time::from_millis(50_000);
        let mut first = Vec::new();
        let mut repeats = Vec::new();
        for (router, repeat, pause) in steps {
            now = now + Duration::from_millis(u64::from(pause));
            let share = &mut shares[usize::from(router) % routers as usize];
            if !repeat {
                share.record_first(Some(&FleetShare::settled(routers)), now);
                first.push(now);
            } else if share.try_take(Some(&FleetShare::settled(routers)), now) {
                repeats.push(now);
            }
        }
        let within = |times: &[Time], end: Time| {
            let recent = times
                .iter()
                .filter(|at| **at <= end && end.since(**at) < RETRY_BOUND.window);
            f64::from(u32::try_from(recent.count()).unwrap_or(u32::MAX))
        };
        repeats.iter().all(|end| {
            within(&repeats, *end) <= RETRY_BOUND.ratio * within(&first, *end) + RETRY_BOUND.slack
        })
    }

    /// Guards against events that are lost, duplicated or forwarded in part when the stream arrives
    /// in pieces of any size.
    fn events_are_forwarded_complete(ids: Vec<u16>, cuts: Vec<u8>) -> bool {
        let events = ids.iter().map(|id| format!("id: {id}\ndata: x\n\n"));
        let text = events.collect::<Vec<_>>().concat();
        let mut parser = EventSplitter::default();
        let mut out = Vec::new();
        let mut rest = text.as_bytes();
        let mut cuts = cuts.into_iter().cycle();
        while !rest.is_empty() {
            let len = cuts.next().map_or(7, |cut| usize::from(cut) + 1).min(rest.len());
            let (part, later) = rest.split_at(len);
            if let Ok(Some(whole)) = parser.push(part) {
                if !whole.bytes.ends_with(b"\n\n") || !whole.has_event {
                    return false;
                }
                out.extend_from_slice(&whole.bytes);
            }
            rest = later;
        }
        let last = ids.last().map(ToString::to_string);
        out == text.as_bytes() && parser.last_id() == last.as_deref()
    }

    /// Guards against a lease that is valid for longer than the bound after its last confirmation.
    fn a_lease_ends_before_the_bound(confirmed: Vec<u16>, later: u16) -> bool {
        let bound = Duration::from_secs(5);
        let mut lease = Lease::new(bound);
        for at in &confirmed {
            lease.confirm(Time::from_millis(u64::from(*at)));
        }
        let newest = confirmed.iter().max().copied().unwrap_or_default();
        let now = Time::from_millis(u64::from(newest) + u64::from(later));
        let due = Duration::from_millis(u64::from(later)) >= bound || confirmed.is_empty();
        !(due && lease.is_valid(now))
    }
}
