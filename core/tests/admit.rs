//! Scenarios of admission, retries, suspects and shutdown, in a small text language.
//!
//! `cargo test -p ebonyfall-core --test admit` runs every file; with `SCENARIO=<file>` in the
//! environment only the file of that name.

use std::{collections::HashMap, fmt::Write as _, path::Path, time::Duration};

use datadriven::{TestCase, TestFile, walk};
use ebonyfall_core::{
    admit::{Admission, End, Offer, Step, Ticket},
    code::Code,
    crash::{Standing, Suspects},
    doc::{Idempotency, Priority},
    drain::Drain,
    id::{AttemptId, Fingerprint, Incarnation},
    name::{TargetName, TeamName, ZoneName},
    ramp::Capacity,
    request::{Event, Flow},
    retry::Budget,
    time::Time,
};

struct World {
    now: Time,
    admission: Admission,
    names: HashMap<Ticket, String>,
    /// Running requests in the order of their starts.
    running: Vec<Ticket>,
    tickets: HashMap<String, Ticket>,
    flow: Flow,
    budget: Budget,
    suspects: Suspects,
    drain: Drain,
}

fn arg<'c>(case: &'c TestCase, name: &str) -> Option<&'c str> {
    case.args.get(name)?.first().map(String::as_str)
}

fn number(case: &TestCase, name: &str, default: u64) -> u64 {
    arg(case, name).map_or(default, |text| text.parse().expect(name))
}

fn small(case: &TestCase, name: &str, default: u64) -> u32 {
    u32::try_from(number(case, name, default)).expect(name)
}

fn team(text: &str) -> TeamName {
    text.parse().expect("a team's name")
}

impl World {
    fn new() -> Self {
        let (flow, _) = Flow::start(1.into(), Idempotency::Idempotent, Time::from_millis(1000));
        Self {
            now: Time::ZERO,
            admission: Admission::new(Capacity {
                slots: 1,
                cold_slots: 1,
                queue: 1,
            }),
            names: HashMap::new(),
            running: Vec::new(),
            tickets: HashMap::new(),
            flow,
            budget: Budget::new(0.1),
            suspects: Suspects::new(Duration::from_secs(3600)),
            drain: Drain::default(),
        }
    }

    fn run(&mut self, case: &TestCase) -> String {
        let mut out = String::new();
        match case.directive.as_str() {
            "target" => {
                self.admission = Admission::new(Capacity {
                    slots: small(case, "slots", 1),
                    cold_slots: small(case, "cold", 1),
                    queue: small(case, "queue", 64),
                });
            }
            "advance" => self.now = self.now + Duration::from_millis(number(case, "ms", 0)),
            "offer" => self.offer(case, &mut out),
            "finish" => self.finish(case, &mut out),
            "serve" => self.serve(case, &mut out),
            "run" => self.run_in_order(case, &mut out),
            "report" => {
                let incarnation = Incarnation::from(number(case, "incarnation", 0));
                let victims = self
                    .admission
                    .report(incarnation, case.args.contains_key("cold"));
                let _ok = writeln!(out, "{} were running", victims.len());
            }
            "unreachable" => self.admission.unreachable(),
            "close" => self.admission.close(Code::Leaving),
            "request" => {
                let repeat = match arg(case, "repeat") {
                    Some("once") => Idempotency::AtMostOnce,
                    _ => Idempotency::Idempotent,
                };
                let deadline = self.now + Duration::from_millis(number(case, "left", 1000));
                let (flow, action) = Flow::start(1.into(), repeat, deadline);
                self.flow = flow;
                let _ok = writeln!(out, "{action:?}");
            }
            "event" => self.event(&case.input, &mut out),
            "budget" => {
                let first = number(case, "first", 0);
                (0..first).for_each(|_| self.budget.first());
                let retries = number(case, "retries", 0);
                let granted = (0..retries).filter(|_| self.budget.take()).count();
                let _ok = writeln!(out, "{granted} of {retries} granted");
            }
            "crash" => {
                let running: Vec<_> = case.input.split_whitespace().map(print).collect();
                let target: TargetName = arg(case, "target").expect("target").parse().unwrap();
                self.suspects.crashed(&target, &running, self.now);
            }
            "clear" => {
                let (fingerprint, _) = print(case.input.trim());
                self.suspects.clear(fingerprint, self.now);
            }
            "standing" => {
                for word in case.input.split_whitespace() {
                    let standing = match self.suspects.standing(print(word).0, self.now) {
                        Standing::Clear => "clear".to_owned(),
                        Standing::Suspect(crash) => format!("suspect of {}", crash.target),
                        Standing::Held => "held".to_owned(),
                    };
                    let _ok = writeln!(out, "{word}: {standing}");
                }
            }
            "drain" => {
                if let Some(within) = arg(case, "within") {
                    let within = Duration::from_millis(within.parse().expect("within"));
                    self.drain.begin(within, self.now);
                }
                let left = self.drain.left(small(case, "open", 0), self.now);
                let _ok = writeln!(out, "{left:?}");
            }
            other => panic!("no directive {other}"),
        }
        self.steps(&mut out);
        if out.is_empty() {
            out.push_str("ok\n");
        }
        out
    }

    fn offer(&mut self, case: &TestCase, out: &mut String) {
        for line in case.input.lines() {
            let words: Vec<_> = line.split_whitespace().collect();
            let name = words[0].to_owned();
            let has = |word: &str| words.contains(&word);
            let value = |key: &str| words.iter().find_map(|word| word.strip_prefix(key));
            let offer = Offer {
                team: team(value("team=").unwrap_or("desks")),
                weight: value("weight=").map_or(1, |text| text.parse().unwrap()),
                priority: value("class=").map_or(Priority::Desk, |text| text.parse().unwrap()),
                deadline: self.now
                    + Duration::from_millis(value("left=").map_or(10_000, |t| t.parse().unwrap())),
                fingerprint: Fingerprint::from(0),
                suspect: has("suspect"),
            };
            match self.admission.offer(offer, self.now) {
                Ok(ticket) => {
                    self.names.insert(ticket, name.clone());
                    self.tickets.insert(name, ticket);
                }
                Err(refusal) => {
                    let code = refusal.code.name();
                    let _ok =
                        writeln!(out, "{name}: {code}, retry after {:?}", refusal.retry_after);
                }
            }
            self.steps(out);
        }
    }

    fn finish(&mut self, case: &TestCase, out: &mut String) {
        for word in case.input.split_whitespace() {
            let end = match arg(case, "end") {
                Some("failed") => End::Failed,
                Some("abandoned") => End::Abandoned,
                Some("crashed") => End::Crashed,
                Some("unreachable") => End::Unreachable,
                _ => End::Whole(0),
            };
            let victims = self.admission.finish(self.tickets[word], end, self.now);
            if !victims.is_empty() {
                let _ok = writeln!(out, "{} were running", victims.len());
            }
            self.steps(out);
        }
    }

    /// Runs requests one after the other, each for the given time.
    fn serve(&mut self, case: &TestCase, out: &mut String) {
        let took = Duration::from_millis(number(case, "ms", 100));
        for _ in 0..number(case, "count", 1) {
            let offer = Offer {
                team: team("desks"),
                weight: 1,
                priority: Priority::Desk,
                deadline: self.now + Duration::from_secs(60),
                fingerprint: Fingerprint::from(0),
                suspect: false,
            };
            let ticket = self.admission.offer(offer, self.now).expect("room");
            assert_eq!(self.admission.next(self.now), Some(Step::Start(ticket)));
            self.now = self.now + took;
            self.admission.finish(ticket, End::Whole(0), self.now);
        }
        let _ok = writeln!(out, "limit {}", self.admission.limit());
    }

    /// Ends the oldest running request after each `ms`, `count` times.
    fn run_in_order(&mut self, case: &TestCase, out: &mut String) {
        for _ in 0..number(case, "count", 1) {
            self.now = self.now + Duration::from_millis(number(case, "ms", 100));
            let ticket = self.running.remove(0);
            self.admission.finish(ticket, End::Whole(0), self.now);
            self.steps(out);
        }
    }

    fn steps(&mut self, out: &mut String) {
        while let Some(step) = self.admission.next(self.now) {
            let _ok = match step {
                Step::Start(ticket) => {
                    self.running.push(ticket);
                    writeln!(out, "{}: starts", self.names[&ticket])
                }
                Step::Refuse(ticket, refusal) => {
                    writeln!(out, "{}: {}", self.names[&ticket], refusal.code.name())
                }
            };
        }
    }

    fn event(&mut self, input: &str, out: &mut String) {
        for line in input.lines() {
            let words: Vec<_> = line.split_whitespace().collect();
            let n = |index: usize| words[index].parse::<u64>().expect("a number");
            let attempt = |index: usize| AttemptId {
                request: 1.into(),
                number: u32::try_from(n(index)).expect("a small number"),
            };
            let code = |index: usize| {
                let found = Code::ALL.iter().find(|code| code.name() == words[index]);
                *found.expect("a code")
            };
            let event = match words[0] {
                "chosen" => Event::Chosen {
                    target: words[1].parse().unwrap(),
                    zone: words[2].parse::<ZoneName>().unwrap(),
                },
                "no-choice" => Event::NoChoice(code(1)),
                "denied" => Event::Denied,
                "waited" => Event::Waited,
                "unreachable" => Event::Unreachable,
                "lost" => Event::Lost,
                "not-resumed" => Event::NotResumed,
                "head" => Event::Head(attempt(1)),
                "part" => Event::Part {
                    attempt: attempt(1),
                    offset: n(2),
                    len: n(3),
                },
                "done" => Event::Done {
                    attempt: attempt(1),
                    length: n(2),
                },
                "refused" => Event::Refused {
                    attempt: attempt(1),
                    code: code(2),
                },
                "expired" => Event::Expired,
                "caller-gone" => Event::CallerGone,
                other => panic!("no event {other}"),
            };
            let action = self.flow.on_event(event, 1.0, self.now);
            let zones: Vec<_> = self.flow.zones().iter().map(ZoneName::as_str).collect();
            let last = if zones.is_empty() {
                String::new()
            } else {
                format!(", last: {}", zones.join(" "))
            };
            let _ok = writeln!(out, "{line}: {action:?}{last}");
        }
    }
}

/// A request written as `team/number`.
fn print(word: &str) -> (Fingerprint, TeamName) {
    let (name, number) = word.split_once('/').expect("team/number");
    let number: u64 = number.parse().expect("a number");
    let base = name.bytes().fold(0, |sum, byte| sum * 31 + u64::from(byte));
    (Fingerprint::from(base * 1000 + number), team(name))
}

/// Guards against every failure that a scenario's heading names.
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

/// Guards against processes that disagree on a held request after they exchanged their marks, and
/// against an old mark that undoes an operator's clearing.
#[test]
fn merged_marks_agree_and_stay_cleared() {
    let at = Time::from_millis;
    let (fingerprint, desks) = print("desks/1");
    let mut sets = [(); 2].map(|()| Suspects::new(Duration::from_secs(3600)));
    for (set, target) in sets.iter_mut().zip(["t1", "t2"]) {
        set.mark(fingerprint, &desks, &target.parse().unwrap(), at(1000));
    }
    let old = sets
        .each_ref()
        .map(|set| set.marks().next().unwrap().1.clone());
    for (set, mark) in sets.iter_mut().zip(old.iter().rev()) {
        set.merge(fingerprint, mark.clone(), at(2000));
        assert_eq!(set.standing(fingerprint, at(2000)), Standing::Held);
        assert_eq!(set.held(at(2000)).len(), 1);
    }
    assert!(sets[0].clear(fingerprint, at(3000)));
    let cleared = sets[0].marks().next().unwrap().1.clone();
    sets[1].merge(fingerprint, cleared, at(3001));
    for set in &mut sets {
        set.merge(fingerprint, old[0].clone(), at(4000));
        assert_eq!(set.standing(fingerprint, at(4000)), Standing::Clear);
    }
}

/// Guards against marks that grow without bound, and against a team that pushes out those of
/// another.
#[test]
fn marks_are_bounded_for_each_team() {
    let mut set = Suspects::new(Duration::from_secs(3600));
    let target = "t1".parse().unwrap();
    let (other, albums) = print("albums/1");
    set.mark(other, &albums, &target, Time::from_millis(1));
    for number in 0..1000 {
        let (fingerprint, desks) = print(&format!("desks/{number}"));
        set.mark(fingerprint, &desks, &target, Time::from_millis(10 + number));
    }
    assert_eq!(set.marks().count(), 65);
    assert_ne!(
        set.standing(other, Time::from_millis(2000)),
        Standing::Clear
    );
}
