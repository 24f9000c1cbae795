//! Scenario tests of admission control, retries, suspected requests and shutdown.
//!
//! `cargo test -p ebonyfall-core --test admit` runs every scenario file; with `SCENARIO=<file>` in
//! the environment, it runs only the file with that name.

use std::{collections::HashMap, fmt::Write as _, num::NonZeroU32, path::Path, time::Duration};

use datadriven::{TestCase, TestFile, walk};
use ebonyfall_core::{
    admit::{Admission, AdmissionRequest, Decision, RunOutcome, Ticket},
    code::Code,
    crash::{ContentStatus, Suspects},
    doc::{Idempotency, Priority},
    drain::Drain,
    id::{AttemptId, Fingerprint, Incarnation},
    name::{TargetName, TeamName, ZoneName},
    pace::ramp::Capacity,
    request::{Event, RelayedRequest},
    retry::RetryBudget,
    time::Time,
};

struct World {
    now: Time,
    admission: Admission,
    request_names: HashMap<Ticket, String>,
    /// Running requests in the order in which they started.
    running: Vec<Ticket>,
    tickets: HashMap<String, Ticket>,
    relayed: RelayedRequest,
    budget: RetryBudget,
    suspects: Suspects,
    drain: Drain,
}

fn arg<'c>(case: &'c TestCase, name: &str) -> Option<&'c str> {
    case.args.get(name)?.first().map(String::as_str)
}

fn number(case: &TestCase, name: &str, default: u64) -> u64 {
    arg(case, name).map_or(default, |text| text.parse().expect(name))
}

fn number_u32(case: &TestCase, name: &str, default: u64) -> u32 {
    u32::try_from(number(case, name, default)).expect(name)
}

fn team(text: &str) -> TeamName {
    text.parse().expect("a team's name")
}

impl World {
    fn new() -> Self {
        let (relayed, _) =
            RelayedRequest::start(1.into(), Idempotency::Idempotent, Time::from_millis(1000));
        let mut budget = RetryBudget::new(0.1);
        budget.add_reserve(NonZeroU32::MIN);
        Self {
            now: Time::ZERO,
            admission: Admission::new(Capacity {
                slots: 1,
                cold_slots: 1,
                queue: 1,
            }),
            request_names: HashMap::new(),
            running: Vec::new(),
            tickets: HashMap::new(),
            relayed,
            budget,
            suspects: Suspects::new(Duration::from_secs(3600)),
            drain: Drain::default(),
        }
    }

    fn run(&mut self, case: &TestCase) -> String {
        let mut out = String::new();
        match case.directive.as_str() {
            "target" => {
                self.admission = Admission::new(Capacity {
                    slots: number_u32(case, "slots", 1),
                    cold_slots: number_u32(case, "cold", 1),
                    queue: number_u32(case, "queue", 64),
                });
            }
            "advance" => self.now = self.now + Duration::from_millis(number(case, "ms", 0)),
            "offer" => self.enqueue(case, &mut out),
            "finish" => self.finish(case, &mut out),
            "serve" => self.serve(case, &mut out),
            "run" => self.finish_in_order(case, &mut out),
            "report" => {
                let incarnation = Incarnation::from(number(case, "incarnation", 0));
                let interrupted = self
                    .admission
                    .on_engine_report(incarnation, case.args.contains_key("cold"));
                let _ok = writeln!(out, "{} were running", interrupted.len());
            }
            "unreachable" => self.admission.on_engine_unreachable(),
            "close" => self.admission.close(Code::Leaving),
            "request" => {
                let repeat = match arg(case, "repeat") {
                    Some("once") => Idempotency::AtMostOnce,
                    _ => Idempotency::Idempotent,
                };
                let deadline = self.now + Duration::from_millis(number(case, "left", 1000));
                let (relayed, action) = RelayedRequest::start(1.into(), repeat, deadline);
                self.relayed = relayed;
                let _ok = writeln!(out, "{action:?}");
            }
            "event" => self.relay_events(&case.input, &mut out),
            "budget" => {
                let first = number(case, "first", 0);
                (0..first).for_each(|_| self.budget.record_first());
                let retries = number(case, "retries", 0);
                let granted = (0..retries).filter(|_| self.budget.try_take()).count();
                let _ok = writeln!(out, "{granted} of {retries} granted");
            }
            "crash" => {
                let running: Vec<_> = case.input.split_whitespace().map(parse_request).collect();
                let target: TargetName = arg(case, "target").expect("target").parse().unwrap();
                self.suspects.record_crash(&target, &running, self.now);
            }
            "clear" => {
                let (fingerprint, _) = parse_request(case.input.trim());
                self.suspects.clear(fingerprint, self.now);
            }
            "standing" => {
                for word in case.input.split_whitespace() {
                    let status = match self.suspects.status(parse_request(word).0, self.now) {
                        ContentStatus::Clear => "clear".to_owned(),
                        ContentStatus::Suspect(crash) => format!("suspect of {}", crash.target),
                        ContentStatus::Held => "held".to_owned(),
                    };
                    let _ok = writeln!(out, "{word}: {status}");
                }
            }
            "drain" => {
                if let Some(within) = arg(case, "within") {
                    let within = Duration::from_millis(within.parse().expect("within"));
                    self.drain.begin(within, self.now);
                }
                let status = self.drain.status(number_u32(case, "open", 0), self.now);
                let _ok = writeln!(out, "{status:?}");
            }
            other => panic!("no directive {other}"),
        }
        self.apply_decisions(&mut out);
        if out.is_empty() {
            out.push_str("ok\n");
        }
        out
    }

    fn enqueue(&mut self, case: &TestCase, out: &mut String) {
        for line in case.input.lines() {
            let words: Vec<_> = line.split_whitespace().collect();
            let name = words[0].to_owned();
            let has = |word: &str| words.contains(&word);
            let value = |key: &str| words.iter().find_map(|word| word.strip_prefix(key));
            let request = AdmissionRequest {
                team: team(value("team=").unwrap_or("desks")),
                weight: value("weight=").map_or(1, |text| text.parse().unwrap()),
                priority: value("class=").map_or(Priority::Desk, |text| text.parse().unwrap()),
                deadline: self.now
                    + Duration::from_millis(value("left=").map_or(10_000, |t| t.parse().unwrap())),
                fingerprint: Fingerprint::from(0),
                suspect: has("suspect"),
            };
            match self.admission.enqueue(request, self.now) {
                Ok(ticket) => {
                    self.request_names.insert(ticket, name.clone());
                    self.tickets.insert(name, ticket);
                }
                Err(refusal) => {
                    let code = refusal.code.name();
                    let _ok =
                        writeln!(out, "{name}: {code}, retry after {:?}", refusal.retry_after);
                }
            }
            self.apply_decisions(out);
        }
    }

    fn finish(&mut self, case: &TestCase, out: &mut String) {
        for word in case.input.split_whitespace() {
            let outcome = match arg(case, "end") {
                Some("failed") => RunOutcome::Failed,
                Some("abandoned") => RunOutcome::Abandoned,
                Some("crashed") => RunOutcome::Crashed,
                Some("unreachable") => RunOutcome::Unreachable,
                _ => RunOutcome::Completed(0),
            };
            let interrupted = self.admission.finish(self.tickets[word], outcome, self.now);
            if !interrupted.is_empty() {
                let _ok = writeln!(out, "{} were running", interrupted.len());
            }
            self.apply_decisions(out);
        }
    }

    /// Runs `count` requests one after the other, each for `ms` milliseconds.
    fn serve(&mut self, case: &TestCase, out: &mut String) {
        let service_time = Duration::from_millis(number(case, "ms", 100));
        for _ in 0..number(case, "count", 1) {
            let request = AdmissionRequest {
                team: team("desks"),
                weight: 1,
                priority: Priority::Desk,
                deadline: self.now + Duration::from_secs(60),
                fingerprint: Fingerprint::from(0),
                suspect: false,
            };
            let ticket = self.admission.enqueue(request, self.now).expect("room");
            assert_eq!(
                self.admission.next_decision(self.now),
                Some(Decision::Start(ticket))
            );
            self.now = self.now + service_time;
            self.admission
                .finish(ticket, RunOutcome::Completed(0), self.now);
        }
        let _ok = writeln!(out, "limit {}", self.admission.limit());
    }

    /// Finishes the oldest running request every `ms` milliseconds, `count` times.
    fn finish_in_order(&mut self, case: &TestCase, out: &mut String) {
        for _ in 0..number(case, "count", 1) {
            self.now = self.now + Duration::from_millis(number(case, "ms", 100));
            let ticket = self.running.remove(0);
            self.admission
                .finish(ticket, RunOutcome::Completed(0), self.now);
            self.apply_decisions(out);
        }
    }

    fn apply_decisions(&mut self, out: &mut String) {
        while let Some(decision) = self.admission.next_decision(self.now) {
            let _ok = match decision {
                Decision::Start(ticket) => {
                    self.running.push(ticket);
                    writeln!(out, "{}: starts", self.request_names[&ticket])
                }
                Decision::Refuse(ticket, refusal) => {
                    writeln!(
                        out,
                        "{}: {}",
                        self.request_names[&ticket],
                        refusal.code.name()
                    )
                }
            };
        }
    }

    fn relay_events(&mut self, input: &str, out: &mut String) {
        for line in input.lines() {
            let words: Vec<_> = line.split_whitespace().collect();
            let value = |index: usize| words[index].parse::<u64>().expect("a number");
            let attempt = |index: usize| AttemptId {
                request: 1.into(),
                number: u32::try_from(value(index)).expect("a small number"),
            };
            let code = |index: usize| {
                let found = Code::ALL.iter().find(|code| code.name() == words[index]);
                *found.expect("a code")
            };
            let event = match words[0] {
                "chosen" => Event::TargetChosen {
                    target: words[1].parse().unwrap(),
                    zone: words[2].parse::<ZoneName>().unwrap(),
                },
                "no-choice" => Event::NoTarget(code(1)),
                "denied" => Event::RetryDenied,
                "waited" => Event::PauseEnded,
                "unreachable" => Event::Unreachable,
                "lost" => Event::ConnectionLost,
                "not-resumed" => Event::ResumeFailed,
                "head" => Event::AnswerStarted(attempt(1)),
                "part" => Event::Part {
                    attempt: attempt(1),
                    offset: value(2),
                    len: value(3),
                },
                "done" => Event::AnswerEnded {
                    attempt: attempt(1),
                    length: value(2),
                },
                "refused" => Event::Refused {
                    attempt: attempt(1),
                    code: code(2),
                },
                "expired" => Event::Expired,
                "caller-gone" => Event::CallerGone,
                other => panic!("no event {other}"),
            };
            let action = self.relayed.on_event(event, 1.0, self.now);
            let zones: Vec<_> = self
                .relayed
                .zones_last()
                .iter()
                .map(ZoneName::as_str)
                .collect();
            let zones_last = if zones.is_empty() {
                String::new()
            } else {
                format!(", last: {}", zones.join(" "))
            };
            let _ok = writeln!(out, "{line}: {action:?}{zones_last}");
        }
    }
}

/// Parses a request written as `team/number`.
fn parse_request(word: &str) -> (Fingerprint, TeamName) {
    let (name, number) = word.split_once('/').expect("team/number");
    let number: u64 = number.parse().expect("a number");
    let base = name.bytes().fold(0, |sum, byte| sum * 31 + u64::from(byte));
    (Fingerprint::from(base * 1000 + number), team(name))
}

/// Guards against the failures that are described at the top of the scenario files.
#[test]
fn scenarios() {
    let only = std::env::var("SCENARIO").ok();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios/admit");
    let mut files = 0;
    walk(
        folder.to_str().expect("the folder's name is text"),
        |file: &mut TestFile| {
            if only
                .as_ref()
                .is_some_and(|name| !file.filename.ends_with(name))
            {
                return;
            }
            files += 1;
            let mut world = World::new();
            file.run(|case| world.run(case));
        },
    );
    assert!(files > 0, "no scenario of this name");
}

/// Guards against processes that disagree on whether a request is held after they have exchanged
/// their crash marks, and against an old mark that undoes an operator's clearing.
#[test]
fn merged_crash_marks_agree_and_stay_cleared() {
    let at = Time::from_millis;
    let (fingerprint, desks) = parse_request("desks/1");
    let mut sets = [(); 2].map(|()| Suspects::new(Duration::from_secs(3600)));
    for (set, target) in sets.iter_mut().zip(["t1", "t2"]) {
        set.add_mark(fingerprint, &desks, &target.parse().unwrap(), at(1000));
    }
    let old = sets
        .each_ref()
        .map(|set| set.marks().next().unwrap().1.clone());
    for (set, mark) in sets.iter_mut().zip(old.iter().rev()) {
        set.merge(fingerprint, mark.clone(), at(2000));
        assert_eq!(set.status(fingerprint, at(2000)), ContentStatus::Held);
        assert_eq!(set.held(at(2000)).len(), 1);
    }
    assert!(sets[0].clear(fingerprint, at(3000)));
    let cleared = sets[0].marks().next().unwrap().1.clone();
    sets[1].merge(fingerprint, cleared, at(3001));
    for set in &mut sets {
        set.merge(fingerprint, old[0].clone(), at(4000));
        assert_eq!(set.status(fingerprint, at(4000)), ContentStatus::Clear);
    }
}

/// Guards against an unbounded number of crash marks, and against one team evicting the marks of
/// another.
#[test]
fn crash_marks_are_bounded_for_each_team() {
    let mut set = Suspects::new(Duration::from_secs(3600));
    let target = "t1".parse().unwrap();
    let (other, albums) = parse_request("albums/1");
    set.add_mark(other, &albums, &target, Time::from_millis(1));
    for number in 0..1000 {
        let (fingerprint, desks) = parse_request(&format!("desks/{number}"));
        set.add_mark(fingerprint, &desks, &target, Time::from_millis(10 + number));
    }
    assert_eq!(set.marks().count(), 65);
    assert_ne!(
        set.status(other, Time::from_millis(2000)),
        ContentStatus::Clear
    );
}
