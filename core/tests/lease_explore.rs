//! Exhaustive exploration of what two routers believe of a key that is taken away: one reads from
//! the store, the other one from its neighbour. Every message may take any time or be lost, and
//! the store may answer from a state a second old.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use ebonyfall_core::{
    desired::{DesiredState, Limits, Team},
    doc::KeyHash,
    lease::Lease,
    time::Time,
};

const KEY: KeyHash = KeyHash([7; 32]);
/// Seconds after which a key that was taken away lets nothing run.
const BOUND: u64 = 5;
/// Seconds by which the store's answer may be out of date.
const STALE: u64 = 1;
/// Last second at which the key is taken away; later ones only shift the case.
const LAST_REVOCATION: u64 = 1;
/// Last second of the case: an answer that was given just before the revocation has lapsed by then.
const END: u64 = LAST_REVOCATION + BOUND + 2;

/// A deliberate fault that the check must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    Sound,
    /// An answer counts from its arrival.
    FromArrival,
    /// The clock stands still while the VM is suspended.
    ClockStops,
    /// The age that a neighbour states is ignored.
    NoAge,
    /// Only the known keys are asked, not how fresh they are.
    NoLease,
}

/// An answer on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Answer {
    valid: bool,
    /// Seconds since the neighbour's own confirmation.
    age: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Router {
    /// Whether it knows the key as valid.
    valid: bool,
    confirmed: Option<u64>,
    /// When its question was sent, by its clock, and the answer.
    question: Option<(u64, Option<Answer>)>,
    /// Seconds that its clock lags.
    lag: u64,
}

impl Router {
    const NEW: Self = Self {
        valid: false,
        confirmed: None,
        question: None,
        lag: 0,
    };

    fn deliver(&mut self, variant: Variant, now: u64) {
        let Some((asked, Some(answer))) = self.question.take() else {
            return;
        };
        let from = match variant {
            Variant::FromArrival => now,
            _ => asked,
        };
        let age = if variant == Variant::NoAge {
            0
        } else {
            answer.age
        };
        // A desired state that is older than the known one is not taken back.
        self.valid = answer.valid && (self.valid || self.confirmed.is_none());
        self.confirmed = self.confirmed.max(from.checked_sub(age));
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    revoked: Option<u64>,
    routers: [Router; 2],
}

impl World {
    fn clock(&self, router: usize) -> u64 {
        self.now - self.routers[router].lag
    }

    fn next(&self, variant: Variant) -> Vec<Self> {
        let mut next = Vec::new();
        let mut push = |change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            next.push(world);
        };
        if self.now < END {
            push(&|world| world.now += 1);
            if variant == Variant::ClockStops {
                for router in 0..2 {
                    push(&|world| {
                        world.now += 1;
                        world.routers[router].lag += 1;
                    });
                }
            }
        }
        if self.revoked.is_none() && self.now <= LAST_REVOCATION {
            push(&|world| world.revoked = Some(world.now));
        }
        for router in 0..2 {
            let now = self.clock(router);
            match self.routers[router].question {
                None => push(&|world| world.routers[router].question = Some((now, None))),
                Some((_, Some(_))) => {
                    push(&|world| world.routers[router].deliver(variant, now));
                    push(&|world| world.routers[router].question = None);
                }
                Some((asked, None)) => {
                    for answer in self.answers(router) {
                        push(&|world| {
                            world.routers[router].question = Some((asked, Some(answer)));
                        });
                    }
                }
            }
        }
        next
    }

    /// What a router may be answered now.
    fn answers(&self, router: usize) -> Vec<Answer> {
        if router == 1 {
            let neighbour = self.routers[0];
            let answer = neighbour.confirmed.map(|confirmed| Answer {
                valid: neighbour.valid,
                age: self.clock(0) - confirmed,
            });
            return answer.into_iter().collect();
        }
        let valid_at = |time| self.revoked.is_none_or(|revoked| revoked > time);
        let times = self.now.saturating_sub(STALE)..=self.now;
        let answers: HashSet<_> = times.map(valid_at).collect();
        let answers = answers.into_iter();
        answers.map(|valid| Answer { valid, age: 0 }).collect()
    }

    fn check(&self, variant: Variant, states: &[DesiredState; 2]) -> Result<(), String> {
        let Some(revoked) = self.revoked else {
            return Ok(());
        };
        for (number, router) in self.routers.iter().enumerate() {
            let mut lease = Lease::new(Duration::from_secs(BOUND));
            if let Some(confirmed) = router.confirmed {
                lease.confirm(second(confirmed));
            }
            let now = second(self.clock(number));
            if variant == Variant::NoLease {
                lease.confirm(now);
            }
            let state = &states[usize::from(router.valid)];
            if lease.permit(state, &KEY, now).is_ok() && self.now > revoked + BOUND {
                return Err(format!("router {number} runs a request: {self:?}"));
            }
        }
        Ok(())
    }
}

fn second(second: u64) -> Time {
    Time::from_millis(second * 1_000)
}

/// The desired state without and with the key.
fn states() -> [DesiredState; 2] {
    let team = Arc::new(Team {
        name: "desk".parse().expect("the literal is a valid name"),
        priority: None,
    });
    let limits = Limits {
        max_header_bytes: 0,
        max_body_bytes: 0,
        idle_timeout: Duration::ZERO,
    };
    [HashMap::new(), HashMap::from([(KEY, team)])]
        .map(|keys| DesiredState::new(1, [], HashMap::new(), limits.clone(), Some(keys)))
}

/// Visits every state that can be reached; returns their number, or the first broken promise.
fn explore(variant: Variant) -> Result<usize, String> {
    let states = states();
    let start = World {
        now: 0,
        revoked: None,
        routers: [Router::NEW; 2],
    };
    let mut seen = HashSet::from([start.clone()]);
    let mut stack = vec![start];
    while let Some(world) = stack.pop() {
        world.check(variant, &states)?;
        for next in world.next(variant) {
            if seen.insert(next.clone()) {
                stack.push(next);
            }
        }
    }
    Ok(seen.len())
}

/// Guards against any order and delay of answers in which a request runs on a key that was taken
/// away more than the bound before.
#[test]
fn no_request_runs_on_a_key_after_the_bound() {
    let seen = explore(Variant::Sound).unwrap();
    println!("{seen} states");
    assert!(seen > 10_000, "{seen} states");
}

/// Guards against a check that finds nothing.
#[test]
fn every_fault_is_found() {
    for variant in [
        Variant::FromArrival,
        Variant::ClockStops,
        Variant::NoAge,
        Variant::NoLease,
    ] {
        assert!(explore(variant).is_err(), "{variant:?}");
    }
}
